"""Run the main measurements and print their results as Markdown tables."""

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
    """Return the fair-share figures of a deployment whose queues peak one after another.

    :param large_daemons: daemons that the large team submits through, 0 for all
    """
    pattern = Pattern(seconds=TRACE_SECONDS, large_daemons=large_daemons)
    deployment = DEPLOYMENTS[name]
    jobs = make_jobs(deployment, pattern, random.Random(SEED))
    result = measure_sharing(name, pattern, SEED)
    omniscient, static = run_omniscient(deployment, jobs), run_static(deployment, jobs)
    missed_rate = max(0, omniscient.answered - result.answered) / len(jobs)
    missed_rate_static = max(0, omniscient.answered - static.answered) / len(jobs)
    return [
        Row("jobs in the trace", len(jobs)),
        Row("deviation from fair share", result.share_deviation, "", "under 0.05"),
        Row("the same, static partitioning", static.share_deviation),
        Row("accepted, but not answered in time", result.late, "jobs", "0"),
        Row("answered in time only by an omniscient scheduler", missed_rate * 100, "%", "under 2"),
        Row("the same, static partitioning", missed_rate_static * 100, "%"),
        Row("slots idle while an eligible job waits", result.idle_fraction * 100, "%", "under 2"),
        Row("the same, static partitioning", static.idle_fraction * 100, "%"),
        Row("messages between daemons per job", result.messages / len(jobs)),
    ]


def maintenance_rows(name: str) -> list[Row]:
    """Return the figures of a deployment during a maintenance wave under rotating peaks."""
    pattern = Pattern(seconds=TRACE_SECONDS)
    result = measure_sharing(name, pattern, SEED, wave=True)
    baseline = measure_sharing(name, pattern, SEED)
    vms = len(DEPLOYMENTS[name].vm_names())
    return [
        Row("VMs maintained during the trace", result.maintained, f"of {vms}"),
        Row("late because of maintenance", result.late - baseline.late, "jobs", "0"),
        Row(
            "refused because of maintenance",
            (result.refused - baseline.refused) / result.jobs * 100,
            "%",
        ),
        Row("VM moves per minute with the wave", result.moves / TRACE_SECONDS * 60),
        Row("VM moves per minute without a wave", baseline.moves / TRACE_SECONDS * 60),
        Row("spare buffer", DEPLOYMENTS[name].vms * 24, "VM-hours per day"),
    ]


def main() -> None:
    """Run the parts named by the arguments, or all of them."""
    parser = argparse.ArgumentParser(prog="python -m measure")
    parser.add_argument("parts", nargs="*", choices=["daemon", "sharing", "fleet", []])
    parts = parser.parse_args().parts or ["daemon", "sharing", "fleet"]
    logging.set_verbosity(logging.FATAL)
    started_at = time.monotonic()
    if "daemon" in parts:
        print_rows("One daemon, and a configuration change on nine daemons", measure_daemon())
    if "sharing" in parts:
        for name in DEPLOYMENTS:
            for large_daemons, text in (
                (2, "the large team through 2 daemons"),
                (0, "through all daemons"),
            ):
                title = f"Sharing, {name}, {text} (seed {SEED}, {TRACE_SECONDS:.0f} s)"
                print_rows(title, sharing_rows(name, large_daemons))
                sys.stdout.flush()
    if "fleet" in parts:
        for name in DEPLOYMENTS:
            print_rows(f"A wave over the whole fleet, {name}", measure_fleet(name))
            title = f"Maintenance under rotating peaks, {name} (seed {SEED}, {TRACE_SECONDS:.0f} s)"
            print_rows(title, maintenance_rows(name))
        print_rows("Planning time", measure_planning())
    print(f"\nmeasured in {time.monotonic() - started_at:.0f} s")


main()
