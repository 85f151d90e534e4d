"""SIGHUP moves discovery to an address that is crowded at first, and a server drains meanwhile."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins2"))

from sites import GREENHOUSE_CLASSES, greenhouses
from world import Record, World, judge_drain, main

MOVE_AT = 5.0  # seconds after the load's start
CROWDED_SECONDS = 5.6  # after SIGHUP, in which discovery's new address refuses calls
LOAD_SECONDS = 12.0
RATE = 25.0  # requests a second at each agent
TOLD_AFTER = 4.0  # seconds after SIGHUP by which all that discovery has counts as told
GRACE = 0.25 + 0.05  # of the settings, and 50 ms on sockets


async def play(folder: Path, record: Record, trouble: bool) -> int:
    """Play the case; return its exit code."""
    world = World(folder, record, greenhouses(), ["waco", "waco", "temple"])
    try:
        for number in range(12):
            world.add_server(f"s-{number}", "waco" if number % 2 else "temple", work_seconds=0.16, cores=2)
        world.configure()
        await world.start()
        load = asyncio.create_task(world.load_all(RATE, LOAD_SECONDS, GREENHOUSE_CLASSES))
        await asyncio.sleep(MOVE_AT)
        # A change of the list like any other: the agents hear of it at once.
        world.discovery.change(world.entry("s-11", lifecycle="terminating"))
        world.drain("s-11")
        await asyncio.sleep(0.2)
        moved_at = record.now()
        if trouble:
            world.discovery.crowded_until = moved_at + CROWDED_SECONDS
        for agent in world.agents:
            agent.config["discovery"] = world.serve_discovery(agent.number, world.discovery)
            agent.write_config()
            agent.signal(signal.SIGHUP)
            record.write("sighup", agent=agent.number)
        await asyncio.sleep(0.2)
        world.drain("s-0")
        world.discovery.change(world.entry("s-0", lifecycle="terminating"))
        await load
        return judge_drain(world, "s-0", moved_at + TOLD_AFTER + GRACE)
    finally:
        world.close()


if __name__ == "__main__":
    sys.exit(main(Path(__file__).resolve().parent, play))
