"""Clients whose calls raise only the errors that their interfaces name.

An error that no interface names concerns the one call that has raised it. It is logged, and raised
as the error that tells that there was no answer: the call may have been executed. What is done then
for a worker, a record, a daemon or a service that does not answer keeps the others going.
"""

from __future__ import annotations

import contextlib
import inspect
from collections.abc import AsyncIterator, Callable
from typing import Any, cast

import anyio

from ..exception import (
    AdviceError,
    NotOwnerError,
    PeerError,
    PlatformError,
    StoreError,
    StoreFault,
    WorkerError,
    WorkerFault,
)
from ..fleet.vms import VmPlatform
from ..peer import PeerCaller
from ..store import Store
from ..tasks import absorb_cancellation
from ..telemetry import EventLog
from ..workers import OrderSender
from .advice import Adviser
from .failures import describe_error

__all__ = ["guard_adviser", "guard_orders", "guard_peers", "guard_store", "guard_vms"]


#: the call of the store that returns an iterator, which need not be a generator
WATCH = "watch"
#: most keys of a transaction that are told in the log
MAX_KEYS = 3


class _CallGuard:
    """Passes calls on to a client.

    :param target: what is called, for the log
    :param named: errors that the interface names
    :param fault: error that other errors are raised as
    """

    def __init__(
        self,
        client: Any,
        target: str,
        named: tuple[type[Exception], ...],
        fault: type[Exception],
        log: EventLog,
    ):
        self.client = client
        self.target = target
        self.named = named
        self.fault = fault
        self.log = log

    def __getattr__(self, name: str) -> Any:
        attribute = getattr(self.client, name)
        if inspect.iscoroutinefunction(attribute):
            return self._guard_call(name)
        if inspect.isasyncgenfunction(attribute) or name == WATCH:
            return self._guard_iterator(name)
        return attribute

    def _guard_call(self, name: str) -> Callable[..., Any]:
        async def call(*args: Any, **kwargs: Any) -> Any:
            try:
                return await getattr(self.client, name)(*args, **kwargs)
            except self.named:
                raise
            except anyio.get_cancelled_exc_class() as error:
                # A library may cancel the task that waits for it when a connection is lost.
                if not absorb_cancellation():
                    raise
                raise self._convert(name, args, error) from None
            except Exception as error:
                raise self._convert(name, args, error) from error

        # Further uses of the attribute find it without a look-up of the client's.
        self.__dict__[name] = call
        return call

    def _guard_iterator(self, name: str) -> Callable[..., Any]:
        async def iterate(*args: Any, **kwargs: Any) -> AsyncIterator[Any]:
            try:
                items = getattr(self.client, name)(*args, **kwargs)
                async with contextlib.AsyncExitStack() as stack:
                    if hasattr(items, "aclose"):
                        await stack.enter_async_context(contextlib.aclosing(items))
                    async for item in items:
                        yield item
            except self.named:
                raise
            except Exception as error:
                raise self._convert(name, args, error) from error

        self.__dict__[name] = iterate
        return iterate

    def _convert(self, call: str, args: tuple[Any, ...], error: BaseException) -> Exception:
        subject = describe_subject(args)
        self.log.write(
            "call-fault", to=self.target, call=call, subject=subject, **describe_error(error)
        )
        return self.fault(f"{subject}: unexpected error in {call}: {error!r}")


def describe_subject(args: tuple[Any, ...]) -> str:
    """Return what a call is about, from its arguments."""
    if not args:
        return ""
    first = args[0]
    if isinstance(first, str):
        return first
    for name in ("worker_id", "step"):
        if hasattr(first, name):
            return str(getattr(first, name))
    keys = [item.key for group in args for item in _items(group) if hasattr(item, "key")]
    return " ".join(list(dict.fromkeys(keys))[:MAX_KEYS]) or str(first)


def _items(value: Any) -> list[Any]:
    return list(value) if isinstance(value, list | tuple) else []


def guard_store(store: Store, log: EventLog) -> Store:
    """Return a client of the store that raises only :class:`StoreError`."""
    return cast(Store, _CallGuard(store, "store", (StoreError,), StoreFault, log))


def guard_orders(orders: OrderSender, log: EventLog) -> OrderSender:
    """Return a sender that raises only :class:`WorkerError` and :class:`NotOwnerError`."""
    named = (WorkerError, NotOwnerError)
    return cast(OrderSender, _CallGuard(orders, "worker", named, WorkerFault, log))


def guard_peers(peers: PeerCaller, log: EventLog) -> PeerCaller:
    """Return a client of other daemons that raises only :class:`PeerError`."""
    return cast(PeerCaller, _CallGuard(peers, "daemon", (PeerError,), PeerError, log))


def guard_adviser(adviser: Adviser, log: EventLog) -> Adviser:
    """Return a client of the advice service that raises only :class:`AdviceError`."""
    return cast(Adviser, _CallGuard(adviser, "advice", (AdviceError,), AdviceError, log))


def guard_vms(vms: VmPlatform, log: EventLog) -> VmPlatform:
    """Return a client of the list of VMs that raises only :class:`PlatformError`."""
    return cast(VmPlatform, _CallGuard(vms, "vms", (PlatformError,), PlatformError, log))
