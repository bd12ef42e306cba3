"""Network links of limited capacity, for simulations."""

from __future__ import annotations

from collections import deque
from collections.abc import AsyncIterator, Iterator

import anyio

__all__ = ["SHORT_QUEUE_CHUNKS", "BandwidthLink", "carry_between"]

CHUNK_BYTES = 16_384
SHORT_QUEUE_CHUNKS = 2


class BandwidthLink:
    """The network link of a host, which carries chunks in the order in which they were sent.

    :param bytes_per_second: capacity, for both directions together
    :param queue_chunks: most chunks of a transfer that stand in the queue at a time; those of a
        transfer that was given up are carried all the same
    """

    def __init__(self, bytes_per_second: float, queue_chunks: int = SHORT_QUEUE_CHUNKS):
        self.bytes_per_second = bytes_per_second
        self.queue_chunks = queue_chunks
        self.carried_bytes = 0
        self.free_at = 0.0

    def enqueue(self, count: int) -> float:
        """Send a chunk; return the time at which it will have arrived, by the loop's clock.

        :param count: number of bytes
        """
        self.carried_bytes += count
        started_at = max(self.free_at, anyio.current_time())
        self.free_at = started_at + count / self.bytes_per_second
        return self.free_at

    async def carry(self, count: int) -> AsyncIterator[int]:
        """Carry a message; yield the size of each chunk when it has arrived.

        :param count: number of bytes
        """
        pending: deque[tuple[float, int]] = deque()
        chunks = _split(count)
        while True:
            while len(pending) < self.queue_chunks and (size := next(chunks, 0)):
                pending.append((self.enqueue(size), size))
            if not pending:
                return
            arrives_at, size = pending.popleft()
            await anyio.sleep_until(arrives_at)
            yield size


async def carry_between(source: BandwidthLink, target: BandwidthLink, count: int) -> None:
    """Carry a message over two links.

    :param count: number of bytes
    """
    arrivals: deque[float] = deque()
    async for size in source.carry(count):
        arrivals.append(target.enqueue(size))
        if len(arrivals) == target.queue_chunks:
            await anyio.sleep_until(arrivals.popleft())
    if arrivals:
        await anyio.sleep_until(arrivals[-1])


def _split(count: int) -> Iterator[int]:
    for position in range(0, count, CHUNK_BYTES):
        yield min(CHUNK_BYTES, count - position)
