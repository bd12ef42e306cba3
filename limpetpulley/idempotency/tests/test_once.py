"""Property test of claims: no key has two winners, whatever is lost and whoever is slow."""

from hypothesis import given, settings
from hypothesis import strategies as st

from ...clock import ManualClock
from ..holders import choose_holders, quorum_size
from ..records import KeyRecordTable

MEMBERS = [(f"m{number}", f"d{number % 3}") for number in range(5)]
FATES = st.sampled_from(["arrives", "arrives", "arrives", "request lost", "reply lost"])


def claimer(name, holders, books, fates):
    """Claim a key holder by holder, a step at a time; return whether it may run the job."""
    accepted = 0
    for holder in holders:
        fate = next(fates)
        yield
        if fate == "request lost":
            continue
        record = books[holder].claim("k", b"x", name, name, 60.0)
        yield
        if fate == "reply lost":
            continue
        if record.job != name:
            return False
        accepted += 1
        if accepted >= quorum_size(len(holders)):
            return True
    return False


@settings(max_examples=400, deadline=None, derandomize=True)
@given(
    fates=st.lists(FATES, min_size=12, max_size=12),
    order=st.lists(st.integers(0, 2), min_size=30, max_size=40),
    move_at=st.integers(0, 30),
    lost=st.integers(0, 2),
)
def test_no_key_has_two_winners(fates, order, move_at, lost):
    clock = ManualClock()
    books = {name: KeyRecordTable(clock) for name, _ in MEMBERS}
    holders = choose_holders("k", MEMBERS)
    source = iter(fates)
    running = {n: claimer(f"j{n}", holders, books, source) for n in range(3)}
    winners = set()
    for step, number in enumerate(order):
        if step == move_at:
            holders = _next_epoch(books, holders, lost)
            running = {
                n: claimer(f"j{n}", holders, books, iter(["arrives"] * 9))
                for n in running
                if f"j{n}" not in winners
            }
        if number in running:
            try:
                next(running[number])
            except StopIteration as ended:
                del running[number]
                if ended.value:
                    winners.add(f"j{number}")
    assert len(winners) <= 1


def _next_epoch(books, holders, lost):
    """Leave one holder out and move the others' records to the next holders."""
    gone = holders[lost]
    following = choose_holders("k", [found for found in MEMBERS if found[0] != gone])
    for name in holders:
        if name != gone:
            for target in following:
                books[target].put(books[name].all())
    return following
