"""Measure what requests, connections, callers, tenants, classes and reloads cost one real instance at the target size.

Usage:
  scale_instance [--quick] [--seed N] [--only PART] [--record FILE]

Options:
  --quick        Smaller sizes and shorter runs.
  --seed N       Seed of the load [default: 1].
  --only PART    Run one part: added, connections, callers, tenants, routes or reload.
  --record FILE  Write the costs by size to FILE as JSON; with --only, other parts already in FILE are kept.

Real processes run on loopback: an instance with -O, a fake interpreter, and an open-loop load generator ("driver") that
measures latency from the time at which a request was due. `added` compares latency through the instance with that of the same
driver speaking the interpreter's own protocol to a second interpreter of the same kind: the same requests with the same work,
in alternating runs, over the time slices in which the driver itself was on time, if there are enough of them. Added latency
includes queueing in the instance and the driver's extra cost of HTTP over the interpreter's protocol. A route is a class, named
by the last segment of a request's path. Costs by size are fitted (`benchmarks/fits.py`); without --quick the largest size is
excluded from the fit and checks it.
Objectives: at most 2.6 ms added at p99 at 275 requests per second and after the loss of a zone or a region; no request lost,
also during a reload of the settings; without --quick, fits of CPU and memory of settings within 15% of their checks. Whether a
cost stays below its limit is not checked here but in docs/CAPACITY.md. On a busy machine the driver itself is late, and the
first objective may fail.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from statistics import median
from typing import Any

from docopt import docopt
from rich.console import Console
from rich.table import Table

from benchmarks.scale_instance_load import added, callers, connections
from benchmarks.scale_instance_measurements import Measurements
from benchmarks.scale_instance_settings import reload, routes, tenants
from mulleinhatch.testing.instance_harness import keep_environment

MAX_CHECK_ERROR = 0.15

PARTS: dict[str, Callable[[Measurements, Path], None]] = {
    "added": added,
    "connections": connections,
    "callers": callers,
    "tenants": tenants,
    "routes": routes,
    "reload": reload,
}


def run_parts(quick: bool, seed: int, parts: list[str]) -> Measurements:
    """Run parts, each in a new folder, and return their measurements."""
    measurements = Measurements(quick, seed)
    keep_environment()
    for part in parts:
        before, since, lost, broken = os.getloadavg()[0], time.monotonic(), measurements.lost, measurements.broken
        measurements.late.clear()
        with tempfile.TemporaryDirectory() as folder:
            PARTS[part](measurements, Path(folder))
        late = measurements.late or [0.0]
        measurements.notes.append(
            f"{part}: load average {before:.1f} at start, {os.getloadavg()[0]:.1f} at end of "
            f"{time.monotonic() - since:.0f} s on {os.cpu_count()} cores; the driver itself was late by "
            f"{median(late):.2f} ms at p99 of its median run, {max(late):.2f} ms of its worst; "
            f"{measurements.lost - lost} requests lost, {measurements.broken - broken} of them with their connection"
        )
    measurements.holds["no request lost"] = not measurements.lost
    check_errors = {
        name: part for name, part in ((name, measurements.check_error(name)) for name in measurements.costs) if part is not None
    }
    settings_errors = [
        part for name, part in check_errors.items() if name.startswith("instance.settings.") and not measurements.is_wait(name)
    ]
    if check_errors:
        measurements.figures["off_at_check"] = {name: round(part, 3) for name, part in check_errors.items()}
    if settings_errors:
        measurements.holds["fits of settings within 15% of their checks"] = max(settings_errors) <= MAX_CHECK_ERROR
    return measurements


def measure(quick: bool, seed: int) -> tuple[dict[str, Any], dict[str, bool]]:
    """Run all parts.

    Returns:
        Figures by part, with `costs`, `events` and `notes` as in a record, and for each check whether it passed.
    """
    measurements = run_parts(quick, seed, list(PARTS))
    return {
        **measurements.figures,
        "costs": measurements.costs,
        "events": measurements.events,
        "notes": measurements.notes,
    }, measurements.holds


def commit() -> str:
    """Return the short hash of the commit, or `unknown` outside a repository."""
    try:
        return subprocess.run(
            ["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True, check=True, cwd=Path(__file__).parent
        ).stdout.strip()
    except (OSError, subprocess.CalledProcessError):
        return "unknown"


def record(path: Path, measurements: Measurements, command: str, parts: list[str]) -> None:
    """Write the record; parts that did not run keep their recorded costs.

    Each note begins with the name of its part, so that the notes of a part that ran again are replaced.
    """
    old = json.loads(path.read_text()) if path.exists() and len(parts) < len(PARTS) else {}
    notes = [note for note in old.get("notes", []) if note.partition(":")[0] not in parts]
    document = {
        "commit": commit(),
        "benchmark": "scale_instance",
        "command": command,
        "seed": measurements.seed,
        "mechanism": "instance",
        "costs": {**old.get("costs", {}), **measurements.costs},
        "events": {**old.get("events", {}), **measurements.events},
        "notes": [*notes, *(f"{note}; commit {commit()}" for note in measurements.notes)],
    }
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(document, indent=1) + "\n")


def show(measurements: Measurements) -> None:
    """Print the tables."""
    console = Console(width=160)
    for part, found in measurements.figures.items():
        rows = found if isinstance(found, list) else [*found["rows"], *found["rising"]] if "rows" in found else [found]
        table = Table(*rows[0], title=part)
        for row in rows:
            table.add_row(*(f"{value:.4g}" if isinstance(value, float) else str(value) for value in row.values()))
        console.print(table)
    table = Table("cost", "unit", "form", "constant", "slope", "residual", "off at check", title="costs by size")
    for name, cost in measurements.costs.items():
        error = measurements.check_error(name)
        table.add_row(
            name,
            f"{cost['unit']} by {cost['size']}",
            cost["form"],
            f"{cost['constant']:.4g}",
            f"{cost['slope']:.4g}",
            f"{cost['residual']:.1%}",
            "" if error is None else f"{error:.1%}",
        )
    console.print(table)
    for note in measurements.notes:
        console.print(note)


def main(argv: list[str] | None = None) -> int:
    """Run the chosen parts and print their figures; return 1 if a check failed, 2 for a wrong argument."""
    options = docopt(__doc__, argv)
    if options["--only"] and options["--only"] not in PARTS:
        print(f"scale_instance: --only: {options['--only']!r} is not one of {', '.join(PARTS)}", file=sys.stderr)
        return 2
    if not options["--seed"].isdecimal():
        print(f"scale_instance: --seed: {options['--seed']!r} is no whole number", file=sys.stderr)
        return 2
    parts = [options["--only"]] if options["--only"] else list(PARTS)
    measurements = run_parts(options["--quick"], int(options["--seed"]), parts)
    if options["--record"]:
        arguments = [
            argument
            for key in ("--quick", "--seed", "--only")
            if options[key]
            for argument in ([key] if options[key] is True else [key, options[key]])
        ]
        record(Path(options["--record"]), measurements, " ".join(["python -m benchmarks.scale_instance", *arguments]), parts)
    show(measurements)
    print(json.dumps({"benchmark": "scale_instance", "figures": measurements.figures, "holds": measurements.holds}))
    return 0 if all(measurements.holds.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
