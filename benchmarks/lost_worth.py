"""`python -m benchmarks.lost_worth LOG [--plot FILE]`: why requests were late or not served, from the logs of data planes.

LOG is what the bench prints with `--log all`: a time in seconds, a node and a JSON log line. Data planes log a line `late` for
each first event after its aim and `not served` for each refusal, with the delay that the request met at its arrival; the holder
of orders logs each order and its end. The tables count them by cause, by second and by model, and give the time of orders.
"""

from __future__ import annotations

import argparse
import json
import re
import statistics
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

LINE = re.compile(r"^\s*(-?\d+\.\d+)\s+\S+\s+(\{.*\})\s*$")
WINDOW_S = 2
BATCH_PART = 0.5  # of the wait spent at the backend, from which a late answer counts as the backend's


@dataclass(frozen=True)
class LostRequest:
    """A request that was late or sent away. Times in seconds from the start of traffic."""

    at: float
    late: bool
    cause: str
    model: str
    priority: int
    came_back: bool


@dataclass(frozen=True)
class OrderTime:
    """How long an order took from its sending to the report that showed its end."""

    operation: str
    adapter: bool
    seconds: float


def read_lines(lines: Iterable[str]) -> Iterable[tuple[float, dict]]:
    """Times and log records; other lines are passed over.

    >>> list(read_lines([' 1.5 front-1 {"message": "late"}', "seen"]))
    [(1.5, {'message': 'late'})]
    """
    for line in lines:
        match = LINE.match(line)
        if match is not None:
            yield float(match[1]), json.loads(match[2])


def lost_requests(records: Iterable[tuple[float, dict]]) -> list[LostRequest]:
    """The requests that lost worth, with the cause of each."""
    lost = []
    for at, record in records:
        if record.get("message") not in ("late", "not served"):
            continue
        late = record["message"] == "late"
        lost.append(
            LostRequest(at, late, _cause(record), record["model"], int(record["priority"]), bool(record.get("came_back")))
        )
    return lost


def _cause(record: dict) -> str:
    if record["message"] == "late" and record["at_stub_s"] >= BATCH_PART * record["waited_s"]:
        return "slow at the stub" + (", sent again" if record["sends"] > 1 else "")
    return record["delay"]


def order_times(records: Iterable[tuple[float, dict]]) -> list[OrderTime]:
    """The orders that ended."""
    return [
        OrderTime(record["operation"], bool(record["adapter"]), float(record["took_s"]))
        for _, record in records
        if record.get("message") == "order ended"
    ]


def _print(lost: list[LostRequest], orders: list[OrderTime]) -> None:
    causes = Counter((one.cause, one.late, one.came_back) for one in lost)
    print(f"{'cause':48} {'late':>6} {'of them back':>13} {'sent away':>10} {'of them back':>13}")
    for cause in sorted({one.cause for one in lost}, key=lambda cause: -sum(one.cause == cause for one in lost)):
        late, sent = (
            causes[cause, True, False] + causes[cause, True, True],
            causes[cause, False, False] + causes[cause, False, True],
        )
        print(f"{cause:48} {late:6} {causes[cause, True, True]:13} {sent:10} {causes[cause, False, True]:13}")
    windows: dict[int, Counter[str]] = defaultdict(Counter)
    for one in lost:
        windows[int(one.at // WINDOW_S) * WINDOW_S][one.cause] += 1
    print("\nfrom second")
    for start in sorted(windows):
        print(f"{start:6}  " + ", ".join(f"{cause} {count}" for cause, count in windows[start].most_common(4)))
    models = Counter(one.model for one in lost)
    print("\nmodels that lost most: " + ", ".join(f"{model or '-'} {count}" for model, count in models.most_common(12)))
    print(f"{len(models)} models lost something, {sum(count == 1 for count in models.values())} of them one request")
    for kind in sorted({(one.operation, one.adapter) for one in orders}):
        times = [one.seconds for one in orders if (one.operation, one.adapter) == kind]
        name = f"{kind[0]} {'adapter' if kind[1] else 'model'}"
        print(f"{name}: {len(times)} orders, median {statistics.median(times):.2f} s, longest {max(times):.2f} s")


def _plot(lost: list[LostRequest], file: Path) -> None:
    from matplotlib import pyplot

    starts = range(int(min(one.at for one in lost)), int(max(one.at for one in lost)) + 1)
    bottom = [0] * len(starts)
    for cause, _ in Counter(one.cause for one in lost).most_common():
        heights = [sum(one.cause == cause and int(one.at) == start for one in lost) for start in starts]
        pyplot.bar(list(starts), heights, bottom=bottom, label=cause)
        bottom = [a + b for a, b in zip(bottom, heights)]
    pyplot.xlabel("second of traffic")
    pyplot.ylabel("requests late or sent away")
    pyplot.legend(fontsize=7)
    pyplot.savefig(file, dpi=110)


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.lost_worth", description="Why worth was lost.")
    parser.add_argument("log", type=Path)
    parser.add_argument("--plot", type=Path)
    chosen = parser.parse_args()
    records = list(read_lines(chosen.log.read_text(errors="replace").splitlines()))
    lost = lost_requests(records)
    _print(lost, order_times(records))
    if chosen.plot is not None and lost:
        _plot(lost, chosen.plot)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
