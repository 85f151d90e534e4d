"""The one place where configuration is read, checked and given defaults, the operators' too."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from frostfall import interface as api
from frostfall import log
from frostfall import settings as decoder
from frostfall.json5_locations import find_line, parse_path
from frostfall.options import Options
from frostfall.protocol import news
from frostfall.protocol.listing import Listing


class ConfigError(Exception):
    """The configuration cannot be used; the message names the faulty key."""


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """As it stands in the configuration."""
        return f"{self.host}:{self.port}"


class Limits(msgspec.Struct, frozen=True):
    """What the machine allows."""

    cores: float = 1.0
    memory_mb: int = 192
    sockets: int = 1024


@dataclass(frozen=True, slots=True)
class Config:
    """All that an agent is told."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    limits: Limits
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    rollout_api: Address | None
    initial_rollout: api.RolloutState | None
    initial_endpoint_list: Listing
    settings: api.Settings
    log_level: str
    options: Options


class _Platform(msgspec.Struct):
    address: str
    news: dict[str, Any] | None = None


class _File(msgspec.Struct):
    settings: dict[str, Any]
    name: str = ""
    listen: str = ""
    discovery: str = ""
    seed: str | int = 0
    limits: Limits = msgspec.field(default_factory=Limits)
    peer_listen: str = ""
    peers: list[str] = []
    peers_all: str = ""
    release_api: _Platform | None = None
    known: Listing = msgspec.field(default_factory=lambda: Listing(0, True, []))


def parse_address(text: str, key: str) -> Address:
    """Read `host:port`."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        number = int(port)
    except ValueError:
        raise ConfigError(f"{key}: {text!r} is no IP address and port") from None
    if not 0 < number < 65536:
        raise ConfigError(f"{key}: port {number} is out of range")
    return Address(host.strip("[]"), number)


def _seed(value: str | int) -> int:
    try:
        return int(value, 16) if isinstance(value, str) else value
    except ValueError:
        raise ConfigError(f"seed: {value!r} is no hexadecimal number") from None


def _settings(conf: dict[str, Any]) -> api.Settings:
    try:
        settings = decoder.decode_settings(conf)
    except decoder.SettingsError as error:
        raise ConfigError(str(error)) from None
    if not 0 <= settings.agent < settings.agents:
        raise ConfigError(f"settings.ordinal: {settings.agent} is not below nInstances, {settings.agents}")
    if not settings.classes:
        raise ConfigError("settings.grades: there are none")
    for kind in settings.classes:
        if not 0 < kind.latency_objective <= kind.deadline:
            raise ConfigError(f"settings.grades: aimUs or deadlineUs of {kind.name!r} is out of range")
    if settings.limits.max_attempts < 1:
        raise ConfigError("settings.bounds.maxAttempts: at least 1 is needed")
    for key, value in (
        ("connectTimeoutUs", settings.limits.connect_timeout),
        ("connIdleUs", settings.limits.connection_idle_timeout),
    ):
        if value <= 0:
            raise ConfigError(f"settings.bounds.{key}: {value} is out of range")
    return settings


def _at(text: str, message: str) -> tuple[int, str, str]:
    """The line, the key and what is wrong with it, of a message that msgspec words."""
    what, _, path = message.partition(" - at `")
    way = list(parse_path(path.rstrip("`")))
    inner, colon, rest = what.partition(": ")
    if field := re.search(r"(unknown )?field `([^`]*)`", what):
        way.append(field[2])
        line, what = find_line(text, tuple(way)), "is no key here" if field[1] else "is missing"
    elif colon and inner.isidentifier():  # a check of our own names the key first
        way.append(inner)
        line, what = find_line(text, tuple(way)), rest
    else:
        line = find_line(text, tuple(way))
    return line, ".".join(way) or "the file", what


def parse_operator_file(text: bytes, name: str) -> Options:
    """Check an operator file, JSON5; ConfigError names the file, the line and the key."""
    import json5  # here, as only those who have such a file pay for it

    try:
        source = text.decode()
        raw = json5.loads(source, allow_duplicate_keys=False, strict=True)
    except RecursionError:
        raise ConfigError(f"{name}: nested too deeply") from None
    except ValueError as error:
        where = re.match(r"<string>:(\d+) (.*)", str(error), re.DOTALL)
        if where:
            raise ConfigError(f"{name}, line {where[1]}: {where[2]}") from None
        if again := re.search(r'[Dd]uplicate key "([^"]*)"', str(error)):
            raise ConfigError(f"{name}: {again[1]}: stands twice in one object") from None
        raise ConfigError(f"{name}: {error}") from None
    try:
        told = msgspec.convert(raw, Options)
        if told.group is None:
            return told
        from frostfall.group_options import GroupSection  # as above

        group = msgspec.convert({"group": told.group}, GroupSection).group
        return msgspec.structs.replace(told, group=group)
    except msgspec.ValidationError as error:
        line, key, what = _at(source, str(error))
        raise ConfigError(f"{name}, line {line}: {key}: {what}") from None


def parse(text: bytes, environment: Mapping[str, str], options: Options | None = None) -> Config:
    """Check a configuration and fill in defaults; the environment stands in for what it leaves out."""
    try:
        raw = msgspec.json.decode(text, type=_File)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise ConfigError(f"configuration: {error}") from None
    settings = _settings(raw.settings)
    for key, number in (("cores", raw.limits.cores), ("memory_mb", raw.limits.memory_mb)):
        if number <= 0:
            raise ConfigError(f"limits.{key}: {number} is out of range")
    if raw.limits.sockets < 64:
        raise ConfigError(f"limits.sockets: {raw.limits.sockets} is too few, 64 are needed")
    peers = tuple(parse_address(text, f"peers[{place}]") for place, text in enumerate(raw.peers))
    if peers and len(peers) != settings.agents:
        raise ConfigError(f"peers: {len(peers)} addresses for settings.nInstances {settings.agents}")
    told: api.RolloutState | None = None
    if raw.release_api and raw.release_api.news is not None:
        state = news.read(raw.release_api.news, api.VoteReply.NONE)
        if isinstance(state, str):
            raise ConfigError(f"release_api.news: {state}")
        told = state
    name = raw.name or environment.get("BALANCER_NAME", "agent")
    if options and options.group and name not in [member.name for member in options.group.active_members]:
        raise ConfigError(f"group.members: {name!r}, this agent's name, is not among those that are not gone")
    level = environment.get("FROSTFALL_LOG", "info")
    if level not in log.LEVELS:
        raise ConfigError(f"FROSTFALL_LOG: {level!r} is none of {', '.join(log.LEVELS)}")
    return Config(
        name=name,
        listen=parse_address(raw.listen or environment.get("BALANCER_LISTEN", ""), "listen"),
        discovery=parse_address(raw.discovery or environment.get("BALANCER_DISCOVERY", ""), "discovery"),
        seed=_seed(raw.seed),
        limits=raw.limits,
        peer_listen=parse_address(raw.peer_listen, "peer_listen") if raw.peer_listen else None,
        peers=peers,
        peers_all=parse_address(raw.peers_all, "peers_all") if raw.peers_all else None,
        rollout_api=parse_address(raw.release_api.address, "release_api.address")
        if raw.release_api
        else None,
        initial_rollout=told,
        initial_endpoint_list=raw.known,
        settings=settings,
        log_level=level,
        options=_checked(options or Options(), settings),
    )


def _checked(options: Options, settings: api.Settings) -> Options:
    """The operators' options, which must not name what the settings do not."""
    known = {kind.name for kind in settings.classes}
    if slow := options.slow_peers:
        for side, names in (("clients", slow.clients.classes), ("servers", slow.servers.classes)):
            for name in names:
                if name not in known:
                    raise ConfigError(f"slow_peers.{side}.classes.{name}: no class of the settings")
    return options


def read_file(path: str, key: str) -> bytes:
    """The bytes of a file that `key` names."""
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise ConfigError(f"{key}: cannot read {path}: {error.strerror}") from None


def load(environment: Mapping[str, str]) -> Config:
    """The configuration that the environment points at."""
    path = environment.get("BALANCER_CONFIG")
    if not path:
        raise ConfigError("BALANCER_CONFIG: not set; it names the configuration's file")
    own = environment.get("FROSTFALL_OPERATOR")
    options = parse_operator_file(read_file(own, "FROSTFALL_OPERATOR"), own) if own else None
    return parse(read_file(path, "BALANCER_CONFIG"), environment, options)
