"""Random histories: fault kinds that occur together, load, maintenance; one seed always gives the same history.

Adjacent instances fail together; slow instances are as likely as crashes; links fail in one direction or partly; most failed
instances and links recover, some of them repeatedly. A fault kind that led to more new states is drawn more often.
"""

from __future__ import annotations

import random
from typing import NamedTuple

from mulleinhatch.simulation.load_balancing_world import Load

FIRST_FAULT_S, FAULT_PERIOD_S = 8.0, 8.0  # seconds: the earliest start of a fault, and the period in which all faults start
KINDS = (
    "zone dies",
    "zone slow",
    "zone cut",
    "one way",
    "loss",
    "delay",
    "stalls",
    "black hole",
    "flapping",
    "rolling",
    "chain",
    "voters",
    "some die for good",
    "leaves",
)


class History(NamedTuple):
    """One history: faults, load, and whether all machines request maintenance."""

    seed: int
    instances: int
    kinds: tuple[str, ...]
    lines: tuple[str, ...]  # of the fault script
    load: Load
    is_maintenance_requested: bool  # all machines request a window when the faults begin

    @property
    def script(self) -> str:
        """Return the fault script as text."""
        return "\n".join(self.lines)


def draw_history(seed: int, weights: dict[str, float] | None = None) -> History:
    """Draw the history of a seed; `weights` make some fault kinds more likely."""
    draw = random.Random(seed)
    instances = draw.choice((5, 6, 8, 12))
    weight = [(weights or {}).get(kind, 1.0) for kind in KINDS]
    kinds = tuple(sorted(set(draw.choices(KINDS, weight, k=draw.choice((1, 1, 2, 2, 3))))))
    lines: list[str] = []
    for kind in kinds:
        lines += _lines(kind, draw, instances)
    load = Load(
        draw.choice((0.3, 0.6, 0.9, 1.1)),
        callers=draw.choice((2, 4, 8)),
        listed=draw.choice((2, 3, 5)),
        heeding=draw.choice((0.0, 0.5, 1.0)),
        uneven=draw.choice((0.0, 1.0, 3.0)),
        mixed=draw.random() < 0.5,
        list_delay=draw.choice((0.5, 2.0)),
        one=draw.choice((0.0, 0.0, 0.33)),
        speeds=draw.choice(((), (), (1.0, 0.5), (1.0, 1.0, 0.4))),
    )
    return History(seed, instances, kinds, tuple(lines), load, draw.random() < 0.5)


def _lines(kind: str, draw: random.Random, instances: int) -> list[str]:
    at, last = FIRST_FAULT_S + draw.uniform(0.0, 0.5 * FAULT_PERIOD_S), draw.uniform(0.5, 4.0)
    size = draw.randint(1, max(1, instances // 3))
    first = draw.randint(0, instances - size)
    zone = f"{first}-{first + size - 1}"
    rest = ",".join(str(place) for place in range(instances) if not first <= place < first + size)
    one = draw.randrange(instances)
    if kind == "zone dies":
        return [f"at {at:.2f} kill {zone} for {last:.2f}"]
    if kind == "zone slow":
        return [f"at {at:.2f} slow {zone} by {draw.uniform(2.0, 12.0):.1f} for {last:.2f}"]
    if kind == "zone cut":
        return [f"at {at:.2f} cut {zone} from {rest} for {last:.2f}"]
    if kind == "one way":
        deaf, to = (zone, rest) if draw.random() < 0.5 else (rest, zone)
        return [f"at {at:.2f} deaf {deaf} to {to} for {last:.2f}"]
    if kind == "loss":
        return [
            f"at {at:.2f} {what} all {draw.uniform(0.1, 0.4):.2f} for {last:.2f}"
            for what in ("lossy", "repeated", "swapped")
            if draw.random() < 0.6
        ]
    if kind == "delay":
        return [f"at {at:.2f} delayed {zone} {draw.uniform(0.1, 0.6):.2f} for {last:.2f}"]
    if kind == "stalls":
        return [
            f"at {at + draw.uniform(0.0, 2.0):.2f} stall {draw.randrange(instances)} for {draw.uniform(0.3, 4.0):.2f}"
            for _ in range(draw.randint(1, 3))
        ]
    if kind == "black hole":
        return [f"at {at:.2f} failing {one} 1.0 for {last:.2f}"]
    if kind == "flapping":
        return [f"at {at + 1.2 * index:.2f} cut {zone} from {rest} for 0.60" for index in range(draw.randint(2, 5))]
    if kind == "rolling":
        return [f"at {at + 0.8 * index:.2f} kill {(first + index) % instances} for 0.50" for index in range(size + 1)]
    if kind == "chain":
        third = max(1, instances // 3)
        return [f"at {at:.2f} cut 0-{third - 1} from {instances - third}-{instances - 1} for {last:.2f}"]
    if kind == "voters":
        return [f"at {at:.2f} kill 0-1 for {last:.2f}", f"at {at + 0.3:.2f} stall 2 for {last:.2f}"]
    if kind == "some die for good":
        return [f"at {at:.2f} kill {one}"]
    return [f"at {at:.2f} leave {zone}", f"at {at + 4.0:.2f} start {zone}"]
