"""Part of a trace as a trace: by time, tenant, op type, op. One pass, one block in memory."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import BinaryIO, NamedTuple

from mulleinhatch.instance.traces import kinds
from mulleinhatch.instance.traces.block import Builder
from mulleinhatch.instance.traces.file import Facts, Trace, Writer
from mulleinhatch.instance.traces.kinds import Record

BLOCK_RECORDS = 16384  # larger blocks are smaller an op; a live file's are as the writer was handed them


class Wanted(NamedTuple):
    """What is kept; None keeps all. Times are the instance's own clock, places those of the facts' lists."""

    since: float | None = None
    until: float | None = None
    tenant: int | None = None
    op_type: int | None = None
    ref: str | None = None

    def is_of_ops(self) -> bool:
        return self.tenant is not None or self.op_type is not None or self.ref is not None


def place_of_op(kind: kinds.Kind) -> int | None:
    return next((place for place, (_, codec) in enumerate(kind.columns) if codec == "op"), None)


OP_PLACES = {code: place_of_op(kind) for code, kind in kinds.KINDS.items()}


def chosen(records: Iterable[Record], wanted: Wanted) -> Iterator[Record]:
    """Of an op that is wanted, every record; with an op named, nothing that is of none."""
    ops: set[int] = set()
    for record in records:
        place = OP_PLACES[record.kind.code]
        if record.kind is kinds.READ:
            op, ref, op_type, _, _, tenant, *_ = record.values
            if wanted.tenant in (None, tenant) and wanted.op_type in (None, op_type) and wanted.ref in (None, ref):
                ops.add(op)
                yield record
        elif not wanted.is_of_ops() or place is not None and record.values[place] in ops:
            yield record


def write(records: Iterable[Record], file: BinaryIO, facts: Facts, major: int) -> int:
    """Records into a new file; how many there were."""
    writer, builder, count = Writer(file, facts, major), Builder(major, 0), 0
    for record in records:
        builder.add(record)
        count += 1
        if len(builder) >= BLOCK_RECORDS:
            writer.write(builder.block())
            builder = Builder(major, builder.newest)
    if len(builder):
        writer.write(builder.block())
    writer.close()
    return count


def cut(trace: Trace, file: BinaryIO, wanted: Wanted) -> int:
    return write(chosen(trace.records(wanted.since, wanted.until), wanted), file, trace.facts, trace.major)
