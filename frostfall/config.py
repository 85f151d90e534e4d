"""Loads and validates an agent's configuration and the operator file; a fault raises ConfigError."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from frostfall import deployment, log
from frostfall import interface as api
from frostfall.json5_locations import find_line, parse_path
from frostfall.limits.options import SlowPeerOptions
from frostfall.options import LoggingOptions, Options
from frostfall.protocol import rollout_messages
from frostfall.protocol.discovery import EndpointListUpdate
from frostfall.settings import SettingsError, decode_settings

MAX_PORT = 65535
MIN_SOCKETS = 64
DEFAULT_NAME = "agent"
DEFAULT_LOG_LEVEL = "info"


class ConfigError(Exception):
    """The configuration is invalid; the message names the faulty key."""


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return `host:port`."""
        return f"{self.host}:{self.port}"


class Limits(msgspec.Struct, frozen=True):
    """The resources of the machine that the agent may use."""

    cores: float = 1.0
    memory_mb: int = 192
    sockets: int = 1024  # maximum of open file descriptors, at least MIN_SOCKETS


@dataclass(frozen=True, slots=True)
class Config:
    """The complete, validated configuration of one agent."""

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
    initial_endpoint_list: EndpointListUpdate
    settings: deployment.Settings
    log_level: str
    options: Options


class _RolloutApi(msgspec.Struct):
    """The address of the rollout API, and the state of the rollout when the file was written."""

    address: str
    news: dict[str, Any] | None = None


class _ConfigFile(msgspec.Struct):
    """The configuration file; its keys are the field names, or `name=` where the key differs."""

    settings: dict[str, Any]
    name: str = ""
    listen: str = ""
    discovery: str = ""
    seed: str | int = 0
    limits: Limits = msgspec.field(default_factory=Limits)
    peer_listen: str = ""
    peers: list[str] = []
    peers_all: str = ""
    rollout_api: _RolloutApi | None = msgspec.field(default=None, name="release_api")
    endpoint_list: EndpointListUpdate = msgspec.field(
        default_factory=lambda: EndpointListUpdate(0, True, []), name="known"
    )


class _OperatorFile(msgspec.Struct, forbid_unknown_fields=True):
    """The operator file.

    The section `group` is validated separately, because its type is imported only if the section is present.
    """

    slow_peers: SlowPeerOptions | None = None
    logging: LoggingOptions = LoggingOptions()
    group: Any = None


@dataclass(frozen=True, slots=True)
class _KeyFault:
    """A fault of one key of the operator file, with the line of the key."""

    line: int
    key: str
    reason: str


def load(environment: Mapping[str, str]) -> Config:
    """Load the files that the environment variables name; ConfigError if one of them is invalid."""
    path = environment.get("BALANCER_CONFIG")
    if not path:
        raise ConfigError("BALANCER_CONFIG: not set; it names the configuration's file")
    operator_path = environment.get("FROSTFALL_OPERATOR")
    options = None
    if operator_path:
        options = parse_operator_file(read_file(operator_path, "FROSTFALL_OPERATOR"), operator_path)
    return parse(read_file(path, "BALANCER_CONFIG"), environment, options)


def read_file(path: str, key: str) -> bytes:
    """Return the content of a file; ConfigError names `key`, the setting that holds the path."""
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise ConfigError(f"{key}: cannot read {path}: {error.strerror}") from None


def parse(text: bytes, environment: Mapping[str, str], options: Options | None = None) -> Config:
    """Parse and validate a JSON configuration; environment variables and defaults supply missing keys."""
    file = _decode_config_file(text)
    settings = _parse_settings(file.settings)
    _check_limits(file.limits)
    peers = _parse_peers(file.peers, settings)
    initial_rollout = _parse_initial_rollout(file.rollout_api)
    name = file.name or environment.get("BALANCER_NAME", DEFAULT_NAME)
    options = options or Options()
    _check_membership(name, options)
    log_level = _parse_log_level(environment)
    config = Config(
        name=name,
        listen=parse_address(file.listen or environment.get("BALANCER_LISTEN", ""), "listen"),
        discovery=parse_address(file.discovery or environment.get("BALANCER_DISCOVERY", ""), "discovery"),
        seed=_parse_seed(file.seed),
        limits=file.limits,
        peer_listen=_parse_optional_address(file.peer_listen, "peer_listen"),
        peers=peers,
        peers_all=_parse_optional_address(file.peers_all, "peers_all"),
        rollout_api=_parse_rollout_api(file.rollout_api),
        initial_rollout=initial_rollout,
        initial_endpoint_list=file.endpoint_list,
        settings=settings,
        log_level=log_level,
        options=options,
    )
    _check_class_names(options, settings)
    return config


def parse_operator_file(text: bytes, name: str) -> Options:
    """Parse and validate a JSON5 operator file; ConfigError names the file, the line and the key."""
    source = _decode_text(text, name)
    content = _decode_json5(source, name)
    try:
        file = msgspec.convert(content, _OperatorFile)
        if file.group is None:
            return Options(slow_peers=file.slow_peers, logging=file.logging)
        # Imported here so that an agent without a group does not load the modules of groups.
        from frostfall.group_options import GroupSection

        group = msgspec.convert({"group": file.group}, GroupSection).group
        return Options(slow_peers=file.slow_peers, logging=file.logging, group=group)
    except msgspec.ValidationError as error:
        fault = _locate_fault(source, str(error))
        raise ConfigError(f"{name}, line {fault.line}: {fault.key}: {fault.reason}") from None


def parse_address(text: str, key: str) -> Address:
    """Parse `host:port`, where the host is an IP address; ConfigError names `key`."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        number = int(port)
    except ValueError:
        raise ConfigError(f"{key}: {text!r} is no IP address and port") from None
    if not 0 < number <= MAX_PORT:
        raise ConfigError(f"{key}: port {number} is out of range")
    return Address(host.strip("[]"), number)


def _decode_config_file(text: bytes) -> _ConfigFile:
    try:
        return msgspec.json.decode(text, type=_ConfigFile)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise ConfigError(f"configuration: {error}") from None


def _parse_settings(content: dict[str, Any]) -> deployment.Settings:
    try:
        settings = decode_settings(content)
    except SettingsError as error:
        raise ConfigError(str(error)) from None
    if not 0 <= settings.agent < settings.agents:
        raise ConfigError(f"settings.ordinal: {settings.agent} is not below nInstances, {settings.agents}")
    if not settings.classes:
        raise ConfigError("settings.grades: there are none")
    for request_class in settings.classes:
        if not 0 < request_class.latency_objective <= request_class.deadline:
            raise ConfigError(
                f"settings.grades: aimUs or deadlineUs of {request_class.name!r} is out of range"
            )
    _check_bounds(settings.limits)
    return settings


def _check_bounds(limits: deployment.Limits) -> None:
    if limits.max_attempts < 1:
        raise ConfigError("settings.bounds.maxAttempts: at least 1 is needed")
    if limits.connect_timeout <= 0:
        raise ConfigError(f"settings.bounds.connectTimeoutUs: {limits.connect_timeout} is out of range")
    if limits.connection_idle_timeout <= 0:
        raise ConfigError(f"settings.bounds.connIdleUs: {limits.connection_idle_timeout} is out of range")


def _check_limits(limits: Limits) -> None:
    if limits.cores <= 0:
        raise ConfigError(f"limits.cores: {limits.cores} is out of range")
    if limits.memory_mb <= 0:
        raise ConfigError(f"limits.memory_mb: {limits.memory_mb} is out of range")
    if limits.sockets < MIN_SOCKETS:
        raise ConfigError(f"limits.sockets: {limits.sockets} is too few, {MIN_SOCKETS} are needed")


def _parse_optional_address(text: str, key: str) -> Address | None:
    return parse_address(text, key) if text else None


def _parse_peers(texts: list[str], settings: deployment.Settings) -> tuple[Address, ...]:
    peers = tuple(parse_address(text, f"peers[{index}]") for index, text in enumerate(texts))
    if peers and len(peers) != settings.agents:
        raise ConfigError(f"peers: {len(peers)} addresses for settings.nInstances {settings.agents}")
    return peers


def _parse_rollout_api(rollout_api: _RolloutApi | None) -> Address | None:
    return parse_address(rollout_api.address, "release_api.address") if rollout_api else None


def _parse_initial_rollout(rollout_api: _RolloutApi | None) -> api.RolloutState | None:
    if rollout_api is None or rollout_api.news is None:
        return None
    state = rollout_messages.parse_state(rollout_api.news, api.VoteReply.NONE)
    if isinstance(state, str):
        raise ConfigError(f"release_api.news: {state}")
    return state


def _parse_seed(value: str | int) -> int:
    try:
        return int(value, 16) if isinstance(value, str) else value
    except ValueError:
        raise ConfigError(f"seed: {value!r} is no hexadecimal number") from None


def _parse_log_level(environment: Mapping[str, str]) -> str:
    level = environment.get("FROSTFALL_LOG", DEFAULT_LOG_LEVEL)
    if level not in log.LEVELS:
        raise ConfigError(f"FROSTFALL_LOG: {level!r} is none of {', '.join(log.LEVELS)}")
    return level


def _check_membership(name: str, options: Options) -> None:
    """Raise ConfigError if a group is configured and the agent is not one of its active members."""
    if options.group and name not in [member.name for member in options.group.active_members]:
        raise ConfigError(f"group.members: {name!r}, this agent's name, is not among those that are not gone")


def _check_class_names(options: Options, settings: deployment.Settings) -> None:
    """Raise ConfigError if the options name a request class that the settings do not define."""
    if options.slow_peers is None:
        return
    class_names = {request_class.name for request_class in settings.classes}
    slow_peers = options.slow_peers
    for side, names in (("clients", slow_peers.clients.classes), ("servers", slow_peers.servers.classes)):
        for name in names:
            if name not in class_names:
                raise ConfigError(f"slow_peers.{side}.classes.{name}: no class of the settings")


def _decode_text(text: bytes, name: str) -> str:
    try:
        return text.decode()
    except UnicodeDecodeError as error:
        raise ConfigError(f"{name}: {error}") from None


def _decode_json5(source: str, name: str) -> Any:
    """Decode a JSON5 text, whose value may be of any type."""
    import json5  # imported here so that an agent without an operator file does not load it

    try:
        return json5.loads(source, allow_duplicate_keys=False, strict=True)
    except RecursionError:
        raise ConfigError(f"{name}: nested too deeply") from None
    except ValueError as error:
        if position := re.match(r"<string>:(\d+) (.*)", str(error), re.DOTALL):
            raise ConfigError(f"{name}, line {position[1]}: {position[2]}") from None
        if duplicate := re.search(r'[Dd]uplicate key "([^"]*)"', str(error)):
            raise ConfigError(f"{name}: {duplicate[1]}: stands twice in one object") from None
        raise ConfigError(f"{name}: {error}") from None


def _locate_fault(source: str, message: str) -> _KeyFault:
    """Extract the key and the reason from the message of a msgspec ValidationError, and find the line."""
    reason, _, path = message.partition(" - at `")
    steps = list(parse_path(path.rstrip("`")))
    checked_key, colon, checked_reason = reason.partition(": ")
    if field := re.search(r"(unknown )?field `([^`]*)`", reason):
        steps.append(field[2])
        reason = "is no key here" if field[1] else "is missing"
    elif colon and checked_key.isidentifier():  # raised by a __post_init__ as `key: reason`
        steps.append(checked_key)
        reason = checked_reason
    return _KeyFault(find_line(source, tuple(steps)), ".".join(steps) or "the file", reason)
