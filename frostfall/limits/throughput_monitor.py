"""Whether a peer reads, or sends, the bytes that are due at a minimum rate.

The monitor is given positions, not events: how many bytes the peer has transferred in all, and up to which
position they are due. Bytes are cumulative over the life of a connection, times are attended seconds
(`limits.stall_adjusted_clock`).
"""

from __future__ import annotations

import math
from collections import deque
from enum import Enum, auto

import msgspec

END_UNKNOWN = 1 << 62  # the due position until the end is known, such as of an answer of unknown length
MIN_RATE_SPAN_SECONDS = 1e-6  # a shorter span counts as this long


class ThroughputVerdict(Enum):
    """What an observation says of a peer."""

    IDLE = auto()  # nothing is due, or all that was due at the last observation has been transferred
    PROGRESSING = auto()  # something is due, and it is fast enough so far
    SLOW = auto()  # below the minimum rate, for less than the window
    STALLED = auto()  # nothing has been transferred since the last observation
    FAILED = auto()  # below the minimum rate over the whole window


class MinimumRate(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A minimum of bytes a second over a window, in which one stall is forgiven up to the grace.

    A shape of the operator file. ValueError where the values do not fit together.
    """

    rate: float  # bytes a second
    window: float = 4.0  # seconds
    grace: float = 1.5  # seconds, below the window

    def __post_init__(self) -> None:
        """Check that the values fit together."""
        if not 0 < self.rate < math.inf:
            raise ValueError(f"rate: {self.rate:g} is not above 0")
        if not 0 < self.window < math.inf:
            raise ValueError(f"window: {self.window:g} is not above 0")
        if not 0 <= self.grace < self.window:
            raise ValueError(f"grace: {self.grace:g} is not from 0 to below window, {self.window:g}")

    def required_bytes(self, elapsed: float, longest_stall: float) -> float:
        """The bytes required in so many seconds, of which the longest stall is forgiven up to the grace."""
        return self.rate * max(elapsed - min(longest_stall, self.grace), 0.0)


class _Sample(msgspec.Struct, frozen=True, gc=False):
    at: float  # attended seconds
    transferred: int  # bytes in all, more than in the sample before


class ThroughputMonitor:
    """Judges one direction of one connection.

    A peer is judged only over a span in which some byte was due at every observation. What was due at one
    observation and is transferred by the next ends the span: a client that sends many requests and reads at
    once has something due at most observations and is never behind. Transfers come in steps (a receiver opens
    its window by whole segments), so the longest stall in the window is forgiven up to the grace.
    """

    __slots__ = ("_due", "_samples", "verdict")

    def __init__(self) -> None:
        """Begin with nothing transferred and nothing due."""
        self._due = 0  # up to which position bytes were due at the last observation
        self._samples: deque[_Sample] | None = None  # of the span under way, oldest first
        self.verdict = ThroughputVerdict.IDLE

    def reset(self) -> None:
        """End the span: the next message is judged by itself."""
        self._samples = None
        self._due = 0
        self.verdict = ThroughputVerdict.IDLE

    def observe(self, now: float, transferred: int, due: int, minimum: MinimumRate) -> ThroughputVerdict:
        """Judge at `now`, with so many bytes transferred in all and those up to `due` due."""
        samples = self._samples
        if samples is None or transferred >= due or transferred >= self._due:
            self._begin_span(now, transferred, due)
            return self.verdict
        self._due = due
        progressed = transferred > samples[-1].transferred
        if progressed:
            samples.append(_Sample(now, transferred))
        # The sample at or before the window's start stays: progress in the window is counted from it.
        while len(samples) > 1 and samples[1].at <= now - minimum.window:
            samples.popleft()
        self.verdict = _judge(samples, now, transferred, minimum, progressed)
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
        """Bytes a second over the span under way; 0 where there is none or nothing was transferred in it."""
        if self._samples is None or len(self._samples) < 2:
            return 0.0
        first = self._samples[0]
        last = self._samples[-1]
        return (last.transferred - first.transferred) / max(last.at - first.at, MIN_RATE_SPAN_SECONDS)


def _judge(
    samples: deque[_Sample], now: float, transferred: int, minimum: MinimumRate, progressed: bool
) -> ThroughputVerdict:
    window_start = max(samples[0].at, now - minimum.window)
    longest_stall = 0.0
    previous = window_start
    for sample in samples:
        stall = sample.at - previous
        if stall > 0:  # the first sample may be from before the window
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
