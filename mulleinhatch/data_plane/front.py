"""The clients' connections: requests read whole, one at a time; answers written as they come."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import Protocol

from mulleinhatch.configuration.routes import Limits
from mulleinhatch.networking.http_grammar import BadRequestError
from mulleinhatch.networking.http_streaming import HOP_BY_HOP, Head, MessageReader, reason, write_response

LOG = logging.getLogger(__name__)
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
SILENCE_MS = 4000


class Exchange(Protocol):
    """What carries out one request."""

    def cancel(self) -> None: ...

    def on_writable(self, writable: bool) -> None: ...


class ClientSession(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, front: Front) -> None:
        self._front = front
        self._reader = MessageReader(answers=False, max_head_bytes=front.limits().max_header_bytes)
        self._head: Head | None = None
        self._body: list[bytes] = []
        self._size = 0
        self._exchange: Exchange | None = None
        self._answering = False
        self._closing = False
        self._chunked = False
        self._timer: asyncio.TimerHandle | None = None
        self.transport: asyncio.Transport | None = None
        self.requests = 0

    # The connection.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_MS)
        self._front.sessions.add(self)
        self._await_request()

    def connection_lost(self, error: Exception | None) -> None:
        self._front.sessions.discard(self)
        self._stop_timer()
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.cancel()

    def eof_received(self) -> bool:
        """The client ended its side: whoever waits for an answer keeps both open."""
        return False

    def pause_writing(self) -> None:
        if self._exchange is not None:
            self._exchange.on_writable(False)

    def resume_writing(self) -> None:
        if self._exchange is not None:
            self._exchange.on_writable(True)

    # Reading.

    def _await_request(self) -> None:
        limits = self._front.limits()
        self._set_timer(
            limits.idle_timeout_s if self.requests else max(limits.idle_timeout_s, limits.header_timeout_s), self._idle
        )

    def _set_timer(self, seconds: float, act: Callable[[], None]) -> None:
        self._stop_timer()
        self._timer = asyncio.get_running_loop().call_later(seconds, act)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _idle(self) -> None:
        if not self._reader.started() and self._exchange is None:
            self.transport.close()

    def _late(self) -> None:
        """A request that was begun did not come whole in time."""
        self.refuse(408, "the request did not come whole in time")

    def data_received(self, data: bytes) -> None:
        was_started = self._reader.started()
        self._reader.feed(data)
        if self._answering or self._closing:
            self.transport.pause_reading()  # one that sends ahead waits until its answer is written
            return
        if not was_started:
            self._set_timer(self._front.limits().header_timeout_s, self._late)
        self._read()

    def _read(self) -> None:
        try:
            self._read_message()
        except BadRequestError as error:
            self._closing = True
            self.refuse(error.status, f"the request can't be read: {error.cause}")

    def _read_message(self) -> None:
        limits = self._front.limits()
        if self._head is None:
            self._head = self._reader.head()
            if self._head is None:
                return
            self._begin_body(limits)
            if self._answering or self._closing:
                return
        piece = self._reader.body()
        self._size += len(piece)
        if self._size > limits.max_body_bytes:
            raise BadRequestError("body too long", 413)
        if piece:
            self._body.append(piece)
            if not self._reader.done:
                self._set_timer(limits.idle_timeout_s, self._late)
        if self._reader.done:
            self._whole()

    def _begin_body(self, limits: Limits) -> None:
        head = self._head
        if head.length is not None and head.length > limits.max_body_bytes:
            raise BadRequestError("body too long", 413)
        if head.minor and not head.first.get(b"host"):
            raise BadRequestError("host")
        if head.first.get(b"expect", b"").lower() == b"100-continue" and not self._reader.done:
            self.transport.write(CONTINUE)

    def _whole(self) -> None:
        self._stop_timer()
        self._answering = True
        self.requests += 1
        self._exchange = self._front.begin(self, self._head, b"".join(self._body))

    # Writing.

    @property
    def open(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def _last(self) -> bool:
        """Whether the connection ends after this answer."""
        return self._closing or self._front.leaving or self._head is None or not self._head.keep_alive

    def refuse(self, status: int, message: str, retry_after_s: float | None = None) -> None:
        """An answer of our own."""
        if not self.open:
            return
        self._stop_timer()
        fields = [(b"Content-Type", b"text/plain")]
        request_id = self._head.first.get(b"request-id") if self._head is not None else None
        if request_id:
            fields.append((b"Request-Id", request_id))
        if retry_after_s is not None:
            fields.append((b"Retry-After", b"%.2f" % max(0.01, retry_after_s)))
        last = self._last() or status in (400, 408, 413, 431)
        if last:
            fields.append((b"Connection", b"close"))
        self.transport.write(write_response(status, fields, message.encode() + b"\n"))
        self._done(last)

    def write_head(self, head: Head, length: int | None) -> None:
        """A backend's head; `length` of the body, or None where it comes in chunks."""
        lines = [b"HTTP/1.1 %d %b\r\n" % (head.status, reason(head.status))]
        for name, text in head.fields:
            lower = name.lower()
            if lower not in HOP_BY_HOP and lower != b"content-length":
                lines.append(b"%b: %b\r\n" % (name, text))
        self._chunked = length is None and self._head.minor > 0
        if length is not None:
            lines.append(b"Content-Length: %d\r\n" % length)
        elif self._chunked:
            lines.append(b"Transfer-Encoding: chunked\r\n")
        if self._last() or (length is None and not self._chunked):
            self._closing = True
            lines.append(b"Connection: close\r\n")
        lines.append(b"\r\n")
        self.transport.write(b"".join(lines))

    def write_body(self, data: bytes) -> None:
        self.transport.write(b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data)

    def finish(self) -> None:
        """The answer is whole."""
        if self._chunked:
            self.transport.write(LAST_CHUNK)
        self._done(self._last())

    def break_off(self) -> None:
        """The answer can't be completed: the client must see that."""
        self._exchange = None
        if self.transport is not None:
            self.transport.abort()

    def _done(self, last: bool) -> None:
        self._exchange, self._head, self._answering = None, None, False
        self._body, self._size, self._chunked = [], 0, False
        if last:
            self._closing = True
            self.transport.close()
            return
        if self._reader.done:
            self._reader.next()
        self.transport.resume_reading()
        if self._reader.started():
            self._set_timer(self._front.limits().header_timeout_s, self._late)
            asyncio.get_running_loop().call_soon(self._next_request)
        else:
            self._await_request()

    def _next_request(self) -> None:
        if self.open and not self._answering:
            self._read()

    def leave(self) -> None:
        """The process ends: an idle connection is closed, a busy one after its answer."""
        if not self._answering and not self._reader.started():
            self.transport.close()


class Front:
    """The listener and its sessions. `begin` starts the exchange for a request that came whole."""

    def __init__(self, limits: Callable[[], Limits], begin: Callable[[ClientSession, Head, bytes], Exchange | None]) -> None:
        self.limits, self.begin = limits, begin
        self.sessions: set[ClientSession] = set()
        self.leaving = False
        self._server: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: ClientSession(self), host, int(port), backlog=512)

    def close(self) -> None:
        """Nobody comes any more."""
        if self._server is not None:
            self._server.close()

    def busy(self) -> bool:
        return any(session._answering for session in self.sessions)
