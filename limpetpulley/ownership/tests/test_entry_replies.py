"""Copies of entries reach other daemons unchanged, in few bytes, or not at all."""

import random
import zlib

import pytest

from ...clock import ManualClock
from ...exception import RecordError
from ...peer import batch_pb2 as pb
from ...store import Entry, Event, MemoryStore, Mirror, Snapshot
from ..entry_replies import EntryEncoder, decode_snapshot, make_request

RNG = random.Random(1)
LARGE = b"".join(b'{"name":"%s"}' % RNG.randbytes(8).hex().encode() for _ in range(1450))
CHANGED = LARGE.replace(LARGE[5000:5040], b"changed", 1)
OTHER = b"".join(b'{"other":"%s"}' % RNG.randbytes(8).hex().encode() for _ in range(1450))


def make_mirror(*versions):
    """Return a mirror that has had versions of an entry, as value and revision."""
    mirror = Mirror(MemoryStore(ManualClock()), "op/", ManualClock(), lambda events: None)
    for value, revision in versions:
        mirror.apply([Event("op/entry", value, revision)])
    if versions:
        mirror.loaded.set()
    return mirror


def reply_to(request, mirror):
    rows = EntryEncoder().encode_rows(mirror, request)
    return pb.EntriesReply(fresh=True, revision=mirror.revision, entries=rows)


@pytest.mark.parametrize(
    ("held", "sent", "encoding", "most_bytes"),
    [
        # Versions that the receiver and the sender have had, the latest one last.
        ([], [(LARGE, 5)], pb.DEFLATED, len(LARGE) // 2),
        ([(LARGE, 5)], [(LARGE, 5), (CHANGED, 9)], pb.DIFFERENCE, 500),
        ([(LARGE, 5)], [(LARGE, 5), (OTHER, 7), (CHANGED, 9)], pb.DIFFERENCE, 500),
        # The sender has not had the receiver's version.
        ([(OTHER, 7)], [(LARGE, 5), (CHANGED, 9)], pb.DEFLATED, len(LARGE) // 2),
        ([(LARGE, 5)], [(CHANGED, 9)], pb.DEFLATED, len(LARGE) // 2),
        ([(b"small", 5)], [(b"small", 5), (b"new", 9)], pb.PLAIN, 60),
    ],
)
def test_receiver_gets_the_latest_version_in_few_bytes(held, sent, encoding, most_bytes):
    receiver, sender = make_mirror(*held), make_mirror(*sent)
    reply = reply_to(make_request(receiver), sender)
    assert reply.entries[0].encoding == encoding
    assert reply.ByteSize() <= most_bytes
    value, revision = sent[-1]
    snapshot = decode_snapshot(receiver, reply)
    assert snapshot == Snapshot((Entry("op/entry", value, revision),), revision)


def test_unchanged_entries_are_kept_and_removed_ones_are_not():
    receiver, sender = make_mirror((LARGE, 5)), make_mirror((LARGE, 5))
    receiver.apply([Event("op/other/1", b"wave", 6)])
    sender.apply([Event("op/other/2", b"wave", 8)])
    reply = reply_to(make_request(receiver), sender)
    assert reply.ByteSize() < 100
    receiver.apply_snapshot(decode_snapshot(receiver, reply))
    assert receiver.entries == sender.entries


def test_receiver_without_other_encodings_gets_plain_values():
    sender = make_mirror((LARGE, 5), (CHANGED, 9))
    reply = reply_to(pb.EntriesRequest(prefix="op/", after=5), sender)
    assert (reply.entries[0].encoding, reply.entries[0].value) == (pb.PLAIN, CHANGED)


def deflate(*pieces, digest=b""):
    return zlib.compress(pb.Difference(pieces=pieces, digest=digest).SerializeToString())


@pytest.mark.parametrize(
    "row",
    [
        {"encoding": pb.DEFLATED, "value": b"not deflated"},
        {"encoding": pb.DEFLATED, "value": zlib.compress(LARGE)[:-9]},
        {"encoding": pb.DEFLATED, "value": zlib.compress(bytes(5 << 20))},
        {"encoding": pb.DIFFERENCE, "base_revision": 4, "value": deflate()},
        {"encoding": pb.DIFFERENCE, "base_revision": 5, "value": b""},
        {"encoding": pb.DIFFERENCE, "base_revision": 5, "value": zlib.compress(b"\xff\xff")},
        {"encoding": pb.DIFFERENCE, "base_revision": 5, "value": deflate(pb.Piece(length=1 << 30))},
        {"encoding": pb.DIFFERENCE, "base_revision": 5, "value": deflate(pb.Piece(length=9))},
        {"encoding": pb.UNCHANGED},
    ],
)
def test_value_that_cannot_be_decoded_is_not_applied(row):
    receiver = make_mirror((LARGE, 5))
    reply = pb.EntriesReply(fresh=True, revision=9)
    reply.entries.add(key="op/entry", revision=9, **row)
    with pytest.raises(RecordError):
        decode_snapshot(receiver, reply)


def test_value_is_encoded_once_for_all_receivers_that_hold_the_same():
    sender, encoder = make_mirror((LARGE, 5), (CHANGED, 9)), EntryEncoder()
    for _ in range(27):
        encoder.encode_rows(sender, make_request(make_mirror((LARGE, 5))))
    assert len(encoder.kept) == 1
