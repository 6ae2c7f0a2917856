"""Measure the cost of the replicated state after many changes: snapshot, file size, start, and catch-up of a replica.

`python -m benchmarks.control_state [--quick]` prints a table by the number of changes and a line of JSON. It exits with 1 if
sizes keep growing with the number of changes after the retained history of digests has reached its maximum.
"""

from __future__ import annotations

import argparse
import json
import sys
import tempfile
import time
from dataclasses import asdict, dataclass

from mulleinhatch.configuration.document import change_digest
from mulleinhatch.control_plane.log_compaction import ENTRIES_BEFORE_SNAPSHOT
from mulleinhatch.control_plane.state_store import commit_record, entry_records, replay
from mulleinhatch.messages.cluster import Entry, Snapshot
from mulleinhatch.replication.state import MAX_DIGESTS, ControlState, EntryKind
from mulleinhatch.storage.append_log import AppendLog
from mulleinhatch.storage.records import Record, RecordKind

ROUTES = 40
COUNTS = (100, 500, 2_000, 20_000)
MAX_GROWTH = 1.05  # factor of sizes from the first count with a full history of digests to the last count


@dataclass(frozen=True)
class Row:
    """Figures after a number of changes; sizes in bytes, times in milliseconds."""

    changes: int
    digests: int
    snapshot_bytes: int
    file_bytes: int
    snapshot_ms: float
    rewrite_ms: float
    start_ms: float  # reading and replaying the file and restoring the state
    catch_up_ms: float  # parsing, restoring and writing a received snapshot


def route(number: int, timeout_ms: int) -> dict:
    """Return one route of the configuration."""
    return {
        "name": f"r{number}", "host": "h.example", "path_prefix": f"/p{number}/", "timeout_ms": timeout_ms, "service": "s",
    }  # fmt: skip


def state_after_changes(count: int) -> ControlState:
    """Return the state after a complete configuration and `count` patches of one route each."""
    state = ControlState()
    complete = {"version": 1, "routes": [route(number, 1000) for number in range(ROUTES)], "services": [{"name": "s"}]}
    _apply(state, EntryKind.CONFIGURATION, "PUT", complete)
    for number in range(count):
        patch = {"version": 2 + number, "upsert": {"routes": [route(number % ROUTES, 1000 + number)]}}
        _apply(state, EntryKind.PATCH, "PATCH", patch)
    return state


def _apply(state: ControlState, kind: EntryKind, method: str, value: dict) -> None:
    body = json.dumps(value).encode()
    state.apply(Entry(index=state.index + 1, epoch=1, kind=kind, body=body, digest=change_digest(method, body)))


def _measure_ms(work) -> tuple[float, object]:
    started_at = time.perf_counter()
    result = work()
    return round(1000 * (time.perf_counter() - started_at), 2), result


def _records(state: ControlState) -> list[Record]:
    """Return the records of the largest file between two rewrites: a snapshot and all entries before the next one."""
    body = json.dumps({"version": 0, "upsert": {"routes": [route(0, 1)]}}).encode()
    entries = [
        Entry(index=state.index + 1 + number, epoch=1, kind=EntryKind.PATCH, body=body, digest="0" * 32)
        for number in range(ENTRIES_BEFORE_SNAPSHOT)
    ]
    head = [Record(RecordKind.IDENTITY, b"disk"), Record(RecordKind.SNAPSHOT, bytes(state.snapshot()))]
    return [*head, *entry_records(entries), commit_record(state.index)]


def measure(count: int) -> Row:
    """Measure the costs after a number of changes."""
    state = state_after_changes(count)
    snapshot_ms, snapshot = _measure_ms(lambda: bytes(state.snapshot()))
    with tempfile.TemporaryDirectory() as folder:
        append_log = AppendLog(folder)
        append_log.open()
        records = _records(state)
        rewrite_ms, _ = _measure_ms(lambda: append_log.rewrite(records))
        file_bytes = append_log.size
        append_log.close()
        start_ms, _ = _measure_ms(lambda: ControlState().restore(replay(AppendLog(folder).open()).snapshot))
        reopened = AppendLog(folder)
        reopened.open()

        def catch_up() -> None:
            received = Snapshot().parse(snapshot)
            ControlState().restore(received)
            reopened.append([Record(RecordKind.SNAPSHOT, bytes(received))])

        catch_up_ms, _ = _measure_ms(catch_up)
        reopened.close()
    return Row(count, len(state.digests), len(snapshot), file_bytes, snapshot_ms, rewrite_ms, start_ms, catch_up_ms)


def main() -> int:
    """Run the benchmark; return the exit status."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.control_state")
    parser.add_argument("--quick", action="store_true", help="up to 4,000 changes")
    quick = parser.parse_args().quick
    counts = (100, MAX_DIGESTS + 200, 2 * MAX_DIGESTS) if quick else (*COUNTS[:3], MAX_DIGESTS + 200, COUNTS[3])
    rows = [measure(count) for count in counts]
    names = list(asdict(rows[0]))
    print("  ".join(f"{name:>14}" for name in names))
    for row in rows:
        print("  ".join(f"{value:>14}" for value in asdict(row).values()))
    first_full, last = rows[-2], rows[-1]
    is_bounded = (
        last.snapshot_bytes <= MAX_GROWTH * first_full.snapshot_bytes and last.file_bytes <= MAX_GROWTH * first_full.file_bytes
    )
    print(json.dumps({"holds": is_bounded, "rows": [asdict(row) for row in rows]}))
    return 0 if is_bounded else 1


if __name__ == "__main__":
    sys.exit(main())
