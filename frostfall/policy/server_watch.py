"""Parameters of the schedule on which discovery is queried for the list (types: frostfall/interface.py)."""

from frostfall.mechanisms.watch_schedule import WatchParameters

WATCH_PARAMETERS = WatchParameters(
    retry_first=300_000,
    retry_longest=4_000_000,
    retry_shortest=100_000,
    spacing=200_000,
    start_part=5,
)
