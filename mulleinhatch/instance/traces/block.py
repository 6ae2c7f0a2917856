"""One block: records as columns, compressed, with a checksum; it needs no other block to be read.

Layout (little endian), as `docs/design/traces.md` tells byte by byte: a head of 64 bytes, then the body, compressed by
zstandard. The checksum (xxh3, 64 bits) covers the head before it and the body as stored.
"""

from __future__ import annotations

import struct
from collections import Counter
from collections.abc import Callable, Iterator
from functools import partial
from typing import Any, NamedTuple

import zstandard
from xxhash import xxh3_64_intdigest

from mulleinhatch.instance.traces.codec import MICRO, MOST_NUMBERS, CorruptTraceError, In, Out
from mulleinhatch.instance.traces.kinds import DECIDED, DECIDED_FOR, KINDS, Kind, Record

MAGIC = b"mhtBLOCK"
# magic, major, reserved, stored bytes, raw bytes, records, first and last time, newest op before it; then the checksum
HEAD = struct.Struct("<8sHHIIIddQ")
SUM = struct.Struct("<QQ")  # checksum, and eight bytes that are zero
HEAD_SIZE = HEAD.size + SUM.size
MOST_STORED, MOST_RAW, MOST_RECORDS = 8 << 20, 16 << 20, 1 << 20  # what no block of ours exceeds, and no reader believes
TIMES, KINDS_COLUMN, TEXTS = 0, 1, 2  # columns that belong to no kind
PACKER = zstandard.ZstdCompressor(level=3, write_content_size=True)
HEX = frozenset("0123456789abcdef")


class Head(NamedTuple):
    major: int
    stored: int
    raw: int
    records: int
    first: float
    last: float
    newest: int


class Builder:
    """Takes records until it is told to give the block."""

    def __init__(self, major: int, newest: int) -> None:
        self.major, self.newest_before, self.newest = major, newest, newest
        self.columns: dict[tuple[int, int], Out] = {}
        self.times, self.kinds = Out(), bytearray()
        self.texts: dict[str, int] = {}
        self.first = self.last = 0.0
        self.micro = 0
        self.puts: dict[int, list[Callable[[Any], None]]] = {}

    def add(self, record: Record) -> None:
        kind, time, values = record
        micro = round(time * MICRO)
        if not self.kinds:
            self.first = self.last = time
            self.micro = micro
        apart, self.micro = micro - self.micro, micro
        self.last = max(self.last, time)
        self.times.whole(2 * apart if apart >= 0 else -2 * apart - 1)
        self.kinds.append(kind.code)
        if values:
            for put, value in zip(self.puts.get(kind.code) or self._puts(kind), values):
                put(value)

    def _puts(self, kind: Kind) -> list[Callable[[Any], None]]:
        """How the values of that kind go into their columns, settled at its first record."""
        puts = self.puts[kind.code] = []
        for place, (_, codec) in enumerate(kind.columns):
            column = self.columns[kind.code, place] = Out()
            puts.append(
                {"whole": column.whole, "number": column.number}.get(codec)
                or partial({"op": self._op, "numbers": self._numbers, "ref": self._ref, "text": self._text}[codec], column)
            )
        return puts

    def _op(self, column: Out, value: int) -> None:
        if not value:
            column.data.append(0)
            return
        apart = self.newest - value
        if apart < 0:
            self.newest = value
            column.whole(-2 * apart)
        else:
            column.whole(2 * apart + 1)

    @staticmethod
    def _numbers(column: Out, values: tuple[float, ...]) -> None:
        column.whole(len(values))
        for value in values:
            column.number(value)

    def _ref(self, column: Out, ref: str) -> None:
        if len(ref) == 16 and HEX.issuperset(ref):
            column.data.append(0)
            column.data += bytes.fromhex(ref)
        else:
            column.whole(1 + self.texts.setdefault(ref, len(self.texts)))

    def _text(self, column: Out, text: str) -> None:
        column.whole(self.texts.setdefault(text, len(self.texts)))

    def __len__(self) -> int:
        return len(self.kinds)

    def roughly(self) -> int:
        """Raw bytes so far."""
        return len(self.kinds) + len(self.times.data) + sum(len(column.data) for column in self.columns.values())

    def block(self) -> bytes:
        out = Out()
        columns = [
            (TIMES, 0, bytes(self.times.data)),
            (KINDS_COLUMN, 0, bytes(self.kinds)),
            (TEXTS, 0, _texts_out(list(self.texts))),
            *((code + 2, place, bytes(column.data)) for (code, place), column in sorted(self.columns.items())),
        ]
        out.whole(len(columns))
        for code, place, data in columns:
            out.whole(code)
            out.whole(place)
            out.whole(len(data))
        raw = bytes(out.data) + b"".join(data for _, _, data in columns)
        stored = PACKER.compress(raw)
        head = HEAD.pack(
            MAGIC, self.major, 0, len(stored), len(raw), len(self.kinds), self.first, self.last, self.newest_before
        )
        return head + SUM.pack(xxh3_64_intdigest(stored, xxh3_64_intdigest(head)), 0) + stored


def _texts_out(texts: list[str]) -> bytes:
    out = Out()
    out.whole(len(texts))
    for text in texts:
        data = text.encode("utf-8", "surrogateescape")
        out.whole(len(data))
        out.raw(data)
    return bytes(out.data)


def _texts_in(column: In) -> list[str]:
    count = column.whole()
    if count > len(column.data):
        raise CorruptTraceError("more texts than bytes")
    return [column.raw(column.whole()).decode("utf-8", "surrogateescape") for _ in range(count)]


def head_of(data: bytes) -> Head:
    """The head alone, bounds looked at before anything is believed; `data` holds `HEAD_SIZE` bytes."""
    if len(data) < HEAD_SIZE:
        raise CorruptTraceError("a block's head is cut")
    magic, major, _, stored, raw, records, first, last, newest = HEAD.unpack_from(data)
    if magic != MAGIC:
        raise CorruptTraceError("no block begins here")
    if stored > MOST_STORED or raw > MOST_RAW or records > MOST_RECORDS:
        raise CorruptTraceError(f"a block of {stored} bytes, {raw} raw, {records} records")
    return Head(major, stored, raw, records, first, last, newest)


def check(data: bytes) -> Head:
    """Head and checksum of a whole block."""
    head = head_of(data)
    if len(data) < HEAD_SIZE + head.stored:
        raise CorruptTraceError("a block is cut")
    body = memoryview(data)[HEAD_SIZE : HEAD_SIZE + head.stored]
    checksum, zero = SUM.unpack_from(data, HEAD.size)
    if zero or checksum != xxh3_64_intdigest(body, xxh3_64_intdigest(data[: HEAD.size])):
        raise CorruptTraceError("a block's checksum does not fit")
    return head


class Block:
    """A block that was checked; its records one after another. `unknown` counts those of kinds that this text lacks."""

    def __init__(self, data: bytes) -> None:
        self.head = check(data)
        self.unknown: Counter[int] = Counter()
        try:
            raw = zstandard.ZstdDecompressor(max_window_size=1 << 24).decompress(
                data[HEAD_SIZE : HEAD_SIZE + self.head.stored], max_output_size=self.head.raw, allow_extra_data=False
            )
        except zstandard.ZstdError as error:
            raise CorruptTraceError(f"a block can't be decompressed: {error}") from None
        if len(raw) != self.head.raw:
            raise CorruptTraceError("a block is of another length than it says")
        self.columns = self._split(raw)
        self.texts = _texts_in(self._column(TEXTS))
        self.kinds = self._column(KINDS_COLUMN).data
        if len(self.kinds) != self.head.records:
            raise CorruptTraceError("a block has other records than it says")

    @staticmethod
    def _split(raw: bytes) -> dict[tuple[int, int], bytes]:
        into = In(raw)
        count = into.whole()
        if count > len(raw):
            raise CorruptTraceError("more columns than bytes")
        told = [(into.whole(), into.whole(), into.whole()) for _ in range(count)]
        columns = {(code, place): into.raw(size) for code, place, size in told}
        if not into.over():
            raise CorruptTraceError("bytes behind the last column")
        return columns

    def _column(self, code: int, place: int = 0) -> In:
        return In(self.columns.get((code, place), b""))

    def counts(self) -> Counter[str]:
        return Counter(
            {KINDS[code].name if code in KINDS else f"kind {code}": count for code, count in Counter(self.kinds).items()}
        )

    def records(self) -> Iterator[Record]:
        times, micro, newest = self._column(TIMES), _micro(self.head.first), self.head.newest
        columns = {
            code: [(codec, self._column(code + 2, place)) for place, (_, codec) in enumerate(kind.columns)]
            for code, kind in KINDS.items()
        }
        for code in self.kinds:
            apart = times.whole()
            micro += -(apart + 1) // 2 if apart & 1 else apart // 2
            kind = KINDS.get(code)
            if kind is None:
                self.unknown[code] += 1
                continue
            values = []
            for codec, column in columns[code]:
                value = self._get(codec, column, newest)
                if codec == "op":
                    newest = max(newest, value)
                values.append(value)
            yield Record(kind, micro / MICRO, tuple(values))

    def _get(self, codec: str, column: In, newest: int) -> Any:
        if codec == "whole":
            return column.whole()
        if codec == "op":
            told = column.whole()
            if not told:
                return 0
            value = newest - (told - 1) // 2 if told & 1 else newest + told // 2
            if value <= 0:
                raise CorruptTraceError("an op before the first")
            return value
        if codec == "number":
            return column.number()
        if codec == "numbers":
            count = column.whole()
            if count > MOST_NUMBERS:
                raise CorruptTraceError(f"{count} numbers in one value")
            return tuple(column.number() for _ in range(count))
        place = column.whole()
        if codec == "ref":
            if not place:
                return column.raw(8).hex()
            place -= 1
        if place >= len(self.texts):
            raise CorruptTraceError("a text that is not in the table")
        return self.texts[place]


def _micro(time: float) -> int:
    if not abs(time) < 1e12:
        raise CorruptTraceError(f"a time of {time}")
    return round(time * MICRO)


def decided(major: int) -> Kind:
    """The kind of record that a decision is in a file of that version."""
    return DECIDED_FOR if major >= 2 else DECIDED
