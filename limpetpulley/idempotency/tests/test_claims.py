"""Property test of claims: at most one job wins a key despite lost messages and slow claimers."""

from hypothesis import given, settings
from hypothesis import strategies as st

from ...clock import ManualClock
from ..holders import choose_holders, quorum_size
from ..records import KeyRecordTable

MEMBERS = [(f"m{number}", f"d{number % 3}") for number in range(5)]
MESSAGE_OUTCOMES = st.sampled_from(["arrives", "arrives", "arrives", "request lost", "reply lost"])


def claim_steps(name, holders, tables, outcomes):
    """Claim a key at each holder, one step at a time; return whether the job may run."""
    accepted = 0
    for holder in holders:
        outcome = next(outcomes)
        yield
        if outcome == "request lost":
            continue
        record = tables[holder].claim("k", b"x", name, name, 60.0)
        yield
        if outcome == "reply lost":
            continue
        if record.job != name:
            return False
        accepted += 1
        if accepted >= quorum_size(len(holders)):
            return True
    return False


@settings(max_examples=400, deadline=None, derandomize=True)
@given(
    outcomes=st.lists(MESSAGE_OUTCOMES, min_size=12, max_size=12),
    order=st.lists(st.integers(0, 2), min_size=30, max_size=40),
    epoch_change_at=st.integers(0, 30),
    lost_index=st.integers(0, 2),
)
def test_no_key_has_two_winners(outcomes, order, epoch_change_at, lost_index):
    clock = ManualClock()
    tables = {name: KeyRecordTable(clock) for name, _ in MEMBERS}
    holders = choose_holders("k", MEMBERS)
    outcome_iterator = iter(outcomes)
    claimers = {n: claim_steps(f"j{n}", holders, tables, outcome_iterator) for n in range(3)}
    winners = set()
    for step, number in enumerate(order):
        if step == epoch_change_at:
            holders = _next_epoch(tables, holders, lost_index)
            claimers = {
                n: claim_steps(f"j{n}", holders, tables, iter(["arrives"] * 9))
                for n in claimers
                if f"j{n}" not in winners
            }
        if number in claimers:
            try:
                next(claimers[number])
            except StopIteration as stop:
                del claimers[number]
                if stop.value:
                    winners.add(f"j{number}")
    assert len(winners) <= 1


def _next_epoch(tables, holders, lost_index):
    """Exclude one holder and merge the records of the others into the next holders."""
    lost_holder = holders[lost_index]
    next_holders = choose_holders("k", [member for member in MEMBERS if member[0] != lost_holder])
    for name in holders:
        if name != lost_holder:
            for target in next_holders:
                tables[target].put(tables[name].all())
    return next_holders
