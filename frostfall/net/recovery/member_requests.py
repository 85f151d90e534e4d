"""Answers messages from other members and operators."""

from __future__ import annotations

from functools import partial

from frostfall.net.anti_entropy import AntiEntropyDriver
from frostfall.net.consensus import ConsensusDriver
from frostfall.net.member_transport import Response
from frostfall.net.recovery.core import MemberCore
from frostfall.net.recovery.endpoint_cache import EndpointCache
from frostfall.net.recovery.heartbeats import HeartbeatExchange
from frostfall.net.recovery.operator_commands import SET_KEY, OperatorCommands
from frostfall.net.recovery.record_completeness import RecordCompleteness
from frostfall.net.replication import ReplicationDriver
from frostfall.protocol.member_messages import (
    ConsensusMessage,
    DigestRequest,
    EndpointListReply,
    EndpointListRequest,
    FencedRead,
    Heartbeat,
    MemberMessage,
    OperatorCommand,
    ReplicateRequest,
    StatusQuery,
    StatusReply,
)
from frostfall.recovery.operation_log import OperationResult, OperationStatus


class MemberRequestHandler:
    """Dispatches each message to the component that answers it."""

    def __init__(
        self,
        core: MemberCore,
        completeness: RecordCompleteness,
        heartbeats: HeartbeatExchange,
        endpoints: EndpointCache,
        commands: OperatorCommands,
        replication: ReplicationDriver | None,
        replica_repair: AntiEntropyDriver | None,
        consensus: ConsensusDriver | None,
    ) -> None:
        """Drivers that the options disable are None; messages for them are not answered."""
        self._core = core
        self._completeness = completeness
        self._heartbeats = heartbeats
        self._endpoints = endpoints
        self._commands = commands
        self._replication = replication
        self._replica_repair = replica_repair
        self._consensus = consensus

    def answer(self, message: MemberMessage) -> Response:
        """Return the answer to a message, or an awaitable of it; None if there is no answer."""
        match message:
            case Heartbeat():
                self._heartbeats.receive(message)
                return self._heartbeats.make(message.sender)
            case StatusQuery():
                return self._answer_status_query(message)
            case ReplicateRequest() | FencedRead() | DigestRequest():
                return self._answer_replication(message) if self._log_is_open else None
            case ConsensusMessage():
                if self._consensus and not self._completeness.reason:
                    self._consensus.handle_message(message)
            case OperatorCommand(number, command, operator, key, value):
                if command == SET_KEY and self._consensus:
                    return self._commands.set_key(self._consensus, number, operator, key, value)
                return self._commands.run(number, command, operator)
            case EndpointListRequest(number):
                return EndpointListReply(number, self._endpoints.reply())
        return None

    @property
    def _log_is_open(self) -> bool:
        return self._core.disk.is_open and self._core.inputs.log_replayed

    def _answer_replication(self, message: ReplicateRequest | FencedRead | DigestRequest) -> Response:
        match message:
            case ReplicateRequest() if self._replication:
                return self._replication.handle_write(message)
            case FencedRead(sender=reader, incarnation_token=token) if self._replication:
                is_authoritative = partial(self._completeness.is_authoritative, message.owner, reader, token)
                return self._replication.handle_read(message, is_authoritative, self._recorded_tokens())
            case DigestRequest() if self._replica_repair:
                return self._replica_repair.handle_compare(message)
        return None

    def _answer_status_query(self, query: StatusQuery) -> StatusReply:
        sender_recorded = self._completeness.has_recorded(query.sender, query.incarnation_token)
        results = [self._poll_result(name, sender_recorded=sender_recorded) for name in query.operations]
        return StatusReply(
            query.request_id,
            [(result.status.value, result.answer) for result in results],
            self._core.membership.incarnation_token,
            self._recorded_tokens(),
        )

    def _poll_result(self, name: str, *, sender_recorded: bool) -> OperationResult:
        indeterminate = OperationResult(OperationStatus.INDETERMINATE)
        if not self._core.inputs.log_replayed or not self._core.inputs.incarnation_durable:
            return indeterminate
        try:
            result = self._core.operation_log.answer_poll(name)
        except (OSError, ValueError) as error:
            self._completeness.mark_unreadable(error)
            return indeterminate
        if result.status is OperationStatus.ABSENT and not sender_recorded:
            return indeterminate
        return result

    def _recorded_tokens(self) -> dict[str, str]:
        peers = self._core.membership.peers
        return {name: peer.recorded_incarnation.token for name, peer in peers.items()}
