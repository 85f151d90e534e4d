"""Determines which configuration changes a running agent applies and which need a restart."""

from __future__ import annotations

from dataclasses import dataclass, replace

import msgspec

from frostfall.config import Address, Config

RESTART_ONLY_KEYS = ("name", "listen", "limits", "peer_listen", "peers", "peers_all", "settings", "log_level")


@dataclass(frozen=True, slots=True)
class ReloadPlan:
    """The changes to apply after comparing two configurations."""

    config: Config  # the configuration to run with
    rollout_address: Address | None  # where the rollout client connects; None: unchanged
    slow_peers_changed: bool
    applied_keys: list[str]  # keys of the changes that take effect now
    needs_restart: list[str]  # keys of the changes that take effect after a restart


def plan_reload(current: Config, new: Config, *, has_rollout_client: bool) -> ReloadPlan:
    """Compare the configuration in use with a new one."""
    applied_keys = ["discovery"] if new.discovery != current.discovery else []
    needs_restart = [key for key in RESTART_ONLY_KEYS if getattr(new, key) != getattr(current, key)]
    effective_rollout_api = new.rollout_api
    if effective_rollout_api != current.rollout_api:
        if has_rollout_client and effective_rollout_api:
            applied_keys.append("release_api.address")
        else:
            needs_restart.append("release_api.address")
            effective_rollout_api = current.rollout_api
    options = new.options
    if options.group != current.options.group:
        needs_restart.append("group")
        options = msgspec.structs.replace(options, group=current.options.group)
    slow_peers_changed = options.slow_peers != current.options.slow_peers
    if slow_peers_changed:
        applied_keys.append("slow_peers")
    if options.logging != current.options.logging:
        applied_keys.append("logging")
    return ReloadPlan(
        config=replace(current, discovery=new.discovery, rollout_api=effective_rollout_api, options=options),
        rollout_address=new.rollout_api if has_rollout_client else None,
        slow_peers_changed=slow_peers_changed,
        applied_keys=applied_keys,
        needs_restart=needs_restart,
    )
