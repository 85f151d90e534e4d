"""Five hundred clients connect and say nothing, to an agent with deploy/operator.json5."""

from __future__ import annotations

import asyncio
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins2"))

from sites import materials
from world import BROKEN, HELD, HOST, ROOT, Record, World, main

SILENT = 500  # connections that say nothing, all at once
REQUESTS = 20  # of usual clients, each on a new connection, a twentieth of a second apart
WAIT_MS = 1200  # that a usual client waits: 40% of its class's time
LOST_AFTER = 0.5  # seconds after a request's time from which it counts as lost


async def silent(port: int) -> None:
    """Connect, say nothing, and stay until the agent closes."""
    loop = asyncio.get_running_loop()
    with socket.socket() as raw:
        raw.setblocking(False)
        try:
            await loop.sock_connect(raw, (HOST, port))
            while await loop.sock_recv(raw, 4096):
                pass
        except OSError:
            pass


async def play(folder: Path, record: Record, trouble: bool) -> int:
    """Play the case; return its exit code."""
    world = World(folder, record, materials(), ["posta"])
    try:
        for number in range(6):
            world.add_server(f"s-{number}", "posta", work_seconds=0.1)
        world.configure()
        world.agents[0].operator = ROOT / "deploy" / "operator.json5"
        await world.start()
        await world.load_all(10.0, 2.0, [("spec-lookup", WAIT_MS, 1.0)])
        world.forget_connections(0)
        if trouble:
            record.write("silent", connections=SILENT)
            for _ in range(SILENT):
                world.ports.spawn(silent(world.agents[0].port))
            await asyncio.sleep(0.2)
        asked = []
        for _ in range(REQUESTS):
            asked.append(asyncio.create_task(world.ask(0, "spec-lookup", WAIT_MS, reuse=False)))
            await asyncio.sleep(0.05)
        answered = await asyncio.gather(*asked)
        lost = [each for each in answered if each.answer in ("", "gave up", "closed")]
        for each in lost:
            record.write("lost", id=each.request, answer=each.answer, after_ms=int(each.after * 1000))
        count = f"{len(lost)} of {REQUESTS} requests"
        print(f"{count} had no answer {LOST_AFTER} s after their time; {world.summary()}")
        return BROKEN if lost else HELD
    finally:
        world.close()


if __name__ == "__main__":
    sys.exit(main(Path(__file__).resolve().parent, play))
