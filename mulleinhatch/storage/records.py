"""Records in bytes: length, checksum, kind, body. Pure.

A file is a header and records one after another. Reading stops at the first record that is torn or damaged: what follows it was
never acknowledged, as each sync covers all that stands before.
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass
from enum import IntEnum

MAGIC = b"MHCTL\x00\x01\n"
RECORD = struct.Struct("<IIB")  # length of the body, checksum of kind and body, kind
MOST_BODY = 64 << 20


class RecordKind(IntEnum):
    """What the body of a record is."""

    IDENTITY = 1  # UTF-8 text
    VOTER = 2  # messages.cluster.VoterState
    ENTRY = 3  # messages.cluster.Entry
    SNAPSHOT = 4  # messages.cluster.Snapshot: replaces all entries before it
    COMMIT = 5  # committed index, eight bytes little-endian
    STUBS = 7  # messages.cluster.Heartbeat with the stubs that were present
    SETTLED = 6  # one byte: whether the log holds all that was committed before the view in force began


@dataclass(frozen=True)
class Record:
    kind: int
    body: bytes


def encode(record: Record) -> bytes:
    """
    >>> decode(MAGIC + encode(Record(1, b"abc"))).records
    [Record(kind=1, body=b'abc')]
    """
    checksum = zlib.crc32(record.body, zlib.crc32(bytes([record.kind])))
    return RECORD.pack(len(record.body), checksum, record.kind) + record.body


@dataclass(frozen=True)
class Contents:
    """What a file holds: its whole records, and the size up to which they reach."""

    records: list[Record]
    valid_size: int


class NotOurFile(ValueError):
    """The file begins with something else."""


def decode(data: bytes) -> Contents:
    """Reads as many whole records as there are. NotOurFile where the header is another's; a torn header holds nothing."""
    if len(data) < len(MAGIC):
        return Contents([], 0)
    if data[: len(MAGIC)] != MAGIC:
        raise NotOurFile("not a control state file; move it away, and the state comes from the other machines")
    records, at = [], len(MAGIC)
    while at + RECORD.size <= len(data):
        length, checksum, kind = RECORD.unpack_from(data, at)
        body = data[at + RECORD.size : at + RECORD.size + length]
        if length > MOST_BODY or len(body) < length or zlib.crc32(body, zlib.crc32(bytes([kind]))) != checksum:
            break
        records.append(Record(kind, body))
        at += RECORD.size + length
    return Contents(records, at)
