"""Claim ports for stand-ins and agents that no other run on this machine uses at the same time."""

from __future__ import annotations

import fcntl
import os
import random
import socket
import tempfile
from pathlib import Path

# Below the kernel's range for outgoing connections: an outgoing connection could otherwise take the port of
# a killed agent before the agent restarts.
FIRST_PORT = 12_000
LAST_PORT = 32_000
LOCK_FILE_NAME = "frostfall-ports.lock"  # in the directory for temporary files; byte N is locked for port N


class PortClaims:
    """The ports that this process has claimed, until it ends."""

    def __init__(self, first: int = FIRST_PORT, last: int = LAST_PORT) -> None:
        """Claim ports from `first` to `last`; the lock file is opened at the first claim."""
        self._ports = range(first, last + 1)
        self._claimed: set[int] = set()
        self._lock_fd: int | None = None

    def claim(self) -> int:
        """Claim and return a free port, which no other process can claim until this one ends."""
        while True:
            port = random.SystemRandom().choice(self._ports)
            if port not in self._claimed and self._lock(port) and _is_free(port):
                self._claimed.add(port)
                return port

    def _lock(self, port: int) -> bool:
        # Without the lock, another run could take a free port before it is bound.
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
    """Claim and return a free port, which this process keeps until it ends."""
    return _claims.claim()
