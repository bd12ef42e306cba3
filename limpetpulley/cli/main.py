"""Command line of the operators' tool."""

from __future__ import annotations

import sys
from typing import Any

import attrs
import cappa

from .. import __version__
from ..config import Budget, Pool, Queue, Team, Vm
from .batch import BatchCommand
from .client import ExitStatus, OperatorsClient, OperatorsError
from .documents import ConfigCommand
from .fleet import DrainVm, Explain, JoinVm, Key, MoveVm, Status, WaveCommand
from .objects import object_command
from .questionnaire import Questionnaire
from .session import Session
from .trace import TraceJob

__all__ = ["main"]

WAIT_SECONDS = 30.0

TeamCommand = object_command(Team)
PoolCommand = object_command(Pool)
QueueCommand = object_command(Queue)
VmCommand = object_command(Vm, DrainVm, JoinVm, MoveVm)
BudgetCommand = object_command(Budget)


@cappa.command(name="limpetpulley", help="Operate limpetpulley through any of its daemons.")
@attrs.define
class Limpetpulley:
    """The command line."""

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
                help="host:port of a daemon",
            )
        },
    )
    key: str = attrs.field(
        default="",
        metadata={
            "cappa": cappa.Arg(
                long="--operator-key",
                default=cappa.Env("LIMPETPULLEY_OPERATOR_KEY", default=""),
                help="the operators' secret",
            )
        },
    )
    by: str = attrs.field(
        default="operator",
        metadata={
            "cappa": cappa.Arg(
                long=True,
                default=cappa.Env("LIMPETPULLEY_BY", default="operator"),
                help="your name, noted with changes",
            )
        },
    )
    json: bool = attrs.field(
        default=False, metadata={"cappa": cappa.Arg(long=True, help="print for programs")}
    )
    wait: bool = attrs.field(
        default=False,
        metadata={
            "cappa": cappa.Arg(long=True, help="wait until a change is in force on every daemon")
        },
    )


def run(argv: list[str]) -> int:
    """Run one command.

    :param argv: arguments without the program's name
    :returns: exit status
    """
    parsed: Any = cappa.parse(Limpetpulley, argv=argv, version=__version__)
    client = OperatorsClient(parsed.operators, parsed.key, parsed.by)
    session = Session(client, parsed.json, WAIT_SECONDS if parsed.wait else 0.0)
    command = parsed.command
    while not hasattr(command, "run"):
        command = command.command
    try:
        return command.run(session)
    except OperatorsError as error:
        return session.fail(error)
    except KeyboardInterrupt:
        return ExitStatus.FAILURE


def main() -> None:
    """Run the command line."""
    sys.exit(run(sys.argv[1:]))
