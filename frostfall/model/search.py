"""A small world of copies, searched exhaustively: one owner, its holders, who resolves, every order of steps.

Explicit-state search (breadth first, each state once), with states folded that differ only in which holder or
which item is which. The decisions are the program's own: what a copy takes in, what words amount to, when a
lost record is whole again. All delays are in it, so a pause is every order in which somebody's next step
comes later; a message that is lost is one that never comes. At most one holder loses its disk.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import permutations
from typing import NamedTuple

from frostfall.recovery.operation_log import OperationResult, OperationStatus
from frostfall.replication.anti_entropy import is_record_complete
from frostfall.replication.options import ReplicationOptions
from frostfall.replication.quorum_read import resolve_outcome
from frostfall.replication.replica_store import merge_states
from frostfall.storage.segment_codec import RecordState

# The owner's progress with an item.
FRESH = 0
INTENDED = 1
WRITTEN = 2
STOPPED = 3

# The resolver's progress with an item: a member that wants to know whether it may run it.
IDLE = 0
READING = 1
CONFIRMING = 2
CLEARED = 3
RESOLVED = 4

STATUSES = (None, OperationStatus.ABSENT, OperationStatus.FAILED, OperationStatus.INDETERMINATE)


class Holder(NamedTuple):
    """What lies between an owner and one holder, for one item."""

    copy: int = 0  # on the holder's disk: a state, 0 where there is none
    coming: bool = False  # the owner's intent is on its way
    going: tuple[int, ...] = ()  # acknowledgements on their way, by the holder's incarnation; -1: rejected
    acknowledged: int = -1  # as the owner has it: the holder's incarnation
    status: int = 0  # as the resolver has it: a place in STATUSES
    status_incarnation: int = -1  # the holder's incarnation that gave that status
    confirmed: bool = False  # given once more by the same incarnation


class Item(NamedTuple):
    """One operation."""

    owner: int = FRESH
    resolver: int = IDLE
    holders: tuple[Holder, ...] = ()


class Machine(NamedTuple):
    """One holder's machine."""

    incarnation: int = 0
    recorded_incarnation: int = 0  # as the owner has it on disk
    incomplete: bool = False
    taken: tuple[int, ...] = ()  # holders whose copies it has taken over since; -1: the owner's


class World(NamedTuple):
    """All of it."""

    machines: tuple[Machine, ...]
    items: tuple[Item, ...]


@dataclass(frozen=True, slots=True)
class Mutation:
    """What a mutant of the protocol leaves out."""

    sealing: bool = False  # a resolver fences nothing
    waiting: bool = False  # the owner writes before anything is acknowledged
    soundness: bool = False  # a holder that has lost its disk goes on acknowledging
    fences: bool = False  # fences are not taken over
    twice: bool = False  # a resolver asks once only


@dataclass(slots=True)
class Result:
    """What a search found."""

    states: int
    breach: World | None  # the first state in which an item has run twice
    depth: int  # steps to the farthest state, or to the breach


def search(
    rules: ReplicationOptions, items: int = 2, mutation: Mutation | None = None, most: int = 10_000_000
) -> Result:
    """Go through all states that can be reached, or up to the first breach."""
    mutation = mutation or Mutation()
    start = World((Machine(),) * rules.kept, (Item(holders=(Holder(),) * rules.kept),) * items)
    seen, queue, depth = {start}, deque([(start, 0)]), 0
    while queue and len(seen) < most:
        world, depth = queue.popleft()
        if any(item.owner == WRITTEN and item.resolver == CLEARED for item in world.items):
            return Result(len(seen), world, depth)
        for after in _steps(world, rules, mutation):
            if (folded := _fold(after)) not in seen:
                seen.add(folded)
                queue.append((folded, depth + 1))
    return Result(len(seen), None, depth)


def _fold(world: World) -> World:
    """One state for all that differ only by names."""

    def order(places: tuple[int, ...]) -> World:
        back = {place: new for new, place in enumerate(places)}
        machines = tuple(
            world.machines[place]._replace(
                taken=tuple(sorted(back.get(other, -1) for other in world.machines[place].taken))
            )
            for place in places
        )
        items = (
            item._replace(holders=tuple(item.holders[place] for place in places)) for item in world.items
        )
        return World(machines, tuple(sorted(items)))

    return min(order(places) for places in permutations(range(len(world.machines))))


def _steps(world: World, rules: ReplicationOptions, mutation: Mutation) -> Iterator[World]:
    for number, item in enumerate(world.items):
        for after in _of_item(item, world.machines, rules, mutation):
            yield world._replace(items=(*world.items[:number], after, *world.items[number + 1 :]))
    if not any(machine.incarnation for machine in world.machines):
        for place in range(len(world.machines)):
            yield _loses(world, place)
    for place, machine in enumerate(world.machines):
        if machine.recorded_incarnation != machine.incarnation:
            yield world._replace(
                machines=_put(
                    world.machines, place, machine._replace(recorded_incarnation=machine.incarnation)
                )
            )
        if machine.incomplete:
            yield from _takes_over(world, place, rules, mutation)


def _put(items: tuple, place: int, item: object) -> tuple:  # type: ignore[type-arg]
    return (*items[:place], item, *items[place + 1 :])


def _of_item(
    item: Item, machines: tuple[Machine, ...], rules: ReplicationOptions, mutation: Mutation
) -> Iterator[Item]:
    counting = sum(
        each.acknowledged == machine.recorded_incarnation for each, machine in zip(item.holders, machines)
    )
    if item.owner == FRESH:
        sent = tuple(each._replace(coming=True) for each in item.holders)
        yield item._replace(owner=INTENDED, holders=sent)
    if item.owner == INTENDED and (counting >= rules.acknowledged or mutation.waiting):
        yield item._replace(owner=WRITTEN)
    if item.resolver == IDLE:
        yield item._replace(resolver=READING)
    statuses, read = (
        [status for each in item.holders if (status := STATUSES[each.status])],
        rules.read_quorum(len(item.holders)),
    )
    if item.resolver == READING and (
        told := resolve_outcome([OperationResult(status) for status in statuses], read)
    ):
        once = CLEARED if mutation.twice else CONFIRMING
        yield item._replace(resolver=once if told.status is OperationStatus.ABSENT else RESOLVED)
    if item.resolver == CONFIRMING and sum(each.confirmed for each in item.holders) >= read:
        yield item._replace(resolver=CLEARED)
    for place, (each, machine) in enumerate(zip(item.holders, machines)):

        def put(after: Holder, place: int = place, **more: int) -> Item:
            return item._replace(holders=_put(item.holders, place, after), **more)

        if each.coming:
            refused = each.copy in (RecordState.FENCED, RecordState.FAILED)
            counts = not machine.incomplete or mutation.soundness
            going = (-1,) if refused else (machine.incarnation,) if counts else ()
            yield put(
                each._replace(
                    copy=each.copy or int(RecordState.OPEN),
                    coming=False,
                    going=tuple(sorted({*each.going, *going})),
                )
            )
        for what in each.going:
            left = each._replace(going=tuple(one for one in each.going if one != what))
            if what < 0:
                yield put(left, owner=STOPPED if item.owner == INTENDED else item.owner)
            else:
                yield put(left._replace(acknowledged=what))
        if item.owner == INTENDED and not each.coming and each.acknowledged != machine.recorded_incarnation:
            yield put(each._replace(coming=True))  # its acknowledgement does not count: it is asked once more
        if item.resolver == READING and not each.status:
            status = (
                OperationStatus.FAILED
                if each.copy in (RecordState.OPEN, RecordState.FAILED)
                else (OperationStatus.INDETERMINATE if machine.incomplete else OperationStatus.ABSENT)
            )
            seal = not each.copy and not mutation.sealing
            yield put(
                each._replace(
                    status=STATUSES.index(status),
                    status_incarnation=machine.incarnation,
                    copy=int(RecordState.FENCED) if seal else each.copy,
                )
            )
        same = (
            STATUSES[each.status] is OperationStatus.ABSENT
            and each.status_incarnation == machine.incarnation
            and not machine.incomplete
        )
        if (
            item.resolver == CONFIRMING
            and same
            and not each.confirmed
            and (each.copy == RecordState.FENCED or mutation.sealing)
        ):
            yield put(each._replace(confirmed=True))


def _loses(world: World, place: int) -> World:
    """A holder's machine goes with its disk and comes back empty; what it has said is still on its way."""
    machines = _put(world.machines, place, world.machines[place]._replace(incarnation=1, incomplete=True))
    items = tuple(
        item._replace(holders=_put(item.holders, place, item.holders[place]._replace(copy=0)))
        for item in world.items
    )
    return World(machines, items)


def _takes_over(world: World, place: int, rules: ReplicationOptions, mutation: Mutation) -> Iterator[World]:
    machine = world.machines[place]
    for source in range(-1, len(world.machines)):
        if source in (place, *machine.taken) or (
            source < 0 and machine.recorded_incarnation != machine.incarnation
        ):
            continue  # the owner answers once it has that incarnation on disk
        taken = tuple(sorted((*machine.taken, source)))
        whole = is_record_complete(
            rules, len(world.machines), False, -1 in taken, sum(each >= 0 for each in taken)
        )
        items = tuple(
            item._replace(holders=_put(item.holders, place, _merged(item, place, source, mutation)))
            for item in world.items
        )
        yield World(_put(world.machines, place, machine._replace(taken=taken, incomplete=not whole)), items)


def _merged(item: Item, place: int, source: int, mutation: Mutation) -> Holder:
    mine = item.holders[place]
    theirs = (
        item.holders[source].copy
        if source >= 0
        else (int(RecordState.OPEN) if item.owner in (INTENDED, WRITTEN) else 0)
    )
    if not theirs or (theirs == RecordState.FENCED and mutation.fences):
        return mine
    after = merge_states(RecordState(mine.copy) if mine.copy else None, RecordState(theirs))
    return mine if after is None else mine._replace(copy=int(after))
