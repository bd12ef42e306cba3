"""Jobs that are submitted while the store gives no answers, by callers with three seconds.

What happens to the calls of that time differs: they are lost, carried out without an answer, or
carried out a second after the store answers again. In the first case the owners' claims expire in
silences that are longer than their lease.
"""

import anyio
import attrs
import pytest

from ...exception import StoreUnavailable
from .batch_callers import job_document, run_callers

LATENCY_TARGET_SECONDS = 10.0
CALL_TIMEOUT_SECONDS = 1.5
#: delay after the silence of calls that are carried out late, in seconds
LATE_SECONDS = 1.0
#: times of submissions within the silence, in seconds
SUBMITTED_AT = (0.0, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 1.6, 2.0, 2.4, 2.8)
CALLER_SECONDS = 3.0


@attrs.define
class Silence:
    """When the store does not answer, and what happens to the calls then.

    :param calls: ``lost``, ``unanswered`` or ``late``
    """

    calls: str
    until: float = 0.0


class SilentStore:
    """A daemon's client of a store that gives no answers for a while."""

    def __init__(self, store, clock, tasks, silence):
        self.store = store
        self.clock = clock
        self.tasks = tasks
        self.silence = silence

    def __getattr__(self, name):
        call = getattr(self.store, name)

        async def call_silently(*args):
            left = self.silence.until - self.clock.now()
            if left <= 0.0:
                return await call(*args)
            if self.silence.calls != "lost":
                is_late = self.silence.calls == "late" and name == "commit"
                delay = left + LATE_SECONDS if is_late else 0.0
                self.tasks.start_soon(self._call_later, delay, call, args)
            await anyio.sleep(CALL_TIMEOUT_SECONDS)
            raise StoreUnavailable("no answer")

        return call_silently

    async def _call_later(self, delay, call, args):
        await anyio.sleep(delay)
        await call(*args)


async def submit_in_silence(callers, seconds, calls, place):
    """Submit jobs while the store is silent; return each caller's answers, by job.

    A caller that is answered 504 asks again at once, one that is refused after the time named.
    """
    silence, answers = Silence(calls), {}
    for daemon in callers.fleet.daemons.values():
        node = daemon.node
        node.context.store = node.session.store = SilentStore(
            node.context.store, callers.clock, callers.fleet.tasks, silence
        )
    at = callers.daemon(place)
    await callers.submit(at, "00000000000000aa", job_document())
    started_at = callers.clock.now()
    silence.until = started_at + seconds

    async def ask(number, submitted_at):
        job_id = f"{number + 1:016x}"
        answers[job_id] = []
        await anyio.sleep(submitted_at)
        for _ in range(4):
            answer = await callers.submit(at, job_id, job_document(1), CALLER_SECONDS)
            answers[job_id].append(answer)
            if answer.status == 202:
                return
            await anyio.sleep(answer.retry_seconds)

    async with anyio.create_task_group() as tasks:
        for number, submitted_at in enumerate(each for each in SUBMITTED_AT if each < seconds):
            tasks.start_soon(ask, number, submitted_at)
    return answers


@pytest.mark.parametrize("place", ["owner", "other"])
@pytest.mark.parametrize(
    ("seconds", "calls", "most_unknown"),
    [
        (1.0, "lost", 0),
        (1.0, "unanswered", 0),
        (1.0, "late", 0),
        (2.0, "lost", 0),
        (2.0, "unanswered", 0),
        (2.0, "late", 0),
        (3.0, "lost", 1),
        (3.0, "unanswered", 1),
        (3.0, "late", 1),
    ],
)
def test_callers_get_the_truth_once_the_store_answers_again(seconds, calls, most_unknown, place):
    async def scenario(callers):
        answers = await submit_in_silence(callers, seconds, calls, place)
        await anyio.sleep(4.0)
        return answers, {job_id: len(callers.runs_of(job_id)) for job_id in answers}

    answers, runs = run_callers(scenario, latency_target_seconds=LATENCY_TARGET_SECONDS)
    report = {
        job_id: [(each.status, each.reason, round(each.seconds, 2)) for each in found]
        for job_id, found in answers.items()
    }
    unknown = [found for found in answers.values() if found[0].status == 504]
    assert len(unknown) <= most_unknown, report
    for found in unknown:
        assert found[1].status == 202, report
        assert found[1].seconds < 1.0, report
    for job_id, found in answers.items():
        assert found[-1].status == 202, report
        assert runs[job_id] == 1, report
        assert all(each.seconds < CALLER_SECONDS for each in found), report


@pytest.mark.parametrize(("calls", "known_after"), [("unanswered", 0.6), ("late", 1.6)])
def test_doubt_is_settled_soon_after_the_silence_although_nobody_asks_again(calls, known_after):
    async def scenario(callers):
        silence = Silence(calls, callers.clock.now() + 2.0)
        owner_name, node = callers.owner_name, callers.fleet.daemons[callers.owner_name].node
        node.context.store = node.session.store = SilentStore(
            node.context.store, callers.clock, callers.fleet.tasks, silence
        )
        job_id = "00000000000000ab"
        answer = await callers.submit(owner_name, job_id, job_document(1), 0.3)
        await anyio.sleep(silence.until + known_after - callers.clock.now())
        state = await callers.ask(owner_name, "GET", job_id)
        await anyio.sleep(3.0)
        return answer, state, len(callers.runs_of(job_id))

    answer, state, runs = run_callers(scenario, latency_target_seconds=LATENCY_TARGET_SECONDS)
    assert (answer.status, state.status, runs) == (504, 200, 1)
