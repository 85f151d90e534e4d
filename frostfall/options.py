"""What operators set beyond what the platform tells: the sections of the operator file.

Each section stands with its defaults in the package that goes by it. A section that is left out is switched
off.
"""

from __future__ import annotations

from typing import Any

import msgspec

from frostfall.limits.options import SlowPeerOptions


class Options(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The operator file. Without one, all is as these defaults say: nothing beyond the platform's own."""

    slow_peers: SlowPeerOptions | None = None
    group: Any = None  # a GroupOptions, checked by `config`: who has none does not load what it needs
