"""`python -m benchmarks.lost_value LOG [--plot FILE]`: why requests were late or rejected, from the logs of data planes.

LOG is what the bench prints with `--log all`: a time in seconds, a node and a JSON log line. Data planes log each response that
starts after its route's latency target and each rejection, with the reason why the request had to wait at its arrival; the
placement leader logs each order and its end. The tables count them by cause, by second and by model, and give the times of
orders. Logs of older versions, with other messages and keys for the same events, are read too.
"""

from __future__ import annotations

import argparse
import json
import re
import statistics
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

LOG_LINE = re.compile(r"^\s*(-?\d+\.\d+)\s+\S+\s+(\{.*\})\s*$")
WINDOW_S = 2
BACKEND_FRACTION = 0.5  # a late response is attributed to the backend if it spent at least this fraction of the wait there
MAX_CAUSES_PER_WINDOW = 4
MAX_MODELS = 12

LATE_MESSAGES = ("response started after the latency target", "late")  # the second message is that of older versions
REJECTED_MESSAGES = ("request rejected", "not served")
ORDER_COMPLETED_MESSAGE = "order ended"
FORMER_KEYS = {"wait_reason": "delay", "backend_latency_s": "at_stub_s", "is_probable_retry": "came_back"}


@dataclass(frozen=True)
class LostRequest:
    """A request that was late or rejected.

    Attributes:
        at: Time in seconds from the start of traffic.
        late: Whether it was late; otherwise it was rejected.
        cause: Why it was late or rejected.
        model: Requested model, empty for none.
        priority: Priority class; 0 is the highest.
        is_probable_retry: Whether it was probably a retry of the client.
    """

    at: float
    late: bool
    cause: str
    model: str
    priority: int
    is_probable_retry: bool


@dataclass(frozen=True)
class OrderTime:
    """Time of a placement order from its sending to the report that showed its completion."""

    operation: str
    adapter: bool
    seconds: float


def read_lines(lines: Iterable[str]) -> Iterator[tuple[float, dict[str, Any]]]:
    """Yield times and log records; other lines are skipped.

    >>> list(read_lines([' 1.5 front-1 {"message": "late"}', "seen"]))
    [(1.5, {'message': 'late'})]
    """
    for line in lines:
        match = LOG_LINE.match(line)
        if match is not None:
            yield float(match[1]), json.loads(match[2])


def lost_requests(records: Iterable[tuple[float, dict[str, Any]]]) -> list[LostRequest]:
    """Return the late and rejected requests, with the cause of each."""
    lost = []
    for at, record in records:
        message = record.get("message")
        if message not in LATE_MESSAGES and message not in REJECTED_MESSAGES:
            continue
        is_late = message in LATE_MESSAGES
        is_retry = bool(_field(record, "is_probable_retry", False))
        lost.append(LostRequest(at, is_late, _cause(record, is_late), record["model"], int(record["priority"]), is_retry))
    return lost


def _field(record: dict[str, Any], key: str, *default: Any) -> Any:
    """Return a field of a log record, by its key or the key of older versions."""
    for name in (key, FORMER_KEYS[key]):
        if name in record:
            return record[name]
    if default:
        return default[0]
    raise KeyError(key)


def _cause(record: dict[str, Any], is_late: bool) -> str:
    if is_late and _field(record, "backend_latency_s") >= BACKEND_FRACTION * record["waited_s"]:
        return "slow at the backend" + (", sent again" if record["sends"] > 1 else "")
    return _field(record, "wait_reason")


def order_times(records: Iterable[tuple[float, dict[str, Any]]]) -> list[OrderTime]:
    """Return the placement orders that were completed."""
    return [
        OrderTime(record["operation"], bool(record["adapter"]), float(record["took_s"]))
        for _, record in records
        if record.get("message") == ORDER_COMPLETED_MESSAGE
    ]


def _print_causes(lost: list[LostRequest]) -> None:
    counts = Counter((request.cause, request.late, request.is_probable_retry) for request in lost)
    print(f"{'cause':48} {'late':>6} {'retries':>13} {'rejected':>10} {'retries':>13}")
    # Causes with equal counts have no defined order: the sort is stable and iterates over a set.
    for cause in sorted({request.cause for request in lost}, key=lambda cause: -sum(one.cause == cause for one in lost)):
        late_retries, rejected_retries = counts[cause, True, True], counts[cause, False, True]
        late = counts[cause, True, False] + late_retries
        rejected = counts[cause, False, False] + rejected_retries
        print(f"{cause:48} {late:6} {late_retries:13} {rejected:10} {rejected_retries:13}")


def _print_windows(lost: list[LostRequest]) -> None:
    windows: dict[int, Counter[str]] = defaultdict(Counter)
    for request in lost:
        windows[int(request.at // WINDOW_S) * WINDOW_S][request.cause] += 1
    print("\nfrom second")
    for start in sorted(windows):
        causes = windows[start].most_common(MAX_CAUSES_PER_WINDOW)
        print(f"{start:6}  " + ", ".join(f"{cause} {count}" for cause, count in causes))


def _print_models(lost: list[LostRequest]) -> None:
    counts = Counter(request.model for request in lost)
    print("\nmodels that lost most: " + ", ".join(f"{model or '-'} {count}" for model, count in counts.most_common(MAX_MODELS)))
    print(f"{len(counts)} models lost something, {sum(count == 1 for count in counts.values())} of them one request")


def _print_orders(orders: list[OrderTime]) -> None:
    for operation, is_adapter in sorted({(order.operation, order.adapter) for order in orders}):
        times = [order.seconds for order in orders if (order.operation, order.adapter) == (operation, is_adapter)]
        name = f"{operation} {'adapter' if is_adapter else 'model'}"
        print(f"{name}: {len(times)} orders, median {statistics.median(times):.2f} s, longest {max(times):.2f} s")


def _plot(lost: list[LostRequest], file: Path) -> None:
    from matplotlib import pyplot

    starts = range(int(min(request.at for request in lost)), int(max(request.at for request in lost)) + 1)
    bottom = [0] * len(starts)
    for cause, _ in Counter(request.cause for request in lost).most_common():
        heights = [sum(request.cause == cause and int(request.at) == start for request in lost) for start in starts]
        pyplot.bar(list(starts), heights, bottom=bottom, label=cause)
        bottom = [below + height for below, height in zip(bottom, heights)]
    pyplot.xlabel("second of traffic")
    pyplot.ylabel("requests late or rejected")
    pyplot.legend(fontsize=7)
    pyplot.savefig(file, dpi=110)


def main() -> int:
    """Run the command line."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.lost_value", description="Why requests were late or rejected.")
    parser.add_argument("log", type=Path)
    parser.add_argument("--plot", type=Path)
    options = parser.parse_args()
    records = list(read_lines(options.log.read_text(errors="replace").splitlines()))
    lost = lost_requests(records)
    _print_causes(lost)
    _print_windows(lost)
    _print_models(lost)
    _print_orders(order_times(records))
    if options.plot is not None and lost:
        _plot(lost, options.plot)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
