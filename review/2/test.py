"""A bad client sends the id of another client's open request to an agent of a group, and leaves again."""

from __future__ import annotations

import asyncio
import sys
from contextlib import suppress
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import lab  # noqa: E402

WORK = 0.3  # seconds that an appliance takes for a request
READY_SECONDS = 15.0  # until the group takes unsafe work
OPEN_AFTER, LEAVES_AFTER = 0.1, 0.05  # seconds: the request is open; the bad client stays so long
ROUNDS = 12
WAIT_MS = 2000


def group(here: lab.Lab) -> Any:
    """Return a function that gives each agent's operator file, with all agents in one group."""
    addresses = [here.free_address() for _ in range(3)]

    def operator(number: int, names: list[str]) -> dict[str, Any]:
        members = [{"name": name, "address": address} for name, address in zip(names, addresses)]
        data = str(here.temporary / f"data-{names[number]}")
        return {"group": {"data": data, "key": "a key of this test alone", "members": members, "new": True}}

    return operator


async def bad_client(here: lab.Lab, agent: lab.Agent, request: str) -> None:
    """Send a statement with the id of another client's open request, and close the connection."""
    await asyncio.sleep(OPEN_AFTER)
    connection = await lab.Connection.open(agent.listen)
    connection.send(lab.query(request, "order", WAIT_MS))
    here.record.add("bad client sent", agent=agent.name, id=request)
    what = "nothing"
    with suppress(TimeoutError):
        async with asyncio.timeout(LEAVES_AFTER):
            answer = await connection.answer()
            what = f"{answer.what} {answer.code}"
    connection.close()
    here.record.add("bad client left", id=request, got=what)


async def wait_for_group(here: lab.Lab) -> None:
    """Send unsafe requests until each agent serves one."""
    for agent in here.agents:
        for attempt in range(int(READY_SECONDS / 0.5)):
            request = f"warm-{agent.name}-{attempt}"
            await here.send(agent, request, "order", WAIT_MS)
            if here.record.of("answered", id=request, what="served"):
                break
            await asyncio.sleep(0.5)
        else:
            raise lab.CannotRun(f"{agent.name} takes no unsafe work: {here.log_tail(agent)}")


async def test(folder: Path, trouble: bool) -> int:
    """Run the case."""
    here = lab.Lab(folder, work=WORK)
    try:
        await here.open(group(here))
        await wait_for_group(here)
        for index in range(ROUNDS):
            requests = [f"{number:02x}{index:014x}" for number in range(len(here.agents))]
            for agent, request in zip(here.agents, requests):
                here.send(agent, request, "order", WAIT_MS)
            if trouble:
                await bad_client(here, here.agents[0], requests[0])
            await asyncio.sleep(0.5)
        while here.requests:
            await asyncio.gather(*here.requests, return_exceptions=True)
        exited = [agent.name for agent in here.agents if agent.process and agent.process.poll() is not None]
    finally:
        here.close()
    record = here.record
    lost = [each for each in record.of("not answered") if not each["id"].startswith("warm")]
    ran_and_lost = [each["id"] for each in lost if record.of("run", id=each["id"])]
    runs = [each["id"] for each in record.of("run")]
    twice = sorted({request for request in runs if runs.count(request) > 1})
    wrong = [each for each in record.of("answered") if not each["right"]]
    print(f"{ROUNDS * 3} requests, lost: {len(lost)}, of these had run: {len(ran_and_lost)}, twice: {twice}")
    print(f"wrong answers: {len(wrong)}, ended: {exited}")
    return lab.BROKEN if lost or wrong or twice or exited else lab.KEPT


lab.main(FOLDER, test)
