"""Discovery: one watch on the list of appliances, for as long as it goes well."""

from __future__ import annotations

from collections.abc import Callable

import anyio
from anyio.abc import ByteStream

from frostfall import log
from frostfall.config import Address
from frostfall.protocol.listing import CallFailed, Listing, Watch

WAIT_PART = 0.5  # of the time that the settings allow between questions: how long one call waits for news
ANSWER_EXTRA = 2.0  # seconds past that wait: discovery works through calls in turn and gives up as late
CONNECT_TIMEOUT = 1.0  # seconds: a machine that is cut off never accepts
READ_MOST = 64 * 1024  # bytes: what one read takes at most

_log = log.get("discovery")


class Discovery:
    """Runs the watch when asked to; its failure is told, and the next start is the agent's to ask for."""

    def __init__(self, address: Address, since: int, ask_within: int,
                 told: Callable[[Listing], None], failed: Callable[[], None]) -> None:
        """Watch for what is newer than a version."""
        self._address = address
        self._since: int | None = since
        self._wait = max(ask_within / 1e6 * WAIT_PART, 1.0)
        self._told, self._failed = told, failed
        self._asked = anyio.Event()

    def ask(self) -> None:
        """Start the watch; one that runs goes on."""
        self._asked.set()

    async def run(self) -> None:
        """Watch whenever it is asked for."""
        while True:
            await self._asked.wait()
            why = "failed"
            try:
                why = await self._watch()
            except Exception:
                _log.exception("watch failed")
            _log.info("watch ended", why=why)
            self._asked = anyio.Event()
            self._failed()

    async def _watch(self) -> str:
        stream: ByteStream | None = None
        try:
            with anyio.move_on_after(CONNECT_TIMEOUT):
                stream = await anyio.connect_tcp(self._address.host, self._address.port)
            if stream is None:
                return "no connection in time"
            watch = Watch(str(self._address))
            while True:
                answer = await self._call(stream, watch)
                if isinstance(answer, CallFailed):
                    return answer.why
                # Danger: the next call has to be out within 200 ms, whatever the news set off.
                self._since = answer.generation
                self._told(answer)
                if not watch.reusable:
                    await stream.aclose()
                    stream = None
                    with anyio.move_on_after(CONNECT_TIMEOUT):
                        stream = await anyio.connect_tcp(self._address.host, self._address.port)
                    if stream is None:
                        return "no connection in time"
                    watch = Watch(str(self._address))
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            return repr(error)
        finally:
            if stream is not None:
                with anyio.CancelScope(shield=True):
                    await stream.aclose()

    async def _call(self, stream: ByteStream, watch: Watch) -> Listing | CallFailed:
        with anyio.move_on_after(self._wait + ANSWER_EXTRA):
            await stream.send(watch.call(self._since, int(self._wait * 1000)))
            while True:
                try:
                    data = await stream.receive(READ_MOST)
                except anyio.EndOfStream:
                    data = b""
                if (answer := watch.feed(data)) is not None:
                    return answer
        return CallFailed("no answer in time")
