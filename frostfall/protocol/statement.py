"""The statements that clients send, with the facts in their comment."""

from __future__ import annotations

import re
from dataclasses import dataclass

_TEXT = rb"'([^']*(?:''[^']*)*)'"
_STATEMENT = re.compile(
    rb"\s*(?:SELECT payload FROM entries WHERE ref = "
    + _TEXT
    + rb"|INSERT INTO entries \(ref, payload\) VALUES \("
    + _TEXT
    + rb", "
    + _TEXT
    + rb"\) RETURNING payload)"
    + rb"\s*/\*([^*]*)\*/\s*;?\s*\Z"
)
_PAIR = re.compile(rb"\s*([A-Za-z_][\w.-]*)=([^\s,]*)\s*\Z")
_ID = re.compile(rb"[0-9a-zA-Z_.:-]{1,64}\Z")
_NUMBER = re.compile(rb"[0-9]{1,7}\Z")
_LOAD = re.compile(r"\s*([a-z_]+)\s*=\s*([0-9]+(?:\.[0-9]+)?(?:[eE][-+]?[0-9]{1,2})?)\s*\Z", re.ASCII)
LOAD_MOST = 1e6  # no load is larger, whatever its field: a report that says so has been spoilt


@dataclass(frozen=True, slots=True)
class Statement:
    """A client's statement, ready to be passed on with another waiting time."""

    request: str
    class_name: str
    key: str
    wait_ms: int
    is_retry: bool
    hint: int | None
    _before: bytes
    _after: bytes
    _comment: bytes

    def field(self, name: str) -> str:
        """The value of a field of the comment; empty where there is none."""
        for part in self._comment.split(b","):
            if (pair := _PAIR.match(part)) and pair[1] == name.encode():
                return pair[2].decode("utf-8", "replace")
        return ""

    def waiting(self, wait_ms: int) -> bytes:
        """The statement unchanged but for how long the answer is waited for."""
        return b"%b%d%b" % (self._before, max(wait_ms, 1), self._after)


def parse(text: bytes) -> Statement | str:
    """Read a statement, or say in one phrase why it is none of the form."""
    match = _STATEMENT.match(text)
    if match is None:
        return "a statement that is not in the form"
    found: dict[bytes, tuple[bytes, int]] = {}
    place = match.start(4)
    for part in match[4].split(b","):
        pair = _PAIR.match(part)
        if pair is None or pair[1] in found:
            return "a comment that does not hold names and values"
        found[pair[1]] = pair[2], place + pair.start(2)
        place += len(part) + 1
    for name in (b"id", b"c", b"d"):
        if name not in found or not found[name][0]:
            return f"a comment without {name.decode()}"
    (request, _), (wait, at) = found[b"id"], found[b"d"]
    if not _ID.match(request):
        return "a bad id"
    if not _NUMBER.match(wait) or int(wait) == 0:
        return "a bad d"
    hint = found.get(b"h", (b"", 0))[0]
    key = match[1] if match[1] is not None else match[2]
    return Statement(
        request=request.decode(),
        class_name=found[b"c"][0].decode("utf-8", "replace"),
        key=key.decode("latin-1"),
        wait_ms=int(wait),
        is_retry=found.get(b"r", (b"", 0))[0] == b"1",
        hint=int(hint) if _NUMBER.match(hint) else None,
        _before=text[:at],
        _after=text[at + len(wait) :],
        _comment=match[4],
    )


def load_values(text: str) -> dict[str, float]:
    """The values of a load report such as `inflight=7,util=0.61`; none where a part of it cannot be read."""
    values: dict[str, float] = {}
    for part in text.split(","):
        match = _LOAD.match(part)
        if match is None or match[1] in values or float(match[2]) > LOAD_MOST:
            return {}
        values[match[1]] = float(match[2])
    return values
