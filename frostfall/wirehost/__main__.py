"""Entry point: `python -m frostfall.wirehost`."""

import sys

from frostfall.wirehost.host import main

sys.exit(main(sys.stdin.buffer, sys.stdout.buffer, sys.stderr))
