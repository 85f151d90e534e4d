"""Who is in the group and in which life, decided without I/O."""
