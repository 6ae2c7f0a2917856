"""Aggregates the demand that data planes report. Pure."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from mulleinhatch.messages.cluster import DemandReport, ModelDemand

REPORT_TTL_S = 4.0  # a data plane's report no longer counts this long after it arrived
MAX_PLAUSIBLE_VALUE = 1e9  # an entry's counts, rates and values must be lower to be plausible
MIN_TOTAL_RATE_PER_S = 1e-6  # a lower total is the rounding error left after its reports were subtracted


@dataclass(frozen=True)
class InvalidDemand:
    """An entry of a demand report that was ignored because its values are impossible."""

    data_plane: str
    model: str

    def __str__(self) -> str:
        return (
            f"demand for {self.model!r} reported by {self.data_plane} is impossible and was ignored: "
            "look at that data plane's status"
        )


@dataclass
class AggregatedDemand:
    """Demand of all data planes for one model, or for one adapter of it.

    Attributes:
        pending: Requests queued in data planes because no backend can take them.
        rate: Arrivals in requests per second.
        value: Value per second of these arrivals, weighted by priority class.
        running: Requests running on backends.
        adapters: The demand for each adapter of the model, included in the totals above.
    """

    pending: int = 0
    rate: float = 0.0
    value: float = 0.0
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
    """The latest entries of one data plane."""

    entries: dict[_Key, ModelDemand]
    received_at: float


class DemandAggregator:
    """Holds the latest report of each data plane and the totals over them, updated as reports arrive and expire."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}
        self._totals: dict[_Key, AggregatedDemand] = {}

    def merge_report(self, report: DemandReport, now: float) -> list[InvalidDemand]:
        """Replace a data plane's previous report; a partial report replaces only the entries it contains.

        Args:
            report: The report.
            now: Monotonic time in seconds.

        Returns:
            The entries that were ignored because their values are impossible; the others count.
        """
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
        """Add entries to the totals (`sign` 1) or subtract them (`sign` -1)."""
        for entry in entries:
            for key in _keys_of(entry):
                total = self._totals.setdefault(key, AggregatedDemand())
                total.pending += sign * entry.pending_requests
                total.running += sign * entry.running
                total.rate += sign * entry.rate
                total.value += sign * entry.value_rate

    def totals(self, service: str, now: float) -> dict[str, AggregatedDemand]:
        """Return the demand for each model of a service."""
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
        """Drop the reports of data planes that have timed out, and totals that no report contributes to."""
        for node, report in list(self._reports.items()):
            if now - report.received_at > REPORT_TTL_S:
                self._add(report.entries.values(), -1)
                del self._reports[node]
        for key, total in list(self._totals.items()):
            if not total.pending and not total.running and total.rate < MIN_TOTAL_RATE_PER_S:
                del self._totals[key]


def _is_valid(entry: ModelDemand) -> bool:
    """Return whether an entry names a service and a model and has finite, non-negative, plausible values."""
    values = (entry.pending_requests, entry.running, entry.rate, entry.value_rate)
    return bool(entry.service and entry.model) and all(
        math.isfinite(value) and 0 <= value < MAX_PLAUSIBLE_VALUE for value in values
    )


def _key_of(entry: ModelDemand) -> _Key:
    return _Key(entry.service, entry.model, entry.adapter)


def _keys_of(entry: ModelDemand) -> list[_Key]:
    """Return the totals that an entry counts toward: its model's, then its adapter's if it has one."""
    model = _Key(entry.service, entry.model)
    return [model, _key_of(entry)] if entry.adapter else [model]
