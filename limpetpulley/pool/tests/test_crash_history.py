"""How much a crash says about what had just started, by how many others there were."""

import math

import pytest

from ...batch import TaskId
from ..crash_history import HISTORY_SECONDS, CrashHistory

NOW = 50.0
UNIT = TaskId("a", 0, 0, 0)


def full_crashes(count, workers, starts=1):
    """Return how many crashes with one suspect add up to two that count in full."""
    history = CrashHistory()
    for number in range(count):
        history.note_crash({}, NOW + number / 10)
    return math.ceil(2 / history.evidence(workers, starts, NOW + 1.0))


# Guards against jobs that are given up where workers crash often, and against more starts of tasks
# that crash their workers where no others crash.
@pytest.mark.parametrize(
    ("count", "workers", "starts", "crashes"),
    [
        (0, 8, 1, 2),
        (1, 1, 1, 2),
        (2, 40, 1, 2),
        (2, 8, 1, 3),
        (5, 8, 1, 4),
        (5, 40, 1, 2),
        (8, 40, 1, 3),
        (5, 40, 3, 3),
        (3, 1, 1, 6),
    ],
)
def test_a_crash_says_less_the_more_workers_crash_for_other_reasons(
    count, workers, starts, crashes
):
    assert full_crashes(count, workers, starts) == crashes


@pytest.mark.parametrize(
    ("suspects", "cleared", "is_unexplained"),
    [
        ({}, [], True),
        ({UNIT: 7}, [], False),
        ({UNIT: 7}, [(UNIT, 8)], True),
        # The run that was lost with the worker, or one before it, proves nothing.
        ({UNIT: 7}, [(UNIT, 7), (UNIT, 6)], False),
        ({UNIT: 7, UNIT._replace(position=1): 8}, [(UNIT, 9)], False),
    ],
)
def test_crash_is_unexplained_once_all_its_suspects_are_cleared(suspects, cleared, is_unexplained):
    history = CrashHistory()
    for number in range(4):
        history.note_crash(dict(suspects), NOW + number / 10)
    for unit, number in cleared:
        history.clear(unit, number)
    assert (history.evidence(8, 1, NOW + 1.0) < 1.0) is is_unexplained
    assert history.has_suspects(NOW + 1.0) is not is_unexplained


def test_workers_that_crash_at_once_count_as_one_event():
    history = CrashHistory()
    for _ in range(4):
        history.note_crash({}, NOW)
    assert history.evidence(8, 1, NOW + 1.0) == 1.0


def test_crashes_are_forgotten():
    history = CrashHistory()
    for number in range(4):
        history.note_crash({}, NOW + number / 10)
    assert history.evidence(8, 1, NOW + HISTORY_SECONDS + 1.0) == 1.0
    history.note_crash({UNIT: 7}, NOW + HISTORY_SECONDS + 1.0)
    assert len(history.crashes) == 1
    assert not history.has_suspects(NOW + 3 * HISTORY_SECONDS)
