"""Tests of background tasks whose failure must not terminate the daemon."""

import asyncio

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ..tasks import start_guarded


async def fail():
    raise ValueError("on purpose")


async def cancel_itself():
    asyncio.current_task().cancel()
    await anyio.sleep(1)


@pytest.mark.parametrize("function", [fail, cancel_itself])
def test_failing_task_does_not_cancel_its_group(function):
    async def run():
        done = []
        async with anyio.create_task_group() as tasks:
            start_guarded(tasks, function)
            await anyio.sleep(0.05)
            done.append("the group continued")
        return done

    assert_that(anyio.run(run), Equals(["the group continued"]))


def test_cancelling_the_group_cancels_its_tasks():
    async def run():
        with anyio.fail_after(2):
            async with anyio.create_task_group() as tasks:
                start_guarded(tasks, anyio.sleep_forever)
                await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()
        return "ended"

    assert_that(anyio.run(run), Equals("ended"))
