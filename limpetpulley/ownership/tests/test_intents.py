"""Intents of VM orders while writes of them have no answer."""

import anyio
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...batch.keys import BatchKeys
from ...exception import StoreUnavailable
from ...fleet.peak_forecast import PeakForecaster
from ...fleet.planner_record import OrderIntent, decode_planner_record
from ...standin.virtual import VirtualClock, run_virtual
from ...store import Compare, MemoryStore, Put
from ...telemetry import null_log
from .. import DaemonContext, Timing
from ..directory import PLANNER
from ..intents import IntentLog

KEYS = BatchKeys("lp/")
INTENT = OrderIntent("m-1", "w-1", "desk")


class UnansweringStore(MemoryStore):
    """A store whose answers to writes are lost while ``lossy``; the writes take effect."""

    lossy = False

    async def commit(self, compares, writes):
        result = await super().commit(compares, writes)
        if self.lossy:
            raise StoreUnavailable("no answer")
        return result


def test_repeated_intent_is_stored_again_after_a_write_without_an_answer():
    """The write without an answer may have stored it as closed, with a shorter wait."""

    async def run():
        async with anyio.create_task_group() as tasks:
            clock = VirtualClock()
            store = UnansweringStore(clock)
            claim = await store.commit([], [Put(KEYS.owner(PLANNER), b"{}")])
            context = DaemonContext(
                store, KEYS, None, clock, null_log("entry-1"), Timing(), tasks, clock.now
            )
            log = IntentLog(context, Compare(KEYS.owner(PLANNER), claim.revision), PeakForecaster())
            tasks.start_soon(log.run)
            first = await log.record(INTENT)
            log.close(INTENT.vm)
            store.lossy = True
            await anyio.sleep(0.7)
            store.lossy = False
            second = await log.record(INTENT)
            entry = await store.get(KEYS.succession)
            stored = decode_planner_record(entry.value).intents_by_vm()
            tasks.cancel_scope.cancel()
        return first, second, stored[INTENT.vm].wait == context.timing.holder_lease

    assert_that(run_virtual(run), Equals((True, True, True)))
