"""Repair in a running agent: reads its own log through, compares with others, takes over what is lacking."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from itertools import count

import anyio

from frostfall import log
from frostfall.membership.member_list import MemberList, MemberState
from frostfall.net.log_writer import LogWriter
from frostfall.net.member_transport import MemberConnection
from frostfall.protocol.member_messages import (
    DIGEST_ENTRIES,
    DIGEST_ITEMS,
    DIGEST_SUMS,
    DigestReply,
    DigestRequest,
    MemberMessage,
)
from frostfall.recovery.metadata import ReplicaAssignment
from frostfall.recovery.operation_log import (
    OperationLog,
    decode_age,
    decode_answer,
    decode_name,
    encode_payload,
)
from frostfall.replication.anti_entropy import MAX_RETRY_DELAY, AntiEntropyScheduler, SyncTask
from frostfall.replication.digest_tree import (
    DIGEST_STATES,
    EMPTY_TREE,
    DigestQuery,
    DigestState,
    DigestTree,
    TreeComparison,
    answer_query,
)
from frostfall.replication.replica_store import ReplicaStore, split_replica_name
from frostfall.storage import segment_codec
from frostfall.storage.record_index import pack_location, unpack_location
from frostfall.storage.segment_codec import Record, RecordState, SegmentEnd
from frostfall.storage.write_ahead_log import operation_key

MAX_BATCH_ITEMS = 256  # operations in one answer, which has so many bytes at most, but for the last one's
MAX_BATCH_BYTES = 256 * 1024
ITEMS_PER_SLICE = 32  # of them that are read or written before others have a turn
RECORDS_PER_SLICE = 64  # records that are read through before others have a turn
SLICE_PAUSE = 0.002  # seconds of that turn at least
POLL_INTERVAL = 0.25  # seconds between two looks for what is due
RESPONSE_TIMEOUT = (
    10.0  # seconds in which a party has to answer; it may have to read its own log through first
)
SESSION_IDLE_TIMEOUT = 60.0  # seconds for which a party's session is kept

_log = log.get_logger("repair")
DigestTrees = dict[tuple[str, bool], DigestTree]  # by owner, operations or fences


class SyncError(Exception):
    """A party did not answer as it should; the pair is tried again."""


class AntiEntropyDriver:
    """One agent's rounds, and its answers in those of others."""

    def __init__(
        self,
        scheduler: AntiEntropyScheduler,
        disk: LogWriter,
        ledger: OperationLog,
        store: ReplicaStore,
        members: MemberList,
        lines: dict[str, MemberConnection],
        monotonic: Callable[[], float],
        is_authoritative: Callable[[str, str, str], bool],
        on_restored: Callable[[], None],
        on_corruption: Callable[[str], None],
    ) -> None:
        """`sure`: whether an owner's record is whole here and this sender's life is on disk.

        `restored` is called when all that was lost is back, `rotten` when the log cannot be read any more.
        """
        self.scheduler, self._disk, self._ledger, self._holding = scheduler, disk, ledger, store
        self._members, self._lines, self._steady, self._sure = members, lines, monotonic, is_authoritative
        self._restored, self._rotten = on_restored, on_corruption
        self._sessions: dict[str, tuple[tuple[str, int], float, DigestTrees]] = {}  # by sender
        self._numbers = count(1)
        self._reading = anyio.Lock()
        self._lives: dict[str, str] = {}  # with which life of each party something has been compared
        self.restored_operations = self.received_bytes = 0  # operations and bytes that were brought here
        self._rot: set[int] = set()  # segments that are to leave
        self._due = 0.0  # when all is compared next

    def assignment(self) -> ReplicaAssignment:
        """What to write down of whose records are whole here."""
        return ReplicaAssignment(self.scheduler.complete_owners, sorted(self.scheduler.zones))

    # ---- what is on disk here -------------------------------------------------------------------------

    async def _survey(self) -> DigestTrees:
        """All operations that count, from the log itself, in turns; its checksums are looked at on the way.

        What was on disk when this began is in it, also where it was written anew meanwhile.
        """
        found: dict[tuple[str, bool], dict[int, int]] = defaultdict(dict)
        journal, number = self._disk.wal, 0
        async with self._reading:
            while later := [each for each in journal.segment_numbers if each > number]:
                number = later[0]
                await self._survey_one(number, found)
        return {key: await self._disk.run_blocking(DigestTree, places) for key, places in found.items()}

    async def _survey_one(self, number: int, found: dict[tuple[str, bool], dict[int, int]]) -> None:
        journal, keep = self._disk.wal, self._disk.wal.options.keep
        size, last, batch = (
            journal.segment_size(number),
            number == journal.segment_numbers[-1],
            journal.last_durable_batch,
        )
        try:
            raw = await self._disk.read_range(number, 0, size)
        except OSError as error:
            if journal.segment_size(number):
                self._spoilt(number, 0, str(error))
            return  # it has left meanwhile
        seen, segment = 0, segment_codec.SegmentScan()
        for state, key, _, offset, data in segment_codec.iter_records(raw, last, segment):
            if (seen := seen + 1) % RECORDS_PER_SLICE == 0:
                await anyio.sleep(SLICE_PAUSE)
            if state == RecordState.METADATA or not journal.is_current(
                key, place := pack_location(number, offset, RecordState(state))
            ):
                continue
            text = bytes(data)
            owner, name = split_replica_name(decode_name(text))
            ended = RecordState(state) not in (RecordState.OPEN, RecordState.OUTCOME_UNKNOWN)
            if ended and self._age(number, text) >= keep:
                continue  # it is about to leave here, and must not live for ever by going round
            found[owner or self._disk.wal.owner, state == RecordState.FENCED][operation_key(name)] = place
        # Danger: a tail that seems torn was whole once where the batches that are on disk do not all stand.
        bad = segment.end is SegmentEnd.CORRUPTED or (last and segment.last_batch < batch)
        if bad and journal.segment_size(number):
            self._spoilt(number, segment.valid_bytes, segment.reason)

    def _age(self, segment: int, data: bytes) -> float:
        """Seconds of running that a record there is old at most, also where it was brought."""
        return self._disk.wal.max_record_age(segment, self._disk.elapsed_seconds) + decode_age(data)

    def _spoilt(self, number: int, offset: int, why: str) -> None:
        lost = self._disk.wal.discard_unreadable(number, offset)
        if number not in self._rot:
            self._rot.add(number)
            _log.error("the disk has changed what was written", segment=number, why=why, operations=lost)
            self._rotten(f"segment {number}: {why}")

    async def _leave_rot(self) -> None:
        """Write what counts in segments up to a rotten one anew, and let them leave."""
        journal, until = self._disk.wal, max(self._rot)
        _log.info("segments are written anew", up_to=until)
        ticket = 0
        for _, place in list(journal.index.items()):
            segment, offset, state = unpack_location(place)
            if segment > until or state in (RecordState.OPEN, RecordState.OUTCOME_UNKNOWN):
                continue  # every new segment begins with these
            record = self._disk.read_record(segment, offset)
            if record and journal.is_current(record[1], place):
                text = record[2]
                again = encode_payload(
                    decode_name(text), decode_answer(text), max(int(self._age(segment, text)), 1)
                )
                ticket = journal.append(Record(state, record[1], again, place))
                self._disk.wake()
                if ticket % RECORDS_PER_SLICE == 0 and not await self._disk.wait_durable(ticket):
                    return
        if await self._disk.wait_durable(ticket):
            journal.retire_through(until)
            while min(journal.segment_numbers) <= until and not journal.failure_reason:
                self._disk.wake()
                await anyio.sleep(POLL_INTERVAL)
            self._rot.clear()
            _log.info("rotten segments have left", up_to=until)

    # ---- answers ---------------------------------------------------------------------------------------

    async def handle_compare(self, message: DigestRequest) -> MemberMessage:
        """Answer a party's question."""
        # Danger: asked only once its life is on disk here, all that this member does from now on counts no
        # acknowledgement of an earlier one; so what is read below is all that can rest on such.
        sure, now = self._sure(message.owner, message.sender, message.incarnation_token), self._steady()
        known = self._sessions.get(message.sender)
        self._sessions = {
            name: each for name, each in self._sessions.items() if now - each[1] < SESSION_IDLE_TIMEOUT
        }
        # Danger: sessions are counted anew in each life, and what was read for an earlier one is too old.
        if known is None or known[0] != (message.incarnation_token, message.session):
            known = (message.incarnation_token, message.session), now, await self._survey()
        self._sessions[message.sender] = known[0], self._steady(), known[2]
        catalogue = known[2].get((message.owner, message.compare_fences), EMPTY_TREE)
        data, items = b"", list[tuple[int, str, bytes | None, int]]()
        if message.level == DIGEST_ITEMS:
            seen = size = 0
            for key in message.selectors[:MAX_BATCH_ITEMS]:
                found = self._item(catalogue.location(key))
                items += found
                seen, size = seen + 1, size + sum(len(given or b"") for _, _, given, _ in found)
                if size >= MAX_BATCH_BYTES:
                    break
                if seen % ITEMS_PER_SLICE == 0:
                    await anyio.sleep(0)
            data = seen.to_bytes(4, "little")
        else:
            data = answer_query(
                catalogue, DigestQuery(message.level == DIGEST_ENTRIES, message.depth, message.selectors)
            )
        sure = sure and self._sure(message.owner, message.sender, message.incarnation_token)
        return DigestReply(message.request_id, sure, self._members.incarnation_token, data, items)

    def _item(self, place: int) -> list[tuple[int, str, bytes | None, int]]:
        if not place:
            return []
        journal, (segment, offset, state) = self._disk.wal, unpack_location(place)
        record = self._disk.read_record(segment, offset)
        if record is None or not journal.is_current(record[1], place):
            return []  # it has moved since: the next round has it
        ended = state not in (RecordState.OPEN, RecordState.OUTCOME_UNKNOWN)
        aged = int(self._age(segment, record[2])) if ended else 0
        return [(state, split_replica_name(decode_name(record[2]))[1], decode_answer(record[2]), aged)]

    # ---- rounds ----------------------------------------------------------------------------------------

    async def run(self) -> None:
        """Compare at the start, when a party comes back, and once a round; for good."""
        while True:
            try:
                await self._turn()
            except Exception:
                # Danger: one record that cannot be read must end neither the rounds nor the agent.
                _log.exception("round failed")
                await anyio.sleep(MAX_RETRY_DELAY)
            await anyio.sleep(POLL_INTERVAL)

    async def _turn(self) -> None:
        repair, now, peers = self.scheduler, self._steady(), self._members.peers
        if now >= self._due:
            self._due = now + repair.options.round
            repair.schedule(now)
            if not repair.peers_of(repair.own_name):
                await self._survey()  # nobody to compare with: the checksums are looked at all the same
        here = {name for name in self._lines if peers[name].state is MemberState.ALIVE}
        repair.update_unavailable(now, set(peers) - here)
        for name in here:
            if self._lives.get(name) != (token := peers[name].recorded_incarnation.token):
                self._lives[name] = token
                repair.schedule(now, name)
        if pairs := repair.due_tasks(now, here):
            await self._round(pairs)
        if repair.all_restored:
            self._restored()
        if self._rot and not repair.incomplete_owners:
            await self._leave_rot()

    async def _round(self, pairs: list[SyncTask]) -> None:
        own, session = await self._survey(), next(self._numbers)
        before, size, began = self.restored_operations, self.received_bytes, self._steady()
        for pair in pairs:
            good = sure = False
            try:
                sure = await self._take_over(pair, own, session)
                good = True
            except SyncError as error:
                _log.info("not compared", owner=pair.owner, party=pair.peer, why=str(error))
            self.scheduler.record_result(pair, self._steady(), succeeded=good, authoritative=sure)
        if self.restored_operations > before:
            _log.info(
                "taken over",
                operations=self.restored_operations - before,
                bytes=self.received_bytes - size,
                seconds=round(self._steady() - began, 3),
            )

    async def _take_over(self, pair: SyncTask, own: DigestTrees, session: int) -> bool:
        """Take what a party has of an owner's record and this member lacks; whether the party was sure."""
        sure = True
        for fences in (False, True):
            if fences and pair.owner in (pair.peer, self.scheduler.own_name):
                continue  # an owner has none
            mine, had = own.get((pair.owner, fences), EMPTY_TREE), dict[int, RecordState]()
            comparison = TreeComparison(mine)
            while question := comparison.next_query():
                what = DIGEST_ENTRIES if question.wants_entries else DIGEST_SUMS
                told = await self._ask(pair, fences, what, question.depth, question.prefixes, session)
                sure = sure and told.authoritative
                try:
                    comparison.handle_response(question, told.data)
                except ValueError as error:
                    raise SyncError(str(error)) from None
            keys = comparison.missing_keys
            while keys:
                told = await self._ask(pair, fences, DIGEST_ITEMS, 0, keys[:MAX_BATCH_ITEMS], session)
                sure, seen = sure and told.authoritative, int.from_bytes(told.data, "little")
                if not 0 < seen <= MAX_BATCH_ITEMS:
                    raise SyncError("no items")
                keys = keys[seen:]
                await self._restore(pair.owner, told, had)
            if had:  # so that the next party's sums are not asked for all over again
                own[pair.owner, fences] = await self._disk.run_blocking(mine.with_added, had)
        return sure

    async def _ask(
        self, pair: SyncTask, fences: bool, what: int, depth: int, asked: list[int], session: int
    ) -> DigestReply:
        told: list[MemberMessage | None] = []
        came = anyio.Event()

        def take(message: MemberMessage | None) -> None:
            told.append(message)
            came.set()

        self._lines[pair.peer].request(
            lambda number: DigestRequest(
                number,
                pair.owner,
                fences,
                what,
                depth,
                asked,
                self._members.own_name,
                self._members.incarnation_token,
                session,
            ),
            take,
        )
        with anyio.move_on_after(RESPONSE_TIMEOUT):
            await came.wait()
        if not told or not isinstance(told[0], DigestReply):
            raise SyncError("no answer")
        if told[0].incarnation_token != self._members.peers[pair.peer].recorded_incarnation.token:
            raise SyncError("another life of it answered")
        told_bytes = sum(len(name) + len(given or b"") + 16 for _, name, given, _ in told[0].items)
        self.received_bytes += len(told[0].data) + told_bytes + 8 * len(asked)
        return told[0]

    async def _restore(self, owner: str, told: DigestReply, had: dict[int, RecordState]) -> None:
        ticket, size, maybe = 0, 0, list[str]()
        for place, (state, name, given, aged) in enumerate(told.items, 1):
            if place % ITEMS_PER_SLICE == 0:
                self._disk.wake()
                await anyio.sleep(0)
            mark = DIGEST_STATES[RecordState(state)]
            if owner == self._disk.wal.owner:
                new = self._ledger.restore_from_replica(RecordState(state), name, given, aged)
                if new and mark is DigestState.MAY_HAVE_RUN:
                    maybe.append(name)
            else:
                new = self._holding.restore(owner, RecordState(state), name, given, aged)
            if new is None:
                raise SyncError(f"{name} is under way here")
            had[operation_key(name)] = RecordState(state)
            ticket, self.restored_operations = max(ticket, new), self.restored_operations + (new > 0)
            size += len(name) + len(given or b"") + 32
        self._disk.wake()
        if not await self._disk.wait_durable(ticket):
            raise SyncError("the disk has failed here")
        for name in maybe:
            self._ledger.restore_durable(name)
        await anyio.sleep(size / self.scheduler.options.rate)
