"""Commands for VMs on their way, maintenance waves, keys and explanations."""

from __future__ import annotations

from typing import Any

import attrs
import cappa

from ..config import (
    AccessKey,
    Change,
    Vm,
    VmPhase,
    Wave,
    WaveState,
    digest_secret,
    make_secret,
    structure_object,
)
from ..exception import ConfigError
from .client import ExitStatus, OperatorsError
from .session import Session

__all__ = ["DrainVm", "Explain", "JoinVm", "Key", "MoveVm", "Status", "WaveCommand"]


def find(session: Session, kind: str, name: str) -> tuple[Any, int]:
    """Return an object in force and its revision.

    :raises OperatorsError: if there is none
    """
    for item in session.client.get("/config")["objects"]:
        if item["kind"] == kind and item["name"] == name:
            return structure_object(kind, item["object"]), item["revision"]
    raise OperatorsError(f"{kind} {name} does not exist", ExitStatus.NOT_FOUND)


def change_object(session: Session, kind: str, name: str, done: str, **fields: Any) -> int:
    """Change some fields of an object in force; return the exit status."""
    held, revision = find(session, kind, name)
    try:
        value = attrs.evolve(held, **fields)
    except ConfigError as error:
        raise OperatorsError(str(error), ExitStatus.INVALID) from None
    return session.apply([Change(kind, name, value, revision)], done)


@cappa.command(name="drain", help="Send it no new jobs.")
@attrs.define
class DrainVm:
    """Takes a VM out of service."""

    name: str

    def run(self, session: Session) -> int:
        """Let the VM leave."""
        done = f"vm {self.name} is leaving"
        return change_object(session, Vm.kind, self.name, done, phase=VmPhase.LEAVING)


@cappa.command(name="join", help="Let it take jobs again.")
@attrs.define
class JoinVm:
    """Takes a VM back into service."""

    name: str

    def run(self, session: Session) -> int:
        """Let the VM join."""
        done = f"vm {self.name} has joined"
        fields = {"phase": VmPhase.JOINED, "wave": "", "move_to": ""}
        return change_object(session, Vm.kind, self.name, done, **fields)


@cappa.command(name="move", help="Move it to another pool, once its jobs are done.")
@attrs.define
class MoveVm:
    """Moves a VM to another pool."""

    name: str
    pool: str

    def run(self, session: Session) -> int:
        """Let the VM leave for the other pool."""
        held, _ = find(session, Vm.kind, self.name)
        if held.pool == self.pool:
            raise OperatorsError(
                f"vm {self.name} is in pool {self.pool} already", ExitStatus.INVALID
            )
        done = f"vm {self.name} is leaving for pool {self.pool}"
        fields = {"phase": VmPhase.LEAVING, "move_to": self.pool, "home": "", "wave": ""}
        return change_object(session, Vm.kind, self.name, done, **fields)


@cappa.command(name="grant", help="Grant a team a new key and print its secret once.")
@attrs.define
class GrantKey:
    """Grants a key."""

    team: str
    name: str | None = attrs.field(default=None, metadata={"cappa": cappa.Arg(long=True)})

    def run(self, session: Session) -> int:
        """Make a secret here; only its digest is sent."""
        secret = make_secret()
        digest = digest_secret(secret)
        name = self.name or f"{self.team}-{digest[:8]}"
        try:
            key = AccessKey(name, self.team, digest)
        except ConfigError as error:
            raise OperatorsError(f"key {name}: {error}", ExitStatus.INVALID) from None
        if session.as_json:
            revision = session.client.apply([Change(AccessKey.kind, name, key)])
            late = (
                session.client.wait_in_force(revision, session.wait_seconds)
                if session.wait_seconds
                else []
            )
            session.show({"name": name, "secret": secret, "revision": revision, "late": late})
            return ExitStatus.NOT_IN_FORCE if late else ExitStatus.OK
        status = session.apply([Change(AccessKey.kind, name, key)], f"key {name} is granted")
        session.say(f"secret (shown only now): {secret}")
        return status


@cappa.command(name="withdraw", help="Let a key stop working.")
@attrs.define
class WithdrawKey:
    """Withdraws a key."""

    name: str

    def run(self, session: Session) -> int:
        """Mark the key as withdrawn."""
        done = f"key {self.name} is withdrawn"
        return change_object(session, AccessKey.kind, self.name, done, withdrawn=True)


@cappa.command(name="list", help="List the keys, without secrets.")
@attrs.define
class ListKeys:
    """Lists the keys."""

    def run(self, session: Session) -> int:
        """Print the keys."""
        items = [i for i in session.client.get("/config")["objects"] if i["kind"] == "key"]
        keys = [
            {
                "name": item["name"],
                "team": item["object"]["team"],
                "withdrawn": item["object"]["withdrawn"],
                "changed_by": item["changed_by"],
                "changed_at": item["changed_at"],
            }
            for item in items
        ]
        if session.as_json:
            session.show(keys)
        else:
            columns = ["name", "team", "withdrawn", "changed by", "changed at"]
            session.table("keys", columns, [list(key.values()) for key in keys])
        return ExitStatus.OK


@cappa.command(name="key", help="Access keys.")
@attrs.define
class Key:
    """Commands for access keys."""

    command: cappa.Subcommands[GrantKey | WithdrawKey | ListKeys]


@cappa.command(name="plan", help="Show what a wave would do, without starting it.")
@attrs.define
class PlanWave:
    """Previews a wave."""

    pools: list[str] = attrs.field(factory=list)

    def run(self, session: Session) -> int:
        """Print the rounds, the time and the budgets that bind."""
        plan = session.client.post("/waves/preview", {"pools": self.pools})
        if session.as_json:
            session.show(plan)
            return ExitStatus.OK
        rows = [(index, ", ".join(names)) for index, names in enumerate(plan["rounds"], 1)]
        session.table(f"{plan['vms']} VMs", ["round", "taken at once"], rows)
        if plan["rounds"]:
            session.say(
                f"about {plan['seconds']:.0f} s; the budgets allow no less than "
                f"{plan['bound_seconds']:.0f} s"
            )
        elif plan["vms"]:
            session.say("no time can be told: the budgets let no VM go")
        if plan["binding_budgets"]:
            session.say(f"held back by: {', '.join(plan['binding_budgets'])}")
        if plan["blocked"]:
            session.say(f"never let go by the budgets: {', '.join(plan['blocked'])}")
        return ExitStatus.OK


@cappa.command(name="start", help="Start a wave over some pools, or all.")
@attrs.define
class StartWave:
    """Starts a wave."""

    name: str
    pools: list[str] = attrs.field(factory=list)
    max_failures: int = attrs.field(default=2, metadata={"cappa": cappa.Arg(long=True)})
    window_start: str | None = attrs.field(
        default=None, metadata={"cappa": cappa.Arg(long=True, help="HH:MM in UTC")}
    )
    window_end: str | None = attrs.field(
        default=None, metadata={"cappa": cappa.Arg(long=True, help="HH:MM in UTC")}
    )
    finish_by: str | None = attrs.field(
        default=None, metadata={"cappa": cappa.Arg(long=True, help="ISO 8601 with zone")}
    )

    def run(self, session: Session) -> int:
        """Write the wave."""
        try:
            wave = Wave(
                self.name,
                tuple(self.pools),
                WaveState.RUNNING,
                self.max_failures,
                self.window_start or "",
                self.window_end or "",
                self.finish_by or "",
            )
        except ConfigError as error:
            raise OperatorsError(f"wave {self.name}: {error}", ExitStatus.INVALID) from None
        return session.apply([Change(Wave.kind, self.name, wave)], f"wave {self.name} is started")


def _state_command(verb: str, state: WaveState, done: str, help_text: str) -> type:
    made: Any = attrs.make_class(f"{verb.title()}Wave", {"name": attrs.field(type=str)})

    def run(self: Any, session: Session) -> int:
        held, _ = find(session, Wave.kind, self.name)
        if held.state in (WaveState.DONE, WaveState.ABORTED):
            raise OperatorsError(f"wave {self.name} is {held.state}", ExitStatus.INVALID)
        text = f"wave {self.name} is {done}"
        return change_object(session, Wave.kind, self.name, text, state=state, reason="")

    made.run = run
    return cappa.command(name=verb, help=help_text)(made)


PauseWave = _state_command("pause", WaveState.PAUSED, "paused", "Take no further VMs.")
ResumeWave = _state_command("resume", WaveState.RUNNING, "running again", "Go on.")
AbortWave = _state_command(
    "abort", WaveState.ABORTED, "aborted", "Take no further VMs and bring draining ones back."
)


@cappa.command(name="list", help="Show the waves and how far they are.")
@attrs.define
class ListWaves:
    """Lists the waves."""

    def run(self, session: Session) -> int:
        """Print the waves."""
        waves = session.client.get("/status")["fleet"]["waves"]
        if session.as_json:
            session.show(waves)
        else:
            show_waves(session, waves)
        return ExitStatus.OK


def show_waves(session: Session, waves: list[dict[str, Any]]) -> None:
    """Print waves as a table."""
    rows = [
        (
            wave["wave"],
            wave["state"],
            wave["done"],
            ", ".join(f"{vm} {phase}" for vm, phase in wave["on_their_way"].items()),
            wave["left"],
            f"{wave['seconds_left']:.0f}",
            ", ".join(wave["binding_budgets"]),
            wave["reason"] or ", ".join(wave["failed"]),
        )
        for wave in waves
    ]
    columns = ["wave", "state", "done", "on their way", "left", "s left", "held by", "reason"]
    session.table("waves", columns, rows)


@cappa.command(name="wave", help="Maintenance waves.")
@attrs.define
class WaveCommand:
    """Commands for maintenance waves."""

    command: cappa.Subcommands[
        PlanWave | StartWave | PauseWave | ResumeWave | AbortWave | ListWaves  # type: ignore[valid-type]
    ]


@cappa.command(name="status", help="Show daemons, teams, pools and waves.")
@attrs.define
class Status:
    """Shows the system's state."""

    def run(self, session: Session) -> int:
        """Print the state."""
        status = session.client.get("/status")
        if session.as_json:
            session.show(status)
            return ExitStatus.OK
        ready = "ready" if status["ready"] else f"not ready: {status['reason']}"
        store = "answers" if status["store_available"] else "is away"
        session.say(
            f"{status['daemon']}: {ready}; epoch {status['epoch']} {status['epoch_state']}; "
            f"configuration {status['config_revision']}; the store {store}"
        )
        daemons = [list(daemon.values()) for daemon in status["daemons"]]
        session.table(
            "daemons", ["member", "data centre", "configuration", "live", "in view"], daemons
        )
        teams = [list(team.values()) for team in status["teams"]]
        session.table("teams", ["team", "weight", "limit", "running here", "waiting here"], teams)
        pools = [list(pool.values()) for pool in status["fleet"]["pools"]]
        columns = ["pool", "VMs", "available", "lent", "slots", "running", "waiting"]
        session.table("pools", columns, pools)
        if status["fleet"]["waves"]:
            show_waves(session, status["fleet"]["waves"])
        return ExitStatus.OK


@cappa.command(name="explain", help="Tell what became of a job, or why a VM is where it is.")
@attrs.define
class Explain:
    """Explains a job or a VM."""

    name: str

    def run(self, session: Session) -> int:
        """Print what is known."""
        try:
            found = session.client.get(f"/explain/vm/{self.name}")
        except OperatorsError as error:
            if error.status != ExitStatus.NOT_FOUND:
                raise
            found = session.client.get(f"/explain/job/{self.name}")
        if session.as_json:
            session.show(found)
        else:
            session.table(self.name, ["what", "value"], list(found.items()))
        return ExitStatus.OK
