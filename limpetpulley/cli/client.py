"""Client of a daemon's operators' interface."""

from __future__ import annotations

import json
import time
from collections.abc import Iterable
from typing import Any

import attrs
import httpcore

from ..config import Change, unstructure_object
from ..exception import LimpetpulleyError

__all__ = ["ExitStatus", "OperatorsClient", "OperatorsError"]

CALL_TIMEOUT_SECONDS = 20.0
POLL_SECONDS = 0.1


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


class OperatorsError(LimpetpulleyError):
    """A daemon did not do what was asked.

    :param text: what is wrong, for people
    :param status: exit status for programs
    :param problem: the daemon's problem, if it sent one
    """

    def __init__(self, text: str, status: int, problem: dict[str, Any] | None = None):
        self.status = status
        self.problem = problem or {"detail": text}
        super().__init__(text)


_STATUSES = {
    404: ExitStatus.NOT_FOUND,
    409: ExitStatus.CONFLICT,
    422: ExitStatus.INVALID,
    503: ExitStatus.UNAVAILABLE,
}


@attrs.frozen
class OperatorsClient:
    """Talks to one daemon.

    :param address: ``host:port`` of its operators' interface
    :param key: secret that it wants, empty for none
    :param by: name of the operator, noted with changes
    """

    address: str
    key: str = ""
    by: str = "operator"

    def get(self, path: str) -> dict[str, Any]:
        """Return the answer to a GET.

        :raises OperatorsError: if there is none, or it is a problem
        """
        return self._call("GET", path, None)

    def post(self, path: str, document: Any) -> dict[str, Any]:
        """Return the answer to a POST.

        :raises OperatorsError: if there is none, or it is a problem
        """
        return self._call("POST", path, document)

    def put(self, path: str, document: Any) -> dict[str, Any]:
        """Return the answer to a PUT.

        :raises OperatorsError: if there is none, or it is a problem
        """
        return self._call("PUT", path, document)

    def delete(self, path: str) -> dict[str, Any]:
        """Return the answer to a DELETE.

        :raises OperatorsError: if there is none, or it is a problem
        """
        return self._call("DELETE", path, None)

    def revisions(self) -> dict[str, int]:
        """Return the revision in force of each object, by ``kind/name``."""
        objects = self.get("/config")["objects"]
        return {f"{item['kind']}/{item['name']}": item["revision"] for item in objects}

    def apply(self, changes: Iterable[Change]) -> int:
        """Apply changes and return the revision at which they are in force.

        :raises OperatorsError: if they are not accepted
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

    def wait_in_force(self, revision: int, seconds: float) -> list[str]:
        """Wait until every live daemon has a revision.

        :returns: names of the daemons that do not have it in time
        """
        until = time.monotonic() + seconds
        while True:
            late = [
                daemon["member"]
                for daemon in self.get("/status")["daemons"]
                if daemon["live"] and daemon["config_revision"] < revision
            ]
            if not late or time.monotonic() > until:
                return late
            time.sleep(POLL_SECONDS)

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
            answer = json.loads(response.content)
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            raise OperatorsError(
                f"{self.address}: no answer: {error}", ExitStatus.UNAVAILABLE
            ) from None
        except ValueError:
            raise OperatorsError(
                f"{self.address}: the answer is not JSON", ExitStatus.FAILURE
            ) from None
        if response.status >= 400:
            status = _STATUSES.get(response.status, ExitStatus.FAILURE)
            raise OperatorsError(answer.get("detail", "refused"), status, answer)
        return answer
