"""The rows, bounds and mechanisms behind the capacity tables, and the arithmetic of a row.

A row compares what one cost needs at the target size with its bound. Sizes are counts of what the cost grows with (members,
tenants, ...); needs and bounds are in the unit of the row.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from benchmarks.records import Cost, Record

BISECTION_STEPS = 200
KINDS = ("state", "messages", "processor time", "memory", "time")


class Bound(NamedTuple):
    """An upper limit for a need.

    Attributes:
        value: The limit, in the unit of the rows that refer to it.
        text: Where the limit comes from, as printed.
    """

    value: float
    text: str


class MissingMechanism(NamedTuple):
    """A mechanism that does not exist yet and that rows over their bound need.

    Attributes:
        name: Its name in `rows.toml`.
        dependents: Modules that depend on it.
        prerequisites: Other missing mechanisms that it depends on.
        why: Why it is needed.
    """

    name: str
    dependents: tuple[str, ...]
    prerequisites: tuple[str, ...]
    why: str


class Row(NamedTuple):
    """One line of a role's table, with its figures at the target size.

    Attributes:
        cost: The measured cost, or None if the need is reckoned (computed by hand).
        times: Costs that the need is multiplied by.
        factor: Factor from the unit of the cost to the unit of the row.
        reckoned: The calculation of a reckoned need, as text.
        value: The reckoned need at the target size.
        size: What the need grows with; empty if it is constant.
        target: The target size.
        missing: Name of the missing mechanism if the need exceeds the bound.
        replaced_by: Name of the record whose mechanism replaces this one; empty if there is none.
        adds: Whether the need is added to others with the same bound on one instance.
    """

    role: str
    kind: str
    what: str
    mechanism: str
    cost: Cost | None
    record: Record | None
    times: tuple[Cost, ...]
    factor: float
    reckoned: str
    value: float
    unit: str
    size: str
    target: float
    bound: Bound | None
    missing: str
    replaced_by: str
    adds: bool

    def need(self, size: float) -> float:
        """Return the need at a size, by the fit or the calculation."""
        if self.cost is None:
            return self.factor * self.value * (size / self.target if self.size else 1.0)
        need = self.factor * self.cost.fit.at(size)
        for cost in self.times:
            need *= cost.fit.at(size)
        return need

    @property
    def measured(self) -> list[tuple[float, float]]:
        """Pairs of size and measured need; empty for a product of costs."""
        if self.cost is None or self.times:
            return []
        points = [*self.cost.points, *([self.cost.checked] if self.cost.checked else [])]
        return [(size, self.factor * value) for size, value in points]

    @property
    def measured_at_target(self) -> float | None:
        """The need measured by a run at the target size, or None."""
        return max((value for size, value in self.measured if size == self.target), default=None)

    @property
    def at_target(self) -> float:
        """The need at the target size: measured if there is such a run, else by the fit."""
        return self.need(self.target) if self.measured_at_target is None else self.measured_at_target

    @property
    def ratio(self) -> float:
        """The need at the target size over the bound; 0 without a bound."""
        return self.at_target / self.bound.value if self.bound else 0.0

    @property
    def breaks_at(self) -> float:
        """The size at which the need reaches the bound.

        It is 0 if the bound is exceeded at any size and infinite if it never is. Runs take precedence over the fit: the size
        lies after the last run within the bound and not after the first run over it.
        """
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
    def min_measured_size(self) -> float:
        """The smallest measured size; breaks below it can't be located more precisely."""
        return min(size for size, _ in self.cost.points) if self.cost else 0.0

    @property
    def share(self) -> float:
        """The size at which the bound is certainly exceeded, as a fraction of the target size."""
        return max(self.breaks_at, self.min_measured_size) / self.target


class CapacityModel(NamedTuple):
    """Everything that the tables are rendered from."""

    target: list[tuple[str, str]]
    roles: dict[str, str]
    rows: list[Row]
    missing: dict[str, MissingMechanism]
    records: dict[str, Record]
