"""Zones and regions: detection of a zone's faults, and plans of the traffic between zones. No I/O."""
