"""The control state file: opened once, appended and synced, and replaced by a rewritten file when it gets long.

All calls block on the disk; a control-plane node makes them from its single disk thread.
"""

from __future__ import annotations

import logging
import os
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path

from mulleinhatch.storage.records import MAGIC, ForeignFileError, LogContents, Record, decode_log, encode_record

LOG = logging.getLogger(__name__)
LOG_NAME, REWRITE_NAME = "control.log", "control.new"
READ_CHUNK_BYTES = 1 << 20


class AppendLog:
    """One file of records in a directory of its own.

    A failed call leaves the file in one of these states; the next append or rewrite repairs it first:

    | event | consequence | repair |
    | --- | --- | --- |
    | a write or sync of the file fails | its end may be damaged | truncate to the last synced size |
    | the rewritten file is renamed, the directory sync fails | a restart may find the old file | sync the directory again |
    | the rewritten file fails before the rename | none, the old file stays | none |

    Args:
        directory: Holds nothing but this file; created by `open` if missing.

    Attributes:
        size: Size in bytes up to which the file is synced.
    """

    def __init__(self, directory: str) -> None:
        self._directory = Path(directory)
        self._path = self._directory / LOG_NAME
        self._descriptor = -1
        self._has_damaged_end = False
        self._is_rename_unsynced = False
        self.size = 0

    def open(self) -> list[Record]:
        """Open the file and return its records; create it if missing.

        A torn end is truncated. A file that this software did not write is moved to another name in the same directory.

        Raises:
            OSError: A system call failed.
            UnsupportedVersionError: Another version of the software wrote the file; it stays as it is.
        """
        os.makedirs(self._directory, exist_ok=True)
        contents = self._read()
        descriptor = os.open(self._path, os.O_RDWR | os.O_CREAT, 0o600)
        with _closed_on_error(descriptor):
            os.ftruncate(descriptor, contents.valid_size)
            if not contents.valid_size:
                _write_all(descriptor, MAGIC)
            size = contents.valid_size or len(MAGIC)
            os.lseek(descriptor, size, os.SEEK_SET)
            os.fsync(descriptor)
            _sync_directory(self._directory)
        self._descriptor, self.size = descriptor, size
        return contents.records

    def append(self, records: Iterable[Record]) -> None:
        """Append records and sync them.

        Raises:
            OSError: The caller must treat none of the records as written; the next call repairs the file.
        """
        data = b"".join(encode_record(record) for record in records)
        self._repair()
        self._has_damaged_end = True
        _write_all(self._descriptor, data)
        os.fdatasync(self._descriptor)
        self._has_damaged_end = False
        self.size += len(data)

    def rewrite(self, records: Iterable[Record]) -> None:
        """Replace the file by one with just these records.

        Raises:
            OSError: Either the old or the new file is in use; the caller must pass records that describe the same state.
        """
        data = MAGIC + b"".join(encode_record(record) for record in records)
        self._repair()
        rewrite_path = self._directory / REWRITE_NAME
        descriptor = os.open(rewrite_path, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
        with _closed_on_error(descriptor):
            _write_all(descriptor, data)
            os.fsync(descriptor)
            os.replace(rewrite_path, self._path)
        previous_descriptor, self._descriptor, self.size = self._descriptor, descriptor, len(data)
        self._is_rename_unsynced = True
        os.close(previous_descriptor)
        self._repair()

    def close(self) -> None:
        """Close the file; a second call does nothing."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1

    def _read(self) -> LogContents:
        try:
            return decode_log(_read_all(self._path))
        except ForeignFileError as error:
            quarantine_path = self._path.with_name(f"{LOG_NAME}.foreign")
            LOG.error(
                "moved a file that is not a control state file to another name; the state comes from the other nodes",
                extra={"error": str(error), "moved_to": str(quarantine_path)},
            )
            os.replace(self._path, quarantine_path)
            return LogContents([], 0)

    def _repair(self) -> None:
        """Undo the effects of a failed call.

        Its bytes must not precede the next record, and the open file must be the one that a restart finds.
        """
        if self._is_rename_unsynced:
            _sync_directory(self._directory)
            self._is_rename_unsynced = False
        if self._has_damaged_end:
            os.ftruncate(self._descriptor, self.size)
            os.lseek(self._descriptor, self.size, os.SEEK_SET)
            os.fsync(self._descriptor)
            self._has_damaged_end = False


@contextmanager
def _closed_on_error(descriptor: int) -> Iterator[None]:
    """Close a descriptor if the block raises; otherwise leave it open."""
    try:
        yield
    except BaseException:
        os.close(descriptor)
        raise


@contextmanager
def _open_for_reading(path: Path) -> Iterator[int]:
    descriptor = os.open(path, os.O_RDONLY)
    try:
        yield descriptor
    finally:
        os.close(descriptor)


def _sync_directory(directory: Path) -> None:
    """Make the entries of a directory durable."""
    with _open_for_reading(directory) as descriptor:
        os.fsync(descriptor)


def _write_all(descriptor: int, data: bytes) -> None:
    """Write all bytes; a single `os.write` may write fewer."""
    remaining = memoryview(data)
    while remaining:
        remaining = remaining[os.write(descriptor, remaining) :]


def _read_all(path: Path) -> bytes:
    """Return the contents of a file, empty if it is missing."""
    try:
        with _open_for_reading(path) as descriptor:
            chunks = iter(lambda: os.read(descriptor, READ_CHUNK_BYTES), b"")
            return b"".join(chunks)
    except FileNotFoundError:
        return b""
