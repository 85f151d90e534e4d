"""Limits on slow peers, fair scheduling and timers, compared with simple models."""

from __future__ import annotations

from collections import deque
from itertools import pairwise

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from frostfall.limits.arrival_pacing import ArrivalPacer, ArrivalRate
from frostfall.limits.buffer_budget import BufferBudget, BufferLimits, BufferScope
from frostfall.limits.fair_scheduling import DeficitCounter, Quantum
from frostfall.limits.indexed_heap import IndexedHeap
from frostfall.limits.options import ClientOptions, SlowPeerOptions
from frostfall.limits.shed_counter import ShedCounter, ShedReason, ShedReport
from frostfall.limits.slow_peer_detector import ConnectionProgress, SlowPeerDetector
from frostfall.limits.stall_adjusted_clock import StallAdjustedClock
from frostfall.limits.throughput_monitor import END_UNKNOWN, MinimumRate, ThroughputMonitor, ThroughputVerdict
from frostfall.limits.timer_wheel import Timer, TimerWheel

MINIMUM = MinimumRate(rate=2000.0, window=4.0, grace=1.5)
INTERVAL = 0.25
settings.register_profile("fixed", derandomize=True, deadline=None, max_examples=150)
settings.load_profile("fixed")


def seconds_until_failure(rates: list[float], minimum: MinimumRate = MINIMUM) -> float | None:
    """Return when a peer fails that transfers `rates[i]` bytes per second after observation `i`."""
    monitor, transferred = ThroughputMonitor(), 0.0
    for index, rate in enumerate(rates):
        if (
            monitor.observe(index * INTERVAL, int(transferred), END_UNKNOWN, minimum)
            is ThroughputVerdict.FAILED
        ):
            return index * INTERVAL
        transferred += rate * INTERVAL
    return None


def test_a_slow_peer_fails_after_the_window_and_a_peer_just_above_the_rate_never() -> None:
    assert seconds_until_failure([500.0] * 100) == MINIMUM.window
    assert seconds_until_failure([0.0] * 100) == MINIMUM.window
    assert seconds_until_failure([2050.0] * 4000) is None


def test_a_stall_is_excused_up_to_the_grace() -> None:
    steady = [2100.0] * 40
    assert seconds_until_failure(steady + [0.0] * 5 + steady) is None  # a stall of 1.25 s
    assert seconds_until_failure(steady + [0.0] * 10 + steady) is not None


def test_a_receiver_that_reads_in_whole_segments_is_not_slow() -> None:
    stepped = [0.0, 0.0, 1460 / INTERVAL] * 200  # on average 1,947 bytes per second, in steps of 0.75 s
    assert seconds_until_failure(stepped, MinimumRate(rate=1800.0, window=4.0, grace=1.0)) is None


def test_a_peer_that_is_one_answer_behind_at_each_observation_never_fails() -> None:
    monitor, written = ThroughputMonitor(), 0
    # Only 800 bytes per second, but at each observation just the last answer is unread.
    for index in range(1000):
        read, written = written, written + 200
        assert monitor.observe(index * INTERVAL, read, written, MINIMUM) is not ThroughputVerdict.FAILED
    assert monitor.observe(251.0, written, written, MINIMUM) is ThroughputVerdict.IDLE


def test_idle_and_stalled_are_distinguished() -> None:
    monitor = ThroughputMonitor()
    assert monitor.observe(0.0, 100, 100, MINIMUM) is ThroughputVerdict.IDLE
    assert monitor.observe(1.0, 100, 5000, MINIMUM) is ThroughputVerdict.PROGRESSING
    assert monitor.observe(1.25, 100, 5000, MINIMUM) is ThroughputVerdict.STALLED
    assert monitor.observe(2.25, 200, 5000, MINIMUM) is ThroughputVerdict.PROGRESSING  # within the grace
    assert monitor.observe(4.0, 300, 5000, MINIMUM) is ThroughputVerdict.SLOW
    assert monitor.observe(4.25, 300, 300, MINIMUM) is ThroughputVerdict.IDLE
    monitor.observe(5.0, 300, 900, MINIMUM)
    monitor.reset()
    assert monitor.verdict is ThroughputVerdict.IDLE and monitor.throughput == 0.0


@given(st.lists(st.integers(0, 3000), min_size=1, max_size=80))
def test_the_monitor_agrees_with_one_that_retains_all_samples(steps: list[int]) -> None:
    monitor, transferred = ThroughputMonitor(), 0
    samples: list[tuple[float, int]] = []
    for index, step in enumerate(steps):
        now = index * INTERVAL
        verdict = monitor.observe(now, transferred, END_UNKNOWN, MINIMUM)
        samples.append((now, transferred))
        window_start = max(0.0, now - MINIMUM.window)
        start_bytes = max(total for at, total in samples if at <= window_start)
        progress = [
            at
            for (at, total), (_, previous) in zip(samples[1:], samples)
            if total > previous and at > window_start
        ]
        points = [window_start, *progress, now]
        stall = max(later - earlier for earlier, later in pairwise(points))
        too_slow = now >= MINIMUM.window and transferred - start_bytes < MINIMUM.rate * (
            MINIMUM.window - min(stall, MINIMUM.grace)
        )
        assert (verdict is ThroughputVerdict.FAILED) == too_slow
        transferred += step


def test_the_ranges_of_a_minimum_rate_are_checked() -> None:
    for invalid in ({"rate": 0.0}, {"rate": 1.0, "window": 0.0}, {"rate": 1.0, "window": 2.0, "grace": 2.0}):
        with pytest.raises(msgspec.ValidationError):
            msgspec.convert(invalid, MinimumRate)


HEAP_OPERATIONS = st.lists(st.tuples(st.integers(0, 12), st.integers(-1, 20)), max_size=120)


@given(HEAP_OPERATIONS)
def test_the_indexed_heap_agrees_with_a_scan(operations: list[tuple[int, int]]) -> None:
    heap, expected, order = IndexedHeap[int](), dict[int, tuple[float, int]](), 0
    for item, value in operations:
        if value < 0:
            assert heap.discard(item) == (expected.pop(item, None) is not None)
        else:
            heap.put(item, (float(value),))
            order -= 1
            expected[item] = float(value), expected[item][1] if item in expected else order
        assert len(heap) == len(expected)
        assert heap.first == max(expected, key=lambda each: expected[each], default=None)
        assert all(heap.priority(each) == (expected[each][0],) for each in expected)


LIMITS = BufferLimits(
    reader_bytes=50, source_bytes=100, all_bytes=150, grain_bytes=10, kernel_bytes=10, fast=1e3
)
UPDATES = st.lists(
    st.tuples(st.integers(0, 9), st.integers(0, 60), st.sampled_from([None, 0.0, 5.0, 2e3])), max_size=80
)


def eviction_priority(account: tuple[int, float | None]) -> tuple[bool, int, float]:
    """Order clients by whether a throughput is known, then by buffered bytes in grains, then by slowness."""
    buffered, throughput = account
    return throughput is not None, buffered // 10, -(throughput or 0.0)


@given(UPDATES)
def test_the_budget_agrees_with_plain_sums_and_never_evicts_fast_readers(
    updates: list[tuple[int, int, float | None]],
) -> None:
    budget, accounts = BufferBudget[int](LIMITS), dict[int, tuple[int, float | None]]()
    for client, buffered, throughput in updates:
        budget.update(client, str(client % 3), buffered, throughput)
        if buffered:
            accounts[client] = (
                buffered,
                accounts[client][1] if throughput is None and client in accounts else throughput,
            )
        else:
            accounts.pop(client, None)
        while eviction := budget.find_eviction(client):
            scope, evicted = eviction
            slow = {each: account for each, account in accounts.items() if (account[1] or 0.0) < LIMITS.fast}
            assert evicted in slow
            if scope is BufferScope.CLIENT:
                assert evicted == client and accounts[client][0] > 50
            else:
                candidates = [each for each in slow if scope is BufferScope.TOTAL or each % 3 == client % 3]
                assert eviction_priority(slow[evicted]) == max(
                    eviction_priority(slow[each]) for each in candidates
                )
            budget.release(evicted)
            del accounts[evicted]
        assert budget.buffered_bytes == sum(amount for amount, _ in accounts.values())
        for source in range(3):
            source_bytes = sum(amount for each, (amount, _) in accounts.items() if each % 3 == source)
            assert budget.buffered_for_source(str(source)) == source_bytes
        assert budget.saturated == (
            budget.buffered_bytes > 150
            and all((throughput or 0) >= 1e3 for _, throughput in accounts.values())
        )


def test_among_clients_with_nearly_equal_amounts_the_slowest_is_evicted() -> None:
    budget = BufferBudget[str](LIMITS)
    accounts = (("still", 41, 0.0), ("steady", 49, 9.0), ("third", 45, 4.0), ("last", 40, 2.0))
    for client, buffered, throughput in accounts:
        budget.update(client, client, buffered, throughput)
    assert budget.find_eviction("steady") == (BufferScope.TOTAL, "still")


DELAYS = [-1, 1, 2, 5, 63, 64, 65, 130, 4095, 4097, 300_000]


class NamedTimer(Timer):
    """A timer with a name."""

    def __init__(self, name: int) -> None:
        super().__init__()
        self.name = name


SCHEDULES = st.lists(
    st.tuples(st.integers(0, 9), st.sampled_from(DELAYS), st.sampled_from([0, 1, 3, 64, 700, 5000])),
    max_size=60,
)


@given(SCHEDULES)
def test_the_wheel_agrees_with_a_dictionary_of_deadlines(operations: list[tuple[int, int, int]]) -> None:
    wheel, timers, deadlines = (
        TimerWheel[NamedTimer](),
        [NamedTimer(name) for name in range(10)],
        dict[int, int](),
    )
    for name, delay, ahead in operations:
        if delay < 0:
            wheel.cancel(timers[name])
            deadlines.pop(name, None)
        else:
            wheel.schedule(timers[name], delay)
            deadlines[name] = wheel.tick + delay
        assert len(wheel) == len(deadlines)
        end, previous = wheel.tick + ahead, 0
        for timer in wheel.advance(end):
            assert deadlines[timer.name] == wheel.tick >= previous
            previous = deadlines.pop(timer.name)
        assert wheel.tick == end and all(due > end for due in deadlines.values())
        assert {timer.name for timer in timers if timer.armed} == set(deadlines)


def test_a_timer_cancelled_by_another_in_the_same_tick_does_not_expire() -> None:
    wheel, timers, expired = TimerWheel[NamedTimer](), [NamedTimer(0), NamedTimer(1)], list[int]()
    for timer in timers:
        wheel.schedule(timer, 3)
    for timer in wheel.advance(3):
        expired.append(timer.name)
        wheel.cancel(timers[1 - timer.name])
    assert len(expired) == 1 and not len(wheel)


def test_the_clock_excludes_time_in_which_the_process_was_paused() -> None:
    clock = StallAdjustedClock(interval=0.25, max_gap=0.5)
    for now in (10.0, 10.25, 10.5):
        clock.advance(now)
    assert (clock.now, clock.stalled_seconds, clock.stalled) == (0.5, 0.0, False)
    assert clock.advance(12.5) == 1.0  # paused for 2 s
    assert (clock.stalled_seconds, clock.stall_count, clock.stalled) == (1.5, 1, True)
    assert clock.advance(12.75) == 1.25 and not clock.stalled
    assert clock.advance(12.0) == 1.25  # the monotonic clock goes back
    with pytest.raises(ValueError):
        StallAdjustedClock(interval=1.0, max_gap=0.5)


@given(st.lists(st.integers(1, 400), min_size=1, max_size=40))
def test_a_connection_with_large_messages_gets_one_quantum_per_time_slice(sizes: list[int]) -> None:
    quantum, queue = Quantum(size=100, messages=5), deque(sizes)
    counter, spent, slices = DeficitCounter(quantum), 0, 0
    while queue:
        counter.add_quantum()
        slices, messages = slices + 1, 0
        while counter.may_continue and queue:
            counter.charge(queue[0])
            spent, messages = spent + queue.popleft(), messages + 1
        assert messages <= 5
        assert spent <= slices * quantum.size + max(sizes)


def test_connections_are_accepted_at_the_rate_and_without_a_rate_at_once() -> None:
    pacer, limit, now, waits = ArrivalPacer(), ArrivalRate(rate=100.0, burst=4), 5.0, 0
    assert [pacer.take(now, None) for _ in range(50)] == [0.0] * 50
    assert [pacer.take(now, limit) for _ in range(4)] == [0.0] * 4
    for _ in range(100):
        while wait := pacer.take(now, limit):
            now, waits = now + wait, waits + 1
    assert 5.99 < now < 6.01 and waits >= 100


def test_shed_peers_are_reported_once_per_interval() -> None:
    counter = ShedCounter(report_interval=10.0)
    assert counter.report_if_due(0.0) is None
    for number in range(100):
        counter.record(ShedReason.CLIENT_READS_SLOWLY, f"127.0.0.{number}")
    assert counter.report_if_due(1.0) == ShedReport({ShedReason.CLIENT_READS_SLOWLY.value: 100}, "127.0.0.99")
    counter.record(ShedReason.TOTAL_BUFFER_FULL, "127.0.0.1")
    assert counter.report_if_due(5.0) is None
    assert counter.report_if_due(11.0) == ShedReport({ShedReason.TOTAL_BUFFER_FULL.value: 1}, "127.0.0.1")
    assert counter.totals() == {
        ShedReason.CLIENT_READS_SLOWLY.value: 100,
        ShedReason.TOTAL_BUFFER_FULL.value: 1,
    }


def test_without_options_every_peer_passes_and_new_options_apply_at_once() -> None:
    detector, progress = SlowPeerDetector[str](), ConnectionProgress()
    progress.bytes_written, progress.partial_since = 1 << 30, 0.0
    for index in range(100):
        assert detector.check_client_reading("a", progress, "127.0.0.1", index * INTERVAL, 1 << 30) is None
        assert detector.check_client_sending(progress, index * INTERVAL) is None
        assert detector.find_eviction("a") is None
    detector.reconfigure(SlowPeerOptions(waiting=BufferLimits()))
    assert detector.find_eviction("a") == (ShedReason.CLIENT_BUFFER_FULL, "a")
    detector.reconfigure(SlowPeerOptions(clients=ClientOptions(sending=MINIMUM, sending_most=10.0)))
    progress.bytes_received = 0
    reasons = [detector.check_client_sending(progress, 25.0 + index * INTERVAL) for index in range(2)]
    assert reasons == [ShedReason.CLIENT_SENDS_SLOWLY] * 2  # the query has taken more than sending_most
