"""Structured logging: JSON lines on standard error."""

from __future__ import annotations

import sys
from contextlib import AbstractContextManager, suppress
from typing import Any, TextIO, cast

import structlog

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}


class LossyOutput:
    """A text stream that ignores write errors: a full disk or a closed pipe must not end the program."""

    def __init__(self, stream: TextIO) -> None:
        """Wrap `stream`."""
        self._stream = stream

    def write(self, text: str) -> int:
        """Write the text, or drop it if the stream fails."""
        with suppress(OSError, ValueError):
            return self._stream.write(text)
        return 0

    def flush(self) -> None:
        """Flush the stream, ignoring a failure."""
        with suppress(OSError, ValueError):
            self._stream.flush()


def configure(level: str) -> None:
    """Configure logging from `level` upwards, for all agents of this process."""
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
    """Add the agent's name to each log line of the context, including the tasks started in it."""
    return structlog.contextvars.bound_contextvars(agent=name)


def get_logger(part: str) -> Any:
    """Return the logger of one part of the program."""
    return structlog.get_logger(part=part)
