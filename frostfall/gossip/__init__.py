"""Gossip of the endpoint list: messages between agents, and what each has to tell. No I/O and no clock."""
