"""Settings of small deployments, with the figures of the users' pages."""

from __future__ import annotations

from typing import Any

ROLLOUT = {
    "control": "first_voice",
    "ayesNeeded": 1,
    "backVotes": 1,
    "callsPerS": 200.0,
    "ballotTtlUs": 6_000_000,
    "apiTimeoutUs": 800_000,
    "minDwellUs": 2_000_000,
    "repeatEveryUs": 2_000_000,
    "uncounted": 3.0,
    "windowUs": 2_000_000,
    "caps": [0.07, 0.28, 0.7, 1.0],
    "rings": [0.05, 0.2, 0.5, 1.0],
    "closedStages": 2,
    "per": "all",
    "swap": "parallel",
}


def materials() -> dict[str, Any]:
    """Return settings like those of dar-materials: lists are pushed, a drain has 1 s of grace."""
    return {
        "family": "rollout",
        "discovery": "automatic",
        "zones": ["posta", "kariakoo"],
        "kinds": ["std-3core"],
        "tier": 0,
        "tiers": ["register-nodes"],
        "tickUs": 5000,
        "weightSource": "rough",
        "worthBy": "request",
        "clients": {"marksRetry": True},
        "customers": [],
        "overShareWorth": 0.1,
        "goal": {"whole": 0.6, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.2},
        "grades": [
            {
                "name": "spec-lookup",
                "aimUs": 1_200_000,
                "deadlineUs": 3_000_000,
                "effect": "safe",
                "credit": 1.0,
                "lateWorth": 0.0,
            },
            {
                "name": "cert-submit",
                "aimUs": 1_500_000,
                "deadlineUs": 6_000_000,
                "effect": "unsafe",
                "credit": 3.0,
                "lateWorth": 0.0,
            },
        ],
        "bounds": {
            "maxAttempts": 6,
            "mayCancel": True,
            "parallelTries": False,
            "peers": True,
            "probes": False,
            "retryAfter": True,
            "maxRetryAfterUs": 500_000,
            "connectTimeoutUs": 250_000,
            "connIdleUs": 15_000_000,
            "maxOpen": 20_000,
            "maxStreams": 1,
        },
        "rules": {
            "graceToAnswerUs": 70_000,
            "stopSendingWithinUs": 1_000_000,
            "askEveryUs": 10_000_000,
            "warmUpUs": 5_000_000,
            "fallMultiple": 3.0,
            "fallUs": 1_000_000,
            "coldFrom": 0.32,
        },
        "report": {"how": "off", "fields": []},
        "prices": {"crossZone": 0.01, "waste": 0.05, "peer": 0.01, "lateFail": 0.08},
        "familyInfo": ROLLOUT,
    }


MATERIALS_CLASSES = [("spec-lookup", 3000, 0.79), ("cert-submit", 6000, 0.21)]


def greenhouses() -> dict[str, Any]:
    """Return settings like those of brazos-climate: lists are pushed, a drain has 250 ms of grace."""
    return {
        **materials(),
        "zones": ["waco", "temple"],
        "kinds": ["std-2core"],
        "tiers": ["control-nodes"],
        "grades": [
            {
                "name": "reading",
                "aimUs": 1_000_000,
                "deadlineUs": 2_500_000,
                "effect": "safe",
                "credit": 1.0,
                "lateWorth": 0.0,
            },
            {
                "name": "setpoint",
                "aimUs": 1_200_000,
                "deadlineUs": 5_000_000,
                "effect": "keyed",
                "keyScope": "all",
                "keyTtlUs": 3_000_000,
                "credit": 5.0,
                "lateWorth": 0.0,
            },
        ],
        "bounds": {**materials()["bounds"], "maxAttempts": 3, "retryAfter": False},
        "rules": {
            "graceToAnswerUs": 70_000,
            "stopSendingWithinUs": 250_000,
            "askEveryUs": 10_000_000,
            "warmUpUs": 4_400_000,
            "fallMultiple": 2.0,
            "fallUs": 1_500_000,
            "coldFrom": 0.33,
        },
        "familyInfo": {
            **ROLLOUT,
            "control": "automatic",
            "callsPerS": 50.0,
            "ballotTtlUs": 10_000_000,
            "apiTimeoutUs": 1_200_000,
            "stepUs": 4_000_000,
            "repeatEveryUs": 4_000_000,
            "uncounted": 2.0,
            "caps": [0.16, 0.5, 1.0, 1.0],
            "rings": [0.08, 0.25, 0.6, 1.0],
            "closedStages": 0,
            "toPause": 1,
        },
    }


GREENHOUSE_CLASSES = [("reading", 2500, 0.6), ("setpoint", 5000, 0.4)]
