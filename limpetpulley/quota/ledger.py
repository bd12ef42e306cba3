"""The permits that one daemon holds."""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Mapping

import attrs

from ..exception import PermitError

__all__ = ["Holding", "Ledger", "Reduction", "Transfer"]

MAX_KNOWN_TRANSFERS = 20_000


@attrs.define
class Holding:
    """Permits of one resource: how many are held, and how many of them are in use."""

    held: int = 0
    used: int = 0

    @property
    def free(self) -> int:
        """Return the permits that are held and not in use."""
        return self.held - self.used


@attrs.frozen
class Transfer:
    """Free permits on their way from one daemon to another.

    :param transfer_id: unique identifier
    :param epoch: epoch of the view under which the permits left the sender
    :param resource: what the permits are for
    :param count: how many
    """

    transfer_id: str
    epoch: int
    resource: str
    count: int


@attrs.frozen
class Reduction:
    """A limit that was lowered after the permits were granted."""

    new: int
    old: int

    def part(self, held: int) -> int:
        """Return the part of the new limit that belongs to permits held of the old one.

        The parts are rounded down, so together they never pass the new limit.

        >>> Reduction(new=5, old=10).part(3)
        1
        """
        return self.new * held // self.old if self.old else 0


class Ledger:
    """Count of the permits that one daemon holds, uses, sends and receives.

    The sum of permits held by all daemons never grows here except by
    :meth:`grant`: a transfer is debited before it is sent and credited at most once.

    :param owner: name that makes transfer identifiers unique

    >>> ledger = Ledger("a")
    >>> ledger.grant({"team/t": 2})
    >>> ledger.take("team/t")
    >>> ledger.startable("team/t")
    1
    """

    def __init__(self, owner: str):
        self.owner = owner
        self.epoch = 0
        self.trading = True
        self.holdings: dict[str, Holding] = {}
        self.reductions: dict[str, Reduction] = {}
        self.debts: dict[str, int] = {}
        # Permits that lapsed since the last report, which counted them.
        self.lapsed: Counter[str] = Counter()
        self.answers: dict[str, tuple[int, bool]] = {}
        self.transfer_numbers = itertools.count(1)

    def holding(self, resource: str) -> Holding:
        """Return the holding of a resource, creating an empty one."""
        found = self.holdings.get(resource)
        if found is None:
            found = self.holdings[resource] = Holding()
        return found

    def free(self, resource: str) -> int:
        """Return the permits held and not in use."""
        found = self.holdings.get(resource)
        return found.free if found else 0

    def startable(self, resource: str) -> int:
        """Return how many jobs may start now, after any lowering of the limit."""
        found = self.holdings.get(resource)
        if found is None:
            return 0
        reduction = self.reductions.get(resource)
        if reduction is None:
            return found.free
        return max(0, min(found.free, reduction.part(found.held) - found.used))

    def take(self, resource: str) -> None:
        """Use one permit.

        :raises PermitError: if none may be used
        """
        if self.startable(resource) < 1:
            raise PermitError(f"no permit of {resource} is free")
        self.holding(resource).used += 1

    def give_back(self, resource: str) -> None:
        """Free one permit in use; it lapses if it is owed to a lowered limit.

        :raises PermitError: if none is in use
        """
        found = self.holding(resource)
        if found.used < 1:
            raise PermitError(f"no permit of {resource} is in use")
        found.used -= 1
        owed = self.debts.get(resource, 0)
        if owed:
            found.held -= 1
            self.debts[resource] = owed - 1
            self.lapsed[resource] += 1

    def grant(self, permits: Mapping[str, int]) -> None:
        """Add permits that a view grants."""
        for resource, count in permits.items():
            self.holding(resource).held += count

    def debit(self, resource: str, count: int) -> Transfer:
        """Take free permits out and return the transfer that carries them.

        :raises PermitError: if they are not free, or permits do not trade now
        """
        if not self.trading:
            raise PermitError("permits do not trade while an epoch is collecting")
        if count < 1 or self.free(resource) < count:
            raise PermitError(f"{count} permits of {resource} are not free")
        self.holding(resource).held -= count
        number = next(self.transfer_numbers)
        return Transfer(f"{self.owner}:{self.epoch}:{number}", self.epoch, resource, count)

    def credit(self, transfer: Transfer) -> bool:
        """Take in a transfer, once; say the same of it however often it arrives.

        A transfer that was refused stays refused, because its sender may have taken it back.

        :returns: whether the permits were added, by this call or an earlier one
        """
        known = self.answers.get(transfer.transfer_id)
        if known is not None:
            return known[1]
        accepted = self.trading and transfer.epoch == self.epoch and transfer.count > 0
        self.answers[transfer.transfer_id] = (transfer.epoch, accepted)
        if len(self.answers) > MAX_KNOWN_TRANSFERS:
            del self.answers[next(iter(self.answers))]
        if accepted:
            self.holding(transfer.resource).held += transfer.count
        return accepted

    def take_back(self, transfer: Transfer) -> bool:
        """Undo a debit whose receiver said that it did not credit it.

        :returns: whether the permits were added again; not once the epoch has passed
        """
        if not self.trading or transfer.epoch != self.epoch:
            return False
        self.holding(transfer.resource).held += transfer.count
        return True

    def lower(self, resource: str, new: int, old: int) -> None:
        """Start nothing beyond this daemon's part of a lowered limit."""
        self.reductions[resource] = Reduction(new, old)

    def stop_trading(self, limits: Mapping[str, int], old_limits: Mapping[str, int]) -> None:
        """Stop sending and taking transfers, and let go of what lowered limits take away.

        :param limits: limits of the epoch that is collecting, by resource
        :param old_limits: limits that the permits held were granted under
        """
        self.trading = False
        for resource, found in self.holdings.items():
            old = old_limits.get(resource, 0)
            new = limits.get(resource, 0)
            if new < old:
                self._burn(resource, found, Reduction(new, old).part(found.held))

    def report(self) -> dict[str, int]:
        """Return the permits held, by resource, without the empty ones."""
        self.lapsed.clear()
        return {name: found.held for name, found in self.holdings.items() if found.held}

    def open_epoch(
        self, epoch: int, permits: Mapping[str, int], excess: Mapping[str, int] | None = None
    ) -> None:
        """Start trading under a new epoch with what it grants in addition.

        What was reported for it counts as held, unless more was reported than the limit.

        :param excess: permits reported beyond the limits, by resource; None if nothing was reported
        :raises PermitError: if the epoch is not newer
        """
        if epoch <= self.epoch:
            raise PermitError(f"epoch {epoch} is not newer than {self.epoch}")
        self.epoch = epoch
        self.trading = True
        self.reductions.clear()
        self.answers = {key: value for key, value in self.answers.items() if value[0] >= epoch}
        if excess is not None:
            self._keep_reported(excess)
        self.grant(permits)

    def _keep_reported(self, excess: Mapping[str, int]) -> None:
        """Let no permit lapse that the limit has room for."""
        for resource in [name for name in self.debts if not excess.get(name)]:
            del self.debts[resource]
            self.holding(resource).held += self.lapsed[resource]
        self.lapsed.clear()

    def abandon(self) -> None:
        """Let go of everything, after a view left this daemon out.

        Permits of running jobs are in quarantine there; here they lapse with their jobs.
        """
        self.trading = False
        self.epoch = 0
        for resource, found in self.holdings.items():
            self._burn(resource, found, 0)

    def _burn(self, resource: str, found: Holding, target: int) -> None:
        owed = found.held - target
        burnt = min(owed, found.free)
        found.held -= burnt
        self.debts[resource] = owed - burnt
