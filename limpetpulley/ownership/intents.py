"""The write-ahead log of VM orders: intents are stored first and read by the next planner."""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping

import anyio
import attrs

from ..exception import StoreError, StoreUnavailable
from ..fleet.peak_forecast import PeakForecaster
from ..fleet.planner_record import (
    OrderIntent,
    PlannerRecord,
    decode_planner_record,
    encode_planner_record,
)
from ..store import Compare, Put
from .context import DaemonContext
from .failures import describe_error

__all__ = ["IntentLog"]

#: longest time from sending an order's bytes until it reaches the platform, in seconds; the
#: connection of a call is closed when the call is abandoned
MAX_TRANSIT_SECONDS = 0.3
#: timeout for storing an intent, in seconds; its order is then dropped and planned again
STORE_TIMEOUT_SECONDS = 1.0
#: delay before a write without an answer is retried, in seconds; after an error that nobody expects
#: it is doubled up to the maximum
RETRY_DELAY_SECONDS = 0.05
MAX_FAULT_DELAY_SECONDS = 1.0
#: interval at which the stored waits are reduced by the time that has passed, in seconds: a
#: successor that starts after a loss of all daemons should find little of them left
REFRESH_INTERVAL_SECONDS = 0.5


class IntentLog:
    """Stores order intents, and blocks orders for the VMs of the previous planner's intents.

    Two planners must not order the same VM within the lease of VM orders. A planner sends no
    orders after its claim has expired, but its last orders may be that recent.

    :param claim: the planner's claim, which is a condition of each write
    :param forecaster: holds the observed peaks, which are stored along with the intents
    """

    def __init__(self, context: DaemonContext, claim: Compare, forecaster: PeakForecaster):
        self.context = context
        self.claim = claim
        self.forecaster = forecaster
        self.started_at = context.clock.now()
        self.loaded = False
        self.inherited: Mapping[str, OrderIntent] = {}
        # Intents whose orders may be sent at any moment, and those whose orders may not any more,
        # with the local time at which they were closed.
        self.active: dict[str, OrderIntent] = {}
        self.closed: dict[str, tuple[OrderIntent, float]] = {}
        # The active intents at the last write, whether it included others, and its local time.
        self.stored: dict[str, OrderIntent] = {}
        self.stored_others = False
        self.stored_at = 0.0
        self.revision = 0
        self.write_needed = anyio.Event()
        self.written = anyio.Event()

    async def run(self) -> None:
        """Load the previous planner's record, then store intents until cancelled.

        While that fails, whatever the error, no order is sent whose intent is not stored.
        """
        delay = RETRY_DELAY_SECONDS
        while True:
            try:
                if not self.loaded:
                    await self._load()
                await self._wait_for_changes()
                if not await self._write():
                    await self._find_revision()
                    await anyio.sleep(RETRY_DELAY_SECONDS)
                delay = RETRY_DELAY_SECONDS
            except (StoreUnavailable, StoreError) as error:
                self.context.log.write("intents-not-stored", reason=str(error))
                await anyio.sleep(RETRY_DELAY_SECONDS)
                # The write may have taken effect, or may still do so.
                self.revision = -1
            except Exception as error:
                self.context.log.write("intents-not-stored", **describe_error(error))
                delay = min(2 * delay, MAX_FAULT_DELAY_SECONDS)
                await anyio.sleep(delay)
                self.revision = -1

    def is_blocked(self, vm: str) -> bool:
        """Return whether a VM must not be ordered: the previous planner may just have done so."""
        return not self.loaded or self._inherited_wait(vm, self.context.clock.now()) > 0

    def blocked_until(self, intent: OrderIntent) -> float:
        """Return the local time until which an inherited intent blocks its VM."""
        wait = intent.wait
        if not (math.isfinite(wait) and wait >= 0):
            wait = self.context.timing.holder_lease
        return self.started_at + wait + MAX_TRANSIT_SECONDS

    async def record(self, intent: OrderIntent) -> bool:
        """Store an intent before its order is sent; return whether that succeeded in time."""
        self.active[intent.vm] = intent
        with anyio.move_on_after(STORE_TIMEOUT_SECONDS):
            while self.stored.get(intent.vm) != intent:
                self.write_needed.set()
                await self.written.wait()
            return True
        return False

    def close(self, vm: str) -> None:
        """Close a VM's intent: its order will not be sent any more."""
        intent = self.active.pop(vm, None)
        if intent is not None:
            self.closed[vm] = (intent, self.context.clock.now())

    async def hand_over(self) -> None:
        """Store the record for the next planner, once no more orders are sent."""
        for vm in list(self.active):
            self.close(vm)
        try:
            await self._write()
        except (StoreUnavailable, StoreError) as error:
            self.context.log.write("intents-not-stored", reason=str(error))
        except Exception as error:
            self.context.log.write("intents-not-stored", **describe_error(error))

    async def _load(self) -> None:
        entry = await self.context.store.get(self.context.keys.succession)
        if entry is not None:
            self.revision = entry.revision
            try:
                self._restore(decode_planner_record(entry.value))
            except Exception as error:
                # Any VM may have been ordered by the previous planner.
                self.context.log.write("record-unreadable", key=entry.key, **describe_error(error))
                await anyio.sleep(self.context.timing.holder_lease + MAX_TRANSIT_SECONDS)
        self.loaded = True
        self.context.log.write(
            "succession-read",
            token=self.claim.revision,
            held=len(self.inherited),
            peaks=len(self.forecaster.peaks),
        )

    def _restore(self, record: PlannerRecord) -> None:
        self.inherited = record.intents_by_vm()
        now = self.context.clock.now()
        earlier = [peak.shifted(now - self.context.wall_time()) for peak in record.peaks]
        self.forecaster.restore(earlier, now)

    async def _wait_for_changes(self) -> None:
        while not self._is_write_due():
            with anyio.move_on_after(REFRESH_INTERVAL_SECONDS):
                await self.write_needed.wait()
            self.write_needed = anyio.Event()

    def _is_write_due(self) -> bool:
        if any(self.stored.get(vm) != intent for vm, intent in self.active.items()):
            return True
        if self.context.clock.now() - self.stored_at < REFRESH_INTERVAL_SECONDS:
            return False
        new_peaks = self.forecaster.seen_at > self.stored_at
        return new_peaks or self.stored_others or self.stored.keys() != self.active.keys()

    async def _write(self) -> bool:
        now, active = self.context.clock.now(), dict(self.active)
        wall_time_offset = self.context.wall_time() - now
        intents = tuple(self._relevant_intents(now))
        peaks = tuple(peak.shifted(wall_time_offset) for peak in self.forecaster.peaks)
        value = encode_planner_record(PlannerRecord(self.claim.revision, intents, peaks))
        key = self.context.keys.succession
        if self.revision < 0:
            await self._find_revision()
        # Without an answer, either record may be stored, and another write is due.
        self.stored, self.stored_others = {}, True
        # The key's revision is a condition too, so that a delayed write overwrites no later one.
        result = await self.context.store.commit(
            [self.claim, Compare(key, self.revision)], [Put(key, value)]
        )
        if not result.ok:
            return False
        self.revision = result.revision
        self.stored, self.stored_at = active, now
        self.stored_others = len(intents) > len(active)
        self.closed = {
            vm: entry for vm, entry in self.closed.items() if self._closed_wait(entry, now) > 0
        }
        written, self.written = self.written, anyio.Event()
        written.set()
        return True

    async def _find_revision(self) -> None:
        entry = await self.context.store.get(self.context.keys.succession)
        self.revision = entry.revision if entry else 0

    def _relevant_intents(self, now: float) -> Iterator[OrderIntent]:
        """Yield the intents that the next planner has to respect."""
        for intent in self.active.values():
            yield attrs.evolve(intent, wait=self.context.timing.holder_lease)
        for vm, entry in self.closed.items():
            wait = self._closed_wait(entry, now)
            if wait > 0 and vm not in self.active:
                yield attrs.evolve(entry[0], wait=wait)
        for vm, intent in self.inherited.items():
            wait = self._inherited_wait(vm, now)
            if wait > 0 and vm not in self.active and vm not in self.closed:
                yield attrs.evolve(intent, wait=wait)

    def _closed_wait(self, entry: tuple[OrderIntent, float], now: float) -> float:
        return self.context.timing.holder_lease - (now - entry[1])

    def _inherited_wait(self, vm: str, now: float) -> float:
        intent = self.inherited.get(vm)
        if intent is None:
            return 0.0
        return self.blocked_until(intent) - now
