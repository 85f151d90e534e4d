"""Ports of this machine for stand-ins and agents, which no other run on it takes meanwhile."""

from __future__ import annotations

import fcntl
import os
import random
import socket
import tempfile
from pathlib import Path

# Below the kernel's range for outgoing connections: one of those could take the port of an agent that was
# killed before it is started anew.
FIRST_PORT = 12_000
LAST_PORT = 32_000
LOCK_FILE_NAME = "frostfall-ports.lock"  # in the directory for temporary files; byte N is locked for port N


class PortClaims:
    """The ports that this process has claimed, for as long as it lives."""

    def __init__(self, first: int = FIRST_PORT, last: int = LAST_PORT) -> None:
        """Claim ports from `first` to `last`; nothing is opened before the first claim."""
        self._ports = range(first, last + 1)
        self._claimed: set[int] = set()
        self._lock_fd: int | None = None

    def claim(self) -> int:
        """A port on which nothing listens, and which no other process claims while this one lives."""
        while True:
            port = random.SystemRandom().choice(self._ports)
            if port not in self._claimed and self._lock(port) and _is_free(port):
                self._claimed.add(port)
                return port

    def _lock(self, port: int) -> bool:
        # Found free and bound later, a port could be taken by another run in between.
        if self._lock_fd is None:
            path = Path(tempfile.gettempdir()) / LOCK_FILE_NAME
            self._lock_fd = os.open(path, os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o666)
        try:
            fcntl.lockf(self._lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
        except OSError:
            return False
        return True


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


_claims = PortClaims()


def free_port() -> int:
    """A port on which nothing listens; it is this process's until its end."""
    return _claims.claim()
