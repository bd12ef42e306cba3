"""The stored list of VMs that may be ordered: written ahead, read by the next planner."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

import anyio
import attrs

from ..exception import RecordError, StoreError, StoreUnavailable
from ..fleet.peak_forecast import PeakForecaster
from ..fleet.planner_record import (
    OrderIntent,
    PlannerRecord,
    decode_planner_record,
    encode_planner_record,
)
from ..store import Compare, Put
from .around import Around

__all__ = ["IntentLog"]

#: longest time that an order is on its way after its bytes were sent, in seconds; a call's
#: connection is closed when it is given up
ON_THE_WAY_SECONDS = 0.3
#: longest time until an intent is stored, after which its order is decided anew, in seconds
STORE_SECONDS = 1.0
#: pause after a write without an answer, in seconds
RETRY_SECONDS = 0.05
#: time after which stored waits are shortened by what has passed, in seconds: a successor that
#: comes after a loss of all daemons should find little left of them
REFRESH_SECONDS = 0.5


class IntentLog:
    """Stores which VMs orders may be given about, and leaves alone those of the planner before.

    Two planners must not give orders about one VM within the lease of VM orders. A planner is
    known to send none after its claim has lapsed, but its last ones may be that recent.

    :param claim: the planner's claim, which each write compares
    :param turns: peaks that were seen, which are stored beside the intents
    """

    def __init__(self, around: Around, claim: Compare, forecaster: PeakForecaster):
        self.around = around
        self.claim = claim
        self.forecaster = forecaster
        self.started_at = around.clock.now()
        self.loaded = False
        self.inherited: Mapping[str, OrderIntent] = {}
        # Intents whose orders may be given at any moment, and those that no longer are, with the
        # local time of their end.
        self.open: dict[str, OrderIntent] = {}
        self.ended: dict[str, tuple[OrderIntent, float]] = {}
        # What was open at the last write, whether that told of any other intent, and when it was.
        self.stored: dict[str, OrderIntent] = {}
        self.tells_ended = False
        self.stored_at = 0.0
        self.revision = 0
        self.needed = anyio.Event()
        self.written = anyio.Event()

    async def run(self) -> None:
        """Read what the former planner left, then store intents until cancelled."""
        while True:
            try:
                if not self.loaded:
                    await self._load()
                await self._wait_for_news()
                if not await self._write():
                    await self._find_revision()
                    await anyio.sleep(RETRY_SECONDS)
            except (StoreUnavailable, StoreError) as error:
                self.around.log.write("intents-not-stored", reason=str(error))
                await anyio.sleep(RETRY_SECONDS)
                # The write may have taken effect, or may still do.
                self.revision = -1

    def is_held(self, vm: str) -> bool:
        """Return whether a VM must be left alone, since the former planner may have ordered it."""
        return not self.loaded or self._inherited_wait(vm, self.around.clock.now()) > 0

    def held_until(self, intent: OrderIntent) -> float:
        """Return the local time until which an inherited intent counts."""
        return self.started_at + intent.wait + ON_THE_WAY_SECONDS

    async def cover(self, intent: OrderIntent) -> bool:
        """Store an intent before its order is given; return whether that succeeded in time."""
        self.open[intent.vm] = intent
        with anyio.move_on_after(STORE_SECONDS):
            while self.stored.get(intent.vm) != intent:
                self.needed.set()
                await self.written.wait()
            return True
        return False

    def close(self, vm: str) -> None:
        """Note that an order is not given any more."""
        intent = self.open.pop(vm, None)
        if intent is not None:
            self.ended[vm] = (intent, self.around.clock.now())

    async def hand_over(self) -> None:
        """Store what the next planner needs, once no more orders are given."""
        for vm in list(self.open):
            self.close(vm)
        try:
            await self._write()
        except (StoreUnavailable, StoreError) as error:
            self.around.log.write("intents-not-stored", reason=str(error))

    async def _load(self) -> None:
        entry = await self.around.store.get(self.around.keys.succession)
        if entry is not None:
            self.revision = entry.revision
            try:
                self._inherit(decode_planner_record(entry.value))
            except RecordError as error:
                # Any VM may have been ordered by the former planner.
                self.around.log.write("record-unreadable", key=entry.key, reason=str(error))
                await anyio.sleep(self.around.timing.holder_lease + ON_THE_WAY_SECONDS)
        self.loaded = True
        self.around.log.write(
            "succession-read",
            token=self.claim.revision,
            held=len(self.inherited),
            peaks=len(self.forecaster.peaks),
        )

    def _inherit(self, left: PlannerRecord) -> None:
        self.inherited = left.intents_by_vm()
        now = self.around.clock.now()
        earlier = [peak.shifted(now - self.around.day()) for peak in left.peaks]
        self.forecaster.restore(earlier, now)

    async def _wait_for_news(self) -> None:
        while not self._has_news():
            with anyio.move_on_after(REFRESH_SECONDS):
                await self.needed.wait()
            self.needed = anyio.Event()

    def _has_news(self) -> bool:
        if any(self.stored.get(vm) != intent for vm, intent in self.open.items()):
            return True
        if self.around.clock.now() - self.stored_at < REFRESH_SECONDS:
            return False
        peaks = self.forecaster.seen_at > self.stored_at
        return peaks or self.tells_ended or self.stored.keys() != self.open.keys()

    async def _write(self) -> bool:
        now, opened = self.around.clock.now(), dict(self.open)
        to_day = self.around.day() - now
        intents = tuple(self._current(now))
        peaks = tuple(peak.shifted(to_day) for peak in self.forecaster.peaks)
        value = encode_planner_record(PlannerRecord(self.claim.revision, intents, peaks))
        key = self.around.keys.succession
        if self.revision < 0:
            await self._find_revision()
        # Compared too, so that a write which is carried out late undoes none after it.
        result = await self.around.store.commit(
            [self.claim, Compare(key, self.revision)], [Put(key, value)]
        )
        if not result.ok:
            return False
        self.revision = result.revision
        self.stored, self.stored_at = opened, now
        self.tells_ended = len(intents) > len(opened)
        self.ended = {vm: row for vm, row in self.ended.items() if self._ended_wait(row, now) > 0}
        written, self.written = self.written, anyio.Event()
        written.set()
        return True

    async def _find_revision(self) -> None:
        entry = await self.around.store.get(self.around.keys.succession)
        self.revision = entry.revision if entry else 0

    def _current(self, now: float) -> Iterator[OrderIntent]:
        """Yield the intents that a next planner has to respect."""
        for intent in self.open.values():
            yield attrs.evolve(intent, wait=self.around.timing.holder_lease)
        for vm, row in self.ended.items():
            wait = self._ended_wait(row, now)
            if wait > 0 and vm not in self.open:
                yield attrs.evolve(row[0], wait=wait)
        for vm, intent in self.inherited.items():
            wait = self._inherited_wait(vm, now)
            if wait > 0 and vm not in self.open and vm not in self.ended:
                yield attrs.evolve(intent, wait=wait)

    def _ended_wait(self, row: tuple[OrderIntent, float], now: float) -> float:
        return self.around.timing.holder_lease - (now - row[1])

    def _inherited_wait(self, vm: str, now: float) -> float:
        intent = self.inherited.get(vm)
        if intent is None:
            return 0.0
        return self.held_until(intent) - now
