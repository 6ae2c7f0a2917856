"""Writes trace files in a thread: batches arrive through a bounded queue; files are rotated by size and age,
and the oldest are deleted.

The event loop only enqueues lists, so no request ever waits for the disk. When the disk is slow or full, whole batches are
dropped, counted, and marked in the file by a `GAP` record.
"""

from __future__ import annotations

import contextlib
import logging
import os
import queue
import threading
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from mulleinhatch.instance.traces import kinds
from mulleinhatch.instance.traces.block import BlockBuilder
from mulleinhatch.instance.traces.file import TraceMetadata, TraceWriter
from mulleinhatch.instance.traces.kinds import MAJORS, Record

LOG = logging.getLogger(__name__)
MAX_QUEUED_BATCHES = 16  # batches waiting for the disk: a few MB
SUFFIX, OPEN_SUFFIX = ".mht", ".mht.part"
RETRY_DELAY_S = 5.0  # after a disk error


class TraceBounds(NamedTuple):
    """Limits of the trace files.

    Attributes:
        folder: Directory of the files.
        file_mb: Size in MB at which a file is rotated.
        file_age: Age in seconds at which a file is rotated.
        total_mb: Total size in MB of this instance's files; the oldest are deleted beyond it.
    """

    folder: str
    file_mb: float = 64.0
    file_age: float = 600.0
    total_mb: float = 1024.0


class TraceFileManager:
    """Writes one instance's files; `enqueue` and `close` are called from the event loop, everything else runs in its thread.

    Args:
        bounds: Limits of the files.
        make_metadata: Returns the metadata for a file number.
        major: Major version of the format.
    """

    def __init__(self, bounds: TraceBounds, make_metadata: Callable[[int], TraceMetadata], major: int = MAJORS[-1]) -> None:
        self.bounds, self.make_metadata, self.major = bounds, make_metadata, major
        self.counts: Counter[str] = Counter()
        self.queue: queue.Queue[tuple[list[Record], int] | None] = queue.Queue(MAX_QUEUED_BATCHES)
        self.lock = threading.Lock()  # guards the two fields below: the event loop and the thread both drop batches
        self.dropped, self.dropped_until = 0, 0.0
        self.number, self.disk_failed_at = 0, -RETRY_DELAY_S
        self.writer: TraceWriter | None = None
        self.path = Path()
        self.opened = 0.0
        self.thread = threading.Thread(target=self._run, name="traces", daemon=True)
        self.thread.start()

    def enqueue(self, records: list[Record], newest: int) -> None:
        """Queue a batch; `newest` is the highest request number before it. A full queue drops the batch."""
        with self.lock:
            dropped, until = self.dropped, self.dropped_until
            self.dropped = 0
        marked = [Record(kinds.GAP, records[0][1], (dropped, until)), *records] if dropped else records
        try:
            self.queue.put_nowait((marked, newest))
        except queue.Full:
            self._drop(dropped, records)

    def _drop(self, marked_before: int, records: list[Record]) -> None:
        """Count dropped records once; a gap record lost with this batch is repeated with the next one."""
        with self.lock:
            self.counts["trace_records_dropped"] += len(records)
            self.dropped, self.dropped_until = self.dropped + marked_before + len(records), records[-1][1]

    def close(self, within: float = 2.0) -> None:
        """Complete the current file, waiting up to `within` seconds each for the queue and for the thread."""
        with contextlib.suppress(queue.Full):
            self.queue.put(None, timeout=within)
        self.thread.join(within)

    # Methods of the writer thread.

    def _run(self) -> None:
        while (item := self.queue.get()) is not None:
            self._write(*item)
        self._end_file()

    def _write(self, records: list[Record], newest: int) -> None:
        if time.monotonic() - self.disk_failed_at < RETRY_DELAY_S:
            self._drop_after_disk_error(records)
            return
        try:
            if self.writer is None:
                self._begin_file()
            builder = BlockBuilder(self.major, newest)
            for record in records:
                builder.add(record)
            self.writer.write(builder.encode())
            self.writer.file.flush()
            self.counts["trace_records"] += len(records)
            self.counts["trace_bytes"] = self.counts["trace_bytes_before"] + self.writer.offset
            if self.writer.offset > 1e6 * self.bounds.file_mb or time.monotonic() - self.opened > self.bounds.file_age:
                self._end_file()
        except OSError as error:
            LOG.warning("trace not written", extra={"fields": {"error": error}})
            self.disk_failed_at = time.monotonic()
            self._drop_after_disk_error(records)
            self._end_file()

    def _drop_after_disk_error(self, records: list[Record]) -> None:
        """Drop a batch after a disk error; the next batch that is written marks the gap."""
        self._drop(0, records)

    def _begin_file(self) -> None:
        self.number += 1
        metadata = self.make_metadata(self.number)
        stamp = time.strftime("%Y%m%dT%H%M%S", time.gmtime())
        folder = Path(self.bounds.folder)
        folder.mkdir(parents=True, exist_ok=True)
        self.path = folder / f"{metadata.instance}-{stamp}-{os.getpid()}-{self.number:05d}{OPEN_SUFFIX}"
        file = open(self.path, "xb")  # noqa: SIM115 (`_end_file` closes it)
        self.writer = TraceWriter(file, metadata, self.major)
        self.opened = time.monotonic()
        self._expire(metadata.instance)

    def _end_file(self) -> None:
        """Write the index, flush, and rename: a file under its final name is complete."""
        writer, self.writer = self.writer, None
        if writer is None:
            return
        self.counts["trace_bytes_before"] += writer.offset
        with contextlib.suppress(OSError), writer.file:
            writer.close()
            os.fsync(writer.file.fileno())
            os.replace(self.path, self.path.with_name(self.path.name.removesuffix(".part")))
            self.counts["trace_files"] += 1

    def _expire(self, instance: str) -> None:
        files = sorted(
            (path for path in Path(self.bounds.folder).glob(f"{instance}-*{SUFFIX}*") if path != self.path),
            key=lambda path: path.name,
        )
        total = sum(path.stat().st_size for path in files)
        while files and total > 1e6 * self.bounds.total_mb:
            oldest = files.pop(0)
            total -= oldest.stat().st_size
            oldest.unlink(missing_ok=True)
            self.counts["trace_files_expired"] += 1
