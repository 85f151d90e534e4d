"""Hosts agents for the simulator: reads batches, handles events in order, writes one reply per batch."""

from __future__ import annotations

from typing import BinaryIO, TextIO

from frostfall.engine.policy_engine import PolicyEngine
from frostfall.settings import SettingsError, decode_settings
from frostfall.simulator import codec
from frostfall.simulator import messages as wire

BATCH_REPLIED = b'{"verb":"finished"}\n'
# The name of an earlier package, kept because readers of standard error know the line by this prefix.
ERROR_PREFIX = "frostfall.wirehost"
EXIT_BROKEN_PIPE = 1
EXIT_MALFORMED_INPUT = 2


class Host:
    """All agents of this process; they share only the numbered server lists."""

    def __init__(self) -> None:
        """Create a host without agents and server lists."""
        self._engines: dict[int, PolicyEngine] = {}
        self._server_lists: codec.ServerLists = {}

    def handle(self, now: int, message: wire.Line) -> list[bytes]:
        """Handle one message at `now` (microseconds) and return the lines of the reply.

        WireError or SettingsError reports an invalid message.
        """
        match message:
            case wire.ServerListDefined():
                self._server_lists[message.server_list] = codec.decode_servers(message.servers)
                return []
            case wire.AgentStarted():
                engine = PolicyEngine(decode_settings(message.settings), message.seed)
                self._engines[message.agent] = engine
                actions = engine.start(now)
            case wire.AgentKilled():
                self._engines.pop(message.agent, None)
                return []
            case wire.BatchStarted() | wire.BatchEnded():
                raise codec.WireError("a batch begins inside another")
            case _:
                running = self._engines.get(message.agent)
                if running is None:
                    raise codec.WireError(f"event for agent {message.agent}, which has not started")
                actions = running.handle(now, codec.decode_event(message, self._server_lists))
        lines = (codec.encode_action(message.agent, action) for action in actions)
        return [line for line in lines if line is not None]


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Reply to batches until the input ends; WireError names the faulty line."""
    host = Host()
    now: int | None = None  # the time of the open batch, in microseconds; None between batches
    reply: list[bytes] = []
    line_number = 0
    for line_number, line in enumerate(source, start=1):
        if not line.strip():
            continue
        try:
            message = codec.decode_line(line)
            if now is None:
                if not isinstance(message, wire.BatchStarted):
                    raise codec.WireError("the first line of a batch must be its clock")
                now = message.time
            elif isinstance(message, wire.BatchEnded):
                sink.write(b"".join(reply_line + b"\n" for reply_line in reply) + BATCH_REPLIED)
                sink.flush()
                now, reply = None, []
            else:
                reply += host.handle(now, message)
        except (codec.WireError, SettingsError) as error:
            raise codec.WireError(f"line {line_number}: {error}") from error
    if now is not None:
        raise codec.WireError(f"line {line_number}: input ended inside a batch")


def main(source: BinaryIO, sink: BinaryIO, errors: TextIO) -> int:
    """Serve until the input ends; malformed input ends in one line on standard error and exit code 2."""
    try:
        serve(source, sink)
    except codec.WireError as error:
        errors.write(f"{ERROR_PREFIX}: {error}\n".replace("\n", " ").strip() + "\n")
        return EXIT_MALFORMED_INPUT
    except BrokenPipeError:
        return EXIT_BROKEN_PIPE
    return 0
