"""Restarts background loops of the agent after an exception, so that no exception ends the agent."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio

from frostfall import log

RESTART_DELAY_SECONDS = 0.1

_log = log.get_logger("agent")


async def run_with_restarts(name: str, loop: Callable[[], Awaitable[None]]) -> None:
    """Run a loop until it returns or is cancelled; restart it after an exception."""
    while True:
        try:
            await loop()
            return
        except Exception:  # task boundary: other loops and requests in flight must continue
            _log.exception("background loop failed", loop=name)
        await anyio.sleep(RESTART_DELAY_SECONDS)
