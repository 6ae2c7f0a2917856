"""Traces: round trips, replays with identical decisions, and truncated, corrupted and hostile files."""

from __future__ import annotations

import asyncio
import io
import random
import struct
import threading
import time
from collections import Counter
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as some

from mulleinhatch.instance.traces import block, cutting, kinds
from mulleinhatch.instance.traces.aliases import Aliases, anonymize_metadata, anonymize_records
from mulleinhatch.instance.traces.block import HEAD_SIZE, Block, BlockBuilder
from mulleinhatch.instance.traces.codec import ColumnReader, ColumnWriter, CorruptTraceError
from mulleinhatch.instance.traces.cutting import RecordFilter, extract, select
from mulleinhatch.instance.traces.file import START, Trace, TraceMetadata, TraceWriter, UnreadableTraceError, encode_index
from mulleinhatch.instance.traces.kinds import Record
from mulleinhatch.instance.traces.merging import merge
from mulleinhatch.instance.traces.recorder import Recorder
from mulleinhatch.instance.traces.replay import IncompleteTraceError, deployment_to_dict, replay
from mulleinhatch.instance.traces.summary import summary
from mulleinhatch.instance.traces.writer import TraceBounds, TraceFileManager
from mulleinhatch.simulation.instance_world import KINDS as OP_KINDS
from mulleinhatch.simulation.instance_world import Scenario, World
from standins import SocketScenario

SMALL = Scenario(rate=18.0, cores=1, outage=(3.0, 5.0), load_until=9.0, patience=4.5, until=20.0, heeding=0.5)
VALUES = {
    "op": some.integers(0, 2**40),
    "whole": some.integers(0, 2**50),
    "number": some.floats(allow_nan=False),
    "numbers": some.lists(some.floats(allow_nan=False), max_size=8).map(tuple),
    "ref": some.one_of(some.text(max_size=20), some.from_regex("[0-9a-f]{16}", fullmatch=True)),
    "text": some.text(max_size=40),
}


def record_of(kind: kinds.Kind) -> some.SearchStrategy[Record]:
    return some.tuples(*(VALUES[codec] for _, codec in kind.columns)).flatmap(
        lambda values: some.integers(0, 10**13).map(lambda micro: Record(kind, micro / 1e6, values))
    )


RECORDS = some.lists(some.one_of([record_of(kind) for kind in kinds.KINDS.values()]), min_size=1, max_size=60)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(RECORDS, some.integers(0, 2**40))
def test_records_survive_a_round_trip(records: list[Record], newest: int) -> None:
    builder = BlockBuilder(2, newest)
    for record in records:
        builder.add(record)
    read = Block(builder.encode())
    assert list(read.records()) == records
    assert read.counts() == Counter(record.kind.name for record in records)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(some.floats(allow_nan=False))
def test_floats_survive_a_round_trip_exactly(value: float) -> None:
    out = ColumnWriter()
    out.number(value)
    assert struct.pack("<d", ColumnReader(bytes(out.data)).number()) == struct.pack("<d", value)


def trace_scenario(scenario: Scenario, seed: int) -> tuple[World, bytes]:
    """Return a virtual history and the trace of the instance's last incarnation."""
    incarnations: list[tuple[Recorder, list[tuple[list[Record], int]]]] = []

    def record(controller, now: float, is_fresh_start: bool, since: float) -> Recorder:
        batches: list[tuple[list[Record], int]] = []
        incarnations.append((Recorder(controller, now, is_fresh_start, since, lambda *batch: batches.append(batch)), batches))
        return incarnations[-1][0]

    world = World(scenario, seed, record=record).play()
    recorder, batches = incarnations[-1]
    recorder.flush()
    file = io.BytesIO()
    metadata = TraceMetadata(
        "n1", seed=world.incarnation, deployment=deployment_to_dict(world.deployment), op_types=[kind[0] for kind in OP_KINDS]
    )
    writer = TraceWriter(file, metadata)
    for records, newest in batches:
        for start in range(0, len(records), 500):
            builder = BlockBuilder(2, newest)
            for one in records[start : start + 500]:
                builder.add(one)
            writer.write(builder.encode())
            newest = builder.newest
    writer.close()
    return world, file.getvalue()


@pytest.fixture(scope="module")
def recorded_trace() -> tuple[World, bytes]:
    return trace_scenario(SMALL, 3)


@pytest.mark.parametrize(
    "seed, change",
    [(1, {}), (2, {"kind": "freeze"}), (3, {"heeding": 1.0, "marked": 0.3}), (4, {"rate": 40.0, "kind": "refuse"})],
)
def test_replay_makes_the_same_decisions(seed: int, change: dict) -> None:
    world, data = trace_scenario(SMALL._replace(**change), seed)
    trace = Trace(io.BytesIO(data))
    outcome = replay(trace.records(), trace.metadata)
    assert outcome.differences == 0, outcome.first
    assert outcome.decisions == sum(count for name, count in world.reducer.counts.items() if name.startswith("decided_"))


def test_replay_reports_the_first_difference(recorded_trace: tuple[World, bytes]) -> None:
    trace = Trace(io.BytesIO(recorded_trace[1]))
    records = list(trace.records())
    at = next(place for place, one in enumerate(records) if one.kind is kinds.READ and place > 500)
    values = list(records[at].values)
    values[4] = 0.01  # a shorter wait than the one recorded
    outcome = replay([*records[:at], records[at]._replace(values=tuple(values)), *records[at + 1 :]], trace.metadata)
    assert outcome.differences == 1 and outcome.first.time >= records[at].time


def test_replay_without_the_start_is_rejected(recorded_trace: tuple[World, bytes]) -> None:
    trace = Trace(io.BytesIO(recorded_trace[1]))
    with pytest.raises(IncompleteTraceError, match="start"):
        replay(trace.records(since=8.0), trace.metadata)


def test_summary_equals_the_live_counters(recorded_trace: tuple[World, bytes]) -> None:
    world, data = recorded_trace
    trace = Trace(io.BytesIO(data))
    totals = summary(trace.records(), trace.metadata.op_types, trace.metadata.tenants)
    live = {name: count for name, count in world.reducer.counts.items() if name.startswith(("decided_", "run_"))}
    assert live and {name: totals["counts"].get(name, 0) for name in live} == live
    assert totals["counts"]["turned_back"] + world.reducer.early_rejections == world.reducer.storms.rejected_retries
    causes = {name: count for name, count in totals["counts"].items() if name.startswith("decided_nack_")}
    assert causes and sum(causes.values()) == totals["counts"]["decided_nack"] and totals["counts"]["decided_run_order"]
    assert sum(sum(second.get("ops_read", 0) for second in totals["rates"]) for _ in "x") == totals["counts"]["ops_read"]


def test_file_truncated_at_every_byte_of_its_last_blocks(recorded_trace: tuple[World, bytes]) -> None:
    """After a kill during a write all complete blocks are read, and the missing records are reported."""
    data, complete = recorded_trace[1], Trace(io.BytesIO(recorded_trace[1]))
    last, before = complete.rows[-1], complete.rows[-2]
    for end in range(before.offset + 1, len(data)):
        trace = Trace(io.BytesIO(data[:end]))
        expected = sum(row.records for row in complete.rows if row.offset + HEAD_SIZE + row.stored <= end)
        assert sum(row.records for row in trace.rows) == expected, end
        cut_in = [row for row in (before, last) if row.offset + HEAD_SIZE <= end < row.offset + HEAD_SIZE + row.stored]
        assert [(lost.records, lost.first, lost.last) for lost in trace.lost if lost.records] == [
            (row.records, row.first, row.last) for row in cut_in
        ], end
    trace = Trace(io.BytesIO(data[: last.offset + HEAD_SIZE + 5]))
    assert len(list(trace.records())) == sum(row.records for row in complete.rows[:-1])


def test_flipped_bits_lose_only_their_block(recorded_trace: tuple[World, bytes]) -> None:
    draw, data, complete = random.Random(5), recorded_trace[1], Trace(io.BytesIO(recorded_trace[1]))
    total = sum(row.records for row in complete.rows)
    for _ in range(60):
        row = draw.choice(complete.rows)
        at = row.offset + draw.randrange(HEAD_SIZE + row.stored)
        flipped = bytearray(data)
        flipped[at] ^= 1 << draw.randrange(8)
        trace = Trace(io.BytesIO(bytes(flipped)))
        assert len(list(trace.records())) == total - row.records, at
        assert len(trace.lost) == 1
        # the same without an index
        end = complete.rows[-1].offset + HEAD_SIZE + complete.rows[-1].stored
        scanned = Trace(io.BytesIO(bytes(flipped[:end])))
        assert len(list(scanned.records())) == total - row.records and scanned.lost


@pytest.mark.parametrize(
    "corrupt, complaint",
    [
        (lambda data: b"", "empty"),
        (lambda data: b"something else", "not a trace file"),
        (lambda data: data[: START.size + 9], "damaged"),
        (lambda data: START.pack(b"mhtTRACE", 3, 0, 5, 0) + data[START.size :], "version 3.0"),
        (lambda data: START.pack(b"mhtTRACE", 2, 0, 2**32 - 1, 0) + data[START.size :], "damaged"),
    ],
)
def test_files_that_are_not_traces_are_rejected(recorded_trace: tuple[World, bytes], corrupt, complaint: str) -> None:
    with pytest.raises(UnreadableTraceError, match=complaint):
        Trace(io.BytesIO(corrupt(recorded_trace[1])))


def pack_block(raw: bytes, records: int = 1, raw_size: int | None = None) -> bytes:
    """Return a block with a valid checksum around any content."""
    stored = block.COMPRESSOR.compress(raw)
    head = block.HEAD.pack(block.MAGIC, 2, 0, len(stored), len(raw) if raw_size is None else raw_size, records, 0.0, 0.0, 0)
    return head + block.CHECKSUM.pack(block.xxh3_64_intdigest(stored, block.xxh3_64_intdigest(head)), 0) + stored


HUGE = b"\xff" * 9 + b"\x01"  # 2^64 - 1
HOSTILE = {
    "a bomb": pack_block(bytes(64 << 20), raw_size=1000),
    "columns without end": pack_block(HUGE),
    "a column of 2^63": pack_block(b"\x01\x00\x00" + HUGE),
    "texts without end": pack_block(b"\x01\x02\x00\x0a" + HUGE),
    "a text of 2^63": pack_block(b"\x01\x02\x00\x0b\x01" + HUGE),
    "a number without end": pack_block(b"\xff" * 40),
    "nothing": pack_block(b""),
    "more records than it has": pack_block(b"\x00", records=1 << 20),
}


@pytest.mark.parametrize("name", HOSTILE)
def test_hostile_blocks_raise_an_error(name: str) -> None:
    with pytest.raises(CorruptTraceError):
        list(Block(HOSTILE[name]).records())


def test_inconsistent_index_is_rebuilt(recorded_trace: tuple[World, bytes]) -> None:
    """Index rows that overlap or point outside the file, under a valid checksum: the blocks are scanned instead."""
    complete = Trace(io.BytesIO(recorded_trace[1]))
    end = complete.rows[-1].offset + HEAD_SIZE + complete.rows[-1].stored
    for rows in (
        [row._replace(offset=complete.rows[0].offset) for row in complete.rows],
        complete.rows[:-1],
        [*complete.rows[:-1], complete.rows[-1]._replace(stored=1 << 31)],
        complete.rows[::-1],
    ):
        trace = Trace(io.BytesIO(recorded_trace[1][:end] + encode_index(rows)))
        assert not trace.indexed and trace.rows == complete.rows


def test_random_corruption_only_loses_records(recorded_trace: tuple[World, bytes]) -> None:
    """A short fuzz test: whatever the bytes, reading ends with records or with an `UnreadableTraceError`."""
    draw = random.Random(11)
    for _ in range(200):
        data = bytearray(recorded_trace[1])
        for _ in range(draw.randrange(1, 20)):
            at = draw.randrange(len(data))
            data[at : at + draw.randrange(8)] = draw.randbytes(draw.randrange(8))
        try:
            list(Trace(io.BytesIO(bytes(data))).records())
        except UnreadableTraceError:
            pass


def test_both_versions_are_read_and_unknown_kinds_are_counted() -> None:
    unknown = kinds.Kind(200, "of a later version", (("what", "text"),))
    values = (2, 1, 0.5, 1, 0.0)
    for major, kind, decision_values in ((1, kinds.DECIDED, values), (2, kinds.DECIDED_FOR, (*values, "bound"))):
        file, builder = io.BytesIO(), BlockBuilder(major, 1)
        builder.add(Record(kind, 1.0, decision_values))
        builder.add(Record(unknown, 1.5, ("x",)))
        builder.add(Record(kind, 2.0, decision_values))
        writer = TraceWriter(file, TraceMetadata("n1", 1), major)
        writer.write(builder.encode())
        writer.close()
        trace = Trace(file)
        assert trace.major == major and [record.time for record in trace.records()] == [1.0, 2.0]
        assert trace.unknown == 1


def test_extract_by_time_type_and_request(recorded_trace: tuple[World, bytes]) -> None:
    trace, file = Trace(io.BytesIO(recorded_trace[1])), io.BytesIO()
    complete = list(trace.records())
    count = extract(trace, file, RecordFilter(since=6.0, until=7.0, op_type=1))
    part = list(Trace(file).records())
    assert len(part) == count > 0 and all(6.0 <= record.time <= 7.0 for record in part)
    assert all(record.values[2] == 1 for record in part if record.kind is kinds.READ)
    one = next(record for record in complete if record.kind is kinds.READ)
    request_records = list(select(complete, RecordFilter(ref=one.values[1])))
    assert (
        request_records[0] == one
        and {record.named()["op"] for record in request_records} == {one.values[0]}
        and len(request_records) >= 2
    )


def test_file_manager_rolls_expires_and_marks_gaps(tmp_path: Path) -> None:
    """Files are rotated by size, the oldest are deleted beyond the total, and records that a full queue dropped are marked."""
    file_manager = TraceFileManager(
        TraceBounds(str(tmp_path), file_mb=0.002, total_mb=0.01), lambda number: TraceMetadata("n1", 7, number=number)
    )
    notes = [Record(kinds.NOTE, place / 10.0, ("note", f"{place * 7919}")) for place in range(300)]
    for _ in range(12):
        file_manager.queue.put((notes, 0))
    file_manager.dropped, file_manager.dropped_until = 5, 2.0
    while not file_manager.queue.empty():
        pass
    file_manager.enqueue(notes, 0)
    file_manager.close()
    files = sorted(tmp_path.glob("*.mht"))
    assert file_manager.counts["trace_files"] > len(files) > 1 and not list(tmp_path.glob("*.part"))
    assert sum(path.stat().st_size for path in files) < 20_000
    records = [record for path in files for record in Trace(io.BytesIO(path.read_bytes())).records()]
    assert [record.values for record in records if record.kind is kinds.GAP] == [(5, 2.0)]


def test_disk_error_only_loses_records(tmp_path: Path) -> None:
    (tmp_path / "taken").write_text("no folder")
    file_manager = TraceFileManager(TraceBounds(str(tmp_path / "taken" / "x")), lambda number: TraceMetadata("n1", 7))
    file_manager.enqueue([Record(kinds.NOTE, 1.0, ("a", ""))], 0)
    file_manager.close()
    assert file_manager.counts["trace_records_dropped"] == 1 and file_manager.dropped == 1


def test_instance_on_sockets_is_traced_and_replayed(tmp_path: Path) -> None:
    """The file of a real instance, from start to stop, agrees with its counters and replays without a difference."""

    async def run_instance() -> dict[str, int]:
        play = SocketScenario()
        play.settings_overrides = {"traces": TraceBounds(str(tmp_path))}
        await play.start()
        try:
            await play.interpreter_up()
            await play.interpreter_hears("CONNECT")
            for number in range(1, 30):
                await play.caller_sends("a", f"r{number}", ("read", "sign")[number % 2])
                await play.interpreter_hears("APPLY", f"r{number}")
                await play.interpreter_ends(f"r{number}", ("good", "bad")[number % 5 == 0], "out")
                await play.caller_hears("a", ("200", "500")[number % 5 == 0])
            await play.caller_sends("b", "r50", "sign")
            await play.instance_leaves()
            await asyncio.sleep(0.5)
            await play.caller_sends("c", "r51", "read")
            await play.caller_hears("c", "503")
            await play.caller_hears("b", "500")
        finally:
            play.instance.stopped.set()
            await play.serving
        return play.instance.counters()

    counted = asyncio.run(asyncio.wait_for(run_instance(), 20))
    (path,) = tmp_path.glob("n1-*.mht")
    with open(path, "rb") as file:
        trace = Trace(file)
        assert trace.indexed and trace.metadata.instance == "n1" and trace.metadata.op_types == ["read", "sign", "keyed"]
        outcome = replay(trace.records(), trace.metadata)
        assert outcome.differences == 0 and outcome.pulls > 60, outcome.first
        totals = summary(trace.records(), trace.metadata.op_types, trace.metadata.tenants)["counts"]
    live = {name: count for name, count in counted.items() if name.startswith(("decided_", "run_ok", "run_err", "ops_read"))}
    assert {name: totals.get(name, 0) for name in live} == live and totals["ops_read"] == 31


def make_node_file(name: str, seed: int, number: int, wall: float, times: list[float], major: int = 2) -> bytes:
    """Return a file with reads and their decisions at those times, ids `NAME-1` and on; the clock reads 100 at `wall`."""
    file, builder = io.BytesIO(), BlockBuilder(major, 0)
    kind = block.decision_kind(major)
    for place, at in enumerate(times, 1):
        builder.add(Record(kinds.READ, at, (place, f"{name}-{place}", 0, 0.0, 1.0, 0, 0, 4711, 0.05, 8.0, 0)))
        builder.add(Record(kind, at, (0, place, 0.0, 0, 0.0) + (("order",) if major > 1 else ())))
    writer = TraceWriter(
        file, TraceMetadata(name, seed, 100.0, wall, number, op_types=["read"], tenants=["Moshi Portal"]), major
    )
    writer.write(builder.encode())
    writer.close()
    return file.getvalue()


def test_merge_of_several_nodes_versions_and_clocks() -> None:
    """Two versions, two nodes of one name, and a clock that stepped back between two files of one incarnation."""
    parts = [
        make_node_file("n1", 1, 1, 5000.0, [101.0, 103.0]),
        make_node_file("n1", 1, 2, 4990.0, [105.0, 107.0]),
        make_node_file("n1", 2, 1, 5000.5, [101.0, 104.0], major=1),
        make_node_file("n2", 3, 1, 5000.0, [102.0]),
    ]
    file = io.BytesIO()
    count, notes = merge([Trace(io.BytesIO(part)) for part in parts], file)
    trace = Trace(file)
    records = list(trace.records())
    assert count == len(records) and trace.metadata.merged == notes
    reads = [(record.time, record.values[1]) for record in records if record.kind is kinds.READ]
    assert reads == [(0.0, "n1-1"), (0.5, "n1-1"), (1.0, "n2-1"), (2.0, "n1-2"), (3.5, "n1-2"), (4.0, "n1-1"), (6.0, "n1-2")]
    assert len({note["node"] for note in notes}) == 3 and [note["clock_stepped"] for note in notes] == [0.0, -10.0, 0.0, 0.0]
    names = {record.values[0]: record.values[1] for record in records if record.kind is kinds.READ}
    assert len(names) == 7 and {record.values[1] for record in records if record.kind is kinds.DECIDED_FOR} == set(names)
    with pytest.raises(IncompleteTraceError, match="merged"):
        replay(records, trace.metadata)


def test_anonymised_file_contains_no_original_names(recorded_trace: tuple[World, bytes]) -> None:
    """Neither in raw or decompressed bytes nor in the metadata. The same key gives the same aliases in another file, and a
    replay still makes the same decisions."""
    aliases = Aliases(b"one key of sixteen bytes")
    source, file = Trace(io.BytesIO(recorded_trace[1])), io.BytesIO()
    metadata = anonymize_metadata(source.metadata, aliases)
    cutting.write(anonymize_records(source.records(), aliases), file, metadata, 2)
    refs = {record.values[1] for record in source.records() if record.kind is kinds.READ}
    data = file.getvalue()
    trace = Trace(file)
    raw = data + b"".join(
        repr(sorted(Block(data[row.offset : row.offset + HEAD_SIZE + row.stored]).columns.items())).encode()
        + b"".join(Block(data[row.offset : row.offset + HEAD_SIZE + row.stored]).columns.values())
        for row in trace.rows
    )
    for ref in refs:
        assert ref.encode() not in raw and bytes.fromhex(ref) not in raw
    assert b"n1" not in data[: START.size + 30]
    outcome = replay(trace.records(), trace.metadata)
    assert outcome.differences == 0 and outcome.decisions > 100
    part = Trace(io.BytesIO(make_node_file("n1", 1, 1, 0.0, [101.0])))
    assert anonymize_metadata(part.metadata, aliases).instance == metadata.instance
    assert anonymize_metadata(part.metadata, Aliases(b"another key of sixteen")).instance != metadata.instance
    (note,) = anonymize_records([Record(kinds.NOTE, 1.0, ("reloaded", "by Juma at Moshi 17"))], aliases)
    assert note.values[0] == "reloaded" and "Juma" not in note.values[1] and len(note.values[1]) == 19


def test_gap_record_counts_everything_a_full_queue_dropped(tmp_path: Path) -> None:
    """Guards against a lost count: a gap record can itself be dropped, and the next one must include it."""
    gate = threading.Event()

    def make_metadata(number: int) -> TraceMetadata:
        gate.wait(10.0)  # the disk hangs at the first file
        return TraceMetadata("n1", 7)

    file_manager = TraceFileManager(TraceBounds(str(tmp_path)), make_metadata)
    notes = [Record(kinds.NOTE, place / 10.0, ("note", "")) for place in range(10)]
    for _ in range(30):
        file_manager.enqueue(notes, 0)
    dropped = file_manager.counts["trace_records_dropped"]
    assert dropped >= 120 and dropped == file_manager.dropped
    gate.set()
    while not file_manager.queue.empty():
        time.sleep(0.01)
    file_manager.enqueue(notes, 0)
    file_manager.close()
    (path,) = tmp_path.glob("*.mht")
    records = list(Trace(io.BytesIO(path.read_bytes())).records())
    assert [record.values[0] for record in records if record.kind is kinds.GAP] == [dropped]
    assert sum(record.kind is kinds.NOTE for record in records) + dropped == 310
