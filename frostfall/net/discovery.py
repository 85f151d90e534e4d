"""The client of the discovery service: long polls for the endpoint list, one watch after the other."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from frostfall import log
from frostfall.config import Address
from frostfall.interface import WatchInterruption
from frostfall.net.streams import STREAM_ERRORS, Backoff, Stream, open_stream
from frostfall.protocol.discovery import EndpointListUpdate, RequestFailed, Watch

WAIT_FRACTION = 0.5  # of the time that the settings allow between polls: how long one call waits for a change
MAX_WAIT_SECONDS = 4.0  # a silent watch counts as failed after six seconds, and a new call needs some of them
RESPONSE_GRACE_SECONDS = 1.0  # past that wait, for the response; after two seconds it counts as late
FIRST_CALL_SECONDS = (
    5.0  # at least, for the first response on a connection: it may wait for its turn in a crowd
)
CONFIRMING_WAIT_SECONDS = 0.2  # that a call whose answer renews the lease waits for a change
MIN_BACKOFF_SECONDS = 0.2  # between watches that fail and restart by themselves
MAX_BACKOFF_SECONDS = 4.0

_log = log.get_logger("discovery")


class DiscoveryClient:
    """Runs one watch at a time; after a failure the next starts on request, or by itself."""

    def __init__(
        self,
        address: Address,
        since: int | None,
        watch_renewal_period: int,
        on_list: Callable[[EndpointListUpdate], None],
        on_failure: Callable[[], None],
        auto_restart: bool = False,
        on_interruption: Callable[[WatchInterruption], None] = lambda reason: None,
        on_time: Callable[[int], None] = lambda time: None,
        before_answer: Callable[[], None] = lambda: None,
    ) -> None:
        """Watch for what is newer than generation `since`; `watch_renewal_period` is in microseconds.

        `on_interruption` is called when a watch that goes on may have missed changes, `on_time` before a list
        whose answer tells the time, with microseconds of Unix time. `before_answer` is called before an
        answer that was read counts; where it calls `confirm`, that answer does not.
        """
        self._address = address
        self._since = since
        self._wait_seconds = min(max(watch_renewal_period / 1e6 * WAIT_FRACTION, 1.0), MAX_WAIT_SECONDS)
        self._on_list = on_list
        self._on_failure = on_failure
        self._on_interruption = on_interruption
        self._on_time = on_time
        self._before_answer = before_answer
        self._is_open_call_outdated = False  # began before a stop of the process: its answer is not to count
        # Whether the next call is to be answered soon, also where nothing has changed. So is the first one:
        # until then nobody vouches for the list of the configuration, and peers are asked in each turn.
        self._wants_answer = True
        self._auto_restart = auto_restart
        self._requested = anyio.Event()
        self._answer_count = 0
        self._watching: anyio.CancelScope | None = None

    def start_watch(self) -> None:
        """Start the watch; no effect on one that runs."""
        self._requested.set()

    def set_address(self, address: Address) -> None:
        """Watch at another address from now on, at once and beginning with the complete list."""
        self._address, self._since = address, None
        self._requested.set()
        if self._watching:
            self._watching.cancel()
        self._on_interruption(WatchInterruption.MOVED)

    def confirm(self) -> None:
        """Call anew at once, to be answered soon: after a stop of the process the open call is not enough."""
        # What was written to the open call may be as old as the stop, and no further change is written to it.
        self._wants_answer = True
        self._is_open_call_outdated = True
        self._requested.set()
        if self._watching:
            self._watching.cancel()
        self._on_interruption(WatchInterruption.PAUSED)

    async def run(self) -> None:
        """Watch whenever it is requested."""
        backoff = Backoff(MIN_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS)
        while True:
            if self._auto_restart:
                self._requested.set()
            await self._requested.wait()
            why, answers_before = "failed", self._answer_count
            with anyio.CancelScope() as scope:
                self._watching = scope
                self._is_open_call_outdated = False
                try:
                    why = await self._watch(scope)
                except Exception:  # a task boundary: the next watch may go better
                    _log.exception("watch failed")
                if scope.cancel_called:  # the address has changed, or an answer is wanted now
                    continue
                _log.info("watch ended", why=why)
                self._requested = anyio.Event()
                self._on_failure()
                if self._auto_restart:
                    # Inside the scope, so that a new address need not wait for the end of the pause.
                    await backoff.sleep(self._answer_count > answers_before)

    async def _watch(self, scope: anyio.CancelScope) -> str:
        """Watch until it fails; the reason."""
        try:
            while True:
                async with open_stream(self._address) as stream:
                    if (why := await self._run_calls(stream, scope)) is not None:
                        return why
        except (OSError, *STREAM_ERRORS) as error:
            return repr(error)

    async def _run_calls(self, stream: Stream, scope: anyio.CancelScope) -> str | None:
        """Call after call on one connection; why the watch ended, or None where only the connection did."""
        watch = Watch(str(self._address))
        limit = max(self._wait_seconds + RESPONSE_GRACE_SECONDS, FIRST_CALL_SECONDS)
        while True:
            answer = await self._call(stream, watch, limit)
            limit = self._wait_seconds + RESPONSE_GRACE_SECONDS
            if answer is None:
                # A watch that has fallen silent is opened anew at once: a failure would wait for the next
                # request to watch, and what was missed meanwhile counts as received. Its silence has lasted
                # for seconds, so that discovery is not called more often for that.
                self._wants_answer = True
                _log.info("watch silent")
                self._on_interruption(WatchInterruption.SILENT)
                return None
            self._before_answer()
            if self._is_open_call_outdated:
                # A call whose answer has been read is not ended by its cancelled scope any more.
                return "process stopped"
            self._wants_answer = False
            if isinstance(answer, RequestFailed):
                return answer.reason
            # The answer may have been read just as the address changed. It still counts, but its generation
            # is the old service's, and of the new one the complete list is wanted.
            moved = scope.cancel_called
            if not moved:
                self._since = answer.generation
            self._answer_count += 1
            if watch.answered_at is not None:
                self._on_time(watch.answered_at)
            self._on_list(answer)  # the next call has to go out within 200 ms of the answer
            if self._is_open_call_outdated:  # the stop was noticed by this answer's own event, which renewed
                self._on_interruption(WatchInterruption.PAUSED)
                return "process stopped"
            if moved:
                return "moved"
            if not watch.reusable:
                return None

    async def _call(
        self, stream: Stream, watch: Watch, limit: float
    ) -> EndpointListUpdate | RequestFailed | None:
        """One call's answer; None where none comes within so many seconds."""
        # After a silent call an answer is wanted soon, also where nothing has changed: it renews the lease.
        wait_seconds = CONFIRMING_WAIT_SECONDS if self._wants_answer else self._wait_seconds
        with anyio.move_on_after(limit):
            await stream.send(watch.encode_request(self._since, int(wait_seconds * 1000)))
            while True:
                try:
                    data = await stream.receive()
                except anyio.EndOfStream:
                    data = b""
                if (answer := watch.feed(data)) is not None:
                    return answer
        return None
