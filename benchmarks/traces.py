"""Traces: bytes per request, records per second, index against scan, memory of a merge, and CPU per request with and without.

Usage:
  traces [--quick] [--seed N]

Options:
  --quick   A twentieth of the records.
  --seed N  Seed of the requests [default: 1].

The requests resemble those of a day in operation: each is read, run and ended, and decisions are pulled after the read and
after the end; ids are random, and hints, waits and ages are in milliseconds. CPU per request is that of a reducer in virtual
time, with the recorder and the encoding of its blocks and without, in alternating runs of one process. Objectives: 24 bytes per
request; a seek 50 times faster than a scan; 100 MB for the merge; 5% of the CPU that a request costs the whole service (0.6 ms
on the platform). The CPU of the reducer alone is printed as well.
"""

from __future__ import annotations

import io
import json
import random
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Iterator
from pathlib import Path
from statistics import median

from docopt import docopt
from rich.console import Console
from rich.table import Table

from mulleinhatch.admission.interface import Ending, Verb
from mulleinhatch.instance.request_state_machine.events import Event
from mulleinhatch.instance.request_state_machine.reducer import Reducer
from mulleinhatch.instance.retry_storms.bounds import StormBounds
from mulleinhatch.instance.traces import kinds
from mulleinhatch.instance.traces.block import BlockBuilder
from mulleinhatch.instance.traces.cutting import write
from mulleinhatch.instance.traces.file import Trace, TraceMetadata, TraceWriter
from mulleinhatch.instance.traces.kinds import Record
from mulleinhatch.instance.traces.merging import merge
from mulleinhatch.instance.traces.recorder import VERB_CODES, Recorder

REQUEST_CPU = 0.6e-3  # seconds of CPU per request of a whole instance, measured on the platform
MAX_REQUEST_BYTES, MIN_SEEK_SPEEDUP, MAX_MERGE_MB, MAX_CPU_SHARE = 24.0, 50.0, 100.0, 0.05


def draw_records(requests: int, seed: int) -> Iterator[Record]:
    """Yield five records per request."""
    draw, now = random.Random(seed), 0.0
    for request in range(1, requests + 1):
        now = round(now + draw.expovariate(150.0), 6)
        yield Record(
            kinds.READ,
            now,
            (
                request,
                f"{draw.getrandbits(64):016x}",
                draw.randrange(3),
                draw.randrange(20) / 1000.0,
                draw.randrange(2000, 4500) / 1000.0,
                draw.randrange(4),
                0,
                draw.randrange(5),
                draw.randrange(2000, 4000) / 100_000.0,
                draw.randrange(150, 450) / 10.0,
                0,
            ),
        )
        yield Record(kinds.DECIDED_FOR, now, (VERB_CODES[Verb.RUN], request, 0.0, 0, 0.0, "order"))
        yield Record(kinds.PULLED, now, ())
        now = round(now + draw.expovariate(150.0) / 2.0, 6)
        yield Record(kinds.RUN_ENDED, now, (max(1, request - draw.randrange(4)), 1))
        yield Record(kinds.PULLED, now, ())


def write_trace(path: Path, requests: int, seed: int, name: str = "n1") -> tuple[int, int, float]:
    """Write a trace and return the number of records, the bytes, and the seconds that it took."""
    start = time.perf_counter()
    with open(path, "wb") as file:
        records = write(
            draw_records(requests, seed),
            file,
            TraceMetadata(name, seed, op_types=["a", "b", "c"], tenants=["w", "x", "y", "z"]),
            2,
        )
    return records, path.stat().st_size, time.perf_counter() - start


def read_all(path: Path) -> tuple[int, float]:
    """Read a trace and return the number of records and the seconds that it took."""
    start = time.perf_counter()
    with open(path, "rb") as file:
        count = sum(1 for _ in Trace(file).records())
    return count, time.perf_counter() - start


def seek_and_scan(path: Path) -> tuple[float, float]:
    """Return the seconds to find a time in the middle of a trace by its index, and by reading from the start."""
    with open(path, "rb") as file:
        middle = Trace(file).rows
        at = middle[len(middle) // 2].first
        start = time.perf_counter()
        next(Trace(file).records(since=at))
        seek = time.perf_counter() - start
        start = time.perf_counter()
        next(record for record in Trace(file).records() if record.time >= at)
        return seek, time.perf_counter() - start


def request_path(requests: int, traced: bool) -> float:
    """Return the CPU seconds per request of the reducer; `traced` adds the recorder and the encoding of its blocks."""
    writer = TraceWriter(io.BytesIO(), TraceMetadata("n1", 7))

    def on_batch(records: list[Record], newest: int) -> None:
        builder = BlockBuilder(2, newest)
        for record in records:
            builder.add(record)
        writer.write(builder.encode())

    deployment = {"op_types": [{"importance": 1.0, "target_latency": 1.8, "op_timeout": 4.5}], "cores": 4, "callers": 5}
    reducer = Reducer(
        deployment,
        ["read"],
        [],
        7,
        StormBounds(),
        (lambda controller, now, is_fresh_start, since: Recorder(controller, now, is_fresh_start, since, on_batch))
        if traced
        else None,
    )
    reducer.reduce(0.0, Event.INTERPRETER_READY, False, 100.0)
    start, now = time.process_time(), 0.0
    for request in range(requests):
        now += 0.0125
        ref = f"{request:016x}"
        reducer.reduce(now, Event.REQUEST_RECEIVED, request, ref, "read", "", 0.0021, 1.8, 2, 0.05, 20.0, False, "", b"body")
        reducer.reduce(now + 0.012, Event.RUN_ENDED, request + 1, ref, Ending.OK, b"")
    return (time.process_time() - start) / requests


def main(argv: list[str] | None = None) -> int:
    """Run the benchmark and print its figures; return 1 if an objective was missed."""
    options = docopt(__doc__, argv)
    seed, quick = int(options["--seed"]), options["--quick"]
    requests, merged_requests = (10_000, 1000) if quick else (200_000, 40_000)
    with tempfile.TemporaryDirectory() as folder:
        paths = [Path(folder) / f"{number}.mht" for number in range(8)]
        records, size, written = write_trace(paths[0], requests, seed)
        count, read = read_all(paths[0])
        assert count == records
        seek, scan = seek_and_scan(paths[0])
        for number, path in enumerate(paths[1:], 1):
            write_trace(path, merged_requests, seed + number, f"n{number + 1}")
        files = [open(path, "rb") for path in paths[1:]]  # noqa: SIM115
        tracemalloc.start()
        start = time.perf_counter()
        with open(Path(folder) / "merged.mht", "wb") as file:
            merged, _ = merge([Trace(one) for one in files], file)
        merging, merge_mb = time.perf_counter() - start, tracemalloc.get_traced_memory()[1] / 1e6
        tracemalloc.stop()
        for one in files:
            one.close()
    path_requests = 4000 if quick else 20_000
    request_path(path_requests, True)  # warms the caches that both variants use
    pairs = [
        (request_path(path_requests, False), request_path(path_requests, True)) for _ in range(7)
    ]  # alternating, because the speed of the machine drifts
    plain, traced = median(one for one, _ in pairs), median(other for _, other in pairs)
    overhead = median(other - one for one, other in pairs)
    figures = {
        "records": records,
        "bytes_an_op": round(size / requests, 1),
        "written_a_second": round(records / written),
        "read_a_second": round(count / read),
        "seek_ms": round(1000 * seek, 2),
        "scan_ms": round(1000 * scan, 1),
        "seek_faster": round(scan / seek, 1),
        "merged": merged,
        "merge_s": round(merging, 1),
        "merge_mb": round(merge_mb, 1),
        "op_us_plain": round(1e6 * plain, 1),
        "op_us_traced": round(1e6 * traced, 1),
        "share_of_an_op": round(overhead / REQUEST_CPU, 3),
    }
    table = Table("", "")
    for name, value in figures.items():
        table.add_row(name.replace("_", " "), str(value))
    Console().print(table)
    missed = [
        name
        for name, kept in (
            ("bytes", size / requests <= MAX_REQUEST_BYTES),
            ("seek", quick or scan / seek >= MIN_SEEK_SPEEDUP),
            ("merge memory", merge_mb <= MAX_MERGE_MB),
            ("cpu", overhead / REQUEST_CPU <= MAX_CPU_SHARE),
        )
        if not kept
    ]
    print(json.dumps({**figures, "missed": missed, "holds": not missed}))
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
