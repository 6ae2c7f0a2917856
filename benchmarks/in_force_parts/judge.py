"""Judge a run by the answers to its probes: by which version each data plane acted, and whether that was allowed. Pure."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from benchmarks.in_force_parts.records import Answer, Outage, RunRecords, SentVersion
from benchmarks.soak_parts.bounds import SoakBounds
from benchmarks.soak_parts.history import overlaps

START_S = 0.3  # a process counts as started this long after its start was requested
CLOSING_FACTOR = 2  # after a loss of most of the core, contact takes this many times as long
ROUTE_UNKNOWN = 404
STATUSES_OF_KNOWN_ROUTES = (200,)
MIN_UNSERVED = 20  # probes in a row of the newest routes that a data plane in contact does not serve


@dataclass(frozen=True)
class Violation:
    """A probe that was handled as only an older version than allowed does.

    Attributes:
        answer: The answer.
        version: The newest version that had to be in force.
        bound_s: The time that the data plane had to apply it.
    """

    answer: Answer
    version: SentVersion
    bound_s: float

    def describe(self) -> str:
        """Return a line for the report."""
        answer, version = self.answer, self.version
        lag_s = answer.sent_at - version.acknowledged_at
        asked = f"/v-{answer.number}/" if answer.number else "/moving/"
        return (
            f"{answer.front} at {answer.sent_at:.3f} s: {asked} {answer.status} {answer.service}, {lag_s:.3f} s after version "
            f"{version.number} was acknowledged (bound {self.bound_s:.1f} s)"
        )


@dataclass
class UnservedSpan:
    """A time in which a data plane in contact served none of the probes of the newest acknowledged routes.

    Attributes:
        front: Its name.
        began_at: When the first of these probes was sent, as loop time in seconds.
        ended_at: When the last of them was sent.
        probes: Their number.
    """

    front: str
    began_at: float
    ended_at: float
    probes: int = 0

    def describe(self) -> str:
        """Return a line for the report."""
        span = f"{self.ended_at - self.began_at:.1f} s from {self.began_at:.3f} s"
        return f"{self.front} served none of {self.probes} probes of the newest routes in {span}"


class Judge:
    """Judges the answers of one run.

    Args:
        records: What the run recorded.
        bounds: Bounds of the deployment.
        control_planes: Number of control-plane nodes at a time.
    """

    def __init__(self, records: RunRecords, bounds: SoakBounds, control_planes: int) -> None:
        self._records, self._bounds, self._control_planes = records, bounds, control_planes
        cores = set(records.cores)
        self._core_outages = [one for one in records.outages if one.process in cores]
        self._front_outages: dict[str, list[Outage]] = {}
        for one in records.outages:
            if one.process not in cores:
                self._front_outages.setdefault(one.process, []).append(one)
        self._positions = {version.number: position for position, version in enumerate(records.versions)}
        self.judged: Counter[str] = Counter()  # answers by the bound that was applied

    def report(self) -> list[str]:
        """Return a line for each violation and each time without service of the newest routes, and the run's own failures."""
        found = [*self.violations(), *self.unserved_spans()]
        return [one.describe() for one in found] + self._records.failures

    def violations(self) -> list[Violation]:
        """Return the answers that only a version that may no longer be in force allows; count the answers that were judged."""
        self.judged.clear()
        found = []
        for answer in self._records.answers:
            bound_s = self.bound_s(answer)
            self.judged[self._name(bound_s)] += 1
            if bound_s == math.inf:
                continue
            binding = self._newest_acknowledged(answer.sent_at - bound_s)
            if binding is not None and not self._is_allowed(answer, binding):
                found.append(Violation(answer, binding, bound_s))
        return found

    def unserved_spans(self) -> list[UnservedSpan]:
        """Return the times, longer than the short bound, in which a data plane in contact served no newest route."""
        found = []
        for front in self._records.fronts:
            span: UnservedSpan | None = None
            for answer in self._records.answers:
                if answer.front != front or not self._is_newest_route(answer):
                    continue
                if answer.status in STATUSES_OF_KNOWN_ROUTES or self.bound_s(answer) != self._bounds.apply_s:
                    span = None
                    continue
                if span is None:
                    span = UnservedSpan(front, answer.sent_at, answer.sent_at)
                    found.append(span)
                span.ended_at, span.probes = answer.sent_at, span.probes + 1
        return [one for one in found if one.probes >= MIN_UNSERVED and one.ended_at - one.began_at > self._bounds.apply_s]

    def _is_newest_route(self, answer: Answer) -> bool:
        """Return whether a probe asked for the route of the version that had been acknowledged last."""
        newest = self._newest_acknowledged(answer.sent_at)
        return newest is not None and answer.number == newest.number

    def bound_s(self, answer: Answer) -> float:
        """Return the time that a data plane had to apply a version before it handled a probe, infinite if out of contact."""
        bounds, begin, end = self._bounds, answer.sent_at - self._bounds.contact_s, answer.ended_at
        if _overlap(self._front_outages.get(answer.front, ()), begin, end):
            return math.inf
        closed_at = max((at for at in self._records.closings if at <= end), default=-math.inf)
        if answer.sent_at < closed_at + START_S + CLOSING_FACTOR * bounds.contact_s:
            return math.inf
        if not _overlap(self._core_outages, begin - START_S, end):
            return bounds.apply_s
        stretched_s = bounds.apply_s + bounds.outer_s
        return stretched_s if self._has_majority(answer.sent_at - stretched_s, end) else math.inf

    def lags_s(self) -> list[float]:
        """Return, for each version and data plane in contact, the time from the acknowledgement to the first sign of it."""
        lags = []
        for front in self._records.fronts:
            signs = [one for one in self._records.answers if one.front == front and self._shows_version(one)]
            for version in self._records.versions:
                if version.acknowledged_at == math.inf:
                    continue
                position = self._positions[version.number]
                sign = next((one for one in signs if self._positions[one.number] >= position), None)
                if sign is not None and self.bound_s(sign) != math.inf:
                    lags.append(max(0.0, sign.sent_at - version.acknowledged_at))
        return sorted(lags)

    def _shows_version(self, answer: Answer) -> bool:
        """Return whether an answer shows that exactly the version asked for is in force."""
        return answer.number > 0 and answer.status in STATUSES_OF_KNOWN_ROUTES

    def _newest_acknowledged(self, until: float) -> SentVersion | None:
        return next((one for one in reversed(self._records.versions) if one.acknowledged_at <= until), None)

    def _is_allowed(self, answer: Answer, binding: SentVersion) -> bool:
        """Return whether a version that may be in force, the binding one or one that was sent later, explains an answer."""
        possible = self._records.versions[self._positions[binding.number] :]
        possible = [one for one in possible if one.sent_at <= answer.ended_at]
        if not answer.number:
            return not answer.service or any(one.service == answer.service for one in possible)
        if answer.status in STATUSES_OF_KNOWN_ROUTES:
            return any(one.number == answer.number for one in possible)
        if answer.status == ROUTE_UNKNOWN:
            return any(one.number != answer.number for one in possible)
        return True

    def _has_majority(self, begin: float, end: float) -> bool:
        """Return whether more than half of the core ran during the whole time."""
        disturbed = {one.process for one in self._core_outages if one.began_at <= end and one.ended_at + START_S >= begin}
        return 2 * len(disturbed) < self._control_planes

    def _name(self, bound_s: float) -> str:
        if bound_s == math.inf:
            return "judged, out of contact"
        return "judged, short bound" if bound_s == self._bounds.apply_s else "judged, stretched bound"


def _overlap(outages: Iterable[Outage], begin: float, end: float) -> bool:
    return overlaps(((one.began_at, one.ended_at) for one in outages), begin, end)
