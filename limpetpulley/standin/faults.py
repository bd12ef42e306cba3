"""Faults of the platform's store that can be switched on."""

from __future__ import annotations

import attrs

from ..exception import ConfigError

__all__ = ["Faults"]


@attrs.define
class Faults:
    """What goes wrong now.

    :param outage: whether no call is answered
    :param slow_seconds: added to each call
    :param lose_answers: how many of the next writes take effect without an answer
    :param silent_watch: whether watches bring nothing
    :param list_lag_seconds: how old the list of VMs and the usage report are
    """

    outage: bool = False
    slow_seconds: float = 0.0
    lose_answers: int = 0
    silent_watch: bool = False
    list_lag_seconds: float = 0.0

    def change(self, values: dict) -> None:
        """Set some faults.

        :raises ConfigError: if a name or value is not allowed
        """
        for name, value in values.items():
            if name not in attrs.fields_dict(Faults):
                raise ConfigError(f"no such fault: {name}")
            wanted = type(getattr(self, name))
            if not isinstance(value, (int, float)) or (wanted is bool) != isinstance(value, bool):
                raise ConfigError(f"fault {name}: {value!r} is not a {wanted.__name__}")
            setattr(self, name, wanted(value))
