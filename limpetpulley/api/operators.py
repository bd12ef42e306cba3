"""HTTP interface for operators: configuration, status and explanations as JSON."""

from __future__ import annotations

import hmac
import re
from collections.abc import Callable
from typing import Any, Protocol

import attrs

from ..config import Change, ConfigReplica, structure_object, unstructure_object
from ..config.writer import ConfigWriter
from ..exception import (
    ChangeUnknown,
    ConfigError,
    ConflictError,
    InvalidConfig,
    JobRefused,
    StoreError,
)
from ..jobs import JobService
from ..json_decoding import parse_json
from .callers import Readiness
from .http import Receive, Scope, Send, get_header, read_body, send_json, send_problem

__all__ = ["FleetView", "OperatorsApp"]

#: maximum size of a request body, in bytes
MAX_DOCUMENT_BYTES = 8 * 1024 * 1024
#: maximum number of configuration changes in one request
MAX_CHANGES = 5000
EXPLAIN_PATH = re.compile(r"/explain/(job|vm)/([A-Za-z0-9._-]{1,80})")


class FleetView(Protocol):
    """Read access to the state of the fleet planner."""

    def explain_vm(self, name: str) -> dict[str, Any] | None:
        """Return the state of a VM and the reasons for it, or None if there is no such VM."""

    def preview_wave(self, pools: tuple[str, ...]) -> dict[str, Any]:
        """Return the expected course of a maintenance wave over some pools."""

    def fleet_status(self) -> dict[str, Any]:
        """Return the state of pools and waves."""


class OperatorsApp:
    """ASGI application for operators.

    :param replica: replica of the configuration
    :param writer: writes configuration changes
    :param jobs: explains recent jobs
    :param status: returns this daemon's status
    :param readiness: tells whether the daemon accepts jobs
    :param operator_key: secret that operators must present, empty for none
    :param fleet: explains VMs and maintenance waves
    """

    def __init__(
        self,
        replica: ConfigReplica,
        writer: ConfigWriter,
        jobs: JobService,
        status: Callable[[], dict[str, Any]],
        readiness: Readiness,
        operator_key: str,
        fleet: FleetView,
    ):
        self.replica = replica
        self.writer = writer
        self.jobs = jobs
        self.status = status
        self.readiness = readiness
        self.operator_key = operator_key
        self.fleet = fleet

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request."""
        path, method = scope["path"], scope["method"]
        if path == "/livez":
            await send_json(send, {"live": True})
            return
        if path == "/readyz":
            reason = self.readiness.unready_reason()
            await send_json(send, {"ready": not reason, "reason": reason}, 503 if reason else 200)
            return
        if not self._is_authorized(scope):
            await send_problem(
                send, 401, "operator-key-needed", "the operator key is missing or wrong"
            )
            return
        try:
            await self._route(method, path, scope, receive, send)
        except JobRefused as refused:
            await send_problem(send, refused.status, refused.reason, refused.detail)
        except InvalidConfig as group:
            problems = [str(problem) for problem in group.exceptions]
            await send_problem(
                send, 422, "invalid-configuration", "; ".join(problems), problems=problems
            )
        except ConfigError as error:
            await send_problem(
                send, 422, "invalid-configuration", str(error), problems=[str(error)]
            )
        except ConflictError as error:
            await send_problem(
                send,
                409,
                "conflict",
                str(error),
                object=error.key,
                seen=error.seen,
                current=error.current,
                changed_by=error.changed_by,
                changed_at=error.changed_at,
            )
        except ChangeUnknown as error:
            detail = f"unknown whether the change was accepted: {error}"
            await send_problem(send, 503, "change-unknown", detail, [(b"retry-after", b"5")])
        except StoreError as error:
            detail = f"the change was not accepted: {error}"
            await send_problem(send, 503, "store-unavailable", detail, [(b"retry-after", b"5")])

    async def _route(
        self, method: str, path: str, scope: Scope, receive: Receive, send: Send
    ) -> None:
        if (method, path) == ("GET", "/status"):
            await send_json(send, {**self.status(), "fleet": self.fleet.fleet_status()})
        elif (method, path) == ("GET", "/config"):
            await send_json(send, self._export_config())
        elif (method, path) == ("POST", "/config"):
            await self._apply_changes(await read_body(receive, MAX_DOCUMENT_BYTES), send)
        elif (method, path) == ("POST", "/waves/preview"):
            pools = _parse_object(await read_body(receive, MAX_DOCUMENT_BYTES)).get("pools", [])
            await send_json(send, self.fleet.preview_wave(_parse_names(pools)))
        elif method == "GET" and (match := EXPLAIN_PATH.fullmatch(path)):
            await self._explain(match[1], match[2], send)
        else:
            await send_problem(send, 404, "not-found", f"no such operation: {method} {path}")

    def _is_authorized(self, scope: Scope) -> bool:
        if not self.operator_key:
            return True
        presented = get_header(scope, b"authorization") or ""
        expected = f"Bearer {self.operator_key}"
        return hmac.compare_digest(presented.encode(), expected.encode())

    def _export_config(self) -> dict[str, Any]:
        records = [record for record in self.replica.records.values() if record.value is not None]
        return {
            "revision": self.replica.revision,
            "objects": [
                {
                    "kind": record.kind,
                    "name": record.name,
                    "revision": record.revision,
                    "changed_by": record.changed_by,
                    "changed_at": record.changed_at,
                    "object": unstructure_object(record.value),
                }
                for record in sorted(records, key=lambda record: record.key)
                if record.value is not None
            ],
        }

    async def _apply_changes(self, body: bytes, send: Send) -> None:
        document = _parse_object(body)
        changes = _parse_changes(document)
        operator = document.get("by")
        if not isinstance(operator, str) or not 0 < len(operator) <= 100:
            raise ConfigError("by: must be the operator's name, 1 to 100 characters")
        written = await self.writer.apply(changes, operator)
        await send_json(send, attrs.asdict(written))

    async def _explain(self, kind: str, name: str, send: Send) -> None:
        if kind == "vm":
            found = self.fleet.explain_vm(name)
        else:
            explanation = self.jobs.explain(name)
            found = attrs.asdict(explanation) if explanation else None
        if found is None:
            await send_problem(
                send, 404, "not-known", f"this daemon has no record of {kind} {name}"
            )
        else:
            await send_json(send, found)


def _parse_object(body: bytes) -> dict[str, Any]:
    try:
        document = parse_json(body or b"{}")
    except ValueError as error:
        raise ConfigError(f"the request body is not JSON: {error}") from None
    if not isinstance(document, dict):
        raise ConfigError("the request body must be a JSON object")
    return document


def _parse_names(value: Any) -> tuple[str, ...]:
    if not isinstance(value, list) or not all(isinstance(name, str) for name in value):
        raise ConfigError("pools: must be a list of names")
    return tuple(value)


def _parse_changes(document: dict[str, Any]) -> list[Change]:
    raw = document.get("changes")
    if not isinstance(raw, list) or not 0 < len(raw) <= MAX_CHANGES:
        raise ConfigError(f"changes: must be a list of 1 to {MAX_CHANGES} changes")
    changes, problems = [], []
    for item in raw:
        try:
            changes.append(_parse_change(item))
        except ConfigError as error:
            problems.append(error)
    if len({change.key for change in changes}) < len(changes):
        problems.append(ConfigError("changes: several changes of the same object"))
    if problems:
        raise InvalidConfig("invalid changes", problems)
    return changes


def _parse_change(item: Any) -> Change:
    if not isinstance(item, dict):
        raise ConfigError("changes: each change must be a JSON object")
    kind, name, fields = item.get("kind"), item.get("name"), item.get("object")
    seen = item.get("seen", 0)
    if not isinstance(kind, str) or not isinstance(name, str) or not name:
        raise ConfigError("changes: each change needs a kind and a name")
    if isinstance(seen, bool) or not isinstance(seen, int) or seen < 0:
        raise ConfigError(f"{kind}/{name}: seen must be a revision number")
    value = None if fields is None else structure_object(kind, fields)
    if value is not None and value.name != name:
        raise ConfigError(f"{kind}/{name}: the object is named {value.name}")
    return Change(kind, name, value, seen)
