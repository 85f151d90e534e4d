"""Answers other members' anti-entropy requests about records that are held here."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import anyio

from frostfall.membership.member_list import MemberList
from frostfall.net.log_survey import DigestTrees, LogSurvey, ReplicaItem, TreeKey
from frostfall.protocol.member_messages import DIGEST_ENTRIES, DIGEST_ITEMS, DigestReply, DigestRequest
from frostfall.replication.digest_tree import EMPTY_TREE, DigestQuery, DigestTree, answer_query

MAX_BATCH_ITEMS = 256  # operations in one reply
MAX_BATCH_BYTES = 256 * 1024  # bytes of answers in one reply, which the last one may exceed
ITEMS_PER_SLICE = 32  # operations that are read or written before other tasks run
SESSION_IDLE_TIMEOUT = 60.0  # seconds for which a session is kept without a request
ITEM_COUNT_BYTES = 4  # bytes of the number of keys that a reply with items has handled


@dataclass(slots=True)
class _Session:
    """A peer's comparison: all its requests are answered from what was on disk after it began."""

    incarnation_token: str
    number: int
    trees: DigestTrees
    last_used: float  # seconds of the monotonic clock


class DigestServer:
    """Answers the requests of all peers, with one session each."""

    def __init__(
        self,
        survey: LogSurvey,
        members: MemberList,
        monotonic: Callable[[], float],
        is_authoritative: Callable[[str, str, str], bool],
    ) -> None:
        """`is_authoritative` takes owner, sender and the sender's token.

        It tells whether the owner's record is complete here and the sender's incarnation is on disk.
        """
        self._survey = survey
        self._members = members
        self._monotonic = monotonic
        self._is_authoritative = is_authoritative
        self._sessions: dict[str, _Session] = {}  # by sender

    async def answer(self, request: DigestRequest) -> DigestReply:
        """Answer a request; ValueError where it names nodes that no tree has."""
        # Once the sender's incarnation is on disk here, this member counts no acknowledgement of an earlier
        # one any more: what is read from here on has all that can rest on such. Hence the check both before
        # and after reading.
        was_authoritative = self._is_authoritative_for(request)
        trees = await self._trees_for(request)
        tree = trees.get(TreeKey(request.owner, request.compare_fences), EMPTY_TREE)
        items: list[ReplicaItem] = []
        if request.level == DIGEST_ITEMS:
            handled = await self._collect_items(tree, request.selectors, items)
            data = handled.to_bytes(ITEM_COUNT_BYTES, "little")
        else:
            wants_entries = request.level == DIGEST_ENTRIES
            data = answer_query(tree, DigestQuery(wants_entries, request.depth, request.selectors))
        authoritative = was_authoritative and self._is_authoritative_for(request)
        return DigestReply(request.request_id, authoritative, self._members.incarnation_token, data, [*items])

    def _is_authoritative_for(self, request: DigestRequest) -> bool:
        return self._is_authoritative(request.owner, request.sender, request.incarnation_token)

    async def _trees_for(self, request: DigestRequest) -> DigestTrees:
        """Return the trees of the sender's session, read from the log where it is a new one."""
        now = self._monotonic()
        session = self._sessions.get(request.sender)
        self._sessions = {
            sender: each
            for sender, each in self._sessions.items()
            if now - each.last_used < SESSION_IDLE_TIMEOUT
        }
        # Session numbers begin anew with each incarnation, and what was read for an earlier one is outdated.
        if (
            session is None
            or session.incarnation_token != request.incarnation_token
            or session.number != request.session
        ):
            trees = await self._survey.digest_trees()
            session = _Session(request.incarnation_token, request.session, trees, now)
        session.last_used = self._monotonic()
        self._sessions[request.sender] = session
        return session.trees

    async def _collect_items(self, tree: DigestTree, keys: list[int], items: list[ReplicaItem]) -> int:
        """Collect the records of as many keys as fit into a reply; the number of keys handled."""
        handled = size = 0
        for key in keys[:MAX_BATCH_ITEMS]:
            if item := self._survey.item_at(tree.location(key)):
                items.append(item)
                size += len(item.answer or b"")
            handled += 1
            if size >= MAX_BATCH_BYTES:
                break
            if handled % ITEMS_PER_SLICE == 0:
                await anyio.sleep(0)
        return handled
