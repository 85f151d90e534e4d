"""Client of the discovery service, which watches the endpoint list with long polls."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from frostfall import log
from frostfall.config import Address
from frostfall.interface import WatchInterruption
from frostfall.net.streams import STREAM_ERRORS, Backoff, Stream, open_stream
from frostfall.protocol.discovery import EndpointListUpdate, RequestFailed, Watch

WAIT_FRACTION = 0.5  # share of the watch renewal period that one call waits for a change
MAX_WAIT_SECONDS = 4.0  # leaves time for a new call before a silent watch counts as failed, after 6 seconds
# Time for the response after the wait; after 2 seconds the response counts as late.
RESPONSE_GRACE_SECONDS = 1.0
# Minimum timeout of the first response on a connection, which may be queued while many clients connect.
FIRST_CALL_SECONDS = 5.0
CONFIRMING_WAIT_SECONDS = 0.2  # time that a call waits for a change if its answer is to renew the lease
MIN_BACKOFF_SECONDS = 0.2  # delay before a failed watch restarts automatically
MAX_BACKOFF_SECONDS = 4.0

_log = log.get_logger("discovery")


class DiscoveryClient:
    """Runs one watch at a time; after a failure the next watch starts on request, or automatically."""

    def __init__(
        self,
        address: Address,
        since: int | None,
        watch_renewal_period: int,
        on_endpoint_list: Callable[[EndpointListUpdate], None],
        on_failure: Callable[[], None],
        auto_restart: bool = False,
        on_interruption: Callable[[WatchInterruption], None] = lambda reason: None,
        on_time: Callable[[int], None] = lambda time: None,
        before_answer: Callable[[], None] = lambda: None,
    ) -> None:
        """Create a client for endpoint lists newer than generation `since`.

        `watch_renewal_period` is in microseconds. `on_interruption` is called when a continuing watch may
        have missed changes. `on_time` is called before `on_endpoint_list` if the answer contains the time,
        with microseconds of Unix time. `before_answer` is called before an answer is processed, and the
        answer is discarded if `before_answer` calls `confirm`.
        """
        self._address = address
        self._since = since
        self._wait_seconds = min(max(watch_renewal_period / 1e6 * WAIT_FRACTION, 1.0), MAX_WAIT_SECONDS)
        self._on_endpoint_list = on_endpoint_list
        self._on_failure = on_failure
        self._on_interruption = on_interruption
        self._on_time = on_time
        self._before_answer = before_answer
        # True if the open call began before a pause of the process, so that its answer must be discarded.
        self._is_open_call_outdated = False
        # True if the next call has to be answered soon, even if nothing has changed. This includes the first
        # call: until its answer the configured endpoint list is unconfirmed, and peers are polled in each
        # gossip slot.
        self._wants_early_answer = True
        self._auto_restart = auto_restart
        self._requested = anyio.Event()
        self._answer_count = 0
        self._watch_scope: anyio.CancelScope | None = None

    def start_watch(self) -> None:
        """Start the watch if it is not running."""
        self._requested.set()

    def set_address(self, address: Address) -> None:
        """Restart the watch at another address, beginning with the complete endpoint list."""
        self._address, self._since = address, None
        self._requested.set()
        if self._watch_scope:
            self._watch_scope.cancel()
        self._on_interruption(WatchInterruption.MOVED)

    def confirm(self) -> None:
        """Replace the open call after a pause of the process by a new call that is answered soon."""
        # The response to the open call may be as old as the pause, and no later change is sent on that call.
        self._wants_early_answer = True
        self._is_open_call_outdated = True
        self._requested.set()
        if self._watch_scope:
            self._watch_scope.cancel()
        self._on_interruption(WatchInterruption.PAUSED)

    async def run(self) -> None:
        """Run a watch whenever requested, until cancelled."""
        backoff = Backoff(MIN_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS)
        while True:
            if self._auto_restart:
                self._requested.set()
            await self._requested.wait()
            reason, answers_before = "failed", self._answer_count
            with anyio.CancelScope() as scope:
                self._watch_scope = scope
                self._is_open_call_outdated = False
                try:
                    reason = await self._watch(scope)
                except Exception:  # task boundary: the next watch may succeed
                    _log.exception("watch failed")
                if scope.cancel_called:  # the address has changed, or a new call was requested
                    continue
                _log.info("watch ended", why=reason)
                self._requested = anyio.Event()
                self._on_failure()
                if self._auto_restart:
                    # Inside the scope, so that a new address ends the backoff.
                    await backoff.sleep(self._answer_count > answers_before)

    async def _watch(self, scope: anyio.CancelScope) -> str:
        """Watch until a failure; return the reason."""
        try:
            while True:
                async with open_stream(self._address) as stream:
                    if (reason := await self._run_calls(stream, scope)) is not None:
                        return reason
        except (OSError, *STREAM_ERRORS) as error:
            return repr(error)

    async def _run_calls(self, stream: Stream, scope: anyio.CancelScope) -> str | None:
        """Make calls on one connection.

        Returns the reason if the watch ended, or None if only the connection ended.
        """
        watch = Watch(str(self._address))
        timeout = max(self._wait_seconds + RESPONSE_GRACE_SECONDS, FIRST_CALL_SECONDS)
        while True:
            answer = await self._call(stream, watch, timeout)
            timeout = self._wait_seconds + RESPONSE_GRACE_SECONDS
            if answer is None:
                # A silent watch is reopened immediately. Reporting a failure would delay the watch until the
                # next request, while changes missed until then would count as received. Since a silence
                # lasts several seconds, reopening does not increase the rate of calls to discovery.
                self._wants_early_answer = True
                _log.info("watch silent")
                self._on_interruption(WatchInterruption.SILENT)
                return None
            self._before_answer()
            if self._is_open_call_outdated:
                # Cancelling the scope does not end a call whose answer has already been read.
                return "process stopped"
            self._wants_early_answer = False
            if isinstance(answer, RequestFailed):
                return answer.reason
            # The answer may have been read just before the address changed. It is still processed, but its
            # generation belongs to the old service; the complete list is requested from the new service.
            address_changed = scope.cancel_called
            if not address_changed:
                self._since = answer.generation
            self._answer_count += 1
            if watch.answered_at is not None:
                self._on_time(watch.answered_at)
            self._on_endpoint_list(answer)  # the next call has to be sent within 200 ms of the answer
            if self._is_open_call_outdated:  # the pause was detected while this answer renewed the lease
                self._on_interruption(WatchInterruption.PAUSED)
                return "process stopped"
            if address_changed:
                return "moved"
            if not watch.reusable:
                return None

    async def _call(
        self, stream: Stream, watch: Watch, timeout: float
    ) -> EndpointListUpdate | RequestFailed | None:
        """Make one call; return its answer, or None if no answer arrives within `timeout` seconds."""
        # After a silent call an early answer renews the lease, even if nothing has changed.
        wait_seconds = CONFIRMING_WAIT_SECONDS if self._wants_early_answer else self._wait_seconds
        with anyio.move_on_after(timeout):
            await stream.send(watch.encode_request(self._since, int(wait_seconds * 1000)))
            while True:
                try:
                    data = await stream.receive()
                except anyio.EndOfStream:
                    data = b""
                if (answer := watch.feed(data)) is not None:
                    return answer
        return None
