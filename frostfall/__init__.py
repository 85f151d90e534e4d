"""frostfall: a front tier that routes requests and votes on builds while servers are replaced."""
