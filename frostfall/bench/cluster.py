"""Run a group of agents between stand-ins, with a relay on every link, and inject faults."""

from __future__ import annotations

import json
import os
import random
import shutil
import signal
import subprocess
import sys
import threading
from fnmatch import fnmatchcase
from pathlib import Path
from time import monotonic, time
from typing import Any

import msgspec

from frostfall.bench.harness import ROOT
from frostfall.bench.history import Event, History
from frostfall.bench.ports import free_port

GROUP_KEY = "a key of the stand-ins, and of nobody else"
WAIT_TIMEOUT = 30.0  # seconds after which waiting for an event fails


class Process:
    """A child process that reports events as JSON lines on standard output or standard error."""

    def __init__(
        self,
        name: str,
        command: list[str],
        history: History,
        environment: dict[str, str],
        log: bool,
        cwd: Path = ROOT,
    ) -> None:
        """Start the process; with `log`, events are read from standard error, where an agent logs."""
        self.name, self._history, self._log = name, history, log
        out = subprocess.DEVNULL if log else subprocess.PIPE
        self.process = subprocess.Popen(
            command,
            cwd=cwd,
            env=environment,
            stdin=subprocess.PIPE,
            stdout=out,
            stderr=subprocess.PIPE if log else None,
        )
        self._thread = threading.Thread(target=self._read, daemon=True)
        self._thread.start()

    def _read(self) -> None:
        stream = self.process.stderr if self._log else self.process.stdout
        assert stream
        for line in stream:
            try:
                event: Event = msgspec.json.decode(line)
            except msgspec.MsgspecError:
                event = {"event": "said", "text": line.decode(errors="replace").rstrip()}
            event["who"] = event.get("who", self.name)
            event.setdefault("at", monotonic())
            self._history.add(event)

    def send_command(self, **fields: Any) -> None:
        """Send a command to the process as one JSON line on its standard input."""
        assert self.process.stdin
        self.process.stdin.write(msgspec.json.encode(fields) + b"\n")
        self.process.stdin.flush()

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal unless the process has ended."""
        if self.process.poll() is None:
            self.process.send_signal(signal_number)

    def stop(self, signal_number: signal.Signals = signal.SIGKILL) -> None:
        """Send a signal that ends the process, and wait until it has ended and its output is read."""
        self.send_signal(signal_number)
        self.process.wait(WAIT_TIMEOUT)
        self._thread.join(WAIT_TIMEOUT)


class Cluster:
    """Agents, servers, discovery, the rollout platform and clients; `close` ends all of their processes."""

    def __init__(
        self,
        folder: Path,
        agents: int = 3,
        servers: int = 3,
        seed: int = 1,
        group: bool = True,
        checkout: Path = ROOT,
        held: bool = True,
        fleet: dict[str, Any] | None = None,
        crowd: dict[str, Any] | None = None,
        zones: int = 1,
        listed: list[str] | None = None,
        sockets: int = 1024,
        **changes: Any,
    ) -> None:
        """Prepare a cluster in a directory; `changes` are options of the operator file's section `group`.

        `held` runs the agents with `faults_disk`, which simulates a disk that loses unsynced data.
        `listed` restricts the configured members; other agents are started only by name. `fleet` and
        `crowd` are options of the servers and the clients (see `actors_fleet`).
        """
        self.folder, self.seed, self.history = folder, seed, History()
        self.names = [f"n{index}" for index in range(agents)]
        self._checkout, self._simulated_disk, self._grouped, self._zones = checkout, held, group, zones
        self._socket_limit = sockets
        self._group_options = {"retries_marked": True, "operation": "op", "new": True, **changes}
        self._server_options, self._client_options = (
            fleet or {},
            {"rate": 60.0, "unsafe": 0.5, **(crowd or {})},
        )
        self.agents: dict[str, Process] = {}
        self.actors: dict[str, Process] = {}
        self.random = random.Random(seed)
        self._server_count = servers
        self.listed = list(listed or self.names)  # names of the configured members
        self.removed: set[str] = set()  # members configured as permanently removed

    def open(self) -> None:
        """Start the servers, relay, discovery and platform, and write the agents' configuration."""
        self.listen, self.group, self.udp = (
            {name: f"127.0.0.1:{free_port()}" for name in self.names} for _ in range(3)
        )
        discovery, platform = {name: free_port() for name in self.names}, free_port()
        self._start_actor("servers", "fleet", count=self._server_count, **self._server_options)
        addresses = self._wait_for_field("servers", "servers")["servers"]
        links: dict[str, str] = {}
        for name in self.names:
            links |= {f"{name}>{server}": address for server, address in addresses.items()}
            links |= {f"{name}>{other}": self.group[other] for other in self.names if other != name}
            links |= {
                f"{name}>discovery": f"127.0.0.1:{discovery[name]}",
                f"{name}>platform": f"127.0.0.1:{platform}",
                f"clients>{name}": self.listen[name],
            }
        datagrams = {
            f"{one}>{other}": self.udp[other] for one in self.names for other in self.names if one != other
        }
        self._start_actor("relay", "relay", links=links, datagrams=datagrams)
        ports = self._wait_for_field("relay", "links")
        self.links, self.datagrams = ports["links"], ports["datagrams"]
        self.views = {name: [self._instance(server, name) for server in addresses] for name in self.names}
        self._start_actor(
            "discovery",
            "discovery",
            views={name: {"port": discovery[name], "instances": view} for name, view in self.views.items()},
        )
        self._start_actor(
            "platform",
            "platform",
            port=platform,
            news={"release": 41, "tranche": 0, "mode": "stable", "exposure": 1.0, "old_ms": 5},
        )
        for part in ("discovery", "platform"):
            self._wait_for_field(part, "ready")
        for name in self.names:
            self._configure(name)

    def _instance(self, server: str, agent: str) -> dict[str, Any]:
        return {
            "instanceId": server,
            "hostPort": self.links[f"{agent}>{server}"],
            "zone": "a",
            "cell": 0,
            "lifecycle": "in_service",
            "weight": 1.0,
            "startedAtMs": 0,
            "build": 41,
        }

    def configure(self, **changes: Any) -> None:
        """Change options of the section `group`; an agent applies them at its next start."""
        self._group_options |= changes
        for name in self.names:
            self._configure(name)

    def _configure(self, name: str) -> None:
        directory = self.folder / name
        directory.mkdir(parents=True, exist_ok=True)
        index = self.names.index(name)
        config = msgspec.json.decode((ROOT / "deploy" / "example.json").read_bytes())
        config |= {
            "name": name,
            "listen": self.listen[name],
            "seed": f"{self.seed * 1000 + index:x}",
            "discovery": self.links[f"{name}>discovery"],
            "peer_listen": self.udp[name],
            "peers": [
                self.udp[name] if other == name else self.datagrams[f"{name}>{other}"] for other in self.names
            ],
            "peers_all": "",
        }
        config["release_api"]["address"] = self.links[f"{name}>platform"]
        config["limits"]["sockets"] = self._socket_limit
        config["known"] = {"generation": 1, "reset": True, "instances": []}
        config["settings"] |= {"ordinal": index, "nInstances": len(self.names)}
        (directory / "config.json").write_bytes(msgspec.json.encode(config))
        if self._grouped:
            members = [
                {
                    "name": other,
                    "zone": f"z{position % self._zones}",
                    "gone": other in self.removed,
                    "address": self.group[other] if other == name else self.links[f"{name}>{other}"],
                }
                for position, other in enumerate(self.names)
                if other in self.listed
            ]
            if name not in self.listed:
                members.append({"name": name, "address": self.group[name]})
            section = {
                "data": str(directory / "data"),
                "key": GROUP_KEY,
                "members": members,
                **self._group_options,
            }
            (directory / "operator.json5").write_text(json.dumps({"group": section}))

    def start(self, *names: str, mutant: str = "", clock_ahead: float = 0.0, format_1: bool = False) -> None:
        """Start the named agents, or all configured members without a name.

        Their wall clocks are ahead by `clock_ahead` seconds. With `format_1` they write the log's first
        format, as an older version did.
        """
        for name in names or self.listed:
            directory = self.folder / name
            environment = {
                **os.environ,
                "BALANCER_CONFIG": str(directory / "config.json"),
                "FROSTFALL_WHO": name,
                "FROSTFALL_LOG": "info",
                "FROSTFALL_FAULTS": str(directory / "faults.json"),
                "FROSTFALL_MUTANT": mutant,
                "FROSTFALL_AHEAD": str(clock_ahead),
                "FROSTFALL_FORMAT": "1" if format_1 else "",
                "PYTHONUNBUFFERED": "1",
            }
            environment.pop("FROSTFALL_OPERATOR", None)
            if self._grouped:
                environment["FROSTFALL_OPERATOR"] = str(directory / "operator.json5")
            entry = "frostfall.bench.faults_disk" if self._grouped and self._simulated_disk else "frostfall"
            self.history.add({"event": "started", "who": name, "at": monotonic()})
            self.agents[name] = Process(
                name, [sys.executable, "-m", entry], self.history, environment, True, self._checkout
            )

    def start_clients(self, **changes: Any) -> None:
        """Start the clients, replacing those that run, and wait until they are ready."""
        addresses = [self.links[f"clients>{name}"] for name in self.names]
        self._start_actor(
            "crowd",
            "crowd",
            agents=addresses,
            seed=self.seed,
            tag=f"c{len(self.history.of('crowd'))}",
            **{**self._client_options, **changes},
        )
        self.history.add({"event": "crowd", "at": monotonic()})
        self._wait_for_field("crowd", "ready")

    def ask(self, name: str, operation: str, tries: int = 1) -> str:
        """Send the `tries`-th attempt of a non-idempotent operation to an agent; return the attempt's id."""
        address = self.links[f"clients>{name}"]
        self.actors["crowd"].send_command(ask={"name": operation, "agent": address, "tries": tries})
        return f"{operation}-t{tries}"

    def query(self, name: str, operation: str, tries: int = 1) -> str:
        """Send an attempt as `ask` does; return its outcome: served, refused, failed or an empty string."""
        since, request = self.now, self.ask(name, operation, tries)
        return str(self.wait("answered", since=since, id=request)["what"])

    def drain(self, seconds: float = 60.0) -> None:
        """Stop starting operations, and wait until all pending ones have ended."""
        since = len(self.history.events)
        self.actors["crowd"].send_command(quiet=True)
        self.history.wait(lambda event: event.get("event") == "quiet", since=since, seconds=seconds)

    def close(self) -> None:
        """End all processes, and replace agents' addresses in the clients' events by agents' names."""
        for each in (*self.agents.values(), *self.actors.values()):
            each.send_signal(signal.SIGCONT)
            each.stop()
        names = (
            {
                address: name
                for name, address in ((name, self.links[f"clients>{name}"]) for name in self.names)
            }
            if self.agents
            else {}
        )
        for event in self.history.events:
            if event.get("event") in ("asked", "answered", "read"):
                event["who"] = names.get(event["agent"], event["agent"])

    def _start_actor(self, name: str, part: str, **command: Any) -> None:
        arguments = [sys.executable, "-m", "frostfall.bench.actors", part]
        if name in self.actors:
            self.actors[name].stop()
        self.actors[name] = Process(name, arguments, self.history, dict(os.environ), False)
        self.actors[name].send_command(**command)

    def _wait_for_field(self, who: str, field: str, since: int = 0) -> Event:
        return self.history.wait(lambda event: event.get("who") == who and field in event, since=since)

    def kill(self, *names: str) -> None:
        """Kill the named agents, or all agents without a name, at the same time."""
        processes = [self.agents[name] for name in names or self.names]
        for each in processes:
            # Recorded before the kill: otherwise an answer that is lost with the process would precede
            # the event, and the checker would report it as missing.
            self.history.add({"event": "killed", "who": each.name, "at": monotonic()})
            each.send_signal(signal.SIGKILL)
        for each in processes:
            each.stop()
            # Recorded again: a line that was written before the kill may be read only now, and the
            # checker would take it for the restarted agent's.
            self.history.add({"event": "killed", "who": each.name, "at": monotonic()})

    def power_loss(self) -> None:
        """Kill all agents and restart all servers at once; discovery reports the servers' new start times."""
        self.kill()
        self.servers(restart=True)
        started = int(time() * 1000)
        for view in self.views.values():
            for each in view:
                each["startedAtMs"] = started
        self.actors["discovery"].send_command(views=self.views)

    def pause(self, *names: str) -> None:
        """Suspend agents with SIGSTOP."""
        for name in names:
            self.history.add({"event": "paused", "who": name, "at": monotonic()})
            self.agents[name].send_signal(signal.SIGSTOP)

    def wake(self, *names: str) -> None:
        """Resume paused agents."""
        for name in names:
            self.agents[name].send_signal(signal.SIGCONT)
            self.history.add({"event": "woken", "who": name, "at": monotonic()})

    def link(self, pattern: str, **change: Any) -> None:
        """Change the links that match a pattern, and wait until the relay has applied the change.

        Raises ValueError if no link matches.
        """
        since = len(self.history.events)
        self.actors["relay"].send_command(link=pattern, **change)
        done = self._wait_for_field("relay", "changed", since)
        for name in self.names:
            if fnmatchcase(f"clients>{name}", pattern) and "cut" in change:
                kind = "cut off" if change["cut"] else "joined"
                self.history.add({"event": kind, "who": name, "at": monotonic()})
        if not done["changed"]:
            raise ValueError(f"no link matches {pattern!r}")

    def servers(self, **change: Any) -> None:
        """Send a command to the servers, and wait until they have applied it."""
        since = len(self.history.events)
        self.actors["servers"].send_command(**change)
        self.wait("done", since=since, who="servers")

    def faults(self, *names: str, **faults: Any) -> None:
        """Set the disk faults of the named agents, or of all; running agents have loaded them on return."""
        for name in names or self.names:
            (self.folder / name / "faults.json").write_bytes(
                msgspec.json.encode({"seed": self.random.randrange(1 << 30), **faults})
            )
            if name in self.agents and self.agents[name].process.poll() is None:
                since = len(self.history.events)
                self.agents[name].send_signal(signal.SIGUSR1)
                self.history.wait(
                    lambda event, name=name: (
                        event.get("event") == "armed"  # type: ignore
                        and event["who"] == name
                    ),
                    since=since,
                )

    def data(self, name: str) -> Path:
        """Return the path of an agent's data directory."""
        return self.folder / name / "data"

    def lose(self, name: str) -> None:
        """Delete an agent's data directory."""
        shutil.rmtree(self.data(name), ignore_errors=True)

    def save(self, name: str) -> None:
        """Copy an agent's data directory for `restore`."""
        shutil.copytree(self.data(name), self.folder / name / "copy", dirs_exist_ok=True)

    def restore(self, name: str) -> None:
        """Replace an agent's data directory by the copy that `save` made."""
        self.lose(name)
        shutil.copytree(self.folder / name / "copy", self.data(name))

    def swap(self, one: str, other: str) -> None:
        """Exchange the data directories of two agents."""
        temporary = self.folder / "aside"
        self.data(one).rename(temporary)
        self.data(other).rename(self.data(one))
        temporary.rename(self.data(other))

    def segments(self, name: str) -> list[Path]:
        """Return the paths of an agent's segments, oldest first."""
        return sorted(self.data(name).glob("*.seg"))

    def truncate_last_segment(self, name: str, bytes_off: int) -> None:
        """Remove the last `bytes_off` bytes of an agent's newest segment."""
        last = self.segments(name)[-1]
        os.truncate(last, max(last.stat().st_size - bytes_off, 0))

    def flip(self, name: str, part: float = 0.5) -> None:
        """Flip one bit of an agent's largest segment; `part` is the bit's position as a share of the size."""
        target = max(self.segments(name), key=lambda each: each.stat().st_size)
        raw = bytearray(target.read_bytes())
        raw[int((len(raw) - 1) * part)] ^= 4
        target.write_bytes(raw)

    def gate(
        self, gate: str, *names: str, since: int = 0, stand: str = "open", seconds: float = WAIT_TIMEOUT
    ) -> float:
        """Wait until a readiness condition of these agents has a status; return the last agent's time."""
        return max(
            float(
                self.history.wait(
                    lambda event, name=name: (
                        event.get("event") == "gate"
                        and event["who"] == name  # type: ignore
                        and event["gate"] == gate
                        and event["stand"] == stand
                    ),
                    since=since,
                    seconds=seconds,
                )["at"]
            )
            for name in names or self.listed
        )

    def wait(
        self, kind: str, count: int = 1, since: int = 0, seconds: float = WAIT_TIMEOUT, **fields: Any
    ) -> Event:
        """Wait for `count` events of a kind whose fields match; values may contain wildcards (`*`)."""
        return self.history.wait(
            lambda event: (
                event.get("event") == kind
                and all(fnmatchcase(str(event.get(key)), str(value)) for key, value in fields.items())
            ),
            count=count,
            since=since,
            seconds=seconds,
        )

    @property
    def now(self) -> int:
        """Return the position in the history at which the next event is recorded."""
        return len(self.history.events)
