"""Translates between the wire's messages and the project's interface; decides nothing."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

from frostfall import interface as api
from frostfall.settings import decode_load_report
from frostfall.simulator import messages as wire

_LINE: msgspec.json.Decoder[wire.Line] = msgspec.json.Decoder(wire.Line)
_T = TypeVar("_T")
_ENCODER = msgspec.json.Encoder()

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
_REPLIES = {
    "success": api.VoteReply.COUNTED,
    "void": api.VoteReply.VOID,
    "overloaded": api.VoteReply.OVERLOADED,
    "failure": api.VoteReply.ERROR,
    "timed_out": api.VoteReply.UNKNOWN,
}
_VERDICTS = {api.Verdict.NONE: 0, api.Verdict.ON: 1, api.Verdict.HOLD: 2, api.Verdict.BACK: 3}


class WireError(Exception):
    """The wire brought something that cannot be understood."""


def decode_line(line: bytes) -> wire.Line:
    """Read one line, or say in one plain sentence what is wrong with it."""
    try:
        return _LINE.decode(line)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise WireError(str(error)) from error


def _name(table: dict[str, _T], value: str, what: str) -> _T:
    try:
        return table[value]
    except KeyError:
        raise WireError(f"unknown {what} {value!r}") from None


def servers(nodes: list[wire.Node]) -> tuple[api.Server, ...]:
    """A list's entries in the project's terms."""
    return tuple(
        api.Server(
            id=node.appliance,
            build=node.edition,
            zone=node.rack_zone,
            cell=node.cell,
            size=node.size,
            started_at=node.ready_at_us,
            availability=_name(_AVAILABILITY, node.availability, "availability"),
        )
        for node in nodes
    )


def event(message: wire.AgentEvent, banks: dict[int, tuple[api.Server, ...]]) -> api.Event:
    """One instance's event in the project's terms."""
    match message:
        case wire.Req():
            return api.RequestArrived(
                request=message.corr,
                class_name=message.cls,
                deadline=message.give_up_at_us,
                key=message.target_key,
                service_time_hint=message.estimate_us,
                tenant=message.org if isinstance(message.org, str) else None,
                is_retry=message.repeat,
            )
        case wire.Ended():
            return api.AttemptEnded(
                request=message.corr,
                attempt=message.hop,
                server=message.appliance,
                outcome=_name(_OUTCOMES, message.ending, "ending"),
                elapsed=message.cost_time_us,
                final=message.final,
                load=decode_load_report(message.report),
            )
        case wire.Reminder():
            return api.TimerFired(message.ref)
        case wire.NoteFrom():
            return api.GossipReceived(message.sender, message.payload)
        case wire.View():
            kind = _name(_LIST_KINDS, message.kind, "kind of view")
            if kind is api.ServerListKind.FAILED:
                return api.ServerListUpdated(kind, ())
            if message.bank not in banks:
                raise WireError(f"view names bank {message.bank}, which no roster has set up")
            return api.ServerListUpdated(kind, banks[message.bank])
        case wire.StepNews():
            if not 0 <= message.progress < len(_PHASES):
                raise WireError(f"unknown progress {message.progress}")
            reply = _name(_REPLIES, message.ending, "ending")
            return api.RolloutState(
                build=message.image,
                stage=message.stage,
                phase=_PHASES[message.progress],
                cap=message.limit_share,
                age=message.behind_us,
                reply=reply if message.mark else api.VoteReply.NONE,
            )
        case wire.Pong():
            return api.HealthCheckEnded(
                server=message.appliance,
                outcome=_name(_OUTCOMES, message.ending, "ending"),
                elapsed=message.cost_time_us,
                load=decode_load_report(message.report),
            )
        case wire.CountsByBuild():
            return api.BuildTally(
                build=message.image,
                class_name=message.cls,
                attempts=message.samples,
                failed=message.lost,
                mean_elapsed=message.cost_time_us,
                age=message.behind_us,
            )
        case wire.BadAnswer():
            return api.AnswerDisputed(message.appliance, message.cls, message.behind_us)
        case wire.Flowing():
            return api.StreamStarted(message.corr, message.hop)
        case wire.ClientGone():
            return api.ClientDisconnected(message.corr)


def encode_action(agent: int, action: api.Action) -> bytes:
    """One line of a reply, without its line end."""
    return _ENCODER.encode(_fields(action) | {"agent": agent})


def _fields(action: api.Action) -> dict[str, Any]:
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
