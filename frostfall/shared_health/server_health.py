"""Health of servers as all agents together see it: failure shares, unreachable servers and trial outliers."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from enum import IntEnum
from typing import NamedTuple
from zlib import crc32

from frostfall.shared_health.message_codec import HealthCounts, Key, make_key
from frostfall.shared_health.push_sum import PushSum

FAILURE_MEMORY_SECONDS = 6.0  # in which what is known of a server's recent failures decays to 1/e
SILENCE_MEMORY_SECONDS = 1.0  # the same for whether any data comes back from it
PAST_STAGE_RETENTION = 0.1  # part of the outcomes of a past rollout stage that is kept in each round
PRIOR_SUCCESSES = 4.0  # attempts added to each server's: one failure alone tells little
FAILED_ONCE = 0.5  # pooled failures that stand for one
REPEATED_FAILURES = 1.7  # pooled failures that stand for more than one, as pooled counts are not whole
UNREACHABLE_SHARE = 0.8  # share of attempts without any data above which a server is unreachable
MIN_SILENT_ATTEMPTS = 2.0  # attempts without any data below which it is not judged
HEALTH_CHECK_SHARE = 0.1  # part of the agents that still try an unreachable server, to notice its return
MAX_UNREACHABLE_SHARE = 0.5  # of the fleet; beyond it the fault lies with the agents or the network between
MAX_OUTLIER_SHARE = 0.25  # of the machines on trial that may fail alone
OUTLIER_DEVIATIONS = 3  # standard deviations above the others' rate

ServerIncarnation = tuple[int, int]  # id and start time in microseconds: a new start is another server
RolloutStage = tuple[int, int]  # build and stage
NO_STAGE: RolloutStage = (-1, -1)


class KeyKind(IntEnum):
    """What a key's counts are of; the numbers are part of the keys that agents exchange."""

    RECENT_FAILURES = 0  # attempts at a server with any data, and the failed ones
    TRIAL_OUTCOMES = 1  # the same of a server on trial, with evidence against its build
    SILENCE = 2  # attempts at a server or a zone, and those without any data


# Shares of failures from which counts are sent, by kind; of trials only those of the present stage are.
MIN_FAILURE_SHARES = (0.2, math.inf, 0.2)


class _ServerKeys(NamedTuple):
    recent_failures: Key
    silence: Key


class SharedHealth:
    """One agent's view of all servers, pooled with the other agents' views.

    It owns the push-sum state and the keys of the servers in the fleet and of those on trial.
    """

    def __init__(self, agents: int, exchanges: int) -> None:
        """Take part among `agents` agents, with `exchanges` exchanges in a round."""
        self.push_sum = PushSum(agents, exchanges)
        self._trial: dict[Key, ServerIncarnation] = {}
        self._stage = NO_STAGE
        self._keys: dict[ServerIncarnation, _ServerKeys] = {}

    def record_attempt(self, server: ServerIncarnation, zone: str, failed: bool, silent: bool) -> None:
        """Record an attempt of this agent's own; `silent`: no data has come since it began."""
        keys = self._server_keys(server)
        if not silent:
            self.push_sum.record(keys.recent_failures, 1, failed)
        self.push_sum.record(keys.silence, 1, silent)
        self.push_sum.record(_zone_key(zone), 1, silent)

    def _server_keys(self, server: ServerIncarnation) -> _ServerKeys:
        keys = self._keys.get(server)
        if keys is None:
            keys = self._keys[server] = _ServerKeys(
                recent_failures=make_key(KeyKind.RECENT_FAILURES, *server),
                silence=make_key(KeyKind.SILENCE, *server),
            )
        return keys

    def servers_to_avoid(
        self, fleet: Mapping[ServerIncarnation, str], draw: Callable[[], float]
    ) -> set[ServerIncarnation]:
        """The unreachable servers of a fleet, given with their zones, that get no request for a round.

        `draw` gives random numbers from 0 to 1, one for each unreachable server in the fleet's order.
        """
        # Without it, each agent would lose a request to each server of a lost zone to find out. A zone's
        # servers together show sooner than each of them that the zone is lost.
        lost_zones = {zone for zone in set(fleet.values()) if self._is_unreachable(_zone_key(zone))}
        unreachable = [
            server
            for server, zone in fleet.items()
            if zone in lost_zones or self._is_unreachable(self._server_keys(server).silence)
        ]
        if len(unreachable) > MAX_UNREACHABLE_SHARE * len(fleet):
            return set()
        # Some agents go on trying each of them, or nobody would see it return.
        return {server for server in unreachable if draw() >= HEALTH_CHECK_SHARE}

    def _is_unreachable(self, silence_key: Key) -> bool:
        counts = self.push_sum.totals(silence_key)
        silent = counts.failures
        return silent >= MIN_SILENT_ATTEMPTS and silent > UNREACHABLE_SHARE * counts.attempts

    def failure_share(self, server: ServerIncarnation) -> float:
        """The recent share of failures, with prior successes added; 0 where no failure is known."""
        counts = self.push_sum.totals(self._server_keys(server).recent_failures)
        if counts.failures <= 0:
            return 0.0
        return min(counts.failures / (max(counts.attempts, counts.failures) + PRIOR_SUCCESSES), 1.0)

    def set_trial_stage(self, stage: RolloutStage = NO_STAGE) -> None:
        """Set the rollout stage that is on trial; outcomes of the one before are dropped."""
        if stage != self._stage:
            self.push_sum.discard(self._trial)
            self._trial = {}
            self._stage = stage

    def record_trial_outcome(self, server: ServerIncarnation, failed: bool, evidence: float) -> None:
        """Record an outcome on trial of this agent's own; `evidence` counts if it failed."""
        key = self._trial_key(server)
        self._trial[key] = server
        self.push_sum.record(key, 1, failed, evidence if failed else 0.0)

    def _trial_key(self, server: ServerIncarnation) -> Key:
        return make_key(KeyKind.TRIAL_OUTCOMES, *self._stage, *server)

    def update_fleet(self, servers: set[ServerIncarnation], on_trial: list[ServerIncarnation]) -> None:
        """Set the servers of the fleet, and those of them that are on trial."""
        for server in [server for server in self._keys if server not in servers]:
            self.push_sum.discard(self._keys.pop(server))
        # Other agents may have sent counts of servers that this one has not tried yet.
        for server in on_trial:
            self._trial.setdefault(self._trial_key(server), server)

    def build_message(self, turn: int, max_chars: int) -> str:
        """Begin this turn's exchange; the message for its partner, of at most `max_chars` characters."""
        max_persistent = self._max_outliers() + 1
        return self.push_sum.build_message(
            turn, max_chars, MIN_FAILURE_SHARES, self._trial.keys(), max_persistent
        )

    def end_round(self, duration_us: int) -> None:
        """End a round that took so many microseconds."""
        elapsed = duration_us / 1e6
        retention = (
            math.exp(-elapsed / FAILURE_MEMORY_SECONDS),
            PAST_STAGE_RETENTION,
            math.exp(-elapsed / SILENCE_MEMORY_SECONDS),
        )
        self.push_sum.end_round(retention, self._trial.keys())

    def outlier_evidence(self, attempts: float, failures: float, min_other_attempts: float) -> float:
        """Evidence against the build, at or below zero, that comes from machines which fail alone.

        `attempts` and `failures` count all outcomes on trial, of all agents. The worst machines, up to
        `MAX_OUTLIER_SHARE`, fail alone if each has failed more often than at the rate of all others by more
        than `OUTLIER_DEVIATIONS` and one failure, where the others have `min_other_attempts` at least.
        """
        # In a large fleet some machines of a good build fail by themselves at any time. Each agent sees too
        # few of their answers to tell, and all agents together would roll the build back. But where all
        # machines fail now and then, the worst of many look bad by chance, and would hide a bad build.
        suspects = self._worst_on_trial()
        while suspects:
            if _fail_alone(suspects, attempts, failures, min_other_attempts):
                return sum(counts.evidence for counts in suspects)
            suspects.pop()
        return 0.0

    @property
    def few_trial_servers_fail(self) -> bool:
        """Whether no more machines on trial have failed than may fail alone."""
        failing = sum(self.push_sum.totals(key).failures >= FAILED_ONCE for key in self._trial)
        return failing <= self._max_outliers()

    def _worst_on_trial(self) -> list[HealthCounts]:
        """The machines with repeated failures that may be outliers, worst first."""
        totals = sorted(
            (self.push_sum.totals(key) for key in self._trial), key=lambda counts: -counts.failures
        )
        return [counts for counts in totals[: self._max_outliers()] if counts.failures >= REPEATED_FAILURES]

    def _max_outliers(self) -> int:
        return max(int(len(self._trial) * MAX_OUTLIER_SHARE), 1)


def _zone_key(zone: str) -> Key:
    return make_key(KeyKind.SILENCE, crc32(zone.encode()))


def _fail_alone(
    suspects: list[HealthCounts], attempts: float, failures: float, min_other_attempts: float
) -> bool:
    """Whether each suspect fails far more often than at the rate of all machines but the suspects."""
    other_attempts = attempts - sum(counts.attempts for counts in suspects)
    if other_attempts < min_other_attempts:
        return False
    other_failures = max(failures - sum(counts.failures for counts in suspects), 0.0)
    other_rate = (other_failures + 0.5) / max(other_attempts, 1.0)  # 0.5: no failure seen is not a rate of 0
    for counts in suspects:
        expected = max(counts.attempts, counts.failures) * other_rate
        if counts.failures <= expected + OUTLIER_DEVIATIONS * math.sqrt(expected) + 1:
            return False
    return True
