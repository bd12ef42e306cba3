"""Commands that hand in jobs of steps and follow them."""

from __future__ import annotations

import json
import pathlib
import secrets
import sys
import time
from typing import Any

import attrs
import cappa

from .client import ExitStatus, OperatorsClient, OperatorsError
from .session import Session

__all__ = ["BatchCommand"]

CALLERS_VARIABLE = "LIMPETPULLEY_CALLERS"
ACCESS_KEY_VARIABLE = "LIMPETPULLEY_ACCESS_KEY"
POLL_SECONDS = 0.2
FINAL = ("completed", "failed", "cancelled")


def tell(session: Session, told: dict[str, Any], text: str) -> int:
    """Print an answer for programs or for people; return the exit status."""
    if session.as_json:
        session.show(told)
    else:
        session.say(text)
    return ExitStatus.OK


def _callers() -> str:
    return attrs.field(
        default="127.0.0.1:8400",
        metadata={
            "cappa": cappa.Arg(
                long=True,
                default=cappa.Env(CALLERS_VARIABLE, default="127.0.0.1:8400"),
                help="host:port where a daemon takes jobs",
            )
        },
    )


def _access_key() -> str:
    return attrs.field(
        default="",
        metadata={
            "cappa": cappa.Arg(
                long=True,
                default=cappa.Env(ACCESS_KEY_VARIABLE, default=""),
                help="the team's access key",
            )
        },
    )


@cappa.command(name="submit", help="Hand in a job of steps; print its id.")
@attrs.define
class SubmitBatch:
    """Hands in a job."""

    queue: str
    file: str = attrs.field(
        metadata={"cappa": cappa.Arg(help="JSON file of the job, - for standard input")}
    )
    id: str = attrs.field(
        default="",
        metadata={"cappa": cappa.Arg(long=True, default="", help="16 hexadecimal digits")},
    )
    follow: bool = attrs.field(
        default=False, metadata={"cappa": cappa.Arg(long=True, help="wait for its end")}
    )
    callers: str = _callers()
    access_key: str = _access_key()

    def run(self, session: Session) -> int:
        """Hand the job in, again with the same id as long as its fate is not known."""
        job_id = self.id or secrets.token_hex(8)
        client = OperatorsClient(self.callers, self.access_key)
        path = f"/queues/{self.queue}/batches/{job_id}"
        client.put(path, _read_job(self.file))
        if not self.follow:
            return tell(session, {"job": job_id}, job_id)
        state = ""
        while state not in FINAL:
            state = client.get(path)["state"]
            time.sleep(POLL_SECONDS)
        tell(session, {"job": job_id, "state": state}, f"{job_id} is {state}")
        return ExitStatus.OK if state == "completed" else ExitStatus.FAILURE


@cappa.command(name="state", help="Show the state of a job of steps.")
@attrs.define
class BatchState:
    """Shows a job's state."""

    queue: str
    id: str
    callers: str = _callers()
    access_key: str = _access_key()

    def run(self, session: Session) -> int:
        """Print the state."""
        client = OperatorsClient(self.callers, self.access_key)
        told = client.get(f"/queues/{self.queue}/batches/{self.id}")
        return tell(session, told, told["state"])


@cappa.command(name="cancel", help="Cancel a job of steps.")
@attrs.define
class CancelBatch:
    """Cancels a job."""

    queue: str
    id: str
    callers: str = _callers()
    access_key: str = _access_key()

    def run(self, session: Session) -> int:
        """Cancel it and print its state."""
        client = OperatorsClient(self.callers, self.access_key)
        told = client.delete(f"/queues/{self.queue}/batches/{self.id}")
        return tell(session, told, told["state"])


@cappa.command(name="pending", help="Count a queue's jobs that have not begun.")
@attrs.define
class PendingBatches:
    """Counts jobs."""

    queue: str
    callers: str = _callers()
    access_key: str = _access_key()

    def run(self, session: Session) -> int:
        """Print the number."""
        client = OperatorsClient(self.callers, self.access_key)
        told = client.get(f"/queues/{self.queue}/batches")
        return tell(session, told, str(told["pending"]))


@cappa.command(name="batch", help="Hand in jobs of steps and follow them.")
@attrs.define
class BatchCommand:
    """Jobs of steps."""

    command: cappa.Subcommands[SubmitBatch | BatchState | CancelBatch | PendingBatches]


def _read_job(file: str) -> object:
    try:
        text = sys.stdin.read() if file == "-" else pathlib.Path(file).read_text()
        return json.loads(text)
    except (OSError, ValueError) as error:
        raise OperatorsError(f"{file}: {error}", ExitStatus.INVALID) from None
