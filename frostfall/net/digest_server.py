"""Answers anti-entropy requests of other members from the records stored by this member."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import anyio

from frostfall.membership.member_list import MemberList
from frostfall.net.log_survey import DigestTrees, LogSurvey, ReplicaItem, TreeKey
from frostfall.protocol.member_messages import DIGEST_ENTRIES, DIGEST_ITEMS, DigestReply, DigestRequest
from frostfall.replication.digest_tree import EMPTY_TREE, DigestQuery, DigestTree, answer_query

MAX_BATCH_ITEMS = 256  # operations per reply
MAX_BATCH_BYTES = 256 * 1024  # bytes of answers per reply; the last answer may exceed the limit
ITEMS_PER_SLICE = 32  # operations to read or write before other tasks run
SESSION_IDLE_TIMEOUT = 60.0  # seconds without a request after which a session is removed
ITEM_COUNT_BYTES = 4  # encoded size of the number of handled keys in a reply with items


@dataclass(slots=True)
class _Session:
    """A peer's comparison, whose requests are all answered from the same digest trees."""

    incarnation_token: str
    number: int
    trees: DigestTrees
    last_used: float  # seconds of the monotonic clock


class DigestServer:
    """Answers the requests of all peers, with one session per peer."""

    def __init__(
        self,
        survey: LogSurvey,
        members: MemberList,
        monotonic: Callable[[], float],
        is_authoritative: Callable[[str, str, str], bool],
    ) -> None:
        """Create a server without sessions.

        `is_authoritative` is called with the owner, the sender and the sender's incarnation token. It returns
        whether the owner's record is complete on this member and the sender's incarnation is on disk.
        """
        self._survey = survey
        self._members = members
        self._monotonic = monotonic
        self._is_authoritative = is_authoritative
        self._sessions: dict[str, _Session] = {}  # by sender

    async def answer(self, request: DigestRequest) -> DigestReply:
        """Return the reply to a request. Raises ValueError if the request names nodes that no tree has."""
        # Once the sender's incarnation is on disk, this member accepts no acknowledgement of an earlier
        # incarnation of the sender. Records read after that include all operations that rely on such an
        # acknowledgement. The check must therefore hold both before and after the read.
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
        """Return the trees of the sender's session, reading them from the log for a new session."""
        now = self._monotonic()
        session = self._sessions.get(request.sender)
        self._sessions = {
            sender: each
            for sender, each in self._sessions.items()
            if now - each.last_used < SESSION_IDLE_TIMEOUT
        }
        # Session numbers restart with each incarnation, and trees of an earlier incarnation are outdated.
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
        """Append to `items` the records of as many keys as fit into a reply; return the number of keys."""
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
