"""The agents of a group are restarted one after another, with SIGTERM, and later once more."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins2"))

from sites import MATERIALS_CLASSES, materials
from world import BROKEN, HELD, Record, World, main

ROUNDS = 2  # of restarts, each of all agents, one at a time
BEFORE_SECONDS = 4.0  # of load before the restarts
AFTER_SECONDS = 8.0  # of load behind them
RATE = 15.0  # requests a second at each agent
ENDS_WITHIN = 4.0  # seconds after SIGTERM: 3 s for the longest deadline, 0.7 s, and some room
SPAN = 4.0  # seconds on end in which an agent rejects all that it gets
LEAST = 15  # requests, at the least


def rejected_all(world: World, agent: int) -> bool:
    """Return whether an agent rejected all of 15 requests or more for 4 s on end, without an attempt."""
    asked = [each for each in world.asked if each.agent == agent]
    attempts = [
        each.first_byte_at
        for server in world.servers.values()
        for each in server.arrivals
        if each.agent == agent
    ]
    for first in asked:
        inside = [each for each in asked if first.at <= each.at <= first.at + SPAN]
        if len(inside) < LEAST or inside[-1].at - first.at < SPAN - 0.2:
            continue
        end = max(each.at + each.after for each in inside)
        refused = all(each.answer in ("53300", "57P03") for each in inside)
        if refused and not any(first.at <= at <= end for at in attempts):
            return True
    return False


async def play(folder: Path, record: Record, trouble: bool) -> int:
    """Play the case; return its exit code."""
    world = World(folder, record, materials(), ["posta", "posta", "kariakoo"])
    try:
        for number in range(9):
            world.add_server(f"s-{number}", "posta" if number < 5 else "kariakoo")
        world.configure()
        if os.environ.get("GROUP", "1") != "0":
            world.form_group()
        await world.start()
        await asyncio.sleep(3.0)  # the group's gates open
        await world.load_all(RATE, BEFORE_SECONDS, MATERIALS_CLASSES)
        for agent in world.agents * ROUNDS if trouble else ():
            world.forget_connections(agent.number)
            agent.signal(signal.SIGTERM)
            record.write("sigterm", agent=agent.number)
            until = time.monotonic() + ENDS_WITHIN
            while agent.process and agent.process.poll() is None and time.monotonic() < until:
                await asyncio.sleep(0.05)
            agent.kill()
            agent.config["known"] = world.discovery.view(agent.number, None)  # as the agent last had it
            agent.start()
            record.write("agent-start", agent=agent.number)
            await agent.ready()
        await asyncio.sleep(1.0)
        await world.load_all(RATE, AFTER_SECONDS, MATERIALS_CLASSES)
        rejecting = [agent.number for agent in world.agents if rejected_all(world, agent.number)]
        record.write("rejecting", agents=rejecting)
        print(f"agents that reject all: {rejecting} of {len(world.agents)}; answers: {world.summary()}")
        return BROKEN if len(rejecting) * 10 > len(world.agents) else HELD
    finally:
        world.close()


if __name__ == "__main__":
    sys.exit(main(Path(__file__).resolve().parent, play))
