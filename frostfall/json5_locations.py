"""Where a key stands in a JSON5 text that has already been read: the line, for messages that name it."""

from __future__ import annotations

import re

_TOKEN = re.compile(
    r"""
    (?P<skip>\s+|//[^\n]*|/\*.*?\*/)
  | (?P<text>"(?:\\.|[^"\\])*"|'(?:\\.|[^'\\])*')
  | (?P<mark>[{}\[\]:,])
  | (?P<word>[^\s{}\[\]:,"'/]+)
""",
    re.VERBOSE | re.DOTALL,
)
_STEP = re.compile(r"\.([^.\[]+)|\[(\d+|\.\.\.)\]")


def steps(path: str) -> tuple[str, ...]:
    """The steps of a path such as `$.a.b[2]`, each as text."""
    return tuple(name or place for name, place in _STEP.findall(path))


def line_of(text: str, path: tuple[str, ...]) -> int:
    """The line, from 1, on which this path's last step stands, or as far as the path is found.

    A step `...` stands for any key or place: the first that fits is taken.
    """
    here: list[str] = []  # the keys and places on the way to where the scan stands
    kinds: list[str] = []
    best, found, pending, at = 1, 0, "", 0
    while at < len(text) and (match := _TOKEN.match(text, at)):
        start, at = at, match.end()
        token = match[0]
        if match["skip"] is not None:
            continue
        if token in "{[":
            kinds.append(token)
            here.append("0" if token == "[" else "")
        elif token in "}]":
            if kinds:
                kinds.pop()
                here.pop()
        elif token == ",":
            if kinds and kinds[-1] == "[":
                here[-1] = str(int(here[-1]) + 1)
        elif token == ":" and kinds and kinds[-1] == "{":
            here[-1] = pending
        else:
            pending = token[1:-1] if match["text"] is not None else token
            ahead = _TOKEN.match(text, at)
            while ahead and ahead["skip"] is not None:
                ahead = _TOKEN.match(text, ahead.end())
            if not (kinds and kinds[-1] == "{" and ahead and ahead[0] == ":"):
                continue
            way = (*here[:-1], pending)
            if found < len(way) <= len(path) and all(want in (step, "...") for want, step in zip(path, way)):
                best, found = text.count("\n", 0, start) + 1, len(way)
    return best
