"""The engine of an agent: hands events to the policies and carries out what they decide, without I/O."""
