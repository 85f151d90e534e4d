"""Tests of the agent's clock and of its timer queue."""

from __future__ import annotations

import time

import anyio
import pytest

from frostfall.net.clock import Clock, TimerQueue
from tests.standins import TEST_TIMEOUT_SECONDS


def test_two_clocks_agree_on_unix_time() -> None:
    first, second = Clock(), Clock()
    assert abs(first.now() - second.now()) < 50_000
    assert abs(first.now() - time.time() * 1e6) < 50_000


def test_the_clock_never_goes_back_when_the_wall_clock_does() -> None:
    wall, monotonic = [10**18], [5 * 10**9]
    clock = Clock(lambda: wall[0], lambda: monotonic[0])
    first = clock.now()
    assert first == 10**15
    wall[0] -= 3600 * 10**9
    monotonic[0] += 2_000_000
    assert clock.now() == first + 2000


@pytest.mark.anyio
async def test_timers_fire_in_order_and_a_later_timer_does_not_delay_an_earlier_one() -> None:
    clock, due, done = Clock(), list[str](), anyio.Event()
    timers = TimerQueue(clock)

    def fire(token: str) -> None:
        due.append(token)
        if token == "first":
            timers.schedule(1_000, "second")
            timers.schedule(1_000, "third")
        if token == "third":
            done.set()

    timers.schedule(60_000_000, "never")
    async with anyio.create_task_group() as group:
        group.start_soon(timers.run, fire)
        await anyio.wait_all_tasks_blocked()
        timers.schedule(1_000, "first")
        with anyio.fail_after(TEST_TIMEOUT_SECONDS):
            await done.wait()
        group.cancel_scope.cancel()
    assert due == ["first", "second", "third"] and len(timers) == 1
