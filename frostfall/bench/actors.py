"""Stand-in processes of a bench, each with one role: servers, normal clients or slow clients.

Each process reads its options as one JSON object from standard input and writes JSON lines. The servers
report what they ran at their end, so that duplicate runs can be detected across all servers.
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


def emit(**fields: Any) -> None:
    """Write one JSON line to the process that started this one."""
    sys.stdout.buffer.write(msgspec.json.encode(fields) + b"\n")
    sys.stdout.buffer.flush()


async def next_command() -> Any:
    """Return the next JSON object from standard input, or None at its end."""
    text = await anyio.to_thread.run_sync(sys.stdin.buffer.readline)
    return msgspec.json.decode(text) if text else None


async def servers(count: int) -> None:
    """Serve until the input ends; a line `{"server": n, "script": s}` changes the script of server `n`."""
    fleet = [peers.Server() for _ in range(count)]
    async with AsyncExitStack() as stack:
        addresses = [await stack.enter_async_context(peers.listening(each.serve)) for each in fleet]
        emit(addresses=[str(address) for address in addresses])
        while (command := await next_command()) is not None:
            fleet[command["server"]].script = command["script"]
        runs: Counter[str] = sum((each.runs for each in fleet), Counter())
        emit(
            runs=sum(runs.values()),
            twice=[name for name, ran in runs.items() if ran > 1],
            each=[sum(server.runs.values()) for server in fleet],
        )


async def usual(address: str, rate: float, seconds: float, tag: str, unsafe: float) -> None:
    """Send requests at a fixed rate per second, independent of the answers (an open load).

    Latencies are in milliseconds, from the time at which a request was due. A request uses a free connection
    or opens one. If the agent closed the connection while the request was on its way, the request is sent
    once more on a new connection.
    """
    host, _, port = address.rpartition(":")
    latencies: list[float] = []
    answers: Counter[str] = Counter()
    free: list[peers.NormalClient] = []

    async def send_request(name: str, kind: str, due: float) -> None:
        client = free.pop() if free else await peers.NormalClient.open(Address(host, int(port)))
        try:
            answer, value = await client.ask(peers.statement(name, kind))
        except STREAM_ERRORS:
            answers["crossed"] += 1
            client = await peers.NormalClient.open(Address(host, int(port)))
            answer, value = await client.ask(peers.statement(name, kind))
        free.append(client)
        correct = value == peers.value_for(name, 100) if answer == b"D" else True
        latencies.append((perf_counter() - due) * 1000)
        answers["wrong" if not correct else answer.decode()] += 1

    async with anyio.create_task_group() as group:
        started_at = perf_counter()
        for number in range(int(seconds * rate)):
            due = started_at + number / rate
            await anyio.sleep(max(due - perf_counter(), 0))
            group.start_soon(
                send_request, f"{tag}-{number}", "order" if number % 100 < unsafe * 100 else "read", due
            )
    emit(times=latencies, answers=dict(answers), connections=len(free))


async def slow(address: str, groups: list[dict[str, Any]], seconds: float, tag: str) -> None:
    """Run groups of slow clients that connect at the same time; the clients of a group share one rate.

    Reports after how many seconds the agent shed each client.
    """
    host, _, port = address.rpartition(":")
    client_groups = [
        [
            peers.SlowClient(f"{tag}-{index}-{number}", group["rate"], group["size"], group["queries"])
            for number in range(group["count"])
        ]
        for index, group in enumerate(groups)
    ]
    with anyio.move_on_after(seconds):
        async with anyio.create_task_group() as tasks:
            for each in (client for clients in client_groups for client in clients):
                tasks.start_soon(each.run, Address(host, int(port)))
    emit(ended=[[client.shed for client in clients if client.started_at] for clients in client_groups])


def main() -> None:
    """Run the role that the first command-line argument names."""
    command = msgspec.json.decode(sys.stdin.buffer.readline())
    parts: dict[str, Callable[..., Awaitable[None]]] = {"servers": servers, "usual": usual, "slow": slow}
    if part := parts.get(sys.argv[1]):
        anyio.run(lambda: part(**command))
        return
    from frostfall.bench.actors_fleet import PARTS
    from frostfall.bench.relay import relay

    fleet_parts: dict[str, Callable[..., Awaitable[None]]] = {"relay": relay, **PARTS}
    anyio.run(lambda: fleet_parts[sys.argv[1]](emit, next_command, **command))


if __name__ == "__main__":
    main()
