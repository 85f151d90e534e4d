"""`frostfall group`: operators' commands to the members of a group of agents."""

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

_OPERATOR = click.option(
    "--operator",
    envvar="FROSTFALL_OPERATOR",
    required=True,
    type=click.Path(dir_okay=False),
    help="An operator file with a section `group`.",
)
_JSON = click.option("--json", "as_json", is_flag=True, help="One JSON object a member.")
_MEMBERS = click.argument("members", nargs=-1)
_BY = click.option("--by", default=lambda: os.environ.get("USER", "operator"), help="Who says so.")


@dataclass(frozen=True, slots=True)
class _Member:
    """A member of the group, as the operator file has it."""

    name: str
    address: config.Address


@dataclass(frozen=True, slots=True)
class _Targets:
    """The members to which a command goes, and the key that the group shares."""

    shared_key: str
    members: list[_Member]


class _MemberNotReachedError(Exception):
    """A member gave no report; the message says why."""


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
@_BY
@click.argument("key")
@click.argument("value")
def group_put(operator: str, by: str, key: str, value: str) -> None:
    """Set a key of the register that members keep in common, at whoever leads."""
    targets = _targets(operator, ())
    reason = "nobody leads"
    for member in targets.members:
        try:
            fields = _send(member, targets.shared_key, "put", by, register_key=key, value=value)
        except _MemberNotReachedError as error:
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
@_OPERATOR
@_JSON
@_MEMBERS
def group_status(operator: str, as_json: bool, members: tuple[str, ...]) -> None:
    """Show each member's gates, what it waits for and why, and how it sees the others."""
    _command_members(operator, members, "status", "", as_json)


@group.command("accept")
@_OPERATOR
@_JSON
@_BY
@click.argument("members", nargs=-1, required=True)
def group_accept(operator: str, as_json: bool, by: str, members: tuple[str, ...]) -> None:
    """Accept that these members' records lack what was lost: what they do not know counts as never run."""
    _command_members(operator, members, "accept", by, as_json)


@group.command("hold")
@_OPERATOR
@_JSON
@_BY
@_MEMBERS
def group_hold(operator: str, as_json: bool, by: str, members: tuple[str, ...]) -> None:
    """Hold members' votes on builds, over restarts too, until `lift`."""
    _command_members(operator, members, "hold", by, as_json)


@group.command("lift")
@_OPERATOR
@_JSON
@_BY
@_MEMBERS
def group_lift(operator: str, as_json: bool, by: str, members: tuple[str, ...]) -> None:
    """Let members vote again."""
    _command_members(operator, members, "lift", by, as_json)


def _targets(operator: str, names: tuple[str, ...]) -> _Targets:
    """The members of these names, or all active ones."""
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
    return _Targets(options.key, [members[name] for name in names or members])


def _send(
    member: _Member, shared_key: str, command: str, by: str, *, register_key: str = "", value: str = ""
) -> dict[str, Any]:
    """Give a member a command; the fields of its report."""
    import anyio  # these are loaded only where members are spoken to

    from frostfall.net.member_transport import send_operator_command
    from frostfall.net.streams import STREAM_ERRORS
    from frostfall.protocol.authenticated_channel import MemberProtocolError

    try:
        return anyio.run(
            send_operator_command, member.address, shared_key, command, by, register_key, value
        ).fields
    except (OSError, MemberProtocolError, *STREAM_ERRORS) as error:
        raise _MemberNotReachedError(str(error) or type(error).__name__) from error


def _command_members(operator: str, names: tuple[str, ...], command: str, by: str, as_json: bool) -> None:
    """Give members a command and show their reports; exit with 1 where one did not carry it out in full."""
    targets = _targets(operator, names)
    faults = 0
    for member in targets.members:
        try:
            fields = _send(member, targets.shared_key, command, by)
        except _MemberNotReachedError as error:
            faults += 1
            click.echo(f"{member.name}: not reached: {error}", err=True)
            continue
        # As JSON a report is shown as it came, whichever version of the program the member runs.
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
