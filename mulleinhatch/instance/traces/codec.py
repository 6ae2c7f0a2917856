"""Columns of bytes: variable-length integers, exact floats and raw bytes. Reading past a bound raises `CorruptTraceError`."""

from __future__ import annotations

import struct

MICRO = 1e6
EXACT = 2**52  # microseconds up to which a float is written as an integer
F64 = struct.Struct("<d")
MAX_NUMBERS = 256  # maximum count in one value of several numbers


class CorruptTraceError(ValueError):
    """Raised for bytes that no writer can have produced; the message states the problem."""


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
        """Append a non-negative integer, 7 bits per byte, least significant first.

        Raises:
            ValueError: The value is negative.
        """
        value = int(value)
        if value < 0:
            raise ValueError(f"{value} is no whole number of 0 or more")
        while value > 127:
            self.data.append(value & 127 | 128)
            value >>= 7
        self.data.append(value)

    def number(self, value: float) -> None:
        """Append a float exactly.

        A number of milliseconds or microseconds is written as an integer: four times the milliseconds, or four times the
        microseconds plus 2. All others are written as a byte 1 and eight bytes.
        """
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
        """Append bytes."""
        self.data += data


class ColumnReader:
    """Reads a column from front to back."""

    def __init__(self, data: bytes) -> None:
        self.data, self.position = data, 0

    def varint(self) -> int:
        """Read a non-negative integer."""
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
        """Read a float."""
        value = self.varint()
        if value == 1:
            return F64.unpack(self.raw(8))[0]
        if value & 1 or value > 4 * EXACT + 2:
            raise CorruptTraceError("a float in no known form")
        return (value >> 2) / MICRO if value & 2 else (value >> 2) * 1000 / MICRO

    def raw(self, count: int) -> bytes:
        """Read `count` bytes."""
        data = self.data[self.position : self.position + count]
        if len(data) < count:
            raise CorruptTraceError("a column is too short")
        self.position += count
        return data

    def is_exhausted(self) -> bool:
        """Return whether all bytes were read."""
        return self.position >= len(self.data)
