"""Translates between the simulator's messages and the events and actions of `frostfall/interface.py`.

This module makes no decisions.
"""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

from frostfall import interface as api
from frostfall.settings import decode_load_report
from frostfall.simulator import messages as wire

_LINE_DECODER: msgspec.json.Decoder[wire.Line] = msgspec.json.Decoder(wire.Line)
_ENCODER = msgspec.json.Encoder()
_T = TypeVar("_T")

ServerLists = dict[int, tuple[api.Server, ...]]  # by the list's number in the simulator

_AVAILABILITY = {
    "up": api.Availability.UP,
    "draining": api.Availability.DRAINING,
    "removed": api.Availability.REMOVED,
}
_LIST_KINDS = {
    "disk": api.ServerListKind.CACHED,
    "snapshot": api.ServerListKind.COMPLETE,
    "diff": api.ServerListKind.DELTA,
    "error": api.ServerListKind.FAILED,
}
_OUTCOMES = {
    "success": api.Outcome.SUCCESS,
    "failure": api.Outcome.ERROR,
    "overloaded": api.Outcome.OVERLOADED,
    "timed_out": api.Outcome.TIMED_OUT,
    "unreachable": api.Outcome.UNREACHABLE,
    "broken": api.Outcome.RESET,
    "withdrawn": api.Outcome.CANCELLED,
    "void": api.Outcome.NEVER_SENT,
}
_PHASES = (
    api.RolloutPhase.TRIAL,
    api.RolloutPhase.ROLLING_BACK,
    api.RolloutPhase.RELEASED,
    api.RolloutPhase.ROLLED_BACK,
)
_VOTE_REPLIES = {
    "success": api.VoteReply.COUNTED,
    "void": api.VoteReply.VOID,
    "overloaded": api.VoteReply.OVERLOADED,
    "failure": api.VoteReply.ERROR,
    "timed_out": api.VoteReply.UNKNOWN,
}
_VERDICTS = {api.Verdict.NONE: 0, api.Verdict.ON: 1, api.Verdict.HOLD: 2, api.Verdict.BACK: 3}


class WireError(Exception):
    """A message of the simulator is invalid."""


def decode_line(line: bytes) -> wire.Line:
    """Decode one line; WireError describes the fault."""
    try:
        return _LINE_DECODER.decode(line)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise WireError(str(error)) from error


def decode_servers(servers: list[wire.Server]) -> tuple[api.Server, ...]:
    """Convert the servers of a list."""
    return tuple(
        api.Server(
            id=server.id,
            build=server.build,
            zone=server.zone,
            cell=server.cell,
            size=server.size,
            started_at=server.started_at,
            availability=_translate(_AVAILABILITY, server.availability, "availability"),
        )
        for server in servers
    )


def decode_event(message: wire.AgentEvent, server_lists: ServerLists) -> api.Event:
    """Convert an event of one agent; WireError if one of its values is unknown."""
    match message:
        case wire.RequestArrived():
            return _request_arrived(message)
        case wire.AttemptEnded():
            return _attempt_ended(message)
        case wire.TimerFired():
            return api.TimerFired(message.token)
        case wire.GossipReceived():
            return api.GossipReceived(message.sender, message.text)
        case wire.ServerListUpdated():
            return _server_list_updated(message, server_lists)
        case wire.RolloutStateChanged():
            return _rollout_state(message)
        case wire.HealthCheckEnded():
            return _health_check_ended(message)
        case wire.BuildTallied():
            return _build_tally(message)
        case wire.AnswerDisputed():
            return api.AnswerDisputed(message.server, message.class_name, message.age)
        case wire.StreamStarted():
            return api.StreamStarted(message.request, message.attempt)
        case wire.ClientDisconnected():
            return api.ClientDisconnected(message.request)


def encode_action(agent: int, action: api.Action) -> bytes | None:
    """Encode an action as a line without line end; None if the simulator has no message for the action."""
    if isinstance(action, api.ReportServerList):
        return None
    return _ENCODER.encode(_fields(action) | {"agent": agent})


def _translate(table: dict[str, _T], value: str, description: str) -> _T:
    try:
        return table[value]
    except KeyError:
        raise WireError(f"unknown {description} {value!r}") from None


def _request_arrived(message: wire.RequestArrived) -> api.RequestArrived:
    return api.RequestArrived(
        request=message.request,
        class_name=message.class_name,
        deadline=message.deadline,
        key=message.key,
        service_time_hint=message.service_time_hint,
        tenant=message.tenant if isinstance(message.tenant, str) else None,
        is_retry=message.is_retry,
    )


def _attempt_ended(message: wire.AttemptEnded) -> api.AttemptEnded:
    return api.AttemptEnded(
        request=message.request,
        attempt=message.attempt,
        server=message.server,
        outcome=_translate(_OUTCOMES, message.outcome, "ending"),
        elapsed=message.elapsed,
        final=message.final,
        load=decode_load_report(message.load),
    )


def _health_check_ended(message: wire.HealthCheckEnded) -> api.HealthCheckEnded:
    return api.HealthCheckEnded(
        server=message.server,
        outcome=_translate(_OUTCOMES, message.outcome, "ending"),
        elapsed=message.elapsed,
        load=decode_load_report(message.load),
    )


def _server_list_updated(message: wire.ServerListUpdated, server_lists: ServerLists) -> api.ServerListUpdated:
    kind = _translate(_LIST_KINDS, message.kind, "kind of view")
    if kind is api.ServerListKind.FAILED:
        return api.ServerListUpdated(kind, ())
    if message.server_list not in server_lists:
        raise WireError(f"view refers to bank {message.server_list}, which no roster has defined")
    return api.ServerListUpdated(kind, server_lists[message.server_list], message.generation)


def _rollout_state(message: wire.RolloutStateChanged) -> api.RolloutState:
    if not 0 <= message.phase < len(_PHASES):
        raise WireError(f"unknown progress {message.phase}")
    reply = _translate(_VOTE_REPLIES, message.outcome, "ending")
    return api.RolloutState(
        build=message.build,
        stage=message.stage,
        phase=_PHASES[message.phase],
        cap=message.cap,
        age=message.age,
        reply=reply if message.verdict else api.VoteReply.NONE,
    )


def _build_tally(message: wire.BuildTallied) -> api.BuildTally:
    return api.BuildTally(
        build=message.build,
        class_name=message.class_name,
        attempts=message.attempts,
        failed=message.failed,
        mean_elapsed=message.mean_elapsed,
        age=message.age,
    )


def _fields(action: api.Effect) -> dict[str, Any]:
    """Return the verb and the fields of an action's message, without the agent."""
    match action:
        case api.SendAttempt():
            fields = {"verb": "forward", "corr": action.request, "appliance": action.server}
            return fields | ({"maxWaitUs": action.timeout} if action.timeout else {})
        case api.CancelAttempt():
            return {"verb": "abandon", "corr": action.request, "hop": action.attempt}
        case api.RejectRequest():
            fields = {"verb": "notNow", "corr": action.request}
            return fields | ({"comeBackUs": action.retry_after} if action.retry_after else {})
        case api.FailRequest():
            return {"verb": "fail", "corr": action.request}
        case api.SetTimer():
            return {"verb": "setTimer", "delayUs": action.delay, "ref": action.token}
        case api.CheckServerHealth():
            return {"verb": "ping", "appliance": action.server}
        case api.SendGossip():
            return {"verb": "memoTo", "target": action.peer, "payload": action.text}
        case api.WatchServerList():
            return {"verb": "keepInformed", "active": True}
        case api.CastVote():
            return {
                "verb": "saySo",
                "image": action.build,
                "mark": _VERDICTS[action.verdict],
                "stage": action.stage,
            }
        case api.WriteLog():
            return {"verb": "noteDown", "what": action.text}
