"""A trace file: a header, blocks, and an index at the end. Reading needs no more than one block at a time.

As much as possible is read: a damaged block is skipped, a truncated file is read up to its end, and a missing or
inconsistent index is rebuilt from the block headers.
"""

from __future__ import annotations

import io
import struct
from collections.abc import Iterator
from typing import Any, BinaryIO, NamedTuple

import msgspec
from xxhash import xxh3_64_intdigest

from mulleinhatch.instance.traces import block
from mulleinhatch.instance.traces.block import HEAD_SIZE, Block, BlockHeader
from mulleinhatch.instance.traces.codec import CorruptTraceError
from mulleinhatch.instance.traces.kinds import MAJORS, MINOR, Record

MAGIC = b"mhtTRACE"
START = struct.Struct("<8sHHIQ")  # magic, major, minor, size and checksum of the metadata
MAX_METADATA_BYTES = 4 << 20
INDEX_MAGIC, INDEX_ROW = b"mhtINDEX", struct.Struct("<QIIdd")  # offset, stored bytes, records, first and last time
INDEX_HEAD, INDEX_TAIL = struct.Struct("<8sI"), struct.Struct("<IQ8s")  # magic, rows; rows, checksum, magic
MAX_INDEX_ENTRIES = 1 << 22
SCAN_CHUNK_BYTES = 1 << 16  # read size when searching for the next block


class UnreadableTraceError(ValueError):
    """Raised for a file that is not a trace file, is damaged at its start, or has an unsupported major version."""


class TraceMetadata(msgspec.Struct, frozen=True):
    """Origin of a trace file, stored as a MessagePack map: the field names are part of the file format.

    Attributes:
        instance: Name of the instance.
        seed: Seed of its admission controller.
        clock: The instance's clock in seconds when the metadata was made.
        wall: Unix time at that moment.
        number: Sequence number of the file within its process.
        deployment: Settings the admission controller was created with.
        op_types: Names of the request types.
        tenants: Names of the tenants.
        policy: Digest of the admission controller's source.
        made_by: Program and version.
        merged: The sources of a merged file.
    """

    instance: str
    seed: int
    clock: float = 0.0
    wall: float = 0.0
    number: int = 0
    deployment: dict[str, Any] = {}
    op_types: list[str] = []
    tenants: list[str] = []
    policy: str = ""
    made_by: str = ""
    merged: list[dict[str, Any]] = []


class IndexEntry(NamedTuple):
    """Index entry of a block: byte offset, stored bytes, number of records, first and last time."""

    offset: int
    stored: int
    records: int
    first: float
    last: float


class UnreadableBlock(NamedTuple):
    """A block that could not be read: its offset, the reason, and the content that its header or the index states."""

    offset: int
    why: str
    records: int = 0
    first: float = 0.0
    last: float = 0.0


def encode_header(metadata: TraceMetadata, major: int, minor: int = MINOR) -> bytes:
    """Return the header of a file."""
    body = msgspec.msgpack.encode(metadata)
    return START.pack(MAGIC, major, minor, len(body), xxh3_64_intdigest(body)) + body


def encode_index(rows: list[IndexEntry]) -> bytes:
    """Return the index of a file."""
    body = b"".join(INDEX_ROW.pack(*row) for row in rows)
    head = INDEX_HEAD.pack(INDEX_MAGIC, len(rows))
    return head + body + INDEX_TAIL.pack(len(rows), xxh3_64_intdigest(head + body), INDEX_MAGIC)


class TraceWriter:
    """Writes blocks to a binary file, positioned at its start; `close` writes the index.

    Args:
        file: File to write to.
        metadata: Metadata of the file.
        major: Major version of the format.
    """

    def __init__(self, file: BinaryIO, metadata: TraceMetadata, major: int = MAJORS[-1]) -> None:
        self.file, self.major, self.rows = file, major, []
        head = encode_header(metadata, major)
        file.write(head)
        self.offset = len(head)

    def write(self, data: bytes) -> None:
        """Write an encoded block."""
        head = block.read_header(data)
        self.file.write(data)
        self.rows.append(IndexEntry(self.offset, head.stored, head.records, head.first, head.last))
        self.offset += len(data)

    def close(self) -> None:
        """Write the index and flush; the file stays open."""
        self.file.write(encode_index(self.rows))
        self.file.flush()


class Trace:
    """Reads a trace file. `lost` lists the blocks that could not be read.

    Args:
        file: Seekable binary file.

    Raises:
        UnreadableTraceError: The file is not a trace file, its version is not supported, or its metadata is damaged.

    >>> from mulleinhatch.instance.traces.kinds import NOTE
    >>> file = io.BytesIO()
    >>> writer, built = TraceWriter(file, TraceMetadata("n1", 7)), block.BlockBuilder(2, 0)
    >>> built.add(Record(NOTE, 1.5, ("start", "")))
    >>> writer.write(built.encode()); writer.close()
    >>> trace = Trace(file); [record.named() for record in trace.records()], trace.indexed, trace.lost
    ([{'what': 'start', 'detail': ''}], True, [])
    >>> cut = Trace(io.BytesIO(file.getvalue()[:-50])); len(list(cut.records())), cut.indexed
    (1, False)
    """

    def __init__(self, file: BinaryIO) -> None:
        self.file = file
        self.size = file.seek(0, io.SEEK_END)
        file.seek(0)
        start = file.read(START.size)
        if not start:
            raise UnreadableTraceError("the file is empty")
        if len(start) < START.size or start[:8] != MAGIC:
            raise UnreadableTraceError("not a trace file")
        _, self.major, self.minor, size, checksum = START.unpack(start)
        if self.major not in MAJORS:
            raise UnreadableTraceError(
                f"version {self.major}.{self.minor}: supported major versions are {', '.join(map(str, MAJORS))}"
            )
        body = file.read(size) if size <= MAX_METADATA_BYTES else b""
        if len(body) < size or xxh3_64_intdigest(body) != checksum:
            raise UnreadableTraceError("the metadata at the start is damaged")
        try:
            self.metadata = msgspec.msgpack.decode(body, type=TraceMetadata)
        except msgspec.DecodeError as error:
            raise UnreadableTraceError(f"invalid metadata at the start: {error}") from None
        self.start = START.size + size
        self.lost: list[UnreadableBlock] = []
        self.unknown = 0
        rows = self._index()
        self.indexed = rows is not None
        self.rows = self._scan() if rows is None else rows

    def _read(self, offset: int, count: int) -> bytes:
        self.file.seek(offset)
        return self.file.read(count)

    def _index(self) -> list[IndexEntry] | None:
        """Return the index if it is present and consistent: in order, contiguous and within the file."""
        if self.size < self.start + INDEX_HEAD.size + INDEX_TAIL.size:
            return None
        count, checksum, magic = INDEX_TAIL.unpack(self._read(self.size - INDEX_TAIL.size, INDEX_TAIL.size))
        size = INDEX_HEAD.size + count * INDEX_ROW.size
        offset = self.size - INDEX_TAIL.size - size
        if magic != INDEX_MAGIC or count > MAX_INDEX_ENTRIES or offset < self.start:
            return None
        body = self._read(offset, size)
        if xxh3_64_intdigest(body) != checksum:
            return None
        rows = [IndexEntry(*row) for row in INDEX_ROW.iter_unpack(body[INDEX_HEAD.size :])]
        at = self.start
        for row in rows:
            if row.offset != at or row.stored > block.MAX_STORED_BYTES:
                return None
            at += HEAD_SIZE + row.stored
        return rows if at == offset else None

    def _scan(self) -> list[IndexEntry]:
        """Rebuild the index from the block headers; after a damaged one, search for the next by its magic number."""
        rows, offset = [], self.start
        while offset < self.size:
            data = self._read(offset, HEAD_SIZE)
            if data.startswith(INDEX_MAGIC):
                break
            try:
                head = block.read_header(data)
            except CorruptTraceError as error:
                next_offset = self._find_next_block(offset + 1)
                self.lost.append(UnreadableBlock(offset, str(error)))
                if next_offset is None:
                    break
                offset = next_offset
                continue
            if offset + HEAD_SIZE + head.stored > self.size:
                next_offset = self._find_next_block(offset + 1)
                self.lost.append(UnreadableBlock(offset, "truncated block", head.records, head.first, head.last))
                if next_offset is None:
                    break
                offset = next_offset
                continue
            rows.append(IndexEntry(offset, head.stored, head.records, head.first, head.last))
            offset += HEAD_SIZE + head.stored
        return rows

    def _find_next_block(self, offset: int) -> int | None:
        """Return the offset of the next block at or after `offset`, or None."""
        tail = b""
        while offset < self.size:
            data = tail + self._read(offset, SCAN_CHUNK_BYTES)
            found = data.find(block.MAGIC)
            if found >= 0:
                return offset - len(tail) + found
            offset += SCAN_CHUNK_BYTES
            tail = data[-len(block.MAGIC) + 1 :]
        return None

    def block(self, row: IndexEntry) -> Block | None:
        """Return a block; if it is damaged, add it to `lost` and return None."""
        try:
            return Block(self._read(row.offset, HEAD_SIZE + row.stored))
        except CorruptTraceError as error:
            self.lost.append(UnreadableBlock(row.offset, str(error), row.records, row.first, row.last))
            return None

    def blocks(self, since: float | None = None, until: float | None = None) -> Iterator[tuple[BlockHeader, Block]]:
        """Yield headers and blocks that overlap a time span, in seconds of the instance's clock."""
        for row in self.rows:
            if (since is None or row.last >= since) and (until is None or row.first <= until) and (read := self.block(row)):
                yield read.head, read

    def records(self, since: float | None = None, until: float | None = None) -> Iterator[Record]:
        """Yield the records of a time span in the order written; a block whose columns turn out damaged ends early."""
        for head, read in self.blocks(since, until):
            try:
                for record in read.records():
                    if (since is None or record.time >= since) and (until is None or record.time <= until):
                        yield record
            except CorruptTraceError as error:
                self.lost.append(UnreadableBlock(0, str(error), head.records, head.first, head.last))
            self.unknown += sum(read.unknown.values())
