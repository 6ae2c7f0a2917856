"""Command line: `python -m benchmarks.days points|matrix --bench PATH --site PATH [--site PATH] --results FILE [--jobs N]`.

Run generated days on a bench. Results are lines of JSON. A day in the results file is not run again, so that an interrupted run
can be resumed. The exit status is 1 if a rule was violated.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
import tomllib
from collections.abc import Iterator, Mapping
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from benchmarks.days.matrix import cell_day, cells, parse_kinds, shortened_days
from benchmarks.days.playing import DayFailedError, DayResult, run_day
from benchmarks.days.points import POINTS, point_day

Day = dict[str, Any]


def _options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.days", description=__doc__.splitlines()[0])
    parser.add_argument("what", choices=("points", "matrix"))
    parser.add_argument("--bench", type=Path, required=True, help="program of the bench")
    parser.add_argument("--site", type=Path, action="append", required=True, help="a site file; several may be given")
    parser.add_argument("--results", type=Path, required=True, help="file that gets one line of JSON per day")
    parser.add_argument("--jobs", type=int, default=2, help="number of days that run at the same time")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", default="", help="run only the days whose names contain this text")
    return parser.parse_args()


def _days(options: argparse.Namespace, path: Path, site: Mapping[str, Any]) -> Iterator[Day]:
    if options.what == "points":
        for name in POINTS:
            yield point_day(name, site, options.seed)
        return
    kinds = subprocess.run([str(options.bench), "kinds", str(path)], capture_output=True, text=True, check=True).stdout
    for cell in cells(parse_kinds(kinds)):
        yield cell_day(cell, site, options.seed)


def _stored_results(results: Path) -> dict[tuple[str, str], dict[str, Any]]:
    if not results.exists():
        return {}
    rows = [json.loads(line) for line in results.read_text().splitlines() if line.strip()]
    return {(row["site"], row["day"]): row for row in rows}


def _minimized(bench: Path, path: Path, day: Day, rules: set[str]) -> Day:
    """Return the day reduced to entries that are needed to violate one of the same rules."""
    for candidate in shortened_days(day):
        try:
            again = run_day(bench, path, candidate, "a day that broke, made shorter")
        except DayFailedError:
            continue
        if rules & set(again.rules):
            return _minimized(bench, path, candidate, rules)
    return day


def main() -> int:
    """Run the days that are not in the results file; return 1 if a rule was violated."""
    options = _options()
    stored = _stored_results(options.results)
    pending = []
    for path in options.site:
        site = tomllib.loads(path.read_text())
        days = (day for day in _days(options, path, site) if options.only in day["name"])
        pending += [(path, day) for day in days if (path.stem, day["name"]) not in stored]
    broken: list[tuple[Path, Day, DayResult]] = []
    with ThreadPoolExecutor(options.jobs) as pool, options.results.open("a") as file:
        why = f"days of our own: {options.what}"
        running = [(path, day, pool.submit(run_day, options.bench, path, day, why)) for path, day in pending]
        for number, (path, day, future) in enumerate(running, 1):
            try:
                result = future.result()
            except DayFailedError as error:
                print(f"{number}/{len(running)} not run: {error}", file=sys.stderr)
                continue
            file.write(result.line() + "\n")
            file.flush()
            state = f"BROKEN {result.rules} {result.fault}" if result.broken else "held"
            print(f"{number}/{len(running)} {result.site} {result.day}: {state}, worth {result.value}", flush=True)
            if result.broken:
                broken.append((path, day, result))
    for path, day, result in broken:
        minimal_day = _minimized(options.bench, path, day, set(result.rules))
        print(f"{result.site} {result.day}: {result.rules} still breaks with {minimal_day['plan']} {minimal_day['faults']}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
