"""Finds the line of a key in a valid JSON5 text, for error messages that name the key."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass

_TOKEN = re.compile(
    r"""
    (?P<skip>\s+|//[^\n]*|/\*.*?\*/)
  | (?P<string>"(?:\\.|[^"\\])*"|'(?:\\.|[^'\\])*')
  | (?P<punctuation>[{}\[\]:,])
  | (?P<word>[^\s{}\[\]:,"'/]+)
""",
    re.VERBOSE | re.DOTALL,
)
_PATH_STEP = re.compile(r"\.([^.\[]+)|\[(\d+|\.\.\.)\]")
_ANY_STEP = "..."


@dataclass(frozen=True, slots=True)
class _Key:
    """A key of an object, with its path: the keys and array indices from the root down to the key."""

    path: tuple[str, ...]
    offset: int  # in characters from the start of the text


def parse_path(path: str) -> tuple[str, ...]:
    """Split a path of msgspec, such as `$.a.b[2]`, into steps; array indices are strings too."""
    return tuple(name or index for name, index in _PATH_STEP.findall(path))


def find_line(text: str, path: tuple[str, ...]) -> int:
    """Return the line number (from 1) of the key at `path`, or of its innermost ancestor in the text.

    A step `...` matches any key or index, and the first match wins. If nothing matches, the result is 1.
    """
    line, depth = 1, 0
    for key in _keys(text):
        if depth < len(key.path) <= len(path) and _is_prefix(key.path, path):
            line = text.count("\n", 0, key.offset) + 1
            depth = len(key.path)
    return line


def _is_prefix(key_path: tuple[str, ...], path: tuple[str, ...]) -> bool:
    return all(expected in (step, _ANY_STEP) for expected, step in zip(path, key_path))


def _keys(text: str) -> Iterator[_Key]:
    """Yield the keys of all objects, in the order of the text."""
    path: list[str | int] = []  # for each enclosing container, the current key or index
    tokens = list(_tokens(text))
    for token, next_token in zip(tokens, [*tokens[1:], None]):
        match token["punctuation"]:
            case "{":
                path.append("")
            case "[":
                path.append(0)
            case "}" | "]":
                if path:
                    path.pop()
            case ",":
                if path and isinstance(path[-1], int):
                    path[-1] += 1
            case None:
                is_key = next_token is not None and next_token["punctuation"] == ":"
                if is_key and path and isinstance(path[-1], str):
                    path[-1] = token[0] if token["string"] is None else token[0][1:-1]
                    yield _Key(tuple(str(step) for step in path), token.start())


def _tokens(text: str) -> Iterator[re.Match[str]]:
    """Yield the tokens, without whitespace and comments, up to the first character that starts no token."""
    offset = 0
    while match := _TOKEN.match(text, offset):
        offset = match.end()
        if match["skip"] is None:
            yield match
