"""Files of several nodes as one, in one pass: a block of each in memory, ordered by the system's clock.

Each node's own clock only goes forward, so its records stay in its own order whatever the system's clock did; where that
stepped between two files of a node, or two nodes disagree, the offsets that were taken are told in the new file's facts.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from typing import Any, BinaryIO, NamedTuple

import msgspec

from mulleinhatch.instance.traces import kinds
from mulleinhatch.instance.traces.cutting import REQUEST_COLUMNS, write
from mulleinhatch.instance.traces.file import Trace, TraceMetadata
from mulleinhatch.instance.traces.kinds import MAJORS, Record

CLOCK_STEP_S = 0.05  # seconds that the system's clock may drift between two files of one life before it counts as a step


class Source(NamedTuple):
    """One file to be merged; `offset` turns its clock into that of the merged file."""

    trace: Trace
    node: int
    offset: float
    first: float


class Incarnation(NamedTuple):
    """A life of a node: its name and seed. Two nodes of one name differ in it."""

    instance: str
    seed: int


def offsets(traces: list[Trace], corrections: dict[str, float] | None = None) -> tuple[list[Source], list[dict[str, Any]]]:
    """Sources by time, and what was taken for each: the system's clock as the first file of a life has it, for all files of
    that life, so that a step of it moves nothing; `corrections` corrects by the node's name."""
    incarnations: dict[Incarnation, tuple[int, float]] = {}
    sources, notes = [], []
    for trace in sorted(traces, key=lambda trace: (trace.facts.instance, trace.facts.seed, trace.facts.number)):
        facts = trace.facts
        incarnation, seen = Incarnation(facts.instance, facts.seed), facts.wall - facts.clock
        node, offset = incarnations.setdefault(
            incarnation, (len(incarnations) + 1, seen + (corrections or {}).get(facts.instance, 0.0))
        )
        stepped = seen + (corrections or {}).get(facts.instance, 0.0) - offset
        sources.append(Source(trace, node, offset, min((row.first for row in trace.rows), default=0.0) + offset))
        notes.append(
            {
                "instance": facts.instance,
                "seed": facts.seed,
                "node": node,
                "file": facts.number,
                "offset": round(offset, 6),
                "clock_stepped": round(stepped, 6) if abs(stepped) > CLOCK_STEP_S else 0.0,
                "version": trace.major,
            }
        )
    return sorted(sources, key=lambda source: (source.first, source.node)), notes


def ordered(sources: list[Source]) -> Iterator[tuple[float, int, Record]]:
    """Records of all, by time in the merged file's clock; files of a life follow each other, so only one of them is open."""
    by_node: dict[int, list[Source]] = {}
    for source in sources:
        by_node.setdefault(source.node, []).append(source)

    def records_of(node: int) -> Iterator[tuple[float, int, int, Record]]:
        count, last = 0, float("-inf")
        for source in by_node[node]:
            for record in source.trace.records():
                count += 1
                last = max(last, record.time + source.offset)
                yield last, node, count, record

    for time, node, _, record in heapq.merge(*(records_of(node) for node in sorted(by_node))):
        yield time, node, record


def merged(sources: list[Source], since: float) -> Iterator[Record]:
    """With numbers of ops that are its own, and a record of the node wherever that changes."""
    current_node, newest = 0, 0
    numbers: dict[int, dict[int, int]] = {}
    for time, node, record in ordered(sources):
        time = round(time - since, 6)
        if node != current_node:
            current_node = node
            yield Record(kinds.NODE, time, (node,))
        column = REQUEST_COLUMNS[record.kind.code]
        values = record.values
        if column is not None and values[column]:
            node_numbers = numbers.setdefault(node, {})
            if record.kind is kinds.READ:
                newest += 1
                node_numbers[values[column]] = newest
                repeat_of = node_numbers.get(values[6], 0)
                values = (newest, *values[1:6], repeat_of, *values[7:])
            else:
                values = (*values[:column], node_numbers.get(values[column], 0), *values[column + 1 :])
            if record.kind is kinds.RUN_ENDED:
                node_numbers.pop(record.values[column], None)
        if record.kind is kinds.DECIDED:
            record, values = record._replace(kind=kinds.DECIDED_FOR), (*values, "")
        yield Record(record.kind, time, values)


def merge(traces: list[Trace], file: BinaryIO, corrections: dict[str, float] | None = None) -> tuple[int, list[dict[str, Any]]]:
    """Into a new file of the newest version; how many records, and what was taken for each source."""
    if not traces:
        raise ValueError("no file to merge")
    first = traces[0].facts
    for trace in traces[1:]:
        if (trace.facts.op_types, trace.facts.tenants) != (first.op_types, first.tenants):
            raise ValueError(f"{trace.facts.instance}: other op types or tenants than {first.instance}: their places would lie")
    sources, notes = offsets(traces, corrections)
    since = min(source.first for source in sources)
    facts = msgspec.structs.replace(first, instance="", seed=0, clock=0.0, wall=since, number=0, merged=notes)
    return write(merged(sources, since), file, TraceMetadata(**msgspec.structs.asdict(facts)), MAJORS[-1]), notes
