"""Summarises a trace: requests by type and outcome, rates by second, waiting and execution times as histograms.

The counts equal the live counters of the same run (`decided_...`, `run_...`, `ops_read`).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Any

from hdrh.histogram import HdrHistogram

from mulleinhatch.admission.interface import Ending, Verb
from mulleinhatch.instance.traces import kinds
from mulleinhatch.instance.traces.kinds import Record
from mulleinhatch.instance.traces.recorder import VERB_BY_CODE

MAX_MS = 600_000
PERCENTILES = (50, 90, 99, 100)


class Summary:
    """Accumulates records; keeps live requests only until their last record, and one counter per second of the trace."""

    def __init__(self, op_types: list[str], tenants: list[str]) -> None:
        self.op_types, self.tenants = op_types, tenants
        self.counts: Counter[str] = Counter()
        self.by_type: Counter[tuple[str, str]] = Counter()
        self.by_tenant: Counter[tuple[str, str]] = Counter()
        self.seconds: dict[int, Counter[str]] = {}
        self.queue_waits, self.run_times = HdrHistogram(1, MAX_MS, 3), HdrHistogram(1, MAX_MS, 3)
        self.retry_delays = HdrHistogram(1, MAX_MS, 3)
        self.live: dict[int, tuple[int, int, float, float]] = {}  # by request number: type, tenant, arrival and start time
        self.first: float | None = None
        self.last = 0.0

    def add(self, record: Record) -> None:
        """Add a record."""
        kind, time, values = record
        self.first = time if self.first is None else self.first
        self.last = max(self.last, time)
        if kind is kinds.READ:
            self.live[values[0]] = (values[2], values[5], time, 0.0)
            self._count(time, "ops_read", values[0])
            self.counts["marked_again"] += values[10]
        elif kind is kinds.RUN_ENDED:
            ending = Ending(values[1]).name.lower() if values[1] in set(Ending) else f"ending {values[1]}"
            self._count(time, f"run_{ending}", values[0])
            if (request := self.live.pop(values[0], None)) and request[3]:
                self.run_times.record_value(_ms(time - request[3]))
        elif kind in (kinds.DECIDED, kinds.DECIDED_FOR):
            self._add_decision(time, *values)
        elif kind is kinds.TURNED_BACK:
            self.counts["turned_back"] += values[0]
            self._second(time)["turned_back"] += values[0]
        elif kind is kinds.GAP:
            self.counts["records_missing"] += values[0]
        elif kind not in (kinds.PULLED, kinds.NOTE, kinds.NODE):
            self.counts[kind.name.replace(" ", "_")] += 1

    def _add_decision(
        self, time: float, verb: int, request: int, seconds: float, flag: int, level: float, cause: str = ""
    ) -> None:
        known_verb = VERB_BY_CODE.get(verb)
        name = "decided_" + (known_verb.value.replace(" ", "_") if known_verb else str(verb))
        self._count(time, name, request)
        if cause:
            self.counts[f"{name}_{cause}"] += 1
        live = self.live.get(request)
        if known_verb is Verb.RUN and live:
            self.queue_waits.record_value(_ms(time - live[2]))
            self.live[request] = (*live[:3], time)
        elif known_verb is Verb.REJECT:
            self.retry_delays.record_value(_ms(seconds))
            self.live.pop(request, None)

    def _count(self, time: float, counter: str, request: int) -> None:
        self.counts[counter] += 1
        self._second(time)[counter] += 1
        if live := self.live.get(request):
            self.by_type[self._name(self.op_types, live[0]), counter] += 1
            self.by_tenant[self._name(self.tenants, live[1]), counter] += 1

    def _second(self, time: float) -> Counter[str]:
        return self.seconds.setdefault(int(time), Counter())

    @staticmethod
    def _name(names: list[str], index: int) -> str:
        return names[index] if index < len(names) else str(index)

    def as_dict(self) -> dict[str, Any]:
        """Return the summary as `mulleinhatch trace summary` prints it; times are seconds."""

        def quantiles(histogram: HdrHistogram) -> dict[str, float]:
            return {f"{at}%": histogram.get_value_at_percentile(at) / 1000.0 for at in PERCENTILES}

        first = self.first or 0.0
        by_type: dict[str, dict[str, int]] = {}
        for (name, counter), count in sorted(self.by_type.items()):
            by_type.setdefault(name, {})[counter] = count
        by_tenant: dict[str, dict[str, int]] = {}
        for (name, counter), count in sorted(self.by_tenant.items()):
            by_tenant.setdefault(name, {})[counter] = count
        return {
            "seconds": round(self.last - first, 6),
            "counts": dict(sorted(self.counts.items())),
            "by_op_type": by_type,
            "by_tenant": by_tenant,
            "held_s": quantiles(self.queue_waits),
            "ran_s": quantiles(self.run_times),
            "hold_off_s": quantiles(self.retry_delays),
            "rates": [
                {"second": second - int(first), **dict(sorted(counts.items()))}
                for second, counts in sorted(self.seconds.items())
            ],
        }


def _ms(seconds: float) -> int:
    return max(1, min(MAX_MS, round(1000.0 * seconds)))


def summary(records: Iterable[Record], op_types: list[str], tenants: list[str]) -> dict[str, Any]:
    """Return the summary of records; `op_types` and `tenants` are the names from the metadata."""
    totals = Summary(op_types, tenants)
    for record in records:
        totals.add(record)
    return totals.as_dict()
