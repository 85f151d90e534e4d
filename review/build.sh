#!/bin/sh
# Builds what the cases start beside the agents, after the build command of the deploy file. The stand-ins are
# Python files that need the standard library alone, so that there is nothing to compile; they are read once.
# Case 2 runs agents with a `group`, which needs the project's own requirements-group.txt. Where that cannot be
# installed, review/fallback has its one function.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "run the build command of deploy/balancer.toml first" >&2; exit 1; }
.venv/bin/python -c "import crc32c" 2>/dev/null || .venv/bin/pip -q install -r requirements-group.txt ||
    echo "requirements-group.txt could not be installed: review/fallback is used" >&2
.venv/bin/python -B - <<'END'
import ast
from pathlib import Path

for path in sorted(Path("review").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
END
