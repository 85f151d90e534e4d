"""Compatibility tests of stored data: the log files in fixtures/stored are read as they were written.

See the README.md of that directory. Its expected.json has the expected contents as plain values in stored
order. Most of the program's names are only used up to the function `recover`, so that a rename changes few
lines.
"""

from __future__ import annotations

import json
import shutil
from itertools import chain
from pathlib import Path
from typing import Any

import anyio
import msgspec
import pytest
from msgspec.structs import astuple

from frostfall.consensus.raft_log import Entry, Snapshot
from frostfall.consensus.register import CompareAndSet, Register, VersionedValue
from frostfall.net.log_writer import LogWriter, SegmentDirectory
from frostfall.net.recovery import Dependencies, GroupMember
from frostfall.protocol.discovery import EndpointListUpdate
from frostfall.recovery import metadata
from frostfall.recovery.operation_log import (
    OperationLog,
    decode_age,
    decode_answer,
    decode_name,
    encode_payload,
)
from frostfall.replication.replica_store import ReplicaStore, is_replica_name, split_replica_name
from frostfall.storage import segment_codec
from frostfall.storage.options import StorageOptions
from frostfall.storage.segment_codec import FORMAT_VERSION, FrameKind, Record, RecordState, SegmentHeader
from frostfall.storage.write_ahead_log import WriteAheadLog, operation_key
from tests.standins import make_config

STORED_DIRECTORY = Path(__file__).parent / "fixtures" / "stored"
EXPECTED = json.loads((STORED_DIRECTORY / "expected.json").read_text(encoding="utf-8"))
METADATA_RECORDS, STATE_LABELS = (
    EXPECTED["facts"],
    {number: label for label, number in EXPECTED["states"].items()},
)
RECORDS_BY_TAG = {each[0]: each[1:] for each in METADATA_RECORDS}  # the last record of each kind

# Attributes by stored position: a rename changes a name here, and the order must not change.
FIELDS: dict[str, tuple[type, str]] = {
    "life": (metadata.IncarnationStarted, "incarnation token"),
    "seen": (metadata.PeerIncarnation, "member incarnation batch token stale_reason"),
    "doubt": (metadata.RecordIncomplete, "reason consensus_excluded"),
    "back": (metadata.BuildRolledBack, "build"),
    "hold": (metadata.VoteHold, "operator active serial member"),
    "keeps": (metadata.ReplicaAssignment, "owners members"),
    "voted": (metadata.RaftVote, "term voted_for"),
    "ruled": (metadata.RaftEntry, "index entry"),
    "agreed": (metadata.RaftSnapshot, "snapshot"),
    "list": (metadata.CachedEndpointList, "saved_at endpoint_list"),
    "(entry)": (Entry, "term command voters"),
    "(snapshot)": (Snapshot, "index term voters state"),
    "(cell)": (VersionedValue, "value version"),
    "(put)": (CompareAndSet, "key value expected_version proposer sequence_number"),
    "(header)": (SegmentHeader, "owner segment oldest_segment first_batch elapsed_seconds store_id"),
}


def read_segment_file(folder: str, segment: int, root: Path = STORED_DIRECTORY) -> bytes:
    return (root / folder / f"{segment:010d}.seg").read_bytes()


def to_builtins(value: Any) -> Any:
    """Return the stored form of a value, with its fields by position."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(value))


def scan_segment(data: bytes) -> tuple[list[tuple[Any, ...]], segment_codec.SegmentScan]:
    """Return a segment's records (state, key, previous location, payload) and the result of the scan."""
    scan = segment_codec.SegmentScan()
    records = segment_codec.iter_records(data, True, scan)
    return [
        (int(state), key, previous_location, bytes(data))
        for state, key, previous_location, _, data in records
    ], scan


def metadata_payloads(data: bytes) -> list[bytes]:
    return [payload for state, _, _, payload in scan_segment(data)[0] if state == RecordState.METADATA]


def operation_fields(state: int, data: bytes) -> list[Any]:
    """Return state, owner of a replica or "", name, answer (None if it was omitted) and age in seconds."""
    answer = decode_answer(data)
    owner, name = split_replica_name(decode_name(data))
    return [
        STATE_LABELS[state],
        owner,
        name,
        answer.decode() if answer is not None else None,
        decode_age(data),
    ]


def result_fields(result: Any) -> list[Any] | None:
    """Return an operation's status and answer."""
    return result and [result.status.value, result.answer.decode() if result.answer is not None else None]


def recover(path: Path) -> tuple[WriteAheadLog, OperationLog, ReplicaStore, list[Any]]:
    """Recover a directory as a start of its owner does, before anything is written."""
    wal, payloads = WriteAheadLog("n0", StorageOptions()), list[bytes]()
    folder = SegmentDirectory(path)
    writer = LogWriter(folder, wal)
    operation_log, replica_store = (
        OperationLog(wal, writer.find_record, True),
        ReplicaStore(wal, writer.find_record),
    )
    wal.recover(folder.segment_numbers(), folder.read_segment, payloads.append)

    def claim_replica(name: str) -> bool:
        if is_replica_name(name):
            replica_store.open_tickets[name] = 0
        return is_replica_name(name)

    if wal.condition.is_usable:
        operation_log.recover_open_operations(
            lambda segment, offset: writer.read_record(segment, offset)[2],  # type: ignore[index]
            claim_replica,
        )
    return wal, operation_log, replica_store, [msgspec.msgpack.decode(data) for data in payloads]


def test_numbers_of_states_and_kinds_and_positions_of_fields_are_as_stored() -> None:
    states = (
        RecordState.METADATA,
        RecordState.OPEN,
        RecordState.SERVED,
        RecordState.FAILED,
        RecordState.NOT_EXECUTED,
        RecordState.OUTCOME_UNKNOWN,
        RecordState.FENCED,
    )
    assert " ".join(STATE_LABELS[state] for state in states) == "FACT OPEN SERVED FAILED NEVER LOST FENCED"
    assert set(RecordState) == set(states) == set(STATE_LABELS) and FORMAT_VERSION == 2
    assert [int(kind) for kind in (FrameKind.HEADER, FrameKind.BATCH, FrameKind.SYNCED)] == [1, 2, 3] and len(
        FrameKind
    ) == 3
    for name, (kind, fields) in FIELDS.items():
        assert " ".join(kind.__struct_fields__) == fields, name  # type: ignore[attr-defined]
    assert set(RECORDS_BY_TAG) == {tag for tag in FIELDS if "(" not in tag}


@pytest.mark.parametrize("segment", [1, 2])
def test_each_metadata_record_is_decoded_and_encoded_to_the_same_bytes(segment: int) -> None:
    for data, expected in zip(
        metadata_payloads(read_segment_file("whole", segment)), METADATA_RECORDS, strict=True
    ):
        record = metadata.decode(data)
        kind, fields = FIELDS[expected[0]]
        assert type(record) is kind and msgspec.msgpack.decode(data) == to_builtins(record) == expected
        assert [to_builtins(getattr(record, field)) for field in fields.split()] == expected[1:]
        assert metadata.encode(record) == data


def test_the_raft_state_is_decoded_from_its_metadata_records() -> None:
    stored = RECORDS_BY_TAG["agreed"][0]
    snapshot = msgspec.convert(stored, Snapshot)
    assert to_builtins(snapshot) == stored and astuple(snapshot) == (4, 2, ("n0", "n1", "n2"), stored[3])
    register = Register(snapshot.state)
    assert to_builtins(register.state()) == stored[3]
    assert [(key, astuple(cell)) for key, cell in register.items()] == [("leader", ({"who": "n1"}, 1))]
    entries = [msgspec.convert(each[2], Entry) for each in METADATA_RECORDS if each[0] == "ruled"]
    assert [to_builtins(entry) for entry in entries] == [
        each[2] for each in METADATA_RECORDS if each[0] == "ruled"
    ]
    assert [(entry.term, entry.voters) for entry in entries] == [(3, None), (3, None), (3, ("n0", "n1"))]
    command = msgspec.convert(entries[1].command, CompareAndSet)
    assert to_builtins(command) == entries[1].command and astuple(command) == ("leader", ["n2"], 1, "n2", 5)
    assert register.apply(entries[1].command) and astuple(register.get("leader")) == (["n2"], 2)


def test_the_cached_endpoint_list_is_decoded_from_its_metadata_record() -> None:
    listing = msgspec.convert(RECORDS_BY_TAG["list"][1], EndpointListUpdate)
    assert to_builtins(listing) == RECORDS_BY_TAG["list"][1]
    assert [astuple(entry) for entry in listing.instances] == [
        ("i-1", "10.0.0.1:5432", "in_service", "east", 2, 1.5, 1000.5, 7),
        ("i-2", "10.0.0.2:5432", "terminating", "west", 3, 0.5, 2000.0, 8),
    ]


@pytest.mark.parametrize("segment", [1, 2])
def test_each_operation_is_decoded_and_a_segment_is_encoded_to_the_same_bytes(segment: int) -> None:
    data, expected = read_segment_file("whole", segment), EXPECTED["headers"][segment - 1]
    batches = EXPECTED["operations"][segment - 1]
    records, scan = scan_segment(data)
    assert scan.header and list(astuple(scan.header)) == expected
    assert to_builtins(scan.header) == dict(zip(EXPECTED["header keys"], expected))
    operations = [
        (state, key, payload) for state, key, _, payload in records if state != RecordState.METADATA
    ]
    assert [operation_fields(state, payload) for state, _, payload in operations] == list(chain(*batches))
    for state, key, payload in operations:
        _, owner, name, answer, age = operation_fields(state, payload)
        full_name = f"\0{owner}\0{name}" if owner else name
        assert key == operation_key(full_name) == operation_key(decode_name(payload))
        assert encode_payload(full_name, answer.encode() if answer is not None else None, age) == payload
    rewritten, start = segment_codec.encode_segment_start(scan.header), 0
    for number, batch in enumerate(batches, expected[3]):
        end = start + len(batch) + (0 if start else len(METADATA_RECORDS))
        batch_records = [
            Record(RecordState(state), key, payload, previous_location)
            for state, key, previous_location, payload in records[start:end]
        ]
        rewritten += segment_codec.encode_batch(number, batch_records)[0] + segment_codec.encode_frame(
            FrameKind.SYNCED, number, b""
        )
        start = end
    assert start == len(records) and rewritten == data


def test_a_start_recovers_all_own_operations_and_replicas() -> None:
    wal, operation_log, replica_store, stored_records = recover(STORED_DIRECTORY / "whole")
    assert (wal.condition.value, wal.segment_count, wal.last_batch) == ("whole", 2, 4)
    assert (wal.previous_run_seconds, wal.store_id, stored_records) == (
        12.5,
        "fixture-store",
        METADATA_RECORDS * 2,
    )
    assert {name: result_fields(operation_log.lookup(name)) for name in EXPECTED["own"]} == EXPECTED["own"]
    assert {name: result_fields(replica_store.read("n1", name)) for name in EXPECTED["copies"]} == EXPECTED[
        "copies"
    ]
    assert set(replica_store.open_tickets) == {"\0n1\0open"}
    assert set(operation_log.lost) == {"open", "restored-lost", "late", "later"}


@pytest.mark.parametrize("folder", ["torn", "damaged", "newer"])
def test_a_torn_write_is_dropped_and_corruption_and_newer_formats_are_rejected(folder: str) -> None:
    wal, operation_log, _, stored_records = recover(STORED_DIRECTORY / folder)
    condition, reason, torn_bytes, repetitions = EXPECTED["broken"][folder]
    assert (wal.condition.value, wal.torn_bytes, stored_records) == (
        condition,
        torn_bytes,
        METADATA_RECORDS * repetitions,
    )
    assert reason in wal.condition_reason
    if folder == "torn":
        assert [result_fields(operation_log.lookup(name)) for name in ("late", "later")] == [
            ["failed", None],
            None,
        ]


def test_format_version_1_is_read_and_missing_fields_of_metadata_have_their_defaults() -> None:
    _, scan = scan_segment(read_segment_file("format-1", 1))
    assert scan.format_version == 1 and scan.header and astuple(scan.header) == ("n0", 1, 1, 1, 0.0, "")
    read = [metadata.decode(data) for data in metadata_payloads(read_segment_file("format-1", 1))]
    assert [to_builtins(record) for record in read] == EXPECTED["older facts read"]
    _, operation_log, _, stored_records = recover(STORED_DIRECTORY / "format-1")
    assert stored_records == EXPECTED["older facts"]
    assert result_fields(operation_log.lookup("open")) == ["failed", None]
    assert result_fields(operation_log.lookup("served")) == ["served", "42 rows"]


class SilentTransport:
    """A stand-in for a member link or listener that sends and receives nothing."""

    def __init__(self, *_: Any) -> None:
        self.send_heartbeat_now = lambda: None

    async def run(self, *_: Any) -> None:
        await anyio.sleep_forever()


MEMBERS = ", ".join(f"{{name: 'n{number}', address: '127.0.0.1:{number + 1}'}}" for number in range(3))
GROUP = "{group: {data: '%s', key: 'sixteen letters!', agreement: true, copies: {kept: 2}, members: [%s]}}"


@pytest.mark.anyio
@pytest.mark.parametrize("folder", ["whole", "format-1"])
async def test_a_start_of_the_program_restores_all_metadata_and_writes_it_again(
    tmp_path: Path, folder: str
) -> None:
    data, expected = shutil.copytree(STORED_DIRECTORY / folder, tmp_path / folder), EXPECTED["starts"][folder]
    configuration = make_config(name="n0", options=GROUP % (data, MEMBERS))
    program: Any = GroupMember(
        configuration,
        SilentTransport(),
        lambda: 0,
        Dependencies(connect=SilentTransport, listen=SilentTransport),
    )  # type: ignore[arg-type]
    cached_lists: list[Any] = []
    with anyio.fail_after(20):
        async with anyio.create_task_group() as group:
            group.start_soon(program.run, lambda listing: cached_lists.append(to_builtins(listing)))
            while not program.status()["life"]:
                await anyio.sleep(0.01)
            group.cancel_scope.cancel()
    status = program.status()
    program.close()
    assert {key: status[key] for key in expected["status"]} == expected["status"]
    assert {name: each[1] for name, each in status["members"].items()} == expected["lives"]
    assert cached_lists == ([RECORDS_BY_TAG["list"][1]] if expected["relisted"] else [])
    expected_records = expected.get("facts") or [
        expected.get(record[0], record) for record in METADATA_RECORDS
    ]
    rewritten = metadata_payloads(read_segment_file(folder, expected["segment"], tmp_path))
    *metadata_records, incarnation_record = [
        msgspec.msgpack.decode(record) for record in rewritten[: len(expected_records) + 1]
    ]
    assert metadata_records == expected_records and incarnation_record[:2] == ["life", status["life"]]
