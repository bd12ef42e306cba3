"""The questionnaire: a team's answers in, its configuration out."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from ..exception import ConfigError, InvalidConfig
from .check import find_problems
from .objects import ConfigObject, Pool, Queue, Team, Vm, structure_object

__all__ = ["QUESTIONS", "Answers", "Question", "generate_objects", "read_answers"]

SMALLEST_SHARE_SLOTS = 1.0
UTILISATION = 0.8


@attrs.frozen
class Question:
    """One question.

    :param name: name of the answer
    :param text: the question for people
    :param parse: returns the answer for a text
    :param default: answer for an empty text, None if one is needed
    """

    name: str
    text: str
    parse: Callable[[str], Any]
    default: str | None = None


def _yes(text: str) -> bool:
    if text.lower() in ("y", "yes", "true"):
        return True
    if text.lower() in ("n", "no", "false"):
        return False
    raise ValueError("yes or no")


QUESTIONS = (
    Question("team", "Name of the team?", str),
    Question("queue", "Name of the queue that its jobs come in through?", str),
    Question("pool", "Pool of VMs that runs them?", str),
    Question("jobs_per_second", "Jobs per second on average?", float),
    Question("peak_factor", "How many times that at its peak?", float, "5"),
    Question("run_seconds", "How long does a job run, in seconds?", float),
    Question("deadline_seconds", "How long may a caller wait for the answer, in seconds?", float),
    Question("idempotent", "Is it harmless if a job runs twice (yes or no)?", _yes, "no"),
    Question("needs_key", "Must callers show a key (yes or no)?", _yes, "yes"),
    Question("limit", "Most jobs running at once, over the whole fleet?", int),
    Question("weight", "Weight of its share when the fleet is full?", float, "1"),
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
    """Return the answers of a JSON file.

    :raises InvalidConfig: a group with each problem found
    """
    try:
        raw = json.loads(text)
    except ValueError as error:
        raise InvalidConfig("unreadable answers", [ConfigError(f"not JSON: {error}")]) from None
    if not isinstance(raw, dict):
        raise InvalidConfig("unreadable answers", [ConfigError("must be a mapping")])
    values, problems = {}, []
    for question in QUESTIONS:
        given = raw.pop(question.name, question.default)
        try:
            values[question.name] = parse_answer(question, given)
        except ConfigError as error:
            problems.append(error)
    problems += [ConfigError(f"{name}: there is no such question") for name in raw]
    if problems:
        raise InvalidConfig("unreadable answers", problems)
    return Answers(**values)


def parse_answer(question: Question, given: Any) -> Any:
    """Return the answer to a question.

    :raises ConfigError: if it is missing or cannot be read
    """
    text = "" if given is None else str(given).strip()
    if not text:
        if question.default is None:
            raise ConfigError(f"{question.name}: an answer is needed")
        text = question.default
    try:
        return question.parse(text)
    except ValueError:
        raise ConfigError(f"{question.name}: {text!r} cannot be read") from None


def generate_objects(answers: Answers, held: Iterable[ConfigObject]) -> list[ConfigObject]:
    """Return the objects that a team's answers call for.

    :param answers: the answers
    :param held: the configuration in force
    :raises InvalidConfig: with each reason why the answers cannot hold together
    """
    held = list(held)
    objects: list[ConfigObject] = []
    problems: list[ConfigError] = []
    for kind, fields in _wanted(answers):
        try:
            objects.append(structure_object(kind, fields))
        except ConfigError as error:
            problems.append(error)
    problems += _find_contradictions(answers, held)
    names = {(value.kind, value.name) for value in objects}
    others = [value for value in held if (value.kind, value.name) not in names]
    problems += find_problems([*others, *objects])
    if problems:
        raise InvalidConfig("the answers do not hold together", problems)
    return objects


def _wanted(answers: Answers) -> Iterable[tuple[str, dict[str, Any]]]:
    peak = answers.jobs_per_second * answers.peak_factor
    waiting = max(10, round(peak * answers.deadline_seconds))
    yield Team.kind, {
        "name": answers.team,
        "weight": answers.weight,
        "limit": answers.limit,
        "max_waiting": waiting,
    }
    yield Queue.kind, {
        "name": answers.queue,
        "pool": answers.pool,
        "idempotent": answers.idempotent,
        "open_to": "" if answers.needs_key else answers.team,
        "run_seconds": answers.run_seconds,
        "max_seconds": answers.deadline_seconds,
    }


def _find_contradictions(answers: Answers, held: list[ConfigObject]) -> list[ConfigError]:
    problems = []
    vms = [value for value in held if isinstance(value, Vm)]
    fleet = sum(vm.slots for vm in vms)
    pool = sum(vm.slots for vm in vms if vm.pool == answers.pool)
    if not any(isinstance(value, Pool) and value.name == answers.pool for value in held):
        problems.append(ConfigError(f"pool {answers.pool!r} does not exist; create it first"))
    if answers.deadline_seconds < answers.run_seconds:
        problems.append(
            ConfigError(
                f"the deadline of {answers.deadline_seconds:g} s is shorter than the run time of "
                f"{answers.run_seconds:g} s"
            )
        )
    if answers.limit > fleet:
        problems.append(
            ConfigError(f"the limit of {answers.limit} is above the fleet's {fleet} slots")
        )
    needed = answers.jobs_per_second * answers.run_seconds
    if needed > answers.limit:
        problems.append(
            ConfigError(
                f"{answers.jobs_per_second:g} jobs a second of {answers.run_seconds:g} s keep "
                f"{needed:.3g} slots busy, more than the limit of {answers.limit}"
            )
        )
    if needed > UTILISATION * pool and pool:
        problems.append(
            ConfigError(f"the mean load of {needed:.3g} slots is too much for the pool's {pool}")
        )
    return problems + _find_starved(answers, held, pool)


def _find_starved(answers: Answers, held: list[ConfigObject], pool: int) -> list[ConfigError]:
    teams = [v for v in held if isinstance(v, Team) and v.name != answers.team]
    total = sum(team.weight for team in teams) + answers.weight
    starved = [
        team.name for team in teams if pool and pool * team.weight / total < SMALLEST_SHARE_SLOTS
    ]
    if starved:
        return [
            ConfigError(
                f"a weight of {answers.weight:g} leaves less than one slot of a full pool to: "
                f"{', '.join(sorted(starved))}"
            )
        ]
    return []
