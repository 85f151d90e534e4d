"""The decision module: every decision on requests and votes, sans-I/O."""
