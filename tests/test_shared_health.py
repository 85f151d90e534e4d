"""Shared health by push-sum gossip: nothing counts twice, and malformed messages are ignored."""

from __future__ import annotations

import random
from base64 import b85encode
from collections.abc import Set

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from frostfall.mechanisms.mixing import exchange_partner, round_length
from frostfall.shared_health.message_codec import (
    HEADER,
    PLAIN_ENTRY,
    SMALLEST_VALUE,
    VALUE_BY_LEVEL,
    HealthCounts,
    HealthEntry,
    decode_message,
    encode_message,
    make_key,
    quantize,
)
from frostfall.shared_health.push_sum import PushSum
from frostfall.shared_health.server_health import SharedHealth

MAX_CHARS = 200
KEYS = [make_key(0, n) for n in range(8)]
ALL = (1.0, 1.0, 1.0)
ROUND_US = 1_000_000


def run_slot(group: list[PushSum], slot: int, exchanges: int, lost: Set[int] = frozenset()) -> None:
    """Run one exchange of all agents; messages from and to the `lost` agents are dropped."""
    texts = [each.build_message(slot, MAX_CHARS, persistent_keys=set(KEYS)) for each in group]
    for i, each in enumerate(group):
        other = exchange_partner(i, len(group), slot, exchanges)
        if other != i and not {i, other} & lost:
            each.receive(slot, texts[other])
        each.end_exchange(slot, other == i)


@settings(max_examples=30, deadline=None)
@given(st.integers(1, 40), st.integers(0, 2**32))
def test_all_agents_converge_to_the_totals(agents: int, seed: int) -> None:
    draw, exchanges = random.Random(seed), round_length(agents)
    group = [PushSum(agents, exchanges) for _ in range(agents)]
    seen = {key: [0, 0] for key in KEYS}
    for _ in range(100):
        key, failed = draw.choice(KEYS), draw.random() < 0.5
        draw.choice(group).record(key, 1, failed, -1.5)
        seen[key][0] += 1
        seen[key][1] += failed
    for each in group:
        each.end_round(ALL, set(KEYS))
    for slot in range(6 * exchanges):
        run_slot(group, slot, exchanges)
    for each in group:
        each.end_round(ALL, set(KEYS))
    for key, (attempts, failed) in seen.items():
        if failed >= 2:  # an entry with one failure need not have reached all agents
            mean = sum(each.totals(key).failures for each in group) / agents
            assert mean == pytest.approx(failed, rel=0.02)
            for each in group:
                assert each.totals(key).failures == pytest.approx(failed, rel=0.25)
                assert each.totals(key).attempts == pytest.approx(attempts, rel=0.25)


def test_a_duplicate_message_counts_once_and_one_of_another_slot_not_at_all() -> None:
    a, b = PushSum(2, 2), PushSum(2, 2)
    a.record(KEYS[0], 8, 8)
    a.end_round(ALL)
    late = a.build_message(6, MAX_CHARS)
    text = a.build_message(7, MAX_CHARS)
    b.build_message(7, MAX_CHARS)
    for received in (late, text, text):
        b.receive(7, received)
    b.end_exchange(7, unpaired=False)
    b.end_round(ALL)
    assert b.totals(KEYS[0]).failures == pytest.approx(8, rel=0.1)  # half of eight, for two agents


def test_the_half_sent_to_a_lost_partner_is_retained() -> None:
    a = PushSum(2, 2)
    a.record(KEYS[0], 8, 8)
    a.end_round(ALL)
    a.build_message(7, MAX_CHARS)
    a.end_exchange(7, unpaired=False)
    a.end_round(ALL)
    assert a.totals(KEYS[0]).failures == 16  # eight, for two agents: one of two exchanges succeeded


def test_the_counts_of_an_isolated_agent_are_only_its_own() -> None:
    a = PushSum(200, 9)
    a.record(KEYS[0], 1, 1)
    a.end_round(ALL)
    for slot in range(9):
        a.build_message(slot, MAX_CHARS)
        a.end_exchange(slot, unpaired=False)
    a.end_round(ALL)
    # Multiplied by 200 agents, its single failure would be 200.
    assert a.totals(KEYS[0]).failures == 1


def test_a_key_may_be_discarded_during_an_exchange() -> None:
    a, b = PushSum(2, 2), PushSum(2, 2)
    a.record(KEYS[0], 4, 4)
    a.end_round(ALL)
    a.build_message(7, MAX_CHARS)
    a.receive(7, b.build_message(7, MAX_CHARS))
    a.discard([KEYS[0]])
    a.end_exchange(7, unpaired=False)
    assert a.totals(KEYS[0]) == HealthCounts(0, 0, 0)


@pytest.mark.parametrize(
    "text",
    [
        "",
        " ",
        "A",
        "AA",
        "\u00e9",
        '"',
        encode_message(3, [HealthEntry(KEYS[0], HealthCounts(1.0, 1.0, 0.0))], MAX_CHARS)[:-4],
        b85encode(HEADER.pack(3, 1)).decode(),
    ],
)
def test_a_malformed_message_is_ignored(text: str) -> None:
    assert decode_message(text) is None
    a = PushSum(2, 2)
    a.build_message(3, MAX_CHARS)
    a.receive(3, text)
    a.end_exchange(3, unpaired=False)
    assert len(a) == 0


@given(st.binary(max_size=200))
def test_arbitrary_bytes_decode_or_are_rejected(data: bytes) -> None:
    message = decode_message(b85encode(data).decode())
    assert message is None or all(
        each.attempts >= 0 and each.failures >= 0 for each in message.entries.values()
    )


def test_a_message_fits_and_has_the_entries_with_the_most_failures() -> None:
    a = PushSum(4, 3)
    for n in range(200):
        a.record(make_key(0, n), n + 1, n + 1)
    a.end_round(ALL)
    text = a.build_message(0, 215)
    assert len(text) <= 215
    message = decode_message(text)
    assert message and set(message.entries) == {
        make_key(0, n) for n in range(200 - len(message.entries), 200)
    }


def test_the_number_of_entries_is_bounded() -> None:
    a = PushSum(2, 2)
    entries = b"".join(PLAIN_ENTRY.pack(make_key(0, n), 140, 140) for n in range(25))
    for slot in range(500):
        a.build_message(slot, MAX_CHARS)
        shifted = bytes(entries[:3]) + slot.to_bytes(2, "little") + entries[5:]
        a.receive(slot, b85encode(HEADER.pack(slot & 0xFFFF, 0) + shifted).decode())
        a.end_exchange(slot, unpaired=False)
    assert len(a) <= 512
    for _ in range(40):
        a.end_round((0.5, 0.5, 0.5))
    assert len(a) == 0


def outlier_evidence(attempts: float, failures: float, *servers: tuple[int, int]) -> float:
    """Return the outlier evidence for servers on trial with these successes and failures."""
    health = SharedHealth(1, 1)
    health.set_trial_stage((2, 0))
    for name, (good, bad) in enumerate(servers):
        for failing in [False] * good + [True] * bad:
            health.record_trial_outcome((name, 5), failing, -2.0)
    health.end_round(ROUND_US)
    health.end_round(ROUND_US)
    return health.outlier_evidence(attempts, failures, 10)


def test_evidence_of_outliers_on_trial_is_excluded() -> None:
    assert outlier_evidence(50, 8, (2, 8), (20, 0), (20, 0)) == -16
    assert outlier_evidence(90, 16, (2, 8), (2, 8), *[(10, 0)] * 7) == -32  # two outliers of nine servers
    assert outlier_evidence(80, 32, *[(2, 8)] * 4, *[(10, 0)] * 4) == 0  # too many servers to be outliers
    assert outlier_evidence(40, 12, (7, 3), (7, 3), (7, 3), (7, 3)) == 0  # the build fails
    # One failure each does not distinguish outliers from a faulty build.
    assert outlier_evidence(60, 9, *[(1, 1)] * 9, *[(2, 0)] * 21) == 0
    assert outlier_evidence(12, 8, (2, 8), (2, 0)) == 0  # too few attempts at the other servers
    assert outlier_evidence(50, 2, (9, 1), (39, 1)) == 0  # a single failure is no outlier
    chance = [(10 - bad, bad) for bad in [3, 3] + [2] * 10 + [1] * 16 + [0] * 32]
    assert outlier_evidence(600, 42, *chance) == 0  # a build that fails occasionally on all servers


def test_a_restarted_server_counts_as_another_one_and_a_past_stage_is_dropped() -> None:
    health = SharedHealth(1, 1)
    for _ in range(9):
        health.record_attempt((7, 1), "a", True, False)
    health.end_round(ROUND_US)
    health.end_round(ROUND_US)
    assert health.failure_share((7, 1)) > 0.5
    assert health.failure_share((7, 2)) == 0
    health.set_trial_stage((2, 0))
    health.record_trial_outcome((7, 1), True, -2.0)
    health.set_trial_stage((2, 1))
    health.end_round(ROUND_US)
    health.end_round(ROUND_US)
    assert health.outlier_evidence(99, 9, 10) == 0


def test_failure_shares_decay() -> None:
    health = SharedHealth(1, 10)
    for _ in range(9):
        health.record_attempt((7, 1), "a", True, False)
    health.end_round(ROUND_US)
    health.end_round(ROUND_US)
    before = health.failure_share((7, 1))
    for _ in range(20):
        health.end_round(ROUND_US)
    assert health.failure_share((7, 1)) < before / 3


def test_most_agents_avoid_an_unreachable_server_and_none_a_responding_one() -> None:
    health = SharedHealth(1, 10)
    fleet = {(name, 1): "a" for name in range(4)}
    for name, silent, answered in ((0, 4, 0), (1, 4, 4), (2, 1, 0)):
        for is_silent in [True] * silent + [False] * answered:
            health.record_attempt((name, 1), "a", False, is_silent)
    health.end_round(ROUND_US)
    health.end_round(ROUND_US)
    assert health.servers_to_avoid(fleet, lambda: 0.5) == {(0, 1)}
    # Agents that draw a low random number go on sending, to detect the server's return.
    assert health.servers_to_avoid(fleet, lambda: 0.05) == set()
    assert health.servers_to_avoid({(0, 1): "a"}, lambda: 0.5) == set()  # the agent itself is isolated
    health.record_attempt((0, 1), "a", False, False)
    for _ in range(3):
        health.end_round(ROUND_US)
    assert health.servers_to_avoid(fleet, lambda: 0.5) == set()


@given(st.floats(0, 1e4))
def test_quantizing_rounds_down_by_one_step_at_most(number: float) -> None:
    sent = VALUE_BY_LEVEL[quantize(number)]
    assert sent <= number
    assert sent >= number * 0.9 - SMALLEST_VALUE


def test_an_unreachable_zone_is_avoided_as_a_whole() -> None:
    health = SharedHealth(1, 10)
    fleet = {(name, 1): "b" if name < 4 else "a" for name in range(10)}
    for name in range(10):
        for _ in range(1 if name < 4 else 5):
            health.record_attempt((name, 1), "b" if name < 4 else "a", False, name < 4)
    health.end_round(ROUND_US)
    health.end_round(ROUND_US)
    assert health.servers_to_avoid(fleet, lambda: 0.5) == {(name, 1) for name in range(4)}
