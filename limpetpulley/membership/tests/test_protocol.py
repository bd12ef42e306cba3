"""Property test of views, validity and transfers: permits never pass the limit.

Daemons, a store and messages in flight are stepped in any order; a daemon that no rule picks
for a while is one that is paused. Set LIMPETPULLEY_LONG_TESTS for a longer run.
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
from ..planner import open_view
from ..proposer import Proposer
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
    rate: float
    jobs: list = attrs.field(factory=list)

    @property
    def ledger(self):
        return self.member.ledger


class Protocol(RuleBasedStateMachine):
    daemons = Bundle("daemons")

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.all = []
        self.view, self.revision = None, 0
        self.keys = {}
        self.reports = {}
        self.flying = []
        self.acks = []
        self.away = False

    @initialize(target=daemons)
    def found(self):
        """Start with three members that have shared the permits out."""
        three = [self.start(rate) for rate in (1.0, 0.99, 1.01)]
        for _ in range(4):
            self.cooperate(len(three))
            self.wait(1.0)
        for daemon in three[1:]:
            self.share(daemon)
        return multiple(*three)

    def share(self, daemon):
        """Send a daemon its part of the permits from whoever has most."""
        source = max(self.all, key=lambda other: other.ledger.free(RESOURCE))
        count = LIMIT // 3
        if source.ledger.transfers_enabled and source.ledger.free(RESOURCE) > count:
            daemon.ledger.credit(source.ledger.debit(RESOURCE, count))

    @rule(but=st.integers(0, 3), seconds=st.integers(1, 9))
    def go_on_without(self, but, seconds):
        """Let a daemon be paused or cut off while the others go on."""
        for _ in range(seconds):
            self.wait(1.0)
            self.cooperate(but)
            active = [daemon for number, daemon in enumerate(self.all) if number != but]
            for sender in active:
                for receiver in active:
                    self.heartbeat(sender, receiver, False)

    @rule(target=daemons, rate=st.sampled_from([0.99, 1.0, 1.01]))
    def start(self, rate):
        number = len(self.all)
        clock = ManualClock(1000.0 * number)
        info = MemberInfo(f"m{number}", f"m{number}", "d", f"h{number}:1", f"h{number}:2")
        daemon = Daemon(Member(info, clock, Ledger(info.member), VALIDITY, 10.0), clock, rate)
        self.all.append(daemon)
        return daemon

    @rule(seconds=st.floats(0.1, 6.0))
    def wait(self, seconds):
        self.now += seconds
        for daemon in self.all:
            daemon.clock.advance(seconds * daemon.rate)
            for started in [at for at in daemon.jobs if self.now - at >= JOB_SECONDS]:
                daemon.jobs.remove(started)
                daemon.ledger.release(RESOURCE)

    @rule(away=st.booleans())
    def switch_store(self, away):
        self.away = away

    @rule(daemon=daemons)
    def read_store(self, daemon):
        if not self.away and self.view is not None:
            daemon.member.take_view(self.view, self.revision)
            daemon.member.see_members(self.keys)

    @rule(daemon=daemons, lost_answer=st.booleans())
    def renew(self, daemon, lost_answer):
        member = daemon.member
        if self.away or not member.is_member or member.view_revision != self.revision:
            return
        sent_at = daemon.clock.now()
        self.keys[member.name] = self.keys.get(member.name, 0) + 1
        if not lost_answer:
            member.confirm(sent_at, member.view_revision)

    @rule(daemon=daemons)
    def propose(self, daemon):
        if self.away:
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
        if self.away or daemon.jobs or not daemon.member.is_member:
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
        if self.away or view is None or view.state is not ViewState.COLLECTING:
            return
        if view.members and view.names <= self.reports.keys():
            held = {name: self.reports[name] for name in view.names}
            self.write(open_view(view, held, JOB_SECONDS + 0.5, 60.0))

    @rule(but=st.integers(0, 4))
    def cooperate(self, but):
        """Let all daemons but one do what they would do in a quiet second."""
        active = [daemon for number, daemon in enumerate(self.all) if number != but]
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
                self.acks.append(ack)
            else:
                sender.member.take_ack(*ack[1:])

    @rule()
    def late_ack(self):
        if self.acks:
            sender, *ack = self.acks.pop(0)
            sender.member.take_ack(*ack)

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
        self.flying.append((sender, receiver, transfer))

    @rule(index=st.integers(0, 5), twice=st.booleans())
    def deliver(self, index, twice):
        if not self.flying:
            return
        index %= len(self.flying)
        sender, receiver, transfer = self.flying[index]
        credited = receiver.ledger.credit(transfer)
        if not twice:
            del self.flying[index]
            if not credited:
                sender.ledger.revert_debit(transfer)

    def write(self, view):
        self.view = view
        self.revision += 1
        self.reports = {}

    @invariant()
    def running_jobs_stay_within_the_limit(self):
        running = sum(len(daemon.jobs) for daemon in self.all)
        assert running <= LIMIT, f"{running} run"

    @invariant()
    def valid_members_could_not_pass_it(self):
        running = sum(len(daemon.jobs) for daemon in self.all)
        more = sum(d.ledger.startable(RESOURCE) for d in self.all if d.member.is_valid())
        assert running + more <= LIMIT, f"{running} run and {more} more could"


Protocol.TestCase.settings = settings(
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestProtocol = Protocol.TestCase
