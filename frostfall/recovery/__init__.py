"""Recovery after a loss, without I/O: trust in stored state, readiness, and non-idempotent operations."""
