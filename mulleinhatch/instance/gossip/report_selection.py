"""This member's reports, and the selection of reports that a message carries."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

from mulleinhatch.instance.gossip.byte_rate import ByteRate
from mulleinhatch.instance.gossip.counters import FIGURES, MAX_HEAVY_HITTERS, FleetCounters
from mulleinhatch.instance.gossip.members import Membership
from mulleinhatch.instance.gossip.messages import Report, encoded_size

MAX_OPINIONS = 3  # per report
MAX_RELAYED = 8  # reports of other members per message
# Limits with an aggregation tree, which has a small byte rate:
GROUP_REPORT_BYTES = 150  # bytes of reports per message
GROUP_RELAYS = 3  # number of times that each member relays a report
GROUP_MAX_EXCESS = 1000.0  # reports of other members are not relayed beyond this many bytes above the rate
GROUP_OPINIONS_EVERY = 4  # one report in this many has opinions
GROUP_HEAVY_HITTERS = 1  # tenants listed in a report


class LocalState(NamedTuple):
    """This instance's state, as reported to others."""

    figures: list[int] = [0] * len(FIGURES)
    demands: tuple[float, ...] = ()  # units per window, by budget
    heavy_hitters: Sequence[tuple[str, float]] = ()  # tenants with requests per second, the most active first
    opinions: Sequence[tuple[str, int, int]] = ()  # subject, percentage of bad evidence, amount of evidence


class ReportSource:
    """Creates this member's reports.

    Args:
        members: membership, which provides observations of other members by probes.
        spare_units: returns the spare units by budget at a given time.
        is_grouped: whether the member belongs to an aggregation tree.
    """

    def __init__(self, members: Membership, spare_units: Callable[[float], list[int]], is_grouped: bool) -> None:
        self.members, self.spare_units, self.is_grouped = members, spare_units, is_grouped
        self.local = LocalState()
        self.made_at, self.number = -1e9, 0
        self.opinions: list[tuple[str, int, int]] = []  # opinions of the current report
        self.handover_address = ""

    def start_report(self, now: float) -> None:
        """Start a new report.

        Only some reports have opinions, which make a report 50% larger; more reports without them fit into a message.
        """
        self.made_at = now
        self.number += 1
        has_opinions = self.number % GROUP_OPINIONS_EVERY == 0 if self.is_grouped else self.number % 2 == 1
        opinions = [*self.local.opinions, *self.members.opinions(now)] if has_opinions else []
        self.opinions = opinions[:MAX_OPINIONS]

    def current(self, now: float) -> Report:
        """Return the current report with its age and the spare units as of now."""
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
    """Selects the reports of a message."""

    def choose(self, now: float, free_bytes: int, to: str) -> list[Report]:
        """Return reports for the member `to` that fit into `free_bytes`."""

    def record_repeated(self, report: Report) -> None:
        """Record that a report arrived again because other members relay it, too."""


class FlatReportSelection:
    """Selects this member's report, and those of other members in rotation."""

    def __init__(self, source: ReportSource, fleet_counters: FleetCounters, draw: Callable[[int], int]) -> None:
        self.source, self.fleet_counters, self.draw = source, fleet_counters, draw
        self.order: list[str] = []

    def choose(self, now: float, free_bytes: int, to: str) -> list[Report]:
        """Return this member's report and as many of the next ones as fit."""
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
        """Do nothing, since reports are sent in rotation."""


class GroupReportSelection:
    """Selects the least relayed reports, newest first, and relays each a few times.

    Most peers then receive a report quickly, and the rest receive the following one.
    """

    def __init__(self, source: ReportSource, fleet_counters: FleetCounters, byte_rate: ByteRate) -> None:
        self.source, self.fleet_counters, self.byte_rate = source, fleet_counters, byte_rate
        self.relays: dict[str, tuple[int, int]] = {}  # by member: number of the report, and how often it was relayed

    def choose(self, now: float, free_bytes: int, to: str) -> list[Report]:
        """Return reports within the byte limit of a group."""
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
        """Count a relay by another member as if this one had relayed the report."""
        self.relays[report.name] = report.number, self._relays_of(report.name, report.number) + 1

    def _candidates(self, now: float, to: str) -> list[tuple[int, float, str]]:
        """Return the relay count, age and member of each candidate report in order of preference."""
        candidates = []
        if self.source.number:
            own_name = self.source.members.name
            candidates.append((self._relays_of(own_name, self.source.number), 0.0, own_name))
        if self.byte_rate.excess <= GROUP_MAX_EXCESS:  # speakers send more and leave relaying to their peers
            for name, row in self.fleet_counters.rows.items():
                relays = self._relays_of(name, row.report.number)
                if name != to and relays < GROUP_RELAYS and self.fleet_counters.is_fresh(now, row):
                    candidates.append((relays, now - row.made_at, name))
        return sorted(candidates)

    def _relays_of(self, name: str, number: int) -> int:
        last_number, relays = self.relays.get(name, (0, 0))
        return relays if last_number == number else 0


def with_age(report: Report, age_s: float) -> Report:
    """Return a copy of a report with the given age, built field by field for speed: each message needs several."""
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
    """Return an estimate of a report's encoded size in bytes."""
    return (
        35
        + len(report.name)
        + len(report.handover_address)
        + sum(2 if number < 128 else 3 if number < 1 << 16 else 9 for number in (*report.figures, *report.spare_units))
        + sum(12 + len(name) for name, _ in report.heavy_hitters)
        + sum(14 + len(name) for name, *_ in report.opinions)
    )
