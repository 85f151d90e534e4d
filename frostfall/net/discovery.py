"""Discovery: one watch on the list of appliances, for as long as it goes well."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from frostfall import log
from frostfall.config import Address
from frostfall.net.streams import STREAM_ERRORS, Backoff, Stream, open_stream
from frostfall.protocol.listing import CallFailed, Listing, Watch

WAIT_FRACTION = 0.5  # of the time that the settings allow between questions: how long one call waits for news
MAX_WAIT_SECONDS = (
    4.0  # seconds: what a silent watch misses counts as told after six, and a new call needs time
)
RESPONSE_GRACE_SECONDS = (
    1.0  # seconds past that wait: discovery answers in turn; after two, its news counts as told
)
MIN_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS = (
    0.2,
    4.0,
)  # seconds between watches that fail unasked, doubling, with jitter

_log = log.get_logger("discovery")


class DiscoveryClient:
    """Runs the watch when asked to; its failure is told, and the next start is the agent's to ask for."""

    def __init__(
        self,
        address: Address,
        since: int | None,
        watch_renewal_period: int,
        on_list: Callable[[Listing], None],
        on_failure: Callable[[], None],
        auto_restart: bool = False,
    ) -> None:
        """Watch for what is newer than a version; where nobody has to ask, again by itself."""
        self._address = address
        self._since = since
        self._wait = min(max(watch_renewal_period / 1e6 * WAIT_FRACTION, 1.0), MAX_WAIT_SECONDS)
        self._told, self._failed = on_list, on_failure
        self._asked = anyio.Event()
        self._unasked = auto_restart
        self._heard = 0  # answers
        self._watching: anyio.CancelScope | None = None

    def start_watch(self) -> None:
        """Start the watch; one that runs goes on."""
        self._asked.set()

    def set_address(self, address: Address) -> None:
        """Ask at another address from now on, at once and for the whole list."""
        self._address, self._since = address, None
        self._asked.set()
        if self._watching:
            self._watching.cancel()

    async def run(self) -> None:
        """Watch whenever it is asked for."""
        back_off = Backoff(MIN_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS)
        while True:
            if self._unasked:
                self._asked.set()
            await self._asked.wait()
            why, heard = "failed", self._heard
            with anyio.CancelScope() as scope:
                self._watching = scope
                try:
                    why = await self._watch(scope)
                except Exception:
                    _log.exception("watch failed")
                if scope.cancel_called:  # moved: it goes on elsewhere
                    continue
                _log.info("watch ended", why=why)
                self._asked = anyio.Event()
                self._failed()
                if self._unasked:
                    # Danger: outside the scope a move would wait for the rest to end, and pushed lists count
                    # as told meanwhile.
                    await back_off.sleep(self._heard > heard)

    async def _watch(self, scope: anyio.CancelScope) -> str:
        try:
            while True:
                async with open_stream(self._address) as stream:
                    if (why := await self._calls(stream, scope)) is not None:
                        return why
        except (OSError, *STREAM_ERRORS) as error:
            return repr(error)

    async def _calls(self, stream: Stream, scope: anyio.CancelScope) -> str | None:
        """Call after call on one connection; why the watch ended, or None where only the connection did."""
        watch, answered = Watch(str(self._address)), False
        while True:
            answer = await self._call(stream, watch)
            if answer is None:
                # Danger: a watch that has fallen silent has to be opened anew before what it misses counts as
                # told, and a failure that is told waits for the module to ask again.
                return None if answered else "no answer in time"
            if isinstance(answer, CallFailed):
                return answer.why
            answered = True
            # Danger: an answer may be read already as the watch moves. It counts as told, but its version is
            # the old service's, and of the new one the whole list is wanted.
            moved = scope.cancel_called
            if not moved:
                self._since = answer.generation
            self._heard += 1
            # Danger: the next call has to be out within 200 ms, whatever the news set off.
            self._told(answer)
            if moved:
                return "moved"
            if not watch.reusable:
                return None

    async def _call(self, stream: Stream, watch: Watch) -> Listing | CallFailed | None:
        """One call's answer; None where none comes in time."""
        with anyio.move_on_after(self._wait + RESPONSE_GRACE_SECONDS):
            await stream.send(watch.call(self._since, int(self._wait * 1000)))
            while True:
                try:
                    data = await stream.receive()
                except anyio.EndOfStream:
                    data = b""
                if (answer := watch.feed(data)) is not None:
                    return answer
        return None
