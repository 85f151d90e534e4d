"""Parsing of statements and of the parameters in their comments."""

from __future__ import annotations

import pytest

from frostfall.protocol.statement import Statement, load_values, parse

READ = b"SELECT payload FROM entries WHERE ref = '7f3a' /* id=9b1f,c=basket,d=480 */"
WRITE = (
    b"INSERT INTO entries (ref, payload) VALUES ('7f3a', '\\x9f03') RETURNING payload "
    b"/* id=9b20,c=order,d=1480,r=1,h=12000,k=x */"
)


def parsed(text: bytes) -> Statement:
    statement = parse(text)
    assert isinstance(statement, Statement), statement
    return statement


def test_a_read() -> None:
    got = parsed(READ)
    assert (got.request, got.class_name, got.key, got.wait_ms) == (
        "9b1f",
        "basket",
        "7f3a",
        480,
    )
    assert (got.is_retry, got.service_time_hint) == (False, None)


def test_a_write() -> None:
    got = parsed(WRITE)
    assert (got.request, got.class_name, got.key, got.wait_ms) == (
        "9b20",
        "order",
        "7f3a",
        1480,
    )
    assert (got.is_retry, got.service_time_hint) == (True, 12000)


@pytest.mark.parametrize("text", [READ, WRITE])
def test_a_forwarded_statement_differs_only_in_the_waiting_time(text: bytes) -> None:
    statement = parsed(text)
    assert statement.with_wait(statement.wait_ms) == text
    assert statement.with_wait(7) == text.replace(b"d=%d" % statement.wait_ms, b"d=7")
    assert statement.with_wait(-5) == text.replace(b"d=%d" % statement.wait_ms, b"d=1")


def test_unknown_fields_are_forwarded_unchanged() -> None:
    statement = parsed(READ.replace(b"c=basket", b"c=basket, trace_Id=a/b:7 ,x="))
    assert statement.class_name == "basket" and b", trace_Id=a/b:7 ,x=,d=5 " in statement.with_wait(5)


def test_a_large_value_and_escaped_quotes() -> None:
    big = b"INSERT INTO entries (ref, payload) VALUES ('a''b', '\\x%b') RETURNING payload /* id=1,c=o,d=9 */"
    assert parsed(big % (b"ab" * 65536)).key == "a''b"


@pytest.mark.parametrize(
    "text",
    [
        b"SELECT 1",
        b"BEGIN",
        b"SET x = 1",
        READ + b"; DROP TABLE entries",
        READ.replace(b"d=480", b"d=0"),
        READ.replace(b"d=480", b"d=-1"),
        READ.replace(b"d=480", b"d=4e2"),
        READ.replace(b"d=480", b"d=99999999"),
        READ.replace(b",d=480", b""),
        READ.replace(b"id=9b1f,", b""),
        READ.replace(b"c=basket,", b""),
        READ.replace(b"c=basket", b"c="),
        READ.replace(b"d=480", b"d=480,d=5"),
        READ.replace(b"id=9b1f", b"id=" + b"x" * 65),
        READ.replace(b"'7f3a'", b"'7f3a"),
        READ.replace(b"/*", b""),
        b"\xff\xfe\x00",
        b"",
    ],
)
def test_an_invalid_statement_returns_an_error_text(text: bytes) -> None:
    assert isinstance(parse(text), str)


def test_load_values() -> None:
    assert load_values("inflight=7,util=0.61") == {"inflight": 7.0, "util": 0.61}
    assert load_values("inflight=x, queue=2") == {}
