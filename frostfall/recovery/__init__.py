"""What a start after a loss may trust, and the operations that must not run twice, decided without I/O."""
