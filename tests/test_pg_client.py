"""The client's side of the PostgreSQL protocol: whole and split input, and garbage."""

from __future__ import annotations

import random

import pytest

from frostfall.protocol import pg
from frostfall.protocol.pg import MalformedReason
from frostfall.protocol.pg_client import ClientProtocol, ConnectionState, ErrorAnswer, Row
from tests.standins import row

WELCOME = (
    pg.frame(b"R", b"\0\0\0\0")
    + pg.parameter_status("server_version", "15")
    + pg.frame(b"K", b"\0" * 8)
    + pg.READY_FOR_QUERY
)
VALUE = bytes(range(256)) * 256  # 64 KiB with every byte value


ANSWER = row(b"\x00\xffv")
LOAD = pg.parameter_status("vitals", "inflight=7,util=0.61")


def after_query() -> ClientProtocol:
    """Return a started connection on which a query has been sent."""
    machine = ClientProtocol("web", "orders")
    machine.feed(WELCOME)
    assert machine.reusable
    machine.encode_query(b"SELECT 1")
    return machine


@pytest.mark.parametrize("cut", range(len(WELCOME)))
def test_a_startup_split_at_any_byte(cut: int) -> None:
    machine = ClientProtocol("web", "orders")
    machine.feed(WELCOME[:cut])
    assert machine.state is ConnectionState.STARTING
    machine.feed(WELCOME[cut:])
    assert machine.state is ConnectionState.READY and machine.reusable


@pytest.mark.parametrize("cut", range(1, len(LOAD + ANSWER + pg.READY_FOR_QUERY)))
@pytest.mark.parametrize("parts", [(LOAD, ANSWER, b""), (b"", ANSWER, LOAD)])
def test_an_answer_split_at_any_byte(parts: tuple[bytes, ...], cut: int) -> None:
    machine, data = after_query(), b"".join(parts) + pg.READY_FOR_QUERY
    machine.feed(data[:cut])
    assert (machine.answer is not None) == (cut >= len(parts[0] + parts[1]))
    machine.feed(data[cut:])
    assert machine.answer == Row(ANSWER)
    assert machine.load_report == "inflight=7,util=0.61"
    assert machine.reusable


def test_a_value_of_64_kib_is_returned_unchanged() -> None:
    machine, data = after_query(), row(VALUE) + pg.READY_FOR_QUERY
    for start in range(0, len(data), 1000):
        machine.feed(data[start : start + 1000])
    assert machine.answer == Row(row(VALUE))


def test_a_connection_is_reused_and_the_last_answer_discarded() -> None:
    machine = after_query()
    machine.feed(ANSWER + pg.READY_FOR_QUERY)
    assert machine.encode_query(b"x") == pg.frame(b"Q", b"x\0")
    assert machine.answer is None and machine.load_report is None
    machine.feed(row(b"2") + pg.READY_FOR_QUERY)
    assert machine.answer == Row(row(b"2"))


@pytest.mark.parametrize("code", ["XX000", "53300", "57P03"])
def test_an_error_is_an_answer_and_the_connection_can_be_reused(code: str) -> None:
    machine = after_query()
    machine.feed(
        pg.frame(b"N", b"SNOTICE\0\0")
        + pg.parameter_status("vitals", "queue=3")
        + pg.error_response("ERROR", code, "no")
        + pg.READY_FOR_QUERY
    )
    assert machine.answer == ErrorAnswer(code) and machine.load_report == "queue=3"
    assert machine.reusable


def test_an_error_during_startup_breaks_the_connection() -> None:
    machine = ClientProtocol("web", "orders")
    machine.feed(pg.error_response("FATAL", "53300", "too many"))
    assert machine.answer == ErrorAnswer("53300")
    assert machine.state is ConnectionState.BROKEN


def test_a_connection_with_bytes_after_the_answer_is_not_reused() -> None:
    machine = after_query()
    machine.feed(ANSWER + pg.READY_FOR_QUERY + b"E\0")
    assert not machine.reusable


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 400 Bad Request\r\n\r\n",
        b"T\x00\x00\x00\x01",
        pg.frame(b"D", b"\0\0"),
        pg.frame(b"T", b"") + pg.frame(b"C", b"\0"),
        pg.frame(b"Z", b"I"),
        row(b"1")[: -len(pg.frame(b"C", b"SELECT 1\0"))] + pg.frame(b"D", b""),
    ],
)
def test_an_invalid_answer_breaks_the_connection(data: bytes) -> None:
    machine = after_query()
    machine.feed(data)
    assert machine.state is ConnectionState.BROKEN and isinstance(machine.answer, MalformedReason)
    assert not machine.reusable


def test_garbage_never_raises_and_never_becomes_a_row() -> None:
    rng = random.Random(5)
    for _ in range(300):
        machine = after_query()
        for _ in range(5):
            machine.feed(rng.randbytes(rng.randrange(1, 100)))
        assert not isinstance(machine.answer, Row)


def test_a_password_request_breaks_the_connection() -> None:
    machine = ClientProtocol("web", "orders")
    machine.feed(pg.frame(b"R", b"\0\0\0\3"))
    assert machine.state is ConnectionState.BROKEN


def test_a_second_query_before_the_answer_is_a_programming_error() -> None:
    with pytest.raises(RuntimeError):
        after_query().encode_query(b"x")
