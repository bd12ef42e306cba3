"""Commands that submit and monitor batch jobs."""

from __future__ import annotations

import pathlib
import secrets
import sys
import time
from typing import Any

import attrs
import cappa

from ..json_decoding import parse_json
from .client import CommandError, ExitStatus, OperatorClient
from .session import Session

__all__ = ["BatchCommand"]

CALLERS_ENV = "LIMPETPULLEY_CALLERS"
ACCESS_KEY_ENV = "LIMPETPULLEY_ACCESS_KEY"
POLL_INTERVAL_SECONDS = 0.2
FINAL_STATES = ("completed", "failed", "cancelled")


def print_result(session: Session, result: dict[str, Any], text: str) -> int:
    """Print a result as JSON or as text; return the exit status.

    :param result: what is printed as JSON
    :param text: what is printed otherwise
    """
    if session.as_json:
        session.print_json(result)
    else:
        session.print_text(text)
    return ExitStatus.OK


@attrs.define(kw_only=True)
class _CallerCommand:
    """A command that acts as a caller of a queue."""

    queue: str = attrs.field(kw_only=False)
    callers: str = attrs.field(
        default="127.0.0.1:8400",
        metadata={
            "cappa": cappa.Arg(
                long=True,
                default=cappa.Env(CALLERS_ENV, default="127.0.0.1:8400"),
                help="host:port at which a daemon accepts jobs",
            )
        },
    )
    access_key: str = attrs.field(
        default="",
        metadata={
            "cappa": cappa.Arg(
                long=True,
                default=cappa.Env(ACCESS_KEY_ENV, default=""),
                help="the team's access key",
            )
        },
    )

    def client(self) -> OperatorClient:
        """Return a client of the daemon that accepts the jobs."""
        return OperatorClient(self.callers, self.access_key)

    def path(self, job_id: str = "") -> str:
        """Return the URL path of a job, or of all jobs of the queue."""
        return f"/queues/{self.queue}/batches" + (f"/{job_id}" if job_id else "")


@cappa.command(name="submit", help="Submit a batch job; print its id.")
@attrs.define
class SubmitBatch(_CallerCommand):
    """Submits a job."""

    file: str = attrs.field(
        metadata={"cappa": cappa.Arg(help="JSON file that describes the job, - for standard input")}
    )
    id: str = attrs.field(
        default="",
        metadata={
            "cappa": cappa.Arg(
                long=True, default="", help="16 hexadecimal digits, random by default"
            )
        },
    )
    follow: bool = attrs.field(
        default=False, metadata={"cappa": cappa.Arg(long=True, help="wait until the job has ended")}
    )

    def run(self, session: Session) -> int:
        """Submit the job and print its id, or wait until it has ended and print its state.

        A submission with an unknown outcome can be repeated under the same id.
        """
        job_id = self.id or secrets.token_hex(8)
        client, path = self.client(), self.path(job_id)
        client.put(path, _read_job(self.file))
        if not self.follow:
            return print_result(session, {"job": job_id}, job_id)
        state = ""
        while state not in FINAL_STATES:
            state = client.get(path)["state"]
            time.sleep(POLL_INTERVAL_SECONDS)
        print_result(session, {"job": job_id, "state": state}, f"{job_id} is {state}")
        return ExitStatus.OK if state == "completed" else ExitStatus.FAILURE


@cappa.command(name="state", help="Show the state of a batch job.")
@attrs.define
class BatchState(_CallerCommand):
    """Shows the state of a job."""

    id: str

    def run(self, session: Session) -> int:
        """Print the state of the job."""
        job = self.client().get(self.path(self.id))
        return print_result(session, job, job["state"])


@cappa.command(name="cancel", help="Cancel a batch job.")
@attrs.define
class CancelBatch(_CallerCommand):
    """Cancels a job."""

    id: str

    def run(self, session: Session) -> int:
        """Cancel the job and print its state."""
        job = self.client().delete(self.path(self.id))
        return print_result(session, job, job["state"])


@cappa.command(name="pending", help="Count the jobs of a queue that have not started.")
@attrs.define
class PendingBatches(_CallerCommand):
    """Counts the jobs of a queue that have not started."""

    def run(self, session: Session) -> int:
        """Print the number of jobs."""
        counts = self.client().get(self.path())
        return print_result(session, counts, str(counts["pending"]))


@cappa.command(name="batch", help="Submit and monitor batch jobs.")
@attrs.define
class BatchCommand:
    """Commands for batch jobs."""

    command: cappa.Subcommands[SubmitBatch | BatchState | CancelBatch | PendingBatches]


def _read_job(path: str) -> object:
    try:
        text = sys.stdin.read() if path == "-" else pathlib.Path(path).read_text()
        return parse_json(text)
    except (OSError, ValueError) as error:
        raise CommandError(f"{path}: {error}", ExitStatus.INVALID) from None
