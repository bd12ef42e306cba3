"""Settings of the daemon: one checked class, filled from flags and the environment."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from typing import Any

import attrs

from ..exception import SettingsError

__all__ = ["Settings", "environment_variable", "flag_name", "load_settings"]

ENVIRONMENT_PREFIX = "LIMPETPULLEY_"
MAX_PORT = 65535


def _number(low: float, high: float, unit: str = "") -> Callable[[str], float]:
    def parse(text: str) -> float:
        value = float(text)
        if not low <= value <= high:
            raise ValueError
        return value

    parse.__doc__ = f"a number from {low:g} to {high:g}{' ' + unit if unit else ''}"
    return parse


def _whole(low: int, high: int, unit: str = "") -> Callable[[str], int]:
    def parse(text: str) -> int:
        value = int(text)
        if not low <= value <= high:
            raise ValueError
        return value

    parse.__doc__ = f"a whole number from {low} to {high}{' ' + unit if unit else ''}"
    return parse


def _matching(pattern: str, description: str) -> Callable[[str], str]:
    def parse(text: str) -> str:
        if not re.fullmatch(pattern, text):
            raise ValueError
        return text

    parse.__doc__ = description
    return parse


def _parse_addresses(text: str) -> tuple[str, ...]:
    """host:port addresses, separated by commas"""  # noqa: D400
    found = tuple(part.strip() for part in text.split(",") if part.strip())
    for address in found:
        if not re.fullmatch(r"[^\s:,]+:\d{1,5}", address):
            raise ValueError
    return found


_name = _matching(r"[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?", "a name of lower-case letters and digits")
_url = _matching(r"https?://[^\s/]+/?", "an address such as http://192.0.2.1:2379")
_port = _whole(0, MAX_PORT)
_host = _matching(r"[A-Za-z0-9.:-]+", "an IP number or host name")


def _setting(help_text: str, parse: Callable[[str], Any], **kwargs: Any) -> Any:
    return attrs.field(metadata={"help": help_text, "parse": parse}, kw_only=True, **kwargs)


@attrs.frozen
class Settings:
    """Settings of one daemon.

    Every field is a flag (``--data-centre``) and an environment variable
    (``LIMPETPULLEY_DATA_CENTRE``); a flag goes before the variable.
    """

    name: str = _setting("unique name of this daemon", _name)
    data_centre: str = _setting("data centre that it runs in", _name)
    host: str = _setting("address to listen on and to tell peers", _host, default="127.0.0.1")
    callers_port: int = _setting("port for callers", _port, default=8400)
    operators_port: int = _setting("port for operators", _port, default=8401)
    peers_port: int = _setting("port for other daemons", _port, default=8402)
    peers: tuple[str, ...] = _setting(
        "peer addresses of some daemons, to start during an outage of the store",
        _parse_addresses,
        default=(),
    )
    peer_address: str = _setting(
        "host:port to tell other daemons; empty for host and peers-port",
        _matching(r"([^\s:]+:\d{1,5})?", "host:port, or empty"),
        default="",
    )
    store_url: str = _setting("the platform's store", _url, default="http://127.0.0.1:2379")
    platform_url: str = _setting(
        "the platform's list of VMs and controls", _url, default="http://127.0.0.1:2380"
    )
    workers_address: str = _setting(
        "host:port of the list of VMs of pools for jobs of steps; empty for none",
        _matching(r"([^\s:]+:\d{1,5})?", "host:port, or empty"),
        default="",
    )
    prefix: str = _setting(
        "prefix of all keys in the store",
        _matching(r"/[A-Za-z0-9/_-]*/", "a path that starts and ends with '/'"),
        default="/limpetpulley/",
    )
    operator_key: str = _setting(
        "secret that operators must show; empty for none",
        _matching(r"[!-~]{0,200}", "printable characters without spaces"),
        default="",
    )
    statsd: str = _setting(
        "host:port of the statsd server; empty for none",
        _matching(r"([^\s:]+:\d{1,5})?", "host:port, or empty"),
        default="",
    )
    stop_seconds: float = _setting(
        "longest graceful shutdown, in seconds", _number(0.1, 3600, "seconds"), default=60.0
    )
    max_body_bytes: int = _setting(
        "largest request body, in bytes", _whole(1, 1 << 30, "bytes"), default=8 << 20
    )
    max_connections: int = _setting("most connections of callers", _whole(1, 100_000), default=4096)
    validity_seconds: float = _setting(
        "time a member may start jobs after it was last confirmed, in seconds",
        _number(0.2, 60, "seconds"),
        default=4.0,
    )
    freshness_seconds: float = _setting(
        "time after which unconfirmed configuration refuses jobs, in seconds",
        _number(0.5, 60, "seconds"),
        default=8.0,
    )
    vm_list_lag_seconds: float = _setting(
        "longest lag of the platform's list, in seconds", _number(0, 600, "seconds"), default=10.0
    )
    log_level: str = _setting(
        "least serious level to log",
        _matching(r"debug|info|warning|error", "one of debug, info, warning, error"),
        default="info",
    )


def flag_name(field: str) -> str:
    """Return the flag of a field.

    >>> flag_name("data_centre")
    '--data-centre'
    """
    return "--" + field.replace("_", "-")


def environment_variable(field: str) -> str:
    """Return the environment variable of a field.

    >>> environment_variable("data_centre")
    'LIMPETPULLEY_DATA_CENTRE'
    """
    return ENVIRONMENT_PREFIX + field.upper()


def load_settings(flags: Mapping[str, str | None], environment: Mapping[str, str]) -> Settings:
    """Return the settings that flags and the environment give.

    :param flags: text of the flags that were given, by field
    :param environment: environment variables
    :raises SettingsError: in one line that names the flag, the value and what is allowed
    """
    values: dict[str, Any] = {}
    for field in attrs.fields(Settings):
        source, text = flag_name(field.name), flags.get(field.name)
        if text is None:
            source, text = environment_variable(field.name), environment.get(
                environment_variable(field.name)
            )
        if text is not None:
            values[field.name] = _parse(source, text, field.metadata["parse"])
        elif field.default is attrs.NOTHING:
            raise SettingsError(
                f"{flag_name(field.name)}: a value is needed; "
                f"{environment_variable(field.name)} also gives it"
            )
    return Settings(**values)


def _parse(source: str, text: str, parse: Callable[[str], Any]) -> Any:
    try:
        return parse(text)
    except ValueError:
        raise SettingsError(f"{source}: {text!r} is not {parse.__doc__}") from None
