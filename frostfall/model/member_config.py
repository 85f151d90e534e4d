"""The configuration of a simulated member: group options and the settings shared by all members."""

from __future__ import annotations

from typing import Any

import msgspec

from frostfall import config
from frostfall.model.schedule import Schedule, member_names

FIRST_PORT = 10_000  # port of the first member's address; no socket is bound to the addresses
SEGMENT_BYTES = 65_536
FOLDER_BYTES = 1 << 20
RETENTION = 60.0  # seconds for which a finished operation is retained

_SETTINGS = {
    "ordinal": 0,
    "nInstances": 1,
    "zone": "a",
    "discovery": "automatic",
    "grades": [
        {"name": "order", "aimUs": 500_000, "deadlineUs": 2_000_000, "effect": "unsafe", "credit": 1.0}
    ],
    "bounds": {
        "maxAttempts": 4,
        "mayCancel": True,
        "parallelTries": False,
        "peers": False,
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
}


def member_config(schedule: Schedule, name: str, *, new_group: bool) -> config.Config:
    """Return the configuration of one member; `new_group` is set only for the first start of a group."""
    group: dict[str, Any] = {
        "data": "/nowhere",
        "key": "the model's own shared key",
        "operation": "op",
        "new": new_group,
        "retries_marked": schedule.marks_retries,
        "members": [
            {"name": member, "address": f"127.0.0.1:{FIRST_PORT + index}"}
            for index, member in enumerate(member_names(schedule.member_count))
        ],
        "store": {"segment_bytes": SEGMENT_BYTES, "folder_bytes": FOLDER_BYTES, "keep": RETENTION},
    }
    if schedule.replication:
        factor = schedule.replication
        group["copies"] = {"kept": factor.replicas, "acknowledged": factor.acknowledged}
    raw = {
        "name": name,
        "listen": "127.0.0.1:9999",
        "discovery": "127.0.0.1:9998",
        "settings": _SETTINGS,
        "seed": 7,
    }
    options = config.parse_operator_file(msgspec.json.encode({"group": group}), "model")
    return config.parse(msgspec.json.encode(raw), {}, options)
