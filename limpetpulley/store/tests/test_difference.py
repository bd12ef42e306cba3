"""A difference makes the new value from the base value, and is as small as what changed."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from .. import Piece, apply_difference, find_difference

ROWS = [{"name": f"queue-{number}", "timeout": 3000 + number} for number in range(1450)]


def encode(rows, version=7):
    return json.dumps({"version": version, "rows": rows}).encode()


def change_timeout(rows):
    return [*rows[:700], {**rows[700], "timeout": 9}, *rows[701:]]


@pytest.mark.parametrize(
    ("change", "most_bytes"),
    [
        (lambda rows: rows, 0),
        (change_timeout, 200),
        (lambda rows: rows[:-1], 200),
        (lambda rows: rows[1:], 200),
        (lambda rows: [*rows[:10], {"name": "new"}, *rows[10:]], 200),
        (lambda rows: rows[700:] + rows[:700], 200),
        (lambda rows: [], 200),
    ],
)
def test_difference_is_as_small_as_what_changed(change, most_bytes):
    base, value = encode(ROWS), encode(change(ROWS), version=8 if most_bytes else 7)
    pieces = find_difference(base, value)
    assert apply_difference(base, pieces) == value
    assert sum(len(piece.literal) for piece in pieces) <= most_bytes
    assert len(pieces) <= 8


PARTS = st.lists(st.sampled_from([b"a}", b"b}", b"}", b"ab", b"}}", b""]), max_size=12)


@given(PARTS.map(b"".join), PARTS.map(b"".join))
def test_difference_of_any_values_makes_the_new_value(base, value):
    assert apply_difference(base, find_difference(base, value)) == value


@pytest.mark.parametrize("piece", [Piece(0, 4, b""), Piece(4, 1, b""), Piece(2, 2, b"x")])
def test_piece_that_is_no_range_of_the_base_value_is_an_error(piece):
    with pytest.raises(ValueError, match="no range"):
        apply_difference(b"abc", [piece])
