"""What all data planes together ask for: their latest reports, summed. Pure."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from mulleinhatch.messages.cluster import DemandReport, ModelDemand

FORGET_S = 4.0  # a data plane's report counts so long
MOST_FIGURE = 1e9  # of requests or worth that a line may tell
LEAST_SUM = 1e-6  # requests a second: what is left of a sum whose reports are all gone


@dataclass(frozen=True)
class UnusableDemand:
    """A line of demand that was left out; the data plane named tells figures that can't be true."""

    node: str
    model: str

    def __str__(self) -> str:
        return f"demand for {self.model!r} told by {self.node} can't be true and is left out: look at that data plane's status"


@dataclass
class Wanted:
    """Demand for one model, or for one adapter of it."""

    held: int = 0
    rate: float = 0.0  # requests a second
    worth: float = 0.0  # of them, weighed by their class
    running: int = 0
    adapters: dict[str, Wanted] = field(default_factory=dict)


@dataclass(frozen=True)
class _Key:
    """A model of a service, or an adapter of it."""

    service: str
    model: str
    adapter: str = ""


@dataclass(frozen=True)
class _Report:
    """The latest lines of one data plane."""

    lines: dict[_Key, ModelDemand]
    at: float


class Demand:
    """Reports by data plane; those that are old are left out. Sums are kept up as reports come."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}
        self._sums: dict[_Key, Wanted] = {}  # of the reports that count

    def take(self, report: DemandReport, now: float) -> list[UnusableDemand]:
        """Takes a data plane's report; a partial one replaces the lines that it has. Lines that can't be true are left out and
        told, the others count."""
        former = self._reports.get(report.node)
        lines = {_key(one): one for one in report.demand if _usable(one)}
        known = former.lines if former is not None else {}
        replaced = [known[key] for key in lines if key in known] if report.partial else list(known.values())
        self._sum(replaced, -1)
        self._sum(lines.values(), 1)
        self._reports[report.node] = _Report({**known, **lines} if report.partial else lines, now)
        return [UnusableDemand(report.node, one.model) for one in report.demand if not _usable(one)]

    def _sum(self, lines: Iterable[ModelDemand], sign: int) -> None:
        """Adds lines of a report to the sums, or takes them out."""
        for one in lines:
            for key in _levels(one):
                wanted = self._sums.setdefault(key, Wanted())
                wanted.held += sign * one.pending_requests
                wanted.running += sign * one.running
                wanted.rate += sign * one.rate
                wanted.worth += sign * one.value_rate

    def totals(self, service: str, now: float) -> dict[str, Wanted]:
        """Demand for each model of a service."""
        self._forget(now)
        totals: dict[str, Wanted] = {}
        for key, told in self._sums.items():
            if key.service != service:
                continue
            wanted = replace(told, adapters={})
            model = totals.setdefault(key.model, wanted)
            if key.adapter:
                model.adapters[key.adapter] = wanted
        return totals

    def _forget(self, now: float) -> None:
        """Leaves out data planes that are silent, and models that none tells of."""
        for node, told in list(self._reports.items()):
            if now - told.at > FORGET_S:
                self._sum(told.lines.values(), -1)
                del self._reports[node]
        for key, wanted in list(self._sums.items()):
            if not wanted.held and not wanted.running and wanted.rate < LEAST_SUM:
                del self._sums[key]


def _usable(one: ModelDemand) -> bool:
    """Whether a line can be true: it names a model, its figures are finite, not negative and not absurd."""
    figures = (one.pending_requests, one.running, one.rate, one.value_rate)
    return bool(one.service and one.model) and all(math.isfinite(figure) and 0 <= figure < MOST_FIGURE for figure in figures)


def _key(one: ModelDemand) -> _Key:
    return _Key(one.service, one.model, one.adapter)


def _levels(one: ModelDemand) -> list[_Key]:
    """What a line of demand counts for: its model, before its adapter where it has one."""
    model = _Key(one.service, one.model)
    return [model, _key(one)] if one.adapter else [model]
