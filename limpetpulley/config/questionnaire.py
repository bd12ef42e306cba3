"""The onboarding questionnaire: derives a team's configuration from its answers."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import attrs

from ..exception import ConfigError, InvalidConfig
from ..json_decoding import parse_json
from .check import find_problems
from .objects import ConfigObject, Pool, Queue, Team, Vm, structure_object

__all__ = ["QUESTIONS", "Answers", "Question", "generate_objects", "read_answers"]

#: smallest share of a full pool that another team may be left with, in slots
MIN_SHARE_SLOTS = 1.0
#: fraction of a pool's slots that the mean load of the new team may use
MAX_UTILIZATION = 0.8


@attrs.frozen
class Question:
    """One question.

    :param name: key of the answer, a field of :class:`Answers`
    :param text: wording of the question, shown at the prompt
    :param parse: converts the text of an answer; raises :class:`ValueError` if it is invalid
    :param default: text that replaces an empty answer, None if an answer is required
    """

    name: str
    text: str
    parse: Callable[[str], Any]
    default: str | None = None


def _parse_yes_no(text: str) -> bool:
    if text.lower() in ("y", "yes", "true"):
        return True
    if text.lower() in ("n", "no", "false"):
        return False
    raise ValueError("expected yes or no")


QUESTIONS = (
    Question("team", "Name of the team?", str),
    Question("queue", "Name of the queue that its jobs are submitted to?", str),
    Question("pool", "Pool of VMs that runs the jobs?", str),
    Question("jobs_per_second", "Jobs per second on average?", float),
    Question("peak_factor", "Ratio of the peak rate to the average rate?", float, "5"),
    Question("run_seconds", "How long does a job run, in seconds?", float),
    Question("deadline_seconds", "How long may a caller wait for the answer, in seconds?", float),
    Question("idempotent", "May a job safely run more than once (yes or no)?", _parse_yes_no, "no"),
    Question("needs_key", "Must callers present an access key (yes or no)?", _parse_yes_no, "yes"),
    Question("limit", "Maximum number of concurrent jobs across the whole fleet?", int),
    Question("weight", "Weight of the team's share when the fleet is full?", float, "1"),
)


@attrs.frozen
class Answers:
    """A team's answers; see :data:`QUESTIONS`."""

    team: str
    queue: str
    pool: str
    jobs_per_second: float
    peak_factor: float
    run_seconds: float
    deadline_seconds: float
    idempotent: bool
    needs_key: bool
    limit: int
    weight: float


def read_answers(text: str) -> Answers:
    """Parse the answers from a JSON document.

    :raises InvalidConfig: an exception group of all problems found
    """
    try:
        raw = parse_json(text)
    except ValueError as error:
        raise InvalidConfig("invalid answers", [ConfigError(f"not JSON: {error}")]) from None
    if not isinstance(raw, dict):
        raise InvalidConfig("invalid answers", [ConfigError("must be a mapping")])
    values, problems = {}, []
    for question in QUESTIONS:
        answer = raw.pop(question.name, question.default)
        try:
            values[question.name] = parse_answer(question, answer)
        except ConfigError as error:
            problems.append(error)
    problems += [ConfigError(f"{name}: there is no such question") for name in raw]
    if problems:
        raise InvalidConfig("invalid answers", problems)
    return Answers(**values)


def parse_answer(question: Question, answer: Any) -> Any:
    """Parse the answer to a question, or its default if the answer is empty.

    :raises ConfigError: if a required answer is missing, or the answer is invalid
    """
    text = "" if answer is None else str(answer).strip()
    if not text:
        if question.default is None:
            raise ConfigError(f"{question.name}: an answer is needed")
        text = question.default
    try:
        return question.parse(text)
    except ValueError:
        raise ConfigError(f"{question.name}: {text!r} cannot be read") from None


def generate_objects(answers: Answers, current: Iterable[ConfigObject]) -> list[ConfigObject]:
    """Return the team and the queue that a team's answers describe.

    :param answers: the answers
    :param current: objects of the configuration in force
    :raises InvalidConfig: an exception group of all problems, within the answers or with the
        configuration in force
    """
    current = list(current)
    objects: list[ConfigObject] = []
    problems: list[ConfigError] = []
    for kind, fields in _derive_fields(answers):
        try:
            objects.append(structure_object(kind, fields))
        except ConfigError as error:
            problems.append(error)
    problems += _find_answer_problems(answers, current)
    generated = {(value.kind, value.name) for value in objects}
    others = [value for value in current if (value.kind, value.name) not in generated]
    problems += find_problems([*others, *objects])
    if problems:
        raise InvalidConfig("the answers are inconsistent", problems)
    return objects


def _derive_fields(answers: Answers) -> Iterable[tuple[str, dict[str, Any]]]:
    peak = answers.jobs_per_second * answers.peak_factor
    max_waiting = max(10, round(peak * answers.deadline_seconds))
    yield Team.kind, {
        "name": answers.team,
        "weight": answers.weight,
        "limit": answers.limit,
        "max_waiting": max_waiting,
    }
    yield Queue.kind, {
        "name": answers.queue,
        "pool": answers.pool,
        "idempotent": answers.idempotent,
        "open_to": "" if answers.needs_key else answers.team,
        "run_seconds": answers.run_seconds,
        "max_seconds": answers.deadline_seconds,
    }


def _find_answer_problems(answers: Answers, current: list[ConfigObject]) -> list[ConfigError]:
    problems = []
    vms = [value for value in current if isinstance(value, Vm)]
    fleet_slots = sum(vm.slots for vm in vms)
    pool_slots = sum(vm.slots for vm in vms if vm.pool == answers.pool)
    if not any(isinstance(value, Pool) and value.name == answers.pool for value in current):
        problems.append(ConfigError(f"pool {answers.pool!r} does not exist; create it first"))
    if answers.deadline_seconds < answers.run_seconds:
        problems.append(
            ConfigError(
                f"the deadline of {answers.deadline_seconds:g} s is shorter than the run time of "
                f"{answers.run_seconds:g} s"
            )
        )
    if answers.limit > fleet_slots:
        problems.append(
            ConfigError(f"the limit of {answers.limit} is above the fleet's {fleet_slots} slots")
        )
    mean_load = answers.jobs_per_second * answers.run_seconds
    if mean_load > answers.limit:
        problems.append(
            ConfigError(
                f"{answers.jobs_per_second:g} jobs per second of {answers.run_seconds:g} s keep "
                f"{mean_load:.3g} slots busy, more than the limit of {answers.limit}"
            )
        )
    if mean_load > MAX_UTILIZATION * pool_slots and pool_slots:
        problems.append(
            ConfigError(
                f"the mean load of {mean_load:.3g} slots is too much for the pool's "
                f"{pool_slots} slots"
            )
        )
    return problems + _find_starved_teams(answers, current, pool_slots)


def _find_starved_teams(
    answers: Answers, current: list[ConfigObject], pool_slots: int
) -> list[ConfigError]:
    teams = [v for v in current if isinstance(v, Team) and v.name != answers.team]
    total_weight = sum(team.weight for team in teams) + answers.weight
    starved = [
        team.name
        for team in teams
        if pool_slots and pool_slots * team.weight / total_weight < MIN_SHARE_SLOTS
    ]
    if starved:
        return [
            ConfigError(
                f"a weight of {answers.weight:g} leaves less than one slot of a full pool to: "
                f"{', '.join(sorted(starved))}"
            )
        ]
    return []
