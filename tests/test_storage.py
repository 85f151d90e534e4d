"""Tests of the write-ahead log: recovery at a start after failed writes and damaged or missing files."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

import anyio
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from frostfall.net.log_writer import LogWriter, SegmentDirectory, execute_write
from frostfall.storage import segment_codec
from frostfall.storage.log_recovery import LogCondition
from frostfall.storage.options import StorageOptions
from frostfall.storage.record_index import RecordIndex, pack_location, unpack_location
from frostfall.storage.segment_codec import Record, RecordState
from frostfall.storage.write_ahead_log import WriteAheadLog, operation_key

SMALL_OPTIONS = StorageOptions(segment_bytes=65536, folder_bytes=65536 * 8, keep=100.0)


class InMemoryDirectory:
    """A log directory in memory."""

    def __init__(self) -> None:
        self.segments: dict[int, bytearray] = {}

    def execute_writes(self, wal: WriteAheadLog, elapsed: float = 0.0) -> None:
        while write := wal.next_write(elapsed):
            if write.truncate:
                del self.segments[write.truncate[0]][write.truncate[1] :]
            if write.starts_segment:
                self.segments[write.segment] = bytearray()
            self.segments[write.segment] += write.data + write.unsynced_data
            for number in write.obsolete_segments:
                del self.segments[number]
            wal.write_synced()

    def read(self, owner: str = "a", carried_records: Callable[[], list[Record]] = list) -> WriteAheadLog:
        wal = WriteAheadLog(owner, SMALL_OPTIONS, carried_records)
        wal.recover(sorted(self.segments), lambda number: bytes(self.segments[number]), lambda record: None)
        wal.store_id = wal.store_id or "store"
        return wal


def append_record(
    wal: WriteAheadLog,
    name: str,
    state: RecordState = RecordState.OPEN,
    previous_location: int = 0,
    suffix: bytes = b"",
) -> int:
    return wal.append(Record(state, operation_key(name), name.encode() + suffix, previous_location))


def states(wal: WriteAheadLog, name: str) -> list[RecordState]:
    return [state for _, _, state in wal.find_locations(operation_key(name))]


def record_location(wal: WriteAheadLog, name: str) -> int:
    ((segment, offset, state),) = wal.find_locations(operation_key(name))
    return pack_location(segment, offset, state)


def write_batches(*batches: list[str]) -> InMemoryDirectory:
    """Return a directory in which each batch of names was written and synced separately."""
    directory = InMemoryDirectory()
    wal = directory.read()
    for names in batches:
        for name in names:
            append_record(wal, name)
        directory.execute_writes(wal)
    return directory


def test_synced_records_are_recovered_and_ends_replace_intents() -> None:
    directory = write_batches(["x", "y", "z"])
    wal = directory.read()
    assert wal.condition is LogCondition.INTACT
    append_record(wal, "x", RecordState.SERVED, record_location(wal, "x"))
    append_record(wal, "y", RecordState.NOT_EXECUTED, record_location(wal, "y"))
    directory.execute_writes(wal)
    restarted = directory.read()
    assert (states(restarted, "x"), states(restarted, "y"), states(restarted, "z")) == (
        [RecordState.SERVED],
        [],
        [RecordState.OPEN],
    )
    assert restarted.last_batch == wal.last_batch and len(restarted.index) == 2


@given(st.integers(0, 400), st.integers(0, 255))
@settings(max_examples=150, deadline=None)
def test_a_last_write_truncated_anywhere_is_torn_and_all_earlier_records_are_intact(
    cut: int, noise: int
) -> None:
    directory = write_batches(["x"], ["y"])
    original = directory.segments[1]
    wal = directory.read()
    append_record(wal, "late")
    write = wal.next_write(0.0)
    assert write
    directory.segments[write.segment] = bytearray((write.data + bytes([noise]) * 8)[:cut])
    restarted = directory.read()
    is_complete = cut >= len(write.data)
    assert restarted.condition is LogCondition.INTACT, restarted.condition_reason
    assert states(restarted, "x") == states(restarted, "y") == [RecordState.OPEN]
    assert (states(restarted, "late") == [RecordState.OPEN]) is is_complete
    append_record(restarted, "next")
    directory.execute_writes(restarted)
    restarted_again = directory.read()
    assert restarted_again.condition is LogCondition.INTACT and states(restarted_again, "next") == [
        RecordState.OPEN
    ]
    assert bytes(directory.segments[1]) == bytes(original)


@given(st.data())
@settings(max_examples=200, deadline=None)
def test_every_flipped_bit_of_synced_data_is_detected(data: st.DataObject) -> None:
    directory = write_batches(["x"], ["y"], ["z"])
    at = data.draw(st.integers(0, len(directory.segments[1]) - 1))
    directory.segments[1][at] ^= 1 << data.draw(st.integers(0, 7))
    restarted = directory.read()
    synced_frame_offset = len(directory.segments[1]) - segment_codec.FRAME_HEADER.size
    if restarted.condition is LogCondition.INTACT:
        # Only the last SYNCED frame may be damaged undetected: it was never reported as durable.
        assert at >= synced_frame_offset
        assert states(restarted, "z") == [RecordState.OPEN]
    else:
        assert (
            restarted.condition in (LogCondition.CORRUPTED, LogCondition.NEWER_FORMAT)
            and restarted.condition_reason
        )


def test_operators_see_the_progress_of_the_recovery() -> None:
    directory = InMemoryDirectory()
    for name in ("x", "y", "z"):  # each incarnation starts a segment
        wal = directory.read()
        append_record(wal, name)
        directory.execute_writes(wal)
    wal, segment_counts = WriteAheadLog("a", StorageOptions()), list[int]()

    def read_segment(number: int) -> bytes:
        segment_counts.append(wal.segment_count)
        return bytes(directory.segments[number])

    wal.recover(sorted(directory.segments), read_segment, lambda record: None)
    # The newest segment is read first, to find the oldest one in use.
    assert segment_counts == [0, 0, 1, 2] and wal.segment_count == 3


def test_a_torn_write_is_truncated_before_anything_is_written_after_it() -> None:
    directory = write_batches(["x"])
    directory.segments[1] += b"\xf5\x1e torn"
    wal = directory.read()
    assert wal.condition is LogCondition.INTACT and wal.torn_bytes
    for name in ("y", "z"):
        append_record(wal, name)
        directory.execute_writes(wal)
    assert directory.read().condition is LogCondition.INTACT


@pytest.mark.parametrize("missing", [1, 2, 3])
def test_a_missing_segment_is_corruption_except_for_the_last_which_only_other_members_can_detect(
    missing: int,
) -> None:
    directory = InMemoryDirectory()
    for incarnation in range(3):
        wal = directory.read()
        append_record(wal, f"x{incarnation}")
        directory.execute_writes(wal)
    last_batch = directory.read().last_batch
    del directory.segments[missing]
    restarted = directory.read()
    assert restarted.condition is (LogCondition.INTACT if missing == 3 else LogCondition.CORRUPTED)
    # Other members detect the old directory by its batch number.
    assert missing != 3 or restarted.last_batch < last_batch


def test_another_owners_directory_and_a_newer_format_are_rejected() -> None:
    directory = write_batches(["x"])
    assert directory.read("b").condition is LogCondition.FOREIGN_OWNER
    directory.segments[1][4] = segment_codec.FORMAT_VERSION + 1
    restarted = directory.read()
    assert (
        restarted.condition is LogCondition.NEWER_FORMAT
        and f"format {segment_codec.FORMAT_VERSION + 1}" in restarted.condition_reason
    )
    assert not restarted.condition.is_usable


def test_segments_of_format_version_1_are_read_and_the_log_continues_after_them() -> None:
    header = msgspec.msgpack.encode({"owner": "a", "segment": 1, "first": 1, "batch": 1, "elapsed": 0.0})
    record = b"".join(
        segment_codec.RECORD_HEADER_V1.pack(1, state, operation_key(name)) + name.encode()
        for name, state in (("x", RecordState.OPEN), ("y", RecordState.OPEN), ("y", RecordState.SERVED))
    )
    directory = InMemoryDirectory()
    directory.segments[1] = bytearray(
        segment_codec.PREAMBLE.pack(segment_codec.SEGMENT_MAGIC, 1, 0)
        + segment_codec.encode_frame(segment_codec.FrameKind.HEADER, 1, header)
        + segment_codec.encode_frame(segment_codec.FrameKind.BATCH, 1, record)
    )
    wal = directory.read()
    assert wal.condition is LogCondition.INTACT and states(wal, "x") == [RecordState.OPEN]
    assert states(wal, "y") == [RecordState.SERVED]
    ((segment, offset, _),) = wal.find_locations(operation_key("x"))
    raw = bytes(directory.segments[segment][offset:])
    assert segment_codec.decode_record(raw, wal.format_version_of(segment)) == (
        RecordState.OPEN,
        operation_key("x"),
        b"x",
    )
    wal.store_id = "store"
    append_record(wal, "x", RecordState.SERVED, record_location(wal, "x"))
    directory.execute_writes(wal)
    restarted = directory.read()
    assert restarted.condition is LogCondition.INTACT and states(restarted, "x") == [RecordState.SERVED]


def test_the_directory_stays_bounded_and_retains_new_records_and_open_operations() -> None:
    directory, retained = InMemoryDirectory(), dict[str, Record]()
    wal = directory.read(carried_records=lambda: list(retained.values()))
    append_record(wal, "open")
    directory.execute_writes(wal)
    max_segments = 0
    for second in range(1000):
        retained["open"] = Record(
            RecordState.OPEN, operation_key("open"), b"open", record_location(wal, "open")
        )
        append_record(wal, f"n{second}", RecordState.SERVED, suffix=b"." * 500)
        directory.execute_writes(wal, float(second))
        max_segments = max(max_segments, len(directory.segments))
    assert max_segments <= 8 + 2
    restarted = directory.read()
    assert restarted.condition is LogCondition.INTACT
    assert states(restarted, "open") == [RecordState.OPEN] and states(restarted, "n950") == [
        RecordState.SERVED
    ]
    assert states(restarted, "n10") == []


def test_obsolete_segments_left_over_by_a_power_loss_are_ignored() -> None:
    directory = InMemoryDirectory()
    wal = directory.read()
    for second in range(0, 300, 20):
        append_record(wal, f"n{second}", RecordState.SERVED)
        before = {number: bytearray(data) for number, data in directory.segments.items()}
        directory.execute_writes(wal, float(second))
        leftover = InMemoryDirectory()
        leftover.segments = before | {number: bytearray(data) for number, data in directory.segments.items()}
        restarted = leftover.read()
        assert restarted.condition is LogCondition.INTACT, restarted.condition_reason
        append_record(restarted, "next")
        leftover.execute_writes(restarted, float(second))
        assert leftover.read().condition is LogCondition.INTACT


@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 40))))
@settings(max_examples=60, deadline=None)
def test_the_index_agrees_with_a_plain_dict_where_keys_collide(steps: list[tuple[int, int]]) -> None:
    index, expected = RecordIndex(), dict[int, list[int]]()
    for number, (step, drawn) in enumerate(steps, 1):
        key = drawn << 10 if drawn % 2 else drawn  # many keys have the same initial slot
        location, locations = pack_location(number, 4, RecordState.OPEN), expected.setdefault(key, [])
        if step == 0 or not locations:
            index.add(key, location)
            locations.append(location)
        elif step == 1:
            assert index.replace(key, locations[0], location)
            locations[0] = location
        elif step == 2:
            assert index.remove(key, locations.pop())
        else:
            assert index.remove_before(number // 2 or 1) >= 0
            expected = {
                k: [each for each in old if unpack_location(each)[0] >= (number // 2 or 1)]
                for k, old in expected.items()
            }
    for key, locations in expected.items():
        assert sorted(index.get(key)) == sorted(locations)
    assert len(index) == sum(map(len, expected.values()))


class FailingDirectory(SegmentDirectory):
    """A directory whose n-th sync fails once; later syncs succeed."""

    failing_sync, syncs = 2, 0

    def sync_data(self) -> None:
        self.syncs += 1
        if self.syncs == self.failing_sync:
            raise OSError(5, "Input/output error")
        super().sync_data()


@pytest.mark.anyio
async def test_a_failed_sync_is_reported_to_all_waiters_and_its_records_go_to_a_new_segment(
    tmp_path: Path,
) -> None:
    writer = LogWriter(FailingDirectory(tmp_path), WriteAheadLog("a", SMALL_OPTIONS))
    await writer.open(lambda record: None)
    notified: list[tuple[int, bool]] = []
    async with anyio.create_task_group() as group:
        group.start_soon(writer.run)
        for number in range(40):
            ticket = append_record(writer.wal, f"n{number}")
            writer.when_durable(ticket, lambda succeeded, number=number: notified.append((number, succeeded)))
        assert await writer.wait_durable(append_record(writer.wal, "last of the first write")) is True
        assert await writer.wait_durable(append_record(writer.wal, "second")) is False
        assert await writer.wait_durable(append_record(writer.wal, "third")) is False
        assert notified == [(number, True) for number in range(40)]
        assert writer.commit_count == 1 and "Input/output" in writer.wal.failure_reason
        recovered = anyio.Event()
        writer.when_recovered(recovered.set)
        await recovered.wait()
        # The segment whose sync failed must not be synced again: it would succeed without the lost data.
        assert writer.wal.segment_numbers == [1, 2] and writer.directory.syncs == 3
        assert [states(writer.wal, name) for name in ("second", "third")] == [[RecordState.OPEN]] * 2
        group.cancel_scope.cancel()
    writer.directory.close()
    restarted = LogWriter(SegmentDirectory(tmp_path), WriteAheadLog("a", SMALL_OPTIONS))
    await restarted.open(lambda record: None)
    assert states(restarted.wal, "n39") == [RecordState.OPEN] and not restarted.wal.failure_reason
    found = restarted.find_record(operation_key("n39"), lambda payload: payload == b"n39")
    assert found and found[0] is RecordState.OPEN


@pytest.mark.anyio
async def test_writes_succeed_again_after_one_failed_write(tmp_path: Path) -> None:
    writer = LogWriter(FailingDirectory(tmp_path), WriteAheadLog("a", SMALL_OPTIONS))
    await writer.open(lambda record: None)
    async with anyio.create_task_group() as group:
        group.start_soon(writer.run)
        assert await writer.wait_durable(append_record(writer.wal, "first")) is True
        assert await writer.wait_durable(append_record(writer.wal, "at the fault")) is False
        has_recovered = False
        for number in range(20):  # the fault has ended, and further records go to a new segment
            await anyio.sleep(0.05)
            has_recovered = has_recovered or await writer.wait_durable(
                append_record(writer.wal, f"later {number}")
            )
        group.cancel_scope.cancel()
    assert has_recovered
    writer.directory.close()


@pytest.mark.anyio
async def test_a_directory_is_used_by_one_process_at_a_time(tmp_path: Path) -> None:
    first, second = (
        LogWriter(SegmentDirectory(tmp_path), WriteAheadLog("a", SMALL_OPTIONS)) for _ in range(2)
    )
    await first.open(lambda record: None)
    with pytest.raises(OSError, match="in use"):
        await second.open(lambda record: None)
    assert second.wal.failure_reason and not second.is_open


def test_a_full_disk_fails_the_write(tmp_path: Path) -> None:
    directory = SegmentDirectory(tmp_path)
    directory.lock()
    wal = WriteAheadLog("a", SMALL_OPTIONS)
    append_record(wal, "x")
    write = wal.next_write(0.0)
    assert write
    full_device = os.open("/dev/full", os.O_WRONLY)
    directory.start_segment(write.segment)
    os.dup2(full_device, directory._output_fd)
    write.starts_segment = False
    with pytest.raises(OSError, match="No space"):
        execute_write(directory, write)
