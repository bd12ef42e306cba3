"""The waves of maintenance that an operator has ordered, and how they are told about."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from ..fleet.vms import WaveOrder

__all__ = ["WaveRegistry"]


@attrs.define
class WaveRegistry:
    """The waves that the operator has ordered, and what is told of them.

    :param waves: ordered waves by name
    :param state_key: returns the key under which a wave's state is told
    :param encode_state: returns the value that tells whether a wave is completed
    """

    state_key: Callable[[str], str]
    encode_state: Callable[[str, bool], bytes]
    waves: dict[str, WaveOrder] = attrs.field(factory=dict)
