"""`python -m frostfall`: one agent; with words behind it, the command line."""

import sys

from frostfall.program import main

if __name__ == "__main__":
    if len(sys.argv) > 1:
        from frostfall.cli import main as command  # what the platform runs pays nothing for it

        command(prog_name="frostfall")
    sys.exit(main())
