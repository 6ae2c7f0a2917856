"""Columns of bytes: variable-length integers, exact floats and raw bytes. Reading beyond the end raises `CorruptTraceError`."""

from __future__ import annotations

import struct

MICROS_PER_S = 1e6
MAX_EXACT_MICROS = 2**52  # largest number of microseconds written as an integer
F64 = struct.Struct("<d")
MAX_NUMBERS = 256  # maximum count in one value of several numbers


class CorruptTraceError(ValueError):
    """Raised for bytes that no writer can have produced."""


class ColumnWriter:
    """Encodes the values of a column.

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
            raise ValueError(f"{value} is not a non-negative integer")
        while value > 127:
            self.data.append(value & 127 | 128)
            value >>= 7
        self.data.append(value)

    def number(self, value: float) -> None:
        """Append a float exactly.

        A number of milliseconds or microseconds is written as an integer: four times the milliseconds, or four times the
        microseconds plus 2. All others are written as a byte 1, then the eight bytes of an IEEE 754 double.
        """
        micro = value * MICROS_PER_S
        if (
            0.0 <= micro < MAX_EXACT_MICROS
            and (whole_micros := round(micro)) / MICROS_PER_S == value
            and (whole_micros or str(value)[0] != "-")
        ):
            if whole_micros % 1000:
                self.varint(4 * whole_micros + 2)
            else:
                self.varint(4 * (whole_micros // 1000))
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
                raise CorruptTraceError("unterminated variable-length integer")
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
        if value & 1 or value > 4 * MAX_EXACT_MICROS + 2:
            raise CorruptTraceError("unknown encoding of a float")
        return (value >> 2) / MICROS_PER_S if value & 2 else (value >> 2) * 1000 / MICROS_PER_S

    def raw(self, count: int) -> bytes:
        """Read `count` bytes."""
        data = self.data[self.position : self.position + count]
        if len(data) < count:
            raise CorruptTraceError("column ends early")
        self.position += count
        return data

    def is_exhausted(self) -> bool:
        """Return whether all bytes were read."""
        return self.position >= len(self.data)
