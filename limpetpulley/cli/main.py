"""Entry point of the command line for operators."""

from __future__ import annotations

import sys
from typing import Any

import attrs
import cappa

from .. import __version__
from ..config import Budget, Pool, Queue, Team, Vm
from .batch import BatchCommand
from .client import CommandError, ExitStatus, OperatorClient
from .documents import ConfigCommand
from .fleet import DrainVm, Explain, JoinVm, Key, MoveVm, Status, WaveCommand
from .objects import make_object_command
from .questionnaire import Questionnaire
from .session import Session
from .trace import TraceJob

__all__ = ["main"]

WAIT_TIMEOUT_SECONDS = 30.0

TeamCommand = make_object_command(Team)
PoolCommand = make_object_command(Pool)
QueueCommand = make_object_command(Queue)
VmCommand = make_object_command(Vm, DrainVm, JoinVm, MoveVm)
BudgetCommand = make_object_command(Budget)


@cappa.command(name="limpetpulley", help="Operate limpetpulley through any of its daemons.")
@attrs.define
class Limpetpulley:
    """Arguments of the command line."""

    command: cappa.Subcommands[
        TeamCommand  # type: ignore[valid-type]
        | Key
        | PoolCommand  # type: ignore[valid-type]
        | QueueCommand  # type: ignore[valid-type]
        | VmCommand  # type: ignore[valid-type]
        | BudgetCommand  # type: ignore[valid-type]
        | ConfigCommand
        | Status
        | WaveCommand
        | Explain
        | Questionnaire
        | BatchCommand
        | TraceJob
    ]
    operators: str = attrs.field(
        default="127.0.0.1:8401",
        metadata={
            "cappa": cappa.Arg(
                long=True,
                default=cappa.Env("LIMPETPULLEY_OPERATORS", default="127.0.0.1:8401"),
                help="host:port at which a daemon serves operators",
            )
        },
    )
    key: str = attrs.field(
        default="",
        metadata={
            "cappa": cappa.Arg(
                long="--operator-key",
                default=cappa.Env("LIMPETPULLEY_OPERATOR_KEY", default=""),
                help="secret that authorizes operators",
            )
        },
    )
    by: str = attrs.field(
        default="operator",
        metadata={
            "cappa": cappa.Arg(
                long=True,
                default=cappa.Env("LIMPETPULLEY_BY", default="operator"),
                help="your name, recorded with changes",
            )
        },
    )
    json: bool = attrs.field(
        default=False, metadata={"cappa": cappa.Arg(long=True, help="print JSON")}
    )
    wait: bool = attrs.field(
        default=False,
        metadata={
            "cappa": cappa.Arg(long=True, help="wait until a change is in force on every daemon")
        },
    )


def run(argv: list[str]) -> int:
    """Run one command.

    :param argv: arguments without the program name
    :returns: exit status
    """
    arguments: Any = cappa.parse(Limpetpulley, argv=argv, version=__version__)
    client = OperatorClient(arguments.operators, arguments.key, arguments.by)
    session = Session(client, arguments.json, WAIT_TIMEOUT_SECONDS if arguments.wait else 0.0)
    command = arguments.command
    while not hasattr(command, "run"):
        command = command.command
    try:
        return command.run(session)
    except CommandError as error:
        return session.report_error(error)
    except KeyboardInterrupt:
        return ExitStatus.FAILURE


def main() -> None:
    """Run the command line and exit with its status."""
    sys.exit(run(sys.argv[1:]))
