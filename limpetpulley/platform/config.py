"""Decoder of the operator's configuration in the platform's store."""

from __future__ import annotations

from typing import Any

from ..batch import AdviceRule, Amount, BatchConfig, PoolRule, QueueRule, TeamRule
from ..exception import RecordError
from ..reading import flag, load, number, rows, text, whole

__all__ = ["CONFIG_KEY", "MILLISECONDS", "OPERATOR_PREFIX", "decode_amount", "decode_config"]

OPERATOR_PREFIX = "op/"
CONFIG_KEY = "op/config"
#: milliseconds per second; most times on the wire are in milliseconds
MILLISECONDS = 1000.0


def decode_config(value: bytes) -> BatchConfig:
    """Return the configuration in a stored value.

    :raises RecordError: if it cannot be read
    """
    source = load(value)
    queues = [_decode_queue(row) for row in rows(source, "routes")]
    pools = [_decode_pool(row) for row in rows(source, "services")]
    teams = [_decode_team(row) for row in rows(source, "tenants")]
    return BatchConfig(
        whole(source, "version"),
        {queue.name: queue for queue in queues},
        {pool.name: pool for pool in pools},
        {team.name: team for team in teams},
    )


def _decode_queue(row: dict[str, Any]) -> QueueRule:
    advice = row.get("advice")
    return QueueRule(
        name=text(row, "name"),
        host=text(row, "host").lower(),
        path_prefix=text(row, "pathPrefix"),
        pool=text(row, "service"),
        priority=whole(row, "priority", 0),
        max_attempts=whole(row, "maxAttempts", 1),
        stretch=number(row, "stretch", 1.0),
        latency_target_seconds=number(row, "targetLatencyMs", 0) / MILLISECONDS,
        timeout_seconds=number(row, "timeoutMs", 0) / MILLISECONDS,
        public=flag(row, "public"),
        advice=_decode_advice(advice) if advice else None,
    )


def _decode_advice(source: dict[str, Any]) -> AdviceRule:
    return AdviceRule(
        number(source, "decideMs", 0) / MILLISECONDS,
        number(source, "perItemMs", 0) / MILLISECONDS,
        number(source, "validMs", 0) / MILLISECONDS,
    )


def _decode_pool(row: dict[str, Any]) -> PoolRule:
    # A service is marked as standby if its machines are off.
    return PoolRule(text(row, "name"), flag(row, "standby"), flag(row, "admissionCheck"))


def _decode_team(row: dict[str, Any]) -> TeamRule:
    keys = frozenset(key for key in rows(row, "apiKeys") if isinstance(key, str))
    # The "upperBound" of a tenant is an amount, that of a wave a number of machines.
    limit = decode_amount(row["upperBound"]) if row.get("upperBound") else Amount()
    return TeamRule(text(row, "name"), keys, number(row, "weight", 1.0), limit)


def decode_amount(source: Any) -> Amount:
    """Return the amount of resources in a JSON object.

    :raises RecordError: if it cannot be read
    """
    if not isinstance(source, dict):
        raise RecordError("an amount is not a JSON object")
    return Amount(whole(source, "cpu", 0), whole(source, "memMb", 0), whole(source, "gpu", 0))
