"""The one place where peers are judged: meters, budget and tally under the rules in force.

Drivers tell it what they see of a connection, in bytes and attended seconds, and carry out what it says. Each
side of a connection is a `Side`; who has to leave is named by the driver's own object.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

from frostfall.limits.budget import Allowance, Budget, Scope
from frostfall.limits.meter import ENDLESS, LeastRate, Meter, Standing
from frostfall.limits.rules import SlowPeers
from frostfall.limits.shedding import Reason, Tally

Name = TypeVar("Name", bound=Hashable)

SCOPES = {Scope.READER: Reason.READER_FULL, Scope.SOURCE: Reason.SOURCE_FULL, Scope.ALL: Reason.ALL_FULL}
SUSPECT_AFTER = 0.15  # attended seconds: servers may pause between an answer's head and its value
NOTHING = SlowPeers()
UNBOUNDED = Allowance(reader_bytes=1 << 50, source_bytes=1 << 50, all_bytes=1 << 50)


class Side:
    """One connection: what its peer takes (`reading`) and gives (`sending`), and the class under way."""

    __slots__ = ("class_name", "given", "half_from", "half_since", "reading", "sending", "written")

    def __init__(self) -> None:
        """A connection over which nothing has gone."""
        self.reading, self.sending = Meter(), Meter()
        self.written = 0  # bytes handed over for the peer to take, in all
        self.given = 0  # bytes that came from the peer, in all
        self.class_name = ""
        # since when, in attended seconds, something has come but not whole
        self.half_from = 0  # what had been given when that began
        self.half_since: float | None = None


class Guard(Generic[Name]):
    """Judges peers. Without rules it lets everybody be."""

    def __init__(self, rules: SlowPeers | None = None) -> None:
        """Under these rules, which may be replaced at any time (`renew`)."""
        self._adopt(rules)
        self.budget: Budget[Name] = Budget(self._rules.waiting or UNBOUNDED)
        self.tally = Tally(self._rules.log_every)

    def _adopt(self, rules: SlowPeers | None) -> None:
        self._rules = rules or NOTHING
        # Asked with every answer and attempt, so that it is not worked out each time.
        self.watches_clients, self.watches_servers = self._rules.watches_clients, self._rules.watches_servers

    @property
    def rules(self) -> SlowPeers:
        """The rules in force."""
        return self._rules

    def renew(self, rules: SlowPeers | None) -> None:
        """Go by other rules from now on; what waits stays accounted for, and meters go on."""
        self._adopt(rules)
        self.budget.allowance = self._rules.waiting or UNBOUNDED
        self.tally.every = self._rules.log_every

    # ---- clients ---------------------------------------------------------------------------------------

    def client_reads(self, name: Name, side: Side, source: str, now: float, waiting: int) -> Reason | None:
        """Look at how a client takes its answers; so many bytes wait for it, the kernel's included."""
        spent = self._reads(side, now, waiting, self._rules.clients.reads(side.class_name))
        self.budget.hold(name, source, waiting, side.reading.pace)
        return Reason.READS_SLOWLY if spent else None

    def hold_at_once(self, name: Name, source: str, waiting: int) -> None:
        """So many bytes wait for a client from now on, beyond what the kernel has taken."""
        self.budget.hold(name, source, waiting, None)

    def client_sends(self, side: Side, now: float) -> Reason | None:
        """Look at how a client gives a query that has come in part."""
        rule = self._rules.clients.sending
        if rule is None or side.half_since is None:
            return None
        if self._spent(side.sending, now, side.given, ENDLESS, rule):
            return Reason.SENDS_SLOWLY
        return Reason.SENDS_SLOWLY if now - side.half_since > self._rules.clients.sending_most else None

    def excess(self, name: Name) -> tuple[Reason, Name] | None:
        """Who has to leave for what waits, now that this account has changed; ask again afterwards."""
        found = self.budget.excess(name)
        return (SCOPES[found[0]], found[1]) if found else None

    # ---- servers ---------------------------------------------------------------------------------------

    def server_reads(self, side: Side, now: float, waiting: int) -> Reason | None:
        """Look at how a server takes a query, with so many bytes of it not taken yet."""
        spent = self._reads(side, now, waiting, self._rules.servers.reads(side.class_name))
        return Reason.SERVER_READS_SLOWLY if spent else None

    def server_sends(self, side: Side, now: float) -> Reason | None:
        """Look at how a server gives an answer that has begun."""
        rule = self._rules.servers.sends(side.class_name)
        spent = rule is not None and self._spent(side.sending, now, side.given, ENDLESS, rule)
        return Reason.SERVER_SENDS_SLOWLY if spent else None

    def server_suspect(self, side: Side, now: float) -> bool:
        """Whether an answer goes too slowly so far: grounds to send others elsewhere, not to end it."""
        # Danger: until the window has shown it for sure, many more requests would have gone to that server.
        rule = self._rules.servers.sends(side.class_name)
        if rule is None or side.half_since is None or side.sending.standing is Standing.IDLE:
            return False
        span = now - side.half_since
        return span >= SUSPECT_AFTER and side.given - side.half_from < rule.rate * span

    def server_unfinished(self, side: Side, now: float) -> bool:
        """Whether an attempt, its time over, ended within an answer that had had a turn to come."""
        # Danger: time-outs of what is safe to repeat are shorter than any window, so that by the window alone
        # a server that drips would never be found.
        if self._rules.servers.sends(side.class_name) is None or side.half_since is None:
            return False
        return now > side.half_since

    def _reads(self, side: Side, now: float, waiting: int, rule: LeastRate | None) -> bool:
        return rule is not None and self._spent(side.reading, now, side.written - waiting, side.written, rule)

    @staticmethod
    def _spent(meter: Meter, now: float, moved: int, due: int, rule: LeastRate) -> bool:
        return meter.look(now, moved, due, rule) is Standing.SPENT
