"""Write variants of a deployment's site file from override files that state only the differences."""

from __future__ import annotations

import shutil
import tomllib
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import tomli_w

COMPANION_FILES = ("real.json", "wire.json", "unlock.txt")  # required in the folder of a site file
ADD_SECTION = "add"  # holds keys that the site lacks; all other overrides require an existing key
NAME_KEY = "name"  # identifies a table in a list of tables

Table = dict[str, Any]


class VariantError(Exception):
    """Raised for an invalid override or site file; the message is one line that names the key or the file."""


def _read(path: Path) -> Table:
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise VariantError(f"{path}: cannot be read: {getattr(error, 'strerror', None) or error}") from None
    except tomllib.TOMLDecodeError as error:
        raise VariantError(f"{path}: {error}") from None


def _find_by_name(tables: Sequence[Any], name: str) -> Table | None:
    return next((each for each in tables if isinstance(each, dict) and each.get(NAME_KEY) == name), None)


def _check_range(value: Any, key: str) -> None:
    """Raise VariantError for a pair of numbers, which is a range, whose start exceeds its end."""
    numbers = (
        [each for each in value if isinstance(each, int | float) and not isinstance(each, bool)]
        if isinstance(value, list)
        else []
    )
    if len(numbers) == 2 == len(value) and numbers[0] > numbers[1]:
        raise VariantError(f"{key}: the range {numbers[0]} to {numbers[1]} is reversed")


def _replace_values(site: Table, changes: Table, prefix: str = "") -> None:
    """Replace existing values of the site; a table in a list of tables is found by its name."""
    for key, value in changes.items():
        path = f"{prefix}{key}"
        if key not in site:
            raise VariantError(f"{path}: the site has no such key")
        current = site[key]
        has_tables = isinstance(current, dict) or (
            isinstance(current, list) and any(isinstance(each, dict) for each in current)
        )
        if has_tables != isinstance(value, dict):
            raise VariantError(f"{path}: must be a table in both files or in neither")
        if isinstance(value, dict) and isinstance(current, dict):
            _replace_values(current, value, f"{path}.")
        elif isinstance(value, dict):
            # All tables are looked up before any name changes, so that two tables can exchange names.
            tables_by_name = {name: _find_by_name(current, name) for name in value}
            for name, table in tables_by_name.items():
                if table is None:
                    raise VariantError(f"{path}.{name}: the site has no such entry")
                if not isinstance(value[name], dict):
                    raise VariantError(f"{path}.{name}: must be a table")
                _replace_values(table, value[name], f"{path}.{name}.")
        else:
            _check_range(value, path)
            site[key] = value


def _add_values(site: Table, additions: Table, prefix: str = "") -> None:
    """Add what the site lacks: keys of a table, or tables of a list."""
    for key, value in additions.items():
        path, current = f"{prefix}{key}", site.get(key)
        if isinstance(value, list) and value and all(isinstance(each, dict) for each in value):
            if not isinstance(current, list | None):
                raise VariantError(f"{ADD_SECTION}.{path}: is not a list in the site")
            for table in value:
                if current and _find_by_name(current, table.get(NAME_KEY, "")):
                    raise VariantError(f"{ADD_SECTION}.{path}: {table[NAME_KEY]} already exists")
                for inner, each in table.items():
                    _check_range(each, f"{ADD_SECTION}.{path}.{inner}")
            site[key] = [*(current or []), *value]
        elif isinstance(value, dict) and isinstance(current, list):
            for name, inner in value.items():
                if not isinstance(inner, dict) or (table := _find_by_name(current, name)) is None:
                    raise VariantError(f"{ADD_SECTION}.{path}.{name}: the site has no such entry")
                _add_values(table, inner, f"{path}.{name}.")
        elif isinstance(value, dict) and isinstance(current, dict):
            _add_values(current, value, f"{path}.")
        elif key in site:
            raise VariantError(
                f"{ADD_SECTION}.{path}: already exists; to override it, move it out of {ADD_SECTION}"
            )
        else:
            _check_range(value, f"{ADD_SECTION}.{path}")
            site[key] = value


def apply_overrides(site: Table, overrides: Table) -> Table:
    """Apply the overrides to the site in place and return it; VariantError if one does not fit the site."""
    additions = overrides.get(ADD_SECTION, {})
    if not isinstance(additions, dict):
        raise VariantError(f"{ADD_SECTION}: must be a table")
    # Additions run first: they refer to tables by the names before any override of a name.
    _add_values(site, additions)
    _replace_values(site, {key: value for key, value in overrides.items() if key != ADD_SECTION})
    return site


def write_variant(overrides: Path, site: Path, out: Path) -> Path:
    """Write the variant to `out`/NAME/NAME.toml, with the companion files beside it; return its path.

    NAME is the stem of `overrides`. Raises VariantError before anything is written if the overrides, the site
    or a companion file cannot be used, and also if writing fails.
    """
    name = overrides.stem
    variant = apply_overrides(_read(site), {NAME_KEY: name} | _read(overrides))
    missing = [each for each in COMPANION_FILES if not (site.parent / each).is_file()]
    if missing:
        raise VariantError(f"{site.parent / missing[0]}: is missing next to the site file")
    folder = out / name
    try:
        folder.mkdir(parents=True, exist_ok=True)
        for each in COMPANION_FILES:
            shutil.copyfile(site.parent / each, folder / each)
        target = folder / f"{name}.toml"
        target.write_text(tomli_w.dumps(variant), encoding="utf-8")
    except OSError as error:
        raise VariantError(f"{folder}: {error.strerror}") from None
    return target
