"""The operator file's options, beyond the platform's configuration.

Each section is defined, with its defaults, in the package that it configures. A section that is left out
switches its feature off.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from frostfall.limits.options import SlowPeerOptions

if TYPE_CHECKING:  # an agent without a group does not load its modules
    from frostfall.group_options import GroupOptions


class LoggingOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the log holds beyond its level."""

    requests: bool = False  # a line for each step of each request


class Options(msgspec.Struct, frozen=True):
    """The checked content of an operator file; the defaults stand for none."""

    slow_peers: SlowPeerOptions | None = None
    group: GroupOptions | None = None
    logging: LoggingOptions = LoggingOptions()
