"""Make a report of a period from the daemons' logs."""

from __future__ import annotations

import argparse
import pathlib
import sys
from collections.abc import Sequence

from .figures import make_figures
from .log import ReportError, read_faults, read_log
from .page import make_page

DEFAULT_FOLDER = pathlib.Path("build/report")


def main(arguments: Sequence[str] | None = None) -> None:
    """Write the page and its plots; end with status 1 and one line if a file is no input."""
    parser = argparse.ArgumentParser(prog="python -m measure.report", description=__doc__)
    parser.add_argument("log", type=pathlib.Path, help="file with the daemons' log lines")
    parser.add_argument("--output", type=pathlib.Path, default=DEFAULT_FOLDER, help="folder")
    parser.add_argument("--origin", type=float, help="second 0, in seconds since 1970")
    parser.add_argument("--faults", type=pathlib.Path, help="lines SECOND LABEL or FROM TO LABEL")
    options = parser.parse_args(arguments)
    try:
        faults = read_faults(options.faults) if options.faults else []
        figures = make_figures(read_log(options.log, options.origin), faults)
    except ReportError as error:
        sys.exit(f"measure.report: {error}")
    from .plots import draw_plots

    options.output.mkdir(parents=True, exist_ok=True)
    plots = draw_plots(figures, options.output)
    page = options.output / "index.html"
    page.write_text(make_page(figures, options.log.name, plots), encoding="utf-8")
    print(f"{page}: {len(figures.log.lines)} log lines, {figures.log.skipped} lines skipped")


if __name__ == "__main__":
    main()
