"""A daemon's lease in the store, and the keys that are attached to it."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import anyio
import attrs

from ..batch.keys import BatchKeys
from ..clock import Clock
from ..exception import RecordError, StoreError, StoreRefused, StoreUnavailable
from ..pool.proofs import CLAIM_SECONDS
from ..store import Compare, Delete, Entry, Put, Store, StoreContact
from ..telemetry import EventLog
from .directory import Member, decode_member, encode_member
from .failure_records import FailureRecord, encode_failure

__all__ = ["LEASE_SECONDS", "Session"]

#: duration of a daemon's lease, to which its claims are attached, in seconds
LEASE_SECONDS = CLAIM_SECONDS
#: longest interval between the answer to a renewal and the next one, in seconds
RENEW_INTERVAL_SECONDS = 0.3
#: shortest time between the requests of two renewals that are answered, in seconds
MIN_RENEW_INTERVAL_SECONDS = 0.05
#: time after the request of an answered renewal from which on the next one is not put off, in
#: seconds, because the lease runs from the request
RENEW_DUE_SECONDS = LEASE_SECONDS / 2
#: timeout of a renewal, in seconds; short enough that another renewal fits into the lease if the
#: connection has stopped responding
RENEW_TIMEOUT_SECONDS = 0.5
#: timeout of a renewal after one that was slow or timed out, since the store may be slow, in
#: seconds; with the delay before the next one it must be less than the lease
SLOW_RENEW_TIMEOUT_SECONDS = 1.2
#: most claims that one transaction releases: the platform takes 32 entries, two for each claim
MAX_CLAIMS_PER_TRANSACTION = 15
#: delay after a renewal without an answer, in seconds
RETRY_DELAY_SECONDS = 0.05
#: longest delay after renewals that the store refused, in seconds; the delay doubles up to it,
#: since the store may refuse because of the rate of calls, and several fit into the lease
MAX_REFUSED_DELAY_SECONDS = 0.2


class Session:
    """Renews a daemon's lease, stores its member key, and claims keys under the lease.

    :param member: this daemon
    :param on_lost: called when the lease was lost, so that all claims are abandoned
    :param contact: records the store's answers to renewals
    :param on_renewed: called when the lease was renewed
    """

    def __init__(
        self,
        store: Store,
        keys: BatchKeys,
        member: Member,
        clock: Clock,
        log: EventLog,
        on_lost: Callable[[], None],
        contact: StoreContact | None = None,
        on_renewed: Callable[[], None] = lambda: None,
    ):
        self.on_renewed = on_renewed
        self.contact = contact or StoreContact()
        self.store = store
        self.keys = keys
        self.member = member
        self.clock = clock
        self.log = log
        self.on_lost = on_lost
        self.lease = 0
        # Revision of the member record, 0 until it is stored.
        self.record_revision = 0
        self.closed = False
        self.renewed_at = clock.now()
        self.renewal_requested = anyio.Event()

    async def run(self) -> None:
        """Obtain and renew leases until the session is closed."""
        timeout, refused_delay = RENEW_TIMEOUT_SECONDS, RETRY_DELAY_SECONDS
        while not self.closed:
            try:
                if not self.lease:
                    await self._open()
                else:
                    slow = await self._renew(timeout) > RENEW_TIMEOUT_SECONDS / 2
                    timeout = SLOW_RENEW_TIMEOUT_SECONDS if slow else RENEW_TIMEOUT_SECONDS
                refused_delay = RETRY_DELAY_SECONDS
            except StoreRefused as error:
                self._log_failure(error)
                await anyio.sleep(refused_delay)
                refused_delay = min(2 * refused_delay, MAX_REFUSED_DELAY_SECONDS)
                continue
            except (StoreUnavailable, StoreError) as error:
                self._log_failure(error)
                timeout = SLOW_RENEW_TIMEOUT_SECONDS
                await anyio.sleep(RETRY_DELAY_SECONDS)
                continue
            if self.lease:
                await self._wait_until_due()

    def request_renewal(self) -> None:
        """Renew the lease soon, because something waits until the claims are confirmed."""
        self.renewal_requested.set()

    async def _wait_until_due(self) -> None:
        due_seconds = max(0.0, RENEW_DUE_SECONDS - self.age())
        with anyio.move_on_after(min(RENEW_INTERVAL_SECONDS, due_seconds)):
            await anyio.sleep(max(0.0, MIN_RENEW_INTERVAL_SECONDS - self.age()))
            await self.renewal_requested.wait()
        self.renewal_requested = anyio.Event()

    def _log_failure(self, error: Exception) -> None:
        self.log.write("lease-not-renewed", reason=str(error), age=round(self.age(), 2))

    async def _renew(self, timeout: float) -> float:
        """Renew the lease, or abandon it if the store reports that it has expired.

        :param timeout: longest time for the answer, in seconds
        :returns: the time until the answer, in seconds
        :raises StoreUnavailable: if no answer came in time
        """
        requested_at = self.clock.now()
        with (
            anyio.move_on_after(timeout) as scope,
            self.contact.cancel_if_overtaken(scope, requested_at),
        ):
            renewed = await self.store.renew_lease(self.lease)
        if not scope.cancelled_caught:
            self.contact.note_answer(requested_at, self.clock.now())
            if renewed:
                self.renewed_at = requested_at
                self.on_renewed()
            else:
                self.abandon("lease-ended")
        else:
            raise StoreUnavailable(f"lease renewal not answered within {timeout} s")
        return self.clock.now() - requested_at

    def age(self) -> float:
        """Return the time since the lease was last renewed, in seconds."""
        return self.clock.now() - self.renewed_at

    def abandon(self, reason: str) -> None:
        """Abandon the lease and everything that was claimed under it."""
        self.log.write("session-lost", lease=self.lease, reason=reason, age=round(self.age(), 2))
        self.lease = 0
        self.on_lost()

    async def claim(self, pool: str, replaced: int) -> int:
        """Claim a pool; return the claim's token, or 0 if it was claimed or there is no lease.

        :param replaced: revision of the claim that is replaced, 0 if there must be none
        :raises StoreUnavailable: if the store did not answer; the pool may still become claimed
        """
        lease = self.lease
        if not lease:
            return 0
        key, value = self.keys.owner(pool), encode_member(self.member)
        called_at = self.clock.now()
        with anyio.CancelScope() as scope, self.contact.cancel_if_overtaken(scope, called_at):
            result = await self.store.commit(
                [Compare(key, replaced)],
                [Put(key, value, lease), Put(self.keys.last_owner(pool), value)],
            )
            if result.ok and self.lease != lease:
                # The claim went with the lease, and renewals of another one do not confirm it.
                self.log.write("claim-failed", pool=pool, reason="the lease has ended meanwhile")
                return 0
            return result.revision if result.ok else 0
        raise StoreUnavailable(f"claim of {pool} not answered, but a later call")

    async def release(self, claims: dict[str, int]) -> None:
        """Release claims, each only if it is still this daemon's.

        :param claims: tokens by pool
        """
        for pool, token in claims.items():
            key = self.keys.owner(pool)
            await self.store.commit([Compare(key, token)], [Delete(key)])

    async def release_failed(self, pool: str, token: int, record: FailureRecord) -> bool:
        """Release the claim of an owner that failed, and store the failures of the pool's owners.

        :returns: whether both are stored; otherwise the claim was not this daemon's any more
        :raises StoreUnavailable: if the store did not answer; both may still become stored
        """
        key = self.keys.owner(pool)
        failure_key = self.keys.owner_failure(pool)
        value = encode_failure(attrs.asdict(self.member), record)
        result = await self.store.commit(
            [Compare(key, token)], [Delete(key), Put(failure_key, value)]
        )
        return result.ok

    async def forget_failures(self, pool: str, token: int) -> None:
        """Delete the record of the failures of a pool's owners, if the claim is still valid.

        :raises StoreUnavailable: if the store did not answer
        """
        await self.store.commit(
            [Compare(self.keys.owner(pool), token)], [Delete(self.keys.owner_failure(pool))]
        )

    async def stop_claiming(self, claims: dict[str, int]) -> None:
        """Mark this daemon as leaving, so that it makes no more claims, and release its claims.

        Both take effect in one transaction, so that others claim the pools at once. If one of the
        claims is no longer this daemon's, the others are released one by one.

        :param claims: tokens by pool
        """
        self.member = attrs.evolve(self.member, leaving=True)
        if not self.lease:
            return
        keys = {self.keys.owner(pool): token for pool, token in claims.items()}
        if len(keys) <= MAX_CLAIMS_PER_TRANSACTION:
            compares = [Compare(key, token) for key, token in keys.items()]
            releases = [Delete(key) for key in keys]
            if await self._store_record(self.lease, self.record_revision, compares, releases):
                return
        if not await self._store_record(self.lease, _revision(await self._read_record())):
            self.log.write("member-record-replaced", revision=self.record_revision)
        await self.release(claims)

    async def end(self) -> None:
        """End the lease, which removes the member key, and obtain no other."""
        self.closed = True
        if self.lease:
            await self.store.revoke_lease(self.lease)
            self.lease = 0

    def is_record_standing(self, stored_revision: int, seen_revision: int) -> bool:
        """Return whether the member record is the one that this session has stored last.

        :param stored_revision: revision of the record in a copy of the store, 0 if it has none
        :param seen_revision: latest revision of the store that the copy includes
        """
        if not self.lease or self.closed or seen_revision < self.record_revision:
            return True
        return stored_revision == self.record_revision

    async def restore_record(self) -> None:
        """Store the member record again under the current lease, so that the claims stand.

        A record of a later incarnation of this daemon is left alone.

        :raises StoreUnavailable: if the store did not answer; the record may still become stored
        """
        lease = self.lease
        entry = await self._read_record()
        self.log.write(
            "member-record-replaced",
            lease=lease,
            revision=self.record_revision,
            found=_revision(entry),
        )
        if entry is not None and self._is_later_incarnation(entry):
            return
        if lease and self.lease == lease:
            await self._store_record(lease, _revision(entry))

    def _is_later_incarnation(self, entry: Entry) -> bool:
        try:
            return decode_member(entry.value).incarnation > self.member.incarnation
        except RecordError:
            return False

    async def _open(self) -> None:
        replaced = _revision(await self._read_record())
        # The lease starts when the store handles the request, which may be long before the answer.
        requested_at = self.clock.now()
        lease = await self.store.grant_lease(LEASE_SECONDS)
        if not await self._store_record(lease, replaced):
            raise StoreError("the member record was replaced while the session was opened")
        self.lease = lease
        self.renewed_at = requested_at
        self.log.write("session-begun", lease=lease, incarnation=self.member.incarnation)

    async def _read_record(self) -> Entry | None:
        return await self.store.get(self.keys.member(self.member.name))

    async def _store_record(
        self,
        lease: int,
        replaced: int,
        compares: Sequence[Compare] = (),
        writes: Sequence[Put | Delete] = (),
    ) -> bool:
        """Store the member record, so that an earlier attempt that is late has no effect any more.

        :param replaced: revision of the record that is replaced, 0 if there must be none
        :param compares: further conditions
        :param writes: further writes of the same transaction
        :returns: whether the conditions held
        """
        key = self.keys.member(self.member.name)
        result = await self.store.commit(
            [Compare(key, replaced), *compares],
            [Put(key, encode_member(self.member), lease), *writes],
        )
        if result.ok:
            self.record_revision = result.revision
        return result.ok


def _revision(entry: Entry | None) -> int:
    return entry.revision if entry is not None else 0
