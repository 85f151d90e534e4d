"""Tests of the configuration: defaults, and error messages that name the faulty key."""

from __future__ import annotations

import copy
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import msgspec
import pytest

from frostfall import config
from frostfall.config import Address
from frostfall.interface import Idempotency, RolloutPhase

READ_CLASS = {"name": "read", "aimUs": 500_000, "deadlineUs": 2_000_000, "effect": "safe", "credit": 1.0}
ORDER_CLASS = {"name": "order", "aimUs": 500_000, "deadlineUs": 2_000_000, "effect": "unsafe", "credit": 3.0}
EXAMPLE: dict[str, Any] = {
    "name": "n3",
    "listen": "127.0.0.1:5432",
    "discovery": "127.0.0.1:8500",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "peer_listen": "127.0.0.1:7946",
    "peers": ["127.0.0.1:7946", "127.0.0.1:7947"],
    "peers_all": "127.0.0.1:7999",
    "release_api": {
        "address": "127.0.0.1:6400",
        "news": {"release": 41, "tranche": 0, "mode": "stable", "exposure": 1.0, "old_ms": 5},
    },
    "known": {
        "generation": 41,
        "reset": True,
        "instances": [
            {
                "instanceId": "s-1",
                "hostPort": "127.0.0.1:1",
                "zone": "a",
                "cell": 0,
                "lifecycle": "in_service",
                "weight": 1.0,
                "startedAtMs": 0,
                "build": 41,
            }
        ],
    },
    "settings": {
        "ordinal": 0,
        "nInstances": 2,
        "grades": [READ_CLASS, ORDER_CLASS],
        "zone": "a",
        "discovery": "subscribe",
        "bounds": {
            "maxAttempts": 4,
            "mayCancel": True,
            "parallelTries": True,
            "peers": True,
            "connectTimeoutUs": 250_000,
            "connIdleUs": 15_000_000,
        },
        "rules": {
            "graceToAnswerUs": 20_000,
            "stopSendingWithinUs": 500_000,
            "askEveryUs": 2_000_000,
            "warmUpUs": 1_000_000,
            "fallMultiple": 4.0,
            "fallUs": 2_000_000,
            "coldFrom": 0.4,
        },
        "familyInfo": {
            "caps": [0.1, 1.0],
            "rings": [0.1, 1.0],
            "windowUs": 3_000_000,
            "uncounted": 2.0,
            "callsPerS": 50.0,
            "ballotTtlUs": 10_000_000,
            "apiTimeoutUs": 400_000,
        },
    },
}


def example_with(path: str, value: Any) -> bytes:
    """Return the encoded example with the value at `path` replaced, or removed if `value` is None."""
    example = copy.deepcopy(EXAMPLE)
    *parents, last_step = path.split(".")
    container: Any = example
    for step in parents:
        container = container[int(step) if step.isdigit() else step]
    if value is None:
        del container[last_step]
    else:
        container[int(last_step) if last_step.isdigit() else last_step] = value
    return msgspec.json.encode(example)


def test_example_is_parsed() -> None:
    parsed = config.parse(msgspec.json.encode(EXAMPLE), {})
    assert (parsed.name, parsed.listen, parsed.seed) == ("n3", Address("127.0.0.1", 5432), 0x8C1F30D27A5BE964)
    assert parsed.initial_rollout is not None and parsed.initial_rollout.phase is RolloutPhase.RELEASED
    assert [request_class.idempotency for request_class in parsed.settings.classes] == [
        Idempotency.IDEMPOTENT,
        Idempotency.NON_IDEMPOTENT,
    ]
    assert parsed.initial_endpoint_list.generation == 41 and parsed.log_level == "info"


def test_deployed_example_is_valid() -> None:
    path = Path(__file__).parent.parent / "deploy" / "example.json"
    assert config.load({"BALANCER_CONFIG": str(path)}).listen.port == 15432


def test_defaults_and_environment_variables() -> None:
    settings = {"ordinal": 0, "nInstances": 1, "grades": [READ_CLASS]}
    environment = {
        "BALANCER_LISTEN": "127.0.0.1:1",
        "BALANCER_DISCOVERY": "127.0.0.1:2",
        "BALANCER_NAME": "n9",
    }
    parsed = config.parse(msgspec.json.encode({"settings": settings}), environment)
    assert (parsed.name, parsed.limits.sockets, parsed.limits.memory_mb, parsed.peers) == (
        "n9",
        1024,
        192,
        (),
    )
    assert parsed.listen.port == 1 and parsed.rollout_api is None and parsed.initial_rollout is None


@pytest.mark.parametrize(
    ("path", "value", "key"),
    [
        ("settings", None, "settings"),
        ("listen", "nowhere", "listen"),
        ("listen", "127.0.0.1:0", "listen"),
        ("listen", None, "listen"),
        ("discovery", "127.0.0.1:99999", "discovery"),
        ("seed", "xyz", "seed"),
        ("limits.sockets", "many", "limits.sockets"),
        ("limits.sockets", 3, "limits.sockets"),
        ("limits.memory_mb", 0, "limits.memory_mb"),
        ("limits.cores", -1, "limits.cores"),
        ("peers.1", "x", "peers[1]"),
        ("peers", ["127.0.0.1:1"], "peers"),
        ("peer_listen", "x:y", "peer_listen"),
        ("release_api.address", "", "release_api.address"),
        ("release_api.news.mode", "odd", "release_api.news"),
        ("known.generation", "x", "known.generation"),
        ("known.instances.0.hostPort", None, "known.instances"),
        ("settings.ordinal", 2, "settings.ordinal"),
        ("settings.nInstances", "x", "nInstances"),
        ("settings.grades", [], "settings.grades"),
        ("settings.grades.0.aimUs", 0, "aimUs"),
        ("settings.grades.0.effect", "odd", "effect"),
        ("settings.bounds.connIdleUs", 0, "connIdleUs"),
        ("settings.bounds.maxAttempts", 0, "maxAttempts"),
        ("settings.rules.askEveryUs", "x", "askEveryUs"),
    ],
)
def test_error_names_the_faulty_key(path: str, value: Any, key: str) -> None:
    with pytest.raises(config.ConfigError) as raised:
        config.parse(example_with(path, value), {})
    assert key in str(raised.value) and "\n" not in str(raised.value)


@pytest.mark.parametrize("text", [b"", b"{", b"[]", b"\xff\xfe", b"[" * 100_000])
def test_undecodable_configuration_is_rejected(text: bytes) -> None:
    with pytest.raises(config.ConfigError):
        config.parse(text, {})


def test_unknown_log_level_is_rejected() -> None:
    with pytest.raises(config.ConfigError, match="FROSTFALL_LOG"):
        config.parse(msgspec.json.encode(EXAMPLE), {"FROSTFALL_LOG": "loud"})


@pytest.mark.parametrize("content", [None, b"nonsense", example_with("limits.sockets", "many")])
def test_invalid_configuration_ends_program_with_one_line(content: bytes | None, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    if content is not None:
        path.write_bytes(content)
    completed = subprocess.run(
        [sys.executable, "-m", "frostfall"],
        capture_output=True,
        timeout=30,
        check=False,
        env={**os.environ, "BALANCER_CONFIG": str(path)},
    )
    assert completed.returncode == 2
    assert completed.stderr.startswith(b"frostfall: ") and completed.stderr.count(b"\n") == 1
    assert b"Traceback" not in completed.stderr
