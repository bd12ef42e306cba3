"""Run the measurements and print them as Markdown tables."""

from __future__ import annotations

import argparse
import random
import sys
import time

from absl import logging

from .daemon import measure_daemon
from .deployments import DEPLOYMENTS
from .fleet import measure_fleet, measure_planning
from .load import Pattern, make_jobs
from .reference import run_omniscient, run_static
from .sharing import measure_sharing
from .table import Row, print_rows

SEED = 1
TRACE_SECONDS = 60.0


def sharing_rows(name: str, large_daemons: int) -> list[Row]:
    """Return the figures of one deployment under peaks in turn."""
    pattern = Pattern(seconds=TRACE_SECONDS, large_daemons=large_daemons)
    deployment = DEPLOYMENTS[name]
    jobs = make_jobs(deployment, pattern, random.Random(SEED))
    ours = measure_sharing(name, pattern, SEED)
    best, plain = run_omniscient(deployment, jobs), run_static(deployment, jobs)
    missed = max(0, best.answered - ours.answered) / len(jobs)
    missed_plain = max(0, best.answered - plain.answered) / len(jobs)
    return [
        Row("jobs in the trace", len(jobs)),
        Row("closeness to due share", ours.closeness, "", "under 0.05"),
        Row("closeness, static division", plain.closeness),
        Row("late after acceptance", ours.late, "jobs", "0"),
        Row("refused though an omniscient scheduler accepts", missed * 100, "%", "under 2"),
        Row("the same, static division", missed_plain * 100, "%"),
        Row("slots idle while an allowed job waits", ours.idle * 100, "%", "under 2"),
        Row("the same, static division", plain.idle * 100, "%"),
        Row("messages between daemons a job", ours.messages / len(jobs)),
    ]


def maintenance_rows(name: str) -> list[Row]:
    """Return the figures of one deployment while a wave runs under peaks in turn."""
    pattern = Pattern(seconds=TRACE_SECONDS)
    ours = measure_sharing(name, pattern, SEED, wave=True)
    quiet = measure_sharing(name, pattern, SEED)
    vms = len(DEPLOYMENTS[name].vm_names())
    return [
        Row("VMs maintained in the trace", ours.maintained, f"of {vms}"),
        Row("late because of maintenance", ours.late - quiet.late, "jobs", "0"),
        Row(
            "refused because of maintenance", (ours.refused - quiet.refused) / ours.jobs * 100, "%"
        ),
        Row("moves a minute with the wave", ours.moves / TRACE_SECONDS * 60),
        Row("moves a minute without", quiet.moves / TRACE_SECONDS * 60),
        Row("spare buffer", DEPLOYMENTS[name].vms * 24, "VM-hours a day"),
    ]


def main() -> None:
    """Run what the arguments name, or everything."""
    parser = argparse.ArgumentParser(prog="python -m measure")
    parser.add_argument("parts", nargs="*", choices=["daemon", "sharing", "fleet", []])
    wanted = parser.parse_args().parts or ["daemon", "sharing", "fleet"]
    logging.set_verbosity(logging.FATAL)
    began = time.monotonic()
    if "daemon" in wanted:
        print_rows("One daemon, and a change on nine", measure_daemon())
    if "sharing" in wanted:
        for name in DEPLOYMENTS:
            for entries, text in ((2, "the large team through 2 daemons"), (0, "through all")):
                title = f"Sharing, {name}, {text} (seed {SEED}, {TRACE_SECONDS:.0f} s)"
                print_rows(title, sharing_rows(name, entries))
                sys.stdout.flush()
    if "fleet" in wanted:
        for name in DEPLOYMENTS:
            print_rows(f"A wave over the whole fleet, {name}", measure_fleet(name))
            title = f"Maintenance under peaks, {name} (seed {SEED}, {TRACE_SECONDS:.0f} s)"
            print_rows(title, maintenance_rows(name))
        print_rows("Planning", measure_planning())
    print(f"\nmeasured in {time.monotonic() - began:.0f} s")


main()
