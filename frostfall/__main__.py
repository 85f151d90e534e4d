"""The program: `python -m frostfall`, one agent."""

import os
import signal
import sys

import anyio

from frostfall import config, log
from frostfall.net.agent import Agent


async def serve(agent: Agent) -> str | None:
    """Run the agent until it is told to stop; why it cannot listen, if so."""
    fault: str | None = None
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with anyio.create_task_group() as group:

            async def wait() -> None:
                async for _ in signals:
                    agent.stop()

            group.start_soon(wait)
            try:
                await agent.run()
            except OSError as error:
                fault = error.strerror or str(error)
            group.cancel_scope.cancel()
    return fault


def main() -> int:
    """Read the configuration and serve; what stands in the way is one plain line."""
    try:
        told = config.load(os.environ)
    except config.ConfigError as error:
        sys.stderr.write(f"frostfall: {error}\n")
        return 2
    log.configure(told.log_level, told.name)
    if fault := anyio.run(serve, Agent(told)):
        sys.stderr.write(f"frostfall: listen: {told.listen}: {fault}\n")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
