"""Measurements against stand-ins on loopback, and the scripted peers that they and the tests share."""
