"""A CUSUM test on the lateness of all servers' answers, compared with normal periods.

A build that slows down all servers equally is not detected by a comparison with its baseline. However, a
slowdown of all servers may have other causes than the build, so the test has two stages: `position` reacts
at once, `lasting_position` only to a slowdown that lasts.
"""

from __future__ import annotations

from dataclasses import dataclass

from frostfall.mechanisms.sprt import Band


@dataclass(slots=True)
class SlowdownCusum:
    """The current evidence of a slowdown, and its slower, rate-limited counterpart."""

    score: float = 0.0  # a CUSUM of log-likelihood ratios, from its band's lower bound to 0
    position: float = 0.0  # of that score in its band, from -1 to 0: how slow all servers are now
    lasting_position: float = 0.0  # like `position`, with a limited step per round; -1 is a rollback

    def add(self, evidence: float, band: Band, max_step: float) -> None:
        """Add a round's evidence; `max_step` limits how far `lasting_position` may fall in the round."""
        self.score = min(max(self.score + evidence, band.lower), 0.0)
        self.position = band.position(self.score)
        # Each step is relative to the band of its own round. A score that fell within a wide band, while
        # exchanges were missed, would otherwise cause a rollback as soon as the band is narrow again.
        step = max(evidence / -band.lower, -max_step)
        self.lasting_position = min(max(self.lasting_position + step, -1.0), 0.0)

    def carried_over(self) -> SlowdownCusum:
        """Return the initial state for the test of the same build's next stage."""
        # If each stage started from zero, persistent lateness would be detected only after the release.
        return SlowdownCusum(lasting_position=self.lasting_position)
