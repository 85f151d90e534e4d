"""What all agents saw of each server: its errors, whether it is gone, and which ones fail alone on trial."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from zlib import crc32

from frostfall.shared_health.push_sum import Key, PushSum, make_key

FAILURE_MEMORY_SECONDS = 6.0  # seconds: in this time what is known of a server's recent failures fades to 1/e
PRIOR_SUCCESSES = (
    4.0  # tries without a failure that are added to each server's: one failure alone tells little
)
REPEATED_FAILURES = (
    1.7  # failures from which a machine has failed more than once, as pooled counts are not whole
)
SILENCE_MEMORY_SECONDS = 1.0  # seconds: the same for whether anything comes back from it at all
UNREACHABLE_SHARE, MIN_SILENT_ATTEMPTS = (
    0.8,
    2.0,
)  # share of attempts on which nothing came, and how many of them, to call it gone
HEALTH_CHECK_SHARE = (
    0.1  # part of the agents that go on trying one that is gone, so that its return is noticed
)
MAX_UNREACHABLE_SHARE = (
    0.5  # of the fleet: with more gone, the fault lies with the agents or the network between
)
RECENT_FAILURES, TRIAL_OUTCOMES, SILENCE = 0, 1, 2  # kinds of keys
MIN_FAILURE_SHARES = (
    0.2,
    math.inf,
    0.2,
)  # by kind: what part has failed where it is worth telling; not of old stages
PAST_STAGE_RETENTION = 0.1  # of what is known of a stage that has passed, this part is left after each round

ServerIncarnation = tuple[int, int]  # a server and when it started: a new start is another server


class SharedHealth:
    """One agent's view, pooled with the others'; so many exchanges make a round."""

    def __init__(self, agents: int, turns: int) -> None:
        """Nothing is known yet."""
        self.push_sum = PushSum(agents, turns)
        self._trial: dict[Key, ServerIncarnation] = {}
        self._stage: tuple[int, int] = (-1, -1)
        self._keys: dict[ServerIncarnation, tuple[Key, Key]] = {}

    def _named(self, server: ServerIncarnation) -> tuple[Key, Key]:
        keys = self._keys.get(server)
        if keys is None:
            keys = self._keys[server] = make_key(RECENT_FAILURES, *server), make_key(SILENCE, *server)
        return keys

    def record_attempt(self, server: ServerIncarnation, zone: str, failed: bool, silent: bool) -> None:
        """An attempt of this agent's own ended there; `silent`: nothing has come from it since it began."""
        recent, heard = self._named(server)
        if not silent:
            self.push_sum.record(recent, 1, failed)
        self.push_sum.record(heard, 1, silent)
        self.push_sum.record(self._zone(zone), 1, silent)

    def _zone(self, zone: str) -> Key:
        return make_key(SILENCE, crc32(zone.encode()))

    def _gone(self, key: Key) -> bool:
        tried, silent, _ = self.push_sum.totals(key)
        return silent >= MIN_SILENT_ATTEMPTS and silent > UNREACHABLE_SHARE * tried

    def servers_to_avoid(
        self, fleet: Sequence[tuple[ServerIncarnation, str]], draw: Callable[[], float]
    ) -> set[ServerIncarnation]:
        """Those of a fleet, each with its zone, that this agent leaves alone for a round."""
        # Danger: each agent that finds out by itself loses a request to each server of a zone that is lost.
        # But one that all leave alone would never be seen to return; and who is cut off sees all gone.
        # A zone's servers together tell sooner than each of them that the zone is lost.
        lost = {zone for zone in {zone for _, zone in fleet} if self._gone(self._zone(zone))}
        gone = [server for server, zone in fleet if zone in lost or self._gone(self._named(server)[1])]
        return (
            set()
            if len(gone) > MAX_UNREACHABLE_SHARE * len(fleet)
            else {server for server in gone if draw() >= HEALTH_CHECK_SHARE}
        )

    def failure_share(self, server: ServerIncarnation) -> float:
        """The recent share of failures by what all agents saw, with some doubt; 0 where nothing is known."""
        tried, failed, _ = self.push_sum.totals(self._named(server)[0])
        return min(failed / (max(tried, failed) + PRIOR_SUCCESSES), 1.0) if failed > 0 else 0.0

    def set_trial_stage(self, stage: tuple[int, int] = (-1, -1)) -> None:
        """A build's stage is on trial from now on, or none; what was kept of the one before is not needed."""
        if stage != self._stage:
            self.push_sum.discard(self._trial)
            self._trial, self._stage = {}, stage

    def record_trial_outcome(self, server: ServerIncarnation, failed: bool, evidence: float) -> None:
        """An outcome on trial of this agent's own, and what it added to the score if it failed."""
        key = make_key(TRIAL_OUTCOMES, *self._stage, *server)
        self._trial[key] = server
        self.push_sum.record(key, 1, failed, evidence if failed else 0.0)

    def update_fleet(self, servers: set[ServerIncarnation], on_trial: list[ServerIncarnation]) -> None:
        """The fleet is these; those on trial are named apart, as others may have told of them already."""
        for server in [server for server in self._keys if server not in servers]:
            self.push_sum.discard(self._keys.pop(server))
        for server in on_trial:
            self._trial.setdefault(make_key(TRIAL_OUTCOMES, *self._stage, *server), server)

    @property
    def _few(self) -> int:  # so many machines may fail alone; what others have added is not asked for
        return max(len(self._trial) // 4, 1)

    def build_message(self, turn: int, max_chars: int) -> str:
        """What is told to this turn's partner, in so many characters at most."""
        return self.push_sum.build_message(
            turn, max_chars, MIN_FAILURE_SHARES, self._trial.keys(), self._few + 1
        )

    def end_round(self, duration_us: int) -> None:
        """A round is over, which took so many microseconds."""
        past = -duration_us / 1e6
        self.push_sum.end_round(
            (
                math.exp(past / FAILURE_MEMORY_SECONDS),
                PAST_STAGE_RETENTION,
                math.exp(past / SILENCE_MEMORY_SECONDS),
            ),
            self._trial.keys(),
        )

    def outlier_evidence(self, attempts: float, failures: float, min_other_attempts: float) -> float:
        """What machines that fail alone have added to the score, at or below zero, of all agents together.

        `tried` and `failed` count all outcomes on trial. Up to a quarter of the machines, the worst, fail
        alone if each has failed far more often than at the rate of all the others, who have at least so many
        outcomes: by more than three deviations and one failure.
        """
        # Danger: of a good build's machines some fail by themselves, in a large fleet at any time; each agent
        # sees too few of their answers to tell, and all of them together would send the build back. But where
        # all machines fail now and then, the worst of many look bad by chance, and would hide a bad build.
        worst = sorted((self.push_sum.totals(key) for key in self._trial), key=lambda each: -each[1])
        worst = [each for each in worst[: self._few] if each[1] >= REPEATED_FAILURES]
        while worst:
            rest = attempts - sum(each[0] for each in worst)
            rate = (max(failures - sum(each[1] for each in worst), 0.0) + 0.5) / max(rest, 1.0)
            usual = [max(its_tries, its_failures) * rate for its_tries, its_failures, _ in worst]
            if rest >= min_other_attempts and all(
                each[1] > expected + 3 * math.sqrt(expected) + 1 for each, expected in zip(worst, usual)
            ):
                return sum(evidence for _, _, evidence in worst)
            worst.pop()
        return 0.0
