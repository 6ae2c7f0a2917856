"""Extracts part of a trace by time, tenant, request type or request, in one pass with one block in memory."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import BinaryIO, NamedTuple

from mulleinhatch.instance.traces import kinds
from mulleinhatch.instance.traces.block import BlockBuilder
from mulleinhatch.instance.traces.file import Trace, TraceMetadata, TraceWriter
from mulleinhatch.instance.traces.kinds import Record

BLOCK_RECORDS = 16384  # larger blocks compress better than the one block per batch of a live file


class RecordFilter(NamedTuple):
    """Selects records; None selects all. Times are on the instance's clock, numbers are indices into the metadata's lists."""

    since: float | None = None
    until: float | None = None
    tenant: int | None = None
    op_type: int | None = None
    ref: str | None = None

    def selects_requests(self) -> bool:
        """Return whether the filter selects requests, and not only a time span."""
        return self.tenant is not None or self.op_type is not None or self.ref is not None


def request_column(kind: kinds.Kind) -> int | None:
    """Return the index of the column that holds the request number, or None."""
    return next((column for column, (_, codec) in enumerate(kind.columns) if codec == "op"), None)


REQUEST_COLUMNS = {code: request_column(kind) for code, kind in kinds.KINDS.items()}


def select(records: Iterable[Record], record_filter: RecordFilter) -> Iterator[Record]:
    """Yield every record of the selected requests; a filter on requests drops records without a request."""
    requests: set[int] = set()
    for record in records:
        column = REQUEST_COLUMNS[record.kind.code]
        if record.kind is kinds.READ:
            request, ref, op_type, _, _, tenant, *_ = record.values
            if (
                record_filter.tenant in (None, tenant)
                and record_filter.op_type in (None, op_type)
                and record_filter.ref in (None, ref)
            ):
                requests.add(request)
                yield record
        elif not record_filter.selects_requests() or column is not None and record.values[column] in requests:
            yield record


def write(records: Iterable[Record], file: BinaryIO, metadata: TraceMetadata, major: int) -> int:
    """Write records to a new file; return their number."""
    writer, builder, count = TraceWriter(file, metadata, major), BlockBuilder(major, 0), 0
    for record in records:
        builder.add(record)
        count += 1
        if len(builder) >= BLOCK_RECORDS:
            writer.write(builder.encode())
            builder = BlockBuilder(major, builder.newest)
    if len(builder):
        writer.write(builder.encode())
    writer.close()
    return count


def extract(trace: Trace, file: BinaryIO, record_filter: RecordFilter) -> int:
    """Write the selected records of a trace to a new file; return their number."""
    return write(
        select(trace.records(record_filter.since, record_filter.until), record_filter), file, trace.metadata, trace.major
    )
