"""Randomised fault soak: real agent processes under overlapping faults, checked by an independent oracle."""
