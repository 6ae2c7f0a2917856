"""`python -m benchmarks.pairs BENCH SITE... --text NAME=REVISION[,FILE:CONSTANT=VALUE]... [--text ...]`

Compare source variants: run the same days with the same seeds on each (no processor time charged, scaled-down days with
`--small`) and print each variant next to the first: mean score, spread, mean difference with its standard error, pairs better
and worse, violated rules, and the parts and prices that differ. Outcomes are stored in FOLDER/outcomes.jsonl; stored runs are
not repeated. The revision `WORK` is the working tree. FOLDER must be readable by the processes of the bench, so it can't be
below /tmp.
"""

from __future__ import annotations

import argparse
import json
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from benchmarks.pairs.comparing import mean_parts, pair
from benchmarks.pairs.playing import Outcome, OutcomeLog, RunFailedError, Task, build, read_marks, run_day
from benchmarks.pairs.variants import Variant, digest, parse_variant, prepare

MIN_SHOWN_DIFFERENCE = 0.003  # smaller differences of parts and prices are not printed


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.pairs", description="Paired runs of several source variants.")
    parser.add_argument("bench", type=Path)
    parser.add_argument("sites", type=Path, nargs="+")
    parser.add_argument("--text", action="append", required=True, type=parse_variant, dest="texts")
    parser.add_argument("--days", default="", help="names separated by commas; by default all standard days")
    parser.add_argument("--seeds", default="21,22,23", help="separated by commas")
    parser.add_argument("--small", action="store_true", help="scaled-down forms of large days")
    parser.add_argument("--jobs", type=int, default=4, help="number of runs at the same time")
    parser.add_argument("--folder", type=Path, default=Path("../trials"))
    parser.add_argument("--why", default="paired plays")
    return parser.parse_args()


def _tasks(sites: list[Path], days: str, seeds: str, small: bool, text: str) -> list[tuple[Path, Task]]:
    tasks = []
    for site in sites:
        names = days.split(",") if days else list(read_marks(site))
        tasks += [(site, Task(text, site.stem, day, int(seed), small)) for day in names for seed in seeds.split(",")]
    return tasks


def main() -> int:
    """Run what is not stored yet and print the comparison; return 1 if no day was run on all variants."""
    options = _arguments()
    bench, folder = options.bench.absolute(), options.folder.absolute()
    sites = [site.absolute() for site in options.sites]
    folder.mkdir(parents=True, exist_ok=True)
    outcome_log = OutcomeLog(folder / "outcomes.jsonl")
    roots = {variant: prepare(variant, Path.cwd(), folder) for variant in options.texts}
    for root in roots.values():
        build(bench, root)
    tasks = {v: _tasks(sites, options.days, options.seeds, options.small, digest(root)) for v, root in roots.items()}

    def run_task(variant: Variant, site: Path, task: Task) -> None:
        if outcome_log.get(task) is not None:
            return
        try:
            outcome_log.add(task, run_day(bench, roots[variant], site, task, f"{options.why}: text {variant.name}"))
        except RunFailedError as error:
            print(f"not run: {error}", flush=True)

    with ThreadPoolExecutor(options.jobs) as pool:
        pending = [(v, *tasks[v][index]) for index in range(len(tasks[options.texts[0]])) for v in options.texts]
        for future in [pool.submit(run_task, *arguments) for arguments in pending]:
            future.result()
    return _print_comparison(outcome_log, tasks)


def _print_comparison(outcome_log: OutcomeLog, tasks: dict[Variant, list[tuple[Path, Task]]]) -> int:
    first = next(iter(tasks))
    complete = [
        index
        for index in range(len(tasks[first]))
        if all(outcome_log.get(results[index][1]) is not None for results in tasks.values())
    ]
    if not complete:
        print("no day was run on all variants")
        return 1
    outcomes = {v: [outcome_log.get(results[index][1]) for index in complete] for v, results in tasks.items()}
    days = [tasks[first][index][1] for index in complete]
    print(f"{'variant':24} mean  spread  difference      better worse of  broken")
    for variant, results in outcomes.items():
        pairing = pair(outcomes[first], results)
        broken = ", ".join(f"{rule} {count}" for rule, count in pairing.broken.items())
        print(
            f"{variant.name:24} {pairing.mean:.3f} {pairing.spread:.3f}   {pairing.difference:+.3f} +- {pairing.error:.3f} "
            f"{pairing.better:6} {pairing.worse:5} {pairing.count:3} {broken}"
        )
        _print_days(days, results)
        if variant is not first:
            _print_parts(outcomes[first], results)
    print(
        json.dumps({"means": {v.name: pair(outcomes[first], results).mean for v, results in outcomes.items()}, "holds": True})
    )
    return 0


def _print_days(days: list[Task], outcomes: list[Outcome]) -> None:
    by_day: dict[str, list[float]] = {}
    for task, outcome in zip(days, outcomes, strict=True):
        by_day.setdefault(f"{task.site} {task.day}", []).append(outcome.score)
    print("   " + "; ".join(f"{day} " + " ".join(f"{score:.2f}" for score in scores) for day, scores in by_day.items()))


def _print_parts(first: list[Outcome], other: list[Outcome]) -> None:
    before, after = mean_parts(first), mean_parts(other)
    shown = [
        f"{name} {after.get(name, 0.0) - value:+.3f}"
        for name, value in before.items()
        if abs(after.get(name, 0.0) - value) >= MIN_SHOWN_DIFFERENCE
    ]
    print("   " + ", ".join(shown))


if __name__ == "__main__":
    sys.exit(main())
