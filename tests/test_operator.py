"""Tests of the operator file: its defaults, error messages and the commands that read it."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from frostfall import config
from frostfall.cli import main
from frostfall.json5_locations import find_line, parse_path
from frostfall.limits.options import SlowPeerOptions
from frostfall.net import member_transport
from frostfall.options import Options
from frostfall.protocol.member_messages import OperatorReport
from tests.standins import make_config

ROOT = Path(__file__).parent.parent
ANNOTATED = ROOT / "deploy" / "operator.json5"
INVALID_FILES = {
    "{\n slow_peers: {\n  clients: {reading: {rate: 5, windw: 2}}}}": (3, "reading.windw: is no key here"),
    "{\n slow_peers: {\n  clients: {reading: {window: 2}}}}": (3, "clients.reading.rate: is missing"),
    "{slow_peers:\n {waiting: {all_bytes: 5}}}": (2, "waiting.source_bytes: 4194304 is over all_bytes, 5"),
    "{slow_peers: {\n log_every: -1}}": (2, "slow_peers.log_every: -1 is not above 0"),
    "{slow_peers: {\n\n clients: {reading: {\n rate: 'x'}}}}": (4, "rate: Expected `float`, got `str`"),
    "{slow_peers: {clients: {reading: {rate: 5,\n window: 2, grace: 2}}}}": (2, "grace: 2 is not from 0"),
    "{\n slow_peers: [}\n}": (2, "Unexpected"),
    "{slow_peers: {servers: {\n apart: {share: 1.5}}}}": (2, "apart.share: 1.5 is not from 0 to below 1"),
}


@pytest.mark.parametrize("text", INVALID_FILES)
def test_an_error_names_the_file_the_line_and_the_key(text: str) -> None:
    line, part = INVALID_FILES[text]
    with pytest.raises(config.ConfigError) as error:
        config.parse_operator_file(text.encode(), "own.json5")
    assert str(error.value).startswith(f"own.json5, line {line}: ")
    assert part in str(error.value)


@pytest.mark.parametrize("text", [b"", b"\xff\xfe", b"[1]", b"{a: 1, a: 2}", b"[" * 5000, b"{a: {} b}"])
def test_an_invalid_operator_file_raises_a_config_error(text: bytes) -> None:
    with pytest.raises(config.ConfigError, match=r"own\.json5"):
        config.parse_operator_file(text, "own.json5")


def test_without_a_file_or_with_an_empty_file_all_features_are_off() -> None:
    assert config.parse_operator_file(b"{} // nothing", "own.json5") == Options()
    assert make_config().options.slow_peers is None
    assert not SlowPeerOptions().monitors_clients and not SlowPeerOptions().monitors_servers


def test_the_annotated_file_contains_the_defaults() -> None:
    options = config.parse_operator_file(ANNOTATED.read_bytes(), "operator.json5").slow_peers
    assert options is not None
    defaults = SlowPeerOptions()
    assert (options.turn, options.log_every) == (defaults.turn, defaults.log_every)
    assert options.servers.apart == defaults.servers.apart
    assert options.waiting == type(options.waiting)()
    assert options.clients.sending_most == defaults.clients.sending_most


def test_a_request_class_that_the_settings_do_not_define_is_an_error() -> None:
    with pytest.raises(config.ConfigError, match=r"clients\.classes\.nap: no class of the settings"):
        make_config(options="{slow_peers: {clients: {classes: {nap: {reading: {rate: 5}}}}}}")
    configuration = make_config(
        options="""{slow_peers: {clients: {
        reading: {rate: 9}, classes: {order: {reading: {rate: 5}}}}}}"""
    )
    assert configuration.options.slow_peers is not None
    clients = configuration.options.slow_peers.clients
    assert [rule.rate for name in ("order", "read") if (rule := clients.reading_rate(name))] == [5, 9]


def test_the_line_of_a_key_is_found_among_comments_strings_and_lists() -> None:
    text = '{ // "b": 1\n a: "b: {", /* b:\n */ "b": [1,\n {c: 2},\n {c: 3}], }'
    assert find_line(text, ("b",)) == 3
    assert find_line(text, ("b", "1", "c")) == 4
    assert find_line(text, ("b", "2", "c")) == 5
    assert find_line(text, ("b", "2", "missing")) == 3
    assert parse_path("$.a.b[2].c") == ("a", "b", "2", "c")


def test_check_reports_each_file_and_exits_with_2_if_one_is_invalid(tmp_path: Path) -> None:
    invalid = tmp_path / "wrong.json5"
    invalid.write_text("{slow_peers: {log_every: 0}}")
    success = CliRunner().invoke(main, ["check", str(ROOT / "deploy" / "example.json"), str(ANNOTATED)])
    assert success.exit_code == 0 and success.output.count(": good") == 2
    failure = CliRunner().invoke(main, ["check", str(invalid), str(ANNOTATED), str(tmp_path / "none.json")])
    assert failure.exit_code == 2 and failure.output.count(": good") == 1
    assert f"{invalid}, line 1: slow_peers.log_every: 0 is not above 0" in failure.output
    assert "cannot read" in failure.output


@pytest.mark.parametrize(("fields", "code"), [({"name": "n0"}, 0), ({"name": "n0", "kept": False}, 1)])
def test_a_report_of_another_version_is_shown_as_json(
    fields: dict[str, Any], code: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def report(*_: Any) -> OperatorReport:
        return OperatorReport(1, fields)

    monkeypatch.setattr(member_transport, "send_operator_command", report)
    path = tmp_path / "operator.json5"
    path.write_text(
        "{group: {data: 'd', key: 'sixteen letters!', members: [{name: 'n0', address: '127.0.0.1:1'}]}}"
    )
    shown = CliRunner().invoke(main, ["group", "status", "--json", "--operator", str(path)])
    assert (shown.exit_code, json.loads(shown.stdout)) == (code, fields)
