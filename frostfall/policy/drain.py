"""When a draining agent stops admitting, answers and ends (types: frostfall/interface.py)."""

from dataclasses import dataclass

LINGER_SECONDS = 0.7  # after the order to stop, new connections may still come, by the protocol
LONGEST_COUNTED_SECONDS = 3.0  # a longer deadline does not put off the earliest SIGKILL, by the protocol
ANSWER_MARGIN_SECONDS = 0.3  # before that SIGKILL, what is open gets its final answer ...
EXIT_MARGIN_SECONDS = 0.05  # ... and the agent ends
HELD_UP_MICROSECONDS = 150_000  # that a running process may be held up for, which the grace of a drain covers
ABANDON_SECONDS = 0.25  # that an agent whose task was cancelled takes to deliver its last answers


@dataclass(frozen=True, slots=True)
class DrainSchedule:
    """The moments of a drain, in monotonic seconds."""

    admission_ends_at: float  # no connection is accepted from here on, and each query is rejected
    answers_due_at: float  # what is still open is given up, with its final answer
    exit_at: float  # clients that have not read their answers by now are cut off


def graceful(now: float, longest_deadline: float) -> DrainSchedule:
    """The schedule of a drain that begins now; `longest_deadline` of all classes, in seconds."""
    kill_at = now + LINGER_SECONDS + min(longest_deadline, LONGEST_COUNTED_SECONDS)
    admission_ends_at = now + LINGER_SECONDS
    answers_due_at = max(kill_at - ANSWER_MARGIN_SECONDS, (admission_ends_at + kill_at) / 2)
    return DrainSchedule(
        admission_ends_at, answers_due_at, max(kill_at - EXIT_MARGIN_SECONDS, answers_due_at)
    )


def abandoned(now: float) -> DrainSchedule:
    """The schedule of an agent that is to end at once."""
    return DrainSchedule(now, now, now + ABANDON_SECONDS)
