"""Connections to peers, one request at a time on each, kept for the next one: bytes out, head and body in."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Sequence

from tornado.iostream import StreamClosedError, UnsatisfiableReadError

from mulleinhatch.instance.transport.stream import GatheringStream

CONNECT_WAIT = 0.5  # seconds: a peer that is gone may not answer at all, and the op has little time
MOST_HEAD = 8192
IDLE_KEPT = 5.0  # seconds
MOST_INTERIM = 8  # answers that only announce another one


class ConnectFailedError(OSError):
    """Nothing of the request left: no peer can have run it."""


class ConnectionLostError(OSError):
    """The request may have been read, and what became of it is not known."""


class Peers:
    """`told` reads a head: status, length of the body, whether the connection closes; ValueError where it is none."""

    def __init__(self, most: int, told: Callable[[bytes], tuple[int, int, bool]], clock: Callable[[], float]) -> None:
        self.most, self.told, self.clock = most, told, clock
        self.idle: dict[str, list[tuple[float, GatheringStream]]] = {}
        self.open: dict[str, int] = {}

    async def ask(self, address: str, pieces: Sequence[bytes], within: float) -> tuple[int, bytes]:
        """Status and body. Unreached or BrokenOff where there is none in time."""
        until = self.clock() + within
        stream = await self._connected(address, min(CONNECT_WAIT, within))
        keep = False
        try:
            stream.write_gathered(pieces)
            status, length, last = await self._head(stream, until)
            body = await asyncio.wait_for(stream.read_bytes(length), until - self.clock()) if length else b""
            if stream.has_more():
                # Nothing else was asked for: its length is wrong, or the bytes before it were not its own.
                raise ConnectionLostError("more came than one answer")
            keep = not last
            return status, body
        except (TimeoutError, OSError, StreamClosedError, UnsatisfiableReadError, ValueError) as error:
            raise ConnectionLostError(str(error)) from None
        finally:
            self._done(address, stream, keep)

    async def _head(self, stream: GatheringStream, until: float) -> tuple[int, int, bool]:
        """Of the answer itself: interim ones before it say nothing that counts here."""
        for _ in range(MOST_INTERIM):
            head = await asyncio.wait_for(stream.read_until(b"\r\n\r\n", max_bytes=MOST_HEAD), until - self.clock())
            told = self.told(head)
            if not 100 <= told[0] < 200:
                return told
        raise ConnectionLostError("one interim answer after another")

    async def _connected(self, address: str, within: float) -> GatheringStream:
        """A kept one that the peer has not closed meanwhile, else a new one."""
        kept = self.idle.get(address, [])
        while kept:
            since, stream = kept.pop()
            # Something to read where nothing was asked is an end, or no peer of ours: a request written there is lost.
            if not stream.closed() and not stream.has_more() and self.clock() - since < IDLE_KEPT and not self._ended(stream):
                return stream
            self._close(address, stream)
        if self.open.get(address, 0) >= self.most:
            raise ConnectFailedError("as many connections as are kept to a peer are in use")
        self.open[address] = self.open.get(address, 0) + 1
        stream = GatheringStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        host, _, port = address.rpartition(":")
        try:
            await asyncio.wait_for(stream.connect((host, int(port))), within)
        except BaseException as error:
            self._close(address, stream)
            if isinstance(error, TimeoutError | OSError | StreamClosedError):
                raise ConnectFailedError(str(error)) from None
            raise
        return stream

    @staticmethod
    def _ended(stream: GatheringStream) -> bool:
        try:
            stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True

    def _done(self, address: str, stream: GatheringStream, keep: bool) -> None:
        if keep and not stream.closed():
            self.idle.setdefault(address, []).append((self.clock(), stream))
        else:
            self._close(address, stream)

    def _close(self, address: str, stream: GatheringStream) -> None:
        stream.close()
        self.open[address] -= 1
        if not self.open[address]:
            del self.open[address]
            self.idle.pop(address, None)

    def sweep(self) -> None:
        """Ends what was not used for a while."""
        for address, kept in list(self.idle.items()):
            old = [stream for since, stream in kept if self.clock() - since >= IDLE_KEPT or stream.closed()]
            self.idle[address] = [(since, stream) for since, stream in kept if stream not in old]
            for stream in old:
                self._close(address, stream)

    def close(self) -> None:
        for kept in list(self.idle.values()):
            for _, stream in kept:
                stream.close()
        self.idle.clear()
