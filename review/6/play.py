"""Bad clients send the id of another client's open request to an agent of a group."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins2"))

from sites import materials
from world import BROKEN, HELD, Client, Record, World, main, value_of

ROUNDS = 10
WORK_SECONDS = 1.0  # so long a server works on a request
BAD_AFTER = 0.3  # seconds after the usual client's request
WAIT_MS = 4000


async def ask(world: World, who: str, request: str, text: str) -> tuple[str, bytes]:
    """Send one query on a connection of its own; return the answer."""
    client = await Client.open(world.agents[0].port)
    try:
        world.record.write("request", who=who, id=request, text=repr(text))
        answer, value = await asyncio.wait_for(client.ask(text.encode()), WAIT_MS / 1000 + 1)
    except (OSError, EOFError):
        answer, value = "closed", b""
    finally:
        client.close()
    world.record.write("answer", who=who, id=request, answer=answer, value=value.decode())
    return answer, value


async def play(folder: Path, record: Record, trouble: bool) -> int:
    """Play the case; return its exit code."""
    world = World(folder, record, materials(), ["posta", "posta", "kariakoo"])
    try:
        for number in range(6):
            world.add_server(f"s-{number}", "posta", work_seconds=WORK_SECONDS)
        world.configure()
        if os.environ.get("GROUP", "1") != "0":
            world.form_group()
        await world.start()
        await asyncio.sleep(3.0)  # the group's gates open
        broken = 0
        for number in range(ROUNDS):
            request = f"{0xA0 + number:016x}"
            usual = (
                f"INSERT INTO entries (ref, payload) VALUES ('batch-{number}', '\\x01') RETURNING payload"
                f" /* id={request},c=cert-submit,d={WAIT_MS} */"
            )
            bad = (
                f"INSERT INTO entries (ref, payload) VALUES ('another', '\\xff') RETURNING payload"
                f" /* id={request},c=cert-submit,d={WAIT_MS} */"
            )
            task = asyncio.create_task(ask(world, "usual", request, usual))
            await asyncio.sleep(BAD_AFTER)
            if trouble:
                answer, value = await ask(world, "bad", request, bad)
                if answer == "served":
                    broken += 1
                    record.write("served-bad", id=request, value=value.decode())
            answer, value = await task
            if answer != "served" or value != value_of(request):
                record.write("usual-not-served", id=request, answer=answer)
        print(f"{broken} of {ROUNDS} bad clients were served another client's answer")
        return BROKEN if broken else HELD
    finally:
        world.close()


if __name__ == "__main__":
    sys.exit(main(Path(__file__).resolve().parent, play))
