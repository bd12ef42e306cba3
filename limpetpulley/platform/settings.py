"""The settings file of a process on the platform."""

from __future__ import annotations

import pathlib
from typing import Any

import attrs

from ..exception import RecordError, SettingsError
from ..ownership import Timing
from ..reading import load, number, text, whole

__all__ = ["PlatformSettings", "SETTINGS_VARIABLE", "read_settings"]

#: environment variable with the path of the settings file
SETTINGS_VARIABLE = "LIMPETPULLEY_CONFIG"
MILLISECONDS = 1000.0


@attrs.frozen
class PlatformSettings:
    """What a process learns about itself and its surroundings.

    :param host: IP number to listen on
    :param callers_port: port for callers
    :param readiness_port: port where the platform asks whether callers can be served
    :param peers_port: port for other daemons
    :param store_address: ``host:port`` of the store
    :param vms_address: ``host:port`` of the list of VMs and of the orders for them
    :param advice_address: ``host:port`` of the advice service, empty for none
    :param shortest_lease_seconds: shortest lease that the store grants
    """

    name: str
    data_centre: str
    host: str
    callers_port: int
    readiness_port: int
    peers_port: int
    store_address: str
    vms_address: str
    advice_address: str
    shortest_lease_seconds: float
    timing: Timing


def read_settings(path: str) -> PlatformSettings:
    """Return the settings of a file.

    :raises SettingsError: if it cannot be read, in one line that says what is wrong
    """
    try:
        return _decode(load(pathlib.Path(path).read_text()))
    except (OSError, RecordError, KeyError, TypeError, IndexError, ValueError) as error:
        raise SettingsError(f"{path}: {error!r}") from None


def _decode(source: dict[str, Any]) -> PlatformSettings:
    listen, bounds, store = source["listen"], source["bounds"], source["platform"]
    return PlatformSettings(
        name=text(source, "nodeName"),
        data_centre=text(source, "zone"),
        host=text(source, "ip"),
        callers_port=_port(text(listen, "frontend")),
        readiness_port=_port(text(listen, "readiness")),
        peers_port=int(source["internalPorts"][0]),
        store_address=text(store, "address"),
        vms_address=text(source.get("cloud") or {}, "address", ""),
        advice_address=source.get("advice") or "",
        shortest_lease_seconds=whole(store, "ttlMinMs", 0) / MILLISECONDS,
        timing=Timing(
            longest_hold=number(bounds, "holdMaxMs") / MILLISECONDS,
            stop=number(bounds, "stopMs") / MILLISECONDS,
            gang=number(bounds, "gangTimeoutMs") / MILLISECONDS,
            keep_ended=number(bounds, "status_s"),
            move=number(bounds, "moveS", 0),
            maintenance=number(bounds, "maintenanceS", 0),
            holder_lease=number(bounds, "leaseMs", 0) / MILLISECONDS,
            grace=number(bounds, "graceS"),
        ),
    )


def _port(address: str) -> int:
    return int(address.rpartition(":")[2])
