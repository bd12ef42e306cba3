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


@attrs.define(kw_only=True)
class _CallersCommand:
    """A command that speaks to a daemon as a caller of a queue."""

    queue: str = attrs.field(kw_only=False)
    callers: str = attrs.field(
        default="127.0.0.1:8400",
        metadata={
            "cappa": cappa.Arg(
                long=True,
                default=cappa.Env(CALLERS_VARIABLE, default="127.0.0.1:8400"),
                help="host:port where a daemon takes jobs",
            )
        },
    )
    access_key: str = attrs.field(
        default="",
        metadata={
            "cappa": cappa.Arg(
                long=True,
                default=cappa.Env(ACCESS_KEY_VARIABLE, default=""),
                help="the team's access key",
            )
        },
    )

    def client(self) -> OperatorsClient:
        """Return what speaks to the daemon."""
        return OperatorsClient(self.callers, self.access_key)

    def path(self, job_id: str = "") -> str:
        """Return the path of a job, or of all jobs of the queue."""
        return f"/queues/{self.queue}/batches" + (f"/{job_id}" if job_id else "")


@cappa.command(name="submit", help="Hand in a job of steps; print its id.")
@attrs.define
class SubmitBatch(_CallersCommand):
    """Hands in a job."""

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

    def run(self, session: Session) -> int:
        """Hand the job in, again with the same id as long as its fate is not known."""
        job_id = self.id or secrets.token_hex(8)
        client, path = self.client(), self.path(job_id)
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
class BatchState(_CallersCommand):
    """Shows a job's state."""

    id: str

    def run(self, session: Session) -> int:
        """Print the state."""
        told = self.client().get(self.path(self.id))
        return tell(session, told, told["state"])


@cappa.command(name="cancel", help="Cancel a job of steps.")
@attrs.define
class CancelBatch(_CallersCommand):
    """Cancels a job."""

    id: str

    def run(self, session: Session) -> int:
        """Cancel it and print its state."""
        told = self.client().delete(self.path(self.id))
        return tell(session, told, told["state"])


@cappa.command(name="pending", help="Count a queue's jobs that have not begun.")
@attrs.define
class PendingBatches(_CallersCommand):
    """Counts jobs."""

    def run(self, session: Session) -> int:
        """Print the number."""
        told = self.client().get(self.path())
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
