"""The command line: `frostfall run`, `check`, `bench`. `python -m frostfall` alone does not load it."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click

from frostfall import config


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="frostfall")
def main() -> None:
    """Route requests while servers' software is replaced, and vote on each new build."""


@main.command()
@click.option("--config", "path", type=click.Path(dir_okay=False), envvar="BALANCER_CONFIG", required=True,
              help="The platform's configuration, JSON.")
@click.option("--operator", type=click.Path(dir_okay=False), envvar="FROSTFALL_OPERATOR",
              help="The operators' own settings, JSON5.")
@click.option("--log", type=click.Choice(["debug", "info", "warning", "error"]), envvar="FROSTFALL_LOG",
              help="Log from this level on.")
def run(path: str, operator: str | None, log: str | None) -> None:
    """Run one agent until SIGTERM; SIGHUP reads both files anew."""
    from frostfall.__main__ import main as serve

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
                options[path] = config.operator(config.read(path, "file"), path)
            else:
                text = config.read(path, "file")
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
@click.option("--against", type=click.Path(file_okay=False, exists=True),
              help="Another checkout of this project, for the CPU a request.")
@click.option("--out", type=click.Path(file_okay=False, path_type=Path), default=Path("bench-out"),
              show_default=True, help="Where the JSON, the table and the plot go.")
def slow_peers(rounds: int, seconds: float, against: str | None, out: Path) -> None:
    """Fast clients beside slow ones and beside a dripping server; what is shed, memory and CPU."""
    try:
        import frostfall.bench.slow_peers as measure
    except ImportError as error:
        raise click.ClickException(f"{error}; install requirements-bench.txt") from None
    measure.run(rounds, seconds, against, out)


@bench.command("structures")
@click.option("--rounds", default=5, show_default=True, help="How often each is timed.")
@click.option("--out", type=click.Path(file_okay=False, path_type=Path), default=Path("bench-out"),
              show_default=True, help="Where the JSON and the table go.")
def structures(rounds: int, out: Path) -> None:
    """Timer wheel and indexed heap against heap and scan."""
    from frostfall.bench import structures as measure

    measure.run(rounds, out)


@bench.command("many-agents")
@click.option("--rounds", default=3, show_default=True, help="How many seeds each case is played with.")
@click.option("--agents", "sizes", multiple=True, type=click.IntRange(1), default=(3, 40, 200),
              show_default=True, help="Sizes of fleets; may be given more than once.")
@click.option("--out", type=click.Path(file_okay=False, path_type=Path), default=Path("bench-out"),
              show_default=True, help="Where the JSON, the table and the plot go.")
def many_agents(rounds: int, sizes: tuple[int, ...], out: Path) -> None:
    """Whole fleets in virtual time: bad servers, a lost zone, a cold fleet, killed agents."""
    try:
        import frostfall.bench.many_agents as measure
    except ImportError as error:
        raise click.ClickException(f"{error}; install requirements-bench.txt") from None
    measure.run(rounds, out, sizes)
