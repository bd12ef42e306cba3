"""The operator's configuration, as the platform's store holds it."""

from __future__ import annotations

from typing import Any

from ..batch import AdviceRule, Amount, BatchConfig, PoolRule, QueueRule, TeamRule
from ..exception import RecordError
from ..json_decoding import flag, load, number, rows, text, whole

__all__ = ["CONFIG_KEY", "MILLISECONDS", "OPERATOR_PREFIX", "amount", "decode_config"]

OPERATOR_PREFIX = "op/"
CONFIG_KEY = "op/config"
#: milliseconds in a second: the unit of most times on the wire
MILLISECONDS = 1000.0


def decode_config(value: bytes) -> BatchConfig:
    """Return the configuration of a value.

    :raises RecordError: if it cannot be read
    """
    source = load(value)
    queues = [_queue(row) for row in rows(source, "routes")]
    pools = [_pool(row) for row in rows(source, "services")]
    teams = [_team(row) for row in rows(source, "tenants")]
    return BatchConfig(
        whole(source, "version"),
        {queue.name: queue for queue in queues},
        {pool.name: pool for pool in pools},
        {team.name: team for team in teams},
    )


def _queue(row: dict[str, Any]) -> QueueRule:
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
        advice=_advice(advice) if advice else None,
    )


def _advice(source: dict[str, Any]) -> AdviceRule:
    return AdviceRule(
        number(source, "decideMs", 0) / MILLISECONDS,
        number(source, "perItemMs", 0) / MILLISECONDS,
        number(source, "validMs", 0) / MILLISECONDS,
    )


def _pool(row: dict[str, Any]) -> PoolRule:
    # A service whose machines are off is called standby.
    return PoolRule(text(row, "name"), flag(row, "standby"), flag(row, "admissionCheck"))


def _team(row: dict[str, Any]) -> TeamRule:
    keys = frozenset(key for key in rows(row, "apiKeys") if isinstance(key, str))
    # "upperBound" of a tenant is an amount; of a wave it is a number of machines.
    limit = amount(row["upperBound"]) if row.get("upperBound") else Amount()
    return TeamRule(text(row, "name"), keys, number(row, "weight", 1.0), limit)


def amount(source: Any) -> Amount:
    """Return an amount.

    :raises RecordError: if it cannot be read
    """
    if not isinstance(source, dict):
        raise RecordError("an amount is not an object")
    return Amount(whole(source, "cpu", 0), whole(source, "memMb", 0), whole(source, "gpu", 0))
