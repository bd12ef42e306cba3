"""Calls that make the workers of an earlier owner reject its late start orders.

The earlier owner's start orders may be carried out late, on the next incarnation of a worker, which
has seen no token. It rejects them once any call with this owner's token has reached it, and accepts
calls some time before its entry appears.
"""

from __future__ import annotations

import anyio

from ..batch import Amount
from ..batch.records import RosterEntry
from ..exception import NotOwnerError, WorkerError
from ..pool import PoolState
from ..pool.state import MAX_ORDER_DELAY_SECONDS
from ..workers import ListedWorker
from .context import DaemonContext

__all__ = ["PredecessorFence"]

#: interval between two calls to a worker, in seconds
CALL_INTERVAL_SECONDS = 0.25
#: timeout of a call, in seconds: calls that hang must leave connections for other orders
CALL_TIMEOUT_SECONDS = 0.5
#: maximum number of calls that are under way at a time
MAX_CALLS = 32


class PredecessorFence:
    """Calls the workers of the inherited roster that are not there, until they are.

    Those without an address that can be called are only waited for.

    :param inherited: the workers that may hold runs of earlier owners, by identifier
    """

    def __init__(
        self, context: DaemonContext, pool_state: PoolState, inherited: dict[str, RosterEntry]
    ):
        self.context = context
        self.pool_state = pool_state
        self.inherited = {
            name: ListedWorker(name, pool_state.pool, address, 0, Amount(), entry.vm)
            for name, entry in inherited.items()
            if (address := entry.callable_address) is not None
        }
        self.calls = 0
        # Workers of which a failed call was reported; calls are repeated several times a second.
        self.reported: set[str] = set()

    async def run(self) -> None:
        """Call them for as long as a start order of the earlier owner may be late."""
        if not self.inherited:
            return
        until = self.context.clock.now() + MAX_ORDER_DELAY_SECONDS
        async with anyio.create_task_group() as tasks:
            while self.context.clock.now() < until:
                # Those that are called move to the end, for the next round.
                for name in [name for name in self.inherited if self._is_away(name)]:
                    if self.calls >= MAX_CALLS:
                        break
                    self.calls += 1
                    worker = self.inherited[name] = self.inherited.pop(name)
                    tasks.start_soon(self._call, name, worker)
                await anyio.sleep(CALL_INTERVAL_SECONDS)

    def _is_away(self, name: str) -> bool:
        worker, listed = self.pool_state.workers.get(name), self.context.workers.get(name)
        if listed is not None and listed.pool != self.pool_state.pool:
            # A call with this pool's token would depose the owner of the other pool.
            return False
        return worker is None or worker.ended

    async def _call(self, name: str, worker: ListedWorker) -> None:
        """Send a hold that neither extends a lease nor acknowledges ends."""
        try:
            with anyio.move_on_after(CALL_TIMEOUT_SECONDS):
                await self.context.orders.hold(worker, self.pool_state.token, 0, None, 0.0)
        except (WorkerError, NotOwnerError) as error:
            if name not in self.reported:
                self.reported.add(name)
                self.context.log.write(
                    "worker-away",
                    worker=name,
                    pool=self.pool_state.pool,
                    address=worker.address,
                    reason=str(error),
                )
        finally:
            self.calls -= 1
