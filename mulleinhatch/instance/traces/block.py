"""One block of a trace file: records as columns, compressed, with a checksum; each block can be read on its own.

Layout (little endian; details in `docs/design/traces.md`): a header of 64 bytes, then the body compressed with Zstandard.
The checksum (xxh3, 64 bits) covers the preceding header and the body as stored.
"""

from __future__ import annotations

import struct
from collections import Counter
from collections.abc import Callable, Iterator
from functools import partial
from typing import Any, NamedTuple

import zstandard
from xxhash import xxh3_64_intdigest

from mulleinhatch.instance.traces.codec import MAX_NUMBERS, MICROS_PER_S, ColumnReader, ColumnWriter, CorruptTraceError
from mulleinhatch.instance.traces.kinds import DECIDED, DECIDED_FOR, KINDS, Kind, Record

MAGIC = b"mhtBLOCK"
# Magic, major, reserved, stored bytes, raw bytes, records, first and last time, highest request number before the block.
HEAD = struct.Struct("<8sHHIIIddQ")
CHECKSUM = struct.Struct("<QQ")  # checksum and eight zero bytes, following the header
HEAD_SIZE = HEAD.size + CHECKSUM.size
MAX_STORED_BYTES, MAX_RAW_BYTES, MAX_RECORDS = (
    8 << 20,
    16 << 20,
    1 << 20,
)  # limits for writers, checked by readers
TIMES, KINDS_COLUMN, TEXTS = 0, 1, 2  # codes of the columns that belong to no kind
COMPRESSOR = zstandard.ZstdCompressor(level=3, write_content_size=True)
HEX = frozenset("0123456789abcdef")


class BlockHeader(NamedTuple):
    """Header of a block.

    Attributes:
        major: Major version of the file format.
        stored: Compressed size of the body in bytes.
        raw: Uncompressed size in bytes.
        records: Number of records.
        first: Time of the first record in seconds.
        last: Latest time of a record.
        newest: Highest request number before the block.
    """

    major: int
    stored: int
    raw: int
    records: int
    first: float
    last: float
    newest: int


class BlockBuilder:
    """Collects records and encodes them as a block.

    Args:
        major: Major version of the file format.
        newest: Highest request number before the block.
    """

    def __init__(self, major: int, newest: int) -> None:
        self.major, self.newest_before, self.newest = major, newest, newest
        self.columns: dict[tuple[int, int], ColumnWriter] = {}
        self.times, self.kinds = ColumnWriter(), bytearray()
        self.texts: dict[str, int] = {}
        self.first = self.last = 0.0
        self.micro = 0
        self.writers: dict[int, list[Callable[[Any], None]]] = {}

    def add(self, record: Record) -> None:
        """Add a record."""
        kind, time, values = record
        micro = round(time * MICROS_PER_S)
        if not self.kinds:
            self.first = self.last = time
            self.micro = micro
        delta, self.micro = micro - self.micro, micro
        self.last = max(self.last, time)
        self.times.varint(2 * delta if delta >= 0 else -2 * delta - 1)
        self.kinds.append(kind.code)
        if values:
            for write_value, value in zip(self.writers.get(kind.code) or self._make_writers(kind), values):
                write_value(value)

    def _make_writers(self, kind: Kind) -> list[Callable[[Any], None]]:
        """Return the functions that write the values of a kind into its columns; cached for later records."""
        writers = self.writers[kind.code] = []
        for column_index, (_, codec) in enumerate(kind.columns):
            column = self.columns[kind.code, column_index] = ColumnWriter()
            writers.append(
                {"whole": column.varint, "number": column.number}.get(codec)
                or partial(
                    {"op": self._put_request, "numbers": self._put_numbers, "ref": self._put_ref, "text": self._put_text}[
                        codec
                    ],
                    column,
                )
            )
        return writers

    def _put_request(self, column: ColumnWriter, value: int) -> None:
        if not value:
            column.data.append(0)
            return
        delta = self.newest - value
        if delta < 0:
            self.newest = value
            column.varint(-2 * delta)
        else:
            column.varint(2 * delta + 1)

    @staticmethod
    def _put_numbers(column: ColumnWriter, values: tuple[float, ...]) -> None:
        column.varint(len(values))
        for value in values:
            column.number(value)

    def _put_ref(self, column: ColumnWriter, ref: str) -> None:
        if len(ref) == 16 and HEX.issuperset(ref):
            column.data.append(0)
            column.data += bytes.fromhex(ref)
        else:
            column.varint(1 + self.texts.setdefault(ref, len(self.texts)))

    def _put_text(self, column: ColumnWriter, text: str) -> None:
        column.varint(self.texts.setdefault(text, len(self.texts)))

    def __len__(self) -> int:
        return len(self.kinds)

    def approximate_size(self) -> int:
        """Return the uncompressed size so far in bytes."""
        return len(self.kinds) + len(self.times.data) + sum(len(column.data) for column in self.columns.values())

    def encode(self) -> bytes:
        """Return the encoded block."""
        writer = ColumnWriter()
        columns = [
            (TIMES, 0, bytes(self.times.data)),
            (KINDS_COLUMN, 0, bytes(self.kinds)),
            (TEXTS, 0, _encode_texts(list(self.texts))),
            *((code + 2, column_index, bytes(column.data)) for (code, column_index), column in sorted(self.columns.items())),
        ]
        writer.varint(len(columns))
        for code, column_index, data in columns:
            writer.varint(code)
            writer.varint(column_index)
            writer.varint(len(data))
        raw = bytes(writer.data) + b"".join(data for _, _, data in columns)
        stored = COMPRESSOR.compress(raw)
        head = HEAD.pack(
            MAGIC, self.major, 0, len(stored), len(raw), len(self.kinds), self.first, self.last, self.newest_before
        )
        return head + CHECKSUM.pack(xxh3_64_intdigest(stored, xxh3_64_intdigest(head)), 0) + stored


def _encode_texts(texts: list[str]) -> bytes:
    writer = ColumnWriter()
    writer.varint(len(texts))
    for text in texts:
        data = text.encode("utf-8", "surrogateescape")
        writer.varint(len(data))
        writer.raw(data)
    return bytes(writer.data)


def _decode_texts(column: ColumnReader) -> list[str]:
    count = column.varint()
    if count > len(column.data):
        raise CorruptTraceError("more texts than bytes")
    return [column.raw(column.varint()).decode("utf-8", "surrogateescape") for _ in range(count)]


def read_header(data: bytes) -> BlockHeader:
    """Decode the first `HEAD_SIZE` bytes of a block and check the sizes against their limits.

    Raises:
        CorruptTraceError: The bytes are not a valid header.
    """
    if len(data) < HEAD_SIZE:
        raise CorruptTraceError("truncated block header")
    magic, major, _, stored, raw, records, first, last, newest = HEAD.unpack_from(data)
    if magic != MAGIC:
        raise CorruptTraceError("no block magic at this offset")
    if stored > MAX_STORED_BYTES or raw > MAX_RAW_BYTES or records > MAX_RECORDS:
        raise CorruptTraceError(f"block exceeds the limits: {stored} bytes, {raw} uncompressed, {records} records")
    return BlockHeader(major, stored, raw, records, first, last, newest)


def verify(data: bytes) -> BlockHeader:
    """Return the header of a complete block whose checksum is correct.

    Raises:
        CorruptTraceError: The block is incomplete or its checksum is wrong.
    """
    head = read_header(data)
    if len(data) < HEAD_SIZE + head.stored:
        raise CorruptTraceError("truncated block")
    body = memoryview(data)[HEAD_SIZE : HEAD_SIZE + head.stored]
    checksum, zero = CHECKSUM.unpack_from(data, HEAD.size)
    if zero or checksum != xxh3_64_intdigest(body, xxh3_64_intdigest(data[: HEAD.size])):
        raise CorruptTraceError("block checksum mismatch")
    return head


class Block:
    """A verified block. `unknown` counts the skipped records of unknown kinds, by code.

    Raises:
        CorruptTraceError: The block is damaged.
    """

    def __init__(self, data: bytes) -> None:
        self.head = verify(data)
        self.unknown: Counter[int] = Counter()
        try:
            raw = zstandard.ZstdDecompressor(max_window_size=1 << 24).decompress(
                data[HEAD_SIZE : HEAD_SIZE + self.head.stored], max_output_size=self.head.raw, allow_extra_data=False
            )
        except zstandard.ZstdError as error:
            raise CorruptTraceError(f"block can't be decompressed: {error}") from None
        if len(raw) != self.head.raw:
            raise CorruptTraceError("uncompressed size differs from the block header")
        self.columns = self._split(raw)
        self.texts = _decode_texts(self._column(TEXTS))
        self.kinds = self._column(KINDS_COLUMN).data
        if len(self.kinds) != self.head.records:
            raise CorruptTraceError("number of records differs from the block header")

    @staticmethod
    def _split(raw: bytes) -> dict[tuple[int, int], bytes]:
        reader = ColumnReader(raw)
        count = reader.varint()
        if count > len(raw):
            raise CorruptTraceError("more columns than bytes")
        sizes = [(reader.varint(), reader.varint(), reader.varint()) for _ in range(count)]
        columns = {(code, column_index): reader.raw(size) for code, column_index, size in sizes}
        if not reader.is_exhausted():
            raise CorruptTraceError("bytes after the last column")
        return columns

    def _column(self, code: int, column_index: int = 0) -> ColumnReader:
        return ColumnReader(self.columns.get((code, column_index), b""))

    def counts(self) -> Counter[str]:
        """Return the number of records by name of their kind."""
        return Counter(
            {KINDS[code].name if code in KINDS else f"kind {code}": count for code, count in Counter(self.kinds).items()}
        )

    def records(self) -> Iterator[Record]:
        """Yield the records in the order written.

        Raises:
            CorruptTraceError: A column ends early or has an invalid value.
        """
        times, micro, newest = self._column(TIMES), _micro(self.head.first), self.head.newest
        columns = {
            code: [(codec, self._column(code + 2, column_index)) for column_index, (_, codec) in enumerate(kind.columns)]
            for code, kind in KINDS.items()
        }
        for code in self.kinds:
            delta = times.varint()
            micro += -(delta + 1) // 2 if delta & 1 else delta // 2
            kind = KINDS.get(code)
            if kind is None:
                self.unknown[code] += 1
                continue
            values = []
            for codec, column in columns[code]:
                value = self._read_value(codec, column, newest)
                if codec == "op":
                    newest = max(newest, value)
                values.append(value)
            yield Record(kind, micro / MICROS_PER_S, tuple(values))

    def _read_value(self, codec: str, column: ColumnReader, newest: int) -> Any:
        if codec == "whole":
            return column.varint()
        if codec == "op":
            encoded = column.varint()
            if not encoded:
                return 0
            value = newest - (encoded - 1) // 2 if encoded & 1 else newest + encoded // 2
            if value <= 0:
                raise CorruptTraceError("request number below 1")
            return value
        if codec == "number":
            return column.number()
        if codec == "numbers":
            count = column.varint()
            if count > MAX_NUMBERS:
                raise CorruptTraceError(f"{count} numbers in one value")
            return tuple(column.number() for _ in range(count))
        text_index = column.varint()
        if codec == "ref":
            if not text_index:
                return column.raw(8).hex()
            text_index -= 1
        if text_index >= len(self.texts):
            raise CorruptTraceError("text index outside the string table")
        return self.texts[text_index]


def _micro(time: float) -> int:
    if not abs(time) < 1e12:
        raise CorruptTraceError(f"invalid time {time}")
    return round(time * MICROS_PER_S)


def decision_kind(major: int) -> Kind:
    """Return the record kind of decisions in files of a major version."""
    return DECIDED_FOR if major >= 2 else DECIDED
