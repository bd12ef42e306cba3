"""Commands for VM phases, access keys, maintenance waves, status and explanations."""

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
from .client import CommandError, ExitStatus
from .session import Session

__all__ = ["DrainVm", "Explain", "JoinVm", "Key", "MoveVm", "Status", "WaveCommand"]


def fetch_object(session: Session, kind: str, name: str) -> tuple[Any, int]:
    """Return a configuration object and its revision.

    :raises CommandError: if it does not exist
    """
    for item in session.client.get("/config")["objects"]:
        if item["kind"] == kind and item["name"] == name:
            return structure_object(kind, item["object"]), item["revision"]
    raise CommandError(f"{kind} {name} does not exist", ExitStatus.NOT_FOUND)


def update_object(session: Session, kind: str, name: str, message: str, **fields: Any) -> int:
    """Change some fields of a configuration object; return the exit status.

    :param message: what is printed once the change is applied
    :param fields: new values by field name
    """
    current, revision = fetch_object(session, kind, name)
    try:
        value = attrs.evolve(current, **fields)
    except ConfigError as error:
        raise CommandError(str(error), ExitStatus.INVALID) from None
    return session.apply([Change(kind, name, value, revision)], message)


@cappa.command(name="drain", help="Stop sending new jobs to a VM.")
@attrs.define
class DrainVm:
    """Takes a VM out of service."""

    name: str

    def run(self, session: Session) -> int:
        """Set the phase of the VM to leaving."""
        message = f"vm {self.name} is leaving"
        return update_object(session, Vm.kind, self.name, message, phase=VmPhase.LEAVING)


@cappa.command(name="join", help="Send jobs to a VM again.")
@attrs.define
class JoinVm:
    """Returns a VM to service."""

    name: str

    def run(self, session: Session) -> int:
        """Set the phase of the VM to joined."""
        message = f"vm {self.name} has joined"
        fields = {"phase": VmPhase.JOINED, "wave": "", "move_to": ""}
        return update_object(session, Vm.kind, self.name, message, **fields)


@cappa.command(name="move", help="Move a VM to another pool once its jobs have ended.")
@attrs.define
class MoveVm:
    """Moves a VM to another pool."""

    name: str
    pool: str

    def run(self, session: Session) -> int:
        """Set the phase of the VM to leaving, with the other pool as its target."""
        current, _ = fetch_object(session, Vm.kind, self.name)
        if current.pool == self.pool:
            raise CommandError(f"vm {self.name} is in pool {self.pool} already", ExitStatus.INVALID)
        message = f"vm {self.name} is leaving for pool {self.pool}"
        fields = {"phase": VmPhase.LEAVING, "move_to": self.pool, "home": "", "wave": ""}
        return update_object(session, Vm.kind, self.name, message, **fields)


@cappa.command(name="grant", help="Create an access key for a team and print its secret.")
@attrs.define
class GrantKey:
    """Creates an access key."""

    team: str
    name: str | None = attrs.field(default=None, metadata={"cappa": cappa.Arg(long=True)})

    def run(self, session: Session) -> int:
        """Generate a secret locally; only its digest is sent to the daemon."""
        secret = make_secret()
        digest = digest_secret(secret)
        name = self.name or f"{self.team}-{digest[:8]}"
        try:
            key = AccessKey(name, self.team, digest)
        except ConfigError as error:
            raise CommandError(f"key {name}: {error}", ExitStatus.INVALID) from None
        if session.as_json:
            revision = session.client.apply([Change(AccessKey.kind, name, key)])
            lagging = (
                session.client.wait_until_in_force(revision, session.wait_seconds)
                if session.wait_seconds
                else []
            )
            session.print_json(
                {"name": name, "secret": secret, "revision": revision, "late": lagging}
            )
            return ExitStatus.NOT_IN_FORCE if lagging else ExitStatus.OK
        status = session.apply([Change(AccessKey.kind, name, key)], f"key {name} is granted")
        session.print_text(f"secret (shown only now): {secret}")
        return status


@cappa.command(name="withdraw", help="Withdraw an access key.")
@attrs.define
class WithdrawKey:
    """Withdraws an access key."""

    name: str

    def run(self, session: Session) -> int:
        """Mark the key as withdrawn."""
        message = f"key {self.name} is withdrawn"
        return update_object(session, AccessKey.kind, self.name, message, withdrawn=True)


@cappa.command(name="list", help="List the access keys without their secrets.")
@attrs.define
class ListKeys:
    """Lists the access keys."""

    def run(self, session: Session) -> int:
        """Print the access keys."""
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
            session.print_json(keys)
        else:
            columns = ["name", "team", "withdrawn", "changed by", "changed at"]
            session.print_table("keys", columns, [list(key.values()) for key in keys])
        return ExitStatus.OK


@cappa.command(name="key", help="Access keys.")
@attrs.define
class Key:
    """Commands for access keys."""

    command: cappa.Subcommands[GrantKey | WithdrawKey | ListKeys]


@cappa.command(name="plan", help="Preview a wave without starting it.")
@attrs.define
class PlanWave:
    """Previews a wave."""

    pools: list[str] = attrs.field(factory=list)

    def run(self, session: Session) -> int:
        """Print the rounds, the estimated duration and the binding budgets."""
        plan = session.client.post("/waves/preview", {"pools": self.pools})
        if session.as_json:
            session.print_json(plan)
            return ExitStatus.OK
        rows = [(index, ", ".join(names)) for index, names in enumerate(plan["rounds"], 1)]
        session.print_table(f"{plan['vms']} VMs", ["round", "drained together"], rows)
        if plan["rounds"]:
            session.print_text(
                f"estimated duration: {plan['seconds']:.0f} s; lower bound by the budgets: "
                f"{plan['bound_seconds']:.0f} s"
            )
        elif plan["vms"]:
            session.print_text("no estimate: the budgets do not allow any VM to be drained")
        if plan["binding_budgets"]:
            session.print_text(f"limited by budgets: {', '.join(plan['binding_budgets'])}")
        if plan["blocked"]:
            session.print_text(f"never drained because of budgets: {', '.join(plan['blocked'])}")
        return ExitStatus.OK


@cappa.command(name="start", help="Start a wave in some pools, or in all.")
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
        default=None, metadata={"cappa": cappa.Arg(long=True, help="ISO 8601 with time zone")}
    )

    def run(self, session: Session) -> int:
        """Create the wave, which starts it."""
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
            raise CommandError(f"wave {self.name}: {error}", ExitStatus.INVALID) from None
        return session.apply([Change(Wave.kind, self.name, wave)], f"wave {self.name} is started")


def _make_state_command(verb: str, state: WaveState, outcome: str, help_text: str) -> type:
    """Return the command that sets the state of a wave.

    :param verb: name of the command
    :param state: state that it sets
    :param outcome: outcome in the printed message
    :param help_text: help of the command
    """
    command_class: Any = attrs.make_class(f"{verb.title()}Wave", {"name": attrs.field(type=str)})

    def run(self: Any, session: Session) -> int:
        current, _ = fetch_object(session, Wave.kind, self.name)
        if current.state in (WaveState.DONE, WaveState.ABORTED):
            raise CommandError(f"wave {self.name} is {current.state}", ExitStatus.INVALID)
        message = f"wave {self.name} is {outcome}"
        return update_object(session, Wave.kind, self.name, message, state=state, reason="")

    command_class.run = run
    return cappa.command(name=verb, help=help_text)(command_class)


PauseWave = _make_state_command("pause", WaveState.PAUSED, "paused", "Stop draining further VMs.")
ResumeWave = _make_state_command(
    "resume", WaveState.RUNNING, "running again", "Resume a paused wave."
)
AbortWave = _make_state_command(
    "abort",
    WaveState.ABORTED,
    "aborted",
    "Stop draining further VMs and return draining ones to service.",
)


@cappa.command(name="list", help="Show the waves and their progress.")
@attrs.define
class ListWaves:
    """Lists the waves."""

    def run(self, session: Session) -> int:
        """Print the waves."""
        waves = session.client.get("/status")["fleet"]["waves"]
        if session.as_json:
            session.print_json(waves)
        else:
            print_waves(session, waves)
        return ExitStatus.OK


def print_waves(session: Session, waves: list[dict[str, Any]]) -> None:
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
    columns = [
        "wave",
        "state",
        "done",
        "in progress",
        "left",
        "seconds left",
        "limited by",
        "reason",
    ]
    session.print_table("waves", columns, rows)


@cappa.command(name="wave", help="Maintenance waves.")
@attrs.define
class WaveCommand:
    """Commands for maintenance waves."""

    command: cappa.Subcommands[
        PlanWave | StartWave | PauseWave | ResumeWave | AbortWave | ListWaves  # type: ignore[valid-type]
    ]


def describe_owner_failures(row: dict[str, Any]) -> str:
    """Return a line about a pool whose owners fail, or about the fleet planner."""
    subjects = [f"{name} {row[name]}" for name in ("worker", "job") if row[name]]
    subjects += [f"{name} set aside" for name in row.get("set_aside", ())]
    place = f"now at {row['owner']}" if row["owner"] else "without an owner now"
    return (
        f"{row['pool']}: {row['failures']} owners in a row failed, at "
        f"{', '.join(row['failed_on'])}; {place}; {'; '.join([*subjects, row['reason']])}"
    )


@cappa.command(name="status", help="Show daemons, teams, pools and waves.")
@attrs.define
class Status:
    """Shows the state of the system."""

    def run(self, session: Session) -> int:
        """Print the state of the system."""
        status = session.client.get("/status")
        if session.as_json:
            session.print_json(status)
            return ExitStatus.OK
        readiness = "ready" if status["ready"] else f"not ready: {status['reason']}"
        store = "answers" if status["store_available"] else "does not answer"
        session.print_text(
            f"{status['daemon']}: {readiness}; epoch {status['epoch']} {status['epoch_state']}; "
            f"configuration {status['config_revision']}; the store {store}"
        )
        for row in status.get("owner_failures", ()):
            session.print_text(describe_owner_failures(row))
        daemons = [list(daemon.values()) for daemon in status["daemons"]]
        session.print_table(
            "daemons", ["member", "data centre", "configuration", "live", "in view"], daemons
        )
        teams = [list(team.values()) for team in status["teams"]]
        session.print_table(
            "teams", ["team", "weight", "limit", "running here", "waiting here"], teams
        )
        pools = [list(pool.values()) for pool in status["fleet"]["pools"]]
        columns = ["pool", "VMs", "available", "lent", "slots", "running", "waiting"]
        session.print_table("pools", columns, pools)
        if status["fleet"]["waves"]:
            print_waves(session, status["fleet"]["waves"])
        return ExitStatus.OK


@cappa.command(name="explain", help="Explain the outcome of a job or the state of a VM.")
@attrs.define
class Explain:
    """Explains a job or a VM."""

    name: str

    def run(self, session: Session) -> int:
        """Print the explanation of the VM, or else of the job, with this name."""
        try:
            explanation = session.client.get(f"/explain/vm/{self.name}")
        except CommandError as error:
            if error.status != ExitStatus.NOT_FOUND:
                raise
            explanation = session.client.get(f"/explain/job/{self.name}")
        if session.as_json:
            session.print_json(explanation)
        else:
            session.print_table(self.name, ["what", "value"], list(explanation.items()))
        return ExitStatus.OK
