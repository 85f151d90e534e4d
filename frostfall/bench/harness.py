"""Run an agent of any checkout and its stand-ins, each in a process of its own."""

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

CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
ROOT = Path(__file__).parent.parent.parent
SHUTDOWN_TIMEOUT = 5.0  # seconds after SIGTERM; then the process is killed


class Actor:
    """The process of a stand-in."""

    def __init__(self, part: str, **options: Any) -> None:
        """Start the stand-in with a role and its options."""
        self._process = subprocess.Popen(
            [sys.executable, "-m", "frostfall.bench.actors", part],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        self.send(**options)

    def send(self, **fields: Any) -> None:
        """Send a command to the stand-in as one JSON line."""
        assert self._process.stdin
        self._process.stdin.write(msgspec.json.encode(fields) + b"\n")
        self._process.stdin.flush()

    def receive(self) -> Any:
        """Return the stand-in's next JSON line."""
        assert self._process.stdout
        return msgspec.json.decode(self._process.stdout.readline())

    def close(self) -> Any:
        """Close the stand-in's input, wait for its end, and return its last JSON line, or None."""
        assert self._process.stdin and self._process.stdout
        self._process.stdin.close()
        last = self._process.stdout.read().splitlines()
        self._process.wait()
        return msgspec.json.decode(last[-1]) if last else None


class Agent:
    """The process of an agent and its resource usage."""

    def __init__(self, process: subprocess.Popen[bytes], address: str) -> None:
        """Wrap the process of the agent that listens on an address."""
        self.process, self.address = process, address

    @property
    def cpu(self) -> float:
        """Return the CPU time used so far, in seconds."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND

    @property
    def memory(self) -> int:
        """Return the resident memory in bytes."""
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return pages * resource.getpagesize()


@contextmanager
def agent(
    servers: list[str], checkout: Path = ROOT, operator: str = "", limits: dict[str, Any] | None = None
) -> Iterator[Agent]:
    """Run an agent of a checkout in front of servers; `operator` is the text of its operator file."""
    with tempfile.TemporaryDirectory() as name:
        folder, address = Path(name), f"127.0.0.1:{free_port()}"
        config = msgspec.json.decode((ROOT / "deploy" / "example.json").read_bytes())
        config |= {
            "listen": address,
            "discovery": f"127.0.0.1:{free_port()}",
            "peers": [],
            "peer_listen": "",
            "peers_all": "",
            "limits": limits or config["limits"],
        }
        entry = config["known"]["instances"][0]
        config["known"]["instances"] = [
            entry | {"instanceId": f"s-{index}", "hostPort": server} for index, server in enumerate(servers)
        ]
        config["settings"] |= {"nInstances": 1, "discovery": "automatic"}
        config["release_api"]["address"] = f"127.0.0.1:{free_port()}"
        (folder / "config.json").write_bytes(msgspec.json.encode(config))
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
                _wait_until_listening(address, process, folder / "log")
                yield Agent(process, address)
            finally:
                process.terminate()
                try:
                    process.wait(SHUTDOWN_TIMEOUT)
                except subprocess.TimeoutExpired:
                    process.kill()
                    process.wait()


def _wait_until_listening(address: str, process: subprocess.Popen[bytes], log: Path) -> None:
    host, _, port = address.rpartition(":")
    deadline = monotonic() + 10.0
    while monotonic() < deadline and process.poll() is None:
        with socket.socket() as probe:
            if probe.connect_ex((host, int(port))) == 0:
                return
        sleep(0.02)
    raise RuntimeError(f"the agent did not start: {log.read_text(errors='replace')[-500:]}")
