"""Replication of operation records between members: replica stores, quorums and anti-entropy, without I/O."""
