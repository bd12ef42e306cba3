"""Keys that the project uses in the platform's store."""

from __future__ import annotations

import attrs

__all__ = ["Keyspace"]


@attrs.frozen
class Keyspace:
    """Names of keys under one prefix.

    :param prefix: starts and ends with ``/``

    >>> Keyspace("/lp/").config_key("team", "desk")
    '/lp/config/team/desk'
    """

    prefix: str

    @property
    def config(self) -> str:
        """Prefix of the configuration objects."""
        return self.prefix + "config/"

    @property
    def view(self) -> str:
        """Key of the view."""
        return self.prefix + "view"

    @property
    def live(self) -> str:
        """Prefix of the small keys that every daemon reads regularly."""
        return self.prefix + "live/"

    @property
    def head(self) -> str:
        """Key that is written with every change of the configuration."""
        return self.prefix + "live/head"

    @property
    def epoch(self) -> str:
        """Key that is written with every change of the view."""
        return self.prefix + "live/epoch"

    @property
    def members(self) -> str:
        """Prefix of the members' keys."""
        return self.prefix + "live/member/"

    @property
    def planner(self) -> str:
        """Key of the planner's lease."""
        return self.prefix + "live/planner"

    def config_key(self, kind: str, name: str) -> str:
        """Return the key of a configuration object."""
        return f"{self.config}{kind}/{name}"

    def parse_config_key(self, key: str) -> tuple[str, str]:
        """Return the kind and name of the object under a key."""
        kind, _, name = key.removeprefix(self.config).partition("/")
        return kind, name

    def member_key(self, member: str) -> str:
        """Return the key that a member renews."""
        return self.members + member
