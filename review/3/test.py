"""Hundreds of bad clients stop in the middle of a command; the usual clients of the same agent go on."""

from __future__ import annotations

import asyncio
import random
import struct
import sys
from contextlib import suppress
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import lab  # noqa: E402

RATE = 20.0  # requests a second at each agent
QUIET, LOAD = 3.0, 15.0  # seconds of load before the bad clients, and beside them
SHORTEST_MS, LONGEST_MS = 800, 2000  # 40 to 100 % of the give-up time of both classes
SOCKETS = 256  # descriptors of an agent
BAD_CLIENTS = 300
STAYS = 10.0  # seconds for which a bad client stays if it is neither answered nor turned away


async def bad_client(agent: lab.Agent) -> None:
    """Send half a command and stay; once turned away, do the same again."""
    while True:
        with suppress(OSError, TimeoutError):
            connection = await lab.Connection.open(agent.listen)
            connection.writer.write(b"Q" + struct.pack("!I", 200) + b"SELECT payload FROM entries")
            with suppress(TimeoutError):
                await asyncio.wait_for(connection.reader.read(-1), STAYS)
            connection.close()
        await asyncio.sleep(0)


async def load(here: lab.Lab, agent: lab.Agent, number: int) -> None:
    """Send the usual clients' requests at a fixed rate."""
    source = random.Random(number)
    for index in range(int((QUIET + LOAD) * RATE)):
        kind = "order" if index % 5 == 0 else "read"
        here.send(agent, f"{number:02x}{index:014x}", kind, source.randint(SHORTEST_MS, LONGEST_MS))
        await asyncio.sleep(1 / RATE)


async def test(folder: Path, trouble: bool) -> int:
    """Run the case."""
    here = lab.Lab(folder, limits={"sockets": SOCKETS})
    bad: list[asyncio.Task[None]] = []
    try:
        await here.open()
        loads = [asyncio.create_task(load(here, agent, number)) for number, agent in enumerate(here.agents)]
        await asyncio.sleep(QUIET)
        if trouble:
            here.record.add("bad clients come", agent=here.agents[0].name, count=BAD_CLIENTS)
            bad = [asyncio.create_task(bad_client(here.agents[0])) for _ in range(BAD_CLIENTS)]
        await asyncio.gather(*loads)
        while here.requests:
            await asyncio.gather(*here.requests, return_exceptions=True)
        exited = [agent.name for agent in here.agents if agent.process and agent.process.poll() is not None]
    finally:
        for task in bad:
            task.cancel()
        here.close()
    record = here.record
    lost, late = record.of("not answered"), here.run_after_leaving()
    sent = len({each["id"] for each in record.of("sent")})
    answered = record.of("answered")
    wrong = [each for each in answered if not each["right"]]
    served = len([each for each in answered if each["what"] == "served"])
    by_agent = {
        agent.name: len([each for each in lost if each["agent"] == agent.name]) for agent in here.agents
    }
    print(f"{sent} requests sent, {served} served, lost by agent: {by_agent}, ended: {exited}")
    unsafe = len([each for each in late if each["kind"] == "order"])
    print(f"sent to appliances after their clients had gone: {len(late)}, of these unsafe: {unsafe}")
    if served < sent / 4:
        raise lab.CannotRun(f"only {served} of {sent} requests were served at all")
    return lab.BROKEN if lost or late or wrong or exited else lab.KEPT


lab.main(FOLDER, test)
