"""JSON-RPC framing, and the messages of the rollout API."""

from __future__ import annotations

import random

import msgspec
import pytest

from frostfall import interface as api
from frostfall.protocol import rollout_messages, rpc

STATE = {"release": 42, "tranche": 1, "mode": "canary", "exposure": 0.28, "old_ms": 310}
STREAM = (
    b'{"jsonrpc":"2.0","id":10,"result":true}\n'
    b'{"jsonrpc":"2.0","method":"ping"}\r\n\n'
    b'{"jsonrpc":"2.0","method":"news","params":' + msgspec.json.encode(STATE) + b"}\n"
    b'{"jsonrpc":"2.0","id":11,"error":{"code":-32602,"message":"throttled"}}\n'
)
MESSAGES = [
    rpc.Result(10, True),
    rpc.Notification("ping", None),
    rpc.Notification("news", STATE),
    rpc.Failure(11, "throttled"),
]


def drain(lines: rpc.LineReader) -> list[rpc.Incoming]:
    messages = []
    while (message := lines.next_message()) is not None:
        messages.append(message)
        if isinstance(message, rpc.MalformedLine):
            break
    return messages


@pytest.mark.parametrize("cut", range(len(STREAM)))
def test_a_stream_split_at_any_byte(cut: int) -> None:
    lines = rpc.LineReader()
    lines.feed(STREAM[:cut])
    first = drain(lines)
    lines.feed(STREAM[cut:])
    assert first + drain(lines) == MESSAGES


def test_a_stream_byte_by_byte() -> None:
    lines, messages = rpc.LineReader(), []
    for byte in STREAM:
        lines.feed(bytes([byte]))
        messages += drain(lines)
    assert messages == MESSAGES


@pytest.mark.parametrize(
    "line",
    [
        b"nonsense",
        b"[1]",
        b"{}",
        b'{"id":"x","result":1}',
        b'{"id":1}',
        b"\xff",
        b'{"id":1,"error":"text"}',
        b"[" * 100_000,
    ],
)
def test_an_invalid_line_is_malformed(line: bytes) -> None:
    lines = rpc.LineReader()
    lines.feed(line + b"\n")
    assert isinstance(lines.next_message(), rpc.MalformedLine)


def test_an_endless_line_is_malformed_and_not_buffered() -> None:
    lines = rpc.LineReader()
    for _ in range(100):
        lines.feed(b"x" * 10_000)
    assert isinstance(lines.next_message(), rpc.MalformedLine)
    assert len(lines._buffer) <= rpc.MAX_LINE_BYTES


def test_garbage_never_raises() -> None:
    rng = random.Random(2)
    for _ in range(300):
        lines = rpc.LineReader()
        lines.feed(rng.randbytes(80) + b"\n")
        drain(lines)


def test_a_call_is_one_line() -> None:
    vote = rollout_messages.vote_parameters(api.CastVote(42, 1, api.Verdict.ON))
    line = rpc.encode_call(11, "verdict", vote)
    assert line.endswith(b"\n") and line.count(b"\n") == 1
    assert msgspec.json.decode(line) == {
        "jsonrpc": "2.0",
        "id": 11,
        "method": "verdict",
        "params": {"release": 42, "tranche": 1, "ruling": "PROCEED"},
    }
    assert msgspec.json.decode(rpc.encode_call(1, "listen")) == {
        "jsonrpc": "2.0",
        "id": 1,
        "method": "listen",
    }


@pytest.mark.parametrize(
    ("verdict", "ruling"),
    [
        (api.Verdict.NONE, "WITHDRAW"),
        (api.Verdict.ON, "PROCEED"),
        (api.Verdict.HOLD, "HOLD"),
        (api.Verdict.BACK, "ROLLBACK"),
    ],
)
def test_verdicts_are_translated(verdict: api.Verdict, ruling: str) -> None:
    assert rollout_messages.vote_parameters(api.CastVote(1, 0, verdict))["ruling"] == ruling


@pytest.mark.parametrize(
    ("mode", "phase"),
    [
        ("canary", api.RolloutPhase.TRIAL),
        ("reverting", api.RolloutPhase.ROLLING_BACK),
        ("stable", api.RolloutPhase.RELEASED),
        ("reverted", api.RolloutPhase.ROLLED_BACK),
    ],
)
def test_phases_are_translated(mode: str, phase: api.RolloutPhase) -> None:
    state = rollout_messages.parse_state(STATE | {"mode": mode}, api.VoteReply.COUNTED)
    assert state == api.RolloutState(42, 1, phase, 0.28, 310_000, api.VoteReply.COUNTED)


@pytest.mark.parametrize("change", [{"mode": "odd"}, {"exposure": 2}, {"release": "x"}, {"tranche": None}])
def test_the_error_for_an_invalid_state_names_the_key(change: dict[str, object]) -> None:
    state = rollout_messages.parse_state(STATE | change, api.VoteReply.NONE)
    assert isinstance(state, str) and f"$.{next(iter(change))}" in state
    assert isinstance(rollout_messages.parse_state(7, api.VoteReply.NONE), str)


@pytest.mark.parametrize(
    ("message", "reply"),
    [
        ("throttled", api.VoteReply.OVERLOADED),
        ("conflict", api.VoteReply.VOID),
        ("internal", api.VoteReply.ERROR),
        ("invalid", api.VoteReply.ERROR),
    ],
)
def test_errors_are_translated(message: str, reply: api.VoteReply) -> None:
    assert rollout_messages.reply_to_error(message) is reply
