"""Leases that calls of earlier owners, or to other incarnations, may have given workers. No I/O.

A lease applies to a worker, not to a run, and never shortens, so an idle worker may have one as
well. A call requests a time by the clock of the incarnation for which it is meant. On a later one,
whose clock starts anew, that time is far ahead, and the worker grants its longest lease.

An incarnation is settled once no such call can reach it any more and every lease that one has given
has expired. All later requests are by its own clock, whoever owns the pool, so the roster tells the
next owner of it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..workers import Worker
from ..workers.lease import MIN_CLOCK_RATE

if TYPE_CHECKING:
    from .state import PoolState

__all__ = ["inherited_lease_seconds", "may_have_inherited_leases", "settle_incarnations"]


def may_have_inherited_leases(pool_state: PoolState, now: float) -> bool:
    """Return whether a lease may last that an earlier owner's call has given.

    :param now: local time
    """
    longest_lease = pool_state.longest_hold_seconds / MIN_CLOCK_RATE
    return now < pool_state.earlier_calls_until + longest_lease


def inherited_lease_seconds(pool_state: PoolState, worker: Worker) -> float:
    """Return the longest lease that a worker may have when it first replies to this owner."""
    if pool_state.settled_incarnations.get(worker.worker_id) == worker.listed.incarnation:
        return pool_state.lease_seconds
    return pool_state.longest_hold_seconds


def settle_incarnations(pool_state: PoolState, now: float) -> None:
    """Note the incarnations that are settled.

    :param now: local time
    """
    if may_have_inherited_leases(pool_state, now):
        return
    for name, worker in pool_state.workers.items():
        if worker.reconciled and name not in pool_state.earlier_leases:
            pool_state.settled_incarnations[name] = worker.listed.incarnation
