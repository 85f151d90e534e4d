"""Health statistics of servers, shared by all agents through push-sum gossip; no I/O, no clock."""
