"""The settings file of a daemon on the platform."""

from __future__ import annotations

import pathlib
from typing import Any

import attrs

from ..address import Address
from ..exception import RecordError, SettingsError
from ..json_decoding import get_address, get_number, get_optional_address, get_str, parse_object
from ..ownership import Timing, compute_strength
from ..ownership.daemon import BatchSettings
from .config import MILLISECONDS

__all__ = ["SETTINGS_VARIABLE", "PlatformSettings", "read_settings", "read_timing"]

#: environment variable that contains the path of the settings file
SETTINGS_VARIABLE = "LIMPETPULLEY_CONFIG"
#: offset of the metrics port, which the deploy file names, from the first internal port, on which
#: daemons listen for each other
METRICS_PORT_OFFSET = 1


@attrs.frozen
class PlatformSettings:
    """Settings of the daemon and addresses of the platform's services.

    :param store_address: address of the store
    :param vms_address: address of the service that lists VMs and accepts orders for them, or None
    :param advice_address: address of the advice service, or None
    """

    daemon: BatchSettings
    store_address: Address
    vms_address: Address | None
    advice_address: Address | None


def read_settings(path: str) -> PlatformSettings:
    """Return the settings in a file.

    :raises SettingsError: if it cannot be read; the message states the reason in one line
    """
    try:
        return _decode_settings(parse_object(pathlib.Path(path).read_text()))
    except (OSError, RecordError, KeyError, TypeError, IndexError, ValueError) as error:
        raise SettingsError(f"{path}: {error!r}") from None


def read_timing(path: str) -> Timing:
    """Return the settings that a running daemon applies without a restart.

    :raises RecordError: if the file cannot be read
    """
    try:
        return read_settings(path).daemon.timing
    except SettingsError as error:
        raise RecordError(str(error)) from None


def _decode_settings(source: dict[str, Any]) -> PlatformSettings:
    listen, limits = source["listen"], source.get("limits") or {}
    # cpuShare is a fraction of all cores together.
    processors = get_number(limits, "cpuShare", 0) * get_number(limits, "cores", 1)
    daemon = BatchSettings(
        name=get_str(source, "nodeName"),
        data_centre=get_str(source, "zone"),
        host=get_str(source, "ip"),
        callers_port=get_address(listen, "frontend").port,
        readiness_port=get_address(listen, "readiness").port,
        peers_port=int(source["internalPorts"][0]),
        metrics_port=int(source["internalPorts"][0]) + METRICS_PORT_OFFSET,
        timing=_decode_timing(source["bounds"], source.get("cloud") or {}),
        strength=compute_strength(processors, get_number(limits, "linkMbps", 0)),
    )
    return PlatformSettings(
        daemon,
        store_address=get_address(source["platform"], "address"),
        vms_address=get_optional_address(source.get("cloud") or {}, "address"),
        advice_address=get_optional_address(source, "advice"),
    )


def _decode_timing(bounds: dict[str, Any], cloud: dict[str, Any]) -> Timing:
    return Timing(
        longest_hold=get_number(bounds, "holdMaxMs") / MILLISECONDS,
        stop=get_number(bounds, "stopMs") / MILLISECONDS,
        keep_ended=get_number(bounds, "status_s"),
        move=get_number(bounds, "moveS", 0),
        maintenance=get_number(bounds, "maintenanceS", 0),
        holder_lease=get_number(bounds, "leaseMs", 0) / MILLISECONDS,
        grace=get_number(bounds, "graceS"),
        config_limit=get_number(bounds, "configApplyMs", 2_000) / MILLISECONDS,
        vm_orders_per_second=get_number(cloud, "dutyPerS", Timing().vm_orders_per_second),
    )
