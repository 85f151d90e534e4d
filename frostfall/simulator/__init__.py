"""Adapter to the simulator: runs the policy engines of agents on the simulator's line protocol."""
