"""Names of the keys in the platform's store."""

from __future__ import annotations

import attrs

__all__ = ["Keyspace"]


@attrs.frozen
class Keyspace:
    """The keys under one prefix.

    :param prefix: common prefix of all keys; starts and ends with ``/``

    >>> Keyspace("/lp/").config_key("team", "desk")
    '/lp/config/team/desk'
    """

    prefix: str

    @property
    def config(self) -> str:
        """Prefix of the keys of configuration objects."""
        return self.prefix + "config/"

    @property
    def view(self) -> str:
        """Key of the membership view."""
        return self.prefix + "view"

    @property
    def live(self) -> str:
        """Prefix of the small keys that every daemon polls."""
        return self.prefix + "live/"

    @property
    def head(self) -> str:
        """Key that every change of the configuration writes."""
        return self.prefix + "live/head"

    @property
    def epoch(self) -> str:
        """Key that every change of the membership view writes."""
        return self.prefix + "live/epoch"

    @property
    def members(self) -> str:
        """Prefix of the keys that members renew."""
        return self.prefix + "live/member/"

    @property
    def planner(self) -> str:
        """Key of the lease that the active planner holds."""
        return self.prefix + "live/planner"

    def config_key(self, kind: str, name: str) -> str:
        """Return the key of a configuration object."""
        return f"{self.config}{kind}/{name}"

    def parse_config_key(self, key: str) -> tuple[str, str]:
        """Return the kind and name of the configuration object that a key stands for."""
        kind, _, name = key.removeprefix(self.config).partition("/")
        return kind, name

    def member_key(self, member: str) -> str:
        """Return the key that a member renews."""
        return self.members + member
