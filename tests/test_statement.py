"""Parsing of statements and of the parameters in their comments."""

from __future__ import annotations

import time
from string import ascii_lowercase

import pytest

from frostfall.protocol import pg
from frostfall.protocol.statement import MAX_COMMENT_FIELDS, MAX_LOAD_FIELDS, Statement, load_values, parse

READ = b"SELECT payload FROM entries WHERE ref = '7f3a' /* id=9b1f,c=basket,d=480 */"
WRITE = (
    b"INSERT INTO entries (ref, payload) VALUES ('7f3a', '\\x9f03') RETURNING payload "
    b"/* id=9b20,c=order,d=1480,r=1,h=12000,k=x */"
)
# The last part does not belong to a statement, so that the whole text has to be given up.
STATEMENT_PARTS = (
    b"INSERT INTO entries (ref, payload) VALUES ('7f3a', '",
    b"') RETURNING payload",
    b"/* id=1,",
    b"c=order,d=9 */",
    b";",
    b"x",
)
CROWD = 500  # clients of an agent with 1,024 descriptors
ANSWER_SECONDS = 3.0  # in which each of them has to have its error
MAX_PARSE_SECONDS = 0.15  # of processor time: no more than an agent may be held up


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


# Guards against one line of blanks behind a statement that kept the agent's only thread busy for 25 s.
@pytest.mark.parametrize(
    "filler", [b" ", b"\n", b";", b" ;", b"'", b"''", b"', '", b"*", b"/*", b",", b"a=", b"1"]
)
def test_the_longest_statement_is_parsed_in_time_wherever_it_is_filled_up(filler: bytes) -> None:
    filling = filler * (pg.MAX_MESSAGE_BYTES // len(filler))
    for index in range(len(STATEMENT_PARTS) + 1):
        text = b"".join((*STATEMENT_PARTS[:index], filling, *STATEMENT_PARTS[index:]))
        started_at = time.process_time()
        parse(text)
        assert time.process_time() - started_at < MAX_PARSE_SECONDS, f"part {index}"


# Guards against hundreds of comments with thousands of fields, each of which took the agent's thread 36 ms.
def test_a_comment_with_thousands_of_fields_is_rejected_in_time() -> None:
    fields = b",".join(b"f%d=" % number for number in range(pg.MAX_MESSAGE_BYTES // len(b"f10000=,")))
    text = READ.replace(b"id=", fields + b",id=")
    started_at = time.process_time()
    for _ in range(CROWD):
        assert parse(text) == "a comment with too many fields"
    assert time.process_time() - started_at < ANSWER_SECONDS


@pytest.mark.parametrize("count", [4, MAX_COMMENT_FIELDS])
def test_a_comment_with_as_many_fields_as_are_allowed_is_parsed_in_time(count: int) -> None:
    fields = b",".join(b"f%d=" % number for number in range(count - 3))
    text = READ.replace(b"id=", fields + b",id=")
    started_at = time.process_time()
    statement = parsed(text)
    assert time.process_time() - started_at < MAX_PARSE_SECONDS
    assert statement.field("id") == statement.request == "9b1f"
    more = b"".join(b"g%d=," % number for number in range(MAX_COMMENT_FIELDS + 1 - count))
    assert parse(text.replace(b"id=", more + b"id=")) == "a comment with too many fields"


@pytest.mark.parametrize("end", [b"", b";", b" ", b" ;", b"; ", b" \n;\t "])
def test_blanks_and_one_semicolon_may_follow_a_statement(end: bytes) -> None:
    assert parsed(READ + end).request == "9b1f"
    assert isinstance(parse(READ + end + b";;"), str)


def test_a_load_report_has_a_limited_number_of_fields() -> None:
    fields = [f"{first}{second}=1" for first in ascii_lowercase for second in ascii_lowercase]
    assert len(load_values(",".join(fields[:MAX_LOAD_FIELDS]))) == MAX_LOAD_FIELDS
    assert load_values(",".join(fields[: MAX_LOAD_FIELDS + 1])) == {}


def test_load_values() -> None:
    assert load_values("inflight=7,util=0.61") == {"inflight": 7.0, "util": 0.61}
    assert load_values("inflight=x, queue=2") == {}
