"""The agent on sockets: thin anyio drivers around the protocol machines and one decision module."""
