"""Options and sizes of the scale benchmark, and the limits that its figures are checked against.

Durations are seconds of virtual time.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from mulleinhatch.instance.gossip.core import MAX_MEMBERS
from mulleinhatch.simulation.scale_instances import Plan

MAX_BYTES_PER_S, MAX_CORE_SHARE, MAX_STATE_MB = 3000.0, 0.02, 8.0
MAX_KNOWN_S, MAX_IN_SUMS_S, MAX_MERGED_S, MAX_JOINED_S, MAX_BURST_FACTOR = 5.0, 7.0, 10.0, 30.0, 2.0
TARGET_MEMBERS = 3600
Checks = dict[str, bool]
Figures = dict[str, Any]


class Sizes(NamedTuple):
    """Sizes of fleets in members, and durations in virtual seconds.

    Attributes:
        slopes: Members of each fleet used to fit the costs.
        checked: Members of the fleet that the fits are checked against.
        events: Members of the fleets that events are played in.
        settle: Time after joining until all gossip about it has spread.
        calm: Time over which costs are measured.
        partition: Duration of the partition.
        burst_span: Time within which a burst of churn happens, or all members restart.
        start: Time within which the members of the checked fleet start.
    """

    slopes: tuple[int, ...]
    checked: int
    events: int
    settle: float
    calm: float
    partition: float
    burst_span: float
    start: float


def sizes(levels: bool, quick: bool, members: int) -> Sizes:
    """Choose members and durations.

    Args:
        levels: Whether fleet state is aggregated in levels.
        quick: Whether a short run is wanted.
        members: The full size.
    """
    if levels:
        steps = [225, 450, 900, 1350] if quick else [225, 450, 900, 1800]
        full, events = (min(members, 1800), 225) if quick else (members, members)
    else:
        steps = [25, 50, 100, 150] if quick else [25, 100, 200, 400]
        full, events = min(members, 200 if quick else MAX_MEMBERS), 27 if quick else 225
    small = [step for step in steps if step < full] or [full]
    # In a flat fleet all members know each other from the start, so the others would declare a late starter gone.
    start = 0.1 if not levels else 3.0 if quick else 60.0
    # With starts spread over a minute, gossip about them has reached all members some 25 s after the last join.
    full_times = (25.0, 10.0, 180.0, 60.0) if levels else (5.0, 10.0, 60.0, 60.0)
    settle, calm, partition, burst_span = (4.0, 5.0, 20.0, 10.0) if quick else full_times
    return Sizes(tuple(small), full, min(members, events), settle, calm, partition, burst_span, start)


class Options(NamedTuple):
    """The options of a run.

    Attributes:
        members: The full size.
        levels: Whether fleet state is aggregated in levels; else every member knows every other.
        workers: Maximum number of processes; 0 chooses by size.
    """

    quick: bool
    seed: int
    members: int
    levels: bool
    workers: int
    sizes: Sizes

    def plan(self, members: int, **more: Any) -> Plan:
        """Return the plan of a simulated fleet; further fields of `Plan` may be given."""
        return Plan(members=members, levels=self.levels, seed=self.seed, **more)

    def shards(self, members: int) -> int:
        """Return the number of processes for a fleet; with few members each, waking a process takes longer than its work."""
        return max(1, min(self.most_workers(members), members // (300 if self.levels else 100)))

    def most_workers(self, members: int) -> int:
        """Return the maximum number of processes for fleets up to a size."""
        return self.workers or (6 if members >= 1800 else 4)
