"""What all data planes together ask for: their latest reports, summed. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from mulleinhatch.messages.cluster import DemandReport

FORGET_S = 4.0


@dataclass
class Wanted:
    """Demand for one model, or for one adapter of it."""

    held: int = 0
    rate: float = 0.0  # requests a second
    worth: float = 0.0  # of them, weighed by their class
    running: int = 0
    priority: int = 9  # the highest (lowest number) of what is held
    least_remaining_s: float = 1e9
    adapters: dict[str, Wanted] = field(default_factory=dict)

    def add(self, other: Wanted) -> None:
        self.held += other.held
        self.rate += other.rate
        self.worth += other.worth
        self.running += other.running
        self.priority = min(self.priority, other.priority)
        self.least_remaining_s = min(self.least_remaining_s, other.least_remaining_s)


@dataclass(frozen=True)
class _Report:
    report: DemandReport
    at: float


class Demand:
    """Reports by data plane; those that are old are left out."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}

    def take(self, report: DemandReport, now: float) -> None:
        self._reports[report.node] = _Report(report, now)

    def totals(self, service: str, now: float) -> dict[str, Wanted]:
        """Demand for each model of a service."""
        totals: dict[str, Wanted] = {}
        for node, told in list(self._reports.items()):
            if now - told.at > FORGET_S:
                del self._reports[node]
                continue
            for one in told.report.demand:
                if one.service == service:
                    self._sum(totals, one)
        return totals

    @staticmethod
    def _sum(totals: dict[str, Wanted], one) -> None:
        wanted = Wanted(
            one.held, one.rate, one.worth_rate, one.running, one.priority, one.least_remaining_ms / 1000.0 if one.held else 1e9
        )
        model = totals.setdefault(one.model, Wanted())
        model.add(wanted)
        if one.adapter:
            model.adapters.setdefault(one.adapter, Wanted()).add(wanted)

    def services(self) -> Iterable[str]:
        return {one.service for told in self._reports.values() for one in told.report.demand}
