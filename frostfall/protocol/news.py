"""Where the newest build stands, in the platform's words, and the votes on it."""

from __future__ import annotations

from typing import Any

import msgspec

from frostfall import interface as api

LISTEN, VERDICT, NEWS, PING = "listen", "verdict", "news", "ping"

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
    """The platform's words for a build's state."""

    release: int
    tranche: int
    mode: str
    exposure: float
    old_ms: float


def read(value: Any, reply: api.VoteReply) -> api.RolloutState | str:
    """A state in the project's terms, or what is wrong with it."""
    try:
        state = msgspec.convert(value, State)
    except msgspec.MsgspecError as error:
        return str(error)
    if state.mode not in _PHASES:
        return f"unknown mode {state.mode!r} - at `$.mode`"
    if not 0 <= state.exposure <= 1:
        return f"{state.exposure} is no share - at `$.exposure`"
    return api.RolloutState(
        build=state.release,
        stage=state.tranche,
        phase=_PHASES[state.mode],
        cap=state.exposure,
        age=max(int(state.old_ms * 1000), 0),
        reply=reply,
    )


def vote(action: api.CastVote) -> dict[str, Any]:
    """The parameters of a vote."""
    return {"release": action.build, "tranche": action.stage, "ruling": _RULINGS[action.verdict]}


def reply_to_error(message: str) -> api.VoteReply:
    """What an error says of a vote: whatever it is, the vote was not carried out."""
    return _REPLIES.get(message, api.VoteReply.ERROR)


def without_state(action: api.CastVote, reply: api.VoteReply) -> api.RolloutState:
    """The reply to a vote that brought no state."""
    return api.RolloutState(action.build, action.stage, api.RolloutPhase.TRIAL, 0.0, 0, reply)
