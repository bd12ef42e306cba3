"""Tests of the questionnaire and of configuration documents."""

import json

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from ...config import Pool, Team, Vm, check_objects, diff_documents, dump_document, load_document
from ...config.questionnaire import generate_objects, read_answers
from ...exception import InvalidConfig

EXISTING_OBJECTS = [
    Pool("main"),
    Team("others", weight=1.0, limit=8),
    *(Vm(f"vm-{n}", "main", f"192.0.2.{n}:80", "r", "d", 8) for n in range(1, 4)),
]
ANSWERS = {
    "team": "desk",
    "queue": "quotes",
    "pool": "main",
    "jobs_per_second": 4,
    "run_seconds": 1,
    "deadline_seconds": 5,
    "limit": 12,
}


def test_generated_configuration_is_consistent():
    objects = generate_objects(read_answers(json.dumps(ANSWERS)), EXISTING_OBJECTS)
    check_objects([*EXISTING_OBJECTS, *objects])
    assert_that([value.name for value in objects], Equals(["desk", "quotes"]))
    assert_that(load_document(dump_document(objects)), Equals(objects))


@pytest.mark.parametrize(
    ("changed", "expected_problem"),
    [
        ({"deadline_seconds": 0.5}, "shorter than the run time"),
        ({"limit": 100}, "above the fleet's 24 slots"),
        ({"limit": 2}, "more than the limit of 2"),
        ({"weight": 1000}, "less than one slot of a full pool to: others"),
        ({"pool": "none"}, "'none' does not exist"),
        ({"jobs_per_second": 22, "limit": 24}, "too much for the pool"),
        ({"team": ""}, "an answer is needed"),
        ({"team": "Bad Name"}, "lower-case"),
        ({"limit": "many"}, "cannot be read"),
        ({"idempotent": "perhaps"}, "cannot be read"),
        ({"colour": "red"}, "there is no such question"),
    ],
)
def test_invalid_or_inconsistent_answers_are_rejected(changed, expected_problem):
    with pytest.raises(InvalidConfig) as raised:
        generate_objects(read_answers(json.dumps({**ANSWERS, **changed})), EXISTING_OBJECTS)
    assert_that("; ".join(map(str, raised.value.exceptions)), Contains(expected_problem))


@pytest.mark.parametrize(
    ("text", "expected_problem"),
    [
        ("", "not JSON"),
        ("[]", "must map"),
        ('{"team": [{"name": "a", "x": 1}]}', "unknown fields"),
        ('{"team": [{"name": "a", "limit": true}]}', "not a int"),
        ('{"x": [{}]}', "unknown kind"),
    ],
)
def test_invalid_document_reports_its_problems(text, expected_problem):
    with pytest.raises(InvalidConfig) as raised:
        load_document(text)
    assert_that("; ".join(map(str, raised.value.exceptions)), Contains(expected_problem))


@pytest.mark.parametrize(("prune", "keys"), [(False, ["team/a"]), (True, ["team/a", "team/b"])])
def test_changes_carry_the_revisions_they_are_based_on(prune, keys):
    current, target = [Team("a"), Team("b")], [Team("a", limit=5)]
    changes = diff_documents(current, target, {"team/a": 7, "team/b": 8}, prune)
    assert_that([change.key for change in changes], Equals(keys))
    assert_that(changes[0].base_revision, Equals(7))
