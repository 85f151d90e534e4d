"""Tests that fail for a real fault which could not be mended yet: read from KNOWN-RED.txt, strictly.

A line holds a test's full name, the cause and the issue, with ` | ` between them. Each is expected to fail,
and fails the run if it passes; so do a fourth line and a name that matches no test. All are printed.
"""

from __future__ import annotations

from dataclasses import dataclass

import pytest

FILE = "KNOWN-RED.txt"
MOST = 3


@dataclass(frozen=True)
class Red:
    """One line."""

    test: str
    cause: str
    issue: str


def parse(text: str) -> list[Red]:
    """The lines; UsageError where one cannot be read or there are too many."""
    lines = [line for line in text.splitlines() if line.strip()]
    parts = [[part.strip() for part in line.split(" | ")] for line in lines]
    if bad := next((line for line, part in zip(lines, parts) if len(part) != 3 or not all(part)), None):
        raise pytest.UsageError(f"{FILE}: not of the form 'test | cause | issue': {bad}")
    reds = [Red(*part) for part in parts]
    if len(reds) > MOST:
        raise pytest.UsageError(f"{FILE}: {len(reds)} lines, {MOST} are the most")
    if len({red.test for red in reds}) < len(reds):
        raise pytest.UsageError(f"{FILE}: a test stands there twice")
    return reds


KEY = pytest.StashKey[list[Red]]()


def pytest_configure(config: pytest.Config) -> None:
    path = config.rootpath / FILE
    config.stash[KEY] = parse(path.read_text(encoding="utf-8")) if path.exists() else []


@pytest.hookimpl(tryfirst=True)  # before names are picked out of them
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    by_name = {item.nodeid: item for item in items}
    whole = config.args_source is not pytest.Config.ArgsSource.ARGS
    for red in config.stash[KEY]:
        if item := by_name.get(red.test):
            item.add_marker(pytest.mark.xfail(strict=True, reason=f"{red.cause} (issue {red.issue})"))
        elif whole:
            raise pytest.UsageError(f"{FILE}: there is no test {red.test}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    if reds := config.stash[KEY]:
        terminalreporter.section(f"known to fail ({FILE})")
        for red in reds:
            terminalreporter.line(f"{red.test}: {red.cause} (issue {red.issue})")
