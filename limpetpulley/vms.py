"""The platform's list of VMs and its workers' controls."""

from __future__ import annotations

import enum
import json
from typing import Any, Protocol

import attrs
import httpcore

from .exception import PlatformError

__all__ = ["HttpPlatform", "ListedVm", "VmList", "VmState", "Workers"]

CALL_TIMEOUT_SECONDS = 2.0


class VmState(enum.StrEnum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class ListedVm:
    """A VM as the platform lists it."""

    name: str
    state: VmState


class VmList(Protocol):
    """The platform's list of live and leaving VMs; it lags."""

    async def list_vms(self) -> tuple[ListedVm, ...]:
        """Return the VMs listed now."""


class VmControl(Protocol):
    """Controls of the platform's workers."""

    async def drain(self, vm: str) -> None:
        """Ask the platform to send a VM no more work of its own."""

    async def reboot(self, vm: str) -> None:
        """Restart a VM with its maintenance applied."""

    async def checkpoint(self, vm: str) -> bool:
        """Save the tasks of a VM; return whether the platform could."""

    async def throttle(self, vm: str, fraction: float) -> None:
        """Slow a VM's tasks to a fraction of full speed."""

    async def stop(self, vm: str) -> None:
        """Stop the tasks of a VM."""

    async def usage(self) -> dict[str, int]:
        """Return the running tasks per VM, as reported some time ago."""


class HttpPlatform:
    """List and controls as plain JSON over HTTP.

    :param url: base address of the platform's service
    """

    def __init__(self, url: str, timeout: float = CALL_TIMEOUT_SECONDS):
        self.url = url.rstrip("/")
        self.timeout = timeout
        self.pool = httpcore.AsyncConnectionPool(max_keepalive_connections=0)

    async def aclose(self) -> None:
        """Close all connections."""
        await self.pool.aclose()

    async def list_vms(self) -> tuple[ListedVm, ...]:
        """Return the VMs listed now."""
        answer = await self._call("GET", "/vms")
        try:
            return tuple(ListedVm(vm["name"], VmState(vm["state"])) for vm in answer["vms"])
        except (KeyError, TypeError, ValueError) as error:
            raise PlatformError(f"unreadable list of VMs: {error}") from None

    async def drain(self, vm: str) -> None:
        """Ask the platform to send a VM no more work of its own."""
        await self._call("POST", f"/vms/{vm}/drain")

    async def reboot(self, vm: str) -> None:
        """Restart a VM with its maintenance applied."""
        await self._call("POST", f"/vms/{vm}/reboot")

    async def checkpoint(self, vm: str) -> bool:
        """Save the tasks of a VM; return whether the platform could."""
        answer = await self._call("POST", f"/vms/{vm}/checkpoint")
        return bool(answer.get("saved"))

    async def throttle(self, vm: str, fraction: float) -> None:
        """Slow a VM's tasks to a fraction of full speed."""
        await self._call("POST", f"/vms/{vm}/throttle", {"fraction": fraction})

    async def stop(self, vm: str) -> None:
        """Stop the tasks of a VM."""
        await self._call("POST", f"/vms/{vm}/stop")

    async def usage(self) -> dict[str, int]:
        """Return the running tasks per VM, as reported some time ago."""
        answer = await self._call("GET", "/usage")
        try:
            return {str(vm): int(count) for vm, count in answer["running"].items()}
        except (KeyError, AttributeError, ValueError) as error:
            raise PlatformError(f"unreadable usage report: {error}") from None

    async def _call(self, method: str, path: str, body: Any = None) -> dict[str, Any]:
        timeout = dict.fromkeys(("connect", "write", "read", "pool"), self.timeout)
        try:
            response = await self.pool.request(
                method,
                self.url + path,
                content=b"" if body is None else json.dumps(body).encode(),
                extensions={"timeout": timeout},
            )
            answer = json.loads(response.content or b"{}")
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as error:
            raise PlatformError(f"no answer from the platform: {error!r}") from None
        except ValueError:
            raise PlatformError("the platform's answer is not JSON") from None
        if response.status >= 400 or not isinstance(answer, dict):
            raise PlatformError(f"the platform refused {path}: {response.status}")
        return answer
