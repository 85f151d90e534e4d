"""The outcome of an attempt's result, for each row of the protocol's table of outcomes."""

from __future__ import annotations

import pytest

from frostfall.interface import Outcome
from frostfall.protocol.attempt_result import AttemptProgress, AttemptResult
from frostfall.protocol.pg import MalformedReason
from frostfall.protocol.pg_client import ErrorAnswer, Row

P = AttemptProgress


@pytest.mark.parametrize(
    ("result", "outcome"),
    [
        (AttemptResult(P.ANSWERING, Row(b"")), Outcome.SUCCESS),
        (AttemptResult(P.ANSWERING, ErrorAnswer("XX000")), Outcome.ERROR),
        (AttemptResult(P.ANSWERING, ErrorAnswer("08P01")), Outcome.ERROR),
        (AttemptResult(P.ANSWERING, ErrorAnswer("53300")), Outcome.OVERLOADED),
        (AttemptResult(P.ANSWERING, ErrorAnswer("57P03")), Outcome.OVERLOADED),
        (AttemptResult(P.NO_CONNECTION, ErrorAnswer("53300")), Outcome.OVERLOADED),
        (AttemptResult(P.NO_CONNECTION, ErrorAnswer("XX000")), Outcome.UNREACHABLE),
        (AttemptResult(P.NO_CONNECTION), Outcome.UNREACHABLE),
        (AttemptResult(P.NO_CONNECTION, timed_out=True), Outcome.UNREACHABLE),
        (AttemptResult(P.NOT_WRITTEN), Outcome.UNREACHABLE),
        (AttemptResult(P.WRITTEN), Outcome.RESET),
        (AttemptResult(P.ANSWERING), Outcome.RESET),
        (AttemptResult(P.ANSWERING, MalformedReason.LENGTH), Outcome.RESET),
        (AttemptResult(P.WRITTEN, timed_out=True), Outcome.TIMED_OUT),
        (AttemptResult(P.ANSWERING, timed_out=True), Outcome.TIMED_OUT),
        (AttemptResult(P.WRITTEN, cancelled=True), Outcome.CANCELLED),
        (AttemptResult(P.NO_CONNECTION, cancelled=True), Outcome.CANCELLED),
    ],
)
def test_outcomes(result: AttemptResult, outcome: Outcome) -> None:
    assert result.outcome is outcome


@pytest.mark.parametrize("progress", [P.WRITTEN, P.ANSWERING])
@pytest.mark.parametrize(
    "more", [{}, {"timed_out": True}, {"cancelled": True}, {"answer": MalformedReason.TEXT}]
)
def test_once_written_only_a_rejection_proves_that_an_attempt_never_ran(
    progress: AttemptProgress, more: dict
) -> None:
    assert not AttemptResult(progress, **more).outcome.never_ran
