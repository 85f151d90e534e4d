"""`frostfall group`: commands with which operators inspect and control the members of a group of agents."""

from __future__ import annotations

import os
import sys
from dataclasses import dataclass
from typing import Any

import click
import msgspec

from frostfall import config
from frostfall.cli.member_report import CommandResult, MemberReport, format_report

HOLD_COMMANDS = ("hold", "lift")

_OPERATOR_OPTION = click.option(
    "--operator",
    envvar="FROSTFALL_OPERATOR",
    required=True,
    type=click.Path(dir_okay=False),
    help="An operator file with a section `group`.",
)
_JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="One JSON object a member.")
_MEMBERS_ARGUMENT = click.argument("members", nargs=-1)
_BY_OPTION = click.option("--by", default=lambda: os.environ.get("USER", "operator"), help="Who says so.")


@dataclass(frozen=True, slots=True)
class _Member:
    """The name and address of a member, from the operator file."""

    name: str
    address: config.Address


@dataclass(frozen=True, slots=True)
class _CommandTargets:
    """The members to which a command is sent, and the secret key that the group shares."""

    shared_key: str
    members: list[_Member]


class _MemberUnreachableError(Exception):
    """A member returned no report; the message gives the reason."""


@click.group()
def group() -> None:
    """See and steer a group of agents by its operator file's section `group`."""


@group.command("put")
@click.option(
    "--operator",
    envvar="FROSTFALL_OPERATOR",
    required=True,
    type=click.Path(dir_okay=False),
    help="An operator file with a section `group` and `agreement`.",
)
@_BY_OPTION
@click.argument("key")
@click.argument("value")
def group_put(operator: str, by: str, key: str, value: str) -> None:
    """Set a key of the register that members keep in common, at whoever leads."""
    targets = _load_targets(operator, ())
    reason = "nobody leads"
    for member in targets.members:
        try:
            fields = _send(member, targets.shared_key, "put", by, register_key=key, value=value)
        except _MemberUnreachableError as error:
            reason = f"{member.name}: not reached: {error}"
            continue
        if fields.get("put"):
            report = msgspec.convert(fields, MemberReport)
            click.echo(
                f"{key}: version {report.register[key].version}, by {member.name} in term {report.term}"
            )
            return
        if fields.get("put") is False:
            reason = (
                f"{member.name} lost the lead, or the key was changed meanwhile; see `frostfall group status`"
            )
    raise click.ClickException(reason)


@group.command("status")
@_OPERATOR_OPTION
@_JSON_OPTION
@_MEMBERS_ARGUMENT
def group_status(operator: str, as_json: bool, members: tuple[str, ...]) -> None:
    """Show each member's gates, what it waits for and why, and how it sees the others."""
    _command_members(operator, members, "status", "", as_json)


@group.command("accept")
@_OPERATOR_OPTION
@_JSON_OPTION
@_BY_OPTION
@click.argument("members", nargs=-1, required=True)
def group_accept(operator: str, as_json: bool, by: str, members: tuple[str, ...]) -> None:
    """Accept that these members' records lack what was lost: what they do not know counts as never run."""
    _command_members(operator, members, "accept", by, as_json)


@group.command("hold")
@_OPERATOR_OPTION
@_JSON_OPTION
@_BY_OPTION
@_MEMBERS_ARGUMENT
def group_hold(operator: str, as_json: bool, by: str, members: tuple[str, ...]) -> None:
    """Hold members' votes on builds, over restarts too, until `lift`."""
    _command_members(operator, members, "hold", by, as_json)


@group.command("lift")
@_OPERATOR_OPTION
@_JSON_OPTION
@_BY_OPTION
@_MEMBERS_ARGUMENT
def group_lift(operator: str, as_json: bool, by: str, members: tuple[str, ...]) -> None:
    """Let members vote again."""
    _command_members(operator, members, "lift", by, as_json)


def _load_targets(operator: str, names: tuple[str, ...]) -> _CommandTargets:
    """Load the named members, or all active members, from the operator file; ClickException on a fault."""
    try:
        options = config.parse_operator_file(config.read_file(operator, "operator"), operator).group
        if options is None:
            raise config.ConfigError(f"{operator}: group: there is no such section")
        members = {
            member.name: _Member(member.name, config.parse_address(member.address, "address"))
            for member in options.active_members
        }
        for name in names:
            if name not in members:
                raise config.ConfigError(f"{name}: no member of {', '.join(members)}")
    except config.ConfigError as error:
        raise click.ClickException(str(error)) from None
    return _CommandTargets(options.key, [members[name] for name in names or members])


def _send(
    member: _Member, shared_key: str, command: str, by: str, *, register_key: str = "", value: str = ""
) -> dict[str, Any]:
    """Send a command to a member and return the fields of its report."""
    # Imported here so that other commands do not load the modules of the member connections.
    import anyio

    from frostfall.net.member_transport import send_operator_command
    from frostfall.net.streams import STREAM_ERRORS
    from frostfall.protocol.authenticated_channel import MemberProtocolError

    try:
        return anyio.run(
            send_operator_command, member.address, shared_key, command, by, register_key, value
        ).fields
    except (OSError, MemberProtocolError, *STREAM_ERRORS) as error:
        raise _MemberUnreachableError(str(error) or type(error).__name__) from error


def _command_members(operator: str, names: tuple[str, ...], command: str, by: str, as_json: bool) -> None:
    """Send a command to members and print their reports; exit with 1 if a member did not complete it."""
    targets = _load_targets(operator, names)
    faults = 0
    for member in targets.members:
        try:
            fields = _send(member, targets.shared_key, command, by)
        except _MemberUnreachableError as error:
            faults += 1
            click.echo(f"{member.name}: not reached: {error}", err=True)
            continue
        # JSON output prints the report unchanged, including fields that only the member's version has.
        text = (
            msgspec.json.encode(fields) if as_json else format_report(msgspec.convert(fields, MemberReport))
        )
        click.echo(text)
        result = msgspec.convert(fields, CommandResult)
        if not result.is_stored:
            faults += 1
            click.echo(f"{member.name}: not on its disk, and gone with the next restart", err=True)
        if command in HOLD_COMMANDS and not result.is_replicated:
            faults += 1
            click.echo(f"{member.name}: on its own disk alone, as too few other members are heard", err=True)
    sys.exit(1 if faults else 0)
