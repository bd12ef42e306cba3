"""What the ownership of pools works with, gathered in one place."""

from __future__ import annotations

from collections.abc import Callable

import anyio.abc
import attrs

from ..batch import BatchConfig
from ..batch.keys import BatchKeys
from ..clock import Clock
from ..store import Store
from ..telemetry import BatchMetrics, EventLog
from ..workers import ListedWorker, WorkerOrders
from .advice import Adviser

__all__ = ["DaemonContext", "Timing"]


@attrs.frozen
class Timing:
    """Bounds that the platform sets, in seconds.

    :param longest_hold: longest lease that a worker grants
    :param stop: longest time that a worker takes for a stop
    :param keep_ended: time for which the state of an ended job can be asked
    :param move: time that a VM takes to join another pool
    :param maintenance: time that a VM's maintenance takes
    :param holder_lease: time in which two holders must not give orders for VMs in turn
    :param grace: time between the order to stop and the end of a process
    :param vm_orders_per_second: orders for VMs that the platform takes from all daemons
    """

    longest_hold: float = 10.0
    stop: float = 0.2
    keep_ended: float = 120.0
    move: float = 1.5
    maintenance: float = 2.0
    holder_lease: float = 3.0
    grace: float = 6.0
    vm_orders_per_second: float = 64.0


@attrs.define
class DaemonContext:
    """A daemon's surroundings.

    :param adviser: the advice service, None if there is none
    :param workers: workers as the platform lists them now, by name
    :param config: the configuration in force, None before the first
    :param day: returns the time of day in seconds since 1970
    """

    store: Store
    keys: BatchKeys
    orders: WorkerOrders
    clock: Clock
    log: EventLog
    timing: Timing
    tasks: anyio.abc.TaskGroup
    day: Callable[[], float]
    adviser: Adviser | None = None
    metrics: BatchMetrics = attrs.field(factory=BatchMetrics)
    workers: dict[str, ListedWorker] = attrs.field(factory=dict)
    config: BatchConfig | None = None
