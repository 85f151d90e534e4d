"""Building blocks of the policy that decide nothing: each is handed its numbers and keeps its own state."""
