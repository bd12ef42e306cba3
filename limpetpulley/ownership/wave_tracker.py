"""Progress of the maintenance waves: loaded, stored and reported as completed by the planner."""

from __future__ import annotations

import json
import math

import anyio

from ..exception import RecordError, StoreError, StoreFault, StoreUnavailable
from ..fleet.maintenance import WaveProgress, is_finished
from ..fleet.vms import FleetVm, Phase, WaveOrder
from ..json_decoding import get_bool, get_number, get_strings, parse_object
from ..store import Compare, Entry, Put
from .context import DaemonContext
from .failures import describe_error
from .intents import IntentLog
from .vmorders import VmOrderDispatcher
from .waves import WaveRegistry

__all__ = ["WaveTracker"]

#: interval between two writes of the progress of maintenance waves, in seconds
STORE_INTERVAL_SECONDS = 0.2
#: delay after an error that nobody expects before a wave is updated or stored again, doubled up to
#: the maximum, in seconds
INITIAL_FAULT_DELAY_SECONDS = 0.2
MAX_FAULT_DELAY_SECONDS = 5.0


class WaveTracker:
    """Keeps the progress of the ordered waves, in memory and in the store.

    An error that nobody expects concerns its own wave only, which is tried again later.

    :param claim: the planner's claim, which is a condition of each write
    :param wave_registry: the maintenance waves that the operator has ordered
    :param waves: progress of the waves by name, to which ordered ones are added
    :param intents: holds the orders that the previous planner may just have sent
    :param dispatcher: updates the progress and names the waves whose progress is to be stored
    """

    def __init__(
        self,
        context: DaemonContext,
        claim: Compare,
        wave_registry: WaveRegistry,
        waves: dict[str, WaveProgress],
        intents: IntentLog,
        dispatcher: VmOrderDispatcher,
    ):
        self.context = context
        self.claim = claim
        self.wave_registry = wave_registry
        self.waves = waves
        self.intents = intents
        self.dispatcher = dispatcher
        # Revisions of the waves' records. Writes compare them, so that a write that the store
        # applies late, after a newer one, has no effect.
        self.revisions: dict[str, int] = {}
        # VMs whose rows cannot be read, and which count as down for the time of a maintenance.
        self.unread: set[str] = set()
        # Latest delay of each wave that has failed, and until when it waits, by local time.
        self.fault_delays: dict[str, float] = {}
        self.paused_until: dict[str, float] = {}

    async def run(self) -> None:
        """Store the progress of waves; one write covers all orders of an interval."""
        while True:
            await anyio.sleep(STORE_INTERVAL_SECONDS)
            names, self.dispatcher.unsaved_waves = self.dispatcher.unsaved_waves, set()
            for name in names:
                if self._is_paused(name):
                    self.dispatcher.unsaved_waves.add(name)
                    continue
                try:
                    await self._store_wave(self.waves[name])
                    self.fault_delays.pop(name, None)
                except StoreFault as error:
                    self.dispatcher.unsaved_waves.add(name)
                    self._pause(name, error)
                except (StoreUnavailable, StoreError) as error:
                    self.dispatcher.unsaved_waves.add(name)
                    self.context.log.write("wave-not-stored", wave=name, reason=str(error))
                except Exception as error:
                    self.dispatcher.unsaved_waves.add(name)
                    self._pause(name, error)

    def _is_paused(self, name: str) -> bool:
        return self.paused_until.get(name, -math.inf) > self.context.clock.now()

    def _pause(self, name: str, error: Exception) -> None:
        """Leave a wave alone for a growing time after an error that nobody expects."""
        delay = self.fault_delays.get(name, INITIAL_FAULT_DELAY_SECONDS)
        self.fault_delays[name] = min(2 * delay, MAX_FAULT_DELAY_SECONDS)
        self.paused_until[name] = self.context.clock.now() + delay
        self.context.log.write("wave-fault", wave=name, delay=delay, **describe_error(error))

    async def update(self, vms: dict[str, FleetVm]) -> None:
        """Load the waves that are newly ordered, and complete those that are finished.

        :param vms: VMs of the latest list, by name
        :raises StoreUnavailable: if the store does not answer
        :raises StoreError: if the store refuses a call
        """
        unread = {name for name, vm in vms.items() if vm.phase is Phase.UNKNOWN}
        for known in self.waves.values():
            self._count_as_down(known, unread - self.unread)
        self.unread = unread
        for name, order in self.wave_registry.waves.items():
            if self._is_paused(name):
                continue
            try:
                await self._update_wave(name, order, vms)
            except StoreFault as error:
                self._pause(name, error)
            except (StoreUnavailable, StoreError):
                raise
            except Exception as error:
                self._pause(name, error)

    async def _update_wave(self, name: str, order: WaveOrder, vms: dict[str, FleetVm]) -> None:
        wave = self.waves.get(name)
        if wave is None:
            wave = await self._load_wave(order)
            self._restore_maintenance(wave)
            self._count_as_down(wave, self.unread)
            self.waves[name] = wave
            if not wave.completed:
                self.dispatcher.unsaved_waves.add(name)
        if not wave.completed and is_finished(wave, vms):
            wave.completed = True
            self.dispatcher.unsaved_waves.add(name)
            self.context.log.write("wave-completed", wave=name, vms=len(order.vms))

    def _restore_maintenance(self, wave: WaveProgress) -> None:
        """Count the VMs as down whose maintenance the previous planner may just have ordered."""
        for intent in self.intents.inherited.values():
            if intent.wave == wave.order.name:
                wave.ordered_at[intent.vm] = self.intents.started_at

    def _count_as_down(self, wave: WaveProgress, names: set[str]) -> None:
        """Count VMs as down whose maintenance may be listed in rows that cannot be read."""
        now = self.context.clock.now()
        wave.ordered_at |= dict.fromkeys(names.intersection(wave.order.vms), now)

    async def _load_wave(self, order: WaveOrder) -> WaveProgress:
        entry = await self._read_wave(order.name)
        if entry is None:
            return WaveProgress(order, self.context.wall_time())
        try:
            record = parse_object(entry.value)
            started_at, done = get_number(record, "begun"), get_strings(record, "done")
            return WaveProgress(
                order, started_at, set(done), completed=get_bool(record, "completed")
            )
        except RecordError as error:
            self.context.log.write("record-unreadable", key=entry.key, reason=str(error))
            return WaveProgress(order, self.context.wall_time())

    async def _read_wave(self, name: str) -> Entry | None:
        entry = await self.context.store.get(self.context.keys.wave(name))
        self.revisions[name] = entry.revision if entry is not None else 0
        return entry

    async def _store_wave(self, wave: WaveProgress) -> None:
        name = wave.order.name
        key = self.context.keys.wave(name)
        value = {"begun": wave.started_at, "done": sorted(wave.done), "completed": wave.completed}
        state = self.wave_registry.encode_state(name, wave.completed)
        result = await self.context.store.commit(
            [self.claim, Compare(key, self.revisions.get(name, 0))],
            [
                Put(key, json.dumps(value).encode()),
                Put(self.wave_registry.state_key(name), state),
            ],
        )
        if result.ok:
            self.revisions[name] = result.revision
            return
        # An earlier write may have been applied although its answer was lost.
        self.dispatcher.unsaved_waves.add(name)
        await self._read_wave(name)
