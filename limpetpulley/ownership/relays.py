"""Which daemons carry copies of store entries to others with slow links. No I/O.

Answers the load of a large configuration: a daemon whose link takes long for the whole copy follows
a daemon with a fast link, which sends it what has changed.
"""

from __future__ import annotations

import xxhash

from .directory import MBITS_PER_PROCESSOR, Directory, Member

__all__ = ["choose_relays", "estimate_read_seconds"]

#: fraction of the strongest daemon's strength from which on a daemon can be a relay
RELAY_STRENGTH_FRACTION = 0.5
#: most relays; each serves a share of the others, and each reads every version from the store
MAX_RELAYS = 8
#: bytes that the store sends for each byte of a value, as text in base64
STORE_ENCODING_FACTOR = 4 / 3


def choose_relays(directory: Directory, local: Member) -> list[Member]:
    """Return the relays of a daemon in the order in which it asks them; none if it is one itself.

    The order differs between daemons, so that the relays share the load.
    """
    members = {**directory.members, local.name: local}.values()
    staying = [member for member in members if not member.leaving]
    strongest = max((member.strength for member in staying), default=0.0)
    able = [member for member in staying if member.strength >= RELAY_STRENGTH_FRACTION * strongest]
    relays = sorted(able, key=lambda member: (-member.strength, _rank(member.name, "")))
    relays = relays[:MAX_RELAYS]
    if any(member.name == local.name for member in relays):
        return []
    return sorted(relays, key=lambda member: _rank(member.name, local.name))


def estimate_read_seconds(member: Member, value_bytes: int) -> float:
    """Return the time that a daemon's link takes for values from the store, in seconds.

    It is an upper bound: the strength tells the rate that the VM carries at least.
    """
    megabits = value_bytes * STORE_ENCODING_FACTOR * 8 / 1e6
    return megabits / (member.strength * MBITS_PER_PROCESSOR)


def _rank(relay: str, follower: str) -> int:
    return xxhash.xxh64_intdigest(f"{relay}/{follower}".encode())
