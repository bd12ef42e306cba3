"""The questionnaire at a prompt or from a file."""

from __future__ import annotations

import sys

import attrs
import cappa

from ..config import ConfigObject, dump_document, load_document
from ..config.questionnaire import QUESTIONS, Answers, generate_objects, parse_answer, read_answers
from ..exception import ConfigError, InvalidConfig
from .client import ExitStatus, OperatorsError
from .documents import held_objects, read_file
from .session import Session

__all__ = ["Questionnaire"]


@cappa.command(name="questionnaire", help="Ask a new team about its work; write a configuration.")
@attrs.define
class Questionnaire:
    """Turns answers into a document for ``config apply``."""

    answers: str | None = attrs.field(
        default=None, metadata={"cappa": cappa.Arg(long=True, help="JSON file, instead of asking")}
    )
    config: str | None = attrs.field(
        default=None,
        metadata={"cappa": cappa.Arg(long=True, help="document to check against, not a daemon")},
    )
    output: str = attrs.field(
        default="-", metadata={"cappa": cappa.Arg(long=True, help="file to write")}
    )

    def run(self, session: Session) -> int:
        """Ask, check and write."""
        try:
            answers = read_answers(read_file(self.answers)) if self.answers else ask()
            document = dump_document(generate_objects(answers, self._held(session)))
        except InvalidConfig as group:
            problems = [str(problem) for problem in group.exceptions]
            raise OperatorsError(
                group.message, ExitStatus.INVALID, {"problems": problems}
            ) from None
        if self.output == "-":
            print(document, end="")
        else:
            with open(self.output, "w", encoding="utf-8") as file:
                file.write(document)
            session.say(f"written to {self.output}; apply it with: config apply {self.output}")
        return ExitStatus.OK

    def _held(self, session: Session) -> list[ConfigObject]:
        if self.config:
            return load_document(read_file(self.config))
        return held_objects(session)[0]


def ask() -> Answers:
    """Ask each question at the prompt until it is answered."""
    values = {}
    for question in QUESTIONS:
        while question.name not in values:
            default = f" [{question.default}]" if question.default is not None else ""
            print(f"{question.text}{default} ", end="", file=sys.stderr, flush=True)
            line = sys.stdin.readline()
            if not line:
                raise OperatorsError("the answers ended early", ExitStatus.USAGE)
            try:
                values[question.name] = parse_answer(question, line)
            except ConfigError as error:
                print(str(error), file=sys.stderr)
    return Answers(**values)
