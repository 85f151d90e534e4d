"""Tests of readiness, incarnations, operations and the options of recovery, all without I/O."""

from __future__ import annotations

import re
from collections.abc import Callable
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from frostfall import config
from frostfall.membership.member_list import HeartbeatVerdict, Incarnation, MemberList, MemberState
from frostfall.membership.options import HeartbeatOptions
from frostfall.protocol.authenticated_channel import AuthenticatedChannel, MemberProtocolError
from frostfall.protocol.member_messages import Heartbeat, StatusQuery, StatusReply
from frostfall.recovery import metadata
from frostfall.recovery.completeness import IncompleteReason
from frostfall.recovery.metadata import TRUST_BY_STATE
from frostfall.recovery.operation_log import (
    MAX_REPORTED_ABSENT,
    AdmissionDecision,
    OperationLog,
    OperationResult,
    OperationStatus,
    decode_name,
    encode_payload,
)
from frostfall.recovery.options import StartupTimeouts
from frostfall.recovery.readiness import ConditionStatus, Readiness, ReadinessInputs, ReadinessStage
from frostfall.recovery.retry_after import MAX_MEAN_DELAY, RetryAfterJitter
from frostfall.storage.options import StorageOptions
from frostfall.storage.record_index import pack_location
from frostfall.storage.segment_codec import Record, RecordState
from frostfall.storage.write_ahead_log import SEGMENTS_PER_RETENTION, WriteAheadLog
from tests.standins import make_config

ROOT = Path(__file__).parent.parent
GROUP = "{group: {data: 'd', key: 'sixteen letters!', members: [{name: 'n0', address: '127.0.0.1:1'}]%s}}"


def healthy_inputs(**changes: object) -> ReadinessInputs:
    inputs = ReadinessInputs(
        log_replayed=True,
        incarnation_durable=True,
        endpoint_list_received=True,
        endpoint_list_known=True,
        acknowledging_members=3,
        exposure_window_elapsed=True,
    )
    for name, value in changes.items():
        setattr(inputs, name, value)
    return inputs


@pytest.mark.parametrize(
    ("changes", "stage", "status", "reason"),
    [
        ({}, ReadinessStage.NON_IDEMPOTENT, ConditionStatus.READY, ""),
        (
            {"acknowledging_members": 1},
            ReadinessStage.NON_IDEMPOTENT,
            ConditionStatus.PENDING,
            "1 of 3 have this life on disk, 2 are needed",
        ),
        ({"acknowledging_members": 1}, ReadinessStage.READS, ConditionStatus.READY, ""),
        ({"unusable_reason": "damaged"}, ReadinessStage.NON_IDEMPOTENT, ConditionStatus.BLOCKED, "damaged"),
        ({"unusable_reason": "damaged"}, ReadinessStage.READS, ConditionStatus.READY, ""),
        ({"storage_fault": "no room"}, ReadinessStage.NON_IDEMPOTENT, ConditionStatus.BLOCKED, "no room"),
        ({"storage_full": True}, ReadinessStage.NON_IDEMPOTENT, ConditionStatus.PENDING, "bound"),
        ({"incarnation_durable": False}, ReadinessStage.NON_IDEMPOTENT, ConditionStatus.PENDING, "identity"),
        (
            {"contesting_incarnation": 4},
            ReadinessStage.NON_IDEMPOTENT,
            ConditionStatus.PENDING,
            "life 4 may be there",
        ),
        ({"superseded_reason": "newer"}, ReadinessStage.NON_IDEMPOTENT, ConditionStatus.BLOCKED, "newer"),
        (
            {"unsettled_operations": 2},
            ReadinessStage.NON_IDEMPOTENT,
            ConditionStatus.PENDING,
            "2 open operations",
        ),
        (
            {"incomplete_reason": IncompleteReason("lost")},
            ReadinessStage.NON_IDEMPOTENT,
            ConditionStatus.PENDING,
            "proves nothing",
        ),
        ({"endpoint_list_received": False}, ReadinessStage.READS, ConditionStatus.PENDING, "discovery"),
        ({"endpoint_list_known": False}, ReadinessStage.LOCAL_READS, ConditionStatus.PENDING, "no server"),
        ({"exposure_window_elapsed": False}, ReadinessStage.VOTES, ConditionStatus.PENDING, "exposure"),
        ({"votes_held_by": "ops"}, ReadinessStage.VOTES, ConditionStatus.PENDING, "held by ops"),
    ],
)
def test_each_stage_waits_for_its_condition_and_gives_the_reason(
    changes: dict[str, object], stage: ReadinessStage, status: ConditionStatus, reason: str
) -> None:
    readiness = Readiness(3, False, StartupTimeouts())
    readiness.evaluate(1.0, healthy_inputs(**changes))
    assert readiness.conditions[stage].status is status and reason in readiness.conditions[stage].reason


def test_timeouts_release_safe_stages_and_never_non_idempotent_work() -> None:
    readiness = Readiness(5, True, StartupTimeouts(list=2.0, group=3.0, others=0.5))
    inputs = healthy_inputs(
        endpoint_list_received=False, acknowledging_members=2, silent_members=("b", "c", "d")
    )
    readiness.evaluate(1.9, inputs)
    assert not readiness.is_ready(ReadinessStage.READS) and not readiness.is_ready(ReadinessStage.KEYED)
    readiness.evaluate(2.0, inputs)
    assert readiness.is_ready(ReadinessStage.READS) and not readiness.is_ready(ReadinessStage.KEYED)
    readiness.evaluate(3.0, inputs)
    assert readiness.is_ready(ReadinessStage.KEYED) and readiness.is_ready(ReadinessStage.VOTES)
    readiness.evaluate(1e9, inputs)
    assert not readiness.is_ready(ReadinessStage.NON_IDEMPOTENT)
    inputs.acknowledging_members = 3
    readiness.evaluate(1e9 + 1, inputs)
    assert (
        not readiness.is_ready(ReadinessStage.NON_IDEMPOTENT)
        and "not heard yet: b, c, d" in readiness.conditions[ReadinessStage.QUORUM].reason
    )
    readiness.evaluate(1e9 + 1.5, inputs)
    assert readiness.is_ready(ReadinessStage.NON_IDEMPOTENT)
    assert readiness.first_unready() == (ReadinessStage.ENDPOINT_LIST, "discovery has told no list")


def test_an_incomplete_record_admits_first_attempts_where_retries_are_marked() -> None:
    readiness = Readiness(1, True, StartupTimeouts())
    readiness.evaluate(
        0.0, healthy_inputs(incomplete_reason=IncompleteReason("lost"), acknowledging_members=1)
    )
    assert readiness.is_ready(ReadinessStage.NON_IDEMPOTENT)


def make_member_list(*names: str) -> MemberList:
    member_list = MemberList("a", ("a", *names), HeartbeatOptions(suspect=2, gone=4))
    member_list.incarnation, member_list.incarnation_token = 3, "mine"
    return member_list


def receive_heartbeat(
    member_list: MemberList,
    name: str,
    incarnation: Incarnation,
    startup_incarnation: Incarnation | None = None,
) -> HeartbeatVerdict | None:
    return member_list.receive_heartbeat(
        name, incarnation, startup_incarnation or Incarnation(incarnation.number - 1, 0, ""), "", 0.0, ""
    )


def test_suspicion_counts_periods_and_a_heartbeat_ends_it() -> None:
    member_list = make_member_list("b", "c")
    receive_heartbeat(member_list, "b", Incarnation(1, 1, "t"))
    assert (
        member_list.advance_period() == []
        and member_list.advance_period() == []
        and member_list.advance_period() == [("b", MemberState.SUSPECT)]
    )
    receive_heartbeat(member_list, "b", Incarnation(1, 2, "t"))
    assert member_list.peers["b"].state is MemberState.ALIVE
    assert [each for _ in range(5) for each in member_list.advance_period()] == [
        ("b", MemberState.SUSPECT),
        ("b", MemberState.DEAD),
    ]
    assert (
        member_list.peers["c"].state is MemberState.UNKNOWN
        and receive_heartbeat(member_list, "x", Incarnation(1, 1, "t")) is None
    )


def test_an_older_incarnation_is_rejected_and_a_stale_directory_is_recorded_until_its_member_reports_it() -> (
    None
):
    member_list = make_member_list("b")
    assert (
        receive_heartbeat(member_list, "b", Incarnation(7, 50, "seven"), Incarnation(6, 40, "six"))
        is HeartbeatVerdict.NEW_INCARNATION
    )
    member_list.mark_recorded("b", Incarnation(7, 50, "seven"))
    assert (
        receive_heartbeat(member_list, "b", Incarnation(4, 9, "four"), Incarnation(3, 5, "three"))
        is HeartbeatVerdict.SUPERSEDED
    )
    assert "knew life 7" in member_list.peers["b"].latest_stale_reason and member_list.no_stale_peers
    assert (
        receive_heartbeat(member_list, "b", Incarnation(7, 9, "other seven"), Incarnation(6, 40, "six"))
        is HeartbeatVerdict.SUPERSEDED
    )
    assert (
        receive_heartbeat(member_list, "b", Incarnation(8, 9, "eight"), Incarnation(3, 5, "three"))
        is HeartbeatVerdict.NEW_INCARNATION
    )
    member_list.mark_recorded("b", Incarnation(8, 9, "eight"), member_list.peers["b"].latest_stale_reason)
    assert not member_list.no_stale_peers and not member_list.incarnations_agreed(
        {"b": "eight"}, {"b": {"a": "mine"}}
    )
    member_list.peers["b"].stale_reason = ""
    assert member_list.incarnations_agreed({"b": "eight"}, {"b": {"a": "mine"}})
    assert not member_list.incarnations_agreed({"b": "nine"}, {"b": {"a": "mine"}})
    assert not member_list.incarnations_agreed({"b": "eight"}, {"b": {"a": "an older one"}})


@pytest.mark.parametrize(
    ("startup_incarnation", "part"),
    [
        (Incarnation(7, 50, "seven"), ""),
        (Incarnation(7, 60, "seven"), ""),
        (Incarnation(8, 1, "eight"), ""),
        (Incarnation(7, 49, "seven"), "saw batch 50"),
        (Incarnation(7, 50, "copy"), "another life 7"),
        (Incarnation(), "its folder none"),
    ],
)
def test_a_recorded_incarnation_is_compared_with_the_directory_of_the_next_one(
    startup_incarnation: Incarnation, part: str
) -> None:
    member_list = make_member_list("b")
    receive_heartbeat(member_list, "b", Incarnation(7, 50, "seven"))
    member_list.mark_recorded("b", Incarnation(7, 50, "seven"))
    receive_heartbeat(member_list, "b", Incarnation(9, 1, "nine"), startup_incarnation)
    assert part in member_list.peers["b"].latest_stale_reason and bool(part) == bool(
        member_list.peers["b"].latest_stale_reason
    )


def test_a_newer_live_incarnation_supersedes_and_an_ended_one_is_exceeded() -> None:
    member_list = make_member_list("b", "c")
    member_list.receive_view_of_self("b", Incarnation(3, 0, "mine"), True, "")
    member_list.receive_view_of_self("c", Incarnation(3, 0, "mine"), True, "")
    assert member_list.acknowledgement_count == 3
    member_list.receive_view_of_self("b", Incarnation(5, 0, "newer"), True, "")
    assert member_list.contested_incarnation == 5 and not member_list.superseded_by
    member_list.receive_view_of_self("b", Incarnation(5, 0, "newer"), False, "")  # that incarnation has ended
    assert not member_list.contested_incarnation and member_list.incarnation_floor == 5
    member_list.receive_view_of_self("b", Incarnation(5, 0, "newer"), True, "")
    for _ in range(4):
        member_list.advance_period()
    assert member_list.superseded_by == 5


def test_a_start_uses_a_higher_incarnation_if_others_have_recorded_its_number() -> None:
    member_list = make_member_list("b", "c")
    member_list.receive_view_of_self(
        "b", Incarnation(3, 9, "another three"), True, "knew another life 3 of this member"
    )
    assert (
        member_list.incarnation_floor == 3
        and not member_list.superseded_by
        and member_list.stale_reason.startswith("b knew")
    )


SEGMENT_SPAN = StorageOptions().keep / SEGMENTS_PER_RETENTION  # seconds after which a segment is closed


class InMemoryMember:
    """The operation log of a member whose write-ahead log is in memory and synced immediately."""

    def __init__(self, marked: bool = True) -> None:
        self.log: dict[int, list[tuple[RecordState, bytes, int]]] = {}
        self.wal = WriteAheadLog("a", StorageOptions())
        self.wal.store_id = "s"
        self.operation_log = OperationLog(self.wal, self.find_record, marked)
        self.segments: dict[int, bytearray] = {}
        self.elapsed = 0.0  # seconds of running time

    def find_record(
        self, key: int, matches: Callable[[bytes], bool]
    ) -> tuple[RecordState, bytes, int] | None:
        from frostfall.storage import segment_codec

        for segment, offset, state in self.wal.find_locations(key):
            record = segment_codec.decode_record(bytes(self.segments[segment][offset:]))
            assert record
            if matches(record[2]):
                return state, record[2], pack_location(segment, offset, state)
        return None

    def sync(self) -> None:
        while write := self.wal.next_write(self.elapsed):
            if write.starts_segment:
                self.segments[write.segment] = bytearray()
            self.segments[write.segment] += write.data + write.unsynced_data
            self.wal.write_synced()

    def run(self, name: str, state: RecordState, answer: bytes | None = None) -> None:
        self.operation_log.admit(name, False)
        operation = self.operation_log.in_progress[name]
        self.operation_log.record_intent(operation)
        self.sync()
        self.operation_log.record_end(operation, state, answer)
        self.sync()
        assert self.operation_log.on_end_durable(operation) == 0


def test_an_operation_is_dispatched_only_with_a_durable_intent_and_after_all_peers_report_absent() -> None:
    member = InMemoryMember(marked=False)
    assert member.operation_log.admit("x", False) == (AdmissionDecision.POLL_PEERS, None)
    operation = member.operation_log.in_progress["x"]
    member.operation_log.record_intent(operation)
    assert not member.operation_log.may_dispatch(operation)
    member.sync()
    assert not member.operation_log.may_dispatch(operation)
    member.operation_log.start_poll(operation, ("b", "c"))
    member.operation_log.record_poll_answer(operation, "b", OperationResult(OperationStatus.ABSENT))
    member.operation_log.record_poll_answer(operation, "c", OperationResult(OperationStatus.INDETERMINATE))
    assert not member.operation_log.may_dispatch(operation)
    member.operation_log.record_poll_answer(operation, "c", OperationResult(OperationStatus.ABSENT))
    assert member.operation_log.may_dispatch(operation)
    member.operation_log.incomplete_reason = IncompleteReason("lost")
    other = member.operation_log.in_progress.setdefault("y", type(operation)("y", 1, True))
    member.operation_log.start_poll(other, ())
    assert not other.confirmed_absent


def test_ends_are_replayed_and_an_operation_that_never_ran_is_removed() -> None:
    member = InMemoryMember()
    member.run("served", RecordState.SERVED, b"row")
    member.run("failed", RecordState.FAILED)
    member.run("never", RecordState.NOT_EXECUTED)
    member.run("long", RecordState.SERVED, b"r" * 5000)
    assert member.operation_log.admit("served", True) == (
        AdmissionDecision.REPLAY,
        OperationResult(OperationStatus.SERVED, b"row"),
    )
    assert member.operation_log.admit("failed", True) == (
        AdmissionDecision.REPLAY,
        OperationResult(OperationStatus.FAILED),
    )
    assert member.operation_log.admit("long", True) == (
        AdmissionDecision.REPLAY,
        OperationResult(OperationStatus.SERVED, None),
    )
    assert member.operation_log.admit("never", True)[0] is AdmissionDecision.POLL_PEERS
    assert member.operation_log.answer_poll("served") == OperationResult(OperationStatus.SERVED, b"row")


def test_an_operation_reported_as_absent_is_not_begun_without_a_poll() -> None:
    member = InMemoryMember()
    assert member.operation_log.answer_poll("late") == OperationResult(OperationStatus.ABSENT)
    assert member.operation_log.admit("late", False)[0] is AdmissionDecision.POLL_PEERS
    assert member.operation_log.admit("early", False)[0] is AdmissionDecision.START
    # No intent was appended for this operation, so the member yields.
    assert member.operation_log.answer_poll("early") == OperationResult(OperationStatus.ABSENT)
    assert member.operation_log.in_progress["early"].needs_poll
    member.operation_log.record_intent(member.operation_log.in_progress["early"])
    assert member.operation_log.answer_poll("early") == OperationResult(OperationStatus.IN_PROGRESS)
    for number in range(MAX_REPORTED_ABSENT):
        member.operation_log.answer_poll(f"n{number}")
    assert (
        not member.operation_log.retries_marked
        and member.operation_log.admit("any", False)[0] is AdmissionDecision.POLL_PEERS
    )


def test_an_open_operation_stays_lost_over_many_incarnations_and_segments() -> None:
    member = InMemoryMember()
    member.operation_log.admit("open", False)
    member.operation_log.record_intent(member.operation_log.in_progress["open"])
    member.sync()
    for _ in range(3):
        restarted = InMemoryMember()
        restarted.segments = member.segments
        restarted.wal.carried_records = restarted.operation_log.checkpoint_records
        restarted.wal.recover(
            sorted(restarted.segments),
            lambda number, segments=restarted.segments: bytes(segments[number]),
            lambda payload: None,
        )

        def read(segment: int, offset: int, restarted: InMemoryMember = restarted) -> bytes:
            from frostfall.storage import segment_codec

            record = segment_codec.decode_record(bytes(restarted.segments[segment][offset:]))
            assert record
            return record[2]

        restarted.operation_log.recover_open_operations(read, lambda name: False)
        restarted.wal.append(Record(RecordState.METADATA, 0, b"a life"))
        restarted.sync()
        assert restarted.operation_log.admit("open", False) == (
            AdmissionDecision.REPLAY,
            OperationResult(OperationStatus.FAILED),
        )
        assert len(restarted.wal.index) == 1
        member = restarted


def test_an_intent_queued_while_a_segment_starts_is_stored_once_and_replaced_by_its_end() -> None:
    member = InMemoryMember()
    member.wal.carried_records = member.operation_log.checkpoint_records
    member.run("before", RecordState.SERVED, b"row")
    member.elapsed += SEGMENT_SPAN  # the next write starts a segment
    for name in ("waits", "too"):
        member.operation_log.admit(name, False)
        member.operation_log.record_intent(member.operation_log.in_progress[name])
    member.sync()
    assert [
        len(member.wal.find_locations(member.operation_log.in_progress[name].key))
        for name in ("waits", "too")
    ] == [1, 1]
    member.elapsed += SEGMENT_SPAN
    operation = member.operation_log.in_progress["waits"]
    member.operation_log.record_end(operation, RecordState.SERVED, b"row")
    member.sync()
    assert [state for _, _, state in member.wal.find_locations(operation.key)] == [RecordState.SERVED]
    assert len(member.wal.index) == 3


@given(st.text(max_size=60), st.none() | st.binary(max_size=200))
def test_payloads_round_trip_name_and_answer(name: str, answer: bytes | None) -> None:
    from frostfall.recovery.operation_log import decode_answer

    data = encode_payload(name, answer)
    assert decode_name(data) == name and decode_answer(data) == answer


def test_retry_after_grows_with_the_number_of_rejections() -> None:
    jitter = RetryAfterJitter(100.0, 1)
    delays_of_few = [jitter.next_delay(index / 10) for index in range(20)]
    delays_of_many = [jitter.next_delay(5.0 + index / 5000) for index in range(2000)]
    assert max(delays_of_few) <= 0.45 and 0.5 * MAX_MEAN_DELAY <= max(delays_of_many) <= 1.5 * MAX_MEAN_DELAY
    below_mean = sum(each < MAX_MEAN_DELAY for each in delays_of_many[-500:])
    assert 150 < below_mean < 350
    assert max(jitter.next_delay(100.0 + index) for index in range(20)) <= 0.45


def test_unauthenticated_and_replayed_frames_end_the_connection() -> None:
    def pair(dialler_key: str, acceptor_key: str) -> tuple[AuthenticatedChannel, AuthenticatedChannel]:
        dialled, accepted = (
            AuthenticatedChannel(dialler_key, True, b"d" * 16),
            AuthenticatedChannel(acceptor_key, False, b"a" * 16),
        )
        assert dialled.receive_data(b"a" * 16) == [] and accepted.receive_data(b"d" * 16) == []
        return dialled, accepted

    dialled, accepted = pair("same", "same")
    query, reply = StatusQuery(1, ["x"], "n0", "t"), StatusReply(1, [("none", None)], "u", {"n0": "t"})
    first = dialled.encode(query)
    for index in range(len(first) - 1):
        assert accepted.receive_data(first[index : index + 1]) == []
    assert accepted.receive_data(first[-1:]) == [query]
    assert dialled.receive_data(accepted.encode(reply)) == [reply]
    with pytest.raises(MemberProtocolError):
        accepted.receive_data(first)  # replayed to the receiver
    dialled, accepted = pair("same", "same")
    with pytest.raises(MemberProtocolError):
        dialled.receive_data(dialled.encode(query))  # reflected to the sender
    dialled, accepted = pair("one", "another")
    with pytest.raises(MemberProtocolError, match="another key"):
        accepted.receive_data(dialled.encode(query))
    # New fields are appended, with defaults.
    assert Heartbeat.__struct_fields__[-2:] == (
        "operator_hold",
        "recorded_operator_hold",
    )


def test_the_trust_table_of_the_design_document_matches_the_code() -> None:
    note = (ROOT / "docs" / "design-power-loss.md").read_text()
    rows = dict(re.findall(r"^\| ([^|]+) \| ([^|]+ \| [^|]+) \|$", note, re.MULTILINE))
    for kind, trust in TRUST_BY_STATE.items():
        assert rows[kind] == f"{trust.level.value} | {trust.consequence}"


def test_metadata_records_of_an_unknown_kind_are_skipped() -> None:
    assert metadata.decode(metadata.encode(metadata.VoteHold("x", True))) == metadata.VoteHold("x", True)
    assert metadata.decode(b"\x92\xa6future\x01") is None


@pytest.mark.parametrize(
    ("extra_keys", "part"),
    [
        (", keyy: 1", "group.keyy: is no key here"),
        (", turns: {suspect: 0}", "group.turns.suspect: 0 is not"),
        (", waits: {list: 0}", "group.waits.list: 0 is not above 0"),
        (", listen: 'x'", "listen: 'x' is no IP"),
        (", store: {keep: 0}", "store.keep: 0 is not"),
        (", operation: 'a b'", "operation: 'a b' is no name"),
        (", store: {folder_bytes: 1}", "folder_bytes: 1 is below four"),
    ],
)
def test_an_error_in_the_group_section_names_the_key(extra_keys: str, part: str) -> None:
    with pytest.raises(config.ConfigError, match=re.escape(part)):
        config.parse_operator_file((GROUP % extra_keys).encode(), "own.json5")


def test_an_agent_outside_the_group_is_rejected_and_the_annotated_file_holds_the_defaults() -> None:
    with pytest.raises(config.ConfigError, match=r"group\.members: 'n9'"):
        make_config(options=GROUP % "", name="n9")
    annotated = config.parse_operator_file(
        (ROOT / "deploy" / "group.json5").read_bytes(), "group.json5"
    ).group
    defaults = config.parse_operator_file((GROUP % "").encode(), "own.json5").group
    for key in ("listen", "operation", "retries_marked", "store", "turns", "waits", "agreement"):
        assert getattr(annotated, key) == getattr(defaults, key), key
