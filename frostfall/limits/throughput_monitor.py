"""Checks whether a peer reads or sends bytes at a minimum rate while bytes are due.

The monitor observes positions, not events: the number of bytes that the peer has transferred, and the
position up to which bytes are due. Both count from the opening of the connection. Times are stall-adjusted
seconds (`limits.stall_adjusted_clock`).
"""

from __future__ import annotations

import math
from collections import deque
from enum import Enum, auto

import msgspec

END_UNKNOWN = 1 << 62  # the due position while the end is unknown, as in an answer of unknown length
MIN_RATE_SPAN_SECONDS = 1e-6  # lower bound of a span, which avoids division by zero


class ThroughputVerdict(Enum):
    """The result of an observation."""

    IDLE = auto()  # nothing is due, or all that was due at the last observation has been transferred
    PROGRESSING = auto()  # bytes are due, and the peer has been fast enough so far
    SLOW = auto()  # below the minimum rate, for less than the window
    STALLED = auto()  # nothing has been transferred since the last observation
    FAILED = auto()  # below the minimum rate over the whole window


class MinimumRate(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A minimum rate over a window, in which one stall is excused for up to the grace.

    Part of the operator file. Raises ValueError for inconsistent values.
    """

    rate: float  # bytes per second
    window: float = 4.0  # seconds
    grace: float = 1.5  # seconds, shorter than the window

    def __post_init__(self) -> None:
        """Check the ranges, and that the grace is shorter than the window."""
        if not 0 < self.rate < math.inf:
            raise ValueError(f"rate: {self.rate:g} is not above 0")
        if not 0 < self.window < math.inf:
            raise ValueError(f"window: {self.window:g} is not above 0")
        if not 0 <= self.grace < self.window:
            raise ValueError(f"grace: {self.grace:g} is not from 0 to below window, {self.window:g}")

    def required_bytes(self, elapsed: float, longest_stall: float) -> float:
        """Return the bytes required in `elapsed` seconds, excusing the longest stall for up to the grace."""
        return self.rate * max(elapsed - min(longest_stall, self.grace), 0.0)


class _Sample(msgspec.Struct, frozen=True, gc=False):
    at: float  # stall-adjusted seconds
    transferred: int  # bytes since the connection was opened; increases from sample to sample


class ThroughputMonitor:
    """Monitors one direction of one connection.

    The rate is checked only within a span, in which bytes were due at every observation. A span ends when
    everything that was due at one observation has been transferred by the next one: a client that sends many
    requests and reads each answer at once has bytes due at most observations, but is never behind. Transfers
    occur in steps, as a receiver opens its window by whole segments, so the longest stall in the window is
    excused for up to the grace.
    """

    __slots__ = ("_due", "_samples", "verdict")

    def __init__(self) -> None:
        """Begin with nothing transferred and nothing due."""
        self._due = 0  # position up to which bytes were due at the last observation
        self._samples: deque[_Sample] | None = None  # of the current span, oldest first
        self.verdict = ThroughputVerdict.IDLE

    def reset(self) -> None:
        """End the span, so that the next message is checked on its own."""
        self._samples = None
        self._due = 0
        self.verdict = ThroughputVerdict.IDLE

    def observe(self, now: float, transferred: int, due: int, minimum: MinimumRate) -> ThroughputVerdict:
        """Check the rate at `now`, given the positions `transferred` and `due`."""
        samples = self._samples
        if samples is None or transferred >= due or transferred >= self._due:
            self._begin_span(now, transferred, due)
            return self.verdict
        self._due = due
        progressed = transferred > samples[-1].transferred
        if progressed:
            samples.append(_Sample(now, transferred))
        # Retain the last sample at or before the window's start: progress in the window is counted from it.
        while len(samples) > 1 and samples[1].at <= now - minimum.window:
            samples.popleft()
        self.verdict = _check_rate(samples, now, transferred, minimum, progressed)
        return self.verdict

    def _begin_span(self, now: float, transferred: int, due: int) -> None:
        self._due = due
        if transferred >= due:
            self._samples = None
            self.verdict = ThroughputVerdict.IDLE
        else:
            self._samples = deque([_Sample(now, transferred)])
            self.verdict = ThroughputVerdict.PROGRESSING

    @property
    def throughput(self) -> float:
        """Bytes per second over the current span; 0 if there is no span or nothing was transferred in it."""
        if self._samples is None or len(self._samples) < 2:
            return 0.0
        first = self._samples[0]
        last = self._samples[-1]
        return (last.transferred - first.transferred) / max(last.at - first.at, MIN_RATE_SPAN_SECONDS)


def _check_rate(
    samples: deque[_Sample], now: float, transferred: int, minimum: MinimumRate, progressed: bool
) -> ThroughputVerdict:
    window_start = max(samples[0].at, now - minimum.window)
    longest_stall = 0.0
    previous = window_start
    for sample in samples:
        stall = sample.at - previous
        if stall > 0:  # false for a first sample from before the window
            previous = sample.at
            if stall > longest_stall:
                longest_stall = stall
    longest_stall = max(longest_stall, now - previous)

    elapsed = now - window_start
    if transferred - samples[0].transferred >= minimum.required_bytes(elapsed, longest_stall):
        return ThroughputVerdict.PROGRESSING if progressed else ThroughputVerdict.STALLED
    if elapsed < minimum.window:
        return ThroughputVerdict.SLOW if progressed else ThroughputVerdict.STALLED
    return ThroughputVerdict.FAILED
