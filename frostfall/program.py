"""The program: one agent that runs until a signal stops it."""

import os
import signal
import sys

import anyio

from frostfall import config, log
from frostfall.net.agent import Agent


async def serve(agent: Agent) -> str | None:
    """Run the agent until SIGTERM or SIGINT; why it cannot listen, if so."""
    fault: str | None = None
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        async with anyio.create_task_group() as task_group:

            async def handle_signals() -> None:
                async for number in signals:
                    if number == signal.SIGHUP:
                        reload(agent)
                    else:
                        agent.stop()

            task_group.start_soon(handle_signals)
            try:
                await agent.run()
            except OSError as error:
                fault = error.strerror or str(error)
            task_group.cancel_scope.cancel()
        # Without the receiver, a SIGHUP would kill a process that is ending by itself.
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    return fault


def reload(agent: Agent) -> None:
    """Adopt the configuration as it is now; an unusable one changes nothing."""
    try:
        agent.reload(config.load(os.environ))
    except config.ConfigError as error:
        log.get_logger("main").error("reload refused", why=str(error))


def main() -> int:
    """Read the configuration and serve; errors go to standard error as one line."""
    # A SIGHUP between reading the configuration and receiving signals would be lost, and with it a change of
    # addresses; so from here on it stays pending until the receiver is up.
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
