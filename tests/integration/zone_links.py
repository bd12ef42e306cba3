"""Links between the machines of a test, which are cut by pair and direction."""

from __future__ import annotations

import itertools
import random
from collections import Counter
from collections.abc import Iterable

import anyio
import attrs

__all__ = ["STORE", "Links", "pairs_around"]

#: name of the machine that serves the store and the list of machines
STORE = "store"
#: longest time for which a cut link holds what was sent, in seconds: daemons close connections
#: whose bytes are not acknowledged for as long
HELD_SECONDS = 3.0

Pair = tuple[str, str]


@attrs.define(eq=False)
class Links:
    """Which machines are down, and which directed pairs of machines carry nothing.

    :param late_share: share of the calls that meet a cut which are delivered when it ends
    :param names: names of the machines by the address that their connections come from
    :param cuts: number of faults that cut each pair, from the first to the second
    """

    late_share: float = 0.0
    rng: random.Random = attrs.field(factory=lambda: random.Random(0))
    names: dict[str, str] = attrs.field(factory=dict)
    cuts: Counter[Pair] = attrs.field(factory=Counter)
    down: set[str] = attrs.field(factory=set)
    changed: anyio.Event = attrs.field(factory=anyio.Event)

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether bytes from one machine to another are lost."""
        return bool(self.down & {source, target}) or self.cuts[source, target] > 0

    def cut(self, pairs: Iterable[Pair]) -> None:
        """Cut pairs; cuts of several faults add up."""
        self.cuts.update(pairs)

    def restore(self, pairs: Iterable[Pair]) -> None:
        """Undo one cut of each pair."""
        self.cuts.subtract(pairs)
        self._notify()

    def set_up(self, machine: str) -> None:
        """Let a machine that was down be up again."""
        self.down.discard(machine)
        self._notify()

    async def wait_late(self, source: str, target: str) -> bool:
        """Wait until what was sent over a cut link arrives; return whether it does."""
        if self.rng.random() >= self.late_share:
            return False
        with anyio.move_on_after(HELD_SECONDS):
            await self.wait_restored(source, target)
            return True
        return False

    async def wait_restored(self, one: str, other: str) -> None:
        """Wait until bytes are carried between two machines in both directions."""
        while self.is_cut(one, other) or self.is_cut(other, one):
            await self.changed.wait()

    def _notify(self) -> None:
        changed, self.changed = self.changed, anyio.Event()
        changed.set()


def pairs_around(inside: Iterable[str], everyone: Iterable[str]) -> list[Pair]:
    """Return the pairs of a machine inside and one outside, in both directions."""
    within = set(inside)
    pairs = list(itertools.product(sorted(within), sorted(set(everyone) - within)))
    return pairs + [(outer, inner) for inner, outer in pairs]
