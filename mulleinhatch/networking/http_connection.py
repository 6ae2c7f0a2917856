"""HTTP/1.1 client connections, one request at a time on each, with the body of an answer passed on as it comes."""

from __future__ import annotations

import asyncio
import socket
from enum import Enum
from typing import Protocol

from mulleinhatch.networking.http_grammar import BadRequestError
from mulleinhatch.networking.http_streaming import Head, MessageReader

MAX_RESPONSE_HEAD_BYTES = 65536
CONNECT_TIMEOUT_S = 1.0
TCP_USER_TIMEOUT_MS = 2500  # unacknowledged bytes for so long mean that the peer is unreachable


class IdleConnectionOwner(Protocol):
    """Who keeps a connection between requests."""

    def on_idle_loss(self, connection: ClientConnection) -> None:
        """Handle the end of a connection that carried no request."""


class Loss(Enum):
    """How a connection ended before the answer was whole."""

    NO_ANSWER = "no answer"  # the request may have arrived
    BROKEN = "broken"  # in the middle of the answer, or the bytes were no answer


class ResponseSink(Protocol):
    """Who hears of an answer. `expects` tells whether a head answers the request; another answer is read and thrown away."""

    def expects(self, head: Head) -> bool: ...

    def on_head(self, head: Head) -> None: ...

    def on_body(self, data: bytes) -> None: ...

    def on_end(self) -> None: ...

    def on_loss(self, loss: Loss) -> None: ...


class ClientConnection(asyncio.Protocol):
    """A connection to a stub or to another instance. `usable` tells whether it may carry another request."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.usable = False
        self.idle_until = 0.0  # loop time from which it must not be used again, 0 where the peer told none
        self.requests = 0
        self.pool: IdleConnectionOwner | None = None  # set by who keeps it; hears `on_idle_loss(connection)`
        self._reader = MessageReader(answers=True, max_head_bytes=MAX_RESPONSE_HEAD_BYTES)
        self._sink: ResponseSink | None = None
        self._head: Head | None = None
        self._is_paused = False
        self._is_discarding = False  # an answer that is not ours is being read
        self._is_desynchronized = False  # such a one came: the connection carries no further request

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.usable = True
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)

    def send(self, data: bytes, sink: ResponseSink) -> None:
        """Sends a request; its answer is told to `sink`."""
        assert self._sink is None and self.transport is not None
        self._sink, self._head = sink, None
        self.requests += 1
        self.transport.write(data)

    def close(self) -> None:
        """Ends the connection at once; nothing more is told."""
        self.usable, self._sink = False, None
        if self.transport is not None:
            self.transport.abort()

    def pause(self, paused: bool) -> None:
        """Holds back reading while whom the answer goes to does not read."""
        if self.transport is None or paused is self._is_paused or self.transport.is_closing():
            return
        self._is_paused = paused
        if paused:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        self._reader.feed(data)
        if self._sink is None:
            self._end_idle()  # bytes that belong to no request
            return
        try:
            self._read()
        except BadRequestError:
            self._lose(Loss.BROKEN)

    def _read(self) -> None:
        sink = self._sink
        if self._head is None and not self._is_discarding:
            head = self._reader.head()
            while head is not None and head.status < 200:
                self._reader.next()
                head = self._reader.head()
            if head is None:
                return
            if not sink.expects(head):
                self._is_discarding, self._is_desynchronized = True, True
            else:
                self._head = head
                sink.on_head(head)
            if self._sink is not sink:
                return  # it closed us
        if self._is_discarding:
            self._discard()
            return
        chunk = self._reader.body()
        if chunk:
            sink.on_body(chunk)
        if self._sink is sink and self._reader.done:
            self._finish()

    def _discard(self) -> None:
        """Throws away an answer that belongs to an earlier request; ours may follow it."""
        self._reader.body()
        if self._reader.done:
            self._is_discarding = False
            self._reader.next()
            if self._reader.surplus():
                self._read()

    def _finish(self) -> None:
        sink, head, self._sink = self._sink, self._head, None
        has_unsent_bytes = self.transport.get_write_buffer_size() > 0  # the answer came before the request was out
        if has_unsent_bytes or self._is_desynchronized or self._reader.surplus() or not head.keep_alive or head.until_close:
            self.usable = False
            self.transport.close()
        else:
            self._reader.next()
            self.pause(False)
        sink.on_end()

    def _lose(self, loss: Loss) -> None:
        sink, self._sink, self.usable = self._sink, None, False
        self.transport.abort()
        if sink is not None:
            sink.on_loss(loss)

    def _end_idle(self) -> None:
        self.usable = False
        self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.usable = False
        sink, self._sink = self._sink, None
        if sink is None:
            if self.pool is not None:
                self.pool.on_idle_loss(self)
            return
        if error is None and self._head is not None and self._reader.ended():
            sink.on_end()
            return
        sink.on_loss(Loss.NO_ANSWER if self._head is None else Loss.BROKEN)


def take_usable(idle: list[ClientConnection]) -> ClientConnection | None:
    """Takes the newest kept connection that may still carry a request; those on the way that may not are closed."""
    now = asyncio.get_running_loop().time()
    while idle:
        connection = idle.pop()
        if connection.usable and connection.idle_until > now:
            return connection
        connection.close()
    return None


async def connect(address: str, timeout_s: float = CONNECT_TIMEOUT_S) -> ClientConnection:
    """A new connection to "HOST:PORT"; OSError (TimeoutError too) where there is none in `timeout_s` seconds."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        _, connection = await loop.create_connection(ClientConnection, host, int(port), family=socket.AF_INET)
    return connection
