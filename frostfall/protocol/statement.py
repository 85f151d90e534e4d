"""Parsing of clients' SQL statements, whose trailing comment holds the parameters of the request.

Fields of the comment: `id` is the request's identifier, `c` its class, `d` the milliseconds for which the
client waits, `r=1` marks a retry, and `h` is a hint of the service time in microseconds.
"""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass

# All repetitions are possessive (`*+`): none is followed by a character that it matches itself, so giving a
# part of it back cannot lead to a match, and a text that does not match is given up without trying.
_TEXT = rb"'([^']*+(?:''[^']*+)*+)'"
_STATEMENT = re.compile(
    rb"\s*+(?:SELECT payload FROM entries WHERE ref = "
    + _TEXT
    + rb"|INSERT INTO entries \(ref, payload\) VALUES \("
    + _TEXT
    + rb", "
    + _TEXT
    + rb"\) RETURNING payload)"
    + rb"\s*+/\*([^*]*+)\*/\s*+(?:;\s*+)?\Z"
)
_PAIR = re.compile(rb"\s*+([A-Za-z_][\w.-]*+)=([^\s,]*+)\s*+\Z")
_ID = re.compile(rb"[0-9a-zA-Z_.:-]{1,64}\Z")
_NUMBER = re.compile(rb"[0-9]{1,7}\Z")
_LOAD = re.compile(r"\s*+([a-z_]++)\s*+=\s*+([0-9]++(?:\.[0-9]++)?(?:[eE][-+]?[0-9]{1,2})?)\s*+\Z", re.ASCII)
FINGERPRINT_BYTES = 16
# Limits of fields, as the time to parse them grows with their number.
MAX_COMMENT_FIELDS = 64
MAX_LOAD_FIELDS = 64
MAX_LOAD_VALUE = 1e6  # no field of a load report exceeds it, so a report with a larger value is corrupted


@dataclass(frozen=True, slots=True)
class Statement:
    """A client's parsed statement, which can be forwarded with another waiting time."""

    request: str
    class_name: str
    key: str
    wait_ms: int
    is_retry: bool
    service_time_hint: int | None  # microseconds
    _before: bytes  # text up to the value of field `d`
    _after: bytes  # text after the value of field `d`
    _comment: bytes
    _comment_offset: int  # of the comment's text; the SQL text ends before it

    @property
    def fingerprint(self) -> bytes:
        """The digest of the class and the SQL text, which are the same in all attempts of an operation."""
        digest = hashlib.blake2b(self.class_name.encode() + b"\0", digest_size=FINGERPRINT_BYTES)
        digest.update(self._before[: self._comment_offset - len(b"/*")].strip())
        return digest.digest()

    def field(self, name: str) -> str:
        """Return the value of a field of the comment; empty if the comment does not have it."""
        for part in self._comment.split(b","):
            if (pair := _PAIR.match(part)) and pair[1] == name.encode():
                return pair[2].decode("utf-8", "replace")
        return ""

    def with_wait(self, wait_ms: int) -> bytes:
        """Return the text of the statement with another waiting time and otherwise unchanged."""
        return b"%b%d%b" % (self._before, max(wait_ms, 1), self._after)


def parse(text: bytes) -> Statement | str:
    """Parse a statement; returns an error text if it does not have the required form."""
    match = _STATEMENT.match(text)
    if match is None:
        return "a statement that is not in the form"
    if match[4].count(b",") >= MAX_COMMENT_FIELDS:
        return "a comment with too many fields"
    fields: dict[bytes, tuple[bytes, int]] = {}  # by name: the value and its offset in the text
    part_offset = match.start(4)
    for part in match[4].split(b","):
        pair = _PAIR.match(part)
        if pair is None or pair[1] in fields:
            return "a comment that does not hold names and values"
        fields[pair[1]] = pair[2], part_offset + pair.start(2)
        part_offset += len(part) + 1
    for name in (b"id", b"c", b"d"):
        if name not in fields or not fields[name][0]:
            return f"a comment without {name.decode()}"
    (request, _), (wait, wait_offset) = fields[b"id"], fields[b"d"]
    if not _ID.match(request):
        return "a bad id"
    if not _NUMBER.match(wait) or int(wait) == 0:
        return "a bad d"
    hint = fields.get(b"h", (b"", 0))[0]
    key = match[1] if match[1] is not None else match[2]
    return Statement(
        request=request.decode(),
        class_name=fields[b"c"][0].decode("utf-8", "replace"),
        key=key.decode("latin-1"),
        wait_ms=int(wait),
        is_retry=fields.get(b"r", (b"", 0))[0] == b"1",
        service_time_hint=int(hint) if _NUMBER.match(hint) else None,
        _before=text[:wait_offset],
        _after=text[wait_offset + len(wait) :],
        _comment=match[4],
        _comment_offset=match.start(4),
    )


def load_values(text: str) -> dict[str, float]:
    """Parse a load report such as `inflight=7,util=0.61`; returns no values if any part is malformed."""
    values: dict[str, float] = {}
    if text.count(",") >= MAX_LOAD_FIELDS:
        return values
    for part in text.split(","):
        match = _LOAD.match(part)
        if match is None or match[1] in values or float(match[2]) > MAX_LOAD_VALUE:
            return {}
        values[match[1]] = float(match[2])
    return values
