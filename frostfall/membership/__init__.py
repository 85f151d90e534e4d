"""Membership of the group: incarnations, suspicion and stale logs. No I/O."""
