"""The options of the operator file, which supplements the platform's configuration.

Each section, with its defaults, is defined in the package that it configures. If `slow_peers` or `group` is
missing, the feature is off.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from frostfall.limits.options import SlowPeerOptions

if TYPE_CHECKING:  # An agent without a group does not load the modules of groups.
    from frostfall.group_options import GroupOptions


class LoggingOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The log lines that are written in addition to those of the log level."""

    requests: bool = False  # log each step of each request


class Options(msgspec.Struct, frozen=True):
    """The validated content of an operator file; the defaults apply if there is no file."""

    slow_peers: SlowPeerOptions | None = None
    group: GroupOptions | None = None
    logging: LoggingOptions = LoggingOptions()
