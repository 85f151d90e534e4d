"""Puts an agent of any checkout between the stand-ins, each in a process of its own."""

from __future__ import annotations

import os
import resource
import socket
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from time import monotonic, sleep
from typing import Any

import msgspec

from frostfall.bench.ports import free_port

TICKS = os.sysconf("SC_CLK_TCK")
ROOT = Path(__file__).parent.parent.parent
STAY = 5.0  # seconds that a process has to end by itself


class Actor:
    """One stand-in's process."""

    def __init__(self, part: str, **told: Any) -> None:
        """Start it."""
        self._process = subprocess.Popen(
            [sys.executable, "-m", "frostfall.bench.actors", part],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        self.tell(**told)

    def tell(self, **fields: Any) -> None:
        """One line to it."""
        assert self._process.stdin
        self._process.stdin.write(msgspec.json.encode(fields) + b"\n")
        self._process.stdin.flush()

    def hear(self) -> Any:
        """Its next line."""
        assert self._process.stdout
        return msgspec.json.decode(self._process.stdout.readline())

    def close(self) -> Any:
        """End its input, and take its last line, if there is one."""
        assert self._process.stdin and self._process.stdout
        self._process.stdin.close()
        last = self._process.stdout.read().splitlines()
        self._process.wait()
        return msgspec.json.decode(last[-1]) if last else None


class Agent:
    """An agent's process, and what it uses."""

    def __init__(self, process: subprocess.Popen[bytes], address: str) -> None:
        """Measure this one."""
        self.process, self.address = process, address

    @property
    def cpu(self) -> float:
        """Seconds of CPU so far."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS

    @property
    def memory(self) -> int:
        """Bytes resident now."""
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return pages * resource.getpagesize()


@contextmanager
def agent(
    servers: list[str], checkout: Path = ROOT, operator: str = "", limits: dict[str, Any] | None = None
) -> Iterator[Agent]:
    """An agent of a checkout before these servers; `operator`: its operator file's text."""
    with tempfile.TemporaryDirectory() as name:
        folder, address = Path(name), f"127.0.0.1:{free_port()}"
        example = msgspec.json.decode((ROOT / "deploy" / "example.json").read_bytes())
        example |= {
            "listen": address,
            "discovery": f"127.0.0.1:{free_port()}",
            "peers": [],
            "peer_listen": "",
            "peers_all": "",
            "limits": limits or example["limits"],
        }
        entry = example["known"]["instances"][0]
        example["known"]["instances"] = [
            entry | {"instanceId": f"s-{place}", "hostPort": server} for place, server in enumerate(servers)
        ]
        example["settings"] |= {"nInstances": 1, "discovery": "automatic"}
        example["release_api"]["address"] = f"127.0.0.1:{free_port()}"
        (folder / "config.json").write_bytes(msgspec.json.encode(example))
        environment = {
            **os.environ,
            "BALANCER_CONFIG": str(folder / "config.json"),
            "FROSTFALL_LOG": "warning",
        }
        if operator:
            (folder / "operator.json5").write_text(operator)
            environment["FROSTFALL_OPERATOR"] = str(folder / "operator.json5")
        with (folder / "log").open("wb") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "frostfall"], cwd=checkout, env=environment, stderr=log
            )
            try:
                _await(address, process, folder / "log")
                yield Agent(process, address)
            finally:
                process.terminate()
                try:
                    process.wait(STAY)
                except subprocess.TimeoutExpired:
                    process.kill()
                    process.wait()


def _await(address: str, process: subprocess.Popen[bytes], log: Path) -> None:
    host, _, port = address.rpartition(":")
    end = monotonic() + 10.0
    while monotonic() < end and process.poll() is None:
        with socket.socket() as probe:
            if probe.connect_ex((host, int(port))) == 0:
                return
        sleep(0.02)
    raise RuntimeError(f"the agent did not start: {log.read_text(errors='replace')[-500:]}")
