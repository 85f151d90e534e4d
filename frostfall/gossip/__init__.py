"""Gossip of the endpoint list: messages, who is asked, and what is believed. No I/O and no clock."""
