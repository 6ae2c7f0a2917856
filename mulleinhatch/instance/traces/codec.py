"""Columns of bytes: whole numbers, exact floats, ids, texts. Reading past any bound raises `CorruptTraceError`."""

from __future__ import annotations

import struct

MICRO = 1e6
EXACT = 2**52  # whole microseconds up to which a float is told as one
F64 = struct.Struct("<d")
MAX_NUMBERS = 256  # in one value of several


class CorruptTraceError(ValueError):
    """What was read can't have been written; the text says what."""


class ColumnWriter:
    """A column under construction.

    >>> out = ColumnWriter()
    >>> out.varint(300); out.number(0.25); out.number(1 / 3); out.number(-2.0); len(out.data)
    22
    >>> into = ColumnReader(bytes(out.data)); into.varint(), into.number(), into.number() == 1 / 3, into.number()
    (300, 0.25, True, -2.0)
    """

    def __init__(self) -> None:
        self.data = bytearray()

    def varint(self, value: int) -> None:
        value = int(value)
        if value < 0:
            raise ValueError(f"{value} is no whole number of 0 or more")
        while value > 127:
            self.data.append(value & 127 | 128)
            value >>= 7
        self.data.append(value)

    def number(self, value: float) -> None:
        """Four times its whole thousandths, where that is exact; else four times its whole millionths, and 2; else, and
        below zero, a 1 and its eight bytes."""
        micro = value * MICRO
        if 0.0 <= micro < EXACT and (varint := round(micro)) / MICRO == value and (varint or str(value)[0] != "-"):
            if varint % 1000:
                self.varint(4 * varint + 2)
            else:
                self.varint(4 * (varint // 1000))
        else:
            self.data.append(1)
            self.data += F64.pack(value)

    def raw(self, data: bytes) -> None:
        self.data += data


class ColumnReader:
    """A column to be read from front to back."""

    def __init__(self, data: bytes) -> None:
        self.data, self.position = data, 0

    def varint(self) -> int:
        value = shift = 0
        data, position = self.data, self.position
        while True:
            if position >= len(data) or shift > 63:
                raise CorruptTraceError("a number has no end")
            byte = data[position]
            position += 1
            value |= (byte & 127) << shift
            if byte < 128:
                self.position = position
                return value
            shift += 7

    def number(self) -> float:
        value = self.varint()
        if value == 1:
            return F64.unpack(self.raw(8))[0]
        if value & 1 or value > 4 * EXACT + 2:
            raise CorruptTraceError("a float in no known form")
        return (value >> 2) / MICRO if value & 2 else (value >> 2) * 1000 / MICRO

    def raw(self, count: int) -> bytes:
        data = self.data[self.position : self.position + count]
        if len(data) < count:
            raise CorruptTraceError("a column is too short")
        self.position += count
        return data

    def is_exhausted(self) -> bool:
        return self.position >= len(self.data)
