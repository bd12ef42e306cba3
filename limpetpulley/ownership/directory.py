"""Live daemons and the owners of pools, according to the store. No I/O."""

from __future__ import annotations

import json
import math
from collections import Counter
from collections.abc import Iterable, Mapping

import attrs
import xxhash

from ..batch.keys import BatchKeys
from ..exception import RecordError
from ..json_decoding import parse_json
from ..store import Event
from .failure_records import FailureRecord, decode_failure

__all__ = [
    "PLANNER",
    "MIN_STRENGTH",
    "Claim",
    "Directory",
    "Member",
    "choose_claims",
    "choose_release",
    "decode_member",
    "encode_member",
    "compute_strength",
]

#: name under which the fleet planner's claim is stored among those of the pools' owners
PLANNER = "@planner"
#: time for which a pool may stay unowned before the next daemon in rank claims it, in seconds
CLAIM_TURN_SECONDS = 0.4
#: strength of a daemon whose record has none: that of the weakest VMs, in processors
MIN_STRENGTH = 0.1
#: a daemon counts as restarted in a rolling restart if it started at most the first time before the
#: latest start of all and at least the second time after the earliest, both in milliseconds
ROLLING_RESTART_MILLISECONDS = 60_000
RESTART_GAP_MILLISECONDS = 1_000
#: fraction of the strongest daemon's strength that a restarted one must have to be preferred
STRONG_FRACTION = 0.5
#: link capacity per processor, in Mbit/s: the calls of an owner that keep a processor busy are some
#: 900 of 1.5 KB per second each way, and twice that rate must fit
MBITS_PER_PROCESSOR = 40.0
NO_FAILURE = FailureRecord(seen_at=-math.inf)


@attrs.frozen
class Member:
    """A live daemon.

    :param incarnation: start time, in milliseconds since 1970
    :param address: ``host:port`` for other daemons
    :param strength: processors that its VM has for it, fewer if its network link is the bottleneck
    :param leaving: whether it is handing over its pools and makes no more claims
    """

    name: str
    incarnation: int
    address: str
    data_centre: str = ""
    strength: float = MIN_STRENGTH
    leaving: bool = False


@attrs.frozen
class Claim:
    """A daemon's claim of a pool or of the planner's role.

    :param member: name of the daemon, empty if the claim's value cannot be read
    :param token: fencing token: the claim's revision in the store; later claims have higher ones
    """

    member: str
    incarnation: int
    token: int


def encode_member(member: Member) -> bytes:
    """Return the value of a daemon's member key and of the keys that it claims."""
    return json.dumps(attrs.asdict(member), separators=(",", ":")).encode()


def decode_member(value: bytes) -> Member:
    """Return the member that a stored value describes.

    :raises RecordError: if it cannot be read
    """
    try:
        record = parse_json(value)
        strength = float(record.get("strength", MIN_STRENGTH))
        return Member(
            str(record["name"]),
            int(record["incarnation"]),
            str(record["address"]),
            str(record.get("data_centre", "")),
            strength if strength > 0 and math.isfinite(strength) else MIN_STRENGTH,
            record.get("leaving") is True,
        )
    except (ValueError, TypeError, LookupError, AttributeError, OverflowError) as error:
        raise RecordError(f"cannot decode member record: {error!r}") from None


class Directory:
    """The live daemons and the claims, according to the keys in the store.

    :param keys: builds the names of the keys
    """

    def __init__(self, keys: BatchKeys):
        self.keys = keys
        self.members: dict[str, Member] = {}
        self.owners: dict[str, Claim] = {}
        # Name of the daemon that claimed each pool last, whether or not the claim still stands.
        self.last_owners: dict[str, str] = {}
        self.unowned_since: dict[str, float] = {}
        # Failures in a row of the owners of each pool and of the planner, by pool.
        self.failures: dict[str, FailureRecord] = {}

    def apply(self, events: Iterable[Event], now: float) -> list[tuple[Event, Exception]]:
        """Apply changes under the directory's prefix; return those that cannot be read.

        A record that cannot be read concerns its own key only. The daemon or claim stands as long
        as the key does: the daemon's last readable record holds, and a claim without a readable one
        is nobody's, but a claim, since its owner may be running.
        """
        failures = []
        for event in events:
            member = None
            try:
                if event.key.startswith(self.keys.owner_failures):
                    self._apply_failure(event, now)
                    continue
                member = decode_member(event.value) if event.value is not None else None
            except Exception as error:
                failures.append((event, error))
            self._apply_record(event, member, now)
        return failures

    def _apply_record(self, event: Event, member: Member | None, now: float) -> None:
        """Apply a change.

        :param member: what its value describes, None if it has none or cannot be read
        """
        if event.key.startswith(self.keys.members):
            name = event.key.removeprefix(self.keys.members)
            if member is not None or event.value is None:
                _set_or_remove(self.members, name, member)
        elif event.key.startswith(self.keys.last_owners):
            pool = event.key.removeprefix(self.keys.last_owners)
            _set_or_remove(self.last_owners, pool, member and member.name)
        elif event.key.startswith(self.keys.owners):
            pool = event.key.removeprefix(self.keys.owners)
            if event.value is None:
                self.owners.pop(pool, None)
                self.unowned_since[pool] = now
            elif member is not None:
                self.owners[pool] = Claim(member.name, member.incarnation, event.revision)
            else:
                self.owners[pool] = Claim("", 0, event.revision)

    def _apply_failure(self, event: Event, now: float) -> None:
        pool = event.key.removeprefix(self.keys.owner_failures)
        known = self.failures.get(pool)
        if event.value is None:
            self.failures.pop(pool, None)
        elif known is None or known.revision != event.revision:
            # A record that is read again is no further failure.
            self.failures[pool] = decode_failure(event.value, event.revision, now)

    def owner_of(self, pool: str) -> Member | None:
        """Return the live daemon that owns a pool, None if there is none."""
        claim = self.owners.get(pool)
        return self.members.get(claim.member) if claim and claim.member else None

    def is_stale(self, claim: Claim) -> bool:
        """Return whether a claim belongs to an earlier incarnation of a live daemon."""
        member = self.members.get(claim.member) if claim.member else None
        return member is not None and member.incarnation > claim.incarnation


def choose_claims(
    directory: Directory, local: Member, pools: Iterable[str], now: float
) -> list[str]:
    """Return the pools that a daemon should claim now.

    Pools go to the daemons with the fewest pools for their strength; rendezvous hashing breaks
    ties, so that all daemons make the same choice. During a rolling restart the planner's role goes
    to a daemon that was restarted already, since it will run the longest. A pool that stays unowned
    is claimed by the next daemon in rank. After a failure of its owner a pool is left alone for a
    delay that grows with the failures in a row; then those daemons come first whose owners have not
    failed, and last the one whose owner failed last.

    :param local: this daemon
    :param pools: all pools, and the planner's role
    :param now: local time
    """
    members = {name: each for name, each in directory.members.items() if not each.leaving}
    members[local.name] = local
    pool_counts = Counter(claim.member for claim in directory.owners.values())
    claims = []
    for pool in sorted(pools):
        claim = directory.owners.get(pool)
        if claim is not None and not directory.is_stale(claim):
            continue
        failure = directory.failures.get(pool, NO_FAILURE)
        claimable_from = max(directory.unowned_since.setdefault(pool, now), failure.claim_from)
        waited = now - claimable_from
        preferred = _recently_restarted(members, pool_counts) if pool == PLANNER else set()
        ranking = sorted(
            members,
            key=lambda name: (
                failure.rank(name),
                name not in preferred,
                (pool_counts[name] + 1) / members[name].strength,
                _rendezvous_hash(name, pool),
            ),
        )
        turn = int(waited / CLAIM_TURN_SECONDS)
        if waited >= 0 and local.name in ranking[: turn + 1]:
            claims.append(pool)
        pool_counts[ranking[0]] += 1
    return claims


def _recently_restarted(members: Mapping[str, Member], pool_counts: Mapping[str, int]) -> set[str]:
    """Return the strong daemons without pools that a rolling restart has restarted."""
    starts = [member.incarnation for member in members.values()]
    since = max(min(starts) + RESTART_GAP_MILLISECONDS, max(starts) - ROLLING_RESTART_MILLISECONDS)
    restarted = {name for name, member in members.items() if member.incarnation >= since}
    if len(restarted) < 2:
        return set()
    strong = STRONG_FRACTION * max(member.strength for member in members.values())
    return {
        name for name in restarted if not pool_counts[name] and members[name].strength >= strong
    }


def choose_release(directory: Directory, local: Member, jobs: Mapping[str, int]) -> str | None:
    """Return the pool that a daemon should hand over, None if no other daemon suits it better.

    This rebalances pools after daemons start or return when the others have claimed everything:
    otherwise one processor schedules several pools at their peaks while other or stronger daemons
    have less load.

    :param local: this daemon
    :param jobs: number of jobs of each pool that may be handed over; the pool with the fewest is
        chosen
    """
    pool_counts = Counter(claim.member for claim in directory.owners.values())
    others = (
        (pool_counts[name] + 1) / member.strength
        for name, member in directory.members.items()
        if name != local.name and not member.leaving
    )
    if not jobs or pool_counts[local.name] / local.strength <= min(others, default=math.inf):
        return None
    return min(jobs, key=lambda pool: (jobs[pool], pool))


def compute_strength(processors: float, link_mbits: float) -> float:
    """Return a daemon's strength, in processors.

    :param processors: processors that its VM has for it
    :param link_mbits: capacity of its VM's network link, in Mbit/s
    """
    return max(MIN_STRENGTH, min(processors, link_mbits / MBITS_PER_PROCESSOR))


def _rendezvous_hash(name: str, pool: str) -> int:
    return xxhash.xxh64_intdigest(f"{name}/{pool}".encode())


def _set_or_remove(table: dict, key: str, value: object) -> None:
    if value is None:
        table.pop(key, None)
    else:
        table[key] = value
