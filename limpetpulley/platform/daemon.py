"""The daemon on the platform: reads the settings file and assembles the adapter."""

from __future__ import annotations

import os
import sys
from functools import partial

import anyio

from ..api.batches import BatchesApp
from ..exception import SettingsError
from ..fleet.vms import UnsupportedVmPlatform
from ..http_client import PooledHttpClient
from ..ownership import BatchNode, WaveRegistry
from ..ownership.daemon import DaemonDependencies, run_daemon
from ..store import StoreContact, Transfers
from .advice import PlatformAdviser
from .callers import platform_dialect
from .config import CONFIG_KEY, OPERATOR_PREFIX, decode_config
from .settings import SETTINGS_VARIABLE, PlatformSettings, read_settings, read_timing
from .store import PlatformStore
from .vms import WAVE_PREFIX, PlatformVms, decode_wave, encode_wave_state, wave_state_key
from .workers import SERVERS_PREFIX, PlatformOrderSender, decode_worker

__all__ = ["main"]

EXIT_USAGE = 2


def build_dependencies(path: str, settings: PlatformSettings) -> DaemonDependencies:
    """Return the platform's implementations of the daemon's dependencies."""
    http = PooledHttpClient()
    vms_address, advice_address = settings.vms_address, settings.advice_address
    wave_registry = WaveRegistry(wave_state_key, encode_wave_state)
    contact = StoreContact()
    return DaemonDependencies(
        PlatformStore(Transfers(http, settings.store_address, contact)),
        contact,
        PlatformOrderSender(http),
        PlatformVms(http, vms_address) if vms_address else UnsupportedVmPlatform(),
        PlatformAdviser(http, advice_address) if advice_address else None,
        wave_registry,
        OPERATOR_PREFIX,
        SERVERS_PREFIX,
        partial(apply_operator_entry, wave_registry),
        decode_worker,
        partial(BatchesApp, dialect=platform_dialect()),
        partial(read_timing, path),
    )


def apply_operator_entry(registry: WaveRegistry, node: BatchNode, key: str, value: bytes) -> None:
    """Apply an entry that the operator has written to the store.

    :raises RecordError: if it cannot be read
    """
    if key == CONFIG_KEY:
        node.apply_config(decode_config(value))
    elif key.startswith(WAVE_PREFIX):
        wave = decode_wave(key, value)
        registry.waves[wave.name] = wave


def main() -> None:
    """Run the daemon on the platform."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        settings = read_settings(path)
    except SettingsError as error:
        print(f"limpetpulley: {SETTINGS_VARIABLE}: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    anyio.run(run_daemon, settings.daemon, build_dependencies(path, settings))
