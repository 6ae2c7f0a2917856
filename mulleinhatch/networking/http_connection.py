"""HTTP/1.1 client connections, which carry one request at a time and pass on the response body as it arrives.

`ClientConnection` reports to a `ResponseSink`. It is independent of any pool; an `IdleConnectionOwner` is notified when an idle
connection ends.
"""

from __future__ import annotations

import asyncio
import itertools
import socket
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from mulleinhatch.networking.http_grammar import BadRequestError
from mulleinhatch.networking.http_streaming import Head, MessageReader

MAX_RESPONSE_HEAD_BYTES = 65536
CONNECT_TIMEOUT_S = 1.0
TCP_USER_TIMEOUT_MS = 2500  # a peer that leaves bytes unacknowledged for this long is unreachable
CONNECTION_NUMBERS = itertools.count(1)  # identify connections in log lines


class Loss(Enum):
    """How a connection ended before the response was complete."""

    NO_RESPONSE = "no answer"  # the request may have arrived
    BROKEN = "broken"  # in the middle of the response, or the bytes were not a valid response


class ResponseSink(Protocol):
    """Receives one response; any of its methods may close the connection."""

    def expects(self, head: Head) -> bool:
        """Return whether a head belongs to the request; if not, its response is discarded."""

    def on_head(self, head: Head) -> None:
        """Handle the head of the response."""

    def on_body(self, data: bytes) -> None:
        """Handle a chunk of the body."""

    def on_end(self) -> None:
        """Handle the end of a response that is complete by its framing.

        If its head says `until_close`, the connection was closed in order, as it also is when the peer's process is killed:
        only the content can tell whether the response is whole.
        """

    def on_loss(self, loss: Loss) -> None:
        """Handle the end of the connection before the response was complete."""


class IdleConnectionOwner(Protocol):
    """Owns a connection between requests."""

    def on_idle_loss(self, connection: ClientConnection) -> None:
        """Handle the end of a connection that carried no request."""


class ClientConnection(asyncio.Protocol):
    """A connection to a backend or to another process of the system.

    Attributes:
        number: Identifies the connection in this process.
        usable: Whether it may carry another request.
        idle_until: The loop time, in seconds, from which it must not be used again; 0 if it was never idle.
        requests: The number of requests sent.
        pool: The owner between requests, notified when the idle connection ends; None if there is none.
    """

    def __init__(self) -> None:
        self.number = next(CONNECTION_NUMBERS)
        self.transport: asyncio.Transport | None = None
        self.usable = False
        self.idle_until = 0.0
        self.requests = 0
        self.pool: IdleConnectionOwner | None = None
        self._reader = MessageReader(reads_responses=True, max_head_bytes=MAX_RESPONSE_HEAD_BYTES)
        self._request_ids: set[bytes] = set()  # of the requests that it carried
        self._sink: ResponseSink | None = None
        self._head: Head | None = None
        self._is_paused = False
        self._is_discarding = False  # the response being read belongs to an earlier request
        self._is_desynchronized = False  # such a response has arrived, so no further request may use the connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set socket options; called once by asyncio."""
        self.transport = transport  # type: ignore[assignment]
        self.usable = True
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)

    def can_carry(self, request_id: bytes) -> bool:
        """Return whether a response to a request with this id could belong to no other request on this connection.

        A connection carries an id once: a late or repeated response to an earlier request with the same id would be taken for
        the response to the later one. A request without an id needs a connection that has carried no request.
        """
        return not self.requests or (bool(request_id) and request_id not in self._request_ids)

    def send(self, data: bytes, sink: ResponseSink, request_id: bytes = b"") -> None:
        """Send the bytes of a request and pass its response to `sink`.

        Args:
            data: The request.
            sink: Receives the response.
            request_id: `Request-Id` of the request, by which the sink recognizes its response; empty for none.
        """
        assert self._sink is None and self.transport is not None
        self._sink, self._head = sink, None
        self.requests += 1
        if request_id:
            self._request_ids.add(request_id)
        self.transport.write(data)

    def close(self) -> None:
        """Abort the connection; the sink is not called again."""
        self.usable, self._sink = False, None
        if self.transport is not None:
            self.transport.abort()

    def pause(self, paused: bool) -> None:
        """Stop or resume reading, as backpressure from the receiver of the response."""
        if self.transport is None or paused is self._is_paused or self.transport.is_closing():
            return
        self._is_paused = paused
        if paused:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the response; called by asyncio."""
        self._reader.feed(data)
        if self._sink is None:
            self._end_idle()  # the bytes belong to no request
            return
        try:
            self._read()
        except BadRequestError:
            self._lose(Loss.BROKEN)

    def _read(self) -> None:
        sink = self._sink
        if self._head is None and not self._is_discarding:
            head = self._read_final_head()
            if head is None:
                return
            if not sink.expects(head):
                self._is_discarding, self._is_desynchronized = True, True
            else:
                self._head = head
                sink.on_head(head)
            if self._sink is not sink:
                return  # the sink closed this connection
        if self._is_discarding:
            self._discard()
            return
        chunk = self._reader.body()
        if chunk:
            sink.on_body(chunk)
        if self._sink is sink and self._reader.done:
            self._finish()

    def _read_final_head(self) -> Head | None:
        """Return the next head that is not of an interim (1xx) response, or None until it is complete."""
        head = self._reader.head()
        while head is not None and head.status < 200:
            self._reader.next()
            head = self._reader.head()
        return head

    def _discard(self) -> None:
        """Discard a response to an earlier request; the expected one may follow it."""
        self._reader.body()
        if self._reader.done:
            self._is_discarding = False
            self._reader.next()
            if self._reader.surplus():
                self._read()

    def _finish(self) -> None:
        sink, head, self._sink = self._sink, self._head, None
        has_unsent_bytes = (
            self.transport.get_write_buffer_size() > 0
        )  # the response arrived before the request was completely sent
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
        """Report the end to the sink, or to the owner if no request was in progress; called once by asyncio."""
        self.usable = False
        sink, self._sink = self._sink, None
        if sink is None:
            if self.pool is not None:
                self.pool.on_idle_loss(self)
            return
        if error is None and self._head is not None and self._reader.ended():
            sink.on_end()
            return
        sink.on_loss(Loss.NO_RESPONSE if self._head is None else Loss.BROKEN)


def take_usable(
    idle: list[ClientConnection], is_suitable: Callable[[ClientConnection], bool] = lambda connection: True
) -> ClientConnection | None:
    """Remove and return the newest usable idle connection that is suitable; close the unusable ones that are newer."""
    now = asyncio.get_running_loop().time()
    for index in reversed(range(len(idle))):
        connection = idle[index]
        if not connection.usable or connection.idle_until <= now:
            del idle[index]
            connection.close()
        elif is_suitable(connection):
            del idle[index]
            return connection
    return None


async def connect(address: str, timeout_s: float = CONNECT_TIMEOUT_S) -> ClientConnection:
    """Open a connection to "HOST:PORT".

    Raises:
        OSError: The connection was refused or was not open after `timeout_s` seconds (TimeoutError).
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        _, connection = await loop.create_connection(ClientConnection, host, int(port), family=socket.AF_INET)
    return connection
