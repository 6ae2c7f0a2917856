"""What the members counted, and sums over the fleet that say how sure they are.

A figure from elsewhere has an age. Who is silent may have done anything from nothing to all that it can, so a sum is a range:
its least is what is known, its most adds what the silent ones could have done. Bounded: a row a member, four tenants each.
"""
from __future__ import annotations

from typing import NamedTuple

from mulleinhatch.fleet.words import Report

FIGURES = ("first_tries", "repeats", "acked", "nacked", "held", "running", "capacity", "healthy")
COUNTED = 4             # of them the first, counted since the start of a life; the others are as they stand
FRESH = 2.0             # seconds: an older report is of a silent member
OLD = 30.0              # and after these its row is dropped


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

    def rates(self) -> list[float]:
        """A second, since the report before; 0 where there is only one."""
        span = self.made_at - self.before_at
        if span <= 0.0:
            return [0.0] * COUNTED
        return [max(0.0, new - old) / span for new, old in zip(self.report.figures[:COUNTED], self.before.figures)]


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

    def __init__(self, most: int) -> None:
        self.most = most
        self.rows: dict[str, Row] = {}

    def heard(self, now: float, report: Report) -> bool:
        """Whether it was news."""
        row, made_at = self.rows.get(report.name), now - report.age
        if now - made_at > OLD or len(report.figures) != len(FIGURES):
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
        if made_at - row.made_at >= 0.5 * FRESH or row.before is row.report:
            row.before, row.before_at = row.report, row.made_at     # rates over half a second of luck tell nothing
        row.report, row.made_at = report, max(made_at, row.made_at + 1e-6)
        return True

    def forget(self, now: float) -> None:
        for name in [name for name, row in self.rows.items() if now - row.made_at > OLD]:
            del self.rows[name]

    def total(self, now: float, figure: str) -> Range:
        """Ops a second of what is counted, as it stands of the rest."""
        place = FIGURES.index(figure)
        capacity = FIGURES.index("capacity")
        least, most, silent, oldest = 0.0, 0.0, 0, 0.0
        for row in self.rows.values():
            age = now - row.made_at
            oldest = max(oldest, age)
            value = row.rates()[place] if place < COUNTED else row.report.figures[place]
            if age <= FRESH:
                least, most = least + value, most + value
            else:
                silent += 1
                most += max(value, row.report.figures[capacity])
        return Range(least, most, len(self.rows), silent, round(oldest, 6))

    def tenant(self, now: float, name: str) -> Range:
        """Ops a second of a tenant: who does not name it among its loudest has at most as much of it as of its least loud."""
        least, most, silent, oldest = 0.0, 0.0, 0, 0.0
        for row in self.rows.values():
            age = now - row.made_at
            oldest = max(oldest, age)
            loudest = row.report.loudest
            value = next((rate for tenant, rate in loudest if tenant == name), None)
            bound = value if value is not None else loudest[-1][1] if len(loudest) == 4 else 0.0
            if age <= FRESH:
                least, most = least + (value or 0.0), most + bound
            else:
                silent += 1
                most += max(bound, row.report.figures[FIGURES.index("capacity")])
        return Range(least, most, len(self.rows), silent, round(oldest, 6))
