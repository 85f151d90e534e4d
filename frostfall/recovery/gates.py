"""In which order service returns after a start: named gates, each with its condition and its time limit.

No I/O; times are seconds of this life. Nobody waits for somebody who may be waiting for him: what a member
tells another needs only its own disk. Past its limit a gate lets pass what is safe without it; unsafe work
has no limit, as no time proves that a record is whole.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from frostfall.recovery.rules import Waits


class Gate(Enum):
    """The gates, in order; the first five are steps, the others are service."""

    DISK = "disk"  # the record has been read, and may be written to
    IDENTITY = "identity"  # the own incarnation is on disk
    LIST = "list"  # discovery's list is there
    GROUP = "group"  # a majority has the own incarnation on disk, and the others were waited for a little
    SETTLED = "settled"  # what was open when the last life ended has its end on disk
    READS_NEAR = "reads near"
    READS = "reads"
    KEYED = "keyed"
    UNSAFE = "unsafe"
    VOTES = "votes"


class Stand(Enum):
    """How a gate stands."""

    WAITING = "waiting"
    OPEN = "open"
    LATE = "past its limit"  # its condition does not hold, and what can do without goes on
    SHUT = "shut"  # it will not open in this life unless operators do something


NEEDS: dict[Gate, tuple[tuple[Gate, bool], ...]] = {  # for service: steps, and whether past its limit will do
    Gate.READS_NEAR: (),
    Gate.READS: ((Gate.LIST, True),),
    Gate.KEYED: ((Gate.LIST, True), (Gate.GROUP, True)),
    Gate.UNSAFE: (
        (Gate.DISK, False),
        (Gate.IDENTITY, False),
        (Gate.LIST, True),
        (Gate.GROUP, False),
        (Gate.SETTLED, False),
    ),
    Gate.VOTES: ((Gate.LIST, True), (Gate.GROUP, True)),
}


@dataclass(slots=True)
class Point:
    """One gate as it stands."""

    stand: Stand = Stand.WAITING
    why: str = ""  # what it waits for, or why it is shut
    since: float = 0.0  # when it came to stand so


@dataclass(slots=True)
class Facts:
    """What the gates go by; the owner keeps it up to date."""

    read: bool = False
    unusable: str = ""  # why the record cannot be written to
    identity: bool = False
    list_told: bool = False
    list_known: bool = False  # at least a remembered one
    acknowledging: int = 0
    unheard: tuple[str, ...] = ()
    unsettled: int = 0
    fault: str = ""  # why nothing can be written any more
    full: bool = False
    holders: tuple[int, int] = (0, 0)  # of copies: how many are heard, and how many a promise needs
    doubt: str = ""  # why the record proves nothing of what it does not hold
    replaced: str = ""
    contested: int = 0  # a newer life of this member, which may be over
    window_over: bool = False  # what was sent to a trial before has left the window
    held: str = ""  # who holds votes


@dataclass(slots=True)
class Gates:
    """All gates of one start."""

    members: int
    marked: bool
    waits: Waits
    points: dict[Gate, Point] = field(default_factory=lambda: {gate: Point() for gate in Gate})
    majority_at: float | None = None

    def open(self, gate: Gate) -> bool:
        """Whether this gate lets pass."""
        return self.points[gate].stand is Stand.OPEN

    def judge(self, now: float, facts: Facts) -> list[Gate]:
        """Look at all gates; those that came to stand differently."""
        before = {gate: point.stand for gate, point in self.points.items()}
        self._steps(now, facts)
        for gate, needs in NEEDS.items():
            self._service(gate, needs, now, facts)
        return [gate for gate in Gate if self.points[gate].stand is not before[gate]]

    def waited_for(self) -> tuple[Gate, str] | None:
        """The first gate that is not open, and why."""
        return next(
            ((gate, point.why) for gate, point in self.points.items() if point.stand is not Stand.OPEN), None
        )

    def _set(self, gate: Gate, now: float, stand: Stand, why: str = "") -> None:
        point = self.points[gate]
        if point.stand is not stand:
            point.stand, point.since = stand, now
        point.why = why

    def _steps(self, now: float, facts: Facts) -> None:
        broken = facts.unusable or facts.fault
        if broken:
            self._set(Gate.DISK, now, Stand.SHUT, broken)
        else:
            self._set(
                Gate.DISK,
                now,
                Stand.OPEN if facts.read else Stand.WAITING,
                "" if facts.read else "the record is being read",
            )
        if facts.replaced:
            self._set(Gate.IDENTITY, now, Stand.SHUT, facts.replaced)
        elif facts.contested:
            self._set(Gate.IDENTITY, now, Stand.WAITING, f"life {facts.contested} may be there elsewhere")
        elif facts.identity:
            self._set(Gate.IDENTITY, now, Stand.OPEN)
        else:
            self._set(
                Gate.IDENTITY,
                now,
                Stand.SHUT if broken else Stand.WAITING,
                broken or "the own incarnation is on its way to the disk",
            )
        if facts.list_told:
            self._set(Gate.LIST, now, Stand.OPEN)
        elif not self.open(Gate.LIST):
            late = now >= self.waits.list
            self._set(Gate.LIST, now, Stand.LATE if late else Stand.WAITING, "discovery has told no list")
        self._group(now, facts)
        if facts.unsettled or not facts.read:
            self._set(
                Gate.SETTLED,
                now,
                Stand.SHUT if broken else Stand.WAITING,
                f"{facts.unsettled} open operations" if facts.read else "the record is being read",
            )
        else:
            self._set(Gate.SETTLED, now, Stand.OPEN)

    def _group(self, now: float, facts: Facts) -> None:
        if self.open(Gate.GROUP):  # it was heard; who leaves afterwards is no matter of the start
            return
        if facts.acknowledging > self.members // 2:
            if self.majority_at is None:
                self.majority_at = now
            if not facts.unheard or now - self.majority_at >= self.waits.others:
                self._set(Gate.GROUP, now, Stand.OPEN)
            else:
                self._set(Gate.GROUP, now, Stand.WAITING, f"not heard yet: {', '.join(facts.unheard)}")
            return
        self.majority_at = None
        late = now >= self.waits.group
        self._set(
            Gate.GROUP,
            now,
            Stand.LATE if late else Stand.WAITING,
            f"{facts.acknowledging} of {self.members} have this life on disk, "
            f"{self.members // 2 + 1} are needed",
        )

    def _service(self, gate: Gate, needs: tuple[tuple[Gate, bool], ...], now: float, facts: Facts) -> None:
        for step, late_will_do in needs:
            point = self.points[step]
            if point.stand is Stand.OPEN or (late_will_do and point.stand is Stand.LATE):
                continue
            shut = point.stand is Stand.SHUT
            self._set(gate, now, Stand.SHUT if shut else Stand.WAITING, f"{step.value}: {point.why}")
            return
        why = self._own_reason(gate, facts)
        self._set(gate, now, Stand.WAITING if why else Stand.OPEN, why)

    def _own_reason(self, gate: Gate, facts: Facts) -> str:
        if gate is Gate.READS_NEAR and not facts.list_known:
            return "no server is known"
        if gate is Gate.UNSAFE:
            if facts.holders[0] < facts.holders[1]:
                return f"{facts.holders[0]} sound holders of copies are heard, {facts.holders[1]} are needed"
            if facts.full:
                return "the folder has reached its bound"
            if facts.doubt and not self.marked:
                return f"the record proves nothing: {facts.doubt}; operators have to accept that"
        if gate is Gate.VOTES:
            if not facts.window_over:
                return "exposure may be spent for one window more"
            if facts.held:
                return f"held by {facts.held}"
        return ""
