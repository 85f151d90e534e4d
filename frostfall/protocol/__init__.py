"""Sans-I/O protocol machines: fed with bytes, they return events and bytes to send; no socket, no clock."""
