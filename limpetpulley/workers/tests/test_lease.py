"""A lease that the owner takes for lapsed has lapsed on the worker."""

import heapq
import itertools

from hypothesis import event, given, settings
from hypothesis import strategies as st

from ...batch import Amount, TaskId
from ...standin.workers import MemoryWorker, RunPlan
from .. import ListedWorker, StartOrder
from ..lease import MIN_CLOCK_RATE, WorkerLease

#: longest delay of an order, in seconds
MAX_DELAY_SECONDS = 12.0
#: interval between two checks, in seconds: short against 2 % of a lease
CHECK_SECONDS = 0.05
LASTING = RunPlan(float("inf"))
DELAYS = st.floats(0.0, MAX_DELAY_SECONDS)


class SlowClock:
    """A worker's clock that runs at a rate of real time, from an origin of its own."""

    def __init__(self, rate, origin):
        self.rate, self.origin, self.real_seconds = rate, origin, 0.0

    def now(self):
        return self.origin + self.real_seconds * self.rate


class Link:
    """Carries holds and starts to a worker late and in any order, and some replies back."""

    def __init__(self, rate, origin):
        self.clock = SlowClock(rate, origin)
        listed = ListedWorker("w1", "desk", "w1:1", 1, Amount(8000, 8000))
        self.worker = MemoryWorker(listed, self.clock, lambda order: LASTING)
        self.lease = WorkerLease()
        self.lease.record_reply(self.worker.hold(1, 0, None).worker_seconds, 0.0)
        self.in_transit, self.counter, self.numbers = [], itertools.count(), itertools.count(1)

    @property
    def now(self):
        return self.clock.real_seconds

    def post(self, delay, action):
        heapq.heappush(self.in_transit, (self.now + delay, next(self.counter), action))

    def send_hold(self, length, delay, reply_delay):
        until = self.lease.extend(self.now, length)
        self.post(delay, lambda: self.reply(self.worker.hold(1, 0, until), reply_delay))

    def send_start(self, length, delay, extends):
        until = self.lease.extend(self.now, length) if extends else self.lease.until_seconds
        number = next(self.numbers)
        order = StartOrder("w1", TaskId("a", 0, 0, number), number, "")
        self.post(delay, lambda: self.worker.start(order, 1, until))

    def reply(self, reply, delay):
        if delay is not None:
            self.post(delay, lambda: self.lease.record_reply(reply.worker_seconds, self.now))

    def wait(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.advance_to(min(end, self.now + CHECK_SECONDS))

    def advance_to(self, until):
        while self.in_transit and self.in_transit[0][0] <= until:
            at, _, action = heapq.heappop(self.in_transit)
            self.clock.real_seconds = at
            action()
            self.check()
        self.clock.real_seconds = until
        self.check()

    def check(self):
        self.worker.advance()
        if self.lease.has_lapsed(self.now):
            event("lapsed after a run" if self.worker.ended else "lapsed")
            assert not self.worker.runs


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("send_hold"), st.floats(0.3, 9.0), DELAYS, st.one_of(st.none(), DELAYS)),
        st.tuples(st.just("send_start"), st.floats(0.3, 9.0), DELAYS, st.booleans()),
        st.tuples(st.just("wait"), st.floats(0.0, 6.0)),
    ),
    max_size=30,
)


@settings(max_examples=300, deadline=None)
@given(STEPS, st.floats(MIN_CLOCK_RATE, 1.0), st.floats(0.0, 1000.0))
def test_no_run_lives_on_a_worker_whose_lease_is_taken_for_lapsed(steps, rate, origin):
    link = Link(rate, origin)
    for name, *arguments in steps:
        getattr(link, name)(*arguments)
        link.check()
    link.wait(MAX_DELAY_SECONDS + 10.0)
    assert not link.worker.runs
