"""What one daemon does at the platform's store: watch, renew, read and write the view."""

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

__all__ = ["StoreLink"]

RENEW_SECONDS = 1.0
PROPOSE_SECONDS = 0.25
WATCH_LAG_SECONDS = 0.5
FIRST_BACKOFF_SECONDS = 0.1
LONGEST_BACKOFF_SECONDS = 2.0
COLLECT_RETRY_SECONDS = 0.1


class StoreLink:
    """Keeps one daemon and the store in step.

    :param store: the platform's store
    :param keyspace: its keys
    :param clock: the daemon's clock
    :param replica: configuration to keep up to date
    :param member: this daemon's part in the membership
    :param limits: limits that the configuration calls for, by resource
    :param collect: asks a member for its report
    :param on_config: called after the configuration changed
    :param on_view: called after the view changed
    """

    def __init__(
        self,
        store: Store,
        keyspace: Keyspace,
        clock: Clock,
        replica: ConfigReplica,
        member: Member,
        limits: Callable[[], dict[str, int]],
        collect: Callable,
        on_config: Callable[[], None],
        on_view: Callable[[], None],
    ):
        self.store = store
        self.keyspace = keyspace
        self.clock = clock
        self.replica = replica
        self.member = member
        self.proposer = Proposer(member)
        self.limits = limits
        self.collect = collect
        self.on_config = on_config
        self.on_view = on_view
        self.heard_at = -math.inf
        self.confirmed_at = -math.inf
        self.config_loaded = False
        self.joinable = True
        self.quarantine_seconds = 60.0
        self.record_seconds = 3600.0
        self.collecting_epoch = 0
        self.stop_watch = anyio.CancelScope()

    @property
    def available(self) -> bool:
        """Return whether the store answered lately."""
        return self.clock.now() - self.heard_at < 2 * RENEW_SECONDS + 1.0

    async def run(self) -> None:
        """Do everything until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._keep_config)
            tasks.start_soon(self._keep_renewed)
            tasks.start_soon(self._keep_view, tasks)
            tasks.start_soon(self._watch_view)

    # Configuration

    async def _keep_config(self) -> None:
        backoff = FIRST_BACKOFF_SECONDS
        while True:
            try:
                with anyio.CancelScope() as self.stop_watch:
                    await self.load_config()
                    backoff = FIRST_BACKOFF_SECONDS
                    await self._watch_config()
            except StoreError as error:
                logging.warning("store: configuration: %s", error)
            await anyio.sleep(backoff)
            backoff = min(2 * backoff, LONGEST_BACKOFF_SECONDS)

    async def load_config(self) -> None:
        """Read the whole configuration.

        :raises StoreError: if the store does not answer
        """
        snapshot = await self.store.read(self.keyspace.config)
        records = []
        for entry in snapshot.entries:
            kind, name = self.keyspace.parse_config_key(entry.key)
            record = self._decode(kind, name, entry.revision, entry.value)
            if record is not None:
                records.append(record)
        self.replica.apply_snapshot(records, snapshot.revision)
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

    async def _check_head(self, revision: int) -> None:
        """Read the configuration anew if the watch does not bring a change that was made."""
        if revision <= self.replica.revision:
            self.confirmed_at = self.heard_at
            return
        await anyio.sleep(WATCH_LAG_SECONDS)
        if revision > self.replica.revision:
            logging.warning("store: the watch is silent; reading again")
            self.stop_watch.cancel()

    # Membership

    async def _keep_renewed(self) -> None:
        while True:
            started = self.clock.now()
            try:
                await self.renew()
                await self.probe()
            except StoreError as error:
                logging.warning("store: renewal: %s", error)
            await anyio.sleep(max(0.05, RENEW_SECONDS - (self.clock.now() - started)))

    async def renew(self, again: bool = True) -> None:
        """Renew this member's key if the view that it knows is still in force.

        :param again: whether to try once more with the newest view
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
        self.heard_at = sent_at
        if result.ok:
            member.confirm_renewal(sent_at, revision)
        elif again:
            await self.load_view()
            await self.renew(again=False)

    async def probe(self) -> None:
        """Read the small keys, and what they show to be out of date.

        :raises StoreError: if the store does not answer
        """
        sent_at = self.clock.now()
        snapshot = await self.store.read(self.keyspace.live)
        self.heard_at = max(self.heard_at, sent_at)
        revisions, head, epoch = {}, 0, 0
        for entry in snapshot.entries:
            if entry.key == self.keyspace.head:
                head = entry.revision
            elif entry.key == self.keyspace.epoch:
                epoch = entry.revision
            elif entry.key.startswith(self.keyspace.members):
                revisions[entry.key.removeprefix(self.keyspace.members)] = entry.revision
        self.member.record_member_revisions(revisions)
        if epoch > self.member.view_revision:
            await self.load_view()
        if self.config_loaded:
            await self._check_head(head)

    async def load_view(self) -> None:
        """Read the view.

        :raises StoreError: if the store does not answer
        """
        snapshot = await self.store.read(self.keyspace.view)
        for entry in snapshot.entries:
            if entry.key == self.keyspace.view:
                self.apply_view(entry.value, entry.revision)

    def apply_view(self, value: bytes, revision: int) -> None:
        """Take a view as the store or a peer gave it."""
        try:
            view = decode_view(value)
        except ConfigError as error:
            logging.error("store: %s", error)
            return
        if self.member.apply_view(view, revision):
            self.on_view()

    async def _watch_view(self) -> None:
        backoff = FIRST_BACKOFF_SECONDS
        while True:
            try:
                await self.load_view()
                backoff = FIRST_BACKOFF_SECONDS
                after = self.member.view_revision
                async for events in self.store.watch(self.keyspace.view, after):
                    for event in events:
                        if event.value is not None:
                            self.apply_view(event.value, event.revision)
            except StoreError as error:
                logging.warning("store: view: %s", error)
            await anyio.sleep(backoff)
            backoff = min(2 * backoff, LONGEST_BACKOFF_SECONDS)

    async def _keep_view(self, tasks: anyio.abc.TaskGroup) -> None:
        while True:
            await anyio.sleep(PROPOSE_SECONDS)
            if not self.config_loaded or not self.available:
                continue
            try:
                await self.step(tasks)
            except StoreError as error:
                logging.warning("store: view: %s", error)

    async def step(self, tasks: anyio.abc.TaskGroup) -> None:
        """Write the view that is due, and collect reports if it is this member's turn.

        :raises StoreError: if the store does not answer
        """
        proposal = self.proposer.propose(self.limits(), self.joinable)
        if proposal is not None:
            await self.write(proposal)
        collecting = self.member.new_collection()
        if collecting is not None and collecting.view.epoch != self.collecting_epoch:
            self.collecting_epoch = collecting.view.epoch
            tasks.start_soon(self._collect_reports, collecting)

    async def write(self, proposal: Proposal) -> bool:
        """Write a view if nothing that it follows from has changed; return whether it was.

        :raises StoreError: if the store does not answer
        """
        keyspace = self.keyspace
        compares = [Compare(keyspace.view, proposal.view_revision)]
        compares += [
            Compare(keyspace.member_key(name), revision)
            for name, revision in proposal.member_revisions.items()
        ]
        head = await self._known_head()
        if head is None:
            return False
        compares.append(Compare(keyspace.head, head))
        return await self._commit_view(proposal.view, compares, proposal.reason)

    async def _known_head(self) -> int | None:
        """Return the head's revision if the configuration held here includes it."""
        snapshot = await self.store.read(self.keyspace.head)
        head = max((entry.revision for entry in snapshot.entries), default=0)
        return head if head <= self.replica.revision else None

    async def _commit_view(self, view: View, compares: list[Compare], reason: str) -> bool:
        keyspace = self.keyspace
        writes: list[Put | Delete] = [
            Put(keyspace.view, encode_view(view)),
            Put(keyspace.epoch, json.dumps(view.epoch).encode()),
        ]
        gone = {*view.lost, *view.left} - view.names
        writes += [Delete(keyspace.member_key(name)) for name in sorted(gone)]
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

    async def _collect_reports(self, collecting: ReportCollection) -> None:
        """Ask each member that stays for its report, then open the view."""
        async with anyio.create_task_group() as tasks:
            for info in collecting.view.members:
                tasks.start_soon(self._collect_one, collecting, info.member)
        if not collecting.complete() or not self._still_collecting(collecting):
            return
        view = open_view(
            collecting.view, collecting.reports, self.quarantine_seconds, self.record_seconds
        )
        try:
            compares = [Compare(self.keyspace.view, collecting.view_revision)]
            await self._commit_view(view, compares, "all-reported")
        except StoreError as error:
            logging.warning("store: opening the view: %s", error)
            self.collecting_epoch = 0

    async def _collect_one(self, collecting: ReportCollection, name: str) -> None:
        while self._still_collecting(collecting):
            try:
                held = await self.collect(collecting, name)
            except PeerError as error:
                logging.info("decision=collect member=%s reason=%s", name, error)
                held = None
            if held is not None:
                collecting.reports[name] = held
                return
            await anyio.sleep(COLLECT_RETRY_SECONDS)

    def _still_collecting(self, collecting: ReportCollection) -> bool:
        return self.member.view_revision == collecting.view_revision
