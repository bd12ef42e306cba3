"""Dependencies and state that all parts of a daemon's pool ownership share."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio.abc
import attrs

from ..batch import BatchConfig
from ..batch.keys import BatchKeys
from ..clock import Clock
from ..store import Store, StoreContact
from ..telemetry import BatchMetrics, EventLog
from ..workers import ListedWorker, OrderSender
from .advice import Adviser
from .call_guard import guard_adviser, guard_orders, guard_store
from .freshness import AlwaysFresh, ConfigFreshness, round_age

__all__ = ["DaemonContext", "Timing"]


@attrs.frozen
class Timing:
    """Time limits and rate limits of the platform; times are in seconds.

    :param longest_hold: longest lease that a worker grants
    :param stop: longest time that a worker takes to stop a run
    :param keep_ended: time for which the state of an ended job stays available
    :param move: time that a VM takes to move to another pool
    :param maintenance: duration of a VM's maintenance
    :param holder_lease: period within which orders for VMs from two different holders are not
        allowed
    :param grace: time between the stop signal and the forced end of a process
    :param config_limit: time within which a changed configuration must be in force
    :param vm_orders_per_second: VM orders per second that the platform accepts from all daemons
        together
    """

    longest_hold: float = 10.0
    stop: float = 0.2
    keep_ended: float = 120.0
    move: float = 1.5
    maintenance: float = 2.0
    holder_lease: float = 3.0
    grace: float = 6.0
    config_limit: float = 2.0
    vm_orders_per_second: float = 64.0


@attrs.define
class DaemonContext:
    """Dependencies and current platform state of one daemon.

    The clients raise only the errors that their interfaces name; see :mod:`.call_guard`.

    :param adviser: client of the advice service, None if there is none
    :param workers: workers that the platform currently lists, by name
    :param config: current configuration, None before the first one has arrived
    :param wall_time: returns the wall-clock time, in seconds since 1970
    :param store_contact: when the store answered this daemon
    :param freshness: how old the configuration is
    """

    store: Store
    keys: BatchKeys
    orders: OrderSender
    clock: Clock
    log: EventLog
    timing: Timing
    tasks: anyio.abc.TaskGroup
    wall_time: Callable[[], float]
    adviser: Adviser | None = None
    metrics: BatchMetrics = attrs.field(factory=BatchMetrics)
    workers: dict[str, ListedWorker] = attrs.field(factory=dict)
    config: BatchConfig | None = None
    store_contact: StoreContact = attrs.field(factory=StoreContact)
    freshness: ConfigFreshness = attrs.field(factory=AlwaysFresh)

    def __attrs_post_init__(self) -> None:
        self.store = guard_store(self.store, self.log)
        self.orders = guard_orders(self.orders, self.log)
        if self.adviser is not None:
            self.adviser = guard_adviser(self.adviser, self.log)

    def config_fields(self) -> dict[str, Any]:
        """Return the log fields that tell by which configuration a decision was made."""
        return {
            "config": self.config.version if self.config else 0,
            "config_age": round_age(self.freshness.age()),
        }

    def log_watch_ended(self, prefix: str, reason: str, delay: float) -> None:
        """Log that the watch of a prefix of the store has failed.

        :param delay: time until the next attempt, in seconds
        """
        self.log.write("watch-ended", prefix=prefix, reason=reason, delay=round(delay, 2))
