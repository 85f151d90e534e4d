"""A bad client sends one line that goes on in blanks; the usual clients of the same agent go on as before."""

from __future__ import annotations

import asyncio
import sys
from contextlib import suppress
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import lab  # noqa: E402

RATE = 20.0  # requests a second at each agent
QUIET, LOAD = 3.0, 15.0  # seconds of load before the bad client, and after it
WAIT_MS = {"read": 2000, "order": 2000}
BLANKS = 60_000  # in the bad client's line; an agent takes queries of up to 160 KiB
WAKES_SECONDS = 60.0  # until the agent is given up, after the load
OWED_SECONDS = 3.0  # a bad client is owed an error or a close within this time


async def bad_client(here: lab.Lab, agent: lab.Agent) -> None:
    """Send a line that has no end in sight: a statement, blanks, and then a letter that does not belong."""
    connection = await lab.Connection.open(agent.listen)
    text = lab.query("bad-1", "read", 2000) + b" " * BLANKS + b"x"
    connection.send(text)
    here.record.add("bad client sent its line", agent=agent.name, bytes=len(text))
    what = "nothing"
    with suppress(TimeoutError):
        async with asyncio.timeout(OWED_SECONDS):
            what = (await connection.answer()).what
    here.record.add("bad client got", what=what)


async def load(here: lab.Lab, agent: lab.Agent, number: int) -> None:
    """Send the usual clients' requests at a fixed rate."""
    count = int((QUIET + LOAD) * RATE)
    for index in range(count):
        kind = "order" if index % 5 == 0 else "read"
        here.send(agent, f"{number:02x}{index:014x}", kind, WAIT_MS[kind])
        await asyncio.sleep(1 / RATE)


async def test(folder: Path, trouble: bool) -> int:
    """Run the case."""
    here = lab.Lab(folder)
    try:
        await here.open()
        loads = [asyncio.create_task(load(here, agent, number)) for number, agent in enumerate(here.agents)]
        await asyncio.sleep(QUIET)
        bad = asyncio.create_task(bad_client(here, here.agents[0])) if trouble else None
        await asyncio.gather(*loads)
        while here.requests:
            await asyncio.gather(*here.requests, return_exceptions=True)
        if bad:
            await bad
        awake = await here.wait_responsive(here.agents[0], WAKES_SECONDS)
        here.record.add("agent answers" if awake else "agent still silent", agent=here.agents[0].name)
        exited = [agent.name for agent in here.agents if agent.process and agent.process.poll() is not None]
    finally:
        here.close()
    record = here.record
    lost = record.of("not answered")
    sent = len({each["id"] for each in record.of("sent")})
    by_agent = {
        agent.name: len([each for each in lost if each["agent"] == agent.name]) for agent in here.agents
    }
    answered = record.of("answered")
    wrong = [each for each in answered if not each["right"]]
    served = len([each for each in answered if each["what"] == "served"])
    print(f"{sent} requests sent, {served} served, lost by agent: {by_agent}, ended: {exited}")
    if served < sent / 4:
        raise lab.CannotRun(f"only {served} of {sent} requests were served at all")
    return lab.BROKEN if lost or wrong or exited else lab.KEPT


lab.main(FOLDER, test)
