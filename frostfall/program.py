"""The program: one agent, until it is told to stop."""

import os
import signal
import sys

import anyio

from frostfall import config, log
from frostfall.net.agent import Agent


async def serve(agent: Agent) -> str | None:
    """Run the agent until it is told to stop; why it cannot listen, if so."""
    fault: str | None = None
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        async with anyio.create_task_group() as group:

            async def wait() -> None:
                async for number in signals:
                    if number == signal.SIGHUP:
                        reload(agent)
                    else:
                        agent.stop()

            group.start_soon(wait)
            try:
                await agent.run()
            except OSError as error:
                fault = error.strerror or str(error)
            group.cancel_scope.cancel()
        # Danger: with the receiver gone a SIGHUP would end a process that is ending by itself, with a fault.
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    return fault


def reload(agent: Agent) -> None:
    """Take over the configuration as it is now; one that cannot be used changes nothing."""
    try:
        agent.reload(config.load(os.environ))
    except config.ConfigError as error:
        log.get_logger("main").error("reload refused", why=str(error))


def main() -> int:
    """Read the configuration and serve; what stands in the way is one plain line."""
    # Danger: a SIGHUP between the reading and the receiver would be lost, and with it the move that it tells
    # of; from here on it waits for the receiver.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        told = config.load(os.environ)
    except config.ConfigError as error:
        sys.stderr.write(f"frostfall: {error}\n")
        return 2
    log.configure(told.log_level)
    with log.bind_agent_name(told.name):
        fault = anyio.run(serve, Agent(told))
    if fault:
        sys.stderr.write(f"frostfall: listen: {told.listen}: {fault}\n")
        return 1
    return 0
