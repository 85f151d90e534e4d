"""Membership of the group: incarnations, suspicion and stale members, decided without I/O."""
