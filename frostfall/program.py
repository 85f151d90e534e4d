"""The main program: runs one agent until a signal stops it."""

import os
import signal
import sys

import anyio

from frostfall import config, log
from frostfall.net.agent import Agent


async def serve(agent: Agent) -> str | None:
    """Run the agent until SIGTERM or SIGINT; return the reason if it cannot listen, else None."""
    fault: str | None = None
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        async with anyio.create_task_group() as task_group:

            async def handle_signals() -> None:
                async for signal_number in signals:
                    if signal_number == signal.SIGHUP:
                        reload(agent)
                    else:
                        agent.stop()

            task_group.start_soon(handle_signals)
            try:
                await agent.run()
            except OSError as error:
                fault = error.strerror or str(error)
            task_group.cancel_scope.cancel()
        # Without the receiver, a SIGHUP would kill a process that is already shutting down.
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    return fault


def reload(agent: Agent) -> None:
    """Reload the configuration from its files; an invalid one is logged and changes nothing."""
    try:
        agent.reload(config.load(os.environ))
    except config.ConfigError as error:
        log.get_logger("main").error("reload refused", why=str(error))


def main() -> int:
    """Load the configuration and run the agent; an error is written to standard error as one line."""
    # SIGHUP stays pending until the signal receiver runs. Otherwise a SIGHUP between reading the
    # configuration and receiving signals would be lost, and with it a change of addresses.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        loaded = config.load(os.environ)
    except config.ConfigError as error:
        sys.stderr.write(f"frostfall: {error}\n")
        return 2
    log.configure(loaded.log_level)
    with log.bind_agent_name(loaded.name):
        fault = anyio.run(serve, Agent(loaded))
    if fault:
        sys.stderr.write(f"frostfall: listen: {loaded.listen}: {fault}\n")
        return 1
    return 0
