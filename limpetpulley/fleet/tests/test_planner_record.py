"""Tests that a planner reads and writes the record as it was when ``cattrs`` converted it."""

import json

import pytest
from cattrs.preconf.json import make_converter
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...exception import RecordError
from ..peak_forecast import Peak
from ..planner_record import (
    OrderIntent,
    PlannerRecord,
    decode_planner_record,
    encode_planner_record,
)

RECORD = PlannerRecord(
    7, (OrderIntent("m-1", "w-1", "a", "", 1.5), OrderIntent("m-2", "")), (Peak("a", 1.0, 2.0, 9),)
)


def test_encoded_bytes_are_those_of_the_reference():
    expected = json.dumps(make_converter().unstructure(RECORD), separators=(",", ":")).encode()
    assert_that(encode_planner_record(RECORD), Equals(expected))


@pytest.mark.parametrize(
    "source",
    [
        {"token": 7},
        {"token": "7", "later": 1},
        {"token": 7, "intents": [{"vm": "m", "worker_id": "w", "wait": 1, "later": []}]},
        {"token": 7, "peaks": [{"pool": "a", "begun_at": 1, "seen_at": "2", "height": 3.0}]},
    ],
)
def test_missing_and_unknown_fields_are_decoded_as_by_the_reference(source):
    decoded = decode_planner_record(json.dumps(source).encode())
    assert_that(repr(decoded), Equals(repr(make_converter().structure(source, PlannerRecord))))


@pytest.mark.parametrize(
    "source",
    [
        {},
        {"token": None},
        {"token": 1e400},
        {"token": 7, "intents": [{}]},
        {"token": 7, "intents": [5]},
        {"token": 7, "peaks": [{"pool": "a"}]},
        {"token": 7, "peaks": {"a": 1}},
    ],
)
def test_damaged_records_are_rejected(source):
    with pytest.raises(RecordError):
        decode_planner_record(json.dumps(source).encode())
