"""All agents are killed; a server drains while they are away; then they start again together."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins2"))

from sites import MATERIALS_CLASSES, materials
from world import Record, World, judge_drain, main

DOWN_SECONDS = 7.5  # from the kill to the new start
CALL_SECONDS = 1.2  # that discovery works on a call; it works through calls in turn
BEFORE_SECONDS = 3.0  # of load before the kill
AFTER_SECONDS = 5.0  # of load after the new start
RATE = 25.0  # requests a second at each agent
TOLD_AFTER = 6.0  # seconds after which a change that discovery has counts as told
GRACE = 1.0 + 0.05  # of the settings, and 50 ms on sockets


async def play(folder: Path, record: Record, trouble: bool) -> int:
    """Play the case; return its exit code."""
    world = World(folder, record, materials(), ["posta", "posta", "kariakoo"])
    try:
        for number in range(9):
            world.add_server(f"s-{number}", "posta" if number < 5 else "kariakoo")
        world.configure()
        await world.start()
        await world.load_all(RATE, BEFORE_SECONDS, MATERIALS_CLASSES)
        if trouble:
            for agent in world.agents:
                agent.signal(signal.SIGKILL)
                record.write("kill", agent=agent.number)
            for agent in world.agents:
                agent.kill()
                world.forget_connections(agent.number)
        await asyncio.sleep(0.1)
        world.drain("s-0")
        listed_at = world.discovery.change(world.entry("s-0", lifecycle="terminating"))
        await asyncio.sleep(DOWN_SECONDS - 0.1)
        if trouble:
            world.discovery.call_seconds = CALL_SECONDS
            await world.start()
        await world.load_all(RATE, AFTER_SECONDS, MATERIALS_CLASSES)
        return judge_drain(world, "s-0", listed_at + TOLD_AFTER + GRACE)
    finally:
        world.close()


if __name__ == "__main__":
    sys.exit(main(Path(__file__).resolve().parent, play))
