"""Client connections: reads complete requests one at a time and writes responses as they arrive."""

from __future__ import annotations

import asyncio
import logging
import socket
import struct
from collections.abc import Callable
from typing import Protocol

from mulleinhatch.configuration.routes import Limits
from mulleinhatch.networking.http_grammar import BadRequestError
from mulleinhatch.networking.http_streaming import HOP_BY_HOP, Head, MessageReader, reason, write_response

LOG = logging.getLogger(__name__)
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
TCP_USER_TIMEOUT_MS = 4000  # A client that acknowledges no data for this long is considered disconnected.
LISTEN_BACKLOG = 512
MIN_RETRY_AFTER_S = 0.01
LINGER_S = 1.0
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, 0 s
UNAUTHORIZED = 401
CLOSING_STATUSES = (400, 408, 413, 431)  # After these, the start of the next request is unknown.


class RequestHandle(Protocol):
    """A request started by a session; `request_lifecycle.ClientRequest` implements it."""

    def cancel(self) -> None:
        """Stop the request because the client disconnected."""

    def on_writable(self, is_writable: bool) -> None:
        """Resume or pause the response, depending on whether the client reads it."""


class ClientSession(asyncio.Protocol):
    """One client connection.

    Args:
        listener: Provides the current limits and starts requests.
    """

    def __init__(self, listener: Listener) -> None:
        self._listener = listener
        self._reader = MessageReader(reads_responses=False, max_head_bytes=listener.limits().max_header_bytes)
        self._head: Head | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._request: RequestHandle | None = None
        self._is_responding = False  # A complete request was read and is not answered yet.
        self._is_closing = False
        self._is_chunked = False
        self._is_close_delimited = False  # The response under way ends with the connection.
        self._is_writable = True  # Whether the client takes what is written.
        self._is_lingering = False  # The last response is written; what the client still sends is discarded.
        self._timer: asyncio.TimerHandle | None = None
        self.transport: asyncio.Transport | None = None
        self.requests = 0

    # The connection (asyncio.Protocol).

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start reading the first request."""
        self.transport = transport  # type: ignore[assignment]
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
        self._listener.sessions.add(self)
        self._await_request()

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the request whose client disconnected."""
        self._listener.sessions.discard(self)
        self._stop_timer()
        request, self._request = self._request, None
        if request is not None:
            request.cancel()

    def eof_received(self) -> bool:
        """Close the connection if the client half-closes it; a client that awaits a response keeps both directions open."""
        return False

    def pause_writing(self) -> None:
        """Pause reading from the backend while the client does not read."""
        self._is_writable = False
        if self._request is not None:
            self._request.on_writable(False)

    def resume_writing(self) -> None:
        """Resume reading from the backend."""
        self._is_writable = True
        if self._request is not None:
            self._request.on_writable(True)

    # Reading.

    def _await_request(self) -> None:
        limits = self._listener.limits()
        idle_s = limits.idle_timeout_s if self.requests else max(limits.idle_timeout_s, limits.header_timeout_s)
        self._start_timer(idle_s, self._on_idle_timeout)

    def _start_timer(self, seconds: float, action: Callable[[], None]) -> None:
        self._stop_timer()
        self._timer = asyncio.get_running_loop().call_later(seconds, action)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_idle_timeout(self) -> None:
        if not self._reader.started() and self._request is None:
            self.transport.close()

    def _on_read_timeout(self) -> None:
        self._answer_unread(408, "the request did not come whole in time")

    def data_received(self, data: bytes) -> None:
        """Read a request; a pipelined request waits until the preceding response is written."""
        if self._is_lingering or not self._listener.is_reading:
            return
        was_started = self._reader.started()
        self._reader.feed(data)
        if self._is_responding or self._is_closing:
            self.transport.pause_reading()
            return
        if not was_started:
            self._start_timer(self._listener.limits().header_timeout_s, self._on_read_timeout)
        self._read()

    def _read(self) -> None:
        try:
            self._read_message()
        except BadRequestError as error:
            self._is_closing = True
            self._answer_unread(error.status, f"the request can't be read: {error.cause}")

    def _answer_unread(self, status: int, reason: str) -> None:
        """Answer a request that was not read completely."""
        request_id = self._head.field_values.get(b"request-id", b"").decode("latin-1") if self._head is not None else ""
        extra = {"request_id": request_id, "status": status, "reason": reason}
        LOG.info("answered a request that was not read completely", extra=extra)
        self.respond_error(status, reason)

    def _read_message(self) -> None:
        limits = self._listener.limits()
        if self._head is None:
            self._head = self._reader.head()
            if self._head is None:
                return
            self._check_head(self._head, limits)
            if self._is_responding or self._is_closing:
                return
        chunk = self._reader.body()
        self._body_bytes += len(chunk)
        if self._body_bytes > limits.max_body_bytes:
            raise BadRequestError("body too long", 413)
        if chunk:
            self._body.append(chunk)
            if not self._reader.done:
                self._start_timer(limits.idle_timeout_s, self._on_read_timeout)
        if self._reader.done:
            self._start_request()

    def _check_head(self, head: Head, limits: Limits) -> None:
        """Reject an invalid head, and send `100 Continue` if the client waits for it."""
        if head.length is not None and head.length > limits.max_body_bytes:
            raise BadRequestError("body too long", 413)
        if head.minor and not head.field_values.get(b"host"):
            raise BadRequestError("host")
        if head.field_values.get(b"expect", b"").lower() == b"100-continue" and not self._reader.done:
            self.transport.write(CONTINUE)

    def _start_request(self) -> None:
        self._stop_timer()
        self._is_responding = True
        self.requests += 1
        self._request = self._listener.begin(self, self._head, b"".join(self._body))
        if self._request is not None and not self._is_writable:
            self._request.on_writable(False)  # The client has not read the former response yet.

    # Writing.

    @property
    def is_open(self) -> bool:
        """Whether a response can still be written."""
        return self.transport is not None and not self.transport.is_closing() and not self._is_lingering

    @property
    def is_responding(self) -> bool:
        """Whether a request was read and is not answered yet."""
        return self._is_responding

    def _is_last_response(self) -> bool:
        return self._is_closing or self._listener.is_shutting_down or self._head is None or not self._head.keep_alive

    def respond_error(self, status: int, message: str, retry_after_s: float | None = None) -> None:
        """Respond with an error generated by the data plane.

        Args:
            status: HTTP status.
            message: Plain text body.
            retry_after_s: Seconds for `Retry-After`; None to omit the field.
        """
        if not self.is_open:
            return
        self._stop_timer()
        fields = [(b"Content-Type", b"text/plain")]
        request_id = self._head.field_values.get(b"request-id") if self._head is not None else None
        if request_id:
            fields.append((b"Request-Id", request_id))
        if status == UNAUTHORIZED:
            fields.append((b"WWW-Authenticate", b"Bearer"))  # RFC 9110, section 15.5.2: the response must name the scheme
        if retry_after_s is not None:
            fields.append((b"Retry-After", b"%.2f" % max(MIN_RETRY_AFTER_S, retry_after_s)))
        is_last = self._is_last_response() or status in CLOSING_STATUSES
        if is_last:
            fields.append((b"Connection", b"close"))
        self.transport.write(write_response(status, fields, message.encode() + b"\n"))
        self._end_response(is_last)

    def write_head(self, head: Head, length: int | None) -> None:
        """Forward a backend's response head.

        Args:
            head: The head; hop-by-hop fields are removed.
            length: Bytes of the body; None if unknown, in which case the body is chunked or ends with the connection.
        """
        lines = [b"HTTP/1.1 %d %b\r\n" % (head.status, reason(head.status))]
        for name, text in head.fields:
            lower = name.lower()
            if lower not in HOP_BY_HOP and lower != b"content-length":
                lines.append(b"%b: %b\r\n" % (name, text))
        self._is_chunked = length is None and self._head.minor > 0
        self._is_close_delimited = length is None and not self._is_chunked
        if length is not None:
            lines.append(b"Content-Length: %d\r\n" % length)
        elif self._is_chunked:
            lines.append(b"Transfer-Encoding: chunked\r\n")
        if self._is_last_response() or self._is_close_delimited:
            self._is_closing = True
            lines.append(b"Connection: close\r\n")
        lines.append(b"\r\n")
        self.transport.write(b"".join(lines))

    def write_body(self, data: bytes) -> None:
        """Forward a chunk of the body."""
        self.transport.write(b"%x\r\n%b\r\n" % (len(data), data) if self._is_chunked else data)

    def finish(self) -> None:
        """End a complete response."""
        if self._is_chunked:
            self.transport.write(LAST_CHUNK)
        self._end_response(self._is_last_response())

    def abort(self) -> None:
        """End the connection, so that the client does not mistake a truncated response for a complete one.

        Only a response that ends with its connection needs a reset: a close would complete it. The others are told by their
        framing, and a reset could overtake the part that was sent.
        """
        self._request = None
        if self.transport is None:
            return
        if self._is_close_delimited:
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.transport.abort()

    def _end_response(self, is_last: bool) -> None:
        self._request, self._head, self._is_responding = None, None, False
        self._body, self._body_bytes, self._is_chunked = [], 0, False
        if is_last:
            self._close_after_response()
            return
        if self._reader.done:
            self._reader.next()
        self.transport.resume_reading()
        if self._reader.started():
            self._start_timer(self._listener.limits().header_timeout_s, self._on_read_timeout)
            asyncio.get_running_loop().call_soon(self._read_pipelined)
        else:
            self._await_request()

    def _close_after_response(self) -> None:
        """Close the connection without losing the response that was just written.

        A close with unread input becomes a reset, which can overtake the response (RFC 9112, section 9.6): the client would
        take its request for unread. So what it still sends is read and discarded first, for a limited time.
        """
        self._is_closing = True
        if not self._reader.surplus() and not self._reader.started():
            self.transport.close()
            return
        self._is_lingering = True
        self.transport.write_eof()
        self.transport.resume_reading()
        self._start_timer(LINGER_S, self.transport.close)

    def _read_pipelined(self) -> None:
        if self.is_open and not self._is_responding:
            self._read()

    def has_work(self) -> bool:
        """Return whether a request is arriving or not answered yet, or its response is not sent completely."""
        is_sending = self.transport.get_write_buffer_size() > 0 or self._is_lingering
        return self._is_responding or self._reader.started() or is_sending

    def close_if_idle(self) -> None:
        """Close the connection at shutdown; one that is reading or answering a request closes after its response."""
        if not self._is_responding and not self._reader.started():
            self.transport.close()

    def reject_arriving(self, reason: str) -> None:
        """Answer a request that is not read completely yet as not run."""
        if self.is_open and not self._is_responding and self._reader.started():
            self._is_closing = True
            self._answer_unread(503, f"not run: {reason}")

    def close_for_exit(self) -> None:
        """Close the connection because the process exits: what the socket has not taken of a response is lost."""
        if self._is_close_delimited and self.transport.get_write_buffer_size():
            self.abort()
        else:
            self.transport.close()


class Listener:
    """Accepts client connections.

    Args:
        limits: Returns the limits of the current configuration.
        begin: Starts a request, given its session, head and complete body; returns None if it was answered immediately.
    """

    def __init__(
        self, limits: Callable[[], Limits], begin: Callable[[ClientSession, Head, bytes], RequestHandle | None]
    ) -> None:
        self.limits, self.begin = limits, begin
        self.sessions: set[ClientSession] = set()
        self.is_shutting_down = False
        self.is_reading = True  # Whether requests are still read from the clients' connections.
        self._server: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Accept connections on `address` (host and port)."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: ClientSession(self), host, int(port), backlog=LISTEN_BACKLOG)

    def close(self) -> None:
        """Accept no further connections."""
        if self._server is not None:
            self._server.close()

    def close_sessions(self) -> None:
        """Close all client connections because the process exits; nothing more is read from them or answered."""
        for session in list(self.sessions):
            session.close_for_exit()

    def is_responding(self) -> bool:
        """Return whether any request is not answered yet."""
        return any(session.is_responding for session in self.sessions)

    def has_work(self) -> bool:
        """Return whether a request is arriving or not answered yet, or a response is not sent completely."""
        return any(session.has_work() for session in self.sessions)

    def has_unsent_bytes(self) -> bool:
        """Return whether a part of a response has not been taken by its socket."""
        return any(session.transport.get_write_buffer_size() > 0 for session in self.sessions)

    def close_idle_sessions(self) -> None:
        """Close the client connections that carry no request."""
        for session in list(self.sessions):
            session.close_if_idle()

    def stop_reading(self, reason: str) -> None:
        """Start no further request, and answer those that are arriving as not run.

        Args:
            reason: Why, for the response and the log.
        """
        self.is_reading = False
        for session in list(self.sessions):
            session.reject_arriving(reason)
