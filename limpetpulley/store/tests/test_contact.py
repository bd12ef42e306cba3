"""Calls made in a silence of the store are given up at its next answer; slow ones are not."""

import anyio
import pytest

from ...standin.virtual import VirtualClock, run_virtual
from ..contact import SILENCE_SECONDS, StoreContact

CALL_SECONDS = 2.0


@pytest.mark.parametrize(
    ("answers", "given_up_at"),
    [
        # Each answer with the time of its call, both relative to the waiting call.
        ([], None),
        ([(0.1, 0.2), (0.4, 0.5), (0.7, 0.8)], None),
        ([(-0.2, 0.9)], None),
        ([(0.8, SILENCE_SECONDS + 0.4)], SILENCE_SECONDS + 0.4),
        ([(-0.2, 0.2), (0.5, 1.2), (1.3, 1.4)], 1.2),
        ([(0.1, 0.3), (0.4, 0.7), (0.8, 1.1)], None),
    ],
)
def test_call_is_given_up_once_a_later_one_is_answered_after_a_silence(answers, given_up_at):
    async def run():
        clock, contact = VirtualClock(), StoreContact()
        started_at = clock.now()
        contact.note_answer(started_at - 0.1, started_at)

        async def note_answers():
            for called_at, answered_at in answers:
                await anyio.sleep(started_at + answered_at - clock.now())
                contact.note_answer(started_at + called_at, clock.now())

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(note_answers)
            with anyio.CancelScope() as scope, contact.cancel_if_overtaken(scope, started_at):
                await anyio.sleep(CALL_SECONDS)
            elapsed = clock.now() - started_at
        assert not contact.waiting_calls
        return elapsed

    assert run_virtual(run) == pytest.approx(given_up_at or CALL_SECONDS, abs=0.01)


@pytest.mark.parametrize(
    ("arrivals", "asked_at", "is_answering"),
    [
        ([], 0.9, True),
        ([], 1.2, False),
        # A long answer arrives in parts, so that the store is not silent.
        ([0.5, 0.9, 1.3], 1.9, True),
        ([0.5, 0.9, 1.3], 2.4, False),
        # After an outage only a complete answer counts.
        ([1.5], 1.6, False),
    ],
)
def test_store_is_not_silent_while_a_long_answer_arrives(arrivals, asked_at, is_answering):
    contact = StoreContact()
    contact.note_answer(-0.1, 0.0)
    for at in arrivals:
        contact.note_arrival("read op/", at)
    assert contact.is_answering(asked_at) is is_answering
    assert contact.is_arriving("read op/", asked_at) is any(
        0 <= asked_at - at <= SILENCE_SECONDS for at in arrivals
    )
    assert not contact.is_arriving("read workers/", asked_at)
