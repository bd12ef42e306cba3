"""Synchronization of a daemon with the platform's store.

Watches the configuration and the view, renews the membership and writes new views.
"""

from __future__ import annotations

import json
import math
from collections.abc import Callable

import anyio
from absl import logging

from ..clock import Clock
from ..config import ConfigReplica
from ..config.replica import decode_record
from ..exception import ConfigError, PeerError, StoreError
from ..keyspace import Keyspace
from ..membership import (
    Member,
    Proposal,
    Proposer,
    ReportCollection,
    View,
    decode_view,
    encode_view,
    open_view,
)
from ..store import Compare, Delete, Put, Store

__all__ = ["StoreSync"]

RENEW_INTERVAL_SECONDS = 1.0
PROPOSE_INTERVAL_SECONDS = 0.25
MAX_WATCH_LAG_SECONDS = 0.5
INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0
COLLECT_RETRY_SECONDS = 0.1


class StoreSync:
    """Keeps a daemon's configuration, view and membership in sync with the store.

    :param store: the platform's store
    :param keyspace: names of the store's keys
    :param clock: the daemon's clock
    :param replica: replica of the configuration to keep up to date
    :param member: this daemon's membership state
    :param configured_limits: returns the configured limits, by resource
    :param request_report: requests a member's report for a collecting view
    :param on_config: called after the configuration has changed
    :param on_view: called after the view has changed
    """

    def __init__(
        self,
        store: Store,
        keyspace: Keyspace,
        clock: Clock,
        replica: ConfigReplica,
        member: Member,
        configured_limits: Callable[[], dict[str, int]],
        request_report: Callable,
        on_config: Callable[[], None],
        on_view: Callable[[], None],
    ):
        self.store = store
        self.keyspace = keyspace
        self.clock = clock
        self.replica = replica
        self.member = member
        self.proposer = Proposer(member)
        self.configured_limits = configured_limits
        self.request_report = request_report
        self.on_config = on_config
        self.on_view = on_view
        self.last_contact_at = -math.inf
        self.config_confirmed_at = -math.inf
        self.config_loaded = False
        self.may_join = True
        self.quarantine_seconds = 60.0
        self.record_seconds = 3600.0
        self.collecting_epoch = 0
        self.config_watch_scope = anyio.CancelScope()

    @property
    def available(self) -> bool:
        """Return whether the store answered recently."""
        return self.clock.now() - self.last_contact_at < 2 * RENEW_INTERVAL_SECONDS + 1.0

    def config_age(self) -> float:
        """Return the time since the configuration was known to be current, in seconds."""
        return self.clock.now() - self.config_confirmed_at

    async def run(self) -> None:
        """Synchronize until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._sync_config)
            tasks.start_soon(self._renew_periodically)
            tasks.start_soon(self._propose_views, tasks)
            tasks.start_soon(self._watch_view)

    # Configuration

    async def _sync_config(self) -> None:
        backoff = INITIAL_BACKOFF_SECONDS
        while True:
            try:
                with anyio.CancelScope() as self.config_watch_scope:
                    await self.load_config()
                    backoff = INITIAL_BACKOFF_SECONDS
                    await self._watch_config()
            except StoreError as error:
                logging.warning("store: cannot read or watch the configuration: %s", error)
            await anyio.sleep(backoff)
            backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)

    async def load_config(self) -> None:
        """Load the whole configuration, which confirms it as of the time when the read was sent.

        :raises StoreError: if the store does not answer
        """
        sent_at = self.clock.now()
        snapshot = await self.store.read(self.keyspace.config)
        records = []
        for entry in snapshot.entries:
            kind, name = self.keyspace.parse_config_key(entry.key)
            record = self._decode(kind, name, entry.revision, entry.value)
            if record is not None:
                records.append(record)
        self.replica.apply_snapshot(records, snapshot.revision)
        self._confirm_config(sent_at)
        self.config_loaded = True
        self.on_config()

    async def _watch_config(self) -> None:
        async for events in self.store.watch(self.keyspace.config, self.replica.revision):
            for event in events:
                kind, name = self.keyspace.parse_config_key(event.key)
                record = self._decode(kind, name, event.revision, event.value)
                if record is not None:
                    self.replica.apply(record)
                self.replica.advance(event.revision)
            self.on_config()

    def _decode(self, kind: str, name: str, revision: int, value: bytes | None):
        try:
            return decode_record(kind, name, revision, value)
        except ConfigError as error:
            logging.error("decision=config-skip reason=unreadable detail=%r", str(error))
            return None

    def _confirm_config(self, at: float) -> None:
        """Record that the replica includes all changes up to a local time."""
        self.config_confirmed_at = max(self.config_confirmed_at, at)

    async def _check_config_head(self, revision: int) -> None:
        """Reload the configuration if the watch does not deliver the change at a head revision.

        :param revision: store revision of the last configuration change
        """
        if revision <= self.replica.revision:
            self._confirm_config(self.last_contact_at)
            return
        await anyio.sleep(MAX_WATCH_LAG_SECONDS)
        if revision > self.replica.revision:
            logging.warning("store: the configuration watch missed a change; reloading")
            self.config_watch_scope.cancel()

    # Membership

    async def _renew_periodically(self) -> None:
        while True:
            started = self.clock.now()
            try:
                await self.renew()
                await self.probe()
            except StoreError as error:
                logging.warning("store: cannot renew the membership: %s", error)
            await anyio.sleep(max(0.05, RENEW_INTERVAL_SECONDS - (self.clock.now() - started)))

    async def renew(self, retry: bool = True) -> None:
        """Renew this member's key, provided that its view is still in force.

        :param retry: whether to retry once with the newest view
        :raises StoreError: if the store does not answer
        """
        member = self.member
        if not member.is_member or member.stopped:
            return
        sent_at, revision = self.clock.now(), member.view_revision
        result = await self.store.commit(
            [Compare(self.keyspace.view, revision)],
            [Put(self.keyspace.member_key(member.name), b"")],
        )
        self.last_contact_at = sent_at
        if result.ok:
            member.confirm_renewal(sent_at, revision)
        elif retry:
            await self.load_view()
            await self.renew(retry=False)

    async def probe(self) -> None:
        """Read the member, head and epoch keys, and reload what they show to be out of date.

        :raises StoreError: if the store does not answer
        """
        sent_at = self.clock.now()
        snapshot = await self.store.read(self.keyspace.live)
        self.last_contact_at = max(self.last_contact_at, sent_at)
        revisions, head_revision, epoch_revision = {}, 0, 0
        for entry in snapshot.entries:
            if entry.key == self.keyspace.head:
                head_revision = entry.revision
            elif entry.key == self.keyspace.epoch:
                epoch_revision = entry.revision
            elif entry.key.startswith(self.keyspace.members):
                revisions[entry.key.removeprefix(self.keyspace.members)] = entry.revision
        self.member.record_member_revisions(revisions)
        if epoch_revision > self.member.view_revision:
            await self.load_view()
        if self.config_loaded:
            await self._check_config_head(head_revision)

    async def load_view(self) -> None:
        """Load the view.

        :raises StoreError: if the store does not answer
        """
        snapshot = await self.store.read(self.keyspace.view)
        for entry in snapshot.entries:
            if entry.key == self.keyspace.view:
                self.apply_view(entry.value, entry.revision)

    def apply_view(self, value: bytes, revision: int) -> None:
        """Apply a view from the store or a peer.

        :param value: stored form of the view
        :param revision: store revision of the view
        """
        try:
            view = decode_view(value)
        except ConfigError as error:
            logging.error("store: cannot decode the view: %s", error)
            return
        if self.member.apply_view(view, revision):
            self.on_view()

    async def _watch_view(self) -> None:
        backoff = INITIAL_BACKOFF_SECONDS
        while True:
            try:
                await self.load_view()
                backoff = INITIAL_BACKOFF_SECONDS
                after = self.member.view_revision
                async for events in self.store.watch(self.keyspace.view, after):
                    for event in events:
                        if event.value is not None:
                            self.apply_view(event.value, event.revision)
            except StoreError as error:
                logging.warning("store: cannot read or watch the view: %s", error)
            await anyio.sleep(backoff)
            backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)

    async def _propose_views(self, tasks: anyio.abc.TaskGroup) -> None:
        while True:
            await anyio.sleep(PROPOSE_INTERVAL_SECONDS)
            if not self.config_loaded or not self.available:
                continue
            try:
                await self.update_view(tasks)
            except StoreError as error:
                logging.warning("store: cannot update the view: %s", error)

    async def update_view(self, tasks: anyio.abc.TaskGroup) -> None:
        """Write a new view if one is due, and collect reports if this member proposed the view.

        :raises StoreError: if the store does not answer
        """
        proposal = self.proposer.propose(self.configured_limits(), self.may_join)
        if proposal is not None:
            await self.write_view(proposal)
        collection = self.member.new_collection()
        if collection is not None and collection.view.epoch != self.collecting_epoch:
            self.collecting_epoch = collection.view.epoch
            tasks.start_soon(self._collect_reports, collection)

    async def write_view(self, proposal: Proposal) -> bool:
        """Write a proposed view unless the state it is based on has changed; return whether it was.

        :raises StoreError: if the store does not answer
        """
        keyspace = self.keyspace
        compares = [Compare(keyspace.view, proposal.view_revision)]
        compares += [
            Compare(keyspace.member_key(name), revision)
            for name, revision in proposal.member_revisions.items()
        ]
        head_revision = await self._read_applied_head()
        if head_revision is None:
            return False
        compares.append(Compare(keyspace.head, head_revision))
        return await self._commit_view(proposal.view, compares, proposal.reason)

    async def _read_applied_head(self) -> int | None:
        """Return the head revision if the configuration held here includes it, or None."""
        snapshot = await self.store.read(self.keyspace.head)
        head_revision = max((entry.revision for entry in snapshot.entries), default=0)
        return head_revision if head_revision <= self.replica.revision else None

    async def _commit_view(self, view: View, compares: list[Compare], reason: str) -> bool:
        keyspace = self.keyspace
        writes: list[Put | Delete] = [
            Put(keyspace.view, encode_view(view)),
            Put(keyspace.epoch, json.dumps(view.epoch).encode()),
        ]
        removed_members = {*view.lost, *view.left} - view.names
        writes += [Delete(keyspace.member_key(name)) for name in sorted(removed_members)]
        result = await self.store.commit(compares, writes)
        logging.info(
            "decision=propose epoch=%d state=%s members=%d lost=%s left=%s reason=%s written=%s",
            view.epoch,
            view.state,
            len(view.members),
            ",".join(view.lost) or "-",
            ",".join(view.left) or "-",
            reason,
            result.ok,
        )
        if result.ok and self.member.apply_view(view, result.revision):
            self.on_view()
        elif not result.ok:
            await self.load_view()
        return result.ok

    async def _collect_reports(self, collection: ReportCollection) -> None:
        """Collect the reports of all members of a view, then open the view."""
        async with anyio.create_task_group() as tasks:
            for info in collection.view.members:
                tasks.start_soon(self._collect_report, collection, info.member)
        if not collection.complete() or not self._is_current(collection):
            return
        view = open_view(
            collection.view, collection.reports, self.quarantine_seconds, self.record_seconds
        )
        try:
            compares = [Compare(self.keyspace.view, collection.view_revision)]
            await self._commit_view(view, compares, "all-reported")
        except StoreError as error:
            logging.warning("store: cannot open the view: %s", error)
            self.collecting_epoch = 0

    async def _collect_report(self, collection: ReportCollection, name: str) -> None:
        while self._is_current(collection):
            try:
                permits = await self.request_report(collection, name)
            except PeerError as error:
                logging.info("decision=collect member=%s reason=%s", name, error)
                permits = None
            if permits is not None:
                collection.reports[name] = permits
                return
            await anyio.sleep(COLLECT_RETRY_SECONDS)

    def _is_current(self, collection: ReportCollection) -> bool:
        return self.member.view_revision == collection.view_revision
