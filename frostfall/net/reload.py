"""What a reload of the configuration changes in a running agent, and what waits for a restart."""

from __future__ import annotations

from dataclasses import dataclass, replace

import msgspec

from frostfall.config import Address, Config

RESTART_ONLY_KEYS = ("name", "listen", "limits", "peer_listen", "peers", "peers_all", "settings", "log_level")


@dataclass(frozen=True, slots=True)
class ReloadPlan:
    """The outcome of comparing two configurations."""

    config: Config  # what the agent runs with from now on
    rollout_address: Address | None  # where the rollout client connects; None: it is left alone
    slow_peers_changed: bool
    moved: list[str]  # keys that take effect now
    needs_restart: list[str]  # keys that differ and take effect with the next start


def plan_reload(current: Config, new: Config, *, has_rollout_client: bool) -> ReloadPlan:
    """Compare the configuration in use with a new one."""
    moved = ["discovery"] if new.discovery != current.discovery else []
    needs_restart = [key for key in RESTART_ONLY_KEYS if getattr(new, key) != getattr(current, key)]
    platform = new.rollout_api
    if platform != current.rollout_api:
        if has_rollout_client and platform:
            moved.append("release_api.address")
        else:
            needs_restart.append("release_api.address")
            platform = current.rollout_api
    options = new.options
    if options.group != current.options.group:
        needs_restart.append("group")
        options = msgspec.structs.replace(options, group=current.options.group)
    slow_peers_changed = options.slow_peers != current.options.slow_peers
    if slow_peers_changed:
        moved.append("slow_peers")
    if options.logging != current.options.logging:
        moved.append("logging")
    return ReloadPlan(
        config=replace(current, discovery=new.discovery, rollout_api=platform, options=options),
        rollout_address=new.rollout_api if has_rollout_client else None,
        slow_peers_changed=slow_peers_changed,
        moved=moved,
        needs_restart=needs_restart,
    )
