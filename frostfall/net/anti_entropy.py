"""Anti-entropy driver of an agent: compares records with peers and restores missing local records."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from itertools import count

import anyio

from frostfall import log
from frostfall.membership.member_list import MemberList, MemberState
from frostfall.net.digest_server import ITEMS_PER_SLICE, MAX_BATCH_ITEMS, DigestServer
from frostfall.net.log_survey import DigestTrees, LogSurvey, ReplicaItem, TreeKey
from frostfall.net.log_writer import LogWriter
from frostfall.net.member_transport import MemberConnection
from frostfall.net.pending_reply import PendingReply
from frostfall.protocol.member_messages import (
    DIGEST_ENTRIES,
    DIGEST_ITEMS,
    DIGEST_SUMS,
    DigestReply,
    DigestRequest,
    MemberMessage,
)
from frostfall.recovery.operation_log import OperationLog
from frostfall.replication.anti_entropy import MAX_RETRY_DELAY, AntiEntropyScheduler, SyncTask
from frostfall.replication.digest_tree import (
    DIGEST_STATES,
    EMPTY_TREE,
    DigestQuery,
    DigestState,
    TreeComparison,
)
from frostfall.replication.replica_store import ReplicaStore
from frostfall.storage.segment_codec import RecordState
from frostfall.storage.write_ahead_log import operation_key

POLL_INTERVAL = 0.25  # seconds between checks for due tasks
RESPONSE_TIMEOUT = 10.0  # seconds for a reply; the peer may have to read its whole log first
SELECTOR_BYTES = 8  # bytes per key or prefix of a request in the traffic statistics
ITEM_WIRE_BYTES = 16  # bytes per item in the traffic statistics, in addition to its name and answer
ITEM_DISK_BYTES = 32  # bytes per item in the rate limit, in addition to its name and answer

_log = log.get_logger("repair")


class SyncError(Exception):
    """Raised when a synchronization task fails; the scheduler retries the task later."""


@dataclass(frozen=True, slots=True)
class _Selection:
    """The tree, level and nodes or keys that one request selects."""

    tree: TreeKey
    level: int  # DIGEST_SUMS, DIGEST_ENTRIES or DIGEST_ITEMS
    depth: int
    selectors: list[int]  # node prefixes, or operation keys for DIGEST_ITEMS

    @classmethod
    def of_query(cls, tree: TreeKey, query: DigestQuery) -> _Selection:
        return cls(tree, DIGEST_ENTRIES if query.wants_entries else DIGEST_SUMS, query.depth, query.prefixes)


class AntiEntropyDriver:
    """Runs the anti-entropy rounds of one agent and answers the requests of its peers."""

    def __init__(
        self,
        scheduler: AntiEntropyScheduler,
        disk: LogWriter,
        operation_log: OperationLog,
        store: ReplicaStore,
        members: MemberList,
        connections: dict[str, MemberConnection],
        monotonic: Callable[[], float],
        is_authoritative: Callable[[str, str, str], bool],
        on_restored: Callable[[], None],
        on_corruption: Callable[[str], None],
    ) -> None:
        """Create a driver; `connections` has the connections to the other members.

        For `is_authoritative` see `DigestServer`. `on_restored` is called when all incomplete records are
        complete again, and `on_corruption` when a segment of the log is no longer readable.
        """
        self.scheduler = scheduler
        self._disk = disk
        self._operation_log = operation_log
        self._store = store
        self._members = members
        self._connections = connections
        self._monotonic = monotonic
        self._on_restored = on_restored
        self._survey = LogSurvey(disk, on_corruption)
        self._server = DigestServer(self._survey, members, monotonic, is_authoritative)
        self._session_numbers = count(1)
        # By peer: token of the incarnation that was last scheduled.
        self._scheduled_tokens: dict[str, str] = {}
        self._next_round = 0.0  # seconds of the monotonic clock
        self.restored_operations = 0
        self.received_bytes = 0

    async def handle_compare(self, message: DigestRequest) -> MemberMessage:
        """Answer a digest request of a peer."""
        return await self._server.answer(message)

    async def run(self) -> None:
        """Compare at startup, after a peer restarts, and every `round` seconds, until cancelled."""
        while True:
            try:
                await self._run_due()
            except Exception:
                # An unreadable record must stop neither anti-entropy nor the agent.
                _log.exception("anti-entropy round failed")
                await anyio.sleep(MAX_RETRY_DELAY)
            await anyio.sleep(POLL_INTERVAL)

    async def _run_due(self) -> None:
        now = self._monotonic()
        if now >= self._next_round:
            self._next_round = now + self.scheduler.options.round
            self.scheduler.schedule(now)
            if not self.scheduler.peers_of(self.scheduler.own_name):
                await self._survey.digest_trees()  # verifies checksums, also without peers
        available = self._update_members(now)
        if tasks := self.scheduler.due_tasks(now, available):
            await self._run_tasks(tasks)
        if self.scheduler.all_restored:
            self._on_restored()
        if self._survey.found_corruption and not self.scheduler.incomplete_owners:
            await self._survey.rewrite_corrupted()

    def _update_members(self, now: float) -> set[str]:
        """Update the scheduler's unavailable peers and schedule peers with a new incarnation.

        Returns the names of the available peers.
        """
        peers = self._members.peers
        available = {name for name in self._connections if peers[name].state is MemberState.ALIVE}
        self.scheduler.update_unavailable(now, set(peers) - available)
        for name in available:
            token = peers[name].recorded_incarnation.token
            if self._scheduled_tokens.get(name) != token:
                self._scheduled_tokens[name] = token
                self.scheduler.schedule(now, name)
        return available

    async def _run_tasks(self, tasks: list[SyncTask]) -> None:
        trees = await self._survey.digest_trees()
        session = next(self._session_numbers)
        operations_before, bytes_before = self.restored_operations, self.received_bytes
        started_at = self._monotonic()
        for task in tasks:
            succeeded = authoritative = False
            try:
                authoritative = await self._sync(task, trees, session)
                succeeded = True
            except SyncError as error:
                _log.info("sync failed", owner=task.owner, peer=task.peer, reason=str(error))
            self.scheduler.record_result(
                task, self._monotonic(), succeeded=succeeded, authoritative=authoritative
            )
        if self.restored_operations > operations_before:
            _log.info(
                "replicas restored",
                operations=self.restored_operations - operations_before,
                bytes=self.received_bytes - bytes_before,
                seconds=round(self._monotonic() - started_at, 3),
            )

    async def _sync(self, task: SyncTask, trees: DigestTrees, session: int) -> bool:
        """Restore the records of an owner that a peer has and this member lacks.

        Returns whether all replies of the peer were authoritative.
        """
        authoritative = True
        for fences in (False, True):
            if fences and task.owner in (task.peer, self.scheduler.own_name):
                continue  # an owner has no fences against itself
            key = TreeKey(task.owner, fences)
            authoritative &= await self._sync_tree(task, key, trees, session)
        return authoritative

    async def _sync_tree(self, task: SyncTask, key: TreeKey, trees: DigestTrees, session: int) -> bool:
        own_tree = trees.get(key, EMPTY_TREE)
        comparison = TreeComparison(own_tree)
        authoritative = True
        while query := comparison.next_query():
            reply = await self._request(task, _Selection.of_query(key, query), session)
            authoritative &= reply.authoritative
            try:
                comparison.handle_response(query, reply.data)
            except ValueError as error:
                raise SyncError(str(error)) from None
        restored: dict[int, RecordState] = {}
        keys = comparison.missing_keys
        while keys:
            selection = _Selection(key, DIGEST_ITEMS, 0, keys[:MAX_BATCH_ITEMS])
            reply = await self._request(task, selection, session)
            authoritative &= reply.authoritative
            handled = int.from_bytes(reply.data, "little")
            if not 0 < handled <= MAX_BATCH_ITEMS:
                raise SyncError(f"invalid number of handled keys in the peer's reply: {handled}")
            keys = keys[handled:]
            await self._restore(task.owner, [ReplicaItem(*item) for item in reply.items], restored)
        if restored:  # restored items are not requested again from the next peer
            trees[key] = await self._disk.run_blocking(own_tree.with_added, restored)
        return authoritative

    async def _request(self, task: SyncTask, selection: _Selection, session: int) -> DigestReply:
        """Send a request to a task's peer; raise SyncError unless its current incarnation replies in time."""

        def request(request_id: int) -> DigestRequest:
            return DigestRequest(
                request_id,
                task.owner,
                selection.tree.fences,
                selection.level,
                selection.depth,
                selection.selectors,
                self._members.own_name,
                self._members.incarnation_token,
                session,
            )

        pending = PendingReply()
        self._connections[task.peer].request(request, pending.resolve)
        reply: MemberMessage | None = None
        with anyio.move_on_after(RESPONSE_TIMEOUT):
            reply = await pending.wait()
        if not isinstance(reply, DigestReply):
            raise SyncError("no reply from the peer")
        if reply.incarnation_token != self._members.peers[task.peer].recorded_incarnation.token:
            raise SyncError("reply from an incarnation that is not recorded here")
        self.received_bytes += len(reply.data) + SELECTOR_BYTES * len(selection.selectors)
        for _, name, answer, _ in reply.items:
            self.received_bytes += len(name) + len(answer or b"") + ITEM_WIRE_BYTES
        return reply

    async def _restore(self, owner: str, items: list[ReplicaItem], restored: dict[int, RecordState]) -> None:
        """Write items to this member's log and wait until they are durable, within the configured rate.

        `restored` receives the states of the items by operation key.
        """
        last_ticket = size = 0
        may_have_run: list[str] = []
        for position, item in enumerate(items, 1):
            if position % ITEMS_PER_SLICE == 0:
                self._disk.wake()
                await anyio.sleep(0)
            state = RecordState(item.state)
            digest_state = DIGEST_STATES[state]
            ticket = self._restore_item(owner, item)
            if ticket is None:
                raise SyncError(f"operation {item.operation} is in progress on this member")
            if owner == self._disk.wal.owner and ticket and digest_state is DigestState.MAY_HAVE_RUN:
                may_have_run.append(item.operation)
            restored[operation_key(item.operation)] = state
            last_ticket = max(last_ticket, ticket)
            self.restored_operations += ticket > 0
            size += len(item.operation) + len(item.answer or b"") + ITEM_DISK_BYTES
        self._disk.wake()
        if not await self._disk.wait_durable(last_ticket):
            raise SyncError("writing restored records to disk failed")
        for operation in may_have_run:
            self._operation_log.on_restore_durable(operation)
        await anyio.sleep(size / self.scheduler.options.rate)

    def _restore_item(self, owner: str, item: ReplicaItem) -> int | None:
        """Write an item if it is missing.

        Returns the ticket to wait for, 0 for no change, or None while the operation is in progress here.
        """
        state = RecordState(item.state)
        if owner == self._disk.wal.owner:
            return self._operation_log.restore_from_replica(state, item.operation, item.answer, item.age)
        return self._store.restore(owner, state, item.operation, item.answer, item.age)
