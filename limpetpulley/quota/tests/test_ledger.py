"""Ledger of permits: transfers, lowered limits and exclusion from a view."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from ...exception import PermitError
from ..ledger import Ledger, Transfer


def make_ledger(owner="a", held=4, epoch=1):
    ledger = Ledger(owner)
    ledger.open_epoch(epoch, {"team/t": held})
    return ledger


def test_duplicate_transfer_is_credited_once():
    sender, receiver = make_ledger("a"), make_ledger("b", 0)
    transfer = sender.debit("team/t", 3)
    assert_that(receiver.credit(transfer), Is(True))
    assert_that(receiver.credit(transfer), Is(True))
    assert_that((sender.free("team/t"), receiver.free("team/t")), Equals((1, 3)))


@pytest.mark.parametrize(
    ("epoch", "transfers_enabled"),
    [(1, True), (3, True), (2, False)],
    ids=["older", "newer", "collecting"],
)
def test_refused_transfer_stays_refused(epoch, transfers_enabled):
    receiver = make_ledger("b", 0, epoch=2)
    receiver.transfers_enabled = transfers_enabled
    transfer = Transfer("a:1:1", epoch, "team/t", 2)
    assert_that(receiver.credit(transfer), Is(False))
    receiver.open_epoch(3, {})
    assert_that(receiver.credit(transfer), Is(False))
    assert_that(receiver.free("team/t"), Equals(0))


def test_debit_is_reverted_only_in_its_epoch():
    sender = make_ledger("a")
    transfer = sender.debit("team/t", 2)
    sender.suspend_transfers({"team/t": 4}, {"team/t": 4})
    assert_that(sender.revert_debit(transfer), Is(False))
    assert_that(sender.report(), Equals({"team/t": 2}))


@pytest.mark.parametrize(
    ("new", "used", "startable"),
    [(2, 0, 2), (2, 2, 0), (3, 1, 2), (0, 0, 0), (1, 3, 0)],
)
def test_lowered_limit_restricts_starts_to_its_portion(new, used, startable):
    ledger = make_ledger(held=4)
    for _ in range(used):
        ledger.acquire("team/t")
    ledger.lower_limit("team/t", new, 4)
    assert_that(ledger.startable("team/t"), Equals(startable))


def test_permits_beyond_a_lowered_limit_lapse_when_their_jobs_end():
    ledger = make_ledger(held=4)
    for _ in range(3):
        ledger.acquire("team/t")
    ledger.suspend_transfers({"team/t": 2}, {"team/t": 4})
    assert_that(ledger.report(), Equals({"team/t": 3}))
    for _ in range(3):
        ledger.release("team/t")
    assert_that(ledger.report(), Equals({"team/t": 2}))


@pytest.mark.parametrize("action", ["acquire", "release", "debit"])
def test_permits_not_held_raise_an_error(action):
    ledger = make_ledger(held=0)
    arguments = ("team/t", 1) if action == "debit" else ("team/t",)
    with pytest.raises(PermitError):
        getattr(ledger, action)(*arguments)


def test_abandoned_permits_cannot_be_used_again():
    ledger = make_ledger(held=4)
    ledger.acquire("team/t")
    ledger.abandon()
    assert_that(ledger.startable("team/t"), Equals(0))
    ledger.release("team/t")
    assert_that(ledger.report(), Equals({}))
