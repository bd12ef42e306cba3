"""The platform's VM service: the list of VMs and the control of what runs on them."""

from __future__ import annotations

import enum
import json
from typing import Any, Protocol

import attrs
import httpcore

from .exception import PlatformError
from .json_decoding import parse_json

__all__ = ["HttpPlatform", "ListedVm", "VmControl", "VmList", "VmState"]

CALL_TIMEOUT_SECONDS = 2.0


class VmState(enum.StrEnum):
    """State of a VM according to the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class ListedVm:
    """An entry of the platform's list of VMs."""

    name: str
    state: VmState


class VmList(Protocol):
    """The platform's list of live and leaving VMs, which lags behind their actual state."""

    async def list_vms(self) -> tuple[ListedVm, ...]:
        """Return the VMs that are currently listed."""


class VmControl(Protocol):
    """Operations on VMs that the platform offers."""

    async def drain(self, vm: str) -> None:
        """Ask the platform to stop assigning its own work to a VM."""

    async def reboot(self, vm: str) -> None:
        """Reboot a VM, which applies its pending maintenance."""

    async def checkpoint(self, vm: str) -> bool:
        """Checkpoint the tasks of a VM; return whether the platform was able to."""

    async def throttle(self, vm: str, fraction: float) -> None:
        """Throttle the tasks of a VM to a fraction of full speed."""

    async def stop(self, vm: str) -> None:
        """Stop the tasks of a VM."""

    async def usage(self) -> dict[str, int]:
        """Return the number of running tasks by VM, which may be outdated."""


class HttpPlatform:
    """:class:`VmList` and :class:`VmControl` as JSON over HTTP.

    :param url: base URL of the platform's VM service
    :param timeout: timeout of each phase of a call, in seconds
    """

    def __init__(self, url: str, timeout: float = CALL_TIMEOUT_SECONDS):
        self.url = url.rstrip("/")
        self.timeout = timeout
        self.pool = httpcore.AsyncConnectionPool(max_keepalive_connections=0)

    async def aclose(self) -> None:
        """Close all connections."""
        await self.pool.aclose()

    async def list_vms(self) -> tuple[ListedVm, ...]:
        """Return the VMs that are currently listed."""
        result = await self._call("GET", "/vms")
        try:
            return tuple(ListedVm(vm["name"], VmState(vm["state"])) for vm in result["vms"])
        except (KeyError, TypeError, ValueError) as error:
            raise PlatformError(f"invalid list of VMs: {error}") from None

    async def drain(self, vm: str) -> None:
        """Ask the platform to stop assigning its own work to a VM."""
        await self._call("POST", f"/vms/{vm}/drain")

    async def reboot(self, vm: str) -> None:
        """Reboot a VM, which applies its pending maintenance."""
        await self._call("POST", f"/vms/{vm}/reboot")

    async def checkpoint(self, vm: str) -> bool:
        """Checkpoint the tasks of a VM; return whether the platform was able to."""
        result = await self._call("POST", f"/vms/{vm}/checkpoint")
        return bool(result.get("saved"))

    async def throttle(self, vm: str, fraction: float) -> None:
        """Throttle the tasks of a VM to a fraction of full speed."""
        await self._call("POST", f"/vms/{vm}/throttle", {"fraction": fraction})

    async def stop(self, vm: str) -> None:
        """Stop the tasks of a VM."""
        await self._call("POST", f"/vms/{vm}/stop")

    async def usage(self) -> dict[str, int]:
        """Return the number of running tasks by VM, which may be outdated."""
        result = await self._call("GET", "/usage")
        try:
            return {str(vm): int(count) for vm, count in result["running"].items()}
        except (KeyError, AttributeError, ValueError) as error:
            raise PlatformError(f"invalid usage report: {error}") from None

    async def _call(self, method: str, path: str, body: Any = None) -> dict[str, Any]:
        timeout = dict.fromkeys(("connect", "write", "read", "pool"), self.timeout)
        try:
            response = await self.pool.request(
                method,
                self.url + path,
                content=b"" if body is None else json.dumps(body).encode(),
                extensions={"timeout": timeout},
            )
            result = parse_json(response.content or b"{}")
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as error:
            raise PlatformError(f"no response from the platform: {error!r}") from None
        except ValueError:
            raise PlatformError("the platform's response is not JSON") from None
        if response.status >= 400 or not isinstance(result, dict):
            raise PlatformError(f"the platform refused {path}: {response.status}")
        return result
