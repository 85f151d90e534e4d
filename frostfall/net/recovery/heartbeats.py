"""Heartbeats between members: creation of this member's, and processing of the received ones."""

from __future__ import annotations

from frostfall import log
from frostfall.membership.member_list import HeartbeatVerdict, Incarnation, MemberState, Peer
from frostfall.net.recovery.core import MemberCore
from frostfall.net.recovery.endpoint_cache import EndpointCache
from frostfall.net.recovery.incarnation import IncarnationDriver
from frostfall.net.recovery.peer_records import PeerRecorder
from frostfall.net.recovery.record_completeness import RecordCompleteness
from frostfall.net.recovery.rollout_relay import RolloutRelay
from frostfall.net.recovery.vote_holds import VoteHoldDriver
from frostfall.protocol.member_messages import Heartbeat

CLOCK_SKEW_WARNING = 5.0  # seconds; a greater difference between two members' clocks is logged

_log = log.get_logger("recovery")


class HeartbeatExchange:
    """Creates this member's heartbeats and processes those of other members."""

    def __init__(
        self,
        core: MemberCore,
        incarnation: IncarnationDriver,
        completeness: RecordCompleteness,
        peer_recorder: PeerRecorder,
        endpoints: EndpointCache,
        rollout: RolloutRelay,
        vote_holds: VoteHoldDriver,
    ) -> None:
        """Each of these components contributes fields to a heartbeat or processes received ones."""
        self._core = core
        self._incarnation = incarnation
        self._completeness = completeness
        self._peer_recorder = peer_recorder
        self._endpoints = endpoints
        self._rollout = rollout
        self._vote_holds = vote_holds
        self._clock_skew_reported: set[str] = set()  # members

    def identity(self) -> tuple[str, str]:
        """Return the name of this member and the token of its incarnation."""
        return self._core.name, self._core.membership.incarnation_token

    def make(self, member: str) -> Heartbeat | None:
        """Return the heartbeat for a member; None if it is unknown, or before an incarnation is durable."""
        core, membership = self._core, self._core.membership
        peer = membership.peers.get(member)
        if not membership.incarnation or not core.inputs.incarnation_durable or peer is None:
            return None
        unready = core.readiness.first_unready()
        recorded, previous = peer.recorded_incarnation, self._incarnation.previous
        return Heartbeat(
            sender=core.name,
            incarnation=membership.incarnation,
            durable_batch=core.wal.last_durable_batch,
            incarnation_token=membership.incarnation_token,
            wall_time=core.wall_clock(),
            readiness_stage=unready.stage.value if unready else "",
            incomplete_reason=self._completeness.detail if self._completeness.is_durable else "",
            startup_incarnation=(previous.number, previous.durable_batch, previous.token),
            recorded_incarnation=(recorded.number, recorded.durable_batch, recorded.token),
            recorded_is_alive=peer.state is MemberState.ALIVE,
            stale_reason=peer.latest_stale_reason or peer.stale_reason,
            rolled_back_build=self._rollout.rolled_back_build,
            endpoint_list_generation=self._endpoints.advertised_generation,
            operator_hold=self._vote_holds.own_hold,
            recorded_operator_hold=self._vote_holds.recorded_hold(member),
        )

    def receive(self, heartbeat: Heartbeat) -> None:
        """Process a member's heartbeat."""
        membership = self._core.membership
        # Before the log is replayed, this log would appear outdated compared with what other members have
        # recorded of this member.
        if heartbeat.sender not in membership.peers or not self._core.inputs.log_replayed:
            return
        floor_before = membership.incarnation_floor
        self._receive_incarnation(heartbeat, membership.peers[heartbeat.sender])
        self._vote_holds.merge(heartbeat)
        self._rollout.record_rollback(heartbeat.rolled_back_build)
        self._endpoints.request_newer(heartbeat.sender, heartbeat.endpoint_list_generation)
        if membership.incarnation_floor > floor_before:
            _log.warning("incarnation number already used", floor=membership.incarnation_floor)
        self._core.changed.notify()

    def _receive_incarnation(self, heartbeat: Heartbeat, peer: Peer) -> None:
        membership, state_before = self._core.membership, peer.state
        clock_offset = heartbeat.wall_time - self._core.wall_clock()
        self._report_clock_skew(heartbeat.sender, clock_offset)
        incarnation = Incarnation(heartbeat.incarnation, heartbeat.durable_batch, heartbeat.incarnation_token)
        verdict = membership.receive_heartbeat(
            heartbeat.sender,
            incarnation,
            Incarnation(*heartbeat.startup_incarnation),
            heartbeat.readiness_stage,
            clock_offset,
            heartbeat.incomplete_reason,
        )
        if peer.state is not state_before:
            _log.info("member", member=heartbeat.sender, health=peer.state.value, life=heartbeat.incarnation)
        membership.receive_view_of_self(
            heartbeat.sender,
            Incarnation(*heartbeat.recorded_incarnation),
            heartbeat.recorded_is_alive,
            heartbeat.stale_reason,
        )
        # The reason has to be in the log before the next incarnation: once other members record that
        # incarnation, their evidence that this log is stale is overwritten.
        self._completeness.check_staleness()
        if verdict is HeartbeatVerdict.NEW_INCARNATION and self._core.disk.is_open:
            self._peer_recorder.save_new(heartbeat.sender, incarnation, peer.latest_stale_reason)
        elif verdict is HeartbeatVerdict.ACCEPTED:
            self._receive_progress(heartbeat, peer, incarnation)

    def _receive_progress(self, heartbeat: Heartbeat, peer: Peer, incarnation: Incarnation) -> None:
        # The progress of a recorded incarnation is updated in memory here, and saved to the log periodically.
        self._core.membership.mark_recorded(heartbeat.sender, incarnation)
        startup_token = heartbeat.startup_incarnation[2]
        # The peer itself has recorded that its log is incomplete, or its record has been restored.
        is_settled = heartbeat.incomplete_reason or startup_token == heartbeat.incarnation_token
        if peer.stale_reason and is_settled:
            peer.stale_reason = ""
            self._peer_recorder.save(heartbeat.sender, incarnation)

    def _report_clock_skew(self, member: str, offset: float) -> None:
        if abs(offset) > CLOCK_SKEW_WARNING and member not in self._clock_skew_reported:
            self._clock_skew_reported.add(member)
            _log.warning("clock skew", peer=member, offset_s=round(offset, 1))
