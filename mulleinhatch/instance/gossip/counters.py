"""What the members counted, and sums over the fleet that say how sure they are.

A figure from elsewhere has an age. Who is silent may have done anything from nothing to all that it can, so a sum is a range:
its least is what is known, its most adds what the silent ones could have done. Bounded: a row a member, four tenants each.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from mulleinhatch.instance.gossip.messages import Report

# New ones go to the end: in a fleet of two versions the older one's reports are shorter, and lack them.
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
)  # of the last four: evidence in tenths, figures in thousandths
RATED = ("first_tries", "repeats", "acked", "nacked", "failed")  # counted since the start of a life; the rest as it stands
PLACE = {figure: place for place, figure in enumerate(FIGURES)}
OLDEST = 8  # figures of the first version
FRESH = 2.0  # seconds: an older report is of a silent member
MOST_LOUD = 4  # tenants that a report names
OLD = 30.0  # and after these its row is dropped


class Range(NamedTuple):
    """Of a figure over the fleet: the least and the most that it may be, members behind it, silent ones, the oldest age."""

    least: float
    most: float
    members: int
    silent: int
    oldest: float


class Row:
    """The last report of a member and the one that its rates are measured from."""

    __slots__ = ("report", "made_at", "before", "before_at")

    def __init__(self, report: Report, made_at: float) -> None:
        self.report = self.before = report
        self.made_at = self.before_at = made_at

    def value(self, figure: str) -> float:
        """A second since the report before of what is counted, as it stands of the rest; 0 of what it does not tell."""
        place, figures = PLACE[figure], self.report.figures
        if place >= len(figures):
            return 0.0
        if figure not in RATED:
            return float(figures[place])
        span, before = self.made_at - self.before_at, self.before.figures
        return max(0.0, figures[place] - before[place]) / span if span > 0.0 and place < len(before) else 0.0


class Counts:
    """
    >>> counts = Counts(most=10)
    >>> for number, acked in ((1, 0), (2, 50)):
    ...     for name in ("a", "b"):
    ...         _ = counts.heard(float(number), Report(name, 1, number, 0.0, [0, 0, acked, 0, 0, 0, 80, 1]))
    >>> counts.total(2.0, "acked")
    Range(least=100.0, most=100.0, members=2, silent=0, oldest=0.0)
    >>> counts.total(5.0, "acked")
    Range(least=0.0, most=160.0, members=2, silent=2, oldest=3.0)
    """

    def __init__(self, most: int, fresh: float = FRESH) -> None:
        """`fresh`: seconds after which a report is of a silent member."""
        self.most, self.fresh, self.old = most, fresh, max(OLD, 2.0 * fresh)
        self.rows: dict[str, Row] = {}

    def heard(self, now: float, report: Report) -> bool:
        """Whether it was news."""
        row, made_at = self.rows.get(report.name), now - report.age
        if now - made_at > self.old or len(report.figures) < OLDEST:
            return False
        if row is None:
            if len(self.rows) >= self.most:
                return False
            self.rows[report.name] = Row(report, made_at)
            return True
        if (report.life, report.number) <= (row.report.life, row.report.number):
            return False
        if report.life != row.report.life:
            self.rows[report.name] = Row(report, made_at)
            return True
        if made_at - row.made_at >= 0.5 * min(FRESH, self.fresh) or row.before is row.report:
            row.before, row.before_at = row.report, row.made_at  # rates over half a second of luck tell nothing
        row.report, row.made_at = report, max(made_at, row.made_at + 1e-6)
        return True

    def forget(self, now: float) -> None:
        for name in [name for name, row in self.rows.items() if now - row.made_at > self.old]:
            del self.rows[name]

    def total(self, now: float, figure: str) -> Range:
        """Ops a second of what is counted, as it stands of the rest."""
        return self._sum(now, lambda row: (row.value(figure), row.value(figure)))

    def tenant(self, now: float, name: str) -> Range:
        """Ops a second of a tenant: who does not name it among its loudest has at most as much of it as of its least loud."""

        def told(row: Row) -> tuple[float, float]:
            loudest = row.report.loudest
            value = next((rate for tenant, rate in loudest if tenant == name), None)
            return value or 0.0, value if value is not None else loudest[-1][1] if len(loudest) == MOST_LOUD else 0.0

        return self._sum(now, told)

    def loudest(self, now: float, places: int) -> list[tuple[str, Range]]:
        """Tenants over the fleet, by what is known of them."""
        names = {tenant for row in self.rows.values() for tenant, _ in row.report.loudest}
        return sorted(((name, self.tenant(now, name)) for name in names), key=lambda told: (-told[1].least, told[0]))[:places]

    def free(self, now: float, members: set[str]) -> float:
        """The share of the members' places that is free, by the poor end: who is silent counts as full; below 0 where more
        than half are."""
        free = places = 0.0
        silent = len(members - self.rows.keys())
        for name, row in self.rows.items():
            if name in members:
                room = row.value("room") if row.value("healthy") else 0.0
                fresh = now - row.made_at <= self.fresh
                silent += not fresh
                free += room if fresh else 0.0
                places += row.value("room") + row.value("held") + row.value("running")
        return -1.0 if 2 * silent > len(members) or not members else free / max(1.0, places)

    def _sum(self, now: float, told: Callable[[Row], tuple[float, float]]) -> Range:
        """`told` gives the least and the most of a row; of the silent all that they can."""
        least, most, silent, oldest = 0.0, 0.0, 0, 0.0
        for row in self.rows.values():
            age, (low, high) = now - row.made_at, told(row)
            oldest = max(oldest, age)
            if age <= self.fresh:
                least, most = least + low, most + high
            else:
                silent += 1
                most += max(high, row.value("capacity"))
        return Range(least, most, len(self.rows), silent, round(oldest, 6))
