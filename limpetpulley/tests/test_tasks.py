"""Tests of tasks that must not end the daemon."""

import asyncio

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ..tasks import start_guarded


async def fail():
    raise ValueError("on purpose")


async def be_cancelled():
    asyncio.current_task().cancel()
    await anyio.sleep(1)


@pytest.mark.parametrize("function", [fail, be_cancelled])
def test_failing_task_ends_alone(function):
    async def run():
        done = []
        async with anyio.create_task_group() as tasks:
            start_guarded(tasks, function)
            await anyio.sleep(0.05)
            done.append("others went on")
        return done

    assert_that(anyio.run(run), Equals(["others went on"]))


def test_cancelled_group_ends_its_tasks():
    async def run():
        with anyio.fail_after(2):
            async with anyio.create_task_group() as tasks:
                start_guarded(tasks, anyio.sleep_forever)
                await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()
        return "ended"

    assert_that(anyio.run(run), Equals("ended"))
