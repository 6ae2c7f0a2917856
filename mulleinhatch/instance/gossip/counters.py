"""The last report of each member, and sums over all members with lower and upper bounds.

Figures of other members have an age. A silent member may have done anything between nothing and its capacity, so a sum is a
range: the lower bound counts known figures only, and the upper bound adds the capacity of silent members. Memory is bounded:
one row per member, with four tenants each.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from mulleinhatch.instance.gossip.messages import Report

# The order is part of the wire format. New figures are appended: reports of older versions are shorter and lack them.
FIGURES = (
    "first_tries",
    "repeats",
    "acked",
    "nacked",
    "held",
    "running",
    "capacity",
    "healthy",
    "failed",
    "room",
    "places",
    "pace_runs",
    "pace",
    "load_ops",
    "load",
)  # the last four alternate amounts of evidence in tenths and values in thousandths
# Totals since the start of the process, converted to rates; the other figures are current values.
RATE_FIGURES = ("first_tries", "repeats", "acked", "nacked", "failed")
INDEX_OF = {figure: index for index, figure in enumerate(FIGURES)}
MIN_FIGURES = 8  # number of figures in the first version
FRESH_FOR_S = 2.0  # older reports count as missing
MAX_HEAVY_HITTERS = 4  # tenants listed in a report
DROPPED_AFTER_S = 30.0


class Range(NamedTuple):
    """Bounds of a figure summed over all members. Field names are keys of the command line's JSON output."""

    least: float
    most: float
    members: int  # members that reported
    silent: int  # how many of them have a report that is too old
    oldest: float  # age of the oldest report in seconds


class MemberFigures:
    """The last report of a member, and an earlier one as the base of rates. Uses slots because there is one per member."""

    __slots__ = ("report", "made_at", "previous", "previous_at")

    def __init__(self, report: Report, made_at: float) -> None:
        self.report = self.previous = report
        self.made_at = self.previous_at = made_at

    def value(self, figure: str) -> float:
        """Return a rate per second or a current value; 0 if the report lacks the figure."""
        index, figures = INDEX_OF[figure], self.report.figures
        if index >= len(figures):
            return 0.0
        if figure not in RATE_FIGURES:
            return float(figures[index])
        span_s, previous = self.made_at - self.previous_at, self.previous.figures
        if span_s <= 0.0 or index >= len(previous):
            return 0.0
        return max(0.0, figures[index] - previous[index]) / span_s


class FleetCounters:
    """Reports of members, and sums over them.

    Args:
        max_members: maximum number of members; reports of further ones are ignored.
        fresh_for_s: age in seconds after which a report counts as missing.

    >>> counters = FleetCounters(max_members=10)
    >>> for number, served in ((1, 0), (2, 50)):
    ...     for name in ("a", "b"):
    ...         _ = counters.record(float(number), Report(name, 1, number, 0.0, [0, 0, served, 0, 0, 0, 80, 1]))
    >>> counters.total(2.0, "acked")
    Range(least=100.0, most=100.0, members=2, silent=0, oldest=0.0)
    >>> counters.total(5.0, "acked")
    Range(least=0.0, most=160.0, members=2, silent=2, oldest=3.0)
    """

    def __init__(self, max_members: int, fresh_for_s: float = FRESH_FOR_S) -> None:
        self.max_members, self.fresh_for_s = max_members, fresh_for_s
        self.dropped_after_s = max(DROPPED_AFTER_S, 2.0 * fresh_for_s)
        self.rows: dict[str, MemberFigures] = {}

    def record(self, now: float, report: Report) -> bool:
        """Record a report and return whether it was newer than the known one."""
        row, made_at = self.rows.get(report.name), now - report.age_s
        if now - made_at > self.dropped_after_s or len(report.figures) < MIN_FIGURES:
            return False
        if row is None:
            if len(self.rows) >= self.max_members:
                return False
            self.rows[report.name] = MemberFigures(report, made_at)
            return True
        if (report.process_epoch, report.number) <= (row.report.process_epoch, row.report.number):
            return False
        if report.process_epoch != row.report.process_epoch:
            self.rows[report.name] = MemberFigures(report, made_at)
            return True
        # Rates need a long enough time base: over a fraction of a second they would be noise.
        if made_at - row.made_at >= 0.5 * min(FRESH_FOR_S, self.fresh_for_s) or row.previous is row.report:
            row.previous, row.previous_at = row.report, row.made_at
        row.report, row.made_at = report, max(made_at, row.made_at + 1e-6)
        return True

    def is_fresh(self, now: float, row: MemberFigures) -> bool:
        """Return whether a report is recent enough to count."""
        return now - row.made_at <= self.fresh_for_s

    def drop_old(self, now: float) -> None:
        """Drop reports of members that have been silent for a long time."""
        for name in [name for name, row in self.rows.items() if now - row.made_at > self.dropped_after_s]:
            del self.rows[name]

    def total(self, now: float, figure: str) -> Range:
        """Return the sum of a figure: a rate per second or a current value."""

        def bounds_of(row: MemberFigures) -> tuple[float, float]:
            value = row.value(figure)
            return value, value

        return self._sum(now, bounds_of)

    def tenant(self, now: float, name: str) -> Range:
        """Return the requests per second of a tenant.

        For a member that does not list the tenant, the rate of its least active listed tenant is an upper bound.
        """

        def bounds_of(row: MemberFigures) -> tuple[float, float]:
            hitters = row.report.heavy_hitters
            rate = next((rate for tenant, rate in hitters if tenant == name), None)
            if rate is not None:
                return rate, rate
            return 0.0, hitters[-1][1] if len(hitters) == MAX_HEAVY_HITTERS else 0.0

        return self._sum(now, bounds_of)

    def heavy_hitters(self, now: float, limit: int) -> list[tuple[str, Range]]:
        """Return the most active tenants over all members, ordered by the lower bounds of their rates."""
        names = {tenant for row in self.rows.values() for tenant, _ in row.report.heavy_hitters}
        tenants = ((name, self.tenant(now, name)) for name in names)
        return sorted(tenants, key=lambda tenant: (-tenant[1].least, tenant[0]))[:limit]

    def free_fraction(self, now: float, members: set[str]) -> float:
        """Return a lower bound of the free fraction of the members' slots.

        A silent member counts as full. The result is negative if more than half of the members are silent.
        """
        free = slots = 0.0
        silent = len(members - self.rows.keys())
        for name, row in self.rows.items():
            if name in members:
                is_fresh = self.is_fresh(now, row)
                silent += not is_fresh
                if is_fresh and row.value("healthy"):
                    free += row.value("room")
                slots += row.value("room") + row.value("held") + row.value("running")
        return -1.0 if 2 * silent > len(members) or not members else free / max(1.0, slots)

    def _sum(self, now: float, bounds_of: Callable[[MemberFigures], tuple[float, float]]) -> Range:
        """Sum the bounds of all rows; a silent member adds its capacity to the upper bound."""
        least, most, silent, oldest = 0.0, 0.0, 0, 0.0
        for row in self.rows.values():
            age_s, (low, high) = now - row.made_at, bounds_of(row)
            oldest = max(oldest, age_s)
            if age_s <= self.fresh_for_s:
                least, most = least + low, most + high
            else:
                silent += 1
                most += max(high, row.value("capacity"))
        return Range(least, most, len(self.rows), silent, round(oldest, 6))
