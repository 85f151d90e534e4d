"""The wire formats, byte by byte, against golden data in tests/fixtures/wire.

Messages encoded as arrays are built here with named fields. If two fields of the same type were swapped, a
message decoded from golden bytes would still encode to the same bytes. All other data is compared by
position.
"""

from __future__ import annotations

import io
import json
import typing
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest

from frostfall import interface as api
from frostfall.consensus import messages as raft_messages
from frostfall.consensus import raft, raft_log, register
from frostfall.mechanisms.sequential_test import GossipMessage, RoundTotals
from frostfall.protocol import (
    authenticated_channel,
    discovery,
    endpoint_adapter,
    member_messages,
    pg,
    pg_client,
    pg_server,
    rollout_messages,
    rpc,
)
from frostfall.shared_health import message_codec
from frostfall.simulator import codec, host, messages
from tests.golden import plain, variant

FOLDER = Path(__file__).parent / "fixtures" / "wire"

PUT = register.CompareAndSet(
    key="k", value={"v": [1, None]}, expected_version=2, proposer="n1", sequence_number=3
)
CELL = register.VersionedValue(value="v", version=4)
ENTRY = raft_log.Entry(term=5, command=msgspec.to_builtins(PUT), voters=("n0", "n1"))
SNAPSHOT = raft_log.Snapshot(index=6, term=7, voters=("n2",), state=[{"k": msgspec.to_builtins(CELL)}, {}])
EXCHANGE = GossipMessage(
    build=41, stage=-1, slot=700, totals=RoundTotals(*[each / 4 for each in range(-3, 0)] + [0.5] * 10)
)
FRAMED = "copied"

MESSAGES: dict[str, Any] = {
    "beat": member_messages.Heartbeat(
        sender="n0",
        incarnation=1,
        durable_batch=2,
        incarnation_token="t0",
        wall_time=3.5,
        readiness_stage="ready",
        incomplete_reason="d",
        startup_incarnation=(4, 5, "t1"),
        recorded_incarnation=(6, 7, "t2"),
        recorded_is_alive=True,
        stale_reason="o",
        request_id=8,
        endpoint_list_generation=9,
        rolled_back_build=10,
        operator_hold=(11, "w"),
        recorded_operator_hold=(12, "v"),
    ),
    "ask": member_messages.StatusQuery(
        request_id=1, operations=["a", "b"], sender="n0", incarnation_token="t"
    ),
    "tell": member_messages.StatusReply(
        request_id=1,
        statuses=[("served", b"\1"), ("never", None)],
        incarnation_token="t",
        recorded_tokens={"n1": "t1"},
    ),
    "copy": member_messages.ReplicateRequest(
        request_id=1, owner="n0", state=2, operation="a", answer=b"\2", incarnation_token="t"
    ),
    "copied": member_messages.ReplicateReply(
        request_id=1, rejected=True, incarnation_token="t", stored=False
    ),
    "read": member_messages.FencedRead(
        request_id=1, owner="n0", operation="a", fence=True, sender="n1", incarnation_token="t"
    ),
    "compare": member_messages.DigestRequest(
        request_id=1,
        owner="n0",
        compare_fences=True,
        level=2,
        depth=3,
        selectors=[4, 5],
        sender="n1",
        incarnation_token="t",
        session=6,
    ),
    "compared": member_messages.DigestReply(
        request_id=1, authoritative=True, incarnation_token="t", data=b"\3", items=[(2, "a", b"\4", 5)]
    ),
    "agree": member_messages.ConsensusMessage(sender="n0", payload=b"\5"),
    "want": member_messages.EndpointListRequest(request_id=1),
    "have": member_messages.EndpointListReply(request_id=1, endpoint_list=[2, {"a": None}]),
    "order": member_messages.OperatorCommand(request_id=1, command="put", operator="op", key="k", value="v"),
    "report": member_messages.OperatorReport(request_id=1, fields={"name": "n0", "age": 2.5, "none": None}),
    "vote?": raft_messages.RequestVote(term=1, last_log_index=2, last_log_term=3, pre_vote=True),
    "vote": raft_messages.RequestVoteResponse(term=1, vote_granted=True, pre_vote=False),
    "append": raft_messages.AppendEntries(
        term=1, prev_log_index=2, prev_log_term=3, entries=[ENTRY, raft_log.Entry(term=4)], leader_commit=5
    ),
    "appended": raft_messages.AppendEntriesResponse(term=1, success=True, last_log_index=2),
    "install": raft_messages.InstallSnapshot(term=1, snapshot=SNAPSHOT),
    "hard": raft.HardState(term=1, voted_for="n0"),
} | {"put": PUT, "cell": CELL, "entry": ENTRY, "snapshot": SNAPSHOT}
LISTED = discovery.EndpointListUpdate | discovery.RequestFailed
UNIONS = (
    member_messages.MemberMessage,
    raft_messages.RaftMessage,
)  # each of their types has to occur in MESSAGES


def vote_with(verdict: int) -> api.CastVote:
    return api.CastVote(build=1, stage=2, verdict=api.Verdict(verdict))


ACTIONS: list[api.Action] = [
    *(api.SendAttempt(request="r", server=2, timeout=timeout) for timeout in (3, 0)),
    api.CancelAttempt(request="r", attempt=2),
    *(api.RejectRequest(request="r", retry_after=after) for after in (2, 0)),
    api.FailRequest(request="r"),
    api.SetTimer(delay=1, token="t"),
    api.CheckServerHealth(server=1),
    api.SendGossip(peer=1, text="x"),
    api.WatchServerList(),
    *(vote_with(verdict) for verdict in (1, 2, 3, 4)),
    api.WriteLog(text="x"),
]


def open_channel(own: str, dialled: bool) -> authenticated_channel.AuthenticatedChannel:
    """Return one end of a channel between members, which has received the other end's nonce."""
    channel = authenticated_channel.AuthenticatedChannel(
        "a key of the group", dialled, own.encode() * authenticated_channel.NONCE_BYTES
    )
    channel.receive_data((b"b" if own == "a" else b"a") * authenticated_channel.NONCE_BYTES)
    return channel


def server_side(stream: str) -> list[Any]:
    """Return the events of a client's bytes at an agent that answers each query at once."""
    side, events = pg_server.ServerProtocol(), []
    side.feed(bytes.fromhex(stream))
    while (event := side.next_event()) is not None:
        events.append(variant(pg_server.Event, event))
        side.mark_answered()
    return events


def client_side(streams: list[str]) -> list[Any]:
    """Return the state of a server connection after each chunk; a query is sent after the first chunk."""
    side, states = pg_client.ClientProtocol("u", "d"), []
    states.append(side.startup_message.hex())
    for index, stream in enumerate(streams):
        if index == 1:
            states.append(side.encode_query(b"SELECT 1").hex())
        side.feed(bytes.fromhex(stream))
        states.append(
            [plain(side.state), variant(pg_client.Answer, side.answer), side.load_report, side.reusable]
        )
    return states


def rpc_lines(text: str) -> list[Any]:
    """Return the messages in lines from the platform."""
    lines, found = rpc.LineReader(), []
    lines.feed(text.encode())
    while (message := lines.next_message()) is not None:
        found.append(variant(rpc.Incoming, message))
    return found


def watch_calls(parts: list[str]) -> list[Any]:
    """Return discovery's answers to calls on one connection; calls after the first ask for changes."""
    watch, seen = discovery.Watch("127.0.0.1:8500"), []
    for since, part in zip((None, 41, 42), parts):
        seen.append(watch.encode_request(since, 20_000).decode())
        seen += [variant(LISTED, watch.feed(part.encode())), watch.reusable]
    return seen


def serve(lines: str) -> str:
    """Return the output lines of the simulator adapter for these input lines."""
    out = io.BytesIO()
    host.serve(io.BytesIO(lines.encode()), out)
    return out.getvalue().decode()


def event(line: str) -> Any:
    """Decode one line of the simulator to an event."""
    servers = codec.decode_servers(msgspec.json.decode(NODES, type=list[messages.Server]))
    return variant(api.Event, codec.decode_event(codec.decode_line(line.encode()), {3: servers}))


def listed(text: str, kind: int) -> Any:
    """Decode an endpoint list to plain data."""
    return plain(endpoint_adapter.to_list_update(discovery.decode(text.encode()), api.ServerListKind(kind)))


NODES = """[{"appliance":11,"edition":2,"size":1.5,"cell":3,"rackZone":"a","readyAtUs":4,"availability":"up"},
 {"appliance":12,"availability":"draining"},{"appliance":13,"availability":"removed"}]"""
CASES: dict[str, Callable[..., Any]] = {  # by name; the lines of cases.jsonl are name, arguments and result
    "pg startup": lambda user, database: pg.startup(user=user, database=database).hex(),
    "pg parameter": lambda *arguments: pg.parameter_status(*arguments).hex(),
    "pg error": lambda *arguments: pg.error_response(*arguments).hex(),
    "pg error fields": lambda payload: pg.error_fields(bytes.fromhex(payload)),
    "pg constants": lambda: plain(
        [pg.READY_FOR_QUERY, pg.TERMINATE, pg_server.STARTUP_RESPONSE, pg_server.EMPTY_QUERY_RESPONSE]
    ),
    "pg refused": lambda after: pg_server.rejection_answer(after).hex(),
    "pg failed": lambda: pg_server.failure_answer().hex(),
    "pg server side": server_side,
    "pg client side": client_side,
    "rpc call": lambda *arguments: rpc.encode_call(*arguments).decode(),
    "rpc lines": rpc_lines,
    "rpc constants": lambda: [
        rollout_messages.LISTEN,
        rollout_messages.VERDICT,
        rollout_messages.STATE_CHANGED,
        rollout_messages.PING,
    ],
    "news state": lambda state, reply: plain(rollout_messages.parse_state(state, api.VoteReply(reply))),
    "news vote": lambda verdict: rollout_messages.vote_parameters(vote_with(verdict)),
    "news error": lambda message: plain(rollout_messages.reply_to_error(message)),
    "news without state": lambda reply: plain(
        rollout_messages.reply_without_state(vote_with(3), api.VoteReply(reply))
    ),
    "discovery list": lambda text: variant(LISTED, discovery.decode(text.encode())),
    "discovery entries": listed,
    "discovery calls": watch_calls,
    "server number": endpoint_adapter.server_id,
    "load report": lambda text: plain(endpoint_adapter.parse_load_report(text)),
    "pushsum key": lambda *parts: message_codec.make_key(*parts).hex(),
    "pushsum level": message_codec.quantize,
    "pushsum list": lambda slot, counts, max_chars: message_codec.encode_message(
        slot,
        [
            message_codec.HealthEntry(bytes.fromhex(key), message_codec.HealthCounts(*numbers))
            for key, numbers in counts
        ],
        max_chars,
    ),
    "pushsum text": lambda text: plain(message_codec.decode_message(text)),
    "exchange text": lambda text: plain(GossipMessage.decode(text)),
    "simulator event": event,
}


def read(name: str) -> list[Any]:
    return [json.loads(line) for line in (FOLDER / name).read_text(encoding="utf-8").splitlines()]


@pytest.mark.parametrize(("name", "golden"), read("messages.jsonl"))
def test_an_array_message_encodes_to_and_decodes_from_its_golden_bytes(name: str, golden: str) -> None:
    message, data = MESSAGES[name], bytes.fromhex(golden)
    union = next((union for union in UNIONS if type(message) in typing.get_args(union)), type(message))
    assert msgspec.msgpack.encode(message).hex() == golden
    decoded = msgspec.msgpack.decode(data, type=union)
    assert decoded == message and type(decoded) is type(message)
    assert msgspec.msgpack.encode(decoded) == data


def test_every_message_has_golden_bytes() -> None:
    assert [name for name, _ in read("messages.jsonl")] == list(MESSAGES)
    built = {type(message) for message in MESSAGES.values()}
    assert all(set(typing.get_args(union)) <= built for union in UNIONS)


@pytest.mark.parametrize(("sender", "dialled", "golden"), read("frames.jsonl"))
def test_frames_between_members_encode_to_and_decode_from_golden_bytes(
    sender: str, dialled: bool, golden: list[str]
) -> None:
    local, remote = open_channel(sender, dialled), open_channel("b" if sender == "a" else "a", not dialled)
    message = MESSAGES[FRAMED]
    assert [local.encode(message).hex() for _ in golden] == golden
    assert remote.receive_data(bytes.fromhex("".join(golden))) == [message] * len(golden)


def test_a_gossip_message_encodes_to_and_decodes_from_its_golden_text() -> None:
    (golden,) = read("exchange.jsonl")
    assert EXCHANGE.encode() == golden
    assert GossipMessage.decode(golden) == EXCHANGE


@pytest.mark.parametrize(("name", "told", "golden"), read("cases.jsonl"))
def test_a_case_returns_its_golden_values(name: str, told: list[Any], golden: Any) -> None:
    result = CASES[name](*told)
    assert result == golden
    assert json.dumps(result) == json.dumps(
        golden
    )  # also compares the order of keys, and 1 with 1.0 and true


def test_every_case_has_golden_values() -> None:
    assert {name for name, _, _ in read("cases.jsonl")} == set(CASES)


@pytest.mark.parametrize(
    "text",
    [told[0] for name, told, golden in read("cases.jsonl") if name == "discovery list" and golden[0] == 0],
)
def test_an_endpoint_list_is_encoded_as_it_was_received(text: str) -> None:
    assert msgspec.json.encode(discovery.decode(text.encode())).decode() == text


def test_the_simulators_actions_are_golden_lines() -> None:
    encoded = [codec.encode_action(7, action) for action in ACTIONS]
    lines = [line.decode() for line in encoded if line is not None]
    assert lines == (FOLDER / "actions.jsonl").read_text(encoding="utf-8").splitlines()
    assert len(lines) == len(ACTIONS)
    assert {type(action) for action in ACTIONS} == set(typing.get_args(api.Effect))
    assert set(typing.get_args(api.Action)) == {*typing.get_args(api.Effect), api.ReportServerList}


def test_a_report_for_operators_is_not_sent_to_the_simulator() -> None:
    assert codec.encode_action(7, api.ReportServerList(4, api.ListSource.PEER, "held", 5, 0)) is None


def test_the_simulators_input_lines_result_in_the_golden_output_lines() -> None:
    lines = (FOLDER / "simulator_in.jsonl").read_text(encoding="utf-8")
    assert serve(lines) == (FOLDER / "simulator_out.jsonl").read_text(encoding="utf-8")
    verbs = {each.__struct_config__.tag for each in typing.get_args(messages.Line)}
    assert {json.loads(line)["verb"] for line in lines.splitlines()} == verbs


@pytest.mark.parametrize("line", {line["verb"]: line for line in read("simulator_in.jsonl")}.values())
def test_a_line_of_the_simulator_is_encoded_with_the_same_keys(line: dict[str, Any]) -> None:
    encoded = json.loads(msgspec.json.encode(codec.decode_line(json.dumps(line).encode())))
    assert {key: encoded.get(key) for key in line} == line
