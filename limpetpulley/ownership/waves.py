"""The maintenance waves that an operator has ordered, and how their state is published."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from ..fleet.vms import WaveOrder

__all__ = ["WaveRegistry"]


@attrs.define
class WaveRegistry:
    """The maintenance waves that the operator has ordered, and how their state is published.

    :param waves: ordered waves by name
    :param state_key: returns the key under which a wave's state is stored for the operator
    :param encode_state: returns the stored value for a wave and whether it is completed
    """

    state_key: Callable[[str], str]
    encode_state: Callable[[str, bool], bytes]
    waves: dict[str, WaveOrder] = attrs.field(factory=dict)
