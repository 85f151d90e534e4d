"""Consensus: a small replicated register on Raft. No I/O."""
