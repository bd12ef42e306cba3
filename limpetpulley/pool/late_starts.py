"""Stops for start orders that may be carried out late, on a worker's next incarnation. No I/O.

The next incarnation under an identifier accepts such an order unless a stop of the run, or a call
with a higher token, reaches it first. Its entry appears only some time after it accepts orders, so
the stops are sent to the last known address from the end of the previous incarnation on.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ..workers import StopOrder

if TYPE_CHECKING:
    from .state import PoolState

__all__ = ["LATE_STOP_INTERVAL_SECONDS", "awaits_next_incarnations", "late_stop_orders"]

#: interval between two stops that are sent to a worker that has ended, in seconds
LATE_STOP_INTERVAL_SECONDS = 0.1
#: maximum number of stops that are sent in a round to workers that have not answered one
MAX_STOPS_PER_ROUND = 16


def awaits_next_incarnations(pool_state: PoolState) -> bool:
    """Return whether the next incarnation of a worker that has ended must be stopped first."""
    return any(_has_ended(pool_state, stop.worker_id) for stop in pool_state.late_start_stops)


def late_stop_orders(pool_state: PoolState, now: float) -> list[StopOrder]:
    """Return the stops to send to the workers that have ended.

    One at a time is sent to each worker; once one is answered, an incarnation is there, and all
    others follow at once.

    :param now: local time, in seconds
    """
    sent_at = pool_state.late_stops_sent_at
    for stop in sent_at.keys() - pool_state.late_start_stops.keys():
        del sent_at[stop]
    stops_by_worker: dict[str, list[StopOrder]] = {}
    for stop in pool_state.late_start_stops:
        if _has_ended(pool_state, stop.worker_id):
            stops_by_worker.setdefault(stop.worker_id, []).append(stop)
    orders: list[StopOrder] = []
    attempts: list[StopOrder] = []
    for worker_id, stops in stops_by_worker.items():
        answered_at = pool_state.late_stops_answered_at.get(worker_id, -math.inf)
        due = [stop for stop in stops if sent_at.get(stop, math.inf) < answered_at]
        due += [stop for stop in stops if stop not in sent_at and answered_at > -math.inf]
        if due:
            orders += due
        else:
            attempts.append(min(stops, key=lambda stop: sent_at.get(stop, -math.inf)))
    attempts.sort(key=lambda stop: sent_at.get(stop, -math.inf))
    orders += attempts[:MAX_STOPS_PER_ROUND]
    for stop in orders:
        sent_at[stop] = now
    answered = pool_state.late_stops_answered_at
    for worker_id in answered.keys() - stops_by_worker.keys():
        del answered[worker_id]
    return orders


def _has_ended(pool_state: PoolState, worker_id: str) -> bool:
    worker = pool_state.workers.get(worker_id)
    return worker is None or worker.ended
