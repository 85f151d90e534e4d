"""Entry point: `python -m frostfall` runs one agent; with arguments, it runs the command line."""

import sys

from frostfall.program import main

if __name__ == "__main__":
    if len(sys.argv) > 1:
        # Imported here so that an agent started by the platform does not load the command line.
        from frostfall.cli import main as command

        command(prog_name="frostfall")
    sys.exit(main())
