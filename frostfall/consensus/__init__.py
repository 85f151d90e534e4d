"""Consensus on the little state that needs it: a replicated register on Raft, without I/O."""
