"""Entry point: `python -m frostfall.simulator`."""

import sys

from frostfall.simulator.host import main

sys.exit(main(sys.stdin.buffer, sys.stdout.buffer, sys.stderr))
