"""Property test of views, validity and transfers: permits in use never exceed the limit.

Daemons, a store and messages in transit are stepped in any order. A daemon that no rule picks
for a while behaves like a paused one. Set LIMPETPULLEY_LONG_TESTS for a longer run.
"""

import os

import attrs
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    initialize,
    invariant,
    multiple,
    rule,
)

from ...clock import ManualClock
from ...exception import PermitError
from ...quota.ledger import Ledger
from ..member import Member
from ..proposer import Proposer
from ..transitions import open_view
from ..view import MemberInfo, ViewState

LIMIT = 6
RESOURCE = "team/t"
VALIDITY = 4.0
JOB_SECONDS = 6.0
EXAMPLES = 2000 if os.environ.get("LIMPETPULLEY_LONG_TESTS") else 200
STEPS = 150 if os.environ.get("LIMPETPULLEY_LONG_TESTS") else 90


@attrs.define(eq=False)
class Daemon:
    member: Member
    clock: ManualClock
    clock_rate: float
    jobs: list = attrs.field(factory=list)

    @property
    def ledger(self):
        return self.member.ledger


class Protocol(RuleBasedStateMachine):
    daemons = Bundle("daemons")

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.all_daemons = []
        self.view, self.revision = None, 0
        self.keys = {}
        self.reports = {}
        self.in_transit = []
        self.delayed_acks = []
        self.store_down = False

    @initialize(target=daemons)
    def initial_members(self):
        """Start with three members that hold equal parts of the permits."""
        members = [self.start(rate) for rate in (1.0, 0.99, 1.01)]
        for _ in range(4):
            self.run_regular_second(len(members))
            self.wait(1.0)
        for daemon in members[1:]:
            self.send_share(daemon)
        return multiple(*members)

    def send_share(self, daemon):
        """Send a daemon its part of the permits from the daemon with the most free ones."""
        source = max(self.all_daemons, key=lambda other: other.ledger.free(RESOURCE))
        count = LIMIT // 3
        if source.ledger.transfers_enabled and source.ledger.free(RESOURCE) > count:
            daemon.ledger.credit(source.ledger.debit(RESOURCE, count))

    @rule(excluded=st.integers(0, 3), seconds=st.integers(1, 9))
    def run_without(self, excluded, seconds):
        """Pause or disconnect one daemon while the others continue."""
        for _ in range(seconds):
            self.wait(1.0)
            self.run_regular_second(excluded)
            active = [
                daemon for number, daemon in enumerate(self.all_daemons) if number != excluded
            ]
            for sender in active:
                for receiver in active:
                    self.heartbeat(sender, receiver, False)

    @rule(target=daemons, rate=st.sampled_from([0.99, 1.0, 1.01]))
    def start(self, rate):
        number = len(self.all_daemons)
        clock = ManualClock(1000.0 * number)
        info = MemberInfo(f"m{number}", f"m{number}", "d", f"h{number}:1", f"h{number}:2")
        daemon = Daemon(Member(info, clock, Ledger(info.member), VALIDITY, 10.0), clock, rate)
        self.all_daemons.append(daemon)
        return daemon

    @rule(seconds=st.floats(0.1, 6.0))
    def wait(self, seconds):
        self.now += seconds
        for daemon in self.all_daemons:
            daemon.clock.advance(seconds * daemon.clock_rate)
            for started in [at for at in daemon.jobs if self.now - at >= JOB_SECONDS]:
                daemon.jobs.remove(started)
                daemon.ledger.release(RESOURCE)

    @rule(down=st.booleans())
    def switch_store(self, down):
        self.store_down = down

    @rule(daemon=daemons)
    def read_store(self, daemon):
        if not self.store_down and self.view is not None:
            daemon.member.apply_view(self.view, self.revision)
            daemon.member.record_member_revisions(self.keys)

    @rule(daemon=daemons, response_lost=st.booleans())
    def renew(self, daemon, response_lost):
        member = daemon.member
        if self.store_down or not member.is_member or member.view_revision != self.revision:
            return
        sent_at = daemon.clock.now()
        self.keys[member.name] = self.keys.get(member.name, 0) + 1
        if not response_lost:
            member.confirm_renewal(sent_at, member.view_revision)

    @rule(daemon=daemons)
    def propose(self, daemon):
        if self.store_down:
            return
        proposal = Proposer(daemon.member).propose({RESOURCE: LIMIT}, True)
        if proposal is None or proposal.view_revision != self.revision:
            return
        for name, revision in proposal.member_revisions.items():
            if self.keys.get(name, 0) != revision:
                return
        self.write(proposal.view)

    @rule(daemon=daemons)
    def leave(self, daemon):
        if self.store_down or daemon.jobs or not daemon.member.is_member:
            return
        proposal = Proposer(daemon.member).propose_leaving({RESOURCE: LIMIT})
        if proposal is not None and proposal.view_revision == self.revision:
            self.write(proposal.view)

    @rule(daemon=daemons)
    def report(self, daemon):
        if self.view is None or self.view.state is not ViewState.COLLECTING:
            return
        held = daemon.member.report(self.view, self.revision)
        if held is not None:
            self.reports[daemon.member.name] = held

    @rule()
    def open(self):
        view = self.view
        if self.store_down or view is None or view.state is not ViewState.COLLECTING:
            return
        if view.members and view.names <= self.reports.keys():
            held = {name: self.reports[name] for name in view.names}
            self.write(open_view(view, held, JOB_SECONDS + 0.5, 60.0))

    @rule(excluded=st.integers(0, 4))
    def run_regular_second(self, excluded):
        """Run one regular second of all daemons except one."""
        active = [daemon for number, daemon in enumerate(self.all_daemons) if number != excluded]
        for daemon in active:
            self.read_store(daemon)
            self.propose(daemon)
        for daemon in active:
            self.read_store(daemon)
            self.report(daemon)
        self.open()
        for daemon in active:
            self.read_store(daemon)
            self.renew(daemon, False)

    @rule(sender=daemons, receiver=daemons, delayed=st.booleans())
    def heartbeat(self, sender, receiver, delayed):
        view = sender.member.view
        if view is None or sender is receiver:
            return
        if receiver.member.acknowledge(sender.member.name, view.epoch):
            ack = (sender, receiver.member.name, sender.clock.now(), view.epoch)
            if delayed:
                self.delayed_acks.append(ack)
            else:
                sender.member.record_ack(*ack[1:])

    @rule()
    def deliver_delayed_ack(self):
        if self.delayed_acks:
            sender, *ack = self.delayed_acks.pop(0)
            sender.member.record_ack(*ack)

    @rule(daemon=daemons, count=st.integers(1, LIMIT))
    def start_jobs(self, daemon, count):
        for _ in range(count):
            self.start_job(daemon)

    def start_job(self, daemon):
        if daemon.member.is_valid() and daemon.ledger.startable(RESOURCE) > 0:
            daemon.ledger.acquire(RESOURCE)
            daemon.jobs.append(self.now)

    @rule(sender=daemons, receiver=daemons, count=st.integers(1, 3))
    def send(self, sender, receiver, count):
        try:
            transfer = sender.ledger.debit(RESOURCE, count)
        except PermitError:
            return
        self.in_transit.append((sender, receiver, transfer))

    @rule(index=st.integers(0, 5), duplicate=st.booleans())
    def deliver(self, index, duplicate):
        if not self.in_transit:
            return
        index %= len(self.in_transit)
        sender, receiver, transfer = self.in_transit[index]
        credited = receiver.ledger.credit(transfer)
        if not duplicate:
            del self.in_transit[index]
            if not credited:
                sender.ledger.revert_debit(transfer)

    def write(self, view):
        self.view = view
        self.revision += 1
        self.reports = {}

    @invariant()
    def running_jobs_do_not_exceed_the_limit(self):
        running = sum(len(daemon.jobs) for daemon in self.all_daemons)
        assert running <= LIMIT, f"{running} jobs are running"

    @invariant()
    def startable_jobs_do_not_exceed_the_limit(self):
        running = sum(len(daemon.jobs) for daemon in self.all_daemons)
        startable = sum(
            d.ledger.startable(RESOURCE) for d in self.all_daemons if d.member.is_valid()
        )
        assert (
            running + startable <= LIMIT
        ), f"{running} jobs are running and {startable} more could start"


Protocol.TestCase.settings = settings(
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestProtocol = Protocol.TestCase
