"""The command line: `frostfall run`, `check`, `bench` and `group`.

`python -m frostfall` without arguments does not load this package.
"""

from __future__ import annotations

import os
import sys

import click

from frostfall import config
from frostfall.cli.bench_commands import bench
from frostfall.cli.group_commands import group
from frostfall.options import Options

EXIT_INVALID_FILE = 2


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="frostfall")
def main() -> None:
    """Route requests while servers' software is replaced, and vote on each new build."""


main.add_command(bench)
main.add_command(group)


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
    faults = 0
    options: dict[str, Options] = {}  # by the path of the operator file
    for path in sorted(files, key=lambda file: not _is_operator_file(file)):
        try:
            if _is_operator_file(path):
                options[path] = config.parse_operator_file(config.read_file(path, "file"), path)
            else:
                _check_configuration(path, options)
            click.echo(f"{path}: good")
        except config.ConfigError as error:
            faults += 1
            prefix = "" if str(error).startswith(path) else f"{path}: "
            click.echo(f"{prefix}{error}", err=True)
    sys.exit(EXIT_INVALID_FILE if faults else 0)


def _is_operator_file(path: str) -> bool:
    return path.endswith(".json5")


def _check_configuration(path: str, options: dict[str, Options]) -> None:
    """Validate a configuration alone, and in combination with the options of each operator file."""
    text = config.read_file(path, "file")
    config.parse(text, os.environ)
    for operator_path, operator_options in options.items():
        try:
            config.parse(text, os.environ, operator_options)
        except config.ConfigError as error:
            raise config.ConfigError(f"with {operator_path}: {error}") from None
