"""Building blocks of the policy. They make no decisions; each receives its parameters and owns its state."""
