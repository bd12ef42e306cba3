"""Tests that the memory for finished jobs with idempotency keys is bounded."""

import anyio
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from ...api.tests.test_http import with_cluster
from ...standin.virtual import run_virtual
from .. import keyed_jobs


def test_finished_jobs_keep_no_bodies_and_their_number_is_bounded(monkeypatch):
    monkeypatch.setattr(keyed_jobs, "MAX_RECENT_JOBS", 20)

    async def submit_many(cluster):
        for number in range(60):
            body = b"x" * 100_000
            await cluster.submit("d1", "jobs", "desk", body=body, idempotency_key=f"k{number}")
        await anyio.sleep(1)
        return cluster.nodes["d1"].keyed_jobs

    job_runner = run_virtual(with_cluster, submit_many)
    assert_that(len(job_runner.jobs), LessThan(22))
    bodies = sum(len(job.request.body.buffered or b"") for job in job_runner.jobs.values())
    assert_that(bodies, Equals(0))


def test_job_is_not_run_again_after_its_cached_entry_is_evicted(monkeypatch):
    monkeypatch.setattr(keyed_jobs, "MAX_RECENT_JOBS", 2)

    async def submit_again(cluster):
        for number in (0, 1, 2, 3, 4, 0):
            outcome = await cluster.submit("d1", "jobs", "desk", idempotency_key=f"k{number}")
        return outcome, [run.key for run in cluster.endpoints["vm-1"].runs].count("k0")

    outcome, runs = run_virtual(with_cluster, submit_again)
    assert_that((outcome.status, outcome.run, runs), Equals((409, "unknown", 1)))
