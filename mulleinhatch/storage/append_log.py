"""The file itself: opened once, appended and synced, rewritten beside and renamed when it is long.

All calls block on the disk; the control plane makes them from its one disk thread.
"""

from __future__ import annotations

import logging
import os
from collections.abc import Iterable
from pathlib import Path

from mulleinhatch.storage.records import MAGIC, Contents, ForeignFileError, Record, decode, encode

LOG = logging.getLogger(__name__)
NAME, BESIDE = "control.log", "control.new"
READ_SIZE = 1 << 20


def _sync_folder(folder: Path) -> None:
    number = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(number)
    finally:
        os.close(number)


def _write_whole(number: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(number, view) :]


def _read_whole(path: Path) -> bytes:
    """What a file holds; nothing where there is none."""
    try:
        number = os.open(path, os.O_RDONLY)
    except FileNotFoundError:
        return b""
    try:
        pieces = iter(lambda: os.read(number, READ_SIZE), b"")
        return b"".join(pieces)
    finally:
        os.close(number)


class AppendLog:
    """One file of records in a folder of its own.

    | state | event | next |
    | --- | --- | --- |
    | sound | a write or sync fails | its end is damaged: cut off before the next record |
    | sound | the new file took the name, the sync of the folder failed | its name is unsure: synced before the next record |
    | sound | the new file failed before it took the name | sound, the old file |
    """

    def __init__(self, folder: str) -> None:
        self._folder = Path(folder)
        self._path = self._folder / NAME
        self._number = -1
        self._end_damaged = False
        self._name_unsure = False
        self.size = 0

    def open(self) -> list[Record]:
        """What the file holds; it is made where there is none, what is torn at its end is cut off, and a file that is not ours
        is set aside under another name. OSError, OtherVersion."""
        os.makedirs(self._folder, exist_ok=True)
        contents = self._read()
        number = os.open(self._path, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            os.ftruncate(number, contents.valid_size)
            if not contents.valid_size:
                _write_whole(number, MAGIC)
            size = contents.valid_size or len(MAGIC)
            os.lseek(number, size, os.SEEK_SET)
            os.fsync(number)
            _sync_folder(self._folder)
        except BaseException:
            os.close(number)
            raise
        self._number, self.size = number, size
        return contents.records

    def _read(self) -> Contents:
        try:
            return decode(_read_whole(self._path))
        except ForeignFileError as error:
            aside = self._path.with_name(f"{NAME}.foreign")
            LOG.error("a file that is not ours was set aside", extra={"error": str(error), "now": str(aside)})
            os.replace(self._path, aside)
            return Contents([], 0)

    def append(self, records: Iterable[Record]) -> None:
        """Writes records behind the others and syncs them. After an OSError none of them counts, and the next call repairs."""
        data = b"".join(encode(record) for record in records)
        self._repair()
        self._end_damaged = True
        _write_whole(self._number, data)
        os.fdatasync(self._number)
        self._end_damaged = False
        self.size += len(data)

    def _repair(self) -> None:
        """Makes the file sound after a call that failed: what it left must not come before the next record, and the file must
        be the one that a start finds."""
        if self._name_unsure:
            _sync_folder(self._folder)
            self._name_unsure = False
        if self._end_damaged:
            os.ftruncate(self._number, self.size)
            os.lseek(self._number, self.size, os.SEEK_SET)
            os.fsync(self._number)
            self._end_damaged = False

    def rewrite(self, records: Iterable[Record]) -> None:
        """Replaces the file by one with just these records. After an OSError one of the two is in force, and holds the same."""
        data = MAGIC + b"".join(encode(record) for record in records)
        self._repair()
        beside = self._folder / BESIDE
        number = os.open(beside, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            _write_whole(number, data)
            os.fsync(number)
            os.replace(beside, self._path)
        except BaseException:
            os.close(number)
            raise
        former, self._number, self.size = self._number, number, len(data)
        self._name_unsure = True
        os.close(former)
        self._repair()

    def close(self) -> None:
        if self._number >= 0:
            os.close(self._number)
            self._number = -1
