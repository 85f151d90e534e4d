"""Keeps the agent's background loops running: an exception ends one turn of a loop, never the agent."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio

from frostfall import log

RESTART_PAUSE_SECONDS = 0.1  # before a loop that has failed begins anew

_log = log.get_logger("agent")


async def keep_running(name: str, loop: Callable[[], Awaitable[None]]) -> None:
    """Run a loop until it returns or is cancelled; after an exception it begins anew."""
    while True:
        try:
            await loop()
            return
        except Exception:  # a task boundary: the other loops, and the requests in flight, go on
            _log.exception("background loop failed", loop=name)
        await anyio.sleep(RESTART_PAUSE_SECONDS)
