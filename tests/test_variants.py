"""Tests of site variants: valid overrides are written; invalid ones give one error line and write nothing."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import pytest
import tomli_w
from click.testing import CliRunner

from frostfall.bench import variants
from frostfall.cli import main

SITE: dict[str, Any] = {
    "name": "town",
    "load": {"quiet": [0.3, 0.5], "shape": ["steady", "wave"]},
    "class": [{"name": "look", "aim_ms": 500, "effect": "safe"}, {"name": "buy", "aim_ms": 900}],
    "tier": [{"name": "shops", "conn": {"idle_s": 15}}],
    "trouble": [{"name": "burst", "extra": [1.8, 0.13]}],
}


@pytest.fixture
def site(tmp_path: Path) -> Path:
    folder = tmp_path / "theirs"
    folder.mkdir()
    for name in variants.COMPANION_FILES:
        (folder / name).write_text(f"of {name}")
    path = folder / "town.toml"
    path.write_text(tomli_w.dumps(SITE))
    return path


def run_variant_command(site: Path, text: str) -> tuple[int, str, Path]:
    """Run `bench variant` with the overrides and return its exit code, output and output folder."""
    overrides, out = site.parent.parent / "hill.toml", site.parent.parent / "ours"
    overrides.write_text(text)
    result = CliRunner().invoke(main, ["bench", "variant", str(overrides), str(site), "--out", str(out)])
    return result.exit_code, result.output, out


def test_overrides_change_only_the_values_that_they_name(site: Path) -> None:
    code, output, out = run_variant_command(
        site,
        """
        load.quiet = [0.2, 0.4]
        [class.look]
        name = "browse"   # renames the table that the site calls "look"
        aim_ms = 450
        [tier.shops.conn]
        idle_s = 6
        [add.class.look]
        group = "zone"
        [add.load]
        over_share_worth = 0.1
        [[add.tenant]]
        name = "mill"
        usage = [0.5, 1]
        """,
    )
    assert code == 0 and output.strip() == str(out / "hill" / "hill.toml")
    written = tomllib.loads((out / "hill" / "hill.toml").read_text())
    assert written == SITE | {
        "name": "hill",
        "load": {"quiet": [0.2, 0.4], "shape": ["steady", "wave"], "over_share_worth": 0.1},
        "class": [
            {"name": "browse", "aim_ms": 450, "effect": "safe", "group": "zone"},
            {"name": "buy", "aim_ms": 900},
        ],
        "tier": [{"name": "shops", "conn": {"idle_s": 6}}],
        "tenant": [{"name": "mill", "usage": [0.5, 1]}],
    }
    for name in variants.COMPANION_FILES:
        assert (out / "hill" / name).read_text() == f"of {name}"


def test_two_tables_can_exchange_names(site: Path) -> None:
    code, _, out = run_variant_command(site, '[class.look]\nname = "buy"\n[class.buy]\nname = "look"\n')
    written = tomllib.loads((out / "hill" / "hill.toml").read_text())
    assert code == 0 and [each["name"] for each in written["class"]] == ["buy", "look"]


@pytest.mark.parametrize(
    ("text", "line"),
    [
        ("load.quite = [0.2, 0.4]", "load.quite: the site has no such key"),
        ("weather = 1", "weather: the site has no such key"),
        ("class.sell.aim_ms = 1", "class.sell: the site has no such entry"),
        ("class.look = 3\n", "class.look: must be a table"),
        ("class.look.worth = 3", "class.look.worth: the site has no such key"),
        ("load = 3", "load: must be a table in both files or in neither"),
        ("class = 3", "class: must be a table in both files or in neither"),
        ("load.shape.steady = 1", "load.shape: must be a table in both files or in neither"),
        ("name = { town = 1 }", "name: must be a table in both files or in neither"),
        ("load.quiet = [0.5, 0.2]", "load.quiet: the range 0.5 to 0.2 is reversed"),
        ("add.load.late = [2, 1]", "add.load.late: the range 2 to 1 is reversed"),
        (
            "[[add.tenant]]\nname = 'mill'\nusage = [2, 1]",
            "add.tenant.usage: the range 2 to 1 is reversed",
        ),
        ("add.load.quiet = [0.2, 0.4]", "add.load.quiet: already exists"),
        ("[[add.class]]\nname = 'buy'", "add.class: buy already exists"),
        ("[[add.load]]\nname = 'buy'", "add.load: is not a list in the site"),
        ("add.class.sell.group = 'all'", "add.class.sell: the site has no such entry"),
        ("add = 3", "add: must be a table"),
        ("load.quiet = ", "hill.toml: Invalid value"),
    ],
)
def test_an_invalid_override_prints_one_line_with_the_key_and_writes_nothing(
    site: Path, text: str, line: str
) -> None:
    code, output, out = run_variant_command(site, text)
    assert code == 1 and line in output and len(output.strip().splitlines()) == 1
    assert not out.exists()


@pytest.mark.parametrize("name", [*variants.COMPANION_FILES, "town.toml"])
def test_a_missing_input_file_prints_one_line_and_writes_nothing(site: Path, name: str) -> None:
    (site.parent / name).unlink()
    code, output, out = run_variant_command(site, "")
    assert code == 1 and name in output and len(output.strip().splitlines()) == 1
    assert not out.exists()


def test_override_files_of_this_repository_are_valid_toml() -> None:
    files = sorted((Path(__file__).parent.parent / "deploy" / "sites").glob("*.toml"))
    assert [each.stem for each in files] == ["short-windows", "tenants-pushed"]
    for each in files:
        assert "class" in tomllib.loads(each.read_text())
