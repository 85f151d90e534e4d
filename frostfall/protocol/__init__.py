"""Sans-I/O protocol machines: fed bytes, they give events and bytes to send; no socket, no clock."""
