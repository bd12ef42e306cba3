"""The other daemons: who they are, where they are, and when each was last heard."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

from ..clock import Clock
from ..idempotency import choose_holders
from ..membership import Member, MemberInfo

__all__ = ["PeerTable"]

LIVE_SECONDS = 2.5
FORGET_SECONDS = 30.0


@attrs.define
class _Peer:
    info: MemberInfo
    heard_at: float
    config_revision: int = 0
    is_member: bool = False
    leaving: bool = False
    fleet: _FleetNews | None = None


@attrs.frozen
class _FleetNews:
    config_revision: int
    busy: frozenset[str]
    demand: Mapping[str, tuple[int, int]]


class PeerTable:
    """Daemons heard of, members or not.

    :param clock: the daemon's clock
    :param member: this daemon's part in the membership
    """

    def __init__(self, clock: Clock, member: Member):
        self.clock = clock
        self.member = member
        self.peers: dict[str, _Peer] = {}
        self.candidates: tuple[str, ...] = ()
        self.advisers: dict[str, str | None] = {}

    def record_contact(
        self,
        info: MemberInfo,
        config_revision: int = 0,
        is_member: bool = False,
        leaving: bool = False,
    ) -> None:
        """Note a message from another daemon."""
        if info.member == self.member.name or not info.member:
            return
        held = self.peers.get(info.member)
        if held is not None and held.info.incarnation > info.incarnation:
            return
        fleet = held.fleet if held is not None else None
        self.peers[info.member] = _Peer(
            info, self.clock.now(), config_revision, is_member, leaving, fleet
        )

    def hear_fleet(
        self,
        name: str,
        config_revision: int,
        busy: frozenset[str],
        demand: Mapping[str, tuple[int, int]],
    ) -> None:
        """Note what another daemon's heartbeat says of the fleet."""
        if name in self.peers:
            self.peers[name].fleet = _FleetNews(config_revision, busy, demand)

    def is_idle(self, name: str, vm: str, revision: int) -> bool:
        """Return whether a daemon runs no job on a VM and knows the record's revision."""
        held = self.peers.get(name)
        if held is None or held.fleet is None or not self.is_live(name):
            return False
        return held.fleet.config_revision >= revision and vm not in held.fleet.busy

    def demand(self, pool: str) -> tuple[int, int]:
        """Return the running and waiting jobs of a pool at the other daemons."""
        running = waiting = 0
        for name, peer in self.peers.items():
            if peer.fleet is not None and self.is_live(name):
                found = peer.fleet.demand.get(pool, (0, 0))
                running, waiting = running + found[0], waiting + found[1]
        return running, waiting

    def is_live(self, name: str) -> bool:
        """Return whether a daemon was heard lately; this one always is."""
        if name == self.member.name:
            return True
        held = self.peers.get(name)
        return held is not None and self.clock.now() - held.heard_at <= LIVE_SECONDS

    def live(self) -> list[str]:
        """Return the members heard lately, this one included if it is a member."""
        view = self.member.view
        return [name for name in sorted(view.names) if self.is_live(name)] if view else []

    def find(self, name: str) -> MemberInfo | None:
        """Return where a daemon is: as it last said, else as the view says."""
        held = self.peers.get(name)
        if held is not None:
            return held.info
        return self.member.view.find(name) if self.member.view else None

    def addresses(self) -> dict[str, str]:
        """Return the peer address of every other daemon known, by name."""
        found = {}
        for info in self.member.view.members if self.member.view else ():
            found[info.member] = info.peer_address
        for name, peer in list(self.peers.items()):
            if self.clock.now() - peer.heard_at > FORGET_SECONDS:
                del self.peers[name]
            else:
                found[name] = peer.info.peer_address
        found.pop(self.member.name, None)
        return found

    def config_revisions(self) -> dict[str, int]:
        """Return the configuration revision that each live daemon last told."""
        return {
            name: peer.config_revision for name, peer in self.peers.items() if self.is_live(name)
        }

    def majority_live(self) -> bool:
        """Return whether a majority of the members was heard lately."""
        view = self.member.view
        return view is not None and 2 * len(self.live()) > len(view.members)

    def adviser_of(self, group: str) -> str | None:
        """Return the live member that advises on a group."""
        candidates = tuple(name for name in self.live() if not self._is_leaving(name))
        if candidates != self.candidates:
            self.candidates = candidates
            self.advisers.clear()
        if group not in self.advisers:
            self.advisers[group] = _first(group, candidates)
        return self.advisers[group]

    def successors(self) -> list[MemberInfo]:
        """Return live daemons that are not members, to hand a membership on to."""
        return [
            peer.info
            for name, peer in self.peers.items()
            if self.is_live(name) and not peer.is_member and not peer.leaving
        ]

    def _is_leaving(self, name: str) -> bool:
        held = self.peers.get(name)
        return held is not None and held.leaving


def _first(group: str, members: Iterable[str]) -> str | None:
    holders = choose_holders(group, [(member, "") for member in members])
    return holders[0] if holders else None
