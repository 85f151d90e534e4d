"""Evidence on the answers of all servers against calmer times.

A build that slows all servers alike shows in no comparison with its baseline. Lateness of everything may also
be a slowdown that has nothing to do with the build, so that it is acted on in two steps.
"""

from __future__ import annotations

from dataclasses import dataclass

from frostfall.mechanisms.sprt import Band


@dataclass(slots=True)
class CalmComparison:
    """The evidence as it stands now, and what has lasted of it."""

    score: float = 0.0  # a CUSUM of log-likelihood ratios, from its band's lower bound to 0
    position: float = 0.0  # of that score in its band, from -1 to 0: how slow all servers are now
    lasting_position: float = 0.0  # the same, moving by a limited part a round: -1 is a rollback

    def add(self, evidence: float, band: Band, max_step: float) -> None:
        """Add a round's evidence; `max_step` is the part of the way to a rollback that it may go."""
        self.score = min(max(self.score + evidence, band.lower), 0.0)
        self.position = band.position(self.score)
        # In parts of the band of each round: a score that fell in a wide band, while exchanges were missed,
        # would be a rollback at once in the narrow band that follows.
        step = max(evidence / -band.lower, -max_step)
        self.lasting_position = min(max(self.lasting_position + step, -1.0), 0.0)

    def carried_over(self) -> CalmComparison:
        """What the test of the same build's next stage begins with."""
        # From zero at each stage, lateness that lasts would be found after the release only.
        return CalmComparison(lasting_position=self.lasting_position)
