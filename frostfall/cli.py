"""The command line: `frostfall run`, `check`, `bench`. `python -m frostfall` alone does not load it."""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import Any

import click

from frostfall import config


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="frostfall")
def main() -> None:
    """Route requests while servers' software is replaced, and vote on each new build."""


@main.command()
@click.option(
    "--config",
    "path",
    type=click.Path(dir_okay=False),
    envvar="BALANCER_CONFIG",
    required=True,
    help="The platform's configuration, JSON.",
)
@click.option(
    "--operator",
    type=click.Path(dir_okay=False),
    envvar="FROSTFALL_OPERATOR",
    help="The operators' own settings, JSON5.",
)
@click.option(
    "--log",
    type=click.Choice(["debug", "info", "warning", "error"]),
    envvar="FROSTFALL_LOG",
    help="Log from this level on.",
)
def run(path: str, operator: str | None, log: str | None) -> None:
    """Run one agent until SIGTERM; SIGHUP reads both files anew."""
    from frostfall.program import main as serve

    os.environ["BALANCER_CONFIG"] = path
    for name, value in (("FROSTFALL_OPERATOR", operator), ("FROSTFALL_LOG", log)):
        if value:
            os.environ[name] = value
    sys.exit(serve())


@main.command()
@click.argument("files", nargs=-1, required=True, type=click.Path())
def check(files: tuple[str, ...]) -> None:
    """Check configurations (.json) and operator files (.json5); exit with 2 if one cannot be used.

    Where both kinds are given, each operator file is also checked against each configuration.
    """
    faults, options = 0, {}
    for path in sorted(files, key=lambda each: not each.endswith(".json5")):
        try:
            if path.endswith(".json5"):
                options[path] = config.parse_operator_file(config.read_file(path, "file"), path)
            else:
                text = config.read_file(path, "file")
                config.parse(text, os.environ)
                for name, option in options.items():
                    try:
                        config.parse(text, os.environ, option)
                    except config.ConfigError as error:
                        raise config.ConfigError(f"with {name}: {error}") from None
            click.echo(f"{path}: good")
        except config.ConfigError as error:
            faults += 1
            prefix = "" if str(error).startswith(path) else f"{path}: "
            click.echo(f"{prefix}{error}", err=True)
    sys.exit(2 if faults else 0)


@main.group()
def bench() -> None:
    """Measure this program against its own stand-ins, on loopback; see requirements-bench.txt."""


@bench.command("slow-peers")
@click.option("--rounds", default=5, show_default=True, help="How often the phases are gone through.")
@click.option("--seconds", default=6.0, show_default=True, help="Length of a phase.")
@click.option(
    "--against",
    type=click.Path(file_okay=False, exists=True),
    help="Another checkout of this project, for the CPU a request.",
)
@click.option(
    "--out",
    type=click.Path(file_okay=False, path_type=Path),
    default=Path("bench-out"),
    show_default=True,
    help="Where the JSON, the table and the plot go.",
)
def slow_peers(rounds: int, seconds: float, against: str | None, out: Path) -> None:
    """Fast clients beside slow ones and beside a dripping server; what is shed, memory and CPU."""
    try:
        import frostfall.bench.slow_peers as measure
    except ImportError as error:
        raise click.ClickException(f"{error}; install requirements-bench.txt") from None
    measure.run(rounds, seconds, against, out)


@bench.command("structures")
@click.option("--rounds", default=5, show_default=True, help="How often each is timed.")
@click.option(
    "--out",
    type=click.Path(file_okay=False, path_type=Path),
    default=Path("bench-out"),
    show_default=True,
    help="Where the JSON and the table go.",
)
def structures(rounds: int, out: Path) -> None:
    """Timer wheel and indexed heap against heap and scan."""
    from frostfall.bench import structures as measure

    measure.run(rounds, out)


@bench.command("many-agents")
@click.option("--rounds", default=3, show_default=True, help="How many seeds each case is played with.")
@click.option(
    "--agents",
    "sizes",
    multiple=True,
    type=click.IntRange(1),
    default=(3, 40, 200),
    show_default=True,
    help="Sizes of fleets; may be given more than once.",
)
@click.option(
    "--out",
    type=click.Path(file_okay=False, path_type=Path),
    default=Path("bench-out"),
    show_default=True,
    help="Where the JSON, the table and the plot go.",
)
def many_agents(rounds: int, sizes: tuple[int, ...], out: Path) -> None:
    """Whole fleets in virtual time: bad servers, a lost zone, a cold fleet, killed agents."""
    try:
        import frostfall.bench.many_agents as measure
    except ImportError as error:
        raise click.ClickException(f"{error}; install requirements-bench.txt") from None
    measure.run(rounds, out, sizes)


@bench.command("power-loss")
@click.option("--losses", default=200, show_default=True, help="Power losses of groups of 5 and 9 agents.")
@click.option("--schedules", default=10_000, show_default=True, help="Schedules of faults in virtual time.")
@click.option("--records", default=1_000_000, show_default=True, help="Records that a start has to read.")
@click.option("--rounds", default=3, show_default=True, help="How often the store's cost is measured.")
@click.option("--against", default="8059fbe", show_default=True, help="The revision that is compared with.")
@click.option(
    "--out",
    type=click.Path(file_okay=False, path_type=Path),
    default=Path("bench-out"),
    show_default=True,
    help="Where the JSON, the table and the plot go.",
)
def power_loss(losses: int, schedules: int, records: int, rounds: int, against: str, out: Path) -> None:
    """Groups of agents lose power under load; the store's cost; schedules of faults in virtual time."""
    try:
        import frostfall.bench.power_loss as measure
    except ImportError as error:
        raise click.ClickException(
            f"{error}; install requirements-bench.txt and requirements-group.txt"
        ) from None
    measure.run(losses, schedules, records, rounds, against, out, click.echo)


@bench.command("copies")
@click.option("--losses", default=30, show_default=True, help="Machines lost with their disks.")
@click.option("--schedules", default=2000, show_default=True, help="Schedules of faults in virtual time.")
@click.option("--rounds", default=3, show_default=True, help="How often the cost of a promise is measured.")
@click.option(
    "--out",
    type=click.Path(file_okay=False, path_type=Path),
    default=Path("bench-out"),
    show_default=True,
    help="Where the JSON and the table go.",
)
@click.option("--records", default=100_000, show_default=True, help="Of a machine that is made whole.")
@click.option("--items", default=1000, show_default=True, help="Open items of a machine that goes.")
@click.option("--against", default="8059fbe", show_default=True, help="The revision that is compared with.")
def copies(
    losses: int, schedules: int, rounds: int, out: Path, records: int, items: int, against: str
) -> None:
    """Machines of 3, 5 and 9 agents go with their disks under load; what a promise costs."""
    try:
        import frostfall.bench.copies as measure
    except ImportError as error:
        raise click.ClickException(
            f"{error}; install requirements-bench.txt and requirements-group.txt"
        ) from None
    measure.run(losses, schedules, rounds, records, items, against, out, click.echo)


@bench.command("faults")
@click.argument("script", type=click.Path(dir_okay=False, exists=True))
@click.option(
    "--out",
    type=click.Path(file_okay=False, path_type=Path),
    default=Path("bench-out/faults"),
    show_default=True,
    help="A new folder for the agents' folders and the history.",
)
def faults(script: str, out: Path) -> None:
    """Play a script of faults (JSON5) on processes and check the history; exit with 1 on a finding."""
    try:
        import frostfall.bench.faults as play
    except ImportError as error:
        raise click.ClickException(f"{error}; install requirements-group.txt") from None
    if out.exists():
        raise click.ClickException(f"{out}: there already")
    out.mkdir(parents=True)
    try:
        found = play.play(play.read(Path(script).read_text()), out)
    except play.ScriptError as error:
        raise click.ClickException(f"{script}: {error}") from None
    for line in (*found.twice, *found.answers, *found.promises, *found.rules):
        click.echo(line)
    click.echo(f"{found.operations} operations, {found.ran} ran, {'clean' if found.clean else 'not clean'}")
    sys.exit(0 if found.clean else 1)


@bench.command("variant")
@click.argument("overrides", type=click.Path(dir_okay=False, path_type=Path))
@click.argument("site", type=click.Path(dir_okay=False, path_type=Path))
@click.option(
    "--out",
    type=click.Path(file_okay=False, path_type=Path),
    default=Path("deploy/sites"),
    show_default=True,
    help="Where the variant's folder goes.",
)
def variant(overrides: Path, site: Path, out: Path) -> None:
    """Write a variant of a deployment's site file by OVERRIDES, an annotated TOML file, for the benches."""
    try:
        from frostfall.bench import variants
    except ImportError as error:
        raise click.ClickException(f"{error}; install requirements-bench.txt") from None
    try:
        click.echo(variants.write(overrides, site, out))
    except variants.VariantError as error:
        raise click.ClickException(str(error)) from None


@main.group()
def group() -> None:
    """See and steer a group of agents by its operator file's section `group`."""


def _members(operator: str, who: tuple[str, ...]) -> tuple[str, list[tuple[str, config.Address]]]:
    """The shared key, and the members that are named, or all."""
    try:
        rules = config.parse_operator_file(config.read_file(operator, "operator"), operator).group
        if rules is None:
            raise config.ConfigError(f"{operator}: group: there is no such section")
        known = {
            member.name: config.parse_address(member.address, "address") for member in rules.active_members
        }
        for name in who:
            if name not in known:
                raise config.ConfigError(f"{name}: no member of {', '.join(known)}")
    except config.ConfigError as error:
        raise click.ClickException(str(error)) from None
    return rules.key, [(name, known[name]) for name in who or known]


@group.command("put")
@click.option(
    "--operator",
    envvar="FROSTFALL_OPERATOR",
    required=True,
    type=click.Path(dir_okay=False),
    help="An operator file with a section `group` and `agreement`.",
)
@click.option("--by", default=lambda: os.environ.get("USER", "operator"), help="Who says so.")
@click.argument("key")
@click.argument("value")
def group_put(operator: str, by: str, key: str, value: str) -> None:
    """Set a key of the register that members keep in common, at whoever leads."""
    import anyio

    from frostfall.net import member_transport as link
    from frostfall.net.streams import STREAM_ERRORS
    from frostfall.protocol.authenticated_channel import MemberProtocolError

    shared, members = _members(operator, ())
    why = "nobody leads"
    for name, address in members:
        try:
            fields = anyio.run(link.send_operator_command, address, shared, "put", by, key, value).fields
        except (OSError, MemberProtocolError, *STREAM_ERRORS) as error:
            why = f"{name}: not reached: {error or type(error).__name__}"
            continue
        if fields.get("put"):
            click.echo(f"{key}: version {fields['register'][key][1]}, by {name} in term {fields['term']}")
            return
        if fields.get("put") is False:
            why = f"{name} lost the lead, or the key was changed meanwhile; see `frostfall group status`"
    raise click.ClickException(why)


def _order(operator: str, who: tuple[str, ...], what: str, by: str, as_json: bool) -> None:
    """Say something to members, and show how they stand; exit with 1 where one is not reached."""
    import anyio
    import msgspec

    from frostfall.net import member_transport as link
    from frostfall.net.streams import STREAM_ERRORS
    from frostfall.protocol.authenticated_channel import MemberProtocolError

    key, members = _members(operator, who)
    missing = 0
    for name, address in members:
        try:
            fields = anyio.run(link.send_operator_command, address, key, what, by).fields
        except (OSError, MemberProtocolError, *STREAM_ERRORS) as error:
            missing += 1
            click.echo(f"{name}: not reached: {error or type(error).__name__}", err=True)
            continue
        click.echo(msgspec.json.encode(fields) if as_json else _shown(fields))
        if not fields.get("kept", True):
            missing += 1
            click.echo(f"{name}: not on its disk, and gone with the next restart", err=True)
        if what in ("hold", "lift") and not fields.get("copied", True):
            missing += 1
            click.echo(f"{name}: on its own disk alone, as too few other members are heard", err=True)
    sys.exit(1 if missing else 0)


def _shown(fields: dict[str, Any]) -> str:
    """A member's state as lines."""
    lines = [
        f"{fields['name']}: life {fields['life']}, record {fields['record']}, {fields['operations']} "
        f"operations, {fields['segments']} segments of {fields['bytes'] / 1e6:.1f} MB"
    ]
    if fields["waits_for"]:
        lines.append(f"  waits for {fields['waits_for']}: {fields['because']}")
    lines += [f"  {key}: {fields[key]}" for key in ("why", "doubt", "held") if fields[key]]
    lines += [
        f"  gate {name}: {stand}{', ' + why if why else ''} (since {since:g} s after the start)"
        for name, (stand, why, since) in fields["gates"].items()
    ]
    lines += [
        f"  member {name}: {health}, life {life}{', waits for ' + stage if stage else ''}"
        f"{', in doubt: ' + doubt if doubt else ''}, clock {ahead:+.1f} s"
        for name, (health, life, stage, doubt, ahead) in fields["members"].items()
    ]
    if "leader" in fields:
        lines.append(f"  register: led by {fields['leader'] or 'nobody'} in term {fields['term']}")
        lines += [
            f"    {key} = {value} (version {version})" for key, (value, version) in fields["register"].items()
        ]
    return "\n".join(lines)


_OPERATOR = click.option(
    "--operator",
    envvar="FROSTFALL_OPERATOR",
    required=True,
    type=click.Path(dir_okay=False),
    help="An operator file with a section `group`.",
)
_JSON = click.option("--json", "as_json", is_flag=True, help="One JSON object a member.")
_WHO = click.argument("members", nargs=-1)
_BY = click.option("--by", default=lambda: os.environ.get("USER", "operator"), help="Who says so.")


@group.command("status")
@_OPERATOR
@_JSON
@_WHO
def group_status(operator: str, as_json: bool, members: tuple[str, ...]) -> None:
    """Show each member's gates, what it waits for and why, and how it sees the others."""
    _order(operator, members, "status", "", as_json)


@group.command("accept")
@_OPERATOR
@_JSON
@_BY
@click.argument("members", nargs=-1, required=True)
def group_accept(operator: str, as_json: bool, by: str, members: tuple[str, ...]) -> None:
    """Accept that these members' records lack what was lost: what they do not know counts as never run."""
    _order(operator, members, "accept", by, as_json)


@group.command("hold")
@_OPERATOR
@_JSON
@_BY
@_WHO
def group_hold(operator: str, as_json: bool, by: str, members: tuple[str, ...]) -> None:
    """Hold members' votes on builds, over restarts too, until `lift`."""
    _order(operator, members, "hold", by, as_json)


@group.command("lift")
@_OPERATOR
@_JSON
@_BY
@_WHO
def group_lift(operator: str, as_json: bool, by: str, members: tuple[str, ...]) -> None:
    """Let members vote again."""
    _order(operator, members, "lift", by, as_json)
