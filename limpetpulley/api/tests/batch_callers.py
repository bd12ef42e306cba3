"""Callers of jobs of steps: requests to the HTTP interface of daemons on virtual time."""

import json

import anyio
import attrs

from ...ownership.tests import test_daemons
from ...standin.network import call_app
from ..batches import BatchesApp, native_dialect

__all__ = ["Answer", "Callers", "job_document", "run_callers"]

TEAM = "agents"
#: longest scenario, in seconds of virtual time
TIME_LIMIT_SECONDS = 120.0


@attrs.frozen
class Answer:
    """An answer of a daemon.

    :param retry_seconds: delay after which the caller may ask again, 0 if none is named
    :param seconds: time from the request to the answer
    """

    status: int
    document: dict
    retry_seconds: int
    seconds: float

    @property
    def reason(self):
        """Return the reason of a refusal."""
        return self.document.get("reason", "")

    @property
    def run(self):
        """Return what a refusal says about whether the job may run."""
        return self.document.get("run", "")


class Callers:
    """Callers that reach every daemon of a deployment.

    :param deployment: daemons with their workers and VMs
    """

    def __init__(self, deployment):
        self.deployment = deployment
        self.fleet = deployment.fleet
        self.clock = deployment.clock

    @property
    def owner_name(self):
        """Return the daemon that owns the pool."""
        return self.fleet.owner_of("desk")

    @property
    def owner(self):
        """Return the pool's owner."""
        return self.fleet.daemons[self.owner_name].node.owned["desk"]

    def daemon(self, place):
        """Return the pool's owning daemon or another one, by the place ``owner`` or ``other``."""
        if place == "owner":
            return self.owner_name
        return next(name for name in self.fleet.daemons if name != self.owner_name)

    async def ask(self, at, method, job_id, document=None, time_left=3.0):
        """Send a request to a daemon and return its answer."""
        app = BatchesApp(self.fleet.daemons[at].node, native_dialect())
        path = "/queues/desk/batches" + (f"/{job_id}" if job_id else "")
        content = b"" if document is None else json.dumps(document).encode()
        headers = [(b"time-left", str(time_left).encode())]
        started_at = self.clock.now()
        response = await call_app(app, path, headers, content, method)
        retry_seconds = int(dict(response.headers).get(b"retry-after", 0))
        seconds = self.clock.now() - started_at
        return Answer(response.status, json.loads(response.content), retry_seconds, seconds)

    async def submit(self, at, job_id, document, time_left=3.0):
        """Submit a job and return the answer."""
        return await self.ask(at, "PUT", job_id, document, time_left)

    def runs_of(self, job_id):
        """Return the runs that workers started for a job."""
        return [run for run in self.fleet.runs if run.order.task.job_id == job_id]

    def is_stored(self, job_id):
        """Return whether the store has a job's description."""
        return any(
            key.startswith("lp/job/") and key.endswith(f"/{job_id}")
            for key in self.fleet.store.entries
        )


def job_document(count=2, cores=1, seconds=0.3, **fields):
    """Return a job of one step."""
    need = {"cpu_millicores": 1000 * cores, "memory_mb": 1000}
    step = {"count": count, "need": need, "estimate_seconds": seconds, **fields}
    return {"payload": str(seconds), "steps": [step]}


def run_callers(
    scenario, vms=4, moves=True, latency_target_seconds=1.0, limit=test_daemons.NO_LIMIT
):
    """Run a scenario with callers of three daemons; return its result.

    :param vms: number of VMs of the pool, each with four cores
    :param moves: whether VMs may be moved to the pool
    :param limit: limit of the callers' team
    """

    async def run(deployment):
        with anyio.fail_after(TIME_LIMIT_SECONDS):
            return await scenario(Callers(deployment))

    config = test_daemons.make_config(limit)
    config.queues["desk"] = attrs.evolve(
        config.queues["desk"],
        public=True,
        open_to=TEAM,
        latency_target_seconds=latency_target_seconds,
    )
    return test_daemons.run_scenario(run, config, vms=vms, moves=moves)
