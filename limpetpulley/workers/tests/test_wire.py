"""Workers behind the product's protocol: a table of messages, and of what goes wrong."""

import json

import anyio
import pytest

from ...batch import Amount, EndKind, TaskId
from ...exception import HttpError, NotOwnerError, RecordError, WorkerError
from ...http_client import HttpAnswer
from .. import (
    EndedRun,
    HoldReply,
    ListedRun,
    ListedWorker,
    PaceOrder,
    StartOrder,
    StartOutcome,
    StartReply,
    StopOrder,
)
from ..wire import CONVERTER, HttpOrderSender, decode_listed, encode_listed

TASK = TaskId("00000000000000ab", 1, 2, 3)
LABELS = frozenset({"large", "r-1"})
WORKER = ListedWorker(
    "w-1", "desk", "192.0.2.1:80", 7, Amount(4000, 8000, 1), "vm-1", "r-1", LABELS
)
HELD = HoldReply(
    1.5, 7, (ListedRun(TASK, 2, "half", 60, 0.2),), (EndedRun(4, TASK, 1, EndKind.FAILED, "some"),)
)


class OneAnswer:
    """Answers each call in the same way and keeps what was asked."""

    def __init__(self, status=200, content=b"", error=None):
        self.answer = HttpAnswer(status, content)
        self.error = error
        self.asked = []

    async def request(self, method, address, target, headers, content, timeout, may_send=None):
        self.asked.append((address, target, json.loads(content), timeout))
        if self.error:
            raise self.error
        return self.answer

    async def aclose(self):
        """Do nothing."""


def ask(http, method, *args):
    async def call():
        return await getattr(HttpOrderSender(http), method)(WORKER, *args)

    return anyio.run(call)


CALLS = {
    "start": (StartOrder("w-1", TASK, 2, "text", "half"), 9, 3.5),
    "stop": (StopOrder("w-1", TASK, 2), 9),
    "pace": (PaceOrder("w-1", TASK, 2, 50), 9),
    "hold": (9, 4, 3.5, 1.0),
}


def test_an_entry_comes_back_as_it_was():
    assert decode_listed("workers/w-1", encode_listed(WORKER)) == WORKER


@pytest.mark.parametrize("value", [b"", b"{", b"[]", b"{}", b"7", b'{"worker_id": "w-1"}'])
def test_a_damaged_entry_names_no_worker(value):
    with pytest.raises(RecordError):
        decode_listed("workers/w-1", value)


@pytest.mark.parametrize(
    ("method", "reply"),
    [
        ("start", StartReply(StartOutcome.NO_ROOM, 1.5)),
        ("stop", 1.5),
        ("pace", 1.5),
        ("hold", HELD),
    ],
)
def test_answers_are_read(method, reply):
    http = OneAnswer(content=json.dumps(CONVERTER.unstructure(reply)).encode())
    assert ask(http, method, *CALLS[method]) == reply
    address, target, body, _ = http.asked[0]
    assert (address, target) == ("192.0.2.1:80", f"/workers/w-1/{method}")
    assert body["token"] == 9


@pytest.mark.parametrize("method", CALLS)
@pytest.mark.parametrize(
    ("http", "error"),
    [
        (OneAnswer(409), NotOwnerError),
        (OneAnswer(500), WorkerError),
        (OneAnswer(200, b"nonsense"), WorkerError),
        (OneAnswer(200, b"{}"), WorkerError),
        (OneAnswer(error=HttpError("broken off")), WorkerError),
    ],
    ids=["newer token", "failed", "not JSON", "no fields", "broken off"],
)
def test_what_goes_wrong_is_an_error(method, http, error):
    with pytest.raises(error):
        ask(http, method, *CALLS[method])


def test_another_worker_at_the_address_takes_no_start():
    reply = ask(OneAnswer(404), "start", *CALLS["start"])
    assert reply.outcome is StartOutcome.OTHER_WORKER
