"""HTTP/1.1 client connections, one request at a time on each, with the body of an answer passed on as it comes.

`ClientConnection` reports to an `AnswerSink`; `HttpClient` keeps connections to other instances and gives whole answers.
"""

from __future__ import annotations

import asyncio
import socket
from collections import defaultdict
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from mulleinhatch.networking.http_grammar import BadRequestError
from mulleinhatch.networking.http_streaming import Head, MessageReader, write_request

MOST_ANSWER_HEAD = 65536
MAX_RESPONSE_BYTES = 64 << 20  # bytes of an answer that is collected
IDLE_S = 20.0  # how long a connection to another instance is kept without use
CONNECT_S = 1.0
SILENCE_MS = 2500  # unacknowledged bytes for so long mean that the peer is unreachable


class Loss(Enum):
    """How a connection ended before the answer was whole."""

    NO_ANSWER = "no answer"  # the request may have arrived
    BROKEN = "broken"  # in the middle of the answer, or the bytes were no answer


class AnswerSink(Protocol):
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
        self.pool: object | None = None  # set by who keeps it; hears `on_idle_loss(connection)`
        self._reader = MessageReader(answers=True, max_head_bytes=MOST_ANSWER_HEAD)
        self._sink: AnswerSink | None = None
        self._head: Head | None = None
        self._paused = False
        self._skipping = False  # an answer that is not ours is being read
        self._soiled = False  # such a one came: the connection carries no further request

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.usable = True
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_MS)

    def send(self, data: bytes, sink: AnswerSink) -> None:
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
        if self.transport is None or paused is self._paused or self.transport.is_closing():
            return
        self._paused = paused
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
        if self._head is None and not self._skipping:
            head = self._reader.head()
            while head is not None and head.status < 200:
                self._reader.next()
                head = self._reader.head()
            if head is None:
                return
            if not sink.expects(head):
                self._skipping, self._soiled = True, True
            else:
                self._head = head
                sink.on_head(head)
            if self._sink is not sink:
                return  # it closed us
        if self._skipping:
            self._skip()
            return
        piece = self._reader.body()
        if piece:
            sink.on_body(piece)
        if self._sink is sink and self._reader.done:
            self._finish()

    def _skip(self) -> None:
        """Throws away an answer that belongs to an earlier request; ours may follow it."""
        self._reader.body()
        if self._reader.done:
            self._skipping = False
            self._reader.next()
            if self._reader.surplus():
                self._read()

    def _finish(self) -> None:
        sink, head, self._sink = self._sink, self._head, None
        early = self.transport.get_write_buffer_size() > 0  # the answer came before the request was out
        if early or self._soiled or self._reader.surplus() or not head.keep_alive or head.until_close:
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


async def connect(address: str, within: float = CONNECT_S) -> ClientConnection:
    """A new connection to "HOST:PORT"; OSError (TimeoutError too) where there is none in `within` seconds."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(within):
        _, connection = await loop.create_connection(ClientConnection, host, int(port), family=socket.AF_INET)
    return connection


@dataclass(frozen=True)
class HttpResponse:
    """An answer that was collected."""

    status: int
    head: Head
    body: bytes


class CallError(OSError):
    """No answer came; the message names the address. Ask another instance, or again later."""

    def __init__(self, address: str, why: str, sent: bool = True) -> None:
        super().__init__(f"{address}: {why}; ask another instance, or again later")
        self.sent = sent


class _Collector:
    """Collects one answer for `HttpClient`."""

    def __init__(self) -> None:
        self.future: asyncio.Future[HttpResponse] = asyncio.get_running_loop().create_future()
        self.pieces: list[bytes] = []
        self.size = 0
        self.head: Head | None = None

    def expects(self, head: Head) -> bool:
        return True

    def on_head(self, head: Head) -> None:
        self.head = head

    def on_body(self, data: bytes) -> None:
        self.pieces.append(data)
        self.size += len(data)
        if self.size > MAX_RESPONSE_BYTES:
            self._fail("the answer is too long")

    def on_end(self) -> None:
        if not self.future.done():
            self.future.set_result(HttpResponse(self.head.status, self.head, b"".join(self.pieces)))

    def on_loss(self, loss: Loss) -> None:
        self._fail(loss.value)

    def _fail(self, why: str) -> None:
        if not self.future.done():
            self.future.set_exception(CallError("connection", why))


class HttpClient:
    """Whole requests to other instances over kept connections."""

    def __init__(self) -> None:
        self._idle: dict[str, list[ClientConnection]] = defaultdict(list)

    async def request(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes,
        within: float,
        content_type: str = "application/octet-stream",
        fields: tuple[tuple[bytes, bytes], ...] = (),
    ) -> HttpResponse:
        """The answer, or CallFailed after `within` seconds at most. A kept connection that broke unused is replaced once."""
        try:
            async with asyncio.timeout(within):
                return await self._request(address, method, path, body, content_type, fields)
        except TimeoutError:
            raise CallError(address, f"no answer in {within:.1f} s") from None

    async def _request(
        self, address: str, method: str, path: str, body: bytes, content_type: str, fields: tuple[tuple[bytes, bytes], ...]
    ) -> HttpResponse:
        head = [(b"Host", address.encode()), (b"Content-Type", content_type.encode()), *fields]
        data = write_request(method.encode(), path.encode(), head, body)
        connection = self._take(address)
        if connection is None:
            try:
                connection = await connect(address)
            except OSError as error:
                raise CallError(address, f"no connection ({type(error).__name__})", sent=False) from None
        sink = _Collector()
        try:
            connection.send(data, sink)
            answer = await sink.future
        except BaseException:
            connection.close()
            raise
        if connection.usable:
            connection.idle_until = asyncio.get_running_loop().time() + IDLE_S
            self._idle[address].append(connection)
        return answer

    def _take(self, address: str) -> ClientConnection | None:
        return take_usable(self._idle.get(address, []))

    def forget(self, address: str) -> None:
        """Closes the kept connections to an address that did not answer."""
        for connection in self._idle.pop(address, []):
            connection.close()
