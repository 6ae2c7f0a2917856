"""The loudest of 100,000 tenants: a sketch of bounded room beside a plain dict.

Usage:
  loudest [--quick] [--seed N]

Options:
  --quick   Fewer ops.
  --seed N  Of the names [default: 1].

Aim: the four loudest are found, in under a tenth of the room and six times the time.
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

TENANTS, KEPT, LOUD = 100_000, 256, 4
ROUNDS = 3


def asked(count: int, seed: int) -> list[str]:
    """A long tail with four that ask a lot: 4, 3, 2 and 1.5% of all."""
    draw = random.Random(seed)
    loud = [f"loud {place}" for place in range(LOUD)]
    return [
        draw.choices(loud, (4.0, 3.0, 2.0, 1.5))[0] if draw.random() < 0.105 else f"tenant {draw.randrange(TENANTS)}"
        for _ in range(count)
    ]


def timed(names: list[str], add: Any) -> float:
    begun = time.perf_counter()
    for place, name in enumerate(names):
        add(place / 50_000.0, name)
    return (time.perf_counter() - begun) / len(names) * 1e6


def main(argv: list[str]) -> int:
    told = docopt(__doc__, argv)
    names = asked(50_000 if told["--quick"] else 1_000_000, int(told["--seed"]))
    plain: Counter[str] = Counter()

    def count(now: float, name: str) -> None:
        plain[name] += 1

    sketch = HeavyHitters(KEPT)
    held = {}
    for what, add in (("dict", count), ("sketch", sketch.add)):
        tracemalloc.start()
        timed(names, add)
        held[what] = tracemalloc.get_traced_memory()[0] / 1024.0
        tracemalloc.stop()
    found = {loud.name for loud in sketch.top(len(names) / 50_000.0, LOUD)}
    true = {name for name, _ in plain.most_common(LOUD)}
    cost = {
        "dict": min(timed(names, count) for _ in range(ROUNDS)),
        "sketch": min(timed(names, HeavyHitters(KEPT).add) for _ in range(ROUNDS)),
    }
    print(f"{'':8}{'us an op':>10}{'KB held':>10}{'names':>10}")
    for what, names_held in (("dict", len(plain)), ("sketch", len(sketch.counts))):
        print(f"{what:8}{cost[what]:10.2f}{held[what]:10.0f}{names_held:10}")
    print(f"of the {LOUD} loudest found: {len(found & true)}")
    holds = found == true and held["sketch"] < 0.1 * held["dict"] and cost["sketch"] < 6.0 * cost["dict"]
    print(json.dumps({"us": cost, "kb": held, "found": len(found & true), "holds": holds}))
    return 0 if holds else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
