"""This member's own reports, and which reports of others it passes on with a message."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

from mulleinhatch.instance.gossip.byte_rate import ByteRate
from mulleinhatch.instance.gossip.counters import FIGURES, MAX_HEAVY_HITTERS, FleetCounters
from mulleinhatch.instance.gossip.members import Membership
from mulleinhatch.instance.gossip.messages import Report, encoded_size

MAX_OPINIONS = 3  # in a report
MAX_RELAYED = 8  # reports of others in a message
# With an aggregation tree, where bytes are few:
GROUP_REPORT_BYTES = 150  # of a message
GROUP_RELAYS = 3  # how often each member passes on a report
GROUP_MAX_EXCESS = 1000.0  # bytes above the rate beyond which reports of others are not passed on
GROUP_OPINIONS_EVERY = 4  # reports
GROUP_HEAVY_HITTERS = 1  # tenants that a report names


class LocalState(NamedTuple):
    """What this instance reports about itself."""

    figures: list[int] = [0] * len(FIGURES)
    demands: tuple[float, ...] = ()  # units per window, by budget
    heavy_hitters: Sequence[tuple[str, float]] = ()  # tenants with requests per second, the most active first
    opinions: Sequence[tuple[str, int, int]] = ()  # subject, percent of the evidence that is bad, amount of evidence


class ReportSource:
    """Makes this member's own reports.

    Args:
        members: this member, and observations of others by probes.
        spare_units: returns what can be spared by budget, at a time.
        is_grouped: whether the member belongs to an aggregation tree.
    """

    def __init__(self, members: Membership, spare_units: Callable[[float], list[int]], is_grouped: bool) -> None:
        self.members, self.spare_units, self.is_grouped = members, spare_units, is_grouped
        self.local = LocalState()
        self.made_at, self.number = -1e9, 0
        self.opinions: list[tuple[str, int, int]] = []  # of the current report
        self.handover_address = ""

    def start_report(self, now: float) -> None:
        """Begin a new report.

        Only some reports have opinions: these make one half as long again, and more reports fit into a message without.
        """
        self.made_at = now
        self.number += 1
        has_opinions = self.number % GROUP_OPINIONS_EVERY == 0 if self.is_grouped else self.number % 2 == 1
        opinions = [*self.local.opinions, *self.members.opinions(now)] if has_opinions else []
        self.opinions = opinions[:MAX_OPINIONS]

    def current(self, now: float) -> Report:
        """Return the current report with its age; what can be spared is as of now."""
        return Report(
            self.members.name,
            self.members.process_epoch,
            self.number,
            max(0.0, now - self.made_at),
            self.local.figures,
            self.spare_units(now),
            self.local.heavy_hitters[: self._max_heavy_hitters()],
            self.opinions,
            self.handover_address,
        )

    def _max_heavy_hitters(self) -> int:
        if not self.is_grouped:
            return MAX_HEAVY_HITTERS
        return GROUP_HEAVY_HITTERS if self.number % GROUP_OPINIONS_EVERY == 0 else 0


class ReportSelection(Protocol):
    """Chooses the reports of a message."""

    def choose(self, now: float, free_bytes: int, to: str) -> list[Report]:
        """Return reports that fit into `free_bytes`, for the member named `to`."""

    def record_repeated(self, report: Report) -> None:
        """Note that a report arrived again: others pass it on, too."""


class FlatReportSelection:
    """The own report, and those of the others in turn."""

    def __init__(self, source: ReportSource, fleet_counters: FleetCounters, draw: Callable[[int], int]) -> None:
        self.source, self.fleet_counters, self.draw = source, fleet_counters, draw
        self.order: list[str] = []

    def choose(self, now: float, free_bytes: int, to: str) -> list[Report]:
        """Return the own report and the next ones, as many as fit."""
        chosen: list[Report] = []
        if self.source.number:
            own = self.source.current(now)
            size = estimate_size(own)
            if size <= free_bytes:
                free_bytes -= size
                chosen.append(own)
        counters = self.fleet_counters
        for _ in range(MAX_RELAYED):
            if not self.order and not self._start_round():
                break
            row = counters.rows.get(self.order[-1])
            if row is None or not counters.is_fresh(now, row):
                self.order.pop()
                continue
            size = estimate_size(row.report)
            if size > free_bytes:
                break
            self.order.pop()
            free_bytes -= size
            chosen.append(with_age(row.report, now - row.made_at))
        return chosen

    def _start_round(self) -> bool:
        names = list(self.fleet_counters.rows)
        if not names:
            return False
        start = self.draw(len(names))
        self.order = names[start:] + names[:start]
        return True

    def record_repeated(self, report: Report) -> None:
        """Do nothing: each report has its turn."""


class GroupReportSelection:
    """The reports that were passed on least often, the newest first, each a few times.

    Most peers then hear of a report at once, and the others of the next one.
    """

    def __init__(self, source: ReportSource, fleet_counters: FleetCounters, byte_rate: ByteRate) -> None:
        self.source, self.fleet_counters, self.byte_rate = source, fleet_counters, byte_rate
        self.relays: dict[str, tuple[int, int]] = {}  # by member: number of the report, how often it was passed on

    def choose(self, now: float, free_bytes: int, to: str) -> list[Report]:
        """Return reports within the bytes that a group has for them."""
        free_bytes, chosen = min(free_bytes, GROUP_REPORT_BYTES), []
        for relays, age_s, name in self._candidates(now, to):
            if name == self.source.members.name:
                report = self.source.current(now)
            else:
                report = with_age(self.fleet_counters.rows[name].report, age_s)
            free_bytes -= encoded_size(report)
            if relays >= GROUP_RELAYS or free_bytes < 0:
                break
            self.relays[name] = report.number, relays + 1
            chosen.append(report)
        if len(self.relays) > 2 * self.fleet_counters.max_members:
            self.relays = {name: entry for name, entry in self.relays.items() if name in self.fleet_counters.rows}
        return chosen

    def record_repeated(self, report: Report) -> None:
        """Count another member's message as if it were an own one."""
        self.relays[report.name] = report.number, self._relays_of(report.name, report.number) + 1

    def _candidates(self, now: float, to: str) -> list[tuple[int, float, str]]:
        """Return how often a report was passed on, its age and its member, in the order of preference."""
        candidates = []
        if self.source.number:
            own_name = self.source.members.name
            candidates.append((self._relays_of(own_name, self.source.number), 0.0, own_name))
        if self.byte_rate.excess <= GROUP_MAX_EXCESS:  # a speaker, which sends more, leaves the relaying to its peers
            for name, row in self.fleet_counters.rows.items():
                relays = self._relays_of(name, row.report.number)
                if name != to and relays < GROUP_RELAYS and self.fleet_counters.is_fresh(now, row):
                    candidates.append((relays, now - row.made_at, name))
        return sorted(candidates)

    def _relays_of(self, name: str, number: int) -> int:
        last_number, relays = self.relays.get(name, (0, 0))
        return relays if last_number == number else 0


def with_age(report: Report, age_s: float) -> Report:
    """Return a report as it is passed on. Built field by field: several are made for each message."""
    return Report(
        report.name,
        report.process_epoch,
        report.number,
        age_s,
        report.figures,
        report.spare_units,
        report.heavy_hitters,
        report.opinions,
        report.handover_address,
    )


def estimate_size(report: Report) -> int:
    """Return about how many bytes a report takes, without encoding it."""
    return (
        35
        + len(report.name)
        + len(report.handover_address)
        + sum(2 if number < 128 else 3 if number < 1 << 16 else 9 for number in (*report.figures, *report.spare_units))
        + sum(12 + len(name) for name, _ in report.heavy_hitters)
        + sum(14 + len(name) for name, *_ in report.opinions)
    )
