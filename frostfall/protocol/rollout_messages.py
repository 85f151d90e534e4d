"""Messages of the rollout API: the state of the newest build's rollout, and votes on it."""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import field

from frostfall import interface as api

# Methods of the rollout API.
LISTEN = "listen"  # a call that subscribes to STATE_CHANGED
VERDICT = "verdict"
STATE_CHANGED = "news"
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


class StateMessage(msgspec.Struct):
    """The state of a rollout, with the API's names as keys."""

    build: int = field(name="release")
    stage: int = field(name="tranche")
    phase: str = field(name="mode")
    cap: float = field(name="exposure")
    age_ms: float = field(name="old_ms")


def parse_state(value: Any, reply: api.VoteReply) -> api.RolloutState | str:
    """Translate a rollout state from decoded JSON of any type; returns an error text if it is invalid."""
    try:
        state = msgspec.convert(value, StateMessage)
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


def vote_parameters(action: api.CastVote) -> dict[str, Any]:
    """Return the parameters of a VERDICT call."""
    return {"release": action.build, "tranche": action.stage, "ruling": _RULINGS[action.verdict]}


def reply_to_error(message: str) -> api.VoteReply:
    """Translate the error message that answered a vote; after any error, the vote was not carried out."""
    return _REPLIES.get(message, api.VoteReply.ERROR)


def reply_without_state(action: api.CastVote, reply: api.VoteReply) -> api.RolloutState:
    """Return the reply to a vote for which the API returned no state."""
    return api.RolloutState(action.build, action.stage, api.RolloutPhase.TRIAL, 0.0, 0, reply)
