#!/bin/sh
# Builds what the cases start beside the agents, after the build command of the deploy file. The stand-ins are
# Python files that need the standard library alone; case 2 runs agents with a `group`, which needs the
# project's own requirements-group.txt.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "run the build command of deploy/balancer.toml first" >&2; exit 1; }
.venv/bin/python -c "import crc32c" 2>/dev/null || .venv/bin/pip -q install -r requirements-group.txt
.venv/bin/python - <<'END'
import ast
from pathlib import Path

for path in sorted(Path("review").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
END
