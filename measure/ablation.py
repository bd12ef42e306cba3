"""Ablation study: copies of the source tree with one mechanism disabled each, and their scores.

``python -m measure.ablation copies FOLDER`` writes a copy for each mechanism. Once the same days of
load have been run on every copy, with ``ablation NAME`` in the ``why`` field of the journal entry,
``python -m measure.ablation table JOURNAL`` prints how the mean score of each copy differs from
that of the unmodified code on the same days.
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

__all__ = ["MECHANISMS", "AblationError", "Mechanism", "main", "disable_mechanism"]

UNMODIFIED = "as-it-is"
IGNORED_PATHS = shutil.ignore_patterns(".venv", "target", "build", "__pycache__")
REASON_PATTERN = re.compile(r"ablation ([a-z-]+)")


class AblationError(Exception):
    """The source text of a mechanism does not occur exactly once."""


@attrs.frozen
class Mechanism:
    """A mechanism and the source text that is replaced to disable it.

    :param name: name of the mechanism, as journal entries give it
    :param path: path of its module within the package
    :param on: source text of the module with the mechanism enabled
    :param off: text that replaces it to disable the mechanism
    """

    name: str
    path: str
    on: str
    off: str


MECHANISMS = (
    Mechanism(
        "orders-noted-ahead",
        "ownership/planner.py",
        "                self.tasks.start_soon(self.wave_tracker.run)\n",
        "                await anyio.sleep(self.context.timing.holder_lease)\n"
        "                self.tasks.start_soon(self.wave_tracker.run)\n",
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
        "listed-down",
        "ownership/pool_reports.py",
        "(Phase.MOVING, Phase.MAINTENANCE, Phase.DOWN)",
        "(Phase.MOVING, Phase.MAINTENANCE)",
    ),
    Mechanism(
        "last-owners",
        "ownership/node.py",
        "        if not self._is_startup_over() and self.context.config is not None:\n"
        "            claims",
        "        if False and self.context.config is not None:\n            claims",
    ),
    Mechanism(
        "calls-after-silence",
        "store/contact.py",
        "            if was_silent and waiting_since < called_at:\n",
        "            if False:\n",
    ),
    Mechanism(
        "expired-entries",
        "ownership/listing.py",
        "seconds_since_outage(now) > RETURN_SECONDS:",
        "seconds_since_outage(now) >= 0.0:",
    ),
    Mechanism(
        "observed-growth",
        "scheduling/arrivals.py",
        "        if now - 2 * window < self.started_at:\n",
        "        if False:\n",
    ),
    Mechanism(
        "joining-vms",
        "ownership/reporting.py",
        "expected_join_times = [now + each for each in plan.coming_seconds]\n",
        "expected_join_times = [now + each for each in ()]\n",
    ),
    Mechanism(
        "packing",
        "scheduling/placement.py",
        "        for _, worker_id in self.by_free_cores.islice(start):\n",
        "        for _, worker_id in self.by_free_cores.islice(start, reverse=True):\n",
    ),
    Mechanism(
        "behind-part",
        "pool/ready_jobs.py",
        "BEHIND_FRACTION = 0.5",
        "BEHIND_FRACTION = 1.0",
    ),
    Mechanism(
        "hand-over-by-load",
        "ownership/node.py",
        "        pool = choose_release(self.directory, self.member, jobs)\n",
        "        pool = None\n",
    ),
    Mechanism(
        "watch-reopening",
        "ownership/listing.py",
        "watch_timeout=SILENCE_SECONDS",
        "watch_timeout=None",
    ),
)


def disable_mechanism(mechanism: Mechanism, package: pathlib.Path) -> None:
    """Disable a mechanism in a copy of the package.

    :param package: folder of the copied package
    :raises AblationError: if the text of the mechanism does not occur exactly once in its module
    """
    module = package / mechanism.path
    text = module.read_text()
    if text.count(mechanism.on) != 1:
        raise AblationError(
            f"{mechanism.name}: source text does not occur exactly once in {mechanism.path}"
        )
    module.write_text(text.replace(mechanism.on, mechanism.off))


def write_copies(folder: pathlib.Path) -> None:
    """Write a copy of the source tree for each mechanism, and an unmodified one."""
    root = pathlib.Path(__file__).parent.parent
    for name in (UNMODIFIED, *(mechanism.name for mechanism in MECHANISMS)):
        shutil.copytree(root, folder / name, ignore=IGNORED_PATHS)
    for mechanism in MECHANISMS:
        disable_mechanism(mechanism, folder / mechanism.name / "limpetpulley")


def read_scores(journal: pathlib.Path) -> dict[str, dict[tuple, float]]:
    """Return the scores of each ablation by day; a day is its deployment, name and seed."""
    scores: dict[str, dict[tuple, float]] = defaultdict(dict)
    for path in sorted(journal.glob("*.json")):
        entry = json.loads(path.read_text())
        match = REASON_PATTERN.search(entry.get("why") or "")
        if match and entry.get("ok"):
            for day in entry["days"]:
                scores[match[1]][entry["site"], day["name"], day["seed"]] = day["G"]
    return scores


def print_table(scores: dict[str, dict[tuple, float]]) -> None:
    """Print the mean score change on each deployment when a mechanism is disabled."""
    sites = sorted({site for days in scores.values() for site, _, _ in days})
    print("| disabled | " + " | ".join(sites) + " |")
    print("|---|" + "---:|" * len(sites))
    print(
        f"| none (score) | {' | '.join(_mean_score(scores[UNMODIFIED], site) for site in sites)} |"
    )
    for name in sorted(scores.keys() - {UNMODIFIED}):
        differences = (_mean_difference(scores[UNMODIFIED], scores[name], site) for site in sites)
        print(f"| {name} | {' | '.join(differences)} |")


def _mean_score(days: dict[tuple, float], site: str) -> str:
    return _mean_and_error(score for day, score in days.items() if day[0] == site)


def _mean_difference(baseline: dict[tuple, float], ablated: dict[tuple, float], site: str) -> str:
    common = [day for day in ablated if day[0] == site and day in baseline]
    return _mean_and_error((ablated[day] - baseline[day] for day in common), "+")


def _mean_and_error(values: Iterable[float], sign: str = "") -> str:
    """Return a mean with its standard error and the number of days."""
    samples = list(values)
    if not samples:
        return ""
    error = statistics.stdev(samples) / math.sqrt(len(samples)) if len(samples) > 1 else math.nan
    return f"{statistics.fmean(samples):{sign}.3f} ± {error:.3f} ({len(samples)})"


def main() -> None:
    """Write the copies or print the table of scores."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("what", choices=("copies", "table"))
    parser.add_argument(
        "folder", type=pathlib.Path, help="folder to write the copies to, or folder of the journal"
    )
    options = parser.parse_args()
    if options.what == "copies":
        write_copies(options.folder)
    else:
        print_table(read_scores(options.folder))


if __name__ == "__main__":
    main()
