"""Health of servers from the counts of all agents: failure shares, unreachable servers, trial outliers."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from enum import IntEnum
from typing import NamedTuple
from zlib import crc32

from frostfall.shared_health.message_codec import HealthCounts, Key, make_key
from frostfall.shared_health.push_sum import PushSum

FAILURE_DECAY_SECONDS = 6.0  # in which counts of a server's failures decay to 1/e
SILENCE_DECAY_SECONDS = 1.0  # in which counts of attempts without any data decay to 1/e
PAST_STAGE_RETENTION = 0.1  # per round, of the outcomes of a past rollout stage
PRIOR_SUCCESSES = 4.0  # successful attempts added to each server's: one failure is weak evidence
FAILED_ONCE = 0.5  # pooled failures that count as at least one
REPEATED_FAILURES = 1.7  # pooled failures that count as more than one; pooled counts are not whole numbers
UNREACHABLE_SHARE = 0.8  # share of attempts without any data above which a server is unreachable
MIN_SILENT_ATTEMPTS = 2.0  # least number of attempts without any data for a server to be unreachable
HEALTH_CHECK_SHARE = 0.1  # of the agents that still send to an unreachable server, to detect its return
MAX_UNREACHABLE_SHARE = 0.5  # of the fleet; beyond it, the agents or the network must be the cause
MAX_OUTLIER_SHARE = 0.25  # of the servers on trial that can count as outliers
OUTLIER_DEVIATIONS = 3  # standard deviations above the failure rate of the other servers

ServerIncarnation = tuple[int, int]  # id and start time in microseconds; a restarted server has a new one
RolloutStage = tuple[int, int]  # build and stage
NO_STAGE: RolloutStage = (-1, -1)


class KeyKind(IntEnum):
    """The kind of counts that a key has; its number is part of the keys that agents exchange."""

    RECENT_FAILURES = 0  # attempts at a server that returned any data, and failed ones among them
    TRIAL_OUTCOMES = 1  # attempts at a server on trial, failed ones, and evidence against its build
    SILENCE = 2  # attempts at a server or a zone, and those that returned no data


# Shares of failures above which counts are sent, by kind. Trial outcomes are sent as persistent keys, and
# only those of the current stage.
MIN_FAILURE_SHARES = (0.2, math.inf, 0.2)


class _ServerKeys(NamedTuple):
    recent_failures: Key
    silence: Key


class SharedHealth:
    """Health statistics of all servers, pooled over all agents.

    It owns the push-sum state and the keys of the servers in the fleet and of those on trial.
    """

    def __init__(self, agents: int, exchanges: int) -> None:
        """Start without counts, as one of `agents` agents with `exchanges` exchanges in a round."""
        self.push_sum = PushSum(agents, exchanges)
        self._trial: dict[Key, ServerIncarnation] = {}
        self._stage = NO_STAGE
        self._keys: dict[ServerIncarnation, _ServerKeys] = {}

    def record_attempt(self, server: ServerIncarnation, zone: str, failed: bool, silent: bool) -> None:
        """Record an attempt of this agent; `silent` means that no data has come since the attempt began."""
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
        """Return the unreachable servers that get no requests for a round; `fleet` maps servers to zones.

        `draw` returns a random number from 0 to 1; it is called for each unreachable server in the fleet's
        order.
        """
        # Without the pooled counts, each agent would lose a request to each server of an unreachable zone.
        # The counts of the zone show that it is unreachable sooner than those of each server.
        unreachable_zones = {zone for zone in set(fleet.values()) if self._is_unreachable(_zone_key(zone))}
        unreachable = [
            server
            for server, zone in fleet.items()
            if zone in unreachable_zones or self._is_unreachable(self._server_keys(server).silence)
        ]
        if len(unreachable) > MAX_UNREACHABLE_SHARE * len(fleet):
            return set()
        # Some agents still send requests to each of them to detect its return.
        return {server for server in unreachable if draw() >= HEALTH_CHECK_SHARE}

    def _is_unreachable(self, silence_key: Key) -> bool:
        counts = self.push_sum.totals(silence_key)
        silent = counts.failures
        return silent >= MIN_SILENT_ATTEMPTS and silent > UNREACHABLE_SHARE * counts.attempts

    def failure_share(self, server: ServerIncarnation) -> float:
        """Return the recent failure share of a server, with prior successes added; 0 without failures."""
        counts = self.push_sum.totals(self._server_keys(server).recent_failures)
        if counts.failures <= 0:
            return 0.0
        return min(counts.failures / (max(counts.attempts, counts.failures) + PRIOR_SUCCESSES), 1.0)

    def set_trial_stage(self, stage: RolloutStage = NO_STAGE) -> None:
        """Set the rollout stage that is on trial, and drop the outcomes of the previous stage."""
        if stage != self._stage:
            self.push_sum.discard(self._trial)
            self._trial = {}
            self._stage = stage

    def record_trial_outcome(self, server: ServerIncarnation, failed: bool, evidence: float) -> None:
        """Record the outcome of an attempt at a server on trial; `evidence` counts only if it failed."""
        key = self._trial_key(server)
        self._trial[key] = server
        self.push_sum.record(key, 1, failed, evidence if failed else 0.0)

    def _trial_key(self, server: ServerIncarnation) -> Key:
        return make_key(KeyKind.TRIAL_OUTCOMES, *self._stage, *server)

    def update_fleet(self, servers: set[ServerIncarnation], on_trial: list[ServerIncarnation]) -> None:
        """Set the servers of the fleet, and add the servers that are on trial."""
        for server in [server for server in self._keys if server not in servers]:
            self.push_sum.discard(self._keys.pop(server))
        # Other agents may send counts of servers to which this agent has sent no requests yet.
        for server in on_trial:
            self._trial.setdefault(self._trial_key(server), server)

    def build_message(self, slot: int, max_chars: int) -> str:
        """Begin the exchange of a slot, and return the message for the partner.

        The message has at most `max_chars` characters.
        """
        max_persistent = self._max_outliers() + 1
        return self.push_sum.build_message(
            slot, max_chars, MIN_FAILURE_SHARES, self._trial.keys(), max_persistent
        )

    def end_round(self, duration_us: int) -> None:
        """End a round that lasted `duration_us` microseconds."""
        elapsed = duration_us / 1e6
        retention = (
            math.exp(-elapsed / FAILURE_DECAY_SECONDS),
            PAST_STAGE_RETENTION,
            math.exp(-elapsed / SILENCE_DECAY_SECONDS),
        )
        self.push_sum.end_round(retention, self._trial.keys())

    def outlier_evidence(self, attempts: float, failures: float, min_other_attempts: float) -> float:
        """Return the evidence against the build, at or below 0, that comes from outlier servers.

        `attempts` and `failures` count all outcomes on trial at all agents. The servers with the most
        failures, up to `MAX_OUTLIER_SHARE`, are outliers if each has more failures than expected at the rate
        of all other servers, by more than `OUTLIER_DEVIATIONS` standard deviations and one failure. The other
        servers need at least `min_other_attempts` attempts.
        """
        # In a large fleet, some servers of a good build are faulty at any time. A single agent has too few of
        # their answers to detect this, and all agents together would roll the build back. But if all servers
        # fail occasionally, the worst of many look faulty by chance, and excluding them would hide a faulty
        # build.
        suspects = self._worst_on_trial()
        while suspects:
            if _are_outliers(suspects, attempts, failures, min_other_attempts):
                return sum(counts.evidence for counts in suspects)
            suspects.pop()
        return 0.0

    @property
    def few_trial_servers_fail(self) -> bool:
        """Whether the number of servers on trial with failures is within the limit for outliers."""
        failing = sum(self.push_sum.totals(key).failures >= FAILED_ONCE for key in self._trial)
        return failing <= self._max_outliers()

    def _worst_on_trial(self) -> list[HealthCounts]:
        """Return the counts of the servers with repeated failures that can be outliers, worst first."""
        totals = sorted(
            (self.push_sum.totals(key) for key in self._trial), key=lambda counts: -counts.failures
        )
        return [counts for counts in totals[: self._max_outliers()] if counts.failures >= REPEATED_FAILURES]

    def _max_outliers(self) -> int:
        return max(int(len(self._trial) * MAX_OUTLIER_SHARE), 1)


def _zone_key(zone: str) -> Key:
    return make_key(KeyKind.SILENCE, crc32(zone.encode()))


def _are_outliers(
    suspects: list[HealthCounts], attempts: float, failures: float, min_other_attempts: float
) -> bool:
    """Return whether each suspect fails far more often than at the rate of all servers but the suspects."""
    other_attempts = attempts - sum(counts.attempts for counts in suspects)
    if other_attempts < min_other_attempts:
        return False
    other_failures = max(failures - sum(counts.failures for counts in suspects), 0.0)
    # Half a failure is added, because the rate need not be 0 if no failure was recorded.
    other_rate = (other_failures + 0.5) / max(other_attempts, 1.0)
    for counts in suspects:
        expected = max(counts.attempts, counts.failures) * other_rate
        if counts.failures <= expected + OUTLIER_DEVIATIONS * math.sqrt(expected) + 1:
            return False
    return True
