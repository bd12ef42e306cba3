"""Tests of the configuration replica."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from ...exception import ConfigError
from ...secret import digest_secret
from ..objects import AccessKey, Pool, Vm, VmPhase
from ..replica import ConfigReplica, Record, decode_record, encode_record


def pool(revision, value=True):
    return Record("pool", "a", revision, Pool("a") if value else None)


@pytest.mark.parametrize(
    ("first", "second", "revision", "exists"),
    [
        (pool(5), pool(4, False), 5, True),
        (pool(5, False), pool(4), 5, False),
        (pool(5, False), pool(5), 5, False),
        (pool(4), pool(6, False), 6, False),
    ],
    ids=["late deletion", "late creation", "same revision", "newer deletion"],
)
def test_object_never_goes_back(first, second, revision, exists):
    replica = ConfigReplica()
    replica.apply(first)
    replica.apply(second)
    assert_that(replica.records["pool/a"].revision, Equals(revision))
    assert_that(replica.get("pool", "a") is not None, Is(exists))


def test_snapshot_buries_what_it_lacks_but_not_what_is_newer():
    replica = ConfigReplica()
    replica.apply(pool(3))
    replica.apply(Record("pool", "b", 9, Pool("b")))
    replica.apply_snapshot([], 5)
    assert_that([found.name for found in replica.all("pool")], Equals(["b"]))


def test_replica_without_old_deletions_sends_everything():
    source, late = ConfigReplica(), ConfigReplica()
    late.apply(pool(3))
    late.advance(3)
    source.apply_snapshot([Record("pool", "b", 4, Pool("b"))], 7)
    records, full = source.changes_since(late.revision)
    assert_that(full, Is(True))
    late.apply_snapshot(records, source.revision)
    assert_that([found.name for found in late.all("pool")], Equals(["b"]))


@pytest.mark.parametrize("withdrawn", [True, False])
def test_withdrawn_key_is_not_found(withdrawn):
    replica = ConfigReplica()
    digest = digest_secret("secret")
    replica.apply(Record("key", "k", 1, AccessKey("k", "t", digest)))
    replica.apply(Record("key", "k", 2, AccessKey("k", "t", digest, withdrawn)))
    assert_that(replica.find_key(digest) is None, Is(withdrawn))


def test_record_survives_the_store():
    record = Record("pool", "a", 7, Pool("a", min_vms=2), "kai", "2026-01-01", "id")
    assert_that(decode_record("pool", "a", 7, encode_record(record)), Equals(record))


@pytest.mark.parametrize("value", [b"", b"{", b"[]", b'{"object": {"name": 1}}', b'{"object": 3}'])
def test_unreadable_value_is_an_error(value):
    with pytest.raises(ConfigError):
        decode_record("pool", "a", 1, value)


@pytest.mark.parametrize("phase", list(VmPhase))
def test_phase_survives_the_store(phase):
    record = Record("vm", "a", 7, Vm("a", "p", "192.0.2.1:80", "r", "d", phase=phase))
    assert_that(decode_record("vm", "a", 7, encode_record(record)), Equals(record))


@settings(max_examples=200, deadline=None, derandomize=True)
@given(data=st.data())
def test_configuration_never_goes_back(data):
    """Late, doubled and reordered news, snapshots and transfers never lower a revision."""
    history = {}
    truth = []
    for revision in range(2, 12):
        name = data.draw(st.sampled_from("ab"))
        history[name] = data.draw(st.booleans())
        value = Pool(name) if history[name] else None
        truth.append(Record("pool", name, revision, value))
    replicas = [ConfigReplica(), ConfigReplica()]
    for _ in range(30):
        replica, other = data.draw(st.permutations(replicas))
        before = {key: found.revision for key, found in replica.records.items()}
        action = data.draw(st.sampled_from(["news", "snapshot", "transfer"]))
        if action == "news":
            replica.apply(data.draw(st.sampled_from(truth)))
        elif action == "snapshot":
            count = data.draw(st.integers(1, len(truth)))
            newest = {record.key: record for record in truth[:count]}
            present = [record for record in newest.values() if record.value is not None]
            replica.apply_snapshot(present, truth[count - 1].revision)
        else:
            records, full = other.changes_since(replica.revision)
            if full:
                replica.apply_snapshot(records, other.revision)
            for record in records:
                replica.apply(record)
            replica.advance(other.revision)
        for key, revision in before.items():
            assert replica.records[key].revision >= revision
    for replica in replicas:
        replica.apply_snapshot(
            [r for r in {t.key: t for t in truth}.values() if r.value is not None], 11
        )
        found = {value.name for value in replica.all("pool")}
        assert found == {name for name, exists in history.items() if exists}
