"""Earlier values of large entries are kept, up to a number of bytes."""

import pytest

from .. import LARGE_VALUE_BYTES, Entry, EntryHistory
from ..history import MAX_HISTORY_BYTES

HALF = MAX_HISTORY_BYTES // 2


@pytest.mark.parametrize(
    ("sizes", "kept"),
    [
        ([LARGE_VALUE_BYTES], [1]),
        ([LARGE_VALUE_BYTES - 1], []),
        ([HALF, HALF], [1, 2]),
        ([HALF, HALF, LARGE_VALUE_BYTES], [2, 3]),
        ([HALF, MAX_HISTORY_BYTES], [2]),
        ([HALF, MAX_HISTORY_BYTES + 1], [1]),
    ],
)
def test_latest_large_values_are_kept(sizes, kept):
    history = EntryHistory()
    for revision, size in enumerate(sizes, 1):
        history.add(Entry("op/entry", b"x" * size, revision))
    revisions = range(1, len(sizes) + 1)
    assert [each for each in revisions if history.find("op/entry", each)] == kept
    assert history.find("op/other", kept[0] if kept else 1) is None
    assert history.bytes <= MAX_HISTORY_BYTES
