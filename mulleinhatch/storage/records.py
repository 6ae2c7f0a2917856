"""The binary format of the control state file. Pure.

A file is a header and records in sequence: length, checksum, kind, body. Reading stops at the first record that is torn or
damaged. Nothing after it was ever acknowledged, because each sync covers everything before it.
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass
from enum import IntEnum

from mulleinhatch.errors import StorageError

FORMAT_ID, FORMAT_VERSION = b"MHCTL\x00", b"\x01\n"
MAGIC = FORMAT_ID + FORMAT_VERSION
RECORD_HEADER = struct.Struct("<IIB")  # length of the body, checksum of kind and body, kind
MAX_BODY_BYTES = 64 << 20


class RecordKind(IntEnum):
    """The type of the body of a record. The numbers are stored."""

    IDENTITY = 1  # UTF-8 text
    VOTER = 2  # messages.cluster.VoterState
    ENTRY = 3  # messages.cluster.Entry
    SNAPSHOT = 4  # messages.cluster.Snapshot: replaces all entries before it
    COMMIT = 5  # committed index, eight bytes little-endian
    BACKENDS = 7  # messages.cluster.Heartbeat with the backends that were present
    LOG_COMPLETE = 6  # one byte: whether the log holds every entry committed before the current view began


class ForeignFileError(StorageError, ValueError):
    """The file was not written by this software."""


class UnsupportedVersionError(StorageError, ValueError):
    """The file was written by a version of this software whose format this one cannot read."""


@dataclass(frozen=True)
class Record:
    """One record: its kind (a RecordKind, or a number that a newer version added) and its body."""

    kind: int
    body: bytes


@dataclass(frozen=True)
class LogContents:
    """The contents of a file: its complete records, and the size in bytes up to the end of the last one."""

    records: list[Record]
    valid_size: int


def encode_record(record: Record) -> bytes:
    """Return the bytes of a record.

    >>> decode_log(MAGIC + encode_record(Record(1, b"abc"))).records
    [Record(kind=1, body=b'abc')]
    """
    return RECORD_HEADER.pack(len(record.body), _checksum(record.kind, record.body), record.kind) + record.body


def decode_log(data: bytes) -> LogContents:
    """Decode a file: every complete record before the first torn or damaged one.

    A file whose header is torn contains nothing.

    Raises:
        ForeignFileError: The header is that of another kind of file.
        UnsupportedVersionError: The header is that of another version of the format.
    """
    if not data.startswith(MAGIC):
        _check_header(data[: len(MAGIC)])
        return LogContents([], 0)
    records = []
    offset = len(MAGIC)
    while offset + RECORD_HEADER.size <= len(data):
        length, checksum, kind = RECORD_HEADER.unpack_from(data, offset)
        body_offset = offset + RECORD_HEADER.size
        body = data[body_offset : body_offset + length]
        if length > MAX_BODY_BYTES or len(body) < length or _checksum(kind, body) != checksum:
            break
        records.append(Record(kind, body))
        offset = body_offset + length
    return LogContents(records, offset)


def _checksum(kind: int, body: bytes) -> int:
    return zlib.crc32(body, zlib.crc32(bytes([kind])))


def _check_header(header: bytes) -> None:
    """Raise an error for a header that is not MAGIC, unless it is torn."""
    if _is_torn(header):
        return
    if header.startswith(FORMAT_ID):
        raise UnsupportedVersionError("the control state file is of another version; start the version that wrote it")
    raise ForeignFileError("not a control state file; move it away, and the state is fetched from the other nodes")


def _is_torn(header: bytes) -> bool:
    """Return whether a header was never synced.

    After a power loss, its unsynced bytes are missing or zero. Then nothing after the header was synced either.
    """
    return len(header) < len(MAGIC) or all(byte in (0, expected) for byte, expected in zip(header, MAGIC))
