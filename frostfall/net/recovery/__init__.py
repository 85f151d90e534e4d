"""A group member in a running agent: its log, its membership and its readiness, one concern a module.

Only an agent with a group imports this package.
"""

from frostfall.net.recovery.core import Dependencies
from frostfall.net.recovery.member import GroupMember

__all__ = ["Dependencies", "GroupMember"]
