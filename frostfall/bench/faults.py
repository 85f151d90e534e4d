"""Run fault scripts (JSON5) against a cluster of processes.

A script describes the cluster and the steps to run in order. Each step waits until it has taken effect;
steps wait for events, not for fixed times.
"""

from __future__ import annotations

from pathlib import Path
from time import sleep
from typing import Any, Literal

import json5
import msgspec

from frostfall.bench.check import Findings, check
from frostfall.bench.cluster import Cluster

MAX_REFUSED_ATTEMPTS = 50  # servers that have just started admit few requests and refuse the others
WAIT_TIMEOUT = 30.0  # seconds; the default of a step's timeout


class Step(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """One step of a script; `do` determines which of the other keys apply."""

    do: Literal[
        "start",
        "kill",
        "power_loss",
        "pause",
        "wake",
        "link",
        "servers",
        "disk",
        "lose",
        "save",
        "restore",
        "swap",
        "cut_file",
        "flip",
        "ask",
        "wait",
        "gate",
        "load",
    ]
    who: tuple[str, ...] = ()  # agents; empty: all
    link: str = ""  # a pattern such as `n0>n1` or `*>discovery`
    change: dict[str, Any] = {}  # options of a link, of servers, of disk faults, of a start or of the load
    event: str = ""  # kind to wait for, with matching `fields`, `count` times since the last change
    fields: dict[str, Any] = {}
    count: int = 1
    gate: str = ""
    stand: str = "open"  # the status of the readiness condition `gate` to wait for
    operation: str = ""
    tries: int = 1
    answer: tuple[str, ...] = ()  # expected outcomes; empty: the step does not wait for an answer
    bytes_off: int = 1  # bytes to remove
    part: float = 0.5  # position of the flipped bit, as a share of the segment's size
    seconds: float = WAIT_TIMEOUT


class Script(msgspec.Struct, forbid_unknown_fields=True):
    """A cluster and its steps; `runs` maps operations to the numbers of runs that are allowed at the end."""

    steps: tuple[Step, ...]
    agents: int = 3
    servers: int = 2
    seed: int = 1
    load: float = 0.0  # operations per second in addition to the script's own
    group: dict[str, Any] = {}
    runs: dict[str, tuple[int, ...]] = {}


class ScriptError(Exception):
    """A script is invalid, or one of its expectations failed; the message names the step or operation."""


def parse(text: str) -> Script:
    """Parse a script from JSON5. Raises ScriptError if it is invalid."""
    try:
        return msgspec.convert(json5.loads(text), Script)
    except (ValueError, msgspec.ValidationError) as error:
        raise ScriptError(str(error)) from None


def run_script(script: Script, folder: Path) -> Findings:
    """Run a script in a directory and return the checker's findings.

    Raises ScriptError if a step fails or an operation ran a number of times that is not allowed.
    """
    cluster = Cluster(folder, script.agents, script.servers, script.seed, **script.group)
    try:
        cluster.open()
        cluster.start()
        cluster.gate("unsafe")
        cluster.start_clients(rate=script.load)
        positions = [cluster.now]
        for number, step in enumerate(script.steps, 1):
            begin = cluster.now
            try:
                _run_step(cluster, step, positions)
            except (TimeoutError, ValueError) as error:
                raise ScriptError(f"step {number}, {step.do}: {error}") from None
            if step.do in ("start", "kill", "power_loss", "disk", "link"):
                positions.append(begin)  # later steps wait for events since this one
        cluster.drain()
    finally:
        cluster.close()
        cluster.history.write(folder / "history.jsonl")
    ran = [event["op"] for event in cluster.history.of("ran")]
    for name, allowed in script.runs.items():
        if ran.count(name) not in allowed:
            raise ScriptError(f"{name} ran {ran.count(name)} times")
    return check(cluster.history)


def _run_step(cluster: Cluster, step: Step, positions: list[int]) -> None:
    names, since = step.who or tuple(cluster.names), positions[-1]
    match step.do:
        case "start":
            cluster.start(*names, **step.change)
        case "kill":
            cluster.kill(*names)
        case "power_loss":
            cluster.power_loss()
        case "pause":
            cluster.pause(*names)
        case "wake":
            cluster.wake(*names)
        case "link":
            cluster.link(step.link, **step.change)
        case "servers":
            cluster.servers(**step.change)
        case "disk":
            cluster.faults(*names, **step.change)
        case "swap":
            cluster.swap(*names)
        case "lose" | "save" | "restore":
            for name in names:
                getattr(cluster, step.do)(name)
        case "cut_file":
            cluster.truncate_last_segment(names[0], step.bytes_off)
        case "flip":
            cluster.flip(names[0], step.part)
        case "load":
            cluster.actors["crowd"].send_command(**step.change)
        case "wait":
            cluster.wait(step.event, step.count, since, step.seconds, **step.fields)
        case "gate":
            cluster.gate(step.gate, *names, since=since, stand=step.stand, seconds=step.seconds)
        case "ask":
            if not step.answer:
                cluster.ask(names[0], step.operation, step.tries)
            else:
                _ask_until_expected(cluster, names[0], step)


def _ask_until_expected(cluster: Cluster, name: str, step: Step) -> None:
    """Send attempts until the outcome is an expected one.

    A refused attempt did not run, so it is safe to send the operation again.
    """
    for retry in range(MAX_REFUSED_ATTEMPTS):
        outcome = cluster.query(name, step.operation, step.tries + retry * 100)
        if outcome in step.answer:
            return
        if outcome != "refused":
            break
        sleep(0.1)
    raise ValueError(f"{step.operation} at {name} was answered {outcome or 'nothing'}")
