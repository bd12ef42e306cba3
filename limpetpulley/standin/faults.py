"""Faults that can be injected into the emulated store and platform."""

from __future__ import annotations

import attrs

from ..exception import ConfigError

__all__ = ["Faults"]


@attrs.define
class Faults:
    """The faults that are currently injected.

    :param outage: whether the store answers no call
    :param slow_seconds: delay that is added to each store call, in seconds
    :param lose_answers: number of coming writes that take effect but are not answered
    :param late_write_share: share of the writes that are carried out late and not answered
    :param late_write_seconds: longest delay of such a write, in seconds; the shortest is 1 s
    :param silent_watch: whether watches deliver no events
    :param dead_watches: whether watches that miss an event during an outage stay silent after it
    :param list_lag_seconds: age of the list of VMs that the platform returns, in seconds
    """

    outage: bool = False
    slow_seconds: float = 0.0
    lose_answers: int = 0
    late_write_share: float = 0.0
    late_write_seconds: float = 6.0
    silent_watch: bool = False
    dead_watches: bool = False
    list_lag_seconds: float = 0.0

    def change(self, values: dict) -> None:
        """Set faults by name; the others stay as they are.

        :raises ConfigError: if no fault has that name, or if a value has the wrong type
        """
        for name, value in values.items():
            if name not in attrs.fields_dict(Faults):
                raise ConfigError(f"unknown fault: {name}")
            expected = type(getattr(self, name))
            if not isinstance(value, (int, float)) or (expected is bool) != isinstance(value, bool):
                raise ConfigError(f"fault {name}: expected {expected.__name__}, got {value!r}")
            setattr(self, name, expected(value))
