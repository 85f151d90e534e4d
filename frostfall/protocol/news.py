"""The rollout API's messages: the state of the newest build's rollout, and votes on it."""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import field

from frostfall import interface as api

# Methods of the rollout API.
LISTEN = "listen"
VERDICT = "verdict"
NEWS = "news"
PING = "ping"

_PHASES = {
    "canary": api.RolloutPhase.TRIAL,
    "reverting": api.RolloutPhase.ROLLING_BACK,
    "stable": api.RolloutPhase.RELEASED,
    "reverted": api.RolloutPhase.ROLLED_BACK,
}
_RULINGS = {
    api.Verdict.NONE: "WITHDRAW",
    api.Verdict.ON: "PROCEED",
    api.Verdict.HOLD: "HOLD",
    api.Verdict.BACK: "ROLLBACK",
}
_REPLIES = {
    "throttled": api.VoteReply.OVERLOADED,
    "conflict": api.VoteReply.VOID,
}


class State(msgspec.Struct):
    """The state of a rollout, under the API's keys."""

    build: int = field(name="release")
    stage: int = field(name="tranche")
    phase: str = field(name="mode")
    cap: float = field(name="exposure")
    age_ms: float = field(name="old_ms")


def read(value: Any, reply: api.VoteReply) -> api.RolloutState | str:
    """A state in the project's terms, or what is wrong with it; `value` is JSON of any type."""
    try:
        state = msgspec.convert(value, State)
    except msgspec.MsgspecError as error:
        return str(error)
    if state.phase not in _PHASES:
        return f"unknown mode {state.phase!r} - at `$.mode`"
    if not 0 <= state.cap <= 1:
        return f"{state.cap} is no share - at `$.exposure`"
    return api.RolloutState(
        build=state.build,
        stage=state.stage,
        phase=_PHASES[state.phase],
        cap=state.cap,
        age=max(int(state.age_ms * 1000), 0),
        reply=reply,
    )


def vote(action: api.CastVote) -> dict[str, Any]:
    """The parameters of a vote."""
    return {"release": action.build, "tranche": action.stage, "ruling": _RULINGS[action.verdict]}


def reply_to_error(message: str) -> api.VoteReply:
    """The reply to a vote that an error answered; whatever the error, the vote was not carried out."""
    return _REPLIES.get(message, api.VoteReply.ERROR)


def without_state(action: api.CastVote, reply: api.VoteReply) -> api.RolloutState:
    """The reply to a vote that brought no state."""
    return api.RolloutState(action.build, action.stage, api.RolloutPhase.TRIAL, 0.0, 0, reply)
