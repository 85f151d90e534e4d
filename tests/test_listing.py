"""Discovery over HTTP, its lists, and their entries in the project's terms."""

from __future__ import annotations

import json
import random

import pytest

from frostfall import interface as api
from frostfall.protocol import endpoint_adapter
from frostfall.protocol.discovery import MAX_BODY_BYTES, EndpointListUpdate, RequestFailed, Watch

BODY = (
    b'{"generation":41,"reset":true,"instances":[{"instanceId":"s-5be2a07c","hostPort":"10.1.0.18:5432",'
    b'"zone":"a","machineType":"m2","cell":3,"lifecycle":"in_service","weight":1.5,"startedAtMs":12,'
    b'"build":41}]}'
)


def response(body: bytes, status: str = "200 OK") -> bytes:
    return b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b" % (status.encode(), len(body), body)


def asked(since: int | None = 40) -> Watch:
    watch = Watch("10.2.0.1:8500")
    watch.encode_request(since, 20_000)
    return watch


def test_calls() -> None:
    assert Watch("h:1").encode_request(None, 0).startswith(b"GET /v1/servers HTTP/1.1\r\nHost: h:1\r\n")
    assert (
        Watch("h:1")
        .encode_request(41, 20_000)
        .startswith(b"GET /v1/servers?since=41&timeout_ms=20000 HTTP/1.1\r\n")
    )


@pytest.mark.parametrize("cut", range(len(response(BODY))))
def test_an_answer_split_at_every_byte(cut: int) -> None:
    watch, data = asked(), response(BODY)
    assert (watch.feed(data[:cut]) if cut else None) is None
    answer = watch.feed(data[cut:])
    assert isinstance(answer, EndpointListUpdate) and (answer.generation, answer.reset) == (41, True)
    assert watch.reusable


def test_a_connection_carries_call_after_call() -> None:
    watch = asked()
    for _ in range(3):
        assert isinstance(watch.feed(response(BODY)), EndpointListUpdate)
        watch.encode_request(41, 5000)
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    chunked = head + b"%x\r\n%b\r\n0\r\n\r\n" % (len(BODY), BODY)
    assert isinstance(watch.feed(chunked), EndpointListUpdate)


@pytest.mark.parametrize(
    ("date", "told"),
    [
        ("Thu, 03 Dec 2026 06:10:00 GMT", 1_796_278_200_000_000),
        ("Thu, 03 Dec 2026", None),
        ("Thu, 03 Dec 9999999 06:10:00 GMT", None),
        ("", None),
    ],
)
def test_the_date_of_an_answer_is_read(date: str, told: int | None) -> None:
    watch = asked()
    assert watch.answered_at is None
    watch.feed(response(BODY).replace(b"\r\n\r\n", b"\r\nDate: %b\r\n\r\n" % date.encode(), 1))
    assert watch.answered_at == told


def test_a_closing_answer_counts_but_the_connection_is_done() -> None:
    watch = asked()
    answer = watch.feed(response(BODY).replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n", 1))
    assert isinstance(answer, EndpointListUpdate) and not watch.reusable


@pytest.mark.parametrize(
    "data",
    [
        response(b"busy", "503 Service Unavailable"),
        response(b"nonsense"),
        response(b"[]"),
        response(b'{"generation":"x","reset":true}'),
        b"garbage\r\n\r\n",
        b"",
        response(BODY)[:-5] + b"",
        response(b'{"generation":1,"reset":true,"instances":[{"instanceId":5}]}'),
    ],
)
def test_what_is_no_list_is_a_failure(data: bytes) -> None:
    watch = asked()
    answer = watch.feed(data) if data else None
    if answer is None:
        answer = watch.feed(b"")  # the end of the stream
    assert isinstance(answer, RequestFailed)


def test_a_list_without_end_is_cut_off() -> None:
    watch = asked()
    answer = watch.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n")
    for _ in range(MAX_BODY_BYTES // 60_000 + 2):
        answer = answer or watch.feed(b"x" * 60_000)
    assert isinstance(answer, RequestFailed)


def test_garbage_never_raises() -> None:
    dice = random.Random(4)
    for _ in range(200):
        assert not isinstance(asked().feed(dice.randbytes(100)), EndpointListUpdate)


def entry(**changes: object) -> api.Server:
    watch = asked()
    body = BODY
    for key, value in changes.items():
        body = body.replace(key.encode(), str(value).encode())
    answer = watch.feed(response(body))
    assert isinstance(answer, EndpointListUpdate)
    return endpoint_adapter.to_list_update(answer, api.ServerListKind.COMPLETE).servers[0]


def test_an_entry() -> None:
    got = entry()
    assert got == api.Server(
        endpoint_adapter.server_id("s-5be2a07c"), 41, "a", 3, 1.5, 12_000, api.Availability.UP
    )


@pytest.mark.parametrize(
    ("state", "availability"),
    [("terminating", api.Availability.DRAINING), ("terminated", api.Availability.REMOVED)],
)
def test_states(state: str, availability: api.Availability) -> None:
    assert entry(in_service=state).availability is availability


@pytest.mark.parametrize(
    "word", ["in_service", "instances", "build", "zone", "startedAtMs", "generation", "reset"]
)
def test_a_list_with_other_bytes_where_a_word_should_be_is_not_believed(word: str) -> None:
    body = BODY.replace(word.encode(), b"#" * len(word), 1)
    assert body != BODY
    assert isinstance(asked().feed(response(body)), RequestFailed)


def test_an_instance_has_the_same_number_at_every_agent() -> None:
    assert endpoint_adapter.server_id("s-5be2a07c") == 54393183237098
    assert len({endpoint_adapter.server_id(f"s-{number}") for number in range(10_000)}) == 10_000


@pytest.mark.parametrize("text", ["inflight=7,queue=2,qps=31.5", "busy_reqs=7,pending=2,served_ps=31.5"])
def test_load_reports_under_either_name(text: str) -> None:
    load = endpoint_adapter.parse_load_report(text)
    assert load is not None
    assert (load.in_flight, load.queued, load.served_per_second) == (7, 2, 31.5)


@pytest.mark.parametrize(
    "text",
    [
        "inflight=7,queue=#",
        "inflight=7,inflight=9",
        "inflight=1e30",
        "inflight=7,qu",
        "\ufffd=7",
        "inflight=7,queue=-2",
        "inflight=nan",
        "x" * 5000,
        "=,=",
    ],
)
def test_a_load_report_that_cannot_be_read_whole_is_left_out(text: str) -> None:
    assert endpoint_adapter.parse_load_report(text) is None


@pytest.mark.parametrize("text", [None, "", "nonsense", "inflight=-1"])
def test_a_load_report_that_says_nothing(text: str | None) -> None:
    load = endpoint_adapter.parse_load_report(text)
    assert load is None or load.in_flight is None


def test_an_indented_list_of_thousands_of_servers_is_read() -> None:
    entry = {
        "instanceId": "s-5be2a07c",
        "hostPort": "10.101.112.118:15432",
        "zone": "muenchen",
        "machineType": "m2",
        "cell": 3,
        "lifecycle": "in_service",
        "weight": 1.0,
        "startedAtMs": 1_790_000_000_000,
        "build": 41,
    }
    told = {"generation": 41, "reset": True, "instances": [entry] * 3200}
    body = json.dumps(told, indent=4).encode()
    assert len(body) > 1024 * 1024
    answer = asked(None).feed(response(body))
    assert isinstance(answer, EndpointListUpdate) and len(answer.instances) == 3200
