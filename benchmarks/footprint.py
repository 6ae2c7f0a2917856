"""Compare two source trees: start, memory, processor time and added latency of both planes, and cost of admission decisions.

Usage:
  footprint --before DIR --after DIR [--quick] [--rounds N] [--decisions | --planes] [--seed N]

Options:
  --before DIR  A folder with control_plane.py, data_plane.py and mulleinhatch/.
  --after DIR   Another one, or the same one to see the scatter of identical sources.
  --quick       Less load and fewer rounds.
  --rounds N    Rounds of each tree; without it 7, or 3 with --quick.
  --decisions   Measure only the admission decisions.
  --planes      Measure only the two planes.
  --seed N      Seed of the simulated load for the admission decisions [default: 1].

The trees alternate, and which one is first changes from round to round, so that a busy machine affects both. Only the planes
and the adapter come from the measured trees; the load comes from this benchmark. A session with the adapter of the admission
controller is recorded once with the tree before and replayed to both, whose replies must be byte-identical. A figure fails if
its median is over 3 % worse in the tree after. The table shows the interquartile range of its rounds (scatter) and whether the
difference is larger than the scatter of both. Each tree is built and started as its deploy file says (a start includes
compiling what its build left uncompiled), and started once before the measured rounds.
"""

from __future__ import annotations

import asyncio
import json
import sys
from dataclasses import asdict, dataclass
from pathlib import Path
from statistics import median, quantiles

from docopt import docopt
from rich.console import Console
from rich.table import Table

from benchmarks import deployed_tree
from benchmarks.footprint_planes import FULL_LOAD, QUICK_LOAD, measure_round, origin
from benchmarks.footprint_play import record_session, replay

MAX_CHANGE = 0.03  # fraction by which a median may be worse
ROUNDS, QUICK_ROUNDS = 7, 3
RECORDING_S, QUICK_RECORDING_S = 20.0, 5.0
DECISION_FIGURE = "decision play, processor s"

Figures = dict[str, float]


@dataclass(frozen=True)
class Comparison:
    """One figure in both trees; lower is better.

    Attributes:
        before: Median in the tree before.
        after: Median in the tree after.
        scatter_before: Interquartile range as a fraction of the median, in the tree before.
        scatter_after: The same in the tree after.
        rounds: Rounds of each tree.
    """

    name: str
    before: float
    after: float
    scatter_before: float
    scatter_after: float
    rounds: int

    @property
    def change(self) -> float:
        """By how much the tree after is worse, as a fraction of the tree before; negative if it is better."""
        return (self.after - self.before) / abs(self.before) if self.before else float(self.after > 0.0)

    @property
    def holds(self) -> bool:
        """Whether the median is worse by `MAX_CHANGE` at most."""
        return self.change <= MAX_CHANGE

    @property
    def beyond_scatter(self) -> bool:
        """Whether the difference is larger than the scatter of either tree."""
        return abs(self.change) > max(self.scatter_before, self.scatter_after)


def scatter(values: list[float]) -> float:
    """Return the interquartile range as a fraction of the median, 0 for a single value.

    >>> scatter([9.0, 10.0, 11.0]), scatter([5.0])
    (0.1, 0.0)
    """
    center = median(values)
    if len(values) < 2 or not center:
        return 0.0
    low, _, high = quantiles(values, n=4, method="inclusive")
    return (high - low) / abs(center)


def compare(before: list[Figures], after: list[Figures]) -> list[Comparison]:
    """Compare the rounds of two trees figure by figure.

    Args:
        before: The figures of each round of the tree before.
        after: Those of the tree after.

    Returns:
        One comparison for each figure, in the order of the first round.

    Raises:
        ValueError: If a round has other figures than the first.
    """
    names = list(before[0])
    if any(set(figures) != set(names) for figures in (*before, *after)):
        raise ValueError("the rounds have different figures")
    compared = []
    for name in names:
        old, new = [figures[name] for figures in before], [figures[name] for figures in after]
        compared.append(Comparison(name, median(old), median(new), scatter(old), scatter(new), len(old)))
    return compared


def verdict(comparisons: list[Comparison], answers_equal: bool | None) -> dict[str, bool]:
    """Return the result of each check by name; the equality of decisions is included only if they were compared."""
    checks = {comparison.name: comparison.holds for comparison in comparisons}
    return checks if answers_equal is None else {**checks, "same decisions": answers_equal}


def rows(comparisons: list[Comparison]) -> list[tuple[str, ...]]:
    """Return the lines of the table: figure, medians, change, scatters, verdict."""
    return [
        (
            comparison.name,
            f"{comparison.before:.4g}",
            f"{comparison.after:.4g}",
            f"{100.0 * comparison.change:+.1f} %",
            f"{100.0 * comparison.scatter_before:.1f} %",
            f"{100.0 * comparison.scatter_after:.1f} %",
            ("holds" if comparison.holds else "WORSE") + (", beyond scatter" if comparison.beyond_scatter else ""),
        )
        for comparison in comparisons
    ]


def result_table(comparisons: list[Comparison]) -> Table:
    """Return the table of all figures."""
    table = Table("figure", "before", "after", "change", "scatter before", "scatter after", "")
    for row in rows(comparisons):
        table.add_row(*row)
    return table


def round_orders(count: int) -> list[tuple[int, int]]:
    """Return the order of the trees in each round: 0 is the tree before, 1 the tree after.

    >>> round_orders(3)
    [(0, 1), (1, 0), (0, 1)]
    """
    return [(0, 1) if number % 2 == 0 else (1, 0) for number in range(count)]


def measure_planes(trees: tuple[Path, Path], rounds: int, quick: bool) -> tuple[list[Figures], list[Figures]]:
    """Return the figures of both planes, by tree and round."""
    load = QUICK_LOAD if quick else FULL_LOAD
    measured: tuple[list[Figures], list[Figures]] = ([], [])
    for tree in trees:
        deployed_tree.build(tree)
        asyncio.run(measure_round(tree, QUICK_LOAD))
    for order in round_orders(rounds):
        for index in order:
            measured[index].append(asyncio.run(measure_round(trees[index], load)))
    return measured


def measure_decisions(
    trees: tuple[Path, Path], rounds: int, quick: bool, seed: int
) -> tuple[list[Figures], list[Figures], dict[str, object]]:
    """Return the processor time of the decisions by tree and round, and a summary of the recorded session."""
    recording = record_session(trees[0], QUICK_RECORDING_S if quick else RECORDING_S, seed=seed)
    measured: tuple[list[Figures], list[Figures]] = ([], [])
    digests, sizes = {recording.digest}, set()
    for order in round_orders(rounds):
        for index in order:
            answer = replay(trees[index], recording.batches)
            digests.add(answer.digest)
            sizes.add(answer.answer_bytes)
            measured[index].append({DECISION_FIGURE: answer.processor_s})
    summary = {
        "requests": recording.requests,
        "events": recording.records,
        "answer_bytes": sorted(sizes),
        "digests": sorted(digests),
    }
    return *measured, summary


def main() -> int:
    """Measure and print the table and the JSON line; return 1 if the tree after is worse or its decisions differ."""
    options = docopt(__doc__)
    quick = bool(options["--quick"])
    rounds = int(options["--rounds"] or (QUICK_ROUNDS if quick else ROUNDS))
    trees = (Path(options["--before"]).resolve(), Path(options["--after"]).resolve())
    for name, tree in zip(("before", "after"), trees, strict=True):
        print(f"{name}: {origin(tree)}")
    comparisons: list[Comparison] = []
    answers_equal: bool | None = None
    play: dict[str, object] = {}
    if not options["--decisions"]:
        comparisons += compare(*measure_planes(trees, rounds, quick))
    if not options["--planes"]:
        before, after, play = measure_decisions(trees, rounds, quick, int(options["--seed"]))
        comparisons += compare(before, after)
        answers_equal = len(play["digests"]) == 1
        print("the decisions are the same" if answers_equal else "THE DECISIONS DIFFER", json.dumps(play))
    Console(width=128).print(result_table(comparisons))
    holds = verdict(comparisons, answers_equal)
    figures = {
        comparison.name: {**asdict(comparison), "change": comparison.change, "beyond_scatter": comparison.beyond_scatter}
        for comparison in comparisons
    }
    report = {"benchmark": "footprint", "quick": quick, "rounds": rounds, "play": play, "figures": figures, "holds": holds}
    print(json.dumps(report))
    return 0 if all(holds.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
