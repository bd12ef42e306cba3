"""Who is alive and who owns which pool, as the store says. No I/O."""

from __future__ import annotations

import json
import math
from collections import Counter
from collections.abc import Iterable, Mapping

import attrs
import xxhash

from ..batch.keys import BatchKeys
from ..exception import RecordError
from ..store import Event

__all__ = [
    "PLANNER",
    "MIN_STRENGTH",
    "Directory",
    "Member",
    "Ownership",
    "choose_claims",
    "choose_release",
    "decode_member",
    "encode_member",
    "compute_strength",
]

#: name under which the claim of the planner of VMs stands among the pools' owners
PLANNER = "@planner"
#: time that a pool may be without an owner before the next daemon in line claims it, in seconds
PATIENCE_SECONDS = 0.4
#: strength of a daemon that does not tell its own: that of the weakest VMs, in processors
MIN_STRENGTH = 0.1
#: time over which daemons that were restarted one after the other count as one series, in
#: milliseconds; and by how much their starts differ from that of the others at least
SERIES_MILLISECONDS = 60_000
APART_MILLISECONDS = 1_000
#: part of the strongest daemon's strength that a restarted one must have to be preferred
STRONG_PART = 0.5
#: Mbit/s that an owner's calls take while they keep a processor busy: some 900 calls of 1.5 KB a
#: second each way, with room for twice as much
MBITS_PER_PROCESSOR = 40.0


@attrs.frozen
class Member:
    """A live daemon.

    :param incarnation: its start, in milliseconds since 1970
    :param address: ``host:port`` for other daemons
    :param strength: processors that its VM has for it, less where its link is narrow
    :param leaving: whether it hands over what it owns and claims no more
    """

    name: str
    incarnation: int
    address: str
    data_centre: str = ""
    strength: float = MIN_STRENGTH
    leaving: bool = False


@attrs.frozen
class Ownership:
    """A claim: who holds it, and the fencing token.

    :param token: revision of the claim in the store; a later claim has a higher one
    """

    member: str
    incarnation: int
    token: int


def encode_member(member: Member) -> bytes:
    """Return the value of a member's key and of the keys that it claims."""
    return json.dumps(attrs.asdict(member), separators=(",", ":")).encode()


def decode_member(value: bytes) -> Member:
    """Return the member that a value describes.

    :raises RecordError: if it cannot be read
    """
    try:
        told = json.loads(value)
        strength = float(told.get("strength", MIN_STRENGTH))
        return Member(
            str(told["name"]),
            int(told["incarnation"]),
            str(told["address"]),
            str(told.get("data_centre", "")),
            strength if strength > 0 and math.isfinite(strength) else MIN_STRENGTH,
            told.get("leaving") is True,
        )
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise RecordError(f"unreadable record of a member: {error!r}") from None


class Directory:
    """Members and owners by what the store's keys say.

    :param keys: names of the keys
    """

    def __init__(self, keys: BatchKeys):
        self.keys = keys
        self.members: dict[str, Member] = {}
        self.owners: dict[str, Ownership] = {}
        self.unowned_since: dict[str, float] = {}

    def apply(self, events: Iterable[Event], now: float) -> None:
        """Apply changes under the directory's prefix."""
        for event in events:
            member = decode_member(event.value) if event.value is not None else None
            claim = None
            if member is not None:
                claim = Ownership(member.name, member.incarnation, event.revision)
            if event.key.startswith(self.keys.members):
                _put(self.members, event.key.removeprefix(self.keys.members), member)
            elif event.key.startswith(self.keys.owners):
                pool = event.key.removeprefix(self.keys.owners)
                _put(self.owners, pool, claim)
                if claim is None:
                    self.unowned_since[pool] = now

    def owner_of(self, pool: str) -> Member | None:
        """Return the live member that owns a pool, or None."""
        claim = self.owners.get(pool)
        return self.members.get(claim.member) if claim else None

    def left_over(self, claim: Ownership) -> bool:
        """Return whether a claim belongs to an earlier incarnation of a live daemon."""
        member = self.members.get(claim.member)
        return member is not None and member.incarnation > claim.incarnation


def choose_claims(directory: Directory, me: Member, pools: Iterable[str], now: float) -> list[str]:
    """Return the pools that a daemon should claim now.

    Pools go to the daemons that have the fewest for their strength; among equals rendezvous hashing
    decides, so that all daemons choose alike. While daemons are restarted one after the other, the
    planner's place goes to one that was, which stays longest. A pool that stays without an owner is
    claimed by the next in line.

    :param pools: all pools
    :param now: local time
    """
    members = {name: each for name, each in directory.members.items() if not each.leaving}
    members[me.name] = me
    load = Counter(claim.member for claim in directory.owners.values())
    claims = []
    for pool in sorted(pools):
        claim = directory.owners.get(pool)
        if claim is not None and not directory.left_over(claim):
            continue
        waited = now - directory.unowned_since.setdefault(pool, now)
        staying = _recently_restarted(members, load) if pool == PLANNER else set()
        line = sorted(
            members,
            key=lambda name: (
                name not in staying,
                (load[name] + 1) / members[name].strength,
                _weight(name, pool),
            ),
        )
        turn = int(waited / PATIENCE_SECONDS)
        if me.name in line[: turn + 1]:
            claims.append(pool)
        load[line[0]] += 1
    return claims


def _recently_restarted(members: Mapping[str, Member], load: Mapping[str, int]) -> set[str]:
    """Return the strong daemons without pools that were restarted in a series of several."""
    starts = [member.incarnation for member in members.values()]
    since = max(min(starts) + APART_MILLISECONDS, max(starts) - SERIES_MILLISECONDS)
    series = {name for name, member in members.items() if member.incarnation >= since}
    if len(series) < 2:
        return set()
    strong = STRONG_PART * max(member.strength for member in members.values())
    return {name for name in series if not load[name] and members[name].strength >= strong}


def choose_release(directory: Directory, me: Member, jobs: Mapping[str, int]) -> str | None:
    """Return the pool that a daemon should hand over, None if no other one is better for it.

    Answers daemons that start or come back after the others have claimed everything: one processor
    then decides for several pools at their peaks while others, or stronger ones, have less to do.

    :param jobs: number of jobs in each pool that may be handed over; the pool with the fewest goes
    """
    load = Counter(claim.member for claim in directory.owners.values())
    others = (
        (load[name] + 1) / member.strength
        for name, member in directory.members.items()
        if name != me.name and not member.leaving
    )
    if not jobs or load[me.name] / me.strength <= min(others, default=math.inf):
        return None
    return min(jobs, key=lambda pool: (jobs[pool], pool))


def compute_strength(processors: float, link_mbits: float) -> float:
    """Return a daemon's strength.

    :param processors: those that its VM has for it
    :param link_mbits: what its VM's link carries, in Mbit/s
    """
    return max(MIN_STRENGTH, min(processors, link_mbits / MBITS_PER_PROCESSOR))


def _weight(name: str, pool: str) -> int:
    return xxhash.xxh64_intdigest(f"{name}/{pool}".encode())


def _put(table: dict, key: str, value: object) -> None:
    if value is None:
        table.pop(key, None)
    else:
        table[key] = value
