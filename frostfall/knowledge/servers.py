"""What all agents saw of each server: its recent share of failures, and which ones fail alone on trial."""

from __future__ import annotations

import math

from frostfall.knowledge.pushsum import Key, PushSum, key_of

MEMORY = 6.0  # seconds: in this time what is known of a server's recent failures fades to 1/e
DOUBT = 4.0  # tries without a failure that are added to each server's: one failure alone tells little
AGAIN = 1.7  # failures from which a machine has failed more than once, as pooled counts are not whole
RECENT, ON_TRIAL = 0, 1  # kinds of keys

Start = tuple[int, int]  # a server and when it started: a new start is another server


class Servers:
    """One agent's view, pooled with the others'; `turns` exchanges of `tick` microseconds make a round."""

    def __init__(self, agents: int, turns: int, tick: int) -> None:
        """Nothing is known yet."""
        self.sums = PushSum(agents, turns)
        self._kept = math.exp(-turns * tick / 1e6 / MEMORY)
        self._trial: dict[Key, Start] = {}
        self._stage: tuple[int, int] = (-1, -1)
        self._keys: dict[Start, Key] = {}

    def _recent(self, server: Start) -> Key:
        key = self._keys.get(server)
        if key is None:
            key = self._keys[server] = key_of(RECENT, *server)
        return key

    def ended(self, server: Start, failed: bool) -> None:
        """An attempt of this agent's own ended there."""
        self.sums.note(self._recent(server), 1, failed)

    def errors(self, server: Start) -> float:
        """The recent share of failures by what all agents saw, with some doubt; 0 where nothing is known."""
        tried, failed, _ = self.sums.pooled(self._recent(server))
        return min(failed / (max(tried, failed) + DOUBT), 1.0) if failed > 0 else 0.0

    def on_trial(self, stage: tuple[int, int]) -> None:
        """A build's stage is on trial from now on; what was kept of the one before is no longer needed."""
        if stage != self._stage:
            self.sums.drop(self._trial)
            self._trial, self._stage = {}, stage

    def judged(self, server: Start, failed: bool, evidence: float) -> None:
        """An outcome on trial of this agent's own, and what it added to the score if it failed."""
        key = key_of(ON_TRIAL, *self._stage, *server)
        self._trial[key] = server
        self.sums.note(key, 1, failed, evidence if failed else 0.0)

    def listed(self, servers: set[Start], trial: list[Start]) -> None:
        """The fleet is these; those on trial are named apart, as others may have told of them already."""
        self._keys = {server: key for server, key in self._keys.items() if server in servers}
        for server in trial:
            self._trial.setdefault(key_of(ON_TRIAL, *self._stage, *server), server)

    def step(self) -> None:
        """A round is over."""
        self.sums.step(self._kept, set(self._trial))

    def apart(self, tried: float, failed: float, least: float, part: float) -> float:
        """What machines that fail alone have added to the score, at or below zero, of all agents together.

        `tried` and `failed` count all outcomes on trial. Up to a quarter of the machines, the worst, fail
        alone if each has failed more than once and the others together, in at least so many outcomes, fail in
        under a part of their share, two failures aside.
        """
        # Danger: of a good build's machines some fail by themselves, in a large fleet at any time; each agent
        # sees too few of their answers to tell, and all of them together would send the build back. Set apart
        # one by one, each would stand against others that hold the rest of the bad ones.
        few = max(len(self._trial) // 4, 1)
        machines = sorted((self.sums.pooled(key) for key in self._trial), key=lambda each: -each[1])[:few]
        bad_tried = bad_failed = evidence = found = 0.0
        for its_tries, its_failures, its_evidence in machines:
            if its_failures < AGAIN:
                break
            bad_tried, bad_failed = bad_tried + its_tries, bad_failed + its_failures
            evidence += its_evidence
            rest, poor = tried - bad_tried, max(failed - bad_failed, 0.0)
            if rest >= least and poor * bad_tried < part * (bad_failed - 2) * rest:
                found = evidence
        return found
