"""Measurements against stand-ins on loopback, and the scripted peers that benches and tests share."""
