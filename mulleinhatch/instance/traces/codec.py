"""Columns of bytes: whole numbers, exact floats, ids, texts. Reading past any bound raises `CorruptTraceError`."""

from __future__ import annotations

import struct

MICRO = 1e6
EXACT = 2**52  # whole microseconds up to which a float is told as one
F64 = struct.Struct("<d")
MOST_NUMBERS = 256  # in one value of several


class CorruptTraceError(ValueError):
    """What was read can't have been written; the text says what."""


class Out:
    """A column under construction.

    >>> out = Out()
    >>> out.whole(300); out.number(0.25); out.number(1 / 3); out.number(-2.0); len(out.data)
    22
    >>> into = In(bytes(out.data)); into.whole(), into.number(), into.number() == 1 / 3, into.number()
    (300, 0.25, True, -2.0)
    """

    def __init__(self) -> None:
        self.data = bytearray()

    def whole(self, value: int) -> None:
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
        if 0.0 <= micro < EXACT and (whole := round(micro)) / MICRO == value and (whole or str(value)[0] != "-"):
            if whole % 1000:
                self.whole(4 * whole + 2)
            else:
                self.whole(4 * (whole // 1000))
        else:
            self.data.append(1)
            self.data += F64.pack(value)

    def raw(self, data: bytes) -> None:
        self.data += data


class In:
    """A column to be read from front to back."""

    def __init__(self, data: bytes) -> None:
        self.data, self.at = data, 0

    def whole(self) -> int:
        value = shift = 0
        data, at = self.data, self.at
        while True:
            if at >= len(data) or shift > 63:
                raise CorruptTraceError("a number has no end")
            byte = data[at]
            at += 1
            value |= (byte & 127) << shift
            if byte < 128:
                self.at = at
                return value
            shift += 7

    def number(self) -> float:
        value = self.whole()
        if value == 1:
            return F64.unpack(self.raw(8))[0]
        if value & 1 or value > 4 * EXACT + 2:
            raise CorruptTraceError("a float in no known form")
        return (value >> 2) / MICRO if value & 2 else (value >> 2) * 1000 / MICRO

    def raw(self, count: int) -> bytes:
        data = self.data[self.at : self.at + count]
        if len(data) < count:
            raise CorruptTraceError("a column is too short")
        self.at += count
        return data

    def over(self) -> bool:
        return self.at >= len(self.data)
