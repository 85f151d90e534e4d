"""Outlier ejection: degraded servers are ejected, restored step by step, and never all at the same time."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from frostfall import interface as api
from frostfall.routing.outlier_ejection import MICROSECONDS_PER_SECOND, EjectionOptions, OutlierEjections
from tests.support import IDEMPOTENT, NON_IDEMPOTENT, SECOND, SETTINGS, EngineHarness, sent_attempts, server


def test_ejections_double_and_single_retryable_requests_restore_a_server() -> None:
    ejections, now = OutlierEjections(EjectionOptions(first=0.5, most=2.0, good_tries=2)), 0
    for pause in (0.5, 1.0, 2.0, 2.0):
        assert ejections.record_degraded(now, 7, fleet_size=4)
        # Other answers in progress from the same server do not extend the ejection.
        assert ejections.record_degraded(now + 1, 7, fleet_size=4)
        end = now + int(pause * MICROSECONDS_PER_SECOND)
        assert not ejections.admits(end - 1, 7, 0, True)
        assert ejections.admits(end, 7, 0, True)
        assert not ejections.admits(end, 7, 1, True) and not ejections.admits(end, 7, 0, False)
        now = end
    ejections.record_success(now, 7)
    assert not ejections.admits(now, 7, 3, True)
    ejections.record_success(now, 7)
    assert ejections.admits(now, 7, 3, False)  # restored
    assert ejections.record_degraded(now, 7, fleet_size=4)
    assert not ejections.admits(
        now + MICROSECONDS_PER_SECOND, 7, 0, True
    )  # the record is retained after the restoration
    ejections.forget(7)
    assert ejections.admits(now, 7, 3, False)


def test_a_request_from_before_the_ejection_does_not_count() -> None:
    ejections = OutlierEjections(EjectionOptions(good_tries=1))
    ejections.record_degraded(0, 1, fleet_size=4)
    ejections.record_success(1, 1)
    assert not ejections.admits(MICROSECONDS_PER_SECOND, 1, 0, False)


@given(
    st.integers(1, 12),
    st.lists(st.tuples(st.integers(0, 11), st.integers(0, 3 * MICROSECONDS_PER_SECOND)), max_size=60),
)
def test_no_more_than_the_share_is_ever_ejected(fleet: int, events: list[tuple[int, int]]) -> None:
    ejections, now = OutlierEjections(EjectionOptions(share=0.34)), 0
    for name, span in events:
        now += span
        ejections.record_degraded(now, name % fleet, fleet)
        ejected = sum(not ejections.admits(now, each, 0, True) for each in range(fleet))
        assert ejected <= (0 if fleet < 2 else max(int(fleet * 0.34), 1))


def test_an_ejected_server_gets_requests_only_if_no_other_server_is_left() -> None:
    agent = EngineHarness(SETTINGS, server(1), server(2), server(3))
    agent.handle(api.ServerDegraded(1))
    for _ in range(5):
        [sent] = sent_attempts(agent.send_request(IDEMPOTENT))
        assert sent.server in (2, 3)
        agent.end_attempt(sent)
    agent.update_servers(
        server(2, availability=api.Availability.REMOVED), server(3, availability=api.Availability.REMOVED)
    )
    assert sent_attempts(agent.send_request(NON_IDEMPOTENT))[0].server == 1


def test_a_restarted_server_has_no_record() -> None:
    agent = EngineHarness(SETTINGS, server(1), server(2))
    agent.handle(api.ServerDegraded(1))
    assert len(agent.engine.ejections) == 1
    agent.update_servers(server(1, started=99 * SECOND))
    assert not agent.engine.ejections
