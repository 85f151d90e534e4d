"""Randomised fault soak: real agent processes under overlapping faults, checked by an oracle of its own."""
