"""Compare the timer wheel with a heap with lazy cancellation, at large numbers of timers.

Usage:
  wheel [--quick] [--seed N]

Options:
  --quick   Fewer timers.
  --seed N  Seed of the timers [default: 1].

Nine of ten timers are cancelled before they expire, as timeouts usually are. Objectives at the largest number of timers: at
most twice the heap's time, and at most half of its entries.
"""

from __future__ import annotations

import heapq
import json
import random
import sys
import time

from docopt import docopt
from rich.console import Console
from rich.table import Table

from mulleinhatch.instance.jobs.timer_wheel import TimerWheel


class Heap:
    """A binary heap of timers in which cancelled ones stay until they expire."""

    def __init__(self) -> None:
        self.entries: list[tuple[float, int]] = []
        self.alive: dict[int, float] = {}

    def set(self, name: int, at: float) -> None:
        """Set a timer."""
        self.alive[name] = at
        heapq.heappush(self.entries, (at, name))

    def cancel(self, name: int) -> bool:
        """Cancel a timer; return whether it was set."""
        return self.alive.pop(name, None) is not None

    def pop_due(self, now: float) -> list[int]:
        """Remove and return the timers that have expired."""
        names = []
        while self.entries and self.entries[0][0] <= now:
            at, name = heapq.heappop(self.entries)
            if self.alive.get(name) == at:
                del self.alive[name]
                names.append(name)
        return names


def run_timers(timers: TimerWheel | Heap, count: int, seed: int) -> tuple[float, int, int]:
    """Set and cancel timers, and return the seconds that it took, the peak number of entries, and the timers that expired."""
    draw, now, fired, most = random.Random(seed), 0.0, 0, 0
    waiting: list[int] = []
    start = time.perf_counter()
    for number in range(count):
        now += 1e-4
        timers.set(number, now + draw.uniform(1.0, 30.0))
        waiting.append(number)
        if number % 10:
            timers.cancel(waiting.pop(draw.randrange(len(waiting))))
        if number % 100 == 0:
            fired += len(timers.pop_due(now))
            most = max(most, len(timers) if isinstance(timers, TimerWheel) else len(timers.entries))
    return time.perf_counter() - start, most, fired


def main(argv: list[str] | None = None) -> int:
    """Run the benchmark and print its figures; return 1 if an objective was missed."""
    options = docopt(__doc__, argv)
    table, rows = Table("timers", "heap s", "wheel s", "heap entries", "wheel entries"), []
    for count in (10_000, 100_000) if options["--quick"] else (10_000, 100_000, 1_000_000):
        heap, wheel = (
            run_timers(Heap(), count, int(options["--seed"])),
            run_timers(TimerWheel(0.0), count, int(options["--seed"])),
        )
        rows.append(
            {
                "alarms": count,
                "heap_s": round(heap[0], 3),
                "wheel_s": round(wheel[0], 3),
                "heap_held": heap[1],
                "wheel_held": wheel[1],
            }
        )
        table.add_row(*(str(value) for value in rows[-1].values()))
    Console().print(table)
    last = rows[-1]
    holds = last["wheel_s"] <= 2.0 * last["heap_s"] and last["wheel_held"] <= 0.5 * last["heap_held"]
    print(json.dumps({"rows": rows, "holds": holds}))
    return 0 if holds else 1


if __name__ == "__main__":
    sys.exit(main())
