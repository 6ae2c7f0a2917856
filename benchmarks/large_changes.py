"""Measure how long work on a configuration holds the event loop of a control plane and of a data plane.

Usage:
  large_changes [--before DIR] [--plot FILE] [--quick]

Options:
  --before DIR  Another checkout of the project, measured by the same calls beside this one.
  --plot FILE   Time, longest turn, memory and bytes over the number of routes, as PNG (matplotlib).
  --quick       Small sizes only.

For each number of routes it prints the processor time of each piece of work, and of its longest turn of the loop: what runs in
one piece is one turn. The last line is JSON; the exit status is 1 if a turn of this checkout is longer than its bound, or if a
change of one route costs more than twice as much at the largest size as at the smallest.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
from dataclasses import asdict, fields
from pathlib import Path

from docopt import docopt

from benchmarks.large_change_parts.measurements import Bytes, Measurement, Report, Size

SIZES = (Size(100, 0), Size(1600, 0), Size(8000, 0), Size(44_000, 0), Size(1600, 10_000))
QUICK_SIZES = (Size(100, 0), Size(1600, 0))
MAX_TURN_MS = 50.0
MAX_GROWTH = 2.0  # of the time of a change of one route, from the smallest to the largest size
ONE_ROUTE = "one route"  # ends the names of the works on a change of one route
PLANES = ("control plane", "data plane")
ROOT = Path(__file__).parents[1]
MEASUREMENTS = ROOT / "benchmarks" / "large_change_parts" / "measurements.py"


def measure(directory: Path, size: Size) -> Report:
    """Measure one checkout at one size, in a process of its own."""
    command = [sys.executable, str(MEASUREMENTS), str(size.routes), str(size.tenants)]
    environment = {**os.environ, "PYTHONPATH": str(directory)}
    output = subprocess.run(command, env=environment, check=True, stdout=subprocess.PIPE, text=True).stdout
    values = json.loads(output)
    return Report([Measurement(**row) for row in values["work"]], Bytes(**values["bytes"]))


def print_table(size: Size, reports: dict[str, Report]) -> None:
    """Print the measurements of one size, one checkout a pair of columns."""
    print(f"\n{size.routes} routes, {size.tenants} tenants: processor time in ms, in all and of the longest turn")
    print(f"{'plane':14} {'work':42}" + "".join(f"{name:>12} {'turn':>9}" for name in reports))
    for rows in zip(*(report.work for report in reports.values()), strict=True):
        figures = "".join(f"{row.total_ms:12.2f} {row.turn_ms:9.2f}" for row in rows)
        print(f"{rows[0].plane:14} {rows[0].work:42}{figures}")
    for field in fields(Bytes):
        figures = "".join(f"{getattr(report.bytes, field.name):>22,}" for report in reports.values())
        print(f"{'bytes':14} {field.name.replace('_', ' '):42}{figures}")


def long_turns(reports: dict[Size, Report]) -> list[str]:
    """Return the works of one checkout whose longest turn is above the bound."""
    return [
        f"{row.plane}, {row.work}, {size.routes} routes: {row.turn_ms:.1f} ms"
        for size, report in reports.items()
        for row in report.work
        if row.turn_ms > MAX_TURN_MS
    ]


def grown_works(reports: dict[Size, Report]) -> list[str]:
    """Return the works on a change of one route that cost much more at the largest size of one checkout."""
    sizes = sorted((size for size in reports if not size.tenants), key=lambda size: size.routes)
    smallest, largest = (_one_route_times(reports[size]) for size in (sizes[0], sizes[-1]))
    return [
        f"{work}: {smallest[work]:.2f} to {largest[work]:.2f} ms"
        for work in smallest
        if largest[work] > MAX_GROWTH * smallest[work]
    ]


def _one_route_times(report: Report) -> dict[str, float]:
    return {f"{row.plane}, {row.work}": row.total_ms for row in report.work if row.work.endswith(ONE_ROUTE)}


def plot(results: dict[str, dict[Size, Report]], path: str) -> None:
    """Plot each work's time and longest turn, the memory and the bytes over the number of routes, one line a checkout."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(3, 2, figsize=(11, 11), sharex=True)
    for name, reports in results.items():
        sizes = [size for size in reports if not size.tenants]
        routes, style = [size.routes for size in sizes], "--" if name == "before" else "-"
        for axis, plane in zip(axes[0], PLANES, strict=True):
            works = [row.work for row in reports[sizes[0]].work if row.plane == plane]
            for number, work in enumerate(works):
                rows = [next(row for row in reports[size].work if (row.plane, row.work) == (plane, work)) for size in sizes]
                axis.plot(routes, [row.total_ms for row in rows], f"C{number}{style}", label=f"{work}, {name}")
                axes[1, PLANES.index(plane)].plot(routes, [row.turn_ms for row in rows], f"C{number}{style}")
        axes[2, 0].plot(routes, [reports[size].bytes.peak_memory / 1e6 for size in sizes], f"C0{style}", label=name)
        for number, field in enumerate(("configuration", "one_route_in_a_poll", "one_route_in_the_log")):
            values = [getattr(reports[size].bytes, field) for size in sizes]
            axes[2, 1].plot(routes, values, f"C{number}{style}", label=f"{field.replace('_', ' ')}, {name}")
    titles = [f"{plane}: {what}, ms" for what in ("processor time", "longest turn") for plane in PLANES]
    for axis, title in zip(axes.flat, [*titles, "peak memory, MB", "bytes"], strict=True):
        axis.set(title=title, xscale="log", yscale="log")
    for axis in (*axes[0], *axes[2]):
        axis.legend(fontsize=6)
    for axis in axes[2]:
        axis.set_xlabel("routes")
    figure.tight_layout()
    figure.savefig(path, dpi=100)


def main() -> int:
    """Run the benchmark; return the exit status."""
    options = docopt(__doc__)
    directories = {"before": Path(options["--before"]).resolve()} if options["--before"] else {}
    directories["after"] = ROOT
    results: dict[str, dict[Size, Report]] = {name: {} for name in directories}
    for size in QUICK_SIZES if options["--quick"] else SIZES:
        for name, directory in directories.items():
            results[name][size] = measure(directory, size)
        print_table(size, {name: reports[size] for name, reports in results.items()})
    if options["--plot"]:
        plot(results, options["--plot"])
    too_long, grown = long_turns(results["after"]), grown_works(results["after"])
    rows = [
        {"checkout": name, **asdict(size), **asdict(report)}
        for name, reports in results.items()
        for size, report in reports.items()
    ]
    print(json.dumps({"holds": not too_long and not grown, "too_long": too_long, "grown": grown, "results": rows}))
    return int(bool(too_long or grown))


if __name__ == "__main__":
    sys.exit(main())
