"""What a run of the scale benchmark plays and the limits that its figures must keep."""

from __future__ import annotations

from typing import Any, NamedTuple

from mulleinhatch.instance.gossip.core import MOST_MEMBERS
from mulleinhatch.simulation.scale_instances import Plan

MAX_BYTES_A_S, MAX_CORE_SHARE, MAX_STATE_MB = 3000.0, 0.02, 8.0
MAX_KNOWN_S, MAX_IN_SUMS_S, MAX_MERGED_S, MAX_JOINED_S, MAX_BURST_FACTOR = 5.0, 7.0, 10.0, 30.0, 2.0
TARGET_MEMBERS = 3600
Checks = dict[str, bool]
Figures = dict[str, Any]


class Sizes(NamedTuple):
    """How much is played; seconds are virtual."""

    slopes: tuple[int, ...]
    checked: int  # of the full part
    events: int
    settle: float  # after joining, until nothing of it is told on
    calm: float  # measured
    cut: float
    minute: float  # in which an hour's churn comes, or all restart
    start: float  # in which the full part's members start


def sizes(levels: bool, quick: bool, members: int) -> Sizes:
    if levels:
        steps = [225, 450, 900, 1350] if quick else [225, 450, 900, 1800]
        full, events = (min(members, 1800), 225) if quick else (members, members)
    else:
        steps = [25, 50, 100, 150] if quick else [25, 100, 200, 400]
        full, events = min(members, 200 if quick else MOST_MEMBERS), 27 if quick else 225
    small = [step for step in steps if step < full] or [full]
    # Flat, all know each other from the start: who started late would be declared gone by those who wait for it.
    start = 0.1 if not levels else 3.0 if quick else 60.0
    # News of a start in a minute is over some 25 s after all have joined.
    full_times = (25.0, 10.0, 180.0, 60.0) if levels else (5.0, 10.0, 60.0, 60.0)
    settle, calm, cut, minute = (4.0, 5.0, 20.0, 10.0) if quick else full_times
    return Sizes(tuple(small), full, min(members, events), settle, calm, cut, minute, start)


class Options(NamedTuple):
    """What the command line says."""

    quick: bool
    seed: int
    members: int
    levels: bool
    workers: int
    sizes: Sizes

    def plan(self, members: int, **more: Any) -> Plan:
        return Plan(members=members, levels=self.levels, seed=self.seed, **more)

    def shards(self, members: int) -> int:
        """A window of few members is over sooner than its processes are woken."""
        return max(1, min(self.most_workers(members), members // (300 if self.levels else 100)))

    def most_workers(self, members: int) -> int:
        return self.workers or (6 if members >= 1800 else 4)
