"""A daemon's mirror of the entries that the operator writes to the store."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from ..exception import RecordError
from ..store import Event, Mirror, Store
from ..tasks import keep_running
from .failures import describe_error, log_untaken
from .freshness import MirrorFreshness, round_age
from .node import BatchNode
from .relay_follower import RelayFollower

__all__ = ["OperatorEntries", "latest_events"]


class OperatorEntries:
    """Mirrors the operator's entries, the configuration among them, and applies them to a node.

    :param prefix: key prefix of the entries
    :param apply_entry: applies the key and value of an entry to the node; raises
        :class:`~limpetpulley.exception.RecordError` if the entry is invalid
    """

    def __init__(
        self,
        store: Store,
        prefix: str,
        apply_entry: Callable[[BatchNode, str, bytes], None],
        node: BatchNode,
    ):
        self.node = node
        self.apply_entry = apply_entry
        self.log = node.context.log
        self.mirror = Mirror(
            store,
            prefix,
            node.context.clock,
            self._apply_events,
            self._on_connection_change,
            contact=node.context.store_contact,
            on_watch_ended=partial(node.context.log_watch_ended, prefix),
            on_untaken=partial(log_untaken, self.log),
        )
        node.mirrors[prefix] = self.mirror
        fallback = node.mirror_fallback
        self.freshness = MirrorFreshness(
            self.mirror,
            lambda: node.context.timing.config_limit,
            fallback.update,
            self.log,
            fallback.is_outage_shared,
        )
        self.mirror.upstream = RelayFollower(
            node.context,
            node.member,
            node.directory,
            node.entry_client,
            self.freshness.followed_age,
        )
        node.context.freshness = self.freshness

    def start(self) -> None:
        """Start to mirror the entries and to keep the mirror fresh."""
        for loop in (self.mirror.run, self.freshness.run):
            self.node.context.tasks.start_soon(keep_running, loop, self.log)

    def _apply_events(self, events: list[Event]) -> None:
        for event in latest_events(events):
            if event.value is None:
                continue
            try:
                self.apply_entry(self.node, event.key, event.value)
            except RecordError as error:
                self.log.write(
                    "operator-unreadable",
                    key=event.key,
                    revision=event.revision,
                    reason=str(error),
                )
            except Exception as error:
                self.log.write(
                    "operator-unreadable",
                    key=event.key,
                    revision=event.revision,
                    **describe_error(error),
                )

    def _on_connection_change(self, reason: str) -> None:
        self.log.write(
            "config-away" if reason else "config-back",
            reason=reason,
            age=round_age(self.mirror.age()),
        )


def latest_events(events: list[Event]) -> list[Event]:
    """Return the latest change of each entry, in the order of their revisions."""
    latest: dict[str, Event] = {}
    for event in events:
        latest.pop(event.key, None)
        latest[event.key] = event
    return list(latest.values())
