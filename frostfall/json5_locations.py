"""Finds the line of a key in a JSON5 text that has already been parsed, for messages that name the key."""

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
    """A key of an object, with the keys and array indices that lead to it from the root."""

    path: tuple[str, ...]
    offset: int  # characters from the start of the text


def parse_path(path: str) -> tuple[str, ...]:
    """The steps of a path as msgspec writes it, `$.a.b[2]`; array indices are text too."""
    return tuple(name or index for name, index in _PATH_STEP.findall(path))


def find_line(text: str, path: tuple[str, ...]) -> int:
    """The line, from 1, of the key at `path`, or of its innermost enclosing key that is in the text.

    A step `...` matches any key or index; the first match counts. Without any match the line is 1.
    """
    line, depth = 1, 0
    for key in _keys(text):
        if depth < len(key.path) <= len(path) and _is_prefix(key.path, path):
            line = text.count("\n", 0, key.offset) + 1
            depth = len(key.path)
    return line


def _is_prefix(key_path: tuple[str, ...], path: tuple[str, ...]) -> bool:
    return all(wanted in (step, _ANY_STEP) for wanted, step in zip(path, key_path))


def _keys(text: str) -> Iterator[_Key]:
    """All keys of all objects, in the order of the text."""
    path: list[str | int] = []  # one step for each enclosing container: an object's key or an array's index
    tokens = list(_tokens(text))
    for token, following in zip(tokens, [*tokens[1:], None]):
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
                is_key = following is not None and following["punctuation"] == ":"
                if is_key and path and isinstance(path[-1], str):
                    path[-1] = token[0] if token["string"] is None else token[0][1:-1]
                    yield _Key(tuple(str(step) for step in path), token.start())


def _tokens(text: str) -> Iterator[re.Match[str]]:
    """The tokens without whitespace and comments, up to the first character that begins none."""
    offset = 0
    while match := _TOKEN.match(text, offset):
        offset = match.end()
        if match["skip"] is None:
            yield match
