"""What operators set on the group of agents: the section `group` of the operator file, with its defaults."""

from __future__ import annotations

import ipaddress
import math
import re

import msgspec

from frostfall.replication.options import ReplicationOptions
from frostfall.storage.options import StorageOptions

_NAME = re.compile(r"[0-9A-Za-z_.:-]{1,64}\Z")
_FIELD = re.compile(r"[A-Za-z_][\w.-]{0,31}\Z", re.ASCII)
MIN_KEY_CHARACTERS = 16  # characters


def _address(text: str, key: str) -> None:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        good = 0 < int(port) < 65536
    except ValueError:
        good = False
    if not good:
        raise ValueError(f"{key}: {text!r} is no IP address and port")


class MemberOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One agent of the group; `zone` and `region` as operators name them."""

    name: str
    address: str
    zone: str = ""
    region: str = ""
    gone: bool = False  # gone for good: no member any more, but what it left at others is still asked for

    def __post_init__(self) -> None:
        """Check the name and the address."""
        if not _NAME.match(self.name):
            raise ValueError(f"name: {self.name!r} is not 1 to 64 letters, digits or _.:-")
        _address(self.address, "address")


class StartupTimeouts(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Seconds after which a start goes on without what it waits for; safety rests on none of them."""

    list: float = 5.0  # for discovery's list; then the remembered one serves
    others: float = 0.5  # for members beyond a majority that has been heard
    group: float = 5.0  # for a majority, before keyed work and votes go on without; unsafe work never does
    ask: float = 0.5  # for the members' word on an operation that a client asks for again

    def __post_init__(self) -> None:
        """Check the range."""
        for name in ("list", "others", "group", "ask"):
            if not 0 < getattr(self, name) < math.inf:
                raise ValueError(f"{name}: {getattr(self, name):g} is not above 0")


class HeartbeatOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How members watch each other."""

    every: float = 0.2  # seconds between two words to each member
    suspect: int = 5  # turns without an answer after which a member is suspected
    gone: int = 25  # and after which it counts as away

    def __post_init__(self) -> None:
        """Check that the figures go together."""
        if not 0.01 <= self.every <= 60:
            raise ValueError(f"every: {self.every:g} is not from 0.01 to 60 seconds")
        if not 1 <= self.suspect < self.gone:
            raise ValueError(f"suspect: {self.suspect} is not from 1 to below gone, {self.gone}")


class GroupOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole section; without it an agent keeps nothing and knows no group."""

    data: str  # the folder that outlives a power loss
    key: str  # shared by all members
    members: tuple[MemberOptions, ...]
    listen: str = ""  # where members reach this agent, if not at its own entry's address
    operation: str = ""  # the comment's field that names an operation; "": the statement's id
    new: bool = False  # the group is being set up: an empty folder is a first start, and no lost one
    retries_marked: bool = False  # operators' word that clients mark every try after an operation's first
    store: StorageOptions = StorageOptions()
    copies: ReplicationOptions | None = None  # without it, an agent's record is on its own disk alone
    agreement: bool = False  # whether members keep a register in common
    turns: HeartbeatOptions = HeartbeatOptions()
    waits: StartupTimeouts = StartupTimeouts()

    def __post_init__(self) -> None:
        """Check that the figures go together."""
        if not self.data:
            raise ValueError("data: no folder is named")
        if len(self.key) < MIN_KEY_CHARACTERS:
            raise ValueError(f"key: {len(self.key)} characters are too few, {MIN_KEY_CHARACTERS} are needed")
        if not self.members:
            raise ValueError("members: there are none")
        names = [member.name for member in self.members]
        for place, name in enumerate(names):
            if name in names[:place]:
                raise ValueError(f"members: {name!r} stands twice")
        addresses = [member.address for member in self.members]
        for place, each in enumerate(addresses):
            if each in addresses[:place]:
                raise ValueError(f"members: address {each} stands twice")
        if self.listen:
            _address(self.listen, "listen")
        if not self.active_members:
            raise ValueError("members: all of them are gone")
        if self.copies and len(self.active_members) <= self.copies.acknowledged:
            raise ValueError(
                f"copies: {self.copies.acknowledged} other members are to acknowledge, "
                f"and there are {len(self.active_members) - 1}"
            )
        if self.operation and not _FIELD.match(self.operation):
            raise ValueError(f"operation: {self.operation!r} is no name of a comment's field")

    @property
    def active_members(self) -> tuple[MemberOptions, ...]:
        """The members that are not gone for good."""
        return tuple(member for member in self.members if not member.gone)


class GroupSection(msgspec.Struct, frozen=True):
    """The section under its name, so that faults name the whole way to a key."""

    group: GroupOptions
