"""Exhaustive search of a small model of replication with one owner, its holders and a resolver.

The search covers every order of steps. It is an explicit-state search, breadth first, which visits each state
once; states that differ only in the numbering of holders or items count as one. The decisions are those of
the program: which states a replica accepts, the outcome of a quorum read, and when a lost record is complete
again. Delays need no steps of their own: a pause is an order in which the next step of a participant comes
later, and a lost message is one that is never delivered. At most one holder loses its disk.
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
NOT_STARTED = 0
INTENDED = 1
WRITTEN = 2
REJECTED = 3

# The progress with an item of the resolver, a member that has to find out whether it may run the item.
IDLE = 0
READING = 1
CONFIRMING = 2
MAY_RUN = 3
RESOLVED = 4

STATUSES = (None, OperationStatus.ABSENT, OperationStatus.FAILED, OperationStatus.INDETERMINATE)


class Holder(NamedTuple):
    """State of one item between its owner and one holder."""

    record_state: int = 0  # RecordState on the holder's disk; 0: no record
    intent_in_flight: bool = False  # the owner's intent is in flight
    # Incarnations of the holder whose acknowledgements are in flight; -1: a rejection.
    replies_in_flight: tuple[int, ...] = ()
    acknowledged: int = -1  # incarnation of the holder whose acknowledgement the owner received
    status: int = 0  # index in STATUSES of the status that the resolver received
    status_incarnation: int = -1  # incarnation of the holder that sent this status
    confirmed: bool = False  # the same incarnation has sent the status a second time


class Item(NamedTuple):
    """One operation, with the progress of its owner, resolver and holders."""

    owner: int = NOT_STARTED
    resolver: int = IDLE
    holders: tuple[Holder, ...] = ()


class Machine(NamedTuple):
    """The machine of one holder."""

    incarnation: int = 0
    recorded_incarnation: int = 0  # on the owner's disk
    incomplete: bool = False
    # Holders whose records it has merged since the loss of its disk; -1: the owner.
    merged_sources: tuple[int, ...] = ()


class SystemState(NamedTuple):
    """The state of all machines and items."""

    machines: tuple[Machine, ...]
    items: tuple[Item, ...]


@dataclass(frozen=True, slots=True)
class Mutation:
    """The parts of the protocol that a mutant leaves out; bench results name mutants by these fields."""

    sealing: bool = False  # a resolver does not fence absent records
    waiting: bool = False  # the owner writes without waiting for acknowledgements
    soundness: bool = False  # a holder acknowledges while its record is incomplete
    fences: bool = False  # a recovering holder does not merge fences
    twice: bool = False  # a resolver does not confirm absence by a second read


@dataclass(slots=True)
class SearchResult:
    """Result of a search."""

    states: int
    violation: SystemState | None  # first state in which an item may run twice
    depth: int  # number of steps to the last state visited


def search(
    rules: ReplicationOptions, items: int = 2, mutation: Mutation | None = None, max_states: int = 10_000_000
) -> SearchResult:
    """Visit all reachable states, up to the first violation or to `max_states`."""
    mutation = mutation or Mutation()
    start = SystemState((Machine(),) * rules.kept, (Item(holders=(Holder(),) * rules.kept),) * items)
    seen, queue, depth = {start}, deque([(start, 0)]), 0
    while queue and len(seen) < max_states:
        state, depth = queue.popleft()
        if any(item.owner == WRITTEN and item.resolver == MAY_RUN for item in state.items):
            return SearchResult(len(seen), state, depth)
        for after in _steps(state, rules, mutation):
            if (canonical := _canonical(after)) not in seen:
                seen.add(canonical)
                queue.append((canonical, depth + 1))
    return SearchResult(len(seen), None, depth)


def _canonical(state: SystemState) -> SystemState:
    """Return the representative of all states that differ only in the numbering of holders and items."""

    def renumber(positions: tuple[int, ...]) -> SystemState:
        new_position = {position: new for new, position in enumerate(positions)}
        machines = tuple(
            state.machines[position]._replace(
                merged_sources=tuple(
                    sorted(new_position.get(other, -1) for other in state.machines[position].merged_sources)
                )
            )
            for position in positions
        )
        items = (
            item._replace(holders=tuple(item.holders[position] for position in positions))
            for item in state.items
        )
        return SystemState(machines, tuple(sorted(items)))

    return min(renumber(positions) for positions in permutations(range(len(state.machines))))


def _steps(state: SystemState, rules: ReplicationOptions, mutation: Mutation) -> Iterator[SystemState]:
    for number, item in enumerate(state.items):
        for after in _item_steps(item, state.machines, rules, mutation):
            yield state._replace(items=(*state.items[:number], after, *state.items[number + 1 :]))
    if not any(machine.incarnation for machine in state.machines):
        for position in range(len(state.machines)):
            yield _lose_disk(state, position)
    for position, machine in enumerate(state.machines):
        if machine.recorded_incarnation != machine.incarnation:
            yield state._replace(
                machines=_replace_at(
                    state.machines, position, machine._replace(recorded_incarnation=machine.incarnation)
                )
            )
        if machine.incomplete:
            yield from _merge_steps(state, position, rules, mutation)


def _replace_at(items: tuple, position: int, item: object) -> tuple:  # type: ignore[type-arg]
    return (*items[:position], item, *items[position + 1 :])


def _item_steps(
    item: Item, machines: tuple[Machine, ...], rules: ReplicationOptions, mutation: Mutation
) -> Iterator[Item]:
    acknowledgements = sum(
        holder.acknowledged == machine.recorded_incarnation for holder, machine in zip(item.holders, machines)
    )
    if item.owner == NOT_STARTED:
        sent = tuple(holder._replace(intent_in_flight=True) for holder in item.holders)
        yield item._replace(owner=INTENDED, holders=sent)
    if item.owner == INTENDED and (acknowledgements >= rules.acknowledged or mutation.waiting):
        yield item._replace(owner=WRITTEN)
    if item.resolver == IDLE:
        yield item._replace(resolver=READING)
    statuses, read = (
        [status for holder in item.holders if (status := STATUSES[holder.status])],
        rules.read_quorum(len(item.holders)),
    )
    if item.resolver == READING and (
        outcome := resolve_outcome([OperationResult(status) for status in statuses], read)
    ):
        after_first_read = MAY_RUN if mutation.twice else CONFIRMING
        yield item._replace(
            resolver=after_first_read if outcome.status is OperationStatus.ABSENT else RESOLVED
        )
    if item.resolver == CONFIRMING and sum(holder.confirmed for holder in item.holders) >= read:
        yield item._replace(resolver=MAY_RUN)
    for position, (holder, machine) in enumerate(zip(item.holders, machines)):

        def with_holder(after: Holder, position: int = position, **item_fields: int) -> Item:
            return item._replace(holders=_replace_at(item.holders, position, after), **item_fields)

        if holder.intent_in_flight:
            rejected = holder.record_state in (RecordState.FENCED, RecordState.FAILED)
            counts = not machine.incomplete or mutation.soundness
            replies_in_flight = (-1,) if rejected else (machine.incarnation,) if counts else ()
            yield with_holder(
                holder._replace(
                    record_state=holder.record_state or int(RecordState.OPEN),
                    intent_in_flight=False,
                    replies_in_flight=tuple(sorted({*holder.replies_in_flight, *replies_in_flight})),
                )
            )
        for reply in holder.replies_in_flight:
            remaining = holder._replace(
                replies_in_flight=tuple(other for other in holder.replies_in_flight if other != reply)
            )
            if reply < 0:
                yield with_holder(remaining, owner=REJECTED if item.owner == INTENDED else item.owner)
            else:
                yield with_holder(remaining._replace(acknowledged=reply))
        # The holder's acknowledgement does not count, so the owner sends its intent again.
        if (
            item.owner == INTENDED
            and not holder.intent_in_flight
            and holder.acknowledged != machine.recorded_incarnation
        ):
            yield with_holder(holder._replace(intent_in_flight=True))
        if item.resolver == READING and not holder.status:
            status = (
                OperationStatus.FAILED
                if holder.record_state in (RecordState.OPEN, RecordState.FAILED)
                else (OperationStatus.INDETERMINATE if machine.incomplete else OperationStatus.ABSENT)
            )
            fence = not holder.record_state and not mutation.sealing
            yield with_holder(
                holder._replace(
                    status=STATUSES.index(status),
                    status_incarnation=machine.incarnation,
                    record_state=int(RecordState.FENCED) if fence else holder.record_state,
                )
            )
        still_absent = (
            STATUSES[holder.status] is OperationStatus.ABSENT
            and holder.status_incarnation == machine.incarnation
            and not machine.incomplete
        )
        if (
            item.resolver == CONFIRMING
            and still_absent
            and not holder.confirmed
            and (holder.record_state == RecordState.FENCED or mutation.sealing)
        ):
            yield with_holder(holder._replace(confirmed=True))


def _lose_disk(state: SystemState, position: int) -> SystemState:
    """Replace a holder's machine by one with an empty disk; the messages that it sent remain in flight."""
    machines = _replace_at(
        state.machines, position, state.machines[position]._replace(incarnation=1, incomplete=True)
    )
    items = tuple(
        item._replace(
            holders=_replace_at(item.holders, position, item.holders[position]._replace(record_state=0))
        )
        for item in state.items
    )
    return SystemState(machines, items)


def _merge_steps(
    state: SystemState, position: int, rules: ReplicationOptions, mutation: Mutation
) -> Iterator[SystemState]:
    machine = state.machines[position]
    for source in range(-1, len(state.machines)):
        if source in (position, *machine.merged_sources) or (
            source < 0 and machine.recorded_incarnation != machine.incarnation
        ):
            continue  # the owner answers once it has stored that incarnation
        merged_sources = tuple(sorted((*machine.merged_sources, source)))
        complete = is_record_complete(
            rules,
            len(state.machines),
            False,
            -1 in merged_sources,
            sum(other >= 0 for other in merged_sources),
        )
        items = tuple(
            item._replace(
                holders=_replace_at(item.holders, position, _merge_from(item, position, source, mutation))
            )
            for item in state.items
        )
        yield SystemState(
            _replace_at(
                state.machines,
                position,
                machine._replace(merged_sources=merged_sources, incomplete=not complete),
            ),
            items,
        )


def _merge_from(item: Item, position: int, source: int, mutation: Mutation) -> Holder:
    target = item.holders[position]
    source_state = (
        item.holders[source].record_state
        if source >= 0
        else (int(RecordState.OPEN) if item.owner in (INTENDED, WRITTEN) else 0)
    )
    if not source_state or (source_state == RecordState.FENCED and mutation.fences):
        return target
    after = merge_states(
        RecordState(target.record_state) if target.record_state else None, RecordState(source_state)
    )
    return target if after is None else target._replace(record_state=int(after))
