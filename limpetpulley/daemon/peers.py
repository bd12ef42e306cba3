"""Table of the other daemons, with their addresses, their state and the time of last contact."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

from ..clock import Clock
from ..idempotency import choose_holders
from ..membership import Member, MemberInfo

__all__ = ["PeerTable"]

LIVE_TIMEOUT_SECONDS = 2.5
FORGET_TIMEOUT_SECONDS = 30.0


@attrs.define
class _Peer:
    """Last known state of another daemon."""

    info: MemberInfo
    last_contact_at: float
    config_revision: int = 0
    is_member: bool = False
    leaving: bool = False
    fleet_state: _FleetState | None = None


@attrs.frozen
class _FleetState:
    """State of the fleet's VMs and pools as another daemon last reported it.

    :param config_revision: configuration revision that the daemon had applied
    :param busy_vms: VMs that are not joined but still run jobs of the daemon
    :param demand: numbers of running and waiting jobs, by pool
    """

    config_revision: int
    busy_vms: frozenset[str]
    demand: Mapping[str, tuple[int, int]]


class PeerTable:
    """Table of the other daemons, whether they are members or not.

    :param clock: the daemon's clock
    :param member: this daemon's membership state
    """

    def __init__(self, clock: Clock, member: Member):
        self.clock = clock
        self.member = member
        self.peers: dict[str, _Peer] = {}
        self.adviser_candidates: tuple[str, ...] = ()
        self.adviser_by_group: dict[str, str | None] = {}

    def record_contact(
        self,
        info: MemberInfo,
        config_revision: int = 0,
        is_member: bool = False,
        leaving: bool = False,
    ) -> None:
        """Record a heartbeat or a heartbeat reply of another daemon."""
        if info.member == self.member.name or not info.member:
            return
        peer = self.peers.get(info.member)
        if peer is not None and peer.info.incarnation > info.incarnation:
            return
        fleet_state = peer.fleet_state if peer is not None else None
        self.peers[info.member] = _Peer(
            info, self.clock.now(), config_revision, is_member, leaving, fleet_state
        )

    def record_fleet_state(
        self,
        name: str,
        config_revision: int,
        busy_vms: frozenset[str],
        demand: Mapping[str, tuple[int, int]],
    ) -> None:
        """Record the state of the fleet from another daemon's heartbeat."""
        if name in self.peers:
            self.peers[name].fleet_state = _FleetState(config_revision, busy_vms, demand)

    def runs_no_job_on(self, name: str, vm: str, revision: int) -> bool:
        """Return whether a daemon runs no job on a VM as of a configuration revision.

        :param name: the daemon
        :param vm: the VM
        :param revision: configuration revision that the daemon must have applied
        """
        peer = self.peers.get(name)
        if peer is None or peer.fleet_state is None or not self.is_live(name):
            return False
        return peer.fleet_state.config_revision >= revision and vm not in peer.fleet_state.busy_vms

    def demand(self, pool: str) -> tuple[int, int]:
        """Return the numbers of running and waiting jobs of a pool at the other daemons."""
        running = waiting = 0
        for name, peer in self.peers.items():
            if peer.fleet_state is not None and self.is_live(name):
                counts = peer.fleet_state.demand.get(pool, (0, 0))
                running, waiting = running + counts[0], waiting + counts[1]
        return running, waiting

    def is_live(self, name: str) -> bool:
        """Return whether a daemon was in contact recently; this daemon always counts as live."""
        if name == self.member.name:
            return True
        peer = self.peers.get(name)
        return peer is not None and self.clock.now() - peer.last_contact_at <= LIVE_TIMEOUT_SECONDS

    def live_members(self) -> list[str]:
        """Return the members that are live, including this daemon if it is a member."""
        view = self.member.view
        return [name for name in sorted(view.names) if self.is_live(name)] if view else []

    def is_member(self, name: str) -> bool:
        """Return whether a daemon is a member of the view."""
        return self.member.view is not None and name in self.member.view.names

    def may_advise(self, name: str) -> bool:
        """Return whether a daemon may be the adviser of a permit group at present.

        Daemons differ for a while in which members they consider live, and so in which member
        advises on a group. A member that the view has just excluded may still have reports of
        the last epoch. A member of an epoch that this daemon has not seen has no reports of it.
        """
        view = self.member.view
        if view is None:
            return False
        return name in view.names or any(info.member == name for info in view.previous)

    def find(self, name: str) -> MemberInfo | None:
        """Return a daemon's addresses as it last sent them, or else as in the view."""
        peer = self.peers.get(name)
        if peer is not None:
            return peer.info
        return self.member.view.find(name) if self.member.view else None

    def addresses(self) -> dict[str, str]:
        """Return the peer addresses of all other known daemons, by name."""
        addresses = {}
        for info in self.member.view.members if self.member.view else ():
            addresses[info.member] = info.peer_address
        for name, peer in list(self.peers.items()):
            if self.clock.now() - peer.last_contact_at > FORGET_TIMEOUT_SECONDS:
                del self.peers[name]
            else:
                addresses[name] = peer.info.peer_address
        addresses.pop(self.member.name, None)
        return addresses

    def config_revisions(self) -> dict[str, int]:
        """Return the last known configuration revision of each live daemon, by name."""
        return {
            name: peer.config_revision for name, peer in self.peers.items() if self.is_live(name)
        }

    def has_live_majority(self) -> bool:
        """Return whether a majority of the members is live."""
        view = self.member.view
        return view is not None and 2 * len(self.live_members()) > len(view.members)

    def find_adviser_candidates(self) -> tuple[str, ...]:
        """Return the members that may be advisers: the live ones that are not leaving."""
        return tuple(name for name in self.live_members() if not self._is_leaving(name))

    def adviser_of(self, group: str) -> str | None:
        """Return the live member that is the adviser of a permit group, or None."""
        candidates = self.find_adviser_candidates()
        if candidates != self.adviser_candidates:
            self.adviser_candidates = candidates
            self.adviser_by_group.clear()
        if group not in self.adviser_by_group:
            self.adviser_by_group[group] = _choose_adviser(group, candidates)
        return self.adviser_by_group[group]

    def handover_candidates(self) -> list[MemberInfo]:
        """Return the live daemons that are not members and can take over a membership."""
        return [
            peer.info
            for name, peer in self.peers.items()
            if self.is_live(name) and not peer.is_member and not peer.leaving
        ]

    def _is_leaving(self, name: str) -> bool:
        peer = self.peers.get(name)
        return peer is not None and peer.leaving


def _choose_adviser(group: str, members: Iterable[str]) -> str | None:
    holders = choose_holders(group, [(member, "") for member in members])
    return holders[0] if holders else None
