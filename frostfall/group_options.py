"""The options of a group of agents: the section `group` of the operator file, with its defaults."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Iterable

import msgspec

from frostfall.membership.options import HeartbeatOptions
from frostfall.recovery.options import StartupTimeouts
from frostfall.replication.options import ReplicationOptions
from frostfall.storage.options import StorageOptions

MIN_KEY_CHARACTERS = 16
MAX_PORT = 65_535

_MEMBER_NAME = re.compile(r"[0-9A-Za-z_.:-]{1,64}\Z")
_COMMENT_FIELD = re.compile(r"[A-Za-z_][\w.-]{0,31}\Z", re.ASCII)


def _check_address(text: str, *, key: str) -> None:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        valid = 0 < int(port) <= MAX_PORT
    except ValueError:
        valid = False
    if not valid:
        raise ValueError(f"{key}: {text!r} is no IP address and port")


def _first_duplicate(values: Iterable[str]) -> str | None:
    seen: set[str] = set()
    for value in values:
        if value in seen:
            return value
        seen.add(value)
    return None


class MemberOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One member of the group; operators choose the names of `zone` and `region`."""

    name: str
    address: str
    zone: str = ""
    region: str = ""
    gone: bool = False  # removed permanently; replicas of its records are still read

    def __post_init__(self) -> None:
        """Validate the name and the address; ValueError names the key."""
        if not _MEMBER_NAME.match(self.name):
            raise ValueError(f"name: {self.name!r} is not 1 to 64 letters, digits or _.:-")
        _check_address(self.address, key="address")


class GroupOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The section `group`; an agent without it stores nothing and belongs to no group."""

    data: str  # the directory of the write-ahead log, which survives a power loss
    key: str  # the secret that all members share
    members: tuple[MemberOptions, ...]
    listen: str = ""  # the address to listen on; "": the address of this agent's entry in `members`
    operation: str = ""  # the field of the SQL comment that names an operation; "": the statement's id
    new: bool = False  # the group is being set up, so an empty directory means a first start, not a data loss
    retries_marked: bool = False  # clients mark every attempt of an operation but the first as a retry
    store: StorageOptions = StorageOptions()
    copies: ReplicationOptions | None = None  # None: a member's records are stored on its own disk only
    agreement: bool = False  # members maintain a common register by consensus (Raft)
    turns: HeartbeatOptions = HeartbeatOptions()  # heartbeats and failure detection
    waits: StartupTimeouts = StartupTimeouts()  # timeouts of the stages of a start

    def __post_init__(self) -> None:
        """Validate the options and their combination; ValueError names the key."""
        if not self.data:
            raise ValueError("data: no folder is named")
        if len(self.key) < MIN_KEY_CHARACTERS:
            raise ValueError(f"key: {len(self.key)} characters are too few, {MIN_KEY_CHARACTERS} are needed")
        self._check_members()
        if self.listen:
            _check_address(self.listen, key="listen")
        self._check_active_members()
        if self.operation and not _COMMENT_FIELD.match(self.operation):
            raise ValueError(f"operation: {self.operation!r} is no name of a comment's field")

    def _check_members(self) -> None:
        if not self.members:
            raise ValueError("members: there are none")
        if name := _first_duplicate(member.name for member in self.members):
            raise ValueError(f"members: {name!r} stands twice")
        if address := _first_duplicate(member.address for member in self.members):
            raise ValueError(f"members: address {address} stands twice")

    def _check_active_members(self) -> None:
        if not self.active_members:
            raise ValueError("members: all of them are gone")
        if self.copies and len(self.active_members) <= self.copies.acknowledged:
            raise ValueError(
                f"copies: {self.copies.acknowledged} other members are to acknowledge, "
                f"and there are {len(self.active_members) - 1}"
            )

    @property
    def active_members(self) -> tuple[MemberOptions, ...]:
        """The members that are not marked as `gone`."""
        return tuple(member for member in self.members if not member.gone)


class GroupSection(msgspec.Struct, frozen=True):
    """An object that holds the section under its key, so that errors name the full path of a key."""

    group: GroupOptions
