"""Durable storage of a voter's state.

The file is written beside the old one, flushed and renamed, so that a crash leaves one complete file. It carries a magic
number, a version and a checksum; a lock file keeps a second process out of the directory.
"""

from __future__ import annotations

import fcntl
import os
import zlib
from pathlib import Path

import msgspec

from mulleinhatch.instance.maintenance.paxos_register import VoterState

MAGIC, VERSION = b"MHUPKEEP", 1
HEADER_SIZE = len(MAGIC) + 1 + 4


class CorruptVoterFileError(ValueError):
    """Raised for an unreadable or locked voter file; the message names the file and the problem."""


class Store:
    """One voter's file, in a directory of its own.

    Args:
        folder: Directory; it is created if missing.

    Raises:
        CorruptVoterFileError: Another process uses the directory.
    """

    def __init__(self, folder: str) -> None:
        self.folder = Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.path = self.folder / "voter"
        self.lock = os.open(self.folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)  # held until `close` or the end of the process
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self.lock)
            raise CorruptVoterFileError(f"{self.folder}: another process uses this directory") from None

    def read(self) -> VoterState | None:
        """Return the stored state, or None if there is no file yet.

        Raises:
            CorruptVoterFileError: The file is damaged. A voter that guessed its state could break its promises.
        """
        try:
            data = self.path.read_bytes()
        except FileNotFoundError:
            return None
        body = data[HEADER_SIZE:]
        if data[: len(MAGIC)] != MAGIC or len(data) < HEADER_SIZE:
            raise CorruptVoterFileError(f"{self.path}: not a voter file; move it away, and the voter learns from the others")
        if data[len(MAGIC)] != VERSION:
            raise CorruptVoterFileError(f"{self.path}: version {data[len(MAGIC)]}, this release reads version {VERSION}")
        if int.from_bytes(data[len(MAGIC) + 1 : HEADER_SIZE], "big") != zlib.crc32(body):
            raise CorruptVoterFileError(f"{self.path}: damaged; move it away, and the voter learns from the others")
        try:
            return msgspec.msgpack.decode(body, type=VoterState)
        except msgspec.MsgspecError as error:
            raise CorruptVoterFileError(f"{self.path}: {error}") from None

    def persist(self, voter_state: VoterState) -> None:
        """Replace the stored state; it is durable on return."""
        body = msgspec.msgpack.encode(voter_state)
        temporary_path = self.folder / "voter.new"
        with open(temporary_path, "wb") as file:
            file.write(MAGIC + bytes([VERSION]) + zlib.crc32(body).to_bytes(4, "big") + body)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary_path, self.path)
        folder = os.open(self.folder, os.O_RDONLY)  # the rename itself must survive a power failure
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def close(self) -> None:
        """Release the lock on the directory."""
        os.close(self.lock)
