"""Command line of the daemon."""

from __future__ import annotations

import os
import signal
import sys
from typing import Any

import anyio
import attrs
import cappa
from absl import logging

from .. import __version__
from ..exception import LimpetpulleyError, SettingsError, leaf_exceptions
from ..settings import Settings, load_settings
from ..settings.daemon import environment_variable, flag_name
from ..store.etcd import EtcdStore
from ..telemetry import BatchMetrics, EventLog
from ..vms import HttpPlatform
from .server import Daemon

__all__ = ["main", "run_daemon"]

OPTIONAL_STR: Any = str | None
EXIT_USAGE = 2
EXIT_FAILURE = 1


def make_flags() -> type:
    """Return the command line class, with one text flag for each setting."""
    fields = {
        field.name: attrs.field(
            default=None,
            type=OPTIONAL_STR,
            metadata={
                "cappa": cappa.Arg(
                    long=flag_name(field.name),
                    help=f"{field.metadata['help']} (or {environment_variable(field.name)})",
                )
            },
        )
        for field in attrs.fields(Settings)
    }
    flags_class = attrs.make_class("Flags", fields)
    return cappa.command(name="limpetpulleyd", help="The limpetpulley daemon.")(flags_class)


def read_settings(argv: list[str]) -> Settings:
    """Return the settings, or print a one-line error and exit.

    :param argv: command line arguments without the program's name
    """
    flags: Any = cappa.parse(make_flags(), argv=argv, version=__version__)
    try:
        return load_settings(attrs.asdict(flags), os.environ)
    except SettingsError as error:
        print(f"limpetpulleyd: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)


async def run_daemon(settings: Settings) -> None:
    """Run a daemon until SIGTERM or SIGINT, then stop gracefully."""
    store = EtcdStore(settings.store_url)
    platform = HttpPlatform(settings.platform_url)
    async with anyio.create_task_group() as tasks:
        metrics = BatchMetrics()
        log = EventLog(settings.name, on_event=metrics.count_event)
        daemon = Daemon(settings, store, platform, platform, tasks, log, metrics)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            await daemon.start()
            async for _ in signals:
                break
            await daemon.stop()
        tasks.cancel_scope.cancel()
    await store.aclose()
    await platform.aclose()


def main() -> None:
    """Run the daemon."""
    settings = read_settings(sys.argv[1:])
    logging.use_absl_handler()
    logging.set_verbosity(getattr(logging, settings.log_level.upper()))
    try:
        anyio.run(run_daemon, settings)
    except* (OSError, LimpetpulleyError) as group:
        for error in leaf_exceptions(group):
            print(f"limpetpulleyd: {error}", file=sys.stderr)
        sys.exit(EXIT_FAILURE)
