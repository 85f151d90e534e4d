"""The policies: all decisions on requests and votes, without I/O."""
