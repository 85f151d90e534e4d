"""What agents know of servers together, decided without I/O, clock or sockets."""
