"""When the store last answered a daemon, and which of its calls that silence has overtaken."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

import anyio

__all__ = ["StoreContact", "read_purpose", "watch_purpose"]

#: time without any answer after which the next answer shows that earlier calls were lost, in
#: seconds; a daemon renews its lease every 0.3 s
SILENCE_SECONDS = 0.5
#: shortest silence in which entries of other writers may have expired, in seconds
OUTAGE_SECONDS = 1.0


def read_purpose(prefix: str) -> str:
    """Return the purpose of a read of all entries under a prefix."""
    return f"read {prefix}"


def watch_purpose(prefix: str) -> str:
    """Return the purpose of a watch of all entries under a prefix."""
    return f"watch {prefix}"


class StoreContact:
    """Tracks the answers of the store to the calls of one daemon.

    After a silence, calls that were made during it are not waited for any longer: they are made
    again. A call that is only slower than others is not given up.
    """

    def __init__(self) -> None:
        # Start of the latest call that was answered, and time of the latest answer.
        self.called_at = -math.inf
        self.answered_at = -math.inf
        # Time of the latest bytes of a long answer that may not be complete, outside of an outage,
        # which ends with a complete one; and of all such answers by the purpose of the call.
        self.arrived_at = -math.inf
        self.arrivals: dict[str, float] = {}
        self.answered = anyio.Event()
        # Set at the answer that ends the current or next silence.
        self.silence_ended = anyio.Event()
        self.waiting_calls: dict[anyio.CancelScope, float] = {}
        # Time of the answer that ended the last silence in which entries may have expired.
        self.returned_at = -math.inf
        # Bytes of answers, also of those that were given up, by the purpose of the call.
        self.received_bytes: Counter[str] = Counter()

    def note_bytes(self, purpose: str, count: int) -> None:
        """Record that a part of an answer has arrived.

        :param purpose: the kind of call and what it is about, such as ``read op/``
        :param count: number of bytes
        """
        self.received_bytes[purpose] += count

    def note_arrival(self, purpose: str, now: float) -> None:
        """Record that the store is sending an answer: it is not silent, only slow to arrive.

        :param purpose: the kind of call and what it is about
        :param now: local time
        """
        self.arrivals[purpose] = now
        if not self._is_outage(now):
            self.arrived_at = now

    def note_answer(self, called_at: float, now: float) -> None:
        """Record an answer.

        :param called_at: when the call was made, by the local clock
        :param now: local time
        """
        heard_at = self._heard_at()
        was_silent = math.isfinite(heard_at) and now - heard_at > SILENCE_SECONDS
        if self._is_outage(now):
            self.returned_at = now
        self.called_at = max(self.called_at, called_at)
        self.answered_at = now
        answered, self.answered = self.answered, anyio.Event()
        answered.set()
        if was_silent:
            silence_ended, self.silence_ended = self.silence_ended, anyio.Event()
            silence_ended.set()
        for scope, waiting_since in list(self.waiting_calls.items()):
            if was_silent and waiting_since < called_at:
                scope.cancel()

    @contextmanager
    def cancel_if_overtaken(self, scope: anyio.CancelScope, called_at: float) -> Iterator[None]:
        """Cancel a scope if the store answers a later call after a silence.

        :param called_at: when the scope's call was made, by the local clock
        """
        self.waiting_calls[scope] = called_at
        try:
            yield
        finally:
            del self.waiting_calls[scope]

    def is_arriving(self, purpose: str, now: float) -> bool:
        """Return whether a long answer has been arriving lately.

        :param purpose: the kind of call and what it is about
        :param now: local time
        """
        return now - self.arrivals.get(purpose, -math.inf) <= SILENCE_SECONDS

    def is_anything_arriving(self, now: float) -> bool:
        """Return whether any long answer has been arriving lately, also in an outage.

        :param now: local time
        """
        return any(self.is_arriving(purpose, now) for purpose in self.arrivals)

    def is_answering(self, now: float) -> bool:
        """Return whether the store has answered a call lately.

        :param now: local time
        """
        return now - self._heard_at() <= OUTAGE_SECONDS

    def seconds_since_outage(self, now: float) -> float:
        """Return the time since the last outage, in seconds: 0 during one, infinite without any.

        :param now: local time
        """
        return 0.0 if self._is_outage(now) else now - self.returned_at

    def _is_outage(self, now: float) -> bool:
        heard_at = self._heard_at()
        return math.isfinite(heard_at) and now - heard_at > OUTAGE_SECONDS

    def _heard_at(self) -> float:
        return max(self.answered_at, self.arrived_at)

    async def sleep(self, seconds: float) -> None:
        """Sleep before the next attempt, but not beyond the end of a silence.

        :param seconds: longest time
        """
        with anyio.move_on_after(seconds):
            await self.silence_ended.wait()

    async def wait_for_answer(self, since: float) -> None:
        """Wait until a call that was made after a local time is answered."""
        while self.called_at <= since:
            await self.answered.wait()
