"""Reused client connections to peers, with one request at a time on each."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Sequence
from typing import Protocol

from tornado.iostream import StreamClosedError, UnsatisfiableReadError

from mulleinhatch.instance.transport.stream import GatheringStream

CONNECT_TIMEOUT_S = 0.5  # a dead peer may not respond at all, and the request has little time left
MAX_HEAD_BYTES = 8192
MAX_IDLE_S = 5.0  # after which an idle connection is closed
MAX_INTERIM_RESPONSES = 8  # responses with status 1xx before the final response


class ConnectFailedError(OSError):
    """No byte of the request was sent, so no peer can have executed it."""


class ConnectionLostError(OSError):
    """The request may have been received and executed; its outcome is unknown."""


class ParsedHead(Protocol):
    """The fields of a response head that determine how the following bytes are read."""

    @property
    def status(self) -> int:
        """From 100 to 199 for an interim response; a final one follows."""

    @property
    def body_length(self) -> int:
        """Length of the body in bytes."""

    @property
    def closes_connection(self) -> bool:
        """Whether the peer closes the connection after the response."""


class PeerConnections:
    """Connections to any number of peers.

    Args:
        max_per_peer: Limit of open connections to one peer.
        parse_head: Parses the head of a response; raises ValueError if it is malformed.
        clock: Monotonic time in seconds.
    """

    def __init__(self, max_per_peer: int, parse_head: Callable[[bytes], ParsedHead], clock: Callable[[], float]) -> None:
        self.max_per_peer, self.parse_head, self.clock = max_per_peer, parse_head, clock
        self.idle: dict[str, list[tuple[float, GatheringStream]]] = {}
        self.open: dict[str, int] = {}

    async def request(self, address: str, chunks: Sequence[bytes], timeout_s: float) -> tuple[int, bytes]:
        """Send a request and wait for its response.

        Args:
            address: `host:port` of the peer.
            chunks: Bytes of the request.
            timeout_s: Limit for connecting, sending and receiving together.

        Returns:
            Status, as `parse_head` returned it, and body.

        Raises:
            ConnectFailedError: Nothing was sent.
            ConnectionLostError: No valid response arrived in time.
        """
        deadline = self.clock() + timeout_s
        stream = await self._acquire(address, min(CONNECT_TIMEOUT_S, timeout_s))
        is_reusable = False
        try:
            stream.write_gathered(chunks)
            head = await self._read_head(stream, deadline)
            body = (
                await asyncio.wait_for(stream.read_bytes(head.body_length), deadline - self.clock())
                if head.body_length
                else b""
            )
            if stream.has_buffered_input():
                # Its length is wrong, or the response belongs to an earlier request.
                raise ConnectionLostError("unexpected bytes after the response")
            is_reusable = not head.closes_connection
            return head.status, body
        except (TimeoutError, OSError, StreamClosedError, UnsatisfiableReadError, ValueError) as error:
            raise ConnectionLostError(str(error)) from None
        finally:
            self._release(address, stream, is_reusable)

    async def _read_head(self, stream: GatheringStream, deadline: float) -> ParsedHead:
        """Return the head of the final response; preceding interim responses carry no result."""
        for _ in range(MAX_INTERIM_RESPONSES):
            head = await asyncio.wait_for(stream.read_until(b"\r\n\r\n", max_bytes=MAX_HEAD_BYTES), deadline - self.clock())
            parsed = self.parse_head(head)
            if not 100 <= parsed.status < 200:
                return parsed
        raise ConnectionLostError("too many interim responses")

    async def _acquire(self, address: str, timeout_s: float) -> GatheringStream:
        """Return an idle connection that the peer has not closed, else a new one."""
        idle = self.idle.get(address, [])
        while idle:
            since, stream = idle.pop()
            # Input without a request is the peer's close or a protocol error; a request written there would be lost.
            if (
                not stream.closed()
                and not stream.has_buffered_input()
                and self.clock() - since < MAX_IDLE_S
                and not self._has_input_or_end(stream)
            ):
                return stream
            self._close(address, stream)
        if self.open.get(address, 0) >= self.max_per_peer:
            raise ConnectFailedError("connection limit of the peer reached")
        self.open[address] = self.open.get(address, 0) + 1
        stream = GatheringStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        host, _, port = address.rpartition(":")
        try:
            await asyncio.wait_for(stream.connect((host, int(port))), timeout_s)
        except BaseException as error:
            self._close(address, stream)
            if isinstance(error, TimeoutError | OSError | StreamClosedError):
                raise ConnectFailedError(str(error)) from None
            raise
        return stream

    @staticmethod
    def _has_input_or_end(stream: GatheringStream) -> bool:
        """Return whether the peer has sent bytes, closed or reset the connection."""
        try:
            stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True

    def _release(self, address: str, stream: GatheringStream, is_reusable: bool) -> None:
        if is_reusable and not stream.closed():
            self.idle.setdefault(address, []).append((self.clock(), stream))
        else:
            self._close(address, stream)

    def _close(self, address: str, stream: GatheringStream) -> None:
        stream.close()
        self.open[address] -= 1
        if not self.open[address]:
            del self.open[address]
            self.idle.pop(address, None)

    def close_idle(self) -> None:
        """Close connections that were idle for too long."""
        for address, idle in list(self.idle.items()):
            old = [stream for since, stream in idle if self.clock() - since >= MAX_IDLE_S or stream.closed()]
            self.idle[address] = [(since, stream) for since, stream in idle if stream not in old]
            for stream in old:
                self._close(address, stream)

    def close(self) -> None:
        """Close all idle connections; the others are closed when their requests end."""
        for idle in list(self.idle.values()):
            for _, stream in idle:
                stream.close()
        self.idle.clear()
