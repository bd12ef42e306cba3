"""What the scripts have in common: the configuration, the runs of a tenant, the exit code."""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys
from collections.abc import Awaitable, Callable
from typing import Any

from .deployment import Deployment

KEY = "sjnbanfqasnmgkcuyj8p"
TENANT = "cugo130"
#: longest time that a script may take, in seconds
LIMIT_SECONDS = 110.0


def has_trouble() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"


def make_config(deployment: Deployment, upper_cpu: int = 0, stretch: float = 2.2) -> dict[str, Any]:
    """Configure one service, one queue and one tenant; return the route."""
    route = {
        "name": "r-1",
        "host": "pule25.example",
        "pathPrefix": "/puxa400/",
        "kind": "non_idempotent",
        "timeoutMs": 3000,
        "targetLatencyMs": 2500,
        "priority": 0,
        "service": "drivers",
        "maxAttempts": 3,
        "stretch": stretch,
        "public": False,
    }
    deployment.config.update(
        routes=[route],
        services=[{"name": "drivers", "admissionCheck": True, "standby": False}],
        limits={},
        tenants=[
            {
                "name": TENANT,
                "apiKeys": [KEY],
                "priority": 1,
                "weight": 26,
                "upperBound": {"cpu": upper_cpu, "memMb": 0, "gpu": 0},
            }
        ],
    )
    return route


def add_second_service(deployment: Deployment) -> dict[str, Any]:
    """Configure another service with a queue of its own; return its route."""
    route = {**deployment.config["routes"][0], "name": "r-2", "pathPrefix": "/tije37/"}
    route["service"] = "depot"
    deployment.config["routes"].append(route)
    deployment.config["services"].append(
        {"name": "depot", "admissionCheck": True, "standby": False}
    )
    return route


def run_case(
    file: str, run: Callable[[Deployment], Awaitable[bool]], daemons: int = 3
) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""

    async def main() -> int:
        deployment = Deployment(pathlib.Path(file).resolve().parent, daemons)
        try:
            return 1 if await asyncio.wait_for(run(deployment), LIMIT_SECONDS) else 0
        except Exception as error:
            deployment.record.write(f"the case could not run: {error!r}")
            return 2
        finally:
            await deployment.close()

    sys.exit(asyncio.run(main()))
