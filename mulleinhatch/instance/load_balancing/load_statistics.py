"""Load of this instance and of the fleet, from local measurements and the reports of other members."""

from __future__ import annotations

from mulleinhatch.instance.gossip.counters import FleetCounters, MemberFigures
from mulleinhatch.instance.gossip.members import Membership
from mulleinhatch.instance.gossip.messages import SUSPECT
from mulleinhatch.instance.load_balancing.estimates import (
    EULER,
    SCATTER,
    DecayingWindow,
    Estimate,
    Evidence,
    estimate_population,
    shrink_towards_mean,
)
from mulleinhatch.instance.load_balancing.redirects import LoadObservation

PACE_MEMORY_S = 10.0
LOAD_MEMORY_S = 8.0
LOAD_SCATTER = 1.0
# An instance that fails at least this fraction of at least this many runs issues no offers, however idle it looks.
FAILING_FRACTION, MIN_RUNS = 0.5, 4.0
MAX_VALUE = 1e6  # maximum reported mean


class LoadStatistics:
    """Measurements of this instance, and estimates that combine them with the reports of other members.

    Args:
        members: membership.
        fleet_counters: reports of the members.
        now: seconds of the caller's clock.
    """

    def __init__(self, members: Membership, fleet_counters: FleetCounters, now: float) -> None:
        self.members, self.fleet_counters, self.started_at = members, fleet_counters, now
        self.pace, self.loads = DecayingWindow(PACE_MEMORY_S), DecayingWindow(LOAD_MEMORY_S)
        self.failures = DecayingWindow(PACE_MEMORY_S)

    def record_arrival(self, now: float, work: float) -> None:
        """Record a request of this instance's clients by its work, or by 1 if it states none."""
        self.loads.add(now, work or 1.0)

    def record_run(self, now: float, seconds: float, work: float, failed: bool) -> None:
        """Record a completed run."""
        self.pace.add(now, seconds / (work or 1.0))
        self.failures.add(now, float(failed))

    def is_failing(self, now: float) -> bool:
        """Return whether most runs of this instance fail."""
        failures = self.failures.evidence(now)
        return failures.count >= MIN_RUNS and failures.mean >= FAILING_FRACTION

    def figures(self, now: float, slots: int) -> list[int]:
        """Return the last five figures of a report: slots, then evidence (tenths) and value (thousandths) of pace and load."""
        pace, load = self.pace.evidence(now), self._own_load(now, slots)
        return [
            slots,
            round(10 * pace.count),
            round(1000 * min(MAX_VALUE, pace.mean)),
            round(10 * load.count),
            round(1000 * min(MAX_VALUE, load.mean)),
        ]

    def estimate_pace(self, now: float, slots: int) -> Estimate | None:
        """Return this instance's pace, shrunk towards that of similar instances."""
        return self._shrink_pace(now, *self._similar_pace(now, slots))

    def observe(self, now: float, slots: int) -> LoadObservation:
        """Return the loads of this instance and of the fleet, which is unknown without reports of half of the members."""
        rows = self._fresh_rows(now)
        if self.members.frozen or 2 * len(rows) < len(self.members.alive()) or not rows:
            return LoadObservation(0.0, -1.0)
        loads = [_evidence_of(row, "load_ops", "load") for row in rows]
        mean, deviation = estimate_population(loads, LOAD_SCATTER)
        own = shrink_towards_mean(now, self._own_load(now, slots), LOAD_SCATTER, mean, deviation)
        similar_pace, pace_deviation = self._similar_pace(now, slots)
        pace = self._shrink_pace(now, similar_pace, pace_deviation)
        relative_pace = pace.value / similar_pace if pace and similar_pace else 0.0
        return LoadObservation(own.value if own else 0.0, mean, relative_pace)

    def _shrink_pace(self, now: float, mean: float, deviation: float) -> Estimate | None:
        return shrink_towards_mean(now, self.pace.evidence(now), self.pace.scatter(), mean, deviation)

    def _similar_pace(self, now: float, slots: int) -> tuple[float, float]:
        """Return the mean and standard deviation of the pace of instances with the same number of slots."""
        rows = [row for row in self._fresh_rows(now) if row.value("places") == slots]
        return estimate_population([_evidence_of(row, "pace_runs", "pace") for row in rows], SCATTER)

    def _fresh_rows(self, now: float) -> list[MemberFigures]:
        counters, view = self.fleet_counters, self.members.view
        return [
            row
            for name, row in counters.rows.items()
            if counters.is_fresh(now, row) and (member := view.get(name)) and member.state <= SUSPECT
        ]

    def _own_load(self, now: float, slots: int) -> Evidence:
        """Return the arrived work relative to the capacity, by the slot time that work takes on this instance."""
        arrived = self.loads.evidence(now)
        running_s = max(0.1, now - self.started_at)
        span_s = LOAD_MEMORY_S * (1.0 - EULER ** (-running_s / LOAD_MEMORY_S))
        pace = self.pace.evidence(now).mean
        return Evidence(arrived.count, arrived.count * arrived.mean * pace / span_s / max(1, slots), arrived.at)


def _evidence_of(row: MemberFigures, count: str, figure: str) -> Evidence:
    return Evidence(row.value(count) / 10.0, row.value(figure) / 1000.0, row.made_at)
