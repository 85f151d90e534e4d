"""Limits on slow peers and buffered bytes, fair scheduling and timers; decided without I/O or a clock."""
