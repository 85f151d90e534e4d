"""Discovery protocol over HTTP, and the translation of endpoints and load reports."""

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


def watch_after_request(since: int | None = 40) -> Watch:
    watch = Watch("10.2.0.1:8500")
    watch.encode_request(since, 20_000)
    return watch


def test_requests() -> None:
    assert Watch("h:1").encode_request(None, 0).startswith(b"GET /v1/servers HTTP/1.1\r\nHost: h:1\r\n")
    assert (
        Watch("h:1")
        .encode_request(41, 20_000)
        .startswith(b"GET /v1/servers?since=41&timeout_ms=20000 HTTP/1.1\r\n")
    )


@pytest.mark.parametrize("cut", range(len(response(BODY))))
def test_a_response_split_at_any_byte(cut: int) -> None:
    watch, data = watch_after_request(), response(BODY)
    assert (watch.feed(data[:cut]) if cut else None) is None
    answer = watch.feed(data[cut:])
    assert isinstance(answer, EndpointListUpdate) and (answer.generation, answer.reset) == (41, True)
    assert watch.reusable


def test_a_connection_carries_several_requests() -> None:
    watch = watch_after_request()
    for _ in range(3):
        assert isinstance(watch.feed(response(BODY)), EndpointListUpdate)
        watch.encode_request(41, 5000)
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    chunked = head + b"%x\r\n%b\r\n0\r\n\r\n" % (len(BODY), BODY)
    assert isinstance(watch.feed(chunked), EndpointListUpdate)


@pytest.mark.parametrize(
    ("date", "expected"),
    [
        ("Thu, 03 Dec 2026 06:10:00 GMT", 1_796_278_200_000_000),
        ("Thu, 03 Dec 2026", None),
        ("Thu, 03 Dec 9999999 06:10:00 GMT", None),
        ("", None),
    ],
)
def test_the_date_header_is_parsed(date: str, expected: int | None) -> None:
    watch = watch_after_request()
    assert watch.answered_at is None
    watch.feed(response(BODY).replace(b"\r\n\r\n", b"\r\nDate: %b\r\n\r\n" % date.encode(), 1))
    assert watch.answered_at == expected


def test_a_response_with_connection_close_is_accepted_but_ends_the_connection() -> None:
    watch = watch_after_request()
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
def test_an_invalid_response_is_a_failure(data: bytes) -> None:
    watch = watch_after_request()
    answer = watch.feed(data) if data else None
    if answer is None:
        answer = watch.feed(b"")  # the end of the stream
    assert isinstance(answer, RequestFailed)


def test_an_oversized_list_is_a_failure() -> None:
    watch = watch_after_request()
    answer = watch.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n")
    for _ in range(MAX_BODY_BYTES // 60_000 + 2):
        answer = answer or watch.feed(b"x" * 60_000)
    assert isinstance(answer, RequestFailed)


def test_garbage_never_raises() -> None:
    rng = random.Random(4)
    for _ in range(200):
        assert not isinstance(watch_after_request().feed(rng.randbytes(100)), EndpointListUpdate)


def translated(**changes: object) -> api.Server:
    """Translate the endpoint of BODY, with the given texts replaced."""
    watch = watch_after_request()
    body = BODY
    for old, new in changes.items():
        body = body.replace(old.encode(), str(new).encode())
    answer = watch.feed(response(body))
    assert isinstance(answer, EndpointListUpdate)
    return endpoint_adapter.to_list_update(answer, api.ServerListKind.COMPLETE).servers[0]


def test_an_endpoint_is_translated() -> None:
    server = translated()
    assert server == api.Server(
        endpoint_adapter.server_id("s-5be2a07c"), 41, "a", 3, 1.5, 12_000, api.Availability.UP
    )


@pytest.mark.parametrize(
    ("lifecycle", "availability"),
    [("terminating", api.Availability.DRAINING), ("terminated", api.Availability.REMOVED)],
)
def test_lifecycles_are_translated(lifecycle: str, availability: api.Availability) -> None:
    assert translated(in_service=lifecycle).availability is availability


@pytest.mark.parametrize(
    "word", ["in_service", "instances", "build", "zone", "startedAtMs", "generation", "reset"]
)
def test_a_list_with_a_corrupted_key_or_value_is_a_failure(word: str) -> None:
    body = BODY.replace(word.encode(), b"#" * len(word), 1)
    assert body != BODY
    assert isinstance(watch_after_request().feed(response(body)), RequestFailed)


def test_server_ids_are_deterministic_and_distinct() -> None:
    assert endpoint_adapter.server_id("s-5be2a07c") == 54393183237098
    assert len({endpoint_adapter.server_id(f"s-{number}") for number in range(10_000)}) == 10_000


@pytest.mark.parametrize("text", ["inflight=7,queue=2,qps=31.5", "busy_reqs=7,pending=2,served_ps=31.5"])
def test_load_reports_with_either_set_of_names(text: str) -> None:
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
def test_a_partly_malformed_load_report_is_ignored(text: str) -> None:
    assert endpoint_adapter.parse_load_report(text) is None


@pytest.mark.parametrize("text", [None, "", "nonsense", "inflight=-1"])
def test_a_load_report_without_values(text: str | None) -> None:
    load = endpoint_adapter.parse_load_report(text)
    assert load is None or load.in_flight is None


def test_an_indented_list_of_thousands_of_endpoints_is_accepted() -> None:
    endpoint = {
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
    update = {"generation": 41, "reset": True, "instances": [endpoint] * 3200}
    body = json.dumps(update, indent=4).encode()
    assert len(body) > 1024 * 1024
    answer = watch_after_request(None).feed(response(body))
    assert isinstance(answer, EndpointListUpdate) and len(answer.instances) == 3200
