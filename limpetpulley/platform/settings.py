"""The settings file of a process on the platform."""

from __future__ import annotations

import pathlib
from typing import Any

import attrs

from ..exception import RecordError, SettingsError
from ..json_decoding import get_number, get_str, parse_object
from ..ownership import Timing, compute_strength
from ..ownership.daemon import BatchSettings
from .config import MILLISECONDS

__all__ = ["SETTINGS_VARIABLE", "PlatformSettings", "read_settings", "read_timing"]

#: environment variable with the path of the settings file
SETTINGS_VARIABLE = "LIMPETPULLEY_CONFIG"
#: the first of the ports between daemons is theirs; the next one, which the deploy file names,
#: serves the metrics
METRICS_OFFSET = 1


@attrs.frozen
class PlatformSettings:
    """What a process learns about itself and its surroundings.

    :param store_address: ``host:port`` of the store
    :param vms_address: ``host:port`` of the list of VMs and of the orders for them
    :param advice_address: ``host:port`` of the advice service, empty for none
    """

    daemon: BatchSettings
    store_address: str
    vms_address: str
    advice_address: str


def read_settings(path: str) -> PlatformSettings:
    """Return the settings of a file.

    :raises SettingsError: if it cannot be read, in one line that says what is wrong
    """
    try:
        return _decode(parse_object(pathlib.Path(path).read_text()))
    except (OSError, RecordError, KeyError, TypeError, IndexError, ValueError) as error:
        raise SettingsError(f"{path}: {error!r}") from None


def read_timing(path: str) -> Timing:
    """Return what a running daemon takes over from changed settings.

    :raises RecordError: if the file cannot be read
    """
    try:
        return read_settings(path).daemon.timing
    except SettingsError as error:
        raise RecordError(str(error)) from None


def _decode(source: dict[str, Any]) -> PlatformSettings:
    listen, limits = source["listen"], source.get("limits") or {}
    # The share is of a processor that is as many times as fast as there are cores.
    processors = get_number(limits, "cpuShare", 0) * get_number(limits, "cores", 1)
    daemon = BatchSettings(
        name=get_str(source, "nodeName"),
        data_centre=get_str(source, "zone"),
        host=get_str(source, "ip"),
        callers_port=_port(get_str(listen, "frontend")),
        readiness_port=_port(get_str(listen, "readiness")),
        peers_port=int(source["internalPorts"][0]),
        metrics_port=int(source["internalPorts"][0]) + METRICS_OFFSET,
        timing=_timing(source["bounds"], source.get("cloud") or {}),
        strength=compute_strength(processors, get_number(limits, "linkMbps", 0)),
    )
    return PlatformSettings(
        daemon,
        store_address=get_str(source["platform"], "address"),
        vms_address=get_str(source.get("cloud") or {}, "address", ""),
        advice_address=source.get("advice") or "",
    )


def _timing(bounds: dict[str, Any], cloud: dict[str, Any]) -> Timing:
    return Timing(
        longest_hold=get_number(bounds, "holdMaxMs") / MILLISECONDS,
        stop=get_number(bounds, "stopMs") / MILLISECONDS,
        keep_ended=get_number(bounds, "status_s"),
        move=get_number(bounds, "moveS", 0),
        maintenance=get_number(bounds, "maintenanceS", 0),
        holder_lease=get_number(bounds, "leaseMs", 0) / MILLISECONDS,
        grace=get_number(bounds, "graceS"),
        vm_orders_per_second=get_number(cloud, "dutyPerS", Timing().vm_orders_per_second),
    )


def _port(address: str) -> int:
    return int(address.rpartition(":")[2])
