"""Routing restrictions in addition to the policy's routing decisions; no I/O, no sockets, no clock."""
