"""Client of the HTTP interface that daemons offer to operators."""

from __future__ import annotations

import json
import time
from collections.abc import Iterable
from typing import Any

import attrs
import httpcore

from ..config import Change, unstructure_object
from ..exception import LimpetpulleyError
from ..json_decoding import parse_json

__all__ = ["CommandError", "ExitStatus", "OperatorClient"]

CALL_TIMEOUT_SECONDS = 20.0
POLL_INTERVAL_SECONDS = 0.1


class ExitStatus:
    """Exit statuses of the command line."""

    OK = 0
    FAILURE = 1
    USAGE = 2
    CONFLICT = 3
    INVALID = 4
    UNAVAILABLE = 5
    NOT_IN_FORCE = 6
    NOT_FOUND = 7


class CommandError(LimpetpulleyError):
    """A command failed.

    :param text: human-readable reason
    :param status: exit status of the command line
    :param problem: problem document of the daemon, if it sent one
    """

    def __init__(self, text: str, status: int, problem: dict[str, Any] | None = None):
        self.status = status
        self.problem = problem or {"detail": text}
        super().__init__(text)


_EXIT_STATUSES = {
    404: ExitStatus.NOT_FOUND,
    409: ExitStatus.CONFLICT,
    422: ExitStatus.INVALID,
    503: ExitStatus.UNAVAILABLE,
}


@attrs.frozen
class OperatorClient:
    """Client of one daemon.

    :param address: ``host:port`` of the daemon's interface for operators
    :param key: secret that authorizes operators, empty for none
    :param by: name of the operator, recorded with changes
    """

    address: str
    key: str = ""
    by: str = "operator"

    def get(self, path: str) -> dict[str, Any]:
        """Send a GET request and return the response body.

        :raises CommandError: if there is no response, or it reports an error
        """
        return self._call("GET", path, None)

    def post(self, path: str, document: Any) -> dict[str, Any]:
        """Send a POST request and return the response body.

        :raises CommandError: if there is no response, or it reports an error
        """
        return self._call("POST", path, document)

    def put(self, path: str, document: Any) -> dict[str, Any]:
        """Send a PUT request and return the response body.

        :raises CommandError: if there is no response, or it reports an error
        """
        return self._call("PUT", path, document)

    def delete(self, path: str) -> dict[str, Any]:
        """Send a DELETE request and return the response body.

        :raises CommandError: if there is no response, or it reports an error
        """
        return self._call("DELETE", path, None)

    def revisions(self) -> dict[str, int]:
        """Return the current revision of each configuration object, by ``kind/name``."""
        objects = self.get("/config")["objects"]
        return {f"{item['kind']}/{item['name']}": item["revision"] for item in objects}

    def apply(self, changes: Iterable[Change]) -> int:
        """Apply changes and return the configuration revision that contains them.

        :raises CommandError: if the changes are rejected
        """
        document = {
            "by": self.by,
            "changes": [
                {
                    "kind": change.kind,
                    "name": change.name,
                    "object": None if change.value is None else unstructure_object(change.value),
                    "seen": change.base_revision,
                }
                for change in changes
            ],
        }
        return int(self.post("/config", document)["revision"])

    def wait_until_in_force(self, revision: int, seconds: float) -> list[str]:
        """Wait until a configuration revision is in force on every live daemon.

        :param seconds: time limit
        :returns: names of the daemons on which it is not in force when the time limit expires
        """
        deadline = time.monotonic() + seconds
        while True:
            lagging = [
                daemon["member"]
                for daemon in self.get("/status")["daemons"]
                if daemon["live"] and daemon["config_revision"] < revision
            ]
            if not lagging or time.monotonic() > deadline:
                return lagging
            time.sleep(POLL_INTERVAL_SECONDS)

    def _call(self, method: str, path: str, document: Any) -> dict[str, Any]:
        headers = [("content-type", "application/json")]
        if self.key:
            headers.append(("authorization", f"Bearer {self.key}"))
        timeout = dict.fromkeys(("connect", "read", "write", "pool"), CALL_TIMEOUT_SECONDS)
        try:
            response = httpcore.request(
                method,
                f"http://{self.address}{path}",
                headers=headers,
                content=b"" if document is None else json.dumps(document).encode(),
                extensions={"timeout": timeout},
            )
            body = parse_json(response.content)
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            raise CommandError(
                f"{self.address}: no response: {error}", ExitStatus.UNAVAILABLE
            ) from None
        except ValueError:
            raise CommandError(
                f"{self.address}: the response is not JSON", ExitStatus.FAILURE
            ) from None
        if response.status >= 400:
            status = _EXIT_STATUSES.get(response.status, ExitStatus.FAILURE)
            raise CommandError(body.get("detail", "refused"), status, body)
        return body
