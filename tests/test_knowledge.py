"""What agents know together: nothing counts twice, and nothing unreadable is taken in."""

from __future__ import annotations

import random
from base64 import b85encode

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from frostfall.mechanisms.mixing import exchange_partner, round_length
from frostfall.shared_health.push_sum import (
    HEADER,
    PLAIN_ENTRY,
    SMALLEST_VALUE,
    VALUE_BY_LEVEL,
    PushSum,
    decode_message,
    encode_message,
    make_key,
    quantize,
)
from frostfall.shared_health.server_health import SharedHealth

ROOM = 200
KEYS = [make_key(0, n) for n in range(8)]
ALL = (1.0, 1.0, 1.0)
S = 1_000_000


def turn(group: list[PushSum], number: int, turns: int, lost: set[int] = frozenset()) -> None:  # type: ignore
    """One turn of all; what the lost ones send or should hear never arrives."""
    texts = [each.build_message(number, ROOM, persistent_keys=set(KEYS)) for each in group]
    for i, each in enumerate(group):
        other = exchange_partner(i, len(group), number, turns)
        if other != i and not {i, other} & lost:
            each.receive(number, texts[other])
        each.end_exchange(number, other == i)


@settings(max_examples=30, deadline=None)
@given(st.integers(1, 40), st.integers(0, 2**32))
def test_all_come_to_know_what_all_saw(agents: int, seed: int) -> None:
    draw, turns = random.Random(seed), round_length(agents)
    group = [PushSum(agents, turns) for _ in range(agents)]
    seen = {key: [0, 0] for key in KEYS}
    for _ in range(100):
        key, failed = draw.choice(KEYS), draw.random() < 0.5
        draw.choice(group).record(key, 1, failed, -1.5)
        seen[key][0] += 1
        seen[key][1] += failed
    for each in group:
        each.end_round(ALL, set(KEYS))
    for number in range(6 * turns):
        turn(group, number, turns)
    for each in group:
        each.end_round(ALL, set(KEYS))
    for key, (tried, failed) in seen.items():
        if failed >= 2:  # what is hardly worth telling need not have reached all
            mean = sum(each.totals(key)[1] for each in group) / agents
            assert mean == pytest.approx(failed, rel=0.02)
            for each in group:
                assert each.totals(key)[1] == pytest.approx(failed, rel=0.25)
                assert each.totals(key)[0] == pytest.approx(tried, rel=0.25)


def test_a_doubled_message_counts_once_and_one_of_another_turn_not_at_all() -> None:
    a, b = PushSum(2, 2), PushSum(2, 2)
    a.record(KEYS[0], 8, 8)
    a.end_round(ALL)
    late = a.build_message(6, ROOM)
    text = a.build_message(7, ROOM)
    b.build_message(7, ROOM)
    for told in (late, text, text):
        b.receive(7, told)
    b.end_exchange(7, unpaired=False)
    b.end_round(ALL)
    assert b.totals(KEYS[0])[1] == pytest.approx(8, rel=0.1)  # half of eight, in the name of two


def test_what_a_lost_partner_was_offered_is_kept() -> None:
    a = PushSum(2, 2)
    a.record(KEYS[0], 8, 8)
    a.end_round(ALL)
    a.build_message(7, ROOM)
    a.end_exchange(7, unpaired=False)
    a.end_round(ALL)
    assert a.totals(KEYS[0])[1] == 16  # eight in the name of two: one of two turns went well


def test_an_agent_that_is_cut_off_speaks_for_itself_alone() -> None:
    a = PushSum(200, 9)
    a.record(KEYS[0], 1, 1)
    a.end_round(ALL)
    for number in range(9):
        a.build_message(number, ROOM)
        a.end_exchange(number, unpaired=False)
    a.end_round(ALL)
    # Danger: in the name of 200, one failure of its own would be 200.
    assert a.totals(KEYS[0])[1] == 1


def test_a_key_may_go_while_it_is_on_its_way() -> None:
    a, b = PushSum(2, 2), PushSum(2, 2)
    a.record(KEYS[0], 4, 4)
    a.end_round(ALL)
    a.build_message(7, ROOM)
    a.receive(7, b.build_message(7, ROOM))
    a.discard([KEYS[0]])
    a.end_exchange(7, unpaired=False)
    assert a.totals(KEYS[0]) == (0, 0, 0)


@pytest.mark.parametrize(
    "text",
    [
        "",
        " ",
        "A",
        "AA",
        "\u00e9",
        '"',
        encode_message(3, [(KEYS[0], (1.0, 1.0, 0.0))], ROOM)[:-4],
        b85encode(HEADER.pack(3, 1)).decode(),
    ],
)
def test_what_cannot_be_a_message_is_dropped(text: str) -> None:
    assert decode_message(text) is None
    a = PushSum(2, 2)
    a.build_message(3, ROOM)
    a.receive(3, text)
    a.end_exchange(3, unpaired=False)
    assert len(a) == 0


@given(st.binary(max_size=200))
def test_any_bytes_are_read_or_dropped(data: bytes) -> None:
    told = decode_message(b85encode(data).decode())
    assert told is None or all(each[0] >= 0 and each[1] >= 0 for each in told[1].values())


def test_a_list_keeps_to_its_room_and_names_the_heaviest_first() -> None:
    a = PushSum(4, 3)
    for n in range(200):
        a.record(make_key(0, n), n + 1, n + 1)
    a.end_round(ALL)
    text = a.build_message(0, 215)
    assert len(text) <= 215
    told = decode_message(text)
    assert told and set(told[1]) == {make_key(0, n) for n in range(200 - len(told[1]), 200)}


def test_what_is_told_can_be_kept_without_end_by_nobody() -> None:
    a = PushSum(2, 2)
    entries = b"".join(PLAIN_ENTRY.pack(make_key(0, n), 140, 140) for n in range(25))
    for number in range(500):
        a.build_message(number, ROOM)
        shifted = bytes(entries[:3]) + number.to_bytes(2, "little") + entries[5:]
        a.receive(number, b85encode(HEADER.pack(number & 0xFFFF, 0) + shifted).decode())
        a.end_exchange(number, unpaired=False)
    assert len(a) <= 512
    for _ in range(40):
        a.end_round((0.5, 0.5, 0.5))
    assert len(a) == 0


def alone(tried: float, failed: float, *machines: tuple[int, int]) -> float:
    """The evidence set aside, where these machines of a trial had so many outcomes and failures."""
    known = SharedHealth(1, 1)
    known.set_trial_stage((2, 0))
    for name, (good, bad) in enumerate(machines):
        for failing in [False] * good + [True] * bad:
            known.record_trial_outcome((name, 5), failing, -2.0)
    known.end_round(S)
    known.end_round(S)
    return known.outlier_evidence(tried, failed, 10)


def test_of_machines_on_trial_the_ones_that_fail_alone_are_set_aside() -> None:
    assert alone(50, 8, (2, 8), (20, 0), (20, 0)) == -16
    assert alone(90, 16, (2, 8), (2, 8), *[(10, 0)] * 7) == -32  # a quarter of the machines at most
    assert alone(80, 32, *[(2, 8)] * 4, *[(10, 0)] * 4) == 0  # too many to be by themselves
    assert alone(40, 12, (7, 3), (7, 3), (7, 3), (7, 3)) == 0  # the build fails
    assert alone(60, 9, *[(1, 1)] * 9, *[(2, 0)] * 21) == 0  # each once: nothing tells it from the build
    assert alone(12, 8, (2, 8), (2, 0)) == 0  # too little is known of the others
    assert alone(50, 2, (9, 1), (39, 1)) == 0  # once each is nobody's fault
    chance = [(10 - bad, bad) for bad in [3, 3] + [2] * 10 + [1] * 16 + [0] * 32]
    assert alone(600, 42, *chance) == 0  # a build that fails everywhere now and then


def test_a_new_start_is_another_server_and_an_old_stage_is_forgotten() -> None:
    known = SharedHealth(1, 1)
    for _ in range(9):
        known.record_attempt((7, 1), "a", True, False)
    known.end_round(S)
    known.end_round(S)
    assert known.failure_share((7, 1)) > 0.5
    assert known.failure_share((7, 2)) == 0
    known.set_trial_stage((2, 0))
    known.record_trial_outcome((7, 1), True, -2.0)
    known.set_trial_stage((2, 1))
    known.end_round(S)
    known.end_round(S)
    assert known.outlier_evidence(99, 9, 10) == 0


def test_what_was_seen_fades() -> None:
    known = SharedHealth(1, 10)
    for _ in range(9):
        known.record_attempt((7, 1), "a", True, False)
    known.end_round(S)
    known.end_round(S)
    before = known.failure_share((7, 1))
    for _ in range(20):
        known.end_round(S)
    assert known.failure_share((7, 1)) < before / 3


def test_a_server_from_which_nothing_comes_is_left_alone_by_most_and_one_that_answers_is_not() -> None:
    known = SharedHealth(1, 10)
    fleet = [((name, 1), "a") for name in range(4)]
    for name, silent, answered in ((0, 4, 0), (1, 4, 4), (2, 1, 0)):
        for quiet in [True] * silent + [False] * answered:
            known.record_attempt((name, 1), "a", False, quiet)
    known.end_round(S)
    known.end_round(S)
    assert known.servers_to_avoid(fleet, lambda: 0.5) == {(0, 1)}
    assert known.servers_to_avoid(fleet, lambda: 0.05) == set()  # or its return would go unseen
    assert known.servers_to_avoid([((0, 1), "a")], lambda: 0.5) == set()  # it is cut off itself
    known.record_attempt((0, 1), "a", False, False)
    for _ in range(3):
        known.end_round(S)
    assert known.servers_to_avoid(fleet, lambda: 0.5) == set()


@given(st.floats(0, 1e4))
def test_what_is_told_is_never_more_than_there_is_and_hardly_less(number: float) -> None:
    told = VALUE_BY_LEVEL[quantize(number)]
    assert told <= number
    assert told >= number * 0.9 - SMALLEST_VALUE


def test_a_zone_from_which_nothing_comes_is_lost_as_a_whole() -> None:
    known = SharedHealth(1, 10)
    fleet = [((name, 1), "b" if name < 4 else "a") for name in range(10)]
    for name in range(10):
        for _ in range(1 if name < 4 else 5):
            known.record_attempt((name, 1), "b" if name < 4 else "a", False, name < 4)
    known.end_round(S)
    known.end_round(S)
    assert known.servers_to_avoid(fleet, lambda: 0.5) == {(name, 1) for name in range(4)}
