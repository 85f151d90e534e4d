"""Variants of a site: overrides that fit are written, those that do not are one line and write nothing."""

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
    for name in variants.NEIGHBOURS:
        (folder / name).write_text(f"of {name}")
    path = folder / "town.toml"
    path.write_text(tomli_w.dumps(SITE))
    return path


def vary(site: Path, text: str) -> tuple[int, str, Path]:
    """Exit code, output and the folder of a variant by these overrides."""
    overrides, out = site.parent.parent / "hill.toml", site.parent.parent / "ours"
    overrides.write_text(text)
    result = CliRunner().invoke(main, ["bench", "variant", str(overrides), str(site), "--out", str(out)])
    return result.exit_code, result.output, out


def test_what_is_overridden_differs_and_all_else_stays(site: Path) -> None:
    code, output, out = vary(
        site,
        """
        load.quiet = [0.2, 0.4]
        [class.look]
        name = "browse"   # another name, found by the old one
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
    for name in variants.NEIGHBOURS:
        assert (out / "hill" / name).read_text() == f"of {name}"


def test_two_entries_may_change_names_with_each_other(site: Path) -> None:
    code, _, out = vary(site, '[class.look]\nname = "buy"\n[class.buy]\nname = "look"\n')
    written = tomllib.loads((out / "hill" / "hill.toml").read_text())
    assert code == 0 and [each["name"] for each in written["class"]] == ["buy", "look"]


@pytest.mark.parametrize(
    ("text", "line"),
    [
        ("load.quite = [0.2, 0.4]", "load.quite: the site has no such key"),
        ("weather = 1", "weather: the site has no such key"),
        ("class.sell.aim_ms = 1", "class.sell: the site has no such entry"),
        ("class.look = 3\n", "class.look: a table is wanted"),
        ("class.look.worth = 3", "class.look.worth: the site has no such key"),
        ("load = 3", "load: a table on one side only"),
        ("class = 3", "class: a table on one side only"),
        ("load.shape.steady = 1", "load.shape: a table on one side only"),
        ("name = { town = 1 }", "name: a table on one side only"),
        ("load.quiet = [0.5, 0.2]", "load.quiet: the range 0.5 to 0.2 is turned round"),
        ("add.load.late = [2, 1]", "add.load.late: the range 2 to 1 is turned round"),
        (
            "[[add.tenant]]\nname = 'mill'\nusage = [2, 1]",
            "add.tenant.usage: the range 2 to 1 is turned round",
        ),
        ("add.load.quiet = [0.2, 0.4]", "add.load.quiet: is there already"),
        ("[[add.class]]\nname = 'buy'", "add.class: buy is there already"),
        ("[[add.load]]\nname = 'buy'", "add.load: the site has no list there"),
        ("add.class.sell.group = 'all'", "add.class.sell: the site has no such entry"),
        ("add = 3", "add: a table is wanted"),
        ("load.quiet = ", "hill.toml: Invalid value"),
    ],
)
def test_what_does_not_fit_is_one_line_that_names_the_key_and_writes_nothing(
    site: Path, text: str, line: str
) -> None:
    code, output, out = vary(site, text)
    assert code == 1 and line in output and len(output.strip().splitlines()) == 1
    assert not out.exists()


@pytest.mark.parametrize("name", [*variants.NEIGHBOURS, "town.toml"])
def test_a_missing_file_beside_the_site_is_one_line_and_writes_nothing(site: Path, name: str) -> None:
    (site.parent / name).unlink()
    code, output, out = vary(site, "")
    assert code == 1 and name in output and len(output.strip().splitlines()) == 1
    assert not out.exists()


def test_the_variants_of_this_repository_can_be_read() -> None:
    files = sorted((Path(__file__).parent.parent / "deploy" / "sites").glob("*.toml"))
    assert [each.stem for each in files] == ["short-windows", "tenants-pushed"]
    for each in files:
        assert "class" in tomllib.loads(each.read_text())
