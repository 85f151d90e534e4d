"""Parameters of the schedule on which discovery is queried for the list (types: frostfall/interface.py)."""

from frostfall.mechanisms.watch_schedule import WatchParameters

WATCH_PARAMETERS = WatchParameters(
    initial_retry_delay=300_000,
    max_retry_delay=4_000_000,
    min_retry_delay=100_000,
    call_spacing=200_000,
    initial_spread_divisor=5,
)
