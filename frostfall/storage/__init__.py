"""The store: a log of segments on disk, decided without I/O."""
