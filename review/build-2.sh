#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside the agents, after the build of the deploy file.
# The stand-ins are Python and need its standard library alone. Cases 6 and 8 run agents with a section `group`,
# which needs the project's own requirements-group.txt; where it cannot be installed, review/fallback serves.
cd "$(dirname "$0")/.." || exit 1
test -x .venv/bin/python || { echo "run the build command of deploy/balancer.toml first" >&2; exit 1; }
.venv/bin/python -c 'import crc32c' 2>/dev/null || .venv/bin/pip -q install -r requirements-group.txt ||
    echo "requirements-group.txt could not be installed: review/fallback is used" >&2
exec .venv/bin/python -m compileall -q review/standins2 review/6 review/7 review/8 review/9 review/10
