"""The history of an instance's maintenance states: in memory, and in a file that outlives the process."""

from __future__ import annotations

import contextlib
import json
import logging
import os
import time
from collections import deque
from pathlib import Path
from typing import Any, BinaryIO

LOG = logging.getLogger(__name__)
MAX_FILE_BYTES = 1 << 20  # size of the history file above which its older half is dropped
LINE_END = b"\n"
MAX_ENTRIES = 256  # kept in memory, and returned


class MaintenanceHistory:
    """State changes with their times and reasons.

    A process that returns from maintenance no longer knows why it left: if there is a directory, a file keeps the history.

    Args:
        folder: Directory of the file; None for memory only.
    """

    def __init__(self, folder: Path | None) -> None:
        self._path = folder / "history" if folder is not None else None
        self._entries: deque[tuple[float, str, str]] = deque(maxlen=MAX_ENTRIES)

    def record(self, state: str, reason: str) -> None:
        """Record a state change; a write error is logged, and the entry stays in memory."""
        entry = (time.time(), state, reason)
        self._entries.append(entry)
        if self._path is None:
            return
        try:
            self._drop_older_half_of_long_file()
            line = json.dumps([round(entry[0], 3), state, reason]) + "\n"
            with self._path.open("ab+") as file:
                file.write(_missing_line_end(file) + line.encode())
        except OSError as error:
            LOG.warning("maintenance history could not be written", extra={"fields": {"error": error}})

    def _drop_older_half_of_long_file(self) -> None:
        if self._path.exists() and self._path.stat().st_size > MAX_FILE_BYTES:
            lines = self._path.read_bytes().splitlines(keepends=True)
            # A crash during the rewrite must leave the whole file, so it is written beside it and renamed.
            rewritten = self._path.with_name(f"{self._path.name}.new")
            rewritten.write_bytes(b"".join(lines[len(lines) // 2 :]))
            os.replace(rewritten, self._path)

    def entries(self) -> list[list[Any]]:
        """Return the newest entries, oldest first: wall time in seconds, state, reason."""
        if self._path is None or not self._path.exists():
            return [list(entry) for entry in self._entries]
        entries = []
        for line in self._path.read_text().splitlines()[-MAX_ENTRIES:]:
            with contextlib.suppress(ValueError):  # a line that a crash cut short
                entries.append(json.loads(line))
        return entries


def _missing_line_end(file: BinaryIO) -> bytes:
    """Return a line end if the last line of a file has none, because a crash cut it; the next entry must not join it."""
    size = file.seek(0, os.SEEK_END)
    if not size:
        return b""
    file.seek(size - len(LINE_END))
    return b"" if file.read() == LINE_END else LINE_END
