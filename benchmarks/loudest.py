"""Find the most active of 100,000 tenants: a sketch of bounded memory compared with a plain dict.

Usage:
  loudest [--quick] [--seed N]

Options:
  --quick   Fewer requests.
  --seed N  Seed of the names [default: 1].

Objectives: the sketch finds the four most active with less than a tenth of the dict's memory and six times its time.
"""

from __future__ import annotations

import json
import random
import sys
import time
import tracemalloc
from collections import Counter
from typing import Any

from docopt import docopt

from mulleinhatch.instance.gossip.heavy_hitters import HeavyHitters

TENANTS, CAPACITY, ACTIVE = 100_000, 256, 4
ROUNDS = 3


def draw_requests(count: int, seed: int) -> list[str]:
    """Return tenant names with a long tail, of which four active tenants make up 4, 3, 2 and 1.5%."""
    draw = random.Random(seed)
    active = [f"loud {index}" for index in range(ACTIVE)]
    return [
        draw.choices(active, (4.0, 3.0, 2.0, 1.5))[0] if draw.random() < 0.105 else f"tenant {draw.randrange(TENANTS)}"
        for _ in range(count)
    ]


def time_per_request_us(names: list[str], add: Any) -> float:
    """Return the microseconds per call of `add`."""
    begun = time.perf_counter()
    for index, name in enumerate(names):
        add(index / 50_000.0, name)
    return (time.perf_counter() - begun) / len(names) * 1e6


def main(argv: list[str]) -> int:
    """Compare the two and print the figures; return 1 if a check failed."""
    options = docopt(__doc__, argv)
    names = draw_requests(50_000 if options["--quick"] else 1_000_000, int(options["--seed"]))
    plain: Counter[str] = Counter()

    def count(now: float, name: str) -> None:
        plain[name] += 1

    sketch = HeavyHitters(CAPACITY)
    memory_kb = {}
    for what, add in (("dict", count), ("sketch", sketch.add)):
        tracemalloc.start()
        time_per_request_us(names, add)
        memory_kb[what] = tracemalloc.get_traced_memory()[0] / 1024.0
        tracemalloc.stop()
    found = {hitter.name for hitter in sketch.top(len(names) / 50_000.0, ACTIVE)}
    expected = {name for name, _ in plain.most_common(ACTIVE)}
    cost = {
        "dict": min(time_per_request_us(names, count) for _ in range(ROUNDS)),
        "sketch": min(time_per_request_us(names, HeavyHitters(CAPACITY).add) for _ in range(ROUNDS)),
    }
    print(f"{'':8}{'us/request':>10}{'KB':>10}{'names':>10}")
    for what, names_kept in (("dict", len(plain)), ("sketch", len(sketch.counts))):
        print(f"{what:8}{cost[what]:10.2f}{memory_kb[what]:10.0f}{names_kept:10}")
    print(f"of the {ACTIVE} most active found: {len(found & expected)}")
    passed = found == expected and memory_kb["sketch"] < 0.1 * memory_kb["dict"] and cost["sketch"] < 6.0 * cost["dict"]
    print(json.dumps({"us": cost, "kb": memory_kb, "found": len(found & expected), "holds": passed}))
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
