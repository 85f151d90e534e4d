"""Copies of what an agent holds for others, decided without I/O."""
