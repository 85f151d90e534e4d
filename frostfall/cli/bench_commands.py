"""`frostfall bench`: benchmarks of this program against its own stand-ins."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, TypeVar

import click

_Command = TypeVar("_Command", bound=Callable[..., Any])


@contextmanager
def require_packages(files: str) -> Iterator[None]:
    """Wrap the import of a bench; if a package is missing, name the requirement files to install."""
    try:
        yield
    except ImportError as error:
        raise click.ClickException(f"{error}; install {files}") from None


def out_option(help_text: str) -> Callable[[_Command], _Command]:
    """Return the option `--out`, the folder of the results."""
    return click.option(
        "--out",
        type=click.Path(file_okay=False, path_type=Path),
        default=Path("bench-out"),
        show_default=True,
        help=help_text,
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
    """Measure shedding, memory and CPU with fast clients beside slow clients and a slow server."""
    with require_packages("requirements-bench.txt"):
        import frostfall.bench.slow_peers as measure
    measure.run(rounds, seconds, against, out)


@bench.command("structures")
@click.option("--rounds", default=5, show_default=True, help="How often each is timed.")
@out_option("Where the JSON and the table go.")
def structures(rounds: int, out: Path) -> None:
    """Compare the timer wheel and the indexed heap with a heap and a linear scan."""
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
    """Run whole fleets in virtual time: faulty servers, loss of a zone, cold start, killed agents."""
    with require_packages("requirements-bench.txt"):
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
    """Test power losses under load and fault schedules in virtual time, and measure the store's cost."""
    with require_packages("requirements-bench.txt and requirements-group.txt"):
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
    """Lose machines with their disks under load, in groups of 3, 5 and 9 agents; measure replication cost."""
    with require_packages("requirements-bench.txt and requirements-group.txt"):
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
    """Run a JSON5 script of faults on real processes and check the history; exit with 1 on a finding."""
    with require_packages("requirements-group.txt"):
        import frostfall.bench.faults as fault_scripts
    if out.exists():
        raise click.ClickException(f"{out}: there already")
    out.mkdir(parents=True)
    try:
        found = fault_scripts.run_script(fault_scripts.parse(Path(script).read_text()), out)
    except fault_scripts.ScriptError as error:
        raise click.ClickException(f"{script}: {error}") from None
    for line in (*found.duplicates, *found.answer_counts, *found.wrong_answers, *found.crashes):
        click.echo(line)
    click.echo(f"{found.operations} operations, {found.ran} ran, {'clean' if found.clean else 'not clean'}")
    sys.exit(0 if found.clean else 1)


@bench.command("stale-lists")
@click.option("--seeds", default=5, show_default=True, help="Plays of each size and loss.")
@click.option("--size", "sizes", type=int, multiple=True, help="Agents; 10, 40, 200 and 1,000 by default.")
@out_option("Where the JSON, the table and the plot go.")
def stale_lists(seeds: int, sizes: tuple[int, ...], out: Path) -> None:
    """Measure, in virtual time, how drains spread when many agents restart at once, and what that costs."""
    with require_packages("requirements-bench.txt"):
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
    """Run real agents under random, overlapping faults; exit with 1 on a finding."""
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
    with require_packages("requirements-bench.txt"):
        from frostfall.bench import variants
    try:
        click.echo(variants.write_variant(overrides, site, out))
    except variants.VariantError as error:
        raise click.ClickException(str(error)) from None
