"""`frostfall bench`: measurements of this program against its own stand-ins."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, TypeVar

import click

_Command = TypeVar("_Command", bound=Callable[..., Any])


@contextmanager
def requirements(files: str) -> Iterator[None]:
    """Around the import of a bench: name the requirement files to install if a package is missing."""
    try:
        yield
    except ImportError as error:
        raise click.ClickException(f"{error}; install {files}") from None


def out_option(text: str) -> Callable[[_Command], _Command]:
    """The option for the folder of the results."""
    return click.option(
        "--out",
        type=click.Path(file_okay=False, path_type=Path),
        default=Path("bench-out"),
        show_default=True,
        help=text,
    )


@click.group()
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
@out_option("Where the JSON, the table and the plot go.")
def slow_peers(rounds: int, seconds: float, against: str | None, out: Path) -> None:
    """Fast clients beside slow ones and beside a dripping server; what is shed, memory and CPU."""
    with requirements("requirements-bench.txt"):
        import frostfall.bench.slow_peers as measure
    measure.run(rounds, seconds, against, out)


@bench.command("structures")
@click.option("--rounds", default=5, show_default=True, help="How often each is timed.")
@out_option("Where the JSON and the table go.")
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
@out_option("Where the JSON, the table and the plot go.")
def many_agents(rounds: int, sizes: tuple[int, ...], out: Path) -> None:
    """Whole fleets in virtual time: bad servers, a lost zone, a cold fleet, killed agents."""
    with requirements("requirements-bench.txt"):
        import frostfall.bench.many_agents as measure
    measure.run(rounds, out, sizes)


@bench.command("power-loss")
@click.option("--losses", default=200, show_default=True, help="Power losses of groups of 5 and 9 agents.")
@click.option("--schedules", default=10_000, show_default=True, help="Schedules of faults in virtual time.")
@click.option("--records", default=1_000_000, show_default=True, help="Records that a start has to read.")
@click.option("--rounds", default=3, show_default=True, help="How often the store's cost is measured.")
@click.option("--against", default="8059fbe", show_default=True, help="The revision that is compared with.")
@out_option("Where the JSON, the table and the plot go.")
def power_loss(losses: int, schedules: int, records: int, rounds: int, against: str, out: Path) -> None:
    """Groups of agents lose power under load; the store's cost; schedules of faults in virtual time."""
    with requirements("requirements-bench.txt and requirements-group.txt"):
        import frostfall.bench.power_loss as measure
    measure.run(losses, schedules, records, rounds, against, out, click.echo)


@bench.command("copies")
@click.option("--losses", default=30, show_default=True, help="Machines lost with their disks.")
@click.option("--schedules", default=2000, show_default=True, help="Schedules of faults in virtual time.")
@click.option("--rounds", default=3, show_default=True, help="How often the cost of a promise is measured.")
@out_option("Where the JSON and the table go.")
@click.option("--records", default=100_000, show_default=True, help="Of a machine that is made whole.")
@click.option("--items", default=1000, show_default=True, help="Open items of a machine that goes.")
@click.option("--against", default="8059fbe", show_default=True, help="The revision that is compared with.")
def copies(
    losses: int, schedules: int, rounds: int, out: Path, records: int, items: int, against: str
) -> None:
    """Machines of 3, 5 and 9 agents go with their disks under load; what a promise costs."""
    with requirements("requirements-bench.txt and requirements-group.txt"):
        import frostfall.bench.copies as measure
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
    with requirements("requirements-group.txt"):
        import frostfall.bench.faults as play
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


@bench.command("stale-lists")
@click.option("--seeds", default=5, show_default=True, help="Plays of each size and loss.")
@click.option("--size", "sizes", type=int, multiple=True, help="Agents; 10, 40, 200 and 1,000 by default.")
@out_option("Where the JSON, the table and the plot go.")
def stale_lists(seeds: int, sizes: tuple[int, ...], out: Path) -> None:
    """Restarts in a crowd at discovery, in virtual time: when all know a drain, and what that costs."""
    with requirements("requirements-bench.txt"):
        import frostfall.bench.stale_lists as measure
    measure.run(seeds, out, sizes or measure.SIZES)


@bench.command("fault-soak")
@click.option(
    "--seeds",
    default="1-10",
    show_default=True,
    help="Seeds: ranges A-B and single ones, with commas between; every fifth seed is a crowd.",
)
@click.option("--agents", default=10, show_default=True, help="Agent processes a seed.")
@click.option("--seconds", default=12.0, show_default=True, help="Length of the schedule of faults.")
@click.option("--parallel", default=2, show_default=True, help="Seeds that are played at a time.")
@out_option("Where the JSON, the table, the plot and the findings go; a new folder.")
def fault_soak(seeds: str, agents: int, seconds: float, parallel: int, out: Path) -> None:
    """Real agents under random faults that overlap; exit with 1 on a finding."""
    import frostfall.bench.fault_soak.run as soak

    if out.exists():
        raise click.ClickException(f"{out}: there already")
    try:
        numbers = soak.parse_seeds(seeds)
    except ValueError as error:
        raise click.ClickException(f"--seeds: {error}") from None
    sys.exit(0 if soak.run(numbers, agents, seconds, parallel, out, click.echo) else 1)


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
    with requirements("requirements-bench.txt"):
        from frostfall.bench import variants
    try:
        click.echo(variants.write_variant(overrides, site, out))
    except variants.VariantError as error:
        raise click.ClickException(str(error)) from None
