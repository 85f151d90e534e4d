"""Limits on slow peers and buffered bytes, fair scheduling and timers, without I/O or access to a clock."""
