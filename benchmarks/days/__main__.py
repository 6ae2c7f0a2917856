"""Command line: `python -m benchmarks.days points|matrix --bench PATH --site PATH [--site PATH] --results FILE [--jobs N]`.

Run generated days on a bench. Results are lines of JSON; a day that is in the results file is not run again, so an interrupted
run can be resumed. The exit status is 1 if a rule was violated.
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

from benchmarks.days.matrix import cells, day_of, kinds_of, shorter
from benchmarks.days.playing import DayFailedError, Played, play
from benchmarks.days.points import POINTS, point_day

Day = dict[str, Any]


def _options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.days", description=__doc__.splitlines()[0])
    parser.add_argument("what", choices=("points", "matrix"))
    parser.add_argument("--bench", type=Path, required=True, help="the bench's program")
    parser.add_argument("--site", type=Path, action="append", required=True, help="a site file; several may be given")
    parser.add_argument("--results", type=Path, required=True, help="where a line a day is kept")
    parser.add_argument("--jobs", type=int, default=2, help="days at once")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", default="", help="days whose names hold this text")
    return parser.parse_args()


def _days(options: argparse.Namespace, path: Path, site: Mapping[str, Any]) -> Iterator[Day]:
    if options.what == "points":
        for name in POINTS:
            yield point_day(name, site, options.seed)
        return
    kinds = subprocess.run([str(options.bench), "kinds", str(path)], capture_output=True, text=True, check=True).stdout
    for cell in cells(kinds_of(kinds)):
        yield day_of(cell, site, options.seed)


def _known(results: Path) -> dict[tuple[str, str], dict[str, Any]]:
    if not results.exists():
        return {}
    rows = [json.loads(line) for line in results.read_text().splitlines() if line.strip()]
    return {(row["site"], row["day"]): row for row in rows}


def _shrunk(bench: Path, path: Path, day: Day, rules: set[str]) -> Day:
    """Return the day without the entries that are not needed to violate one of the same rules."""
    for candidate in shorter(day):
        try:
            again = play(bench, path, candidate, "a day that broke, made shorter")
        except DayFailedError:
            continue
        if rules & set(again.rules):
            return _shrunk(bench, path, candidate, rules)
    return day


def main() -> int:
    """Run the days that are not in the results file; return 1 if a rule was violated."""
    options = _options()
    known = _known(options.results)
    pending = []
    for path in options.site:
        site = tomllib.loads(path.read_text())
        days = (day for day in _days(options, path, site) if options.only in day["name"])
        pending += [(path, day) for day in days if (path.stem, day["name"]) not in known]
    broken: list[tuple[Path, Day, Played]] = []
    with ThreadPoolExecutor(options.jobs) as pool, options.results.open("a") as file:
        why = f"days of our own: {options.what}"
        running = [(path, day, pool.submit(play, options.bench, path, day, why)) for path, day in pending]
        for number, (path, day, future) in enumerate(running, 1):
            try:
                played = future.result()
            except DayFailedError as error:
                print(f"{number}/{len(running)} not played: {error}", file=sys.stderr)
                continue
            file.write(played.line() + "\n")
            file.flush()
            state = f"BROKEN {played.rules} {played.fault}" if played.broken else "held"
            print(f"{number}/{len(running)} {played.site} {played.day}: {state}, worth {played.value}", flush=True)
            if played.broken:
                broken.append((path, day, played))
    for path, day, played in broken:
        shortest = _shrunk(options.bench, path, day, set(played.rules))
        print(f"{played.site} {played.day}: {played.rules} still breaks with {shortest['plan']} {shortest['faults']}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
