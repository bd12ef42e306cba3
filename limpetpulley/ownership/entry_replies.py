"""Copies of store entries in replies to other daemons, in as few bytes as the receiver allows."""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Callable

from google.protobuf.message import DecodeError

from ..exception import RecordError
from ..peer import batch_pb2 as pb
from ..store import (
    LARGE_VALUE_BYTES,
    Entry,
    Mirror,
    Piece,
    Snapshot,
    apply_difference,
    find_difference,
)

__all__ = ["EntryEncoder", "decode_snapshot", "make_request"]

#: zlib level: the higher ones take several times as long for a few percent
DEFLATE_LEVEL = 1
#: size limit of an inflated value, in bytes; the store's values have up to a megabyte
MAX_INFLATED_BYTES = 4 << 20
#: most encoded values that are kept for the next receivers
MAX_KEPT_VALUES = 16


class EntryEncoder:
    """Encodes the entries of mirrors, each value once for all receivers that hold the same."""

    def __init__(self) -> None:
        # Encoded values by encoding, key, revision and base revision; the oldest first.
        self.kept: dict[tuple[int, str, int, int], bytes] = {}

    def encode_rows(self, mirror: Mirror, request: pb.EntriesRequest) -> list[pb.EntryRow]:
        """Return all entries of a mirror for the sender of a request."""
        if not request.accepts_encodings:
            return [
                pb.EntryRow(key=entry.key, value=entry.value, revision=entry.revision)
                for entry in mirror.entries.values()
            ]
        held = {row.key: row.revision for row in request.held}
        return [
            self._encode_row(mirror, entry, request.after, held.get(entry.key, 0))
            for entry in mirror.entries.values()
        ]

    def _encode_row(
        self, mirror: Mirror, entry: Entry, after: int, held_revision: int
    ) -> pb.EntryRow:
        """Return an entry.

        :param after: revision up to which the receiver's copy is complete
        :param held_revision: revision of the receiver's value if that is large, otherwise 0
        """
        row = pb.EntryRow(key=entry.key, revision=entry.revision)
        if entry.revision <= after:
            row.encoding = pb.UNCHANGED
        elif len(entry.value) < LARGE_VALUE_BYTES:
            row.value = entry.value
        elif (base := mirror.history.find(entry.key, held_revision)) is not None:
            row.encoding, row.base_revision = pb.DIFFERENCE, held_revision
            row.value = self._keep(row, lambda: _encode_difference(base.value, entry.value))
        else:
            row.encoding = pb.DEFLATED
            row.value = self._keep(row, lambda: zlib.compress(entry.value, DEFLATE_LEVEL))
        return row

    def _keep(self, row: pb.EntryRow, encode: Callable[[], bytes]) -> bytes:
        """Return the encoded value of a row, which is kept for the next receivers."""
        key = (row.encoding, row.key, row.revision, row.base_revision)
        if key not in self.kept:
            self.kept[key] = encode()
            if len(self.kept) > MAX_KEPT_VALUES:
                del self.kept[next(iter(self.kept))]
        return self.kept[key]


def make_request(
    mirror: Mirror, wait_seconds: float = 0.0, without_entries: bool = False
) -> pb.EntriesRequest:
    """Return the request for what a mirror lacks.

    :param wait_seconds: longest time for which the receiver waits for the next confirmation of its
        own mirror, in seconds
    :param without_entries: whether only the age of the receiver's mirror is asked for
    """
    request = pb.EntriesRequest(
        prefix=mirror.prefix,
        after=mirror.revision,
        wait_seconds=wait_seconds,
        accepts_encodings=True,
        without_entries=without_entries,
    )
    if mirror.loaded.is_set():
        request.age_seconds = mirror.age()
        request.held.extend(
            pb.HeldEntry(key=entry.key, revision=entry.revision) for entry in mirror.large_entries()
        )
    return request


def decode_snapshot(mirror: Mirror, reply: pb.EntriesReply) -> Snapshot:
    """Return the entries in a reply to a mirror's request.

    :raises RecordError: if a value cannot be decoded, or differs from a value that the mirror lacks
    """
    entries = []
    for row in reply.entries:
        current = mirror.entries.get(row.key)
        if current is not None and current.revision >= row.revision:
            entries.append(current)
        else:
            entries.append(Entry(row.key, _decode_value(row, current), row.revision))
    return Snapshot(tuple(entries), reply.revision)


def _decode_value(row: pb.EntryRow, current: Entry | None) -> bytes:
    if row.encoding == pb.PLAIN:
        return row.value
    if row.encoding == pb.DEFLATED:
        return _inflate(row.value)
    if row.encoding != pb.DIFFERENCE or current is None or current.revision != row.base_revision:
        raise RecordError(f"no base value of {row.key} for revision {row.revision}")
    try:
        difference = pb.Difference.FromString(_inflate(row.value))
        pieces = [Piece(piece.offset, piece.length, piece.literal) for piece in difference.pieces]
        value = apply_difference(current.value, pieces)
    except (DecodeError, ValueError) as error:
        raise RecordError(f"cannot decode the difference of {row.key}: {error}") from None
    if hashlib.sha256(value).digest() != difference.digest:
        raise RecordError(f"{row.key} with its difference is not the value at {row.revision}")
    return value


def _encode_difference(base: bytes, value: bytes) -> bytes:
    pieces = [
        pb.Piece(offset=piece.offset, length=piece.length, literal=piece.literal)
        for piece in find_difference(base, value)
    ]
    difference = pb.Difference(pieces=pieces, digest=hashlib.sha256(value).digest())
    return zlib.compress(difference.SerializeToString(), DEFLATE_LEVEL)


def _inflate(content: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        value = decompressor.decompress(content, MAX_INFLATED_BYTES)
    except zlib.error as error:
        raise RecordError(f"cannot inflate a value: {error}") from None
    if not decompressor.eof:
        raise RecordError(f"an inflated value is incomplete or exceeds {MAX_INFLATED_BYTES} bytes")
    return value
