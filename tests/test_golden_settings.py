"""The values that settings files load to, and the exact error messages for faulty files.

Golden data is in tests/fixtures/settings; values are compared by position. The `every_key` files set every
key to a value that is not its default. The tests set each key in turn to a value of the wrong type, remove it
and, in files that reject unknown keys, misspell it.
"""

from __future__ import annotations

import copy
import functools
import json
import operator
import re
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from frostfall import config, settings
from tests.golden import plain

FOLDER = Path(__file__).parent / "fixtures" / "settings"
DEPLOY = Path(__file__).parent.parent / "deploy"
WRONG: list[Any] = [[]]  # a value that no key accepts
# A key of the operator file together with its whole value; the file has one key per line.
KEY = re.compile(r"^( *)(\w+): ([^\n]*,|[{\[]\n(?:\1 [^\n]*\n)*\1[}\]],)$", re.MULTILINE)
ENVIRONMENT = {"BALANCER_NAME": "e0", "BALANCER_LISTEN": "127.0.0.1:1", "BALANCER_DISCOVERY": "127.0.0.1:2"}


def configured(text: str, operators: str = "{}", environment: dict[str, str] = ENVIRONMENT) -> Any:
    """Return the configuration of an agent from its config file, operator file and environment."""
    return config.parse(
        text.encode(), environment, config.parse_operator_file(operators.encode(), "own.json5")
    )


LOADERS: dict[str, Callable[..., Any]] = {
    "config": configured,
    "operator": lambda text: config.parse_operator_file(text.encode(), "own.json5"),
    "settings": lambda text: settings.decode_settings(json.loads(text)),
    "environment": lambda text: config.load(json.loads(text)),
    "address": lambda text: config.parse_address(text, "key"),
}
FAULT = config.ConfigError, settings.SettingsError
FILES = {  # loader and path by the name of the golden values
    "example": ("config", DEPLOY / "example.json"),
    "operator": ("operator", DEPLOY / "operator.json5"),
    "group": ("operator", DEPLOY / "group.json5"),
    "every_key_config": ("config", FOLDER / "every_key.json"),
    "every_key_operator": ("operator", FOLDER / "every_key.json5"),
    "least_config": ("config", FOLDER / "least.json"),
    "least_operator": ("operator", FOLDER / "least.json5"),
}


def golden(name: str) -> Any:
    return json.loads((FOLDER / name).read_text(encoding="utf-8"))


def error_message(loader: str, *text: Any) -> str | None:
    """Return the error message of a loader, or None if it accepts the text."""
    try:
        LOADERS[loader](*text)
    except FAULT as error:
        return str(error)
    return None


def equal_paths(one: Any, other: Any, path: str = "") -> list[str]:
    """Return the paths at which two pieces of plain data have the same value."""
    if isinstance(one, list) and isinstance(other, list) and one and other:
        return [
            found
            for index, pair in enumerate(zip(one, other))
            for found in equal_paths(*pair, f"{path}.{index}")
        ]
    return [path] if one == other else []


def key_paths(value: Any, path: tuple[str | int, ...] = ()) -> Iterator[tuple[str | int, ...]]:
    """Yield the paths of all keys of an object; only the first item of a list is searched."""
    first_item = enumerate(value[:1]) if isinstance(value, list) else ()
    for key, child in value.items() if isinstance(value, dict) else first_item:
        yield (*path, key)
        yield from key_paths(child, (*path, key))


def changed_configs() -> Iterator[tuple[str, str]]:
    """Yield names and texts of config files in which one key has a wrong value or is missing."""
    whole = golden("every_key.json")
    for *path, last in key_paths(whole):
        root = copy.deepcopy(whole)
        parent = functools.reduce(operator.getitem, path, root)
        parent[last] = WRONG
        yield f"wrong {'.'.join(map(str, (*path, last)))}", json.dumps(root)
        del parent[last]
        yield f"without {'.'.join(map(str, (*path, last)))}", json.dumps(root)


def changed_operators() -> Iterator[tuple[str, str]]:
    """Yield the same for the operator file, and also files with one key misspelt by doubling its name."""
    text = (FOLDER / "every_key.json5").read_text(encoding="utf-8")
    for number, line in enumerate(re.finditer("^", text, re.MULTILINE), 1):
        if found := KEY.match(text, line.start()):
            indent, key, value = found.groups()
            wrong, misspelt = f"{indent}{key}: {json.dumps(WRONG)},", f"{indent}{key}{key}: {value}"
            for name, instead in (("wrong", wrong), ("without", ""), ("misspelt", misspelt)):
                yield f"{name} {number} {key}", text[: found.start()] + instead + text[found.end() :]


@pytest.mark.parametrize("name", FILES)
def test_a_file_loads_to_its_golden_values(name: str) -> None:
    loader, path = FILES[name]
    loaded = plain(LOADERS[loader](path.read_text(encoding="utf-8")))
    assert json.dumps(loaded) == json.dumps(golden("values.json")[name])


@pytest.mark.parametrize("kind", ["config", "operator"])
def test_the_files_with_every_key_set_no_key_to_its_default(kind: str) -> None:
    # The expected equal paths are those that no key of a config file sets (the reply in the rollout state,
    # the log level, the operator options), and those of a group's members after the first, which has every
    # key.
    values = golden("values.json")
    assert equal_paths(values[f"every_key_{kind}"], values[f"least_{kind}"]) == values[f"alike_{kind}"]


@pytest.mark.parametrize(("kind", "changes"), [("config", changed_configs), ("operator", changed_operators)])
def test_error_messages_for_each_wrong_or_missing_or_misspelt_key(
    kind: str, changes: Callable[[], Iterator[tuple[str, str]]]
) -> None:
    assert {name: error_message(kind, text) for name, text in changes()} == golden(f"{kind}_keys.json")


@pytest.mark.parametrize(("loader", "text", "message"), golden("faults.json"))
def test_the_error_message_for_a_fault(loader: str, text: list[Any], message: str) -> None:
    assert error_message(loader, *text) == message
