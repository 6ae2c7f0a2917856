"""Measure how long work on a configuration holds the event loop of a control plane and of a data plane.

Usage:
  large_changes [--before DIR] [--quick]

Options:
  --before DIR  Another checkout of the project, measured by the same calls beside this one.
  --quick       Small sizes only.

For each number of routes it prints the processor time of each piece of work, and of its longest turn of the loop: what runs in
one piece is one turn. The last line is JSON; the exit status is 1 if a turn of this checkout is longer than its bound.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
from dataclasses import asdict
from pathlib import Path

from docopt import docopt

from benchmarks.large_change_parts.measurements import Measurement, Size

SIZES = (Size(100, 0), Size(1600, 0), Size(8000, 0), Size(44_000, 0), Size(1600, 10_000))
QUICK_SIZES = (Size(100, 0), Size(1600, 0))
# The targets: 50 ms up to 8,000 routes on a control plane. On a data plane, requests wait for a turn.
MAX_TURN_MS = {"control plane": 50.0, "data plane": 50.0}
BOUND_UP_TO_ROUTES = 8000
ROOT = Path(__file__).parents[1]
MEASUREMENTS = ROOT / "benchmarks" / "large_change_parts" / "measurements.py"


def measure(directory: Path, size: Size) -> list[Measurement]:
    """Measure one checkout at one size, in a process of its own."""
    command = [sys.executable, str(MEASUREMENTS), str(size.routes), str(size.tenants)]
    environment = {**os.environ, "PYTHONPATH": str(directory)}
    output = subprocess.run(command, env=environment, check=True, stdout=subprocess.PIPE, text=True).stdout
    return [Measurement(**fields) for fields in json.loads(output)]


def print_table(size: Size, columns: dict[str, list[Measurement]]) -> None:
    """Print the measurements of one size, one checkout a pair of columns."""
    print(f"\n{size.routes} routes, {size.tenants} tenants: processor time in ms, in all and of the longest turn")
    print(f"{'plane':14} {'work':42}" + "".join(f"{name:>12} {'turn':>9}" for name in columns))
    for rows in zip(*columns.values(), strict=True):
        figures = "".join(f"{row.total_ms:12.2f} {row.turn_ms:9.2f}" for row in rows)
        print(f"{rows[0].plane:14} {rows[0].work:42}{figures}")


def main() -> int:
    """Run the benchmark; return the exit status."""
    options = docopt(__doc__)
    sizes = QUICK_SIZES if options["--quick"] else SIZES
    directories = {"before": Path(options["--before"]).resolve()} if options["--before"] else {}
    directories["after"] = ROOT
    too_long, results = [], []
    for size in sizes:
        columns = {name: measure(directory, size) for name, directory in directories.items()}
        print_table(size, columns)
        results.append({"size": asdict(size)} | {name: [asdict(row) for row in rows] for name, rows in columns.items()})
        if size.routes <= BOUND_UP_TO_ROUTES:
            too_long += [row for row in columns["after"] if row.turn_ms > MAX_TURN_MS[row.plane]]
    print(json.dumps({"holds": not too_long, "too_long": [asdict(row) for row in too_long], "results": results}))
    return int(bool(too_long))


if __name__ == "__main__":
    sys.exit(main())
