"""Arithmetic of the sequential test against values computed by hand, and the pairing of agents."""

from __future__ import annotations

import math

import pytest

from frostfall.mechanisms.mixing import exchange_partner, mixing_rate, round_length
from frostfall.mechanisms.sprt import decision_threshold, kl_divergence


@pytest.mark.parametrize("agents", [1, 2, 3, 5, 8, 13, 140])
def test_every_slot_pairs_each_agent_with_another_one_or_itself(agents: int) -> None:
    exchanges = round_length(agents)
    for slot in range(1000, 1000 + 3 * exchanges):
        pairs = [exchange_partner(i, agents, slot, exchanges) for i in range(agents)]
        assert [pairs[j] for j in pairs] == list(range(agents))


def dense_rate(agents: int, exchanges: int) -> float:
    """Return the second singular value of a round's matrix product, by power iteration."""
    matrix = [[float(i == j) for j in range(agents)] for i in range(agents)]
    for slot in range(7 * exchanges, 8 * exchanges):
        swap = [matrix[exchange_partner(i, agents, slot, exchanges)] for i in range(agents)]
        matrix = [[(a + b) / 2 for a, b in zip(*two, strict=True)] for two in zip(matrix, swap, strict=True)]
    vector, size = [math.sin(1.0 + i) for i in range(agents)], 0.0
    for _ in range(200):
        mean = sum(vector) / agents
        vector = [v - mean for v in vector]
        for rows in (matrix, list(zip(*matrix, strict=True))):
            vector = [sum(w * v for w, v in zip(row, vector, strict=True)) for row in rows]
        size = math.sqrt(sum(v * v for v in vector))
        if size < 1e-12:
            return 0.0
        vector = [v / size for v in vector]
    return math.sqrt(size)


@pytest.mark.parametrize("agents", [2, 3, 4, 5, 11, 16, 23])
def test_the_mixing_rate_equals_that_of_the_dense_matrices(agents: int) -> None:
    exchanges = round_length(agents)
    assert mixing_rate(agents, exchanges) == pytest.approx(dense_rate(agents, exchanges), abs=1e-6)


def test_the_mixing_rate_equals_hand_computed_values() -> None:
    assert mixing_rate(1, 1) == 0
    assert mixing_rate(2, 2) == pytest.approx(0)  # both have the mean after one exchange
    # For three agents, c changes twice, by 1 and by 2: cos(pi / 3) cos(2 pi / 3) = 1 / 4.
    assert mixing_rate(3, 3) == pytest.approx(0.25)


@pytest.mark.parametrize("agents", [2, 5, 62, 180, 540, 1000, 1300])
def test_a_round_is_short_and_mixes_well_enough_for_the_band_of_pooled_evidence(agents: int) -> None:
    exchanges = round_length(agents)
    assert exchanges <= math.log2(agents) + 5
    assert agents * mixing_rate(agents, exchanges) ** 2 <= 1


def test_thresholds_equal_hand_computed_values() -> None:
    # One agent, r = 0: 8/7 (log 40 - log(1 - e^-0.25)) = 8/7 (3.688879 + 1.508690)
    assert decision_threshold(0.05, 1, 0.0, 1.0) == pytest.approx(5.940079, abs=1e-5)
    # Four agents, r = 0.5, k = 1: 16/28 (log 160 - log(1 - e^-0.5)) for 0.05 / 4
    four = 4 / 7 * (math.log(160) - math.log(1 - math.exp(-0.5)))
    assert decision_threshold(0.0125, 4, 0.5, 1.0) == pytest.approx(four)
    assert decision_threshold(0.05, 4, 0.0, 1e9) == pytest.approx(2 / 7 * math.log(40))
    assert math.isfinite(decision_threshold(0.05, 1, 0.0, 0.0))


def test_divergence_of_known_shares() -> None:
    assert kl_divergence(0.5, 0.25) == pytest.approx(0.5 * math.log(2) + 0.5 * math.log(2 / 3))
    assert kl_divergence(0.2, 0.2) == 0
