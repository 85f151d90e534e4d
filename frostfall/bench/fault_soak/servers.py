"""Stand-in servers, which record every attempt that they receive completely, and inject faults."""

from __future__ import annotations

import re
from enum import Enum
from time import monotonic

import anyio

from frostfall.bench.fault_soak.records import AttemptRecord
from frostfall.bench.peers import WELCOME, Reader, row, value_for
from frostfall.net.streams import STREAM_ERRORS, Stream
from frostfall.protocol import pg

_ID = re.compile(rb"id=([0-9A-Za-z_.:-]+)")
_SIZE = re.compile(rb"ref = 'size-(\d+)'")
LATE_SECONDS = 0.8
SECOND_ANSWER_SECONDS = 0.003
# On a busy machine this process may wake up later; by the protocol, a second answer that arrives then
# belongs to the next query, so none is sent after this time.
LATEST_SECOND_ANSWER_SECONDS = 0.012
PIECE_COUNT = 5


class ServerMode(Enum):
    """The way in which a server answers."""

    USUAL = "usual"
    HANGS = "hangs"
    LATE = "late"
    TWICE = "twice"
    PIECES = "pieces"
    RESETS = "resets"
    FULL = "full"


class StandInServer:
    """One server; all servers share `attempts`."""

    def __init__(self, name: str, delay: float, attempts: list[AttemptRecord]) -> None:
        """Answer each query after `delay` seconds."""
        self.name = name
        self.mode = ServerMode.USUAL
        self._delay = delay
        self._attempts = attempts
        self._idle: set[Stream] = set()
        self._recovered = anyio.Event()

    async def play(self, mode: ServerMode, seconds: float) -> None:
        """Answer according to `mode` for some seconds."""
        self.mode = mode
        await anyio.sleep(seconds)
        self.mode = ServerMode.USUAL
        self._recovered.set()
        self._recovered = anyio.Event()

    def close_idle(self) -> None:
        """Close all connections without an open query."""
        for stream in list(self._idle):
            stream.close()

    async def serve(self, stream: Stream) -> None:
        """Serve one connection to its end."""
        reader = Reader(stream)
        try:
            await reader.startup()
            await stream.send(WELCOME)
            while True:
                self._idle.add(stream)
                kind, payload = await reader.message()
                self._idle.discard(stream)
                if kind != b"Q":
                    return
                if not await self._answer_query(stream, payload[:-1]):
                    return
        except (*STREAM_ERRORS, OSError, ValueError):  # closed by `close_idle` during the wait for a message
            pass
        finally:
            self._idle.discard(stream)

    async def _answer_query(self, stream: Stream, statement: bytes) -> bool:
        """Answer one query; return False if the connection has to be closed."""
        match, size = _ID.search(statement), _SIZE.search(statement)
        request_id = match[1].decode() if match else ""
        mode = self.mode
        ran = mode is not ServerMode.FULL
        self._attempts.append(AttemptRecord(request_id, self.name, monotonic(), ran))
        if mode is ServerMode.FULL:
            await stream.send(pg.error_response("ERROR", "53300", "full") + pg.READY_FOR_QUERY)
            return True
        if mode is ServerMode.RESETS:
            stream.reset_on_close()
            return False
        await anyio.sleep(self._delay + (LATE_SECONDS if mode is ServerMode.LATE else 0.0))
        while self.mode is ServerMode.HANGS:
            await self._recovered.wait()
        answer = row(value_for(request_id, int(size[1]) if size else 100)) + pg.READY_FOR_QUERY
        if mode is ServerMode.PIECES:
            step = len(answer) // PIECE_COUNT + 1
            for start in range(0, len(answer), step):
                await stream.send(answer[start : start + step])
                await anyio.sleep(0.005)
            return True
        await stream.send(answer)
        if mode is ServerMode.TWICE:
            sent_at = monotonic()
            await anyio.sleep(SECOND_ANSWER_SECONDS)
            if monotonic() - sent_at < LATEST_SECOND_ANSWER_SECONDS:
                await stream.send(answer)
        return True
