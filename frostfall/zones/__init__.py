"""Zones and regions, decided without I/O: what is the matter with one, and who carries what."""
