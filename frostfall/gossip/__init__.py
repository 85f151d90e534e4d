"""Gossip about the endpoint list: messages, choice of peers, limits on peers' claims. No I/O, no clock."""
