"""Logging: JSON lines on standard error."""

from __future__ import annotations

import sys
from contextlib import AbstractContextManager, suppress
from typing import Any, TextIO, cast

import structlog

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}


class LossyOutput:
    """A text stream whose failures are swallowed: a full disk or a closed pipe must not end what logs."""

    def __init__(self, stream: TextIO) -> None:
        """Write to this stream as long as it takes anything."""
        self._stream = stream

    def write(self, text: str) -> int:
        """Write a line, or drop it."""
        with suppress(OSError, ValueError):
            return self._stream.write(text)
        return 0

    def flush(self) -> None:
        """Hand on what was written, if that can be done."""
        with suppress(OSError, ValueError):
            self._stream.flush()


def configure(level: str) -> None:
    """Log from this level on, for all agents of this process."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=structlog.WriteLoggerFactory(file=cast(TextIO, LossyOutput(sys.stderr))),
        cache_logger_on_first_use=True,
    )


def bind_agent_name(name: str) -> AbstractContextManager[None]:
    """Let every line name this agent, from here and from the tasks that start here."""
    return structlog.contextvars.bound_contextvars(agent=name)


def get_logger(part: str) -> Any:
    """The log of one part of the program."""
    return structlog.get_logger(part=part)
