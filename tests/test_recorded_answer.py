"""Recorded answers of operations, bound to the statement that they answer."""

from __future__ import annotations

from frostfall.bench.peers import row
from frostfall.protocol import pg
from frostfall.protocol.pg_client import ClientProtocol, Row
from frostfall.protocol.recorded_answer import BINDING_BYTES, answer_for, bind
from frostfall.protocol.statement import Statement, parse
from tests.standins import write_statement

ANSWER = row(b"value")
STARTED = pg.frame(b"R", b"\0\0\0\0") + pg.READY_FOR_QUERY


def fingerprint(text: bytes) -> bytes:
    parsed = parse(text)
    assert isinstance(parsed, Statement)
    return parsed.fingerprint


def test_an_answer_is_returned_only_to_the_statement_to_which_it_is_bound() -> None:
    one, other = fingerprint(write_statement("a")), fingerprint(write_statement("a", value=b"ff"))
    recorded = bind(ANSWER, one)
    assert len(recorded) == len(ANSWER) + BINDING_BYTES
    assert answer_for(recorded, one) == ANSWER
    assert answer_for(recorded, other) is None


def test_an_answer_recorded_by_an_earlier_version_is_returned_to_every_statement() -> None:
    assert answer_for(ANSWER, fingerprint(write_statement("a"))) == ANSWER


def test_a_client_that_receives_a_recorded_answer_as_it_is_reads_the_answer() -> None:
    client = ClientProtocol("u", "d")
    client.feed(STARTED)
    client.encode_query(b"SELECT 1")
    client.feed(bind(ANSWER, fingerprint(write_statement("a"))) + pg.READY_FOR_QUERY)
    assert client.answer == Row(ANSWER) and client.reusable


def test_retries_of_a_statement_have_its_fingerprint_and_other_statements_do_not() -> None:
    text = write_statement("a", 1000)
    retry = write_statement("b", 250).replace(b" */", b",r=1,h=5 */")
    assert fingerprint(b"  " + retry + b" ;") == fingerprint(text)
    changes = ((b"'k1'", b"'k2'"), (b"9f03", b"9f04"), (b"c=order", b"c=other"))
    assert len({fingerprint(text.replace(*change)) for change in changes} | {fingerprint(text)}) == 4
