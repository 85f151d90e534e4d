"""A group member in a running agent: its log, its membership and its readiness.

Each module covers one concern. Only agents in a group import this package.
"""

from frostfall.net.recovery.core import Dependencies
from frostfall.net.recovery.member import GroupMember

__all__ = ["Dependencies", "GroupMember"]
