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


def pool_record(revision, exists=True):
    return Record("pool", "a", revision, Pool("a") if exists else None)


@pytest.mark.parametrize(
    ("first", "second", "revision", "exists"),
    [
        (pool_record(5), pool_record(4, False), 5, True),
        (pool_record(5, False), pool_record(4), 5, False),
        (pool_record(5, False), pool_record(5), 5, False),
        (pool_record(4), pool_record(6, False), 6, False),
    ],
    ids=["late deletion", "late creation", "same revision", "newer deletion"],
)
def test_object_never_reverts(first, second, revision, exists):
    replica = ConfigReplica()
    replica.apply(first)
    replica.apply(second)
    assert_that(replica.records["pool/a"].revision, Equals(revision))
    assert_that(replica.get("pool", "a") is not None, Is(exists))


def test_snapshot_deletes_absent_objects_except_newer_ones():
    replica = ConfigReplica()
    replica.apply(pool_record(3))
    replica.apply(Record("pool", "b", 9, Pool("b")))
    replica.apply_snapshot([], 5)
    assert_that([value.name for value in replica.all("pool")], Equals(["b"]))


def test_replica_without_old_tombstones_sends_all_objects():
    source, lagging = ConfigReplica(), ConfigReplica()
    lagging.apply(pool_record(3))
    lagging.advance(3)
    source.apply_snapshot([Record("pool", "b", 4, Pool("b"))], 7)
    records, full = source.changes_since(lagging.revision)
    assert_that(full, Is(True))
    lagging.apply_snapshot(records, source.revision)
    assert_that([value.name for value in lagging.all("pool")], Equals(["b"]))


@pytest.mark.parametrize("withdrawn", [True, False])
def test_withdrawn_key_is_not_found(withdrawn):
    replica = ConfigReplica()
    digest = digest_secret("secret")
    replica.apply(Record("key", "k", 1, AccessKey("k", "t", digest)))
    replica.apply(Record("key", "k", 2, AccessKey("k", "t", digest, withdrawn)))
    assert_that(replica.find_key(digest) is None, Is(withdrawn))


def test_record_round_trip():
    record = Record("pool", "a", 7, Pool("a", min_vms=2), "kai", "2026-01-01", "id")
    assert_that(decode_record("pool", "a", 7, encode_record(record)), Equals(record))


@pytest.mark.parametrize("value", [b"", b"{", b"[]", b'{"object": {"name": 1}}', b'{"object": 3}'])
def test_malformed_value_is_rejected(value):
    with pytest.raises(ConfigError):
        decode_record("pool", "a", 1, value)


@pytest.mark.parametrize("phase", list(VmPhase))
def test_vm_phase_round_trip(phase):
    record = Record("vm", "a", 7, Vm("a", "p", "192.0.2.1:80", "r", "d", phase=phase))
    assert_that(decode_record("vm", "a", 7, encode_record(record)), Equals(record))


@settings(max_examples=200, deadline=None, derandomize=True)
@given(data=st.data())
def test_configuration_never_reverts(data):
    """Delayed, duplicated and reordered updates, snapshots and transfers never lower a revision."""
    exists_by_name = {}
    history = []
    for revision in range(2, 12):
        name = data.draw(st.sampled_from("ab"))
        exists_by_name[name] = data.draw(st.booleans())
        value = Pool(name) if exists_by_name[name] else None
        history.append(Record("pool", name, revision, value))
    replicas = [ConfigReplica(), ConfigReplica()]
    for _ in range(30):
        replica, other = data.draw(st.permutations(replicas))
        before = {key: record.revision for key, record in replica.records.items()}
        action = data.draw(st.sampled_from(["update", "snapshot", "transfer"]))
        if action == "update":
            replica.apply(data.draw(st.sampled_from(history)))
        elif action == "snapshot":
            count = data.draw(st.integers(1, len(history)))
            newest = {record.key: record for record in history[:count]}
            present = [record for record in newest.values() if record.value is not None]
            replica.apply_snapshot(present, history[count - 1].revision)
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
            [r for r in {item.key: item for item in history}.values() if r.value is not None], 11
        )
        names = {value.name for value in replica.all("pool")}
        assert names == {name for name, exists in exists_by_name.items() if exists}
