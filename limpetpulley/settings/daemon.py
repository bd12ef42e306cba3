"""Settings of the daemon, parsed and validated from flags and environment variables."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from typing import Any

import attrs

from ..address import Address
from ..exception import SettingsError

__all__ = ["Settings", "environment_variable", "flag_name", "load_settings"]

ENVIRONMENT_PREFIX = "LIMPETPULLEY_"
MAX_PORT = 65535


def _number_parser(minimum: float, maximum: float, unit: str = "") -> Callable[[str], float]:
    def parse(text: str) -> float:
        value = float(text)
        if not minimum <= value <= maximum:
            raise ValueError
        return value

    parse.__doc__ = f"a number from {minimum:g} to {maximum:g}{' ' + unit if unit else ''}"
    return parse


def _integer_parser(minimum: int, maximum: int, unit: str = "") -> Callable[[str], int]:
    def parse(text: str) -> int:
        value = int(text)
        if not minimum <= value <= maximum:
            raise ValueError
        return value

    parse.__doc__ = f"a whole number from {minimum} to {maximum}{' ' + unit if unit else ''}"
    return parse


def _pattern_parser(pattern: str, description: str) -> Callable[[str], str]:
    def parse(text: str) -> str:
        if not re.fullmatch(pattern, text):
            raise ValueError
        return text

    parse.__doc__ = description
    return parse


def _parse_addresses(text: str) -> tuple[str, ...]:
    """host:port addresses, separated by commas"""  # noqa: D400
    addresses = tuple(part.strip() for part in text.split(",") if part.strip())
    for address in addresses:
        if not re.fullmatch(r"[^\s:,]+:\d{1,5}", address):
            raise ValueError
    return addresses


def _parse_optional_address(text: str) -> str:
    """an IP address and a port, or empty"""  # noqa: D400
    return Address(text) if text else text


_parse_name = _pattern_parser(
    r"[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?", "a name of lower-case letters and digits"
)
_parse_url = _pattern_parser(r"https?://[^\s/]+/?", "a URL such as http://192.0.2.1:2379")
_parse_port = _integer_parser(0, MAX_PORT)
_parse_host = _pattern_parser(r"[A-Za-z0-9.:-]+", "an IP address or host name")


def _setting(help_text: str, parse: Callable[[str], Any], **kwargs: Any) -> Any:
    return attrs.field(metadata={"help": help_text, "parse": parse}, kw_only=True, **kwargs)


@attrs.frozen
class Settings:
    """Settings of one daemon.

    Each field can be set by a flag (``--data-centre``) or an environment variable
    (``LIMPETPULLEY_DATA_CENTRE``). The flag takes precedence.
    """

    name: str = _setting("unique name of this daemon", _parse_name)
    data_centre: str = _setting("data centre that it runs in", _parse_name)
    host: str = _setting(
        "address to listen on and to advertise to peers", _parse_host, default="127.0.0.1"
    )
    callers_port: int = _setting("port for callers", _parse_port, default=8400)
    operators_port: int = _setting("port for operators", _parse_port, default=8401)
    peers_port: int = _setting("port for other daemons", _parse_port, default=8402)
    peers: tuple[str, ...] = _setting(
        "peer addresses of other daemons, used to start during an outage of the store",
        _parse_addresses,
        default=(),
    )
    peer_address: str = _setting(
        "host:port to advertise to other daemons; empty for host and peers-port",
        _pattern_parser(r"([^\s:]+:\d{1,5})?", "host:port, or empty"),
        default="",
    )
    store_url: str = _setting(
        "URL of the platform's store", _parse_url, default="http://127.0.0.1:2379"
    )
    platform_url: str = _setting(
        "URL of the platform's API that lists and controls VMs",
        _parse_url,
        default="http://127.0.0.1:2380",
    )
    workers_address: str = _setting(
        "IP address and port of the service that lists the VMs of pools for jobs of steps; empty "
        "for none",
        _parse_optional_address,
        default="",
    )
    prefix: str = _setting(
        "prefix of all keys in the store",
        _pattern_parser(r"/[A-Za-z0-9/_-]*/", "a path that starts and ends with '/'"),
        default="/limpetpulley/",
    )
    operator_key: str = _setting(
        "secret that operators must present; empty for none",
        _pattern_parser(r"[!-~]{0,200}", "printable characters without spaces"),
        default="",
    )
    statsd: str = _setting(
        "host:port of the statsd server; empty for none",
        _pattern_parser(r"([^\s:]+:\d{1,5})?", "host:port, or empty"),
        default="",
    )
    stop_seconds: float = _setting(
        "time limit of a graceful shutdown, in seconds",
        _number_parser(0.1, 3600, "seconds"),
        default=60.0,
    )
    max_body_bytes: int = _setting(
        "maximum size of a request body, in bytes",
        _integer_parser(1, 1 << 30, "bytes"),
        default=8 << 20,
    )
    max_connections: int = _setting(
        "maximum number of connections of callers", _integer_parser(1, 100_000), default=4096
    )
    validity_seconds: float = _setting(
        "time for which a member may start jobs after its last confirmation, in seconds",
        _number_parser(0.2, 60, "seconds"),
        default=4.0,
    )
    freshness_seconds: float = _setting(
        "time after which jobs are refused if the configuration was not confirmed, in seconds",
        _number_parser(0.5, 60, "seconds"),
        default=8.0,
    )
    vm_list_lag_seconds: float = _setting(
        "maximum lag of the platform's list of VMs, in seconds",
        _number_parser(0, 600, "seconds"),
        default=10.0,
    )
    log_level: str = _setting(
        "minimum severity of logged messages",
        _pattern_parser(r"debug|info|warning|error", "one of debug, info, warning, error"),
        default="info",
    )


def flag_name(field: str) -> str:
    """Return the command-line flag of a settings field.

    >>> flag_name("data_centre")
    '--data-centre'
    """
    return "--" + field.replace("_", "-")


def environment_variable(field: str) -> str:
    """Return the environment variable of a settings field.

    >>> environment_variable("data_centre")
    'LIMPETPULLEY_DATA_CENTRE'
    """
    return ENVIRONMENT_PREFIX + field.upper()


def load_settings(flags: Mapping[str, str | None], environment: Mapping[str, str]) -> Settings:
    """Parse the settings from flags and environment variables.

    :param flags: text of each flag by field name, None for a flag that is not set
    :param environment: environment variables by name
    :raises SettingsError: if a setting is missing or invalid; the one-line message names the flag
        or variable, its value and what is allowed
    """
    values: dict[str, Any] = {}
    for field in attrs.fields(Settings):
        source, text = flag_name(field.name), flags.get(field.name)
        if text is None:
            source, text = environment_variable(field.name), environment.get(
                environment_variable(field.name)
            )
        if text is not None:
            values[field.name] = _parse_value(source, text, field.metadata["parse"])
        elif field.default is attrs.NOTHING:
            raise SettingsError(
                f"{flag_name(field.name)}: a value is needed; "
                f"set the flag or {environment_variable(field.name)}"
            )
    return Settings(**values)


def _parse_value(source: str, text: str, parse: Callable[[str], Any]) -> Any:
    try:
        return parse(text)
    except ValueError:
        raise SettingsError(f"{source}: {text!r} is not {parse.__doc__}") from None
