"""Accounting of the permits that one daemon holds."""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Mapping

import attrs

from ..exception import PermitError

__all__ = ["Holding", "Ledger", "LimitReduction", "Transfer"]

MAX_TRANSFER_RESULTS = 20_000


@attrs.define
class Holding:
    """Permits for one resource: how many are held, and how many of these are in use."""

    held: int = 0
    used: int = 0

    @property
    def free(self) -> int:
        """Return the permits that are held and not in use."""
        return self.held - self.used


@attrs.frozen
class Transfer:
    """Free permits in transit from one daemon to another.

    :param transfer_id: unique identifier
    :param epoch: epoch of the view under which the permits left the sender
    :param resource: resource that the permits are for
    :param count: number of permits
    """

    transfer_id: str
    epoch: int
    resource: str
    count: int


@attrs.frozen
class LimitReduction:
    """A limit that was lowered after permits had been granted.

    :param new: limit now in force
    :param old: limit under which the permits were granted
    """

    new: int
    old: int

    def portion(self, held: int) -> int:
        """Return the portion of the new limit for permits held under the old one.

        Portions are rounded down, so their sum never exceeds the new limit.

        >>> LimitReduction(new=5, old=10).portion(3)
        1
        """
        return self.new * held // self.old if self.old else 0


class Ledger:
    """Accounts for the permits that one daemon holds, uses, sends and receives.

    The sum of the permits held by all daemons grows only by :meth:`grant`: a transfer is debited
    before it is sent and credited at most once.

    :param owner: name that makes transfer identifiers unique

    >>> ledger = Ledger("a")
    >>> ledger.grant({"team/t": 2})
    >>> ledger.acquire("team/t")
    >>> ledger.startable("team/t")
    1
    """

    def __init__(self, owner: str):
        self.owner = owner
        self.epoch = 0
        self.transfers_enabled = True
        self.holdings: dict[str, Holding] = {}
        self.reductions: dict[str, LimitReduction] = {}
        # Permits in use that lapse when their jobs end, by resource.
        self.owed_permits: dict[str, int] = {}
        # Permits that lapsed since the last report, which still counted them as held.
        self.lapsed: Counter[str] = Counter()
        # Epoch of each transfer received recently, and whether it was credited.
        self.transfer_results: dict[str, tuple[int, bool]] = {}
        self.transfer_numbers = itertools.count(1)

    def holding(self, resource: str) -> Holding:
        """Return the holding for a resource, creating an empty one if there is none."""
        holding = self.holdings.get(resource)
        if holding is None:
            holding = self.holdings[resource] = Holding()
        return holding

    def free(self, resource: str) -> int:
        """Return the permits held and not in use."""
        holding = self.holdings.get(resource)
        return holding.free if holding else 0

    def startable(self, resource: str) -> int:
        """Return how many jobs may start now, after any reduction of the limit."""
        holding = self.holdings.get(resource)
        if holding is None:
            return 0
        reduction = self.reductions.get(resource)
        if reduction is None:
            return holding.free
        return max(0, min(holding.free, reduction.portion(holding.held) - holding.used))

    def acquire(self, resource: str) -> None:
        """Mark one free permit as in use.

        :raises PermitError: if no job may start with a permit for the resource
        """
        if self.startable(resource) < 1:
            raise PermitError(f"no permit for {resource} is free")
        self.holding(resource).used += 1

    def release(self, resource: str) -> None:
        """Release one permit in use; it lapses if permits are owed because of a lowered limit.

        :raises PermitError: if no permit for the resource is in use
        """
        holding = self.holding(resource)
        if holding.used < 1:
            raise PermitError(f"no permit for {resource} is in use")
        holding.used -= 1
        owed = self.owed_permits.get(resource, 0)
        if owed:
            holding.held -= 1
            self.owed_permits[resource] = owed - 1
            self.lapsed[resource] += 1

    def grant(self, permits: Mapping[str, int]) -> None:
        """Add the permits that a view grants, by resource."""
        for resource, count in permits.items():
            self.holding(resource).held += count

    def debit(self, resource: str, count: int) -> Transfer:
        """Remove free permits and return the transfer that carries them.

        :raises PermitError: if they are not free, or transfers are suspended
        """
        if not self.transfers_enabled:
            raise PermitError("permit transfers are suspended while a view is collecting")
        if count < 1 or self.free(resource) < count:
            raise PermitError(f"{count} permits for {resource} are not free")
        self.holding(resource).held -= count
        number = next(self.transfer_numbers)
        return Transfer(f"{self.owner}:{self.epoch}:{number}", self.epoch, resource, count)

    def credit(self, transfer: Transfer) -> bool:
        """Add the permits of a transfer, once; a duplicate gets the result of the first.

        A transfer that was refused stays refused, because its sender may have reverted the debit.

        :returns: whether the permits were added, by this call or an earlier one
        """
        result = self.transfer_results.get(transfer.transfer_id)
        if result is not None:
            return result[1]
        accepted = self.transfers_enabled and transfer.epoch == self.epoch and transfer.count > 0
        self.transfer_results[transfer.transfer_id] = (transfer.epoch, accepted)
        if len(self.transfer_results) > MAX_TRANSFER_RESULTS:
            del self.transfer_results[next(iter(self.transfer_results))]
        if accepted:
            self.holding(transfer.resource).held += transfer.count
        return accepted

    def revert_debit(self, transfer: Transfer) -> bool:
        """Add the permits of a transfer again, after its receiver replied that it refused it.

        :returns: whether the permits were added; they are not once the epoch has ended
        """
        if not self.transfers_enabled or transfer.epoch != self.epoch:
            return False
        self.holding(transfer.resource).held += transfer.count
        return True

    def lower_limit(self, resource: str, new: int, old: int) -> None:
        """Allow no more starts than this daemon's portion of a lowered limit has room for."""
        self.reductions[resource] = LimitReduction(new, old)

    def suspend_transfers(self, limits: Mapping[str, int], old_limits: Mapping[str, int]) -> None:
        """Stop sending and receiving transfers, and drop the permits that lowered limits remove.

        :param limits: limits of the epoch that is collecting, by resource
        :param old_limits: limits under which the permits held were granted
        """
        self.transfers_enabled = False
        for resource, holding in self.holdings.items():
            old = old_limits.get(resource, 0)
            new = limits.get(resource, 0)
            if new < old:
                self._reduce(resource, holding, LimitReduction(new, old).portion(holding.held))

    def report(self) -> dict[str, int]:
        """Return the permits held, by resource, without resources of which none are held."""
        self.lapsed.clear()
        return {
            resource: holding.held for resource, holding in self.holdings.items() if holding.held
        }

    def open_epoch(
        self, epoch: int, permits: Mapping[str, int], excess: Mapping[str, int] | None = None
    ) -> None:
        """Resume transfers under a new epoch, and add the permits that it grants.

        The permits that were reported for it stay held, unless more than the limit was reported.

        :param epoch: the new epoch
        :param permits: permits granted in addition, by resource
        :param excess: permits reported beyond the limits, by resource; None if nothing was reported
        :raises PermitError: if the epoch is not newer
        """
        if epoch <= self.epoch:
            raise PermitError(f"epoch {epoch} is not newer than {self.epoch}")
        self.epoch = epoch
        self.transfers_enabled = True
        self.reductions.clear()
        self.transfer_results = {
            key: value for key, value in self.transfer_results.items() if value[0] >= epoch
        }
        if excess is not None:
            self._reinstate_reported(excess)
        self.grant(permits)

    def _reinstate_reported(self, excess: Mapping[str, int]) -> None:
        """Restore reported permits that lapsed or would lapse, where the limit has room."""
        for resource in [name for name in self.owed_permits if not excess.get(name)]:
            del self.owed_permits[resource]
            self.holding(resource).held += self.lapsed[resource]
        self.lapsed.clear()

    def abandon(self) -> None:
        """Drop all permits, after a view excluded this daemon.

        That view quarantines the permits of running jobs; here they lapse when their jobs end.
        """
        self.transfers_enabled = False
        self.epoch = 0
        for resource, holding in self.holdings.items():
            self._reduce(resource, holding, 0)

    def _reduce(self, resource: str, holding: Holding, target: int) -> None:
        """Reduce a holding to a target: free permits at once, permits in use as jobs end."""
        excess = holding.held - target
        dropped = min(excess, holding.free)
        holding.held -= dropped
        self.owed_permits[resource] = excess - dropped
