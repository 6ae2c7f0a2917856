"""What all data planes together ask for: their latest reports, summed. Pure."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from mulleinhatch.messages.cluster import DemandReport, ModelDemand

REPORT_TTL_S = 4.0  # a data plane's report counts so long
MAX_FIGURE = 1e9  # of requests or worth that a line may tell
MIN_TOTAL_RATE_PER_S = 1e-6  # requests a second: what is left of a sum whose reports are all gone


@dataclass(frozen=True)
class InvalidDemand:
    """A line of demand that was left out; the data plane named tells figures that can't be true."""

    data_plane: str
    model: str

    def __str__(self) -> str:
        return (
            f"demand for {self.model!r} told by {self.data_plane} can't be true and is left out: "
            "look at that data plane's status"
        )


@dataclass
class AggregatedDemand:
    """Demand for one model, or for one adapter of it."""

    pending: int = 0
    rate: float = 0.0  # requests a second
    value: float = 0.0  # of them, weighed by their class
    running: int = 0
    adapters: dict[str, AggregatedDemand] = field(default_factory=dict)


@dataclass(frozen=True)
class _Key:
    """A model of a service, or an adapter of it."""

    service: str
    model: str
    adapter: str = ""


@dataclass(frozen=True)
class _Report:
    """The latest lines of one data plane."""

    entries: dict[_Key, ModelDemand]
    received_at: float


class DemandAggregator:
    """Reports by data plane; those that are old are left out. Sums are kept up as reports come."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}
        self._totals: dict[_Key, AggregatedDemand] = {}  # of the reports that count

    def merge_report(self, report: DemandReport, now: float) -> list[InvalidDemand]:
        """Takes a data plane's report; a partial one replaces the lines that it has. Lines that can't be true are left out and
        told, the others count."""
        previous = self._reports.get(report.node)
        entries = {_key_of(entry): entry for entry in report.demand if _is_valid(entry)}
        previous_entries = previous.entries if previous is not None else {}
        replaced = (
            [previous_entries[key] for key in entries if key in previous_entries]
            if report.partial
            else list(previous_entries.values())
        )
        self._add(replaced, -1)
        self._add(entries.values(), 1)
        self._reports[report.node] = _Report({**previous_entries, **entries} if report.partial else entries, now)
        return [InvalidDemand(report.node, entry.model) for entry in report.demand if not _is_valid(entry)]

    def _add(self, entries: Iterable[ModelDemand], sign: int) -> None:
        """Adds lines of a report to the sums, or takes them out."""
        for entry in entries:
            for key in _keys_of(entry):
                total = self._totals.setdefault(key, AggregatedDemand())
                total.pending += sign * entry.held
                total.running += sign * entry.running
                total.rate += sign * entry.rate
                total.value += sign * entry.worth_rate

    def totals(self, service: str, now: float) -> dict[str, AggregatedDemand]:
        """Demand for each model of a service."""
        self._expire(now)
        totals: dict[str, AggregatedDemand] = {}
        for key, total in self._totals.items():
            if key.service != service:
                continue
            demand = replace(total, adapters={})
            model = totals.setdefault(key.model, demand)
            if key.adapter:
                model.adapters[key.adapter] = demand
        return totals

    def _expire(self, now: float) -> None:
        """Leaves out data planes that are silent, and models that none tells of."""
        for node, report in list(self._reports.items()):
            if now - report.received_at > REPORT_TTL_S:
                self._add(report.entries.values(), -1)
                del self._reports[node]
        for key, total in list(self._totals.items()):
            if not total.pending and not total.running and total.rate < MIN_TOTAL_RATE_PER_S:
                del self._totals[key]


def _is_valid(entry: ModelDemand) -> bool:
    """Whether a line can be true: it names a model, its figures are finite, not negative and not absurd."""
    figures = (entry.held, entry.running, entry.rate, entry.worth_rate)
    return bool(entry.service and entry.model) and all(math.isfinite(figure) and 0 <= figure < MAX_FIGURE for figure in figures)


def _key_of(entry: ModelDemand) -> _Key:
    return _Key(entry.service, entry.model, entry.adapter)


def _keys_of(entry: ModelDemand) -> list[_Key]:
    """What a line of demand counts for: its model, before its adapter where it has one."""
    model = _Key(entry.service, entry.model)
    return [model, _key_of(entry)] if entry.adapter else [model]
