"""Tests of the parsing of the command line and of its exit status."""

import cappa
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ..main import Limpetpulley, run


@pytest.mark.parametrize(
    ("line", "name"),
    [
        ("status", "Status"),
        ("team list", "ListTeam"),
        ("team set desk --limit 5", "SetTeam"),
        ("team remove desk", "RemoveTeam"),
        ("key grant desk", "GrantKey"),
        ("key grant desk --name k", "GrantKey"),
        ("key withdraw k", "WithdrawKey"),
        ("vm drain a", "DrainVm"),
        ("vm move a main", "MoveVm"),
        ("config export", "Export"),
        ("config diff a.json --prune", "Diff"),
        ("--wait config apply a.json", "Apply"),
        ("wave plan", "PlanWave"),
        ("wave start spring main other --finish-by 2026-12-06T00:00:00+00:00", "StartWave"),
        ("wave start spring", "StartWave"),
        ("wave pause spring", "PauseWave"),
        ("wave abort spring", "AbortWave"),
        ("explain desk-1", "Explain"),
        ("questionnaire --answers a.json", "Questionnaire"),
        ("questionnaire", "Questionnaire"),
        ("batch submit sheets job.json", "SubmitBatch"),
        ("batch submit sheets - --id 00000000000000ab --follow", "SubmitBatch"),
        ("batch state sheets 00000000000000ab", "BatchState"),
        ("batch cancel sheets 00000000000000ab", "CancelBatch"),
        ("batch pending sheets", "PendingBatches"),
    ],
)
def test_command_is_parsed(line, name):
    command = cappa.parse(Limpetpulley, argv=line.split())
    while not hasattr(command, "run"):
        command = command.command
    assert_that(type(command).__name__, Equals(name))


@pytest.mark.parametrize(
    ("line", "status"),
    [
        ("--operators 127.0.0.1:1 status", 5),
        ("--operators 127.0.0.1:1 config apply /nowhere.json", 5),
        ("--operators 127.0.0.1:1 questionnaire --answers /nowhere.json", 2),
    ],
)
def test_exit_status_tells_the_kind_of_failure(line, status):
    assert_that(run(line.split()), Equals(status))
