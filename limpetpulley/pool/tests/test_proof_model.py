"""The set of proofs, checked exhaustively for two owners; each rule is needed."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Is, IsInstance

from ..proofs import ClaimGuard, Proof
from .proof_model import Rules, Scope, explore, inherited_task, running_task, waiting_task
from .proof_model_state import UNRENEWED_TICKS, Outcome

CRASH = Scope(crashes=1)
REPLACEMENT = Scope(crashes=1, replaces=True)
#: calls to the incarnation before give a worker's next one the longest lease
HOLD_BEFORE_TAKEOVER = Scope(starts=0, second_starts=2, crashes=1, holds_in_next_life=True)
START_BEFORE_TAKEOVER = Scope(second_starts=2, crashes=1, starts_in_next_life=True)
INHERITED_RUN_ENDS = Scope(starts=2, failures=True, passes=False)
CALLS_OF_SAME_OWNER = Scope(
    starts=3, crashes=1, passes=False, holds_in_next_life=True, starts_in_next_life=True
)


@pytest.mark.parametrize(
    ("initial", "scope", "least_states"),
    [
        pytest.param(*row, id=name)
        for name, row in {
            "late-starts": (waiting_task, Scope(starts=2, failures=True, late_starts=True), 15_000),
            "waiting-crash": (waiting_task, CRASH, 25_000),
            "running-crash": (running_task, CRASH, 80_000),
            "running-late-answers": (running_task, Scope(late_answers=True), 35_000),
            "running-late-renewals": (running_task, Scope(late_renewals=True), 5_000),
            "inherited-late-starts": (inherited_task, Scope(late_starts=True), 10_000),
            "hold-in-next-life-before-takeover": (waiting_task, HOLD_BEFORE_TAKEOVER, 22_000),
            "start-in-next-life-before-takeover": (waiting_task, START_BEFORE_TAKEOVER, 60_000),
            "inherited-run-ends": (inherited_task, INHERITED_RUN_ENDS, 3_000),
            "calls-in-next-life": (waiting_task, CALLS_OF_SAME_OWNER, 25_000),
        }.items()
    ],
)
def test_no_task_runs_twice_whatever_is_cut_lost_late_or_restarted(initial, scope, least_states):
    """The number of states has a floor, so that the model can't become trivial."""
    finding = explore(initial(scope), Rules(), scope)
    print(f"{finding.states} states, events: {dict(finding.events)}")
    assert finding.violation is None, "\n".join(finding.trace)
    assert finding.states >= least_states


@pytest.mark.parametrize(
    ("initial", "scope", "rules"),
    [
        pytest.param(*row, id=name)
        for name, row in {
            "leases-by-own-clock": (
                running_task,
                Scope(),
                Rules(leases_judged_as_confirmed=False),
            ),
            "next-incarnation-at-once": (
                running_task,
                CRASH,
                Rules(at_once=frozenset({Proof.NEXT_INCARNATION})),
            ),
            "vm-ended-at-once": (
                running_task,
                CRASH,
                Rules(at_once=frozenset({Proof.VM_ENDED})),
            ),
            "vm-ended-of-replaced-at-once": (
                running_task,
                REPLACEMENT,
                Rules(at_once=frozenset({Proof.VM_ENDED})),
            ),
            "inherited-runs-unconfirmed": (
                inherited_task,
                CRASH,
                Rules(inherited_runs_confirmed=False),
            ),
            "new-incarnation-unconfirmed": (
                waiting_task,
                CRASH,
                Rules(incarnations_confirmed=False),
            ),
            "acknowledged-before-stored": (
                running_task,
                Scope(),
                Rules(acknowledges_after_store=False),
            ),
            "successor-without-wait": (waiting_task, Scope(), Rules(waits_for_workers=False)),
            "successor-waits-too-short": (
                waiting_task,
                Scope(),
                Rules(wait_ticks=UNRENEWED_TICKS - 1),
            ),
            "leases-beyond-the-claim": (waiting_task, Scope(), Rules(leases_end_with_claim=False)),
            "starts-beyond-the-roster": (
                waiting_task,
                REPLACEMENT,
                Rules(starts_on_roster_only=False),
            ),
            "list-of-vms-before-takeover": (
                waiting_task,
                CRASH,
                Rules(lists_after_takeover=False),
            ),
            "first-list-as-requested-after-hold": (
                waiting_task,
                HOLD_BEFORE_TAKEOVER,
                Rules(first_lists_as_longest=False),
            ),
            "first-list-as-requested-after-start": (
                waiting_task,
                START_BEFORE_TAKEOVER,
                Rules(first_lists_as_longest=False),
            ),
            "next-incarnation-as-requested": (
                waiting_task,
                CALLS_OF_SAME_OWNER,
                Rules(earlier_calls_as_longest=False),
            ),
            "first-list-as-requested-after-inherited-run": (
                inherited_task,
                INHERITED_RUN_ENDS,
                Rules(first_lists_as_longest=False),
            ),
        }.items()
    ],
)
def test_without_one_of_the_rules_a_task_runs_twice(initial, scope, rules):
    finding = explore(initial(scope), rules, scope)
    print("\n".join(finding.trace))
    assert_that(finding.violation, IsInstance(Outcome))


@pytest.mark.parametrize(
    ("initial", "scope", "changed", "name", "attribute"),
    [
        (running_task, CRASH, Proof, "is_conclusive", property(lambda proof: True)),
        (running_task, Scope(), ClaimGuard, "known_time", lambda guard, now: now),
        (waiting_task, CRASH, ClaimGuard, "is_confirmed", lambda guard, subject: True),
        (running_task, CRASH, ClaimGuard, "update", lambda guard, now: guard.pending.clear()),
    ],
    ids=["is-conclusive", "known-time", "is-confirmed", "update"],
)
def test_the_model_decides_by_the_code_of_the_proofs(
    monkeypatch, initial, scope, changed, name, attribute
):
    monkeypatch.setattr(changed, name, attribute)
    assert_that(explore(initial(scope), Rules(), scope).violation, IsInstance(Outcome))


@pytest.mark.parametrize(
    ("scope", "rules"),
    [
        (Scope(crashes=1, late_starts=True), Rules(late_in_next_life=True)),
        (CRASH, Rules(unnoticed_next_life=True)),
    ],
    ids=["sent-before-the-restart", "restart-not-noticed"],
)
def test_a_start_that_reaches_the_next_incarnation_is_a_known_hole(scope, rules):
    """A worker can't tell for which incarnation a start is: KNOWN-RED.txt, issue 49."""
    finding = explore(running_task(scope), rules, scope)
    print("\n".join(finding.trace))
    assert_that(finding.violation is None, Is(False))
