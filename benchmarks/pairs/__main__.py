"""`python -m benchmarks.pairs BENCH SITE... --text NAME=REVISION[,FILE:CONSTANT=VALUE]... [--text ...]`

Plays the same days with the same seeds on each text (no processor time charged, small twins with `--small`), and prints
each text beside the first: mean score, spread, mean difference with its standard error, pairs better and worse, broken
rules, and the parts and prices that differ. What was played is kept in FOLDER/outcomes.jsonl and not played again. A
revision `WORK` is the working tree. FOLDER must lie where the bench's processes may read it, so not below /tmp.
"""

from __future__ import annotations

import argparse
import json
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from benchmarks.pairs.comparing import mean_parts, pair
from benchmarks.pairs.playing import Book, Outcome, PlayFailedError, Task, build, play, read_marks
from benchmarks.pairs.variants import Variant, digest, prepare, read_variant

LEAST_SHOWN = 0.003  # of worth: parts and prices that differ by less are not printed


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.pairs", description="Paired plays of several texts.")
    parser.add_argument("bench", type=Path)
    parser.add_argument("sites", type=Path, nargs="+")
    parser.add_argument("--text", action="append", required=True, type=read_variant, dest="texts")
    parser.add_argument("--days", default="", help="names by commas; all standard days where left out")
    parser.add_argument("--seeds", default="21,22,23", help="by commas")
    parser.add_argument("--small", action="store_true", help="small twins of large days")
    parser.add_argument("--jobs", type=int, default=4, help="plays at a time")
    parser.add_argument("--folder", type=Path, default=Path("../trials"))
    parser.add_argument("--why", default="paired plays")
    return parser.parse_args()


def _tasks(sites: list[Path], days: str, seeds: str, small: bool, text: str) -> list[tuple[Path, Task]]:
    told = []
    for site in sites:
        names = days.split(",") if days else list(read_marks(site))
        told += [(site, Task(text, site.stem, day, int(seed), small)) for day in names for seed in seeds.split(",")]
    return told


def main() -> int:
    chosen = _arguments()
    bench, folder = chosen.bench.absolute(), chosen.folder.absolute()
    sites = [site.absolute() for site in chosen.sites]
    folder.mkdir(parents=True, exist_ok=True)
    book = Book(folder / "outcomes.jsonl")
    roots = {variant: prepare(variant, Path.cwd(), folder) for variant in chosen.texts}
    for root in roots.values():
        build(bench, root)
    tasks = {v: _tasks(sites, chosen.days, chosen.seeds, chosen.small, digest(root)) for v, root in roots.items()}

    def fill(variant: Variant, site: Path, task: Task) -> None:
        if book.get(task) is not None:
            return
        try:
            book.add(task, play(bench, roots[variant], site, task, f"{chosen.why}: text {variant.name}"))
        except PlayFailedError as error:
            print(f"not played: {error}", flush=True)

    with ThreadPoolExecutor(chosen.jobs) as pool:
        pending = [(v, *tasks[v][place]) for place in range(len(tasks[chosen.texts[0]])) for v in chosen.texts]
        for waiting in [pool.submit(fill, *one) for one in pending]:
            waiting.result()
    return _print(book, tasks)


def _print(book: Book, tasks: dict[Variant, list[tuple[Path, Task]]]) -> int:
    first = next(iter(tasks))
    complete = [
        place for place in range(len(tasks[first])) if all(book.get(told[place][1]) is not None for told in tasks.values())
    ]
    if not complete:
        print("nothing was played on all texts")
        return 1
    outcomes = {v: [book.get(told[place][1]) for place in complete] for v, told in tasks.items()}
    days = [tasks[first][place][1] for place in complete]
    print(f"{'text':24} mean  spread  difference      better worse of  broken")
    for variant, told in outcomes.items():
        one = pair(outcomes[first], told)
        broken = ", ".join(f"{rule} {count}" for rule, count in one.broken.items())
        print(
            f"{variant.name:24} {one.mean:.3f} {one.spread:.3f}   {one.difference:+.3f} +- {one.error:.3f} "
            f"{one.better:6} {one.worse:5} {one.count:3} {broken}"
        )
        _print_days(days, told)
        if variant is not first:
            _print_parts(outcomes[first], told)
    print(json.dumps({"means": {v.name: pair(outcomes[first], told).mean for v, told in outcomes.items()}, "holds": True}))
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
        if abs(after.get(name, 0.0) - value) >= LEAST_SHOWN
    ]
    print("   " + ", ".join(shown))


raise SystemExit(main())
