"""Each version of an operator's entry costs a decoding only if it is the latest."""

import pytest

from ...store import Event
from ..operator_entries import latest_events


@pytest.mark.parametrize(
    ("events", "expected"),
    [
        ([], []),
        ([("a", b"1", 1), ("a", b"2", 2)], [("a", b"2", 2)]),
        ([("a", b"1", 1), ("b", b"2", 2), ("a", b"3", 3)], [("b", b"2", 2), ("a", b"3", 3)]),
        ([("a", b"1", 1), ("a", None, 2)], [("a", None, 2)]),
    ],
)
def test_latest_change_of_each_entry_is_applied(events, expected):
    latest = latest_events([Event(*event) for event in events])
    assert latest == [Event(*event) for event in expected]
