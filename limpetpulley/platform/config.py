"""Decoder of the operator's configuration in the platform's store."""

from __future__ import annotations

from typing import Any

from .. import json_decoding as fields
from ..batch import AdviceConfig, Amount, BatchConfig, PoolConfig, QueueConfig, TeamConfig
from ..exception import RecordError

__all__ = ["CONFIG_KEY", "MILLISECONDS", "OPERATOR_PREFIX", "decode_amount", "decode_config"]

OPERATOR_PREFIX = "op/"
CONFIG_KEY = "op/config"
#: milliseconds per second; most times on the wire are in milliseconds
MILLISECONDS = 1000.0


def decode_config(value: bytes) -> BatchConfig:
    """Return the configuration in a stored value.

    :raises RecordError: if it cannot be read
    """
    source = fields.parse_object(value)
    queues = [_decode_queue(row) for row in fields.get_objects(source, "routes")]
    pools = [_decode_pool(row) for row in fields.get_objects(source, "services")]
    teams = [_decode_team(row) for row in fields.get_objects(source, "tenants")]
    return BatchConfig(
        fields.get_int(source, "version"),
        {queue.name: queue for queue in queues},
        {pool.name: pool for pool in pools},
        {team.name: team for team in teams},
    )


def _decode_queue(row: dict[str, Any]) -> QueueConfig:
    advice = fields.get_object(row, "advice")
    return QueueConfig(
        name=fields.get_str(row, "name"),
        host=fields.get_str(row, "host").lower(),
        path_prefix=fields.get_str(row, "pathPrefix"),
        pool=fields.get_str(row, "service"),
        priority=fields.get_int(row, "priority", 0),
        max_attempts=fields.get_int(row, "maxAttempts", 1),
        stretch=fields.get_number(row, "stretch", 1.0),
        latency_target_seconds=fields.get_number(row, "targetLatencyMs", 0) / MILLISECONDS,
        timeout_seconds=fields.get_number(row, "timeoutMs", 0) / MILLISECONDS,
        public=fields.get_bool(row, "public"),
        advice=_decode_advice(advice) if advice else None,
    )


def _decode_advice(source: dict[str, Any]) -> AdviceConfig:
    return AdviceConfig(
        fields.get_number(source, "decideMs", 0) / MILLISECONDS,
        fields.get_number(source, "perItemMs", 0) / MILLISECONDS,
        fields.get_number(source, "validMs", 0) / MILLISECONDS,
    )


def _decode_pool(row: dict[str, Any]) -> PoolConfig:
    # A service is marked as standby if its machines are off.
    standby, guards = (fields.get_bool(row, name) for name in ("standby", "admissionCheck"))
    return PoolConfig(fields.get_str(row, "name"), standby, guards)


def _decode_team(row: dict[str, Any]) -> TeamConfig:
    keys = frozenset(fields.get_strings(row, "apiKeys"))
    # The "upperBound" of a tenant is an amount, that of a wave a number of machines.
    limit = decode_amount(row["upperBound"]) if row.get("upperBound") else Amount()
    weight = fields.get_number(row, "weight", 1.0)
    return TeamConfig(fields.get_str(row, "name"), keys, weight, limit)


def decode_amount(source: Any) -> Amount:
    """Return the amount of resources in a JSON object.

    :raises RecordError: if it cannot be read
    """
    if not isinstance(source, dict):
        raise RecordError("an amount is not a JSON object")
    return Amount(*(fields.get_count(source, name) for name in ("cpu", "memMb", "gpu")))
