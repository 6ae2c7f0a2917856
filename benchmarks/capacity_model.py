"""The rows, bounds and mechanisms that the capacity tables are made of, and the arithmetic of a row."""

from __future__ import annotations

import math
from typing import NamedTuple

from benchmarks.records import Cost, Record

BISECTION_STEPS = 200  # of halving, when a size is sought
KINDS = ("state", "messages", "processor time", "memory", "time")


class Bound(NamedTuple):
    value: float
    text: str  # where it comes from


class MissingMechanism(NamedTuple):
    name: str
    dependents: tuple[str, ...]  # modules that stand on it
    prerequisites: tuple[str, ...]  # other missing ones that it needs itself
    why: str


class Row(NamedTuple):
    """One line of a role's table, with its figures at the target."""

    role: str
    kind: str
    what: str
    mechanism: str
    cost: Cost | None  # None: reckoned
    record: Record | None
    times: tuple[Cost, ...]
    factor: float
    reckoned: str
    value: float  # reckoned, at the target size
    unit: str
    size: str  # what it grows with; empty: with nothing
    target: float
    bound: Bound | None
    missing: str
    replaced_by: str
    adds: bool

    def need(self, size: float) -> float:
        if self.cost is None:
            return self.factor * self.value * (size / self.target if self.size else 1.0)
        need = self.factor * self.cost.fit.at(size)
        for cost in self.times:
            need *= cost.fit.at(size)
        return need

    @property
    def measured(self) -> list[tuple[float, float]]:
        """What runs took, by size; of a product of costs none."""
        if self.cost is None or self.times:
            return []
        points = [*self.cost.points, *([self.cost.checked] if self.cost.checked else [])]
        return [(size, self.factor * value) for size, value in points]

    @property
    def run_there(self) -> float | None:
        """What a run at the target size itself took."""
        return max((value for size, value in self.measured if size == self.target), default=None)

    @property
    def at_target(self) -> float:
        """What a run at that size took, or else what the fit says."""
        return self.need(self.target) if self.run_there is None else self.run_there

    @property
    def ratio(self) -> float:
        return self.at_target / self.bound.value if self.bound else 0.0

    @property
    def breaks_at(self) -> float:
        """The size at which the bound is reached: 0 where it is passed at any size, infinite where at none. By the fit, but
        not where a run says otherwise: after the last of those within the bound, and at the first that is over it."""
        if self.bound is None:
            return math.inf
        runs = sorted(self.measured)
        over = next((size for size, value in runs if value > self.bound.value), math.inf)
        within = max((size for size, _ in runs if size < over), default=0.0)
        return min(over, max(within, self._fit_breaks_at()))

    def _fit_breaks_at(self) -> float:
        if not self.times and self.cost is not None:
            return self.cost.fit.reaches(self.bound.value / self.factor)
        low, high = 0.0, 1e12
        if self.cost is None and self.size:
            return self.target * self.bound.value / self.at_target
        if self.need(high) <= self.bound.value:
            return math.inf
        for _ in range(BISECTION_STEPS):
            middle = 0.5 * (low + high)
            low, high = (middle, high) if self.need(middle) <= self.bound.value else (low, middle)
        return low

    @property
    def smallest(self) -> float:
        """The smallest size of a run: of a break below it no more is known than that."""
        return min(size for size, _ in self.cost.points) if self.cost else 0.0

    @property
    def share(self) -> float:
        """Of the target size, at which it is broken for certain."""
        return max(self.breaks_at, self.smallest) / self.target


class CapacityModel(NamedTuple):
    """All that the page's tables are made of."""

    target: list[tuple[str, str]]
    roles: dict[str, str]
    rows: list[Row]
    missing: dict[str, MissingMechanism]
    records: dict[str, Record]
