"""The decision engine: it composes the policies and applies events to them, without I/O."""
