"""Services behind links that are cut by pair and direction."""

import anyio
import pytest

from .zone_http import LOCALHOST, LinkedProxy, LinkedService, Request, Response
from .zone_links import STORE, Links, pairs_around

CALLER = "daemon"
CALL = b"POST /api/count HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}"
#: time in which nothing must arrive, and in which something must, in seconds
QUIET_SECONDS, ANSWER_SECONDS = 0.2, 5.0


class Counted:
    """Counts the calls that a service has carried out, and those of them that came late."""

    def __init__(self):
        self.calls = self.late_calls = 0

    async def handle(self, request: Request) -> Response:
        assert request.source == CALLER
        self.calls += 1
        self.late_calls += request.late
        return Response(200, {"calls": self.calls})


def run_service(scenario, late_share=0.0):
    """Run a scenario with links, a counter and a connection that has carried one call."""

    async def main():
        links = Links(late_share, names={LOCALHOST: CALLER})
        counted = Counted()
        service = LinkedService(STORE, links, counted.handle)
        with anyio.fail_after(ANSWER_SECONDS):
            async with anyio.create_task_group() as tasks:
                await tasks.start(service.serve)
                stream = await anyio.connect_tcp(LOCALHOST, service.port)
                await stream.send(CALL)
                assert b'{"calls": 1}' in await stream.receive()
                await scenario(links, counted, service, stream)
                tasks.cancel_scope.cancel()

    anyio.run(main)


async def expect_silence_until_restored(links, stream, pair):
    with anyio.move_on_after(QUIET_SECONDS) as scope:
        await stream.receive()
    assert scope.cancelled_caught
    links.restore([pair])
    with pytest.raises((anyio.BrokenResourceError, anyio.EndOfStream)):
        await stream.receive()


@pytest.mark.parametrize(
    ("pair", "calls"), [((CALLER, STORE), 1), ((STORE, CALLER), 2)], ids=["calls", "answers"]
)
def test_nothing_comes_back_over_a_cut_and_the_connection_is_reset_after_it(pair, calls):
    async def scenario(links, counted, service, stream):
        links.cut([pair])
        await stream.send(CALL)
        await expect_silence_until_restored(links, stream, pair)
        assert counted.calls == calls

    run_service(scenario)


def test_a_connection_over_which_nothing_is_sent_survives_a_cut():
    async def scenario(links, counted, service, stream):
        pairs = pairs_around([CALLER], [CALLER, STORE])
        links.cut(pairs)
        links.restore(pairs)
        await stream.send(CALL)
        assert b'{"calls": 2}' in await stream.receive()

    run_service(scenario)


def test_a_call_that_a_cut_held_up_is_carried_out_after_it_without_an_answer():
    async def scenario(links, counted, service, stream):
        links.cut([(CALLER, STORE)])
        await stream.send(CALL)
        await expect_silence_until_restored(links, stream, (CALLER, STORE))
        assert (counted.calls, counted.late_calls) == (2, 1)

    run_service(scenario, late_share=1.0)


def test_a_connection_does_not_outlive_the_life_that_accepted_it():
    async def scenario(links, counted, service, stream):
        service.life += 1
        await stream.send(CALL)
        with pytest.raises((anyio.BrokenResourceError, anyio.EndOfStream)):
            await stream.receive()
        assert counted.calls == 1

    run_service(scenario)


@pytest.mark.parametrize("pair", [(CALLER, STORE), (STORE, CALLER)], ids=["calls", "answers"])
def test_a_proxy_carries_nothing_over_a_cut(pair):
    async def scenario(links, counted, service, stream):
        links.names[LOCALHOST] = CALLER
        proxy = LinkedProxy(STORE, links, (LOCALHOST, service.port))
        async with anyio.create_task_group() as tasks:
            await tasks.start(proxy.serve)
            through = await anyio.connect_tcp(LOCALHOST, proxy.port)
            await through.send(CALL)
            assert b'{"calls": 2}' in await through.receive()
            links.cut([pair])
            await through.send(CALL)
            await expect_silence_until_restored(links, through, pair)
            tasks.cancel_scope.cancel()

    run_service(scenario)
