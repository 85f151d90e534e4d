"""The server's side of the PostgreSQL protocol: whole and split input, and garbage."""

from __future__ import annotations

import random
import struct

import pytest

from frostfall.protocol import pg, pg_server
from frostfall.protocol.pg_server import Closed, Query, Reply, ServerProtocol

STARTUP = pg.startup(user="web", database="orders")
SELECT = b"SELECT payload FROM entries WHERE ref = 'k' /* id=1,c=read,d=5 */"


def query(text: bytes) -> bytes:
    return pg.frame(b"Q", text + b"\0")


def parse_stream(data: bytes, size: int) -> list[pg_server.Event]:
    """Return the events of a stream in pieces of `size` bytes; queries are answered at once."""
    machine, events = ServerProtocol(), []
    for start in range(0, len(data), size):
        machine.feed(data[start : start + size])
        while (event := machine.next_event()) is not None:
            events.append(event)
            if isinstance(event, Query):
                machine.mark_answered()
    return events


STREAM = STARTUP + query(b"") + query(SELECT) + query(b" ;\n") + query(SELECT + b"\xff\xfe") + pg.TERMINATE
EVENTS = [
    Reply(pg_server.STARTUP_RESPONSE),
    Reply(pg_server.EMPTY_QUERY_RESPONSE),
    Query(SELECT),
    Reply(pg_server.EMPTY_QUERY_RESPONSE),
    Query(SELECT + b"\xff\xfe"),
    Closed(),
]


@pytest.mark.parametrize("size", [1, 2, 3, 5, 64, len(STREAM)])
def test_a_stream_in_pieces_of_any_size(size: int) -> None:
    assert parse_stream(STREAM, size) == EVENTS


@pytest.mark.parametrize("cut", range(1, len(STREAM)))
def test_a_stream_split_at_any_byte(cut: int) -> None:
    machine, events = ServerProtocol(), []
    for part in (STREAM[:cut], STREAM[cut:]):
        machine.feed(part)
        while (event := machine.next_event()) is not None:
            events.append(event)
            machine.mark_answered()
    assert events == EVENTS


def test_startup_and_first_query_in_one_segment() -> None:
    assert parse_stream(STARTUP + query(SELECT), 10_000) == [Reply(pg_server.STARTUP_RESPONSE), Query(SELECT)]


def test_a_second_query_waits_for_the_answer_to_the_first() -> None:
    machine = ServerProtocol()
    machine.feed(STARTUP + query(SELECT) * 2)
    assert isinstance(machine.next_event(), Reply)
    assert isinstance(machine.next_event(), Query)
    assert machine.next_event() is None and machine.busy
    machine.mark_answered()
    assert isinstance(machine.next_event(), Query)


def test_a_message_counts_as_partial_once_all_queries_before_it_are_answered() -> None:
    machine = ServerProtocol()
    machine.feed(STARTUP[:6])
    assert machine.next_event() is None and machine.has_partial_message
    machine.feed(STARTUP[6:] + query(SELECT) * 2 + query(SELECT)[:9])
    events = []
    while not machine.has_partial_message:
        events.append(machine.next_event())
        machine.mark_answered()
    assert events == [Reply(pg_server.STARTUP_RESPONSE), Query(SELECT), Query(SELECT), None]
    machine.feed(query(SELECT)[9:])
    assert not machine.has_partial_message and machine.next_event() == Query(SELECT)


@pytest.mark.parametrize("code", [pg.SSL_REQUEST, pg.GSSENC_REQUEST])
def test_encryption_is_declined_and_a_startup_packet_may_follow(code: int) -> None:
    events = parse_stream(struct.pack("!II", 8, code) + STARTUP, 1)
    assert events == [Reply(b"N"), Reply(pg_server.STARTUP_RESPONSE)]


def test_a_cancel_request_closes_the_connection_without_a_response() -> None:
    assert parse_stream(struct.pack("!IIII", 16, pg.CANCEL_REQUEST, 0, 0), 16) == [Closed()]


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        struct.pack("!II", 8, 2 << 16),
        struct.pack("!II", 4, pg.PROTOCOL_3),
        struct.pack("!II", pg.MAX_STARTUP_BYTES + 1, pg.PROTOCOL_3),
        STARTUP + b"Q\x00\x00\x00\x03",
        STARTUP + b"Q\xff\xff\xff\xff",
        STARTUP + pg.frame(b"Q", b"no end"),
        STARTUP + pg.frame(b"Q", b"two\0ends\0"),
        STARTUP + pg.frame(b"P", b"\0\0\0\0"),
        STARTUP + struct.pack("!cI", b"Q", pg.MAX_MESSAGE_BYTES + 1),
    ],
)
def test_a_protocol_violation_is_answered_with_08P01_and_ends_the_connection(data: bytes) -> None:
    machine = ServerProtocol()
    machine.feed(data)
    events = []
    while (event := machine.next_event()) is not None:
        events.append(event)
    last = events[-1]
    assert isinstance(last, Closed) and last.reason is not None
    assert pg.error_fields(last.data[5:])["C"] == "08P01"
    machine.feed(STARTUP + query(SELECT))
    assert machine.next_event() is None


def test_garbage_never_raises_and_never_becomes_a_query() -> None:
    rng = random.Random(3)
    for _ in range(300):
        machine = ServerProtocol()
        machine.feed(rng.randbytes(rng.randrange(1, 200)))
        for _ in range(50):
            event = machine.next_event()
            assert not isinstance(event, Query)
            if event is None:
                break


def test_the_buffer_is_bounded_for_a_client_that_sends_far_ahead() -> None:
    machine = ServerProtocol()
    machine.feed(STARTUP)
    machine.next_event()
    for _ in range(100):
        machine.feed(b"Q" + struct.pack("!I", pg.MAX_MESSAGE_BYTES) + b"x" * 60_000)
    assert machine.buffered <= pg.MAX_BUFFER_BYTES
    assert isinstance(machine.next_event(), Query | Closed)


def test_answers() -> None:
    kind, length = struct.unpack("!cI", pg_server.rejection_answer(250)[:5])
    fields = pg.error_fields(pg_server.rejection_answer(250)[5 : length + 1])
    assert (kind, fields["C"], fields["D"]) == (b"E", "53300", "250")
    assert "D" not in pg.error_fields(pg_server.rejection_answer(0)[5 : length + 1])
    failed = pg.error_fields(pg_server.failure_answer()[5:])
    assert failed["C"] not in ("53300", "57P03")
    assert pg_server.rejection_answer(0).endswith(pg.READY_FOR_QUERY) and pg_server.failure_answer().endswith(
        pg.READY_FOR_QUERY
    )
