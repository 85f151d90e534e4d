"""The schedule by which a draining agent answers its last requests and exits (frostfall/interface.py)."""

from dataclasses import dataclass

LINGER_SECONDS = 0.7  # time after the order to stop in which the protocol still allows new connections
MAX_DEADLINE_SECONDS = 3.0  # by the protocol, a longer deadline does not delay the earliest SIGKILL
ANSWER_MARGIN_SECONDS = 0.3  # time before the earliest SIGKILL at which open requests get final answers
EXIT_MARGIN_SECONDS = 0.05  # time before the earliest SIGKILL at which the agent exits
MAX_PAUSE_MICROSECONDS = 150_000  # longest delay of a running process that the drain grace has to cover
IMMEDIATE_DRAIN_SECONDS = 0.25  # time for an agent whose task was cancelled to deliver its last answers


@dataclass(frozen=True, slots=True)
class DrainSchedule:
    """The times of a drain, in seconds of the monotonic clock."""

    admission_ends_at: float  # from then on no connection is accepted, and each query is rejected
    answers_due_at: float  # open requests are given up and get their final answers
    exit_at: float  # the connections of clients that have not read their answers are closed


def graceful(now: float, longest_deadline: float) -> DrainSchedule:
    """Return the schedule of a drain that begins now.

    `longest_deadline` is the longest deadline of all request classes, in seconds.
    """
    kill_at = now + LINGER_SECONDS + min(longest_deadline, MAX_DEADLINE_SECONDS)
    admission_ends_at = now + LINGER_SECONDS
    answers_due_at = max(kill_at - ANSWER_MARGIN_SECONDS, (admission_ends_at + kill_at) / 2)
    return DrainSchedule(
        admission_ends_at, answers_due_at, max(kill_at - EXIT_MARGIN_SECONDS, answers_due_at)
    )


def immediate(now: float) -> DrainSchedule:
    """Return the schedule of an agent that has to exit at once."""
    return DrainSchedule(now, now, now + IMMEDIATE_DRAIN_SECONDS)
