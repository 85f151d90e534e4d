"""Parallel test runs claim different ports for their stand-ins and agents."""

from __future__ import annotations

import socket
import subprocess
import sys

from frostfall.bench.ports import PortClaims

CLAIM = """
import sys
from frostfall.bench.ports import PortClaims
claims = PortClaims(31_000, 31_199)
print(*(claims.claim() for _ in range(60)), flush=True)
sys.stdin.read()
"""


def test_parallel_runs_claim_different_ports() -> None:
    """Guards against a port that is found free, and that another run takes before it is bound."""
    runs = [
        subprocess.Popen(
            [sys.executable, "-c", CLAIM], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        for _ in range(3)
    ]
    try:
        ports = [port for run in runs if run.stdout for port in run.stdout.readline().split()]
    finally:
        for run in runs:
            run.communicate("")
    assert len(ports) == len(set(ports)) == 180


def test_a_port_in_use_is_not_claimed() -> None:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as listener:
            listener.bind(("127.0.0.1", 31_900))
            assert PortClaims(31_900, 31_901).claim() == 31_901
