"""Which members hold the record of a key."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import xxhash

__all__ = ["choose_holders", "quorum_size", "record_may_be_lost"]

MAX_HOLDERS = 3


def quorum_size(holders: int) -> int:
    """Return how many holders must accept a record: more than half.

    >>> needed(3)
    2
    """
    return holders // 2 + 1


def choose_holders(key: str, members: Iterable[tuple[str, str]]) -> tuple[str, ...]:
    """Return the members that hold a key's record, the first choice first.

    Rendezvous hashing ranks the members; a data centre that is already represented is passed
    over as long as another is not.

    :param key: the key
    :param members: name and data centre of each member

    >>> len(choose_holders("k", [("a", "x"), ("b", "x"), ("c", "y"), ("d", "z")]))
    3
    """
    ranked = sorted(members, key=lambda found: _weight(key, found[0]), reverse=True)
    chosen: list[str] = []
    used: set[str] = set()
    for member, data_centre in ranked:
        if data_centre not in used and len(chosen) < MAX_HOLDERS:
            chosen.append(member)
            used.add(data_centre)
    for member, _ in ranked:
        if member not in chosen and len(chosen) < MAX_HOLDERS:
            chosen.append(member)
    return tuple(chosen)


def record_may_be_lost(key: str, members: Sequence[tuple[str, str]], lost: Iterable[str]) -> bool:
    """Return whether all copies of a key's record may have been lost with some members.

    :param members: all members before the loss, as name and data centre
    :param lost: names of those that were lost
    """
    holders = choose_holders(key, members)
    gone = set(holders) & set(lost)
    return len(gone) >= quorum_size(len(holders))


def _weight(key: str, member: str) -> int:
    return xxhash.xxh64_intdigest(f"{member}\0{key}".encode())
