"""Keyed jobs that have ended keep little."""

import anyio
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from ...api.tests.test_http import with_cluster
from ...standin.virtual import run_virtual
from .. import keyed_jobs


def test_ended_jobs_keep_no_bodies_and_their_number_is_bounded(monkeypatch):
    monkeypatch.setattr(keyed_jobs, "RECENT_JOBS", 20)

    async def submit_many(cluster):
        for number in range(60):
            body = b"x" * 100_000
            await cluster.submit("d1", "jobs", "desk", body=body, idempotency_key=f"k{number}")
        await anyio.sleep(1)
        return cluster.nodes["d1"].keyed

    keyed = run_virtual(with_cluster, submit_many)
    assert_that(len(keyed.jobs), LessThan(22))
    bodies = sum(len(job.request.body.buffered or b"") for job in keyed.jobs.values())
    assert_that(bodies, Equals(0))


def test_key_whose_job_is_forgotten_is_not_run_again(monkeypatch):
    monkeypatch.setattr(keyed_jobs, "RECENT_JOBS", 2)

    async def submit_again(cluster):
        for number in (0, 1, 2, 3, 4, 0):
            found = await cluster.submit("d1", "jobs", "desk", idempotency_key=f"k{number}")
        return found, [run.key for run in cluster.endpoints["vm-1"].runs].count("k0")

    found, runs = run_virtual(with_cluster, submit_again)
    assert_that((found.status, found.run, runs), Equals((409, "unknown", 1)))
