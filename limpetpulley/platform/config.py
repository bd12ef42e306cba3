"""Decoder of the operator's configuration in the platform's store."""

from __future__ import annotations

from typing import Any

from ..batch import AdviceConfig, Amount, BatchConfig, PoolConfig, QueueConfig, TeamConfig
from ..exception import RecordError
from ..json_decoding import get_bool, get_int, get_list, get_number, get_str, parse_object

__all__ = ["CONFIG_KEY", "MILLISECONDS", "OPERATOR_PREFIX", "decode_amount", "decode_config"]

OPERATOR_PREFIX = "op/"
CONFIG_KEY = "op/config"
#: milliseconds per second; most times on the wire are in milliseconds
MILLISECONDS = 1000.0


def decode_config(value: bytes) -> BatchConfig:
    """Return the configuration in a stored value.

    :raises RecordError: if it cannot be read
    """
    source = parse_object(value)
    queues = [_decode_queue(row) for row in get_list(source, "routes")]
    pools = [_decode_pool(row) for row in get_list(source, "services")]
    teams = [_decode_team(row) for row in get_list(source, "tenants")]
    return BatchConfig(
        get_int(source, "version"),
        {queue.name: queue for queue in queues},
        {pool.name: pool for pool in pools},
        {team.name: team for team in teams},
    )


def _decode_queue(row: dict[str, Any]) -> QueueConfig:
    advice = row.get("advice")
    return QueueConfig(
        name=get_str(row, "name"),
        host=get_str(row, "host").lower(),
        path_prefix=get_str(row, "pathPrefix"),
        pool=get_str(row, "service"),
        priority=get_int(row, "priority", 0),
        max_attempts=get_int(row, "maxAttempts", 1),
        stretch=get_number(row, "stretch", 1.0),
        latency_target_seconds=get_number(row, "targetLatencyMs", 0) / MILLISECONDS,
        timeout_seconds=get_number(row, "timeoutMs", 0) / MILLISECONDS,
        public=get_bool(row, "public"),
        advice=_decode_advice(advice) if advice else None,
    )


def _decode_advice(source: dict[str, Any]) -> AdviceConfig:
    return AdviceConfig(
        get_number(source, "decideMs", 0) / MILLISECONDS,
        get_number(source, "perItemMs", 0) / MILLISECONDS,
        get_number(source, "validMs", 0) / MILLISECONDS,
    )


def _decode_pool(row: dict[str, Any]) -> PoolConfig:
    # A service is marked as standby if its machines are off.
    return PoolConfig(
        get_str(row, "name"), get_bool(row, "standby"), get_bool(row, "admissionCheck")
    )


def _decode_team(row: dict[str, Any]) -> TeamConfig:
    keys = frozenset(key for key in get_list(row, "apiKeys") if isinstance(key, str))
    # The "upperBound" of a tenant is an amount, that of a wave a number of machines.
    limit = decode_amount(row["upperBound"]) if row.get("upperBound") else Amount()
    return TeamConfig(get_str(row, "name"), keys, get_number(row, "weight", 1.0), limit)


def decode_amount(source: Any) -> Amount:
    """Return the amount of resources in a JSON object.

    :raises RecordError: if it cannot be read
    """
    if not isinstance(source, dict):
        raise RecordError("an amount is not a JSON object")
    return Amount(get_int(source, "cpu", 0), get_int(source, "memMb", 0), get_int(source, "gpu", 0))
