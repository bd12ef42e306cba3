"""Command that generates the configuration of a new team from a questionnaire."""

from __future__ import annotations

import sys

import attrs
import cappa

from ..config import ConfigObject, dump_document, load_document
from ..config.questionnaire import QUESTIONS, Answers, generate_objects, parse_answer, read_answers
from ..exception import ConfigError, InvalidConfig
from .client import CommandError, ExitStatus
from .documents import fetch_objects, read_file
from .session import Session

__all__ = ["Questionnaire"]


@cappa.command(name="questionnaire", help="Generate a new team's configuration from its answers.")
@attrs.define
class Questionnaire:
    """Generates a document for ``config apply`` from the answers to a questionnaire."""

    answers: str | None = attrs.field(
        default=None,
        metadata={
            "cappa": cappa.Arg(long=True, help="JSON file of the answers, instead of a prompt")
        },
    )
    config: str | None = attrs.field(
        default=None,
        metadata={
            "cappa": cappa.Arg(long=True, help="document to check against, instead of a daemon")
        },
    )
    output: str = attrs.field(
        default="-",
        metadata={"cappa": cappa.Arg(long=True, help="file to write, - for standard output")},
    )

    def run(self, session: Session) -> int:
        """Read the answers, check the generated configuration and write it."""
        try:
            answers = read_answers(read_file(self.answers)) if self.answers else prompt_answers()
            document = dump_document(generate_objects(answers, self._existing_objects(session)))
        except InvalidConfig as group:
            problems = [str(problem) for problem in group.exceptions]
            raise CommandError(group.message, ExitStatus.INVALID, {"problems": problems}) from None
        if self.output == "-":
            print(document, end="")
        else:
            with open(self.output, "w", encoding="utf-8") as file:
                file.write(document)
            session.print_text(
                f"written to {self.output}; apply it with: config apply {self.output}"
            )
        return ExitStatus.OK

    def _existing_objects(self, session: Session) -> list[ConfigObject]:
        if self.config:
            return load_document(read_file(self.config))
        return fetch_objects(session)[0]


def prompt_answers() -> Answers:
    """Prompt for the answer to each question until it is valid."""
    values = {}
    for question in QUESTIONS:
        while question.name not in values:
            default = f" [{question.default}]" if question.default is not None else ""
            print(f"{question.text}{default} ", end="", file=sys.stderr, flush=True)
            reply = sys.stdin.readline()
            if not reply:
                raise CommandError("standard input ended before the last answer", ExitStatus.USAGE)
            try:
                values[question.name] = parse_answer(question, reply)
            except ConfigError as error:
                print(str(error), file=sys.stderr)
    return Answers(**values)
