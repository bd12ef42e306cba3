"""Placement of key records: the members that hold the record of a key."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import xxhash

__all__ = ["choose_holders", "quorum_size", "record_may_be_lost"]

MAX_HOLDERS = 3


def quorum_size(holders: int) -> int:
    """Return how many of the holders must accept a claim: more than half.

    >>> quorum_size(3)
    2
    """
    return holders // 2 + 1


def choose_holders(key: str, members: Iterable[tuple[str, str]]) -> tuple[str, ...]:
    """Return the members that hold the record of a key, in order of preference.

    Rendezvous hashing ranks the members. Members in a data centre that already has a holder are
    chosen only once every data centre has one.

    :param key: team, queue and idempotency key
    :param members: name and data centre of each member

    >>> len(choose_holders("k", [("a", "x"), ("b", "x"), ("c", "y"), ("d", "z")]))
    3
    """
    ranked = sorted(members, key=lambda member: _weight(key, member[0]), reverse=True)
    chosen: list[str] = []
    used_data_centres: set[str] = set()
    for member, data_centre in ranked:
        if data_centre not in used_data_centres and len(chosen) < MAX_HOLDERS:
            chosen.append(member)
            used_data_centres.add(data_centre)
    for member, _ in ranked:
        if member not in chosen and len(chosen) < MAX_HOLDERS:
            chosen.append(member)
    return tuple(chosen)


def record_may_be_lost(key: str, members: Sequence[tuple[str, str]], lost: Iterable[str]) -> bool:
    """Return whether all copies of a key's record may have been lost with some members.

    :param key: team, queue and idempotency key
    :param members: all members before the loss, as name and data centre
    :param lost: names of the lost members
    """
    holders = choose_holders(key, members)
    lost_holders = set(holders) & set(lost)
    return len(lost_holders) >= quorum_size(len(holders))


def _weight(key: str, member: str) -> int:
    return xxhash.xxh64_intdigest(f"{member}\0{key}".encode())
