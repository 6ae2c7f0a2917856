"""The file itself: opened once, appended and synced, rewritten beside and renamed when it is long.

All calls block on the disk; the control plane makes them from its one disk thread.
"""

from __future__ import annotations

import os
from collections.abc import Iterable
from pathlib import Path

from mulleinhatch.storage.records import MAGIC, Contents, Record, decode, encode

NAME, BESIDE = "control.log", "control.new"


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


class Journal:
    """One file of records in a folder of its own."""

    def __init__(self, folder: str) -> None:
        self._folder = Path(folder)
        self._path = self._folder / NAME
        self._number = -1
        self._damaged = False
        self.size = 0

    def open(self) -> list[Record]:
        """What the file holds; it is made where there is none, and what is torn at its end is cut off. OSError, NotOurFile."""
        self._folder.mkdir(parents=True, exist_ok=True)
        contents = decode(self._path.read_bytes()) if self._path.exists() else Contents([], 0)
        self._number = os.open(self._path, os.O_RDWR | os.O_CREAT, 0o600)
        if contents.valid_size:
            os.ftruncate(self._number, contents.valid_size)
        else:
            os.ftruncate(self._number, 0)
            _write_whole(self._number, MAGIC)
        self.size = contents.valid_size or len(MAGIC)
        os.lseek(self._number, self.size, os.SEEK_SET)
        os.fsync(self._number)
        _sync_folder(self._folder)
        return contents.records

    def append(self, records: Iterable[Record]) -> None:
        """Writes records behind the others and syncs them. After an OSError none of them counts, and the next call repairs."""
        data = b"".join(encode(record) for record in records)
        if self._damaged:
            self._repair()
        self._damaged = True
        _write_whole(self._number, data)
        os.fdatasync(self._number)
        self._damaged = False
        self.size += len(data)

    def _repair(self) -> None:
        """Cuts off what a failed append left: its bytes must not come before the next record."""
        os.ftruncate(self._number, self.size)
        os.lseek(self._number, self.size, os.SEEK_SET)
        os.fsync(self._number)

    def rewrite(self, records: Iterable[Record]) -> None:
        """Replaces the file by one with just these records; the old one stays in force until the new one lasts."""
        data = MAGIC + b"".join(encode(record) for record in records)
        beside = self._folder / BESIDE
        number = os.open(beside, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            _write_whole(number, data)
            os.fsync(number)
            os.replace(beside, self._path)
            _sync_folder(self._folder)
        except BaseException:
            os.close(number)
            raise
        os.close(self._number)
        self._number, self.size, self._damaged = number, len(data), False

    def close(self) -> None:
        if self._number >= 0:
            os.close(self._number)
            self._number = -1
