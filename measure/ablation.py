"""Copies of the tree with one mechanism switched off each, and a table of what they were worth.

``python -m measure.ablation copies FOLDER`` writes a copy for each mechanism. After a day was
played on each, with ``ablation NAME`` in the reason that its journal entry gives, ``python -m
measure.ablation table JOURNAL`` prints the mean worth of each beside that of the code as it is, on
the same days.
"""

from __future__ import annotations

import argparse
import json
import math
import pathlib
import re
import shutil
import statistics
from collections import defaultdict
from collections.abc import Iterable

import attrs

__all__ = ["MECHANISMS", "AblationError", "Mechanism", "main", "switch_off"]

AS_IT_IS = "as-it-is"
LEFT_OUT = shutil.ignore_patterns(".venv", "target", "build", "__pycache__")
REASON = re.compile(r"ablation ([a-z-]+)")


class AblationError(Exception):
    """A mechanism is not where its switch looks for it."""


@attrs.frozen
class Mechanism:
    """A mechanism, and the text that is replaced to switch it off.

    :param name: its name
    :param path: module in the package
    :param on: text of the module
    :param off: text that takes its place
    """

    name: str
    path: str
    on: str
    off: str


MECHANISMS = (
    Mechanism(
        "orders-noted-ahead",
        "ownership/planner.py",
        "                self.tasks.start_soon(self._store_waves)\n",
        "                await anyio.sleep(self.context.timing.holder_lease)\n"
        "                self.tasks.start_soon(self._store_waves)\n",
    ),
    Mechanism(
        "claims-at-once",
        "ownership/node.py",
        "STARTUP_CLAIM_SECONDS = 0.15",
        "STARTUP_CLAIM_SECONDS = 0.5",
    ),
    Mechanism(
        "planner-that-stays",
        "ownership/directory.py",
        "_recently_restarted(members, pool_counts) if pool == PLANNER else set()",
        "set()",
    ),
    Mechanism(
        "turns-foreseen",
        "fleet/peak_forecast.py",
        "        interval = self._mean_interval()\n",
        "        return {}\n",
    ),
    Mechanism(
        "rest-between-turns",
        "fleet/peak_forecast.py",
        "        if last is None or now - last.seen_at < QUIET_SECONDS:\n",
        "        if True:\n",
    ),
    Mechanism(
        "rise-of-demand",
        "scheduling/arrivals.py",
        "return max(steady, sudden) + self._expected_growth(recent, now, window)",
        "return max(steady, sudden)",
    ),
    Mechanism(
        "chance-part",
        "scheduling/arrivals.py",
        "sum(latest) - _standard_deviation(latest)",
        "sum(latest)",
    ),
    Mechanism(
        "ready-part",
        "fleet/demand.py",
        "PEAK_RESERVE_FRACTION = 0.4",
        "PEAK_RESERVE_FRACTION = 0.0",
    ),
    Mechanism("spare-vm", "fleet/demand.py", "self.min_spread_vms + 1", "self.min_spread_vms"),
    Mechanism(
        "lending",
        "fleet/demand.py",
        "            lendable[pool] = min(removable, spare)\n",
        "            pass\n",
    ),
    Mechanism(
        "keep-time", "fleet/demand.py", "STANDBY_AFTER_SECONDS = 2.4", "STANDBY_AFTER_SECONDS = 0.8"
    ),
    Mechanism(
        "late-jobs-behind",
        "ownership/admission.py",
        "        if not late_verdict.accepted:\n",
        "        if True:\n",
    ),
    Mechanism(
        "copies",
        "pool/speculation.py",
        "if step.speculative and not step.lasting",
        "if False and not step.lasting",
    ),
    Mechanism(
        "cheap-verdicts",
        "ownership/admission.py",
        "        if immediate is not None and",
        "        if False and",
    ),
    Mechanism(
        "kept-forecast",
        "ownership/admission.py",
        "MAX_FORECAST_AGE_SECONDS, cost / FORECAST_CPU_FRACTION",
        "0.0, cost / FORECAST_CPU_FRACTION",
    ),
    Mechanism(
        "strength-in-claims",
        "ownership/directory.py",
        "    return max(MIN_STRENGTH, min(processors, link_mbits / MBITS_PER_PROCESSOR))\n",
        "    return 1.0\n",
    ),
    Mechanism(
        "watch-reopening",
        "ownership/listing.py",
        "watch_timeout=SILENCE_SECONDS",
        "watch_timeout=None",
    ),
)


def switch_off(mechanism: Mechanism, package: pathlib.Path) -> None:
    """Switch a mechanism off in a copy of the package.

    :raises AblationError: if its text does not stand there exactly once
    """
    module = package / mechanism.path
    text = module.read_text()
    if text.count(mechanism.on) != 1:
        raise AblationError(f"{mechanism.name}: its text is not once in {mechanism.path}")
    module.write_text(text.replace(mechanism.on, mechanism.off))


def write_copies(folder: pathlib.Path) -> None:
    """Write a copy of the tree for each mechanism, and one of the code as it is."""
    here = pathlib.Path(__file__).parent.parent
    for name in (AS_IT_IS, *(mechanism.name for mechanism in MECHANISMS)):
        shutil.copytree(here, folder / name, ignore=LEFT_OUT)
    for mechanism in MECHANISMS:
        switch_off(mechanism, folder / mechanism.name / "limpetpulley")


def read_plays(journal: pathlib.Path) -> dict[str, dict[tuple, float]]:
    """Return the worth of each day by mechanism; a day is a deployment, its name and its seed."""
    plays: dict[str, dict[tuple, float]] = defaultdict(dict)
    for path in sorted(journal.glob("*.json")):
        entry = json.loads(path.read_text())
        found = REASON.search(entry.get("why") or "")
        if found and entry.get("ok"):
            for day in entry["days"]:
                plays[found[1]][entry["site"], day["name"], day["seed"]] = day["G"]
    return plays


def print_table(plays: dict[str, dict[tuple, float]]) -> None:
    """Print what each mechanism is worth on each deployment: the mean loss without it."""
    sites = sorted({site for days in plays.values() for site, _, _ in days})
    print("| switched off | " + " | ".join(sites) + " |")
    print("|---|" + "---:|" * len(sites))
    print(f"| none (worth) | {' | '.join(_worth(plays[AS_IT_IS], site) for site in sites)} |")
    for name in sorted(plays.keys() - {AS_IT_IS}):
        figures = (_difference(plays[AS_IT_IS], plays[name], site) for site in sites)
        print(f"| {name} | {' | '.join(figures)} |")


def _worth(days: dict[tuple, float], site: str) -> str:
    return _mean_and_spread(worth for day, worth in days.items() if day[0] == site)


def _difference(whole: dict[tuple, float], without: dict[tuple, float], site: str) -> str:
    common = [day for day in without if day[0] == site and day in whole]
    return _mean_and_spread((without[day] - whole[day] for day in common), "+")


def _mean_and_spread(values: Iterable[float], sign: str = "") -> str:
    """Return a mean with its standard error, and how many days it is of."""
    rows = list(values)
    if not rows:
        return ""
    error = statistics.stdev(rows) / math.sqrt(len(rows)) if len(rows) > 1 else math.nan
    return f"{statistics.fmean(rows):{sign}.3f} ± {error:.3f} ({len(rows)})"


def main() -> None:
    """Write the copies or print the table."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("what", choices=("copies", "table"))
    parser.add_argument("folder", type=pathlib.Path, help="for the copies, or with the journal")
    options = parser.parse_args()
    if options.what == "copies":
        write_copies(options.folder)
    else:
        print_table(read_plays(options.folder))


if __name__ == "__main__":
    main()
