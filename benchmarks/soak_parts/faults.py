"""Draw the faults of a soak from its seed: sequential and overlapping, single and in groups. Pure functions."""

from __future__ import annotations

import random
from dataclasses import dataclass

MEAN_GAP_S = 1.3
GROUP_PROBABILITY = 0.3
GROUP_SIZES = (2, 3, 4)
PROCESS_KINDS = ("kill", "kill", "terminate", "terminate", "freeze", "freeze", "hang_up")
BACKEND_KINDS = ("crash", "leave")
BACKEND_PROBABILITY = 0.25
DURATION_S, LONG_DURATION_S = (0.1, 2.5), (3.0, 6.0)
LONG_PROBABILITY = 0.15


@dataclass(frozen=True)
class Fault:
    """One fault.

    Attributes:
        at_s: Begin, in seconds from the start of the traffic.
        kind: "kill", "terminate", "freeze" or "hang_up" for a process; "crash" or "leave" for a backend.
        target: Name of the process or backend.
        duration_s: Length of a freeze, or the time from the exit to the restart.
    """

    at_s: float
    kind: str
    target: str
    duration_s: float


def draw_faults(seed: int, seconds: float, processes: list[str], backends: list[str]) -> list[Fault]:
    """Return the faults of one soak, ordered by their begin.

    Args:
        seed: Seed of the draws.
        seconds: Time before which every fault begins.
        processes: Names of all processes.
        backends: Names of all backends.

    >>> draw_faults(1, 9, ["control-0", "data-0"], ["backend-0"]) == draw_faults(1, 9, ["control-0", "data-0"], ["backend-0"])
    True
    """
    source, faults, at_s = random.Random(seed), [], 0.0
    while (at_s := at_s + source.expovariate(1 / MEAN_GAP_S)) < seconds:
        count = source.choice(GROUP_SIZES) if source.random() < GROUP_PROBABILITY else 1
        for _ in range(count):
            is_backend = source.random() < BACKEND_PROBABILITY
            target = source.choice(backends if is_backend else processes)
            kind = source.choice(BACKEND_KINDS if is_backend else PROCESS_KINDS)
            duration_s = source.uniform(*(LONG_DURATION_S if source.random() < LONG_PROBABILITY else DURATION_S))
            faults.append(Fault(at_s, kind, target, duration_s))
    return faults
