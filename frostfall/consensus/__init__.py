"""Agreement on the little that needs it: a replicated register, decided without I/O."""
