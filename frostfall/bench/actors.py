"""The processes of a bench, each a stand-in with one part: servers, usual clients, slow clients.

Each reads one JSON object from standard input and writes JSON lines. What a server ran is told at its end, so
that the rules can be checked over all of them.
"""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from time import perf_counter
from typing import Any

import anyio
import msgspec

from frostfall.bench import peers
from frostfall.config import Address
from frostfall.net.streams import STREAM_ERRORS


def say(**fields: Any) -> None:
    """One line to whoever started this process."""
    sys.stdout.buffer.write(msgspec.json.encode(fields) + b"\n")
    sys.stdout.buffer.flush()


async def lines() -> Any:
    """The next object on standard input; None at its end."""
    text = await anyio.to_thread.run_sync(sys.stdin.buffer.readline)
    return msgspec.json.decode(text) if text else None


async def servers(count: int) -> None:
    """Serve until the input ends; a line `{"server": n, "script": s}` changes a script."""
    fleet = [peers.Server() for _ in range(count)]
    async with AsyncExitStack() as stack:
        addresses = [await stack.enter_async_context(peers.listening(each.serve)) for each in fleet]
        say(addresses=[str(address) for address in addresses])
        while (told := await lines()) is not None:
            fleet[told["server"]].script = told["script"]
        runs: Counter[str] = sum((each.runs for each in fleet), Counter())
        say(
            runs=sum(runs.values()),
            twice=[name for name, ran in runs.items() if ran > 1],
            each=[sum(server.runs.values()) for server in fleet],
        )


async def usual(address: str, rate: float, seconds: float, tag: str, unsafe: float) -> None:
    """Ask so often a second, whatever the answers do; latencies in milliseconds, each from when it was due.

    As clients do, a request takes a connection that is free or opens one, and is sent once more on a new one
    where the agent's close crossed it.
    """
    host, _, port = address.rpartition(":")
    times: list[float] = []
    answers: Counter[str] = Counter()
    free: list[peers.UsualClient] = []

    async def ask(name: str, kind: str, due: float) -> None:
        client = free.pop() if free else await peers.UsualClient.open(Address(host, int(port)))
        try:
            answer, value = await client.ask(peers.statement(name, kind))
        except STREAM_ERRORS:
            answers["crossed"] += 1
            client = await peers.UsualClient.open(Address(host, int(port)))
            answer, value = await client.ask(peers.statement(name, kind))
        free.append(client)
        right = value == peers.value_for(name, 100) if answer == b"D" else True
        times.append((perf_counter() - due) * 1000)
        answers["wrong" if not right else answer.decode()] += 1

    async with anyio.create_task_group() as group:
        begin = perf_counter()
        for number in range(int(seconds * rate)):
            due = begin + number / rate
            await anyio.sleep(max(due - perf_counter(), 0))
            group.start_soon(ask, f"{tag}-{number}", "order" if number % 100 < unsafe * 100 else "read", due)
    say(times=times, answers=dict(answers), connections=len(free))


async def slow(address: str, groups: list[dict[str, Any]], seconds: float, tag: str) -> None:
    """Slow clients that arrive together, by groups of one rate; when the agent shed each, in seconds."""
    host, _, port = address.rpartition(":")
    sets = [
        [
            peers.SlowClient(f"{tag}-{place}-{number}", group["rate"], group["size"], group["queries"])
            for number in range(group["count"])
        ]
        for place, group in enumerate(groups)
    ]
    with anyio.move_on_after(seconds):
        async with anyio.create_task_group() as tasks:
            for each in (client for one in sets for client in one):
                tasks.start_soon(each.run, Address(host, int(port)))
    say(ended=[[client.shed for client in one if client.began] for one in sets])


def main() -> None:
    """Play the part that the first argument names."""
    told = msgspec.json.decode(sys.stdin.buffer.readline())
    parts: dict[str, Callable[..., Awaitable[None]]] = {"servers": servers, "usual": usual, "slow": slow}
    if part := parts.get(sys.argv[1]):
        anyio.run(lambda: part(**told))
        return
    from frostfall.bench.actors_fleet import PARTS
    from frostfall.bench.relay import relay

    many: dict[str, Callable[..., Awaitable[None]]] = {"relay": relay, **PARTS}
    anyio.run(lambda: many[sys.argv[1]](say, lines, **told))


if __name__ == "__main__":
    main()
