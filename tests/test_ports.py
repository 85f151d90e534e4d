"""Ports that stand-ins and agents of two parallel runs take."""

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


def test_runs_side_by_side_take_no_port_from_each_other() -> None:
    """What happened: a port was found free, and another run listened on it before this one did."""
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


def test_a_port_on_which_somebody_listens_is_not_claimed() -> None:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as listener:
            listener.bind(("127.0.0.1", 31_900))
            assert PortClaims(31_900, 31_901).claim() == 31_901
