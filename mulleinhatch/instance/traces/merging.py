"""Merges trace files of several nodes, ordered by Unix time, in one pass with one block of each node in memory.

A node's own clock is monotonic, so its records keep their order even if its system clock was set. The metadata of the new
file lists the offset used for each source, because system clocks are set between files and differ between nodes.
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

CLOCK_STEP_S = 0.05  # seconds of drift between two files of a process that are not reported as a clock step


class Source(NamedTuple):
    """A file to be merged; `offset` in seconds converts its clock to that of the merged file."""

    trace: Trace
    node: int
    offset: float
    first: float


class Incarnation(NamedTuple):
    """A process of a node, identified by name and seed; two processes of one name differ in the seed."""

    instance: str
    seed: int


def offsets(traces: list[Trace], corrections: dict[str, float] | None = None) -> tuple[list[Source], list[dict[str, Any]]]:
    """Return the sources ordered by time, and their descriptions for the metadata.

    All files of a process use the offset of its first file, so that a step of the system clock shifts no record.

    Args:
        traces: Files to merge.
        corrections: Seconds to add, by name of the node.
    """
    incarnations: dict[Incarnation, tuple[int, float]] = {}
    sources, notes = [], []
    for trace in sorted(traces, key=lambda trace: (trace.metadata.instance, trace.metadata.seed, trace.metadata.number)):
        metadata = trace.metadata
        incarnation, clock_offset = Incarnation(metadata.instance, metadata.seed), metadata.wall - metadata.clock
        node, offset = incarnations.setdefault(
            incarnation, (len(incarnations) + 1, clock_offset + (corrections or {}).get(metadata.instance, 0.0))
        )
        stepped = clock_offset + (corrections or {}).get(metadata.instance, 0.0) - offset
        sources.append(Source(trace, node, offset, min((row.first for row in trace.rows), default=0.0) + offset))
        notes.append(
            {
                "instance": metadata.instance,
                "seed": metadata.seed,
                "node": node,
                "file": metadata.number,
                "offset": round(offset, 6),
                "clock_stepped": round(stepped, 6) if abs(stepped) > CLOCK_STEP_S else 0.0,
                "version": trace.major,
            }
        )
    return sorted(sources, key=lambda source: (source.first, source.node)), notes


def ordered(sources: list[Source]) -> Iterator[tuple[float, int, Record]]:
    """Yield time, node and record ordered by time; each process has one file open at a time."""
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
    """Yield the records with request numbers unique to the merged file, and a `NODE` record wherever the node changes."""
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
    """Merge traces into a new file of the newest version.

    Args:
        traces: Files to merge.
        file: File to write to.
        corrections: Seconds to add, by name of the node.

    Returns:
        The number of records, and the description of each source.

    Raises:
        ValueError: There are no files, or they differ in request types or tenants.
    """
    if not traces:
        raise ValueError("no files to merge")
    first = traces[0].metadata
    for trace in traces[1:]:
        if (trace.metadata.op_types, trace.metadata.tenants) != (first.op_types, first.tenants):
            raise ValueError(
                f"{trace.metadata.instance}: op types or tenants differ from {first.instance}, so their indices would not match"
            )
    sources, notes = offsets(traces, corrections)
    since = min(source.first for source in sources)
    metadata = msgspec.structs.replace(first, instance="", seed=0, clock=0.0, wall=since, number=0, merged=notes)
    return write(merged(sources, since), file, TraceMetadata(**msgspec.structs.asdict(metadata)), MAJORS[-1]), notes
