"""A daemon's lease in the store, and the keys that live with it."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import attrs

from ..batch.keys import BatchKeys
from ..clock import Clock
from ..exception import StoreError, StoreUnavailable
from ..store import Compare, Delete, Put, Store
from ..telemetry import EventLog
from .directory import Member, encode_member

__all__ = ["LEASE_SECONDS", "Session"]

#: length of a daemon's lease; it bounds the time until a lost owner's pool is claimed, which is to
#: be below 1.5 s
LEASE_SECONDS = 1.4
#: time between renewals
RENEW_SECONDS = 0.3
#: time for a renewal's answer, so that another fits into the lease if its connection went silent
ANSWER_SECONDS = 0.5
#: time for the answer after one without, since the store may be slow, in seconds
SLOW_ANSWER_SECONDS = 1.2
#: pause after a renewal without an answer
RETRY_SECONDS = 0.05


class Session:
    """Keeps a daemon's lease and member key, and claims keys under the lease.

    :param member: this daemon
    :param ended: called when the lease was lost, so that everything claimed is given up
    """

    def __init__(
        self,
        store: Store,
        keys: BatchKeys,
        member: Member,
        clock: Clock,
        log: EventLog,
        ended: Callable[[], None],
    ):
        self.store = store
        self.keys = keys
        self.member = member
        self.clock = clock
        self.log = log
        self.ended = ended
        self.lease = 0
        self.closed = False
        self.renewed_at = clock.now()

    async def run(self) -> None:
        """Keep the lease until it is ended for good."""
        patience = ANSWER_SECONDS
        while not self.closed:
            try:
                if not self.lease:
                    await self._begin()
                else:
                    slow = await self._renew(patience) > ANSWER_SECONDS / 2
                    patience = SLOW_ANSWER_SECONDS if slow else ANSWER_SECONDS
            except (StoreUnavailable, StoreError) as error:
                self.log.write("lease-not-renewed", reason=str(error), age=round(self.age(), 2))
                patience = SLOW_ANSWER_SECONDS
                await anyio.sleep(RETRY_SECONDS)
                continue
            if self.lease:
                await anyio.sleep(RENEW_SECONDS)

    async def _renew(self, seconds: float) -> float:
        """Renew the lease, or give it up if the store says that it has ended.

        :param seconds: time for the answer
        :returns: the time that the answer took
        :raises StoreUnavailable: if none came
        """
        asked_at = self.clock.now()
        with anyio.move_on_after(seconds) as scope:
            if await self.store.renew_lease(self.lease):
                self.renewed_at = asked_at
            else:
                self.lose("lease-ended")
        if scope.cancelled_caught:
            raise StoreUnavailable(f"no answer to a renewal within {seconds} s")
        return self.clock.now() - asked_at

    def age(self) -> float:
        """Return the time since the lease was last renewed, in seconds."""
        return self.clock.now() - self.renewed_at

    def lose(self, reason: str) -> None:
        """Give up the lease and everything that was claimed under it."""
        self.log.write("session-lost", lease=self.lease, reason=reason)
        self.lease = 0
        self.ended()

    async def claim(self, key: str, replaced: int) -> int:
        """Claim a key; return the claim's token, or 0 if another was faster.

        :param replaced: revision of the claim that is replaced, 0 for none
        """
        lease = self.lease
        if not lease:
            return 0
        value = encode_member(self.member)
        result = await self.store.commit([Compare(key, replaced)], [Put(key, value, lease)])
        return result.revision if result.ok else 0

    async def release(self, claims: dict[str, int]) -> None:
        """Delete claimed keys, each only if the claim is still this daemon's.

        :param claims: token by key
        """
        for key, token in claims.items():
            await self.store.commit([Compare(key, token)], [Delete(key)])

    async def stop_claiming(self, claims: dict[str, int]) -> None:
        """Tell the others that this daemon claims no more, and release some claims with it.

        :param claims: token by key
        """
        self.member = attrs.evolve(self.member, leaving=True)
        if not self.lease:
            return
        told = Put(self.keys.member(self.member.name), encode_member(self.member), self.lease)
        compares = [Compare(key, token) for key, token in claims.items()]
        await self.store.commit(compares, [told, *(Delete(key) for key in claims)])

    async def end(self) -> None:
        """End the lease and the member key with it, for good."""
        self.closed = True
        if self.lease:
            await self.store.end_lease(self.lease)
            self.lease = 0

    async def _begin(self) -> None:
        # The lease runs from when the store hears of it, which may be long before its answer.
        asked_at = self.clock.now()
        lease = await self.store.grant_lease(LEASE_SECONDS)
        key = self.keys.member(self.member.name)
        await self.store.commit([], [Put(key, encode_member(self.member), lease)])
        self.lease = lease
        self.renewed_at = asked_at
        self.log.write("session-begun", lease=lease, incarnation=self.member.incarnation)
