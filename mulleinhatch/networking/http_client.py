"""HTTP/1.1 client for other processes: pools connections and returns complete responses."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from dataclasses import dataclass

from mulleinhatch.errors import CallError
from mulleinhatch.networking.http_connection import ClientConnection, Loss, connect, take_usable
from mulleinhatch.networking.http_streaming import Head, write_request

MAX_RESPONSE_BYTES = 64 << 20  # of one response body
IDLE_TIMEOUT_S = 20.0  # a pooled connection that was idle for this long is not used again


@dataclass(frozen=True)
class HttpResponse:
    """A complete response."""

    status: int
    head: Head
    body: bytes


class HttpCallError(CallError):
    """No complete response arrived; the message names the address.

    The request can be sent to another process, or retried later. If `sent` is true, the request may have been executed.

    Args:
        address: The address that was called, "HOST:PORT".
        reason: What happened, for the message.
        sent: Whether the request may have been sent.
    """

    def __init__(self, address: str, reason: str, sent: bool = True) -> None:
        super().__init__(f"{address}: {reason}; call another instance, or retry later")
        self.sent = sent


class ResponseCollector:
    """A `ResponseSink` that collects one response; `future` completes with it or fails with an `HttpCallError`.

    Args:
        accepts_close_delimited: See `HttpClient`.
    """

    def __init__(self, accepts_close_delimited: bool) -> None:
        self._accepts_close_delimited = accepts_close_delimited
        self.future: asyncio.Future[HttpResponse] = asyncio.get_running_loop().create_future()
        self.chunks: list[bytes] = []
        self.size = 0
        self.head: Head | None = None

    def expects(self, head: Head) -> bool:
        """Accept any head, because a pooled connection carries one request at a time."""
        return True

    def on_head(self, head: Head) -> None:
        """Store the head."""
        self.head = head

    def on_body(self, data: bytes) -> None:
        """Store a chunk of the body; fail if the body becomes too long."""
        self.chunks.append(data)
        self.size += len(data)
        if self.size > MAX_RESPONSE_BYTES:
            self._fail("the response is too long")

    def on_end(self) -> None:
        """Complete the future; fail if the response has no length and could have been cut."""
        if self.head.until_close and not self._accepts_close_delimited:
            self._fail("the response has no length, so it may have been cut")
        if not self.future.done():
            self.future.set_result(HttpResponse(self.head.status, self.head, b"".join(self.chunks)))

    def on_loss(self, loss: Loss) -> None:
        """Fail the future."""
        self._fail(loss.value)

    def _fail(self, reason: str) -> None:
        if not self.future.done():
            self.future.set_exception(HttpCallError("connection", reason))


class HttpClient:
    """Sends requests and pools the connections that responses leave open, by address.

    Args:
        accepts_close_delimited: Whether a response without a length, which ends with its connection, counts as complete. The
            close may come from a crash, so the caller must be able to tell by the content whether it is whole.
    """

    def __init__(self, accepts_close_delimited: bool = False) -> None:
        self._accepts_close_delimited = accepts_close_delimited
        self._idle: dict[str, list[ClientConnection]] = defaultdict(list)

    async def request(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        content_type: str = "application/octet-stream",
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> HttpResponse:
        """Send one request and return its response, whatever its status.

        Args:
            address: "HOST:PORT".
            method: The HTTP method.
            path: The path with the query, encoded.
            body: The body of the request.
            timeout_s: The time limit for connecting, sending and receiving together.
            content_type: The media type of the body.
            headers: Further header fields.

        Raises:
            HttpCallError: No complete response arrived in time.
        """
        head = [(b"Host", address.encode()), (b"Content-Type", content_type.encode()), *headers]
        data = write_request(method.encode(), path.encode(), head, body)
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(address, data)
        except TimeoutError:
            raise HttpCallError(address, f"no response in {timeout_s:.1f} s") from None

    async def _exchange(self, address: str, data: bytes) -> HttpResponse:
        connection = await self._acquire(address)
        sink = ResponseCollector(self._accepts_close_delimited)
        try:
            connection.send(data, sink)
            response = await sink.future
        except BaseException:  # also a cancellation: the response may still arrive, so no other request may use the connection
            connection.close()
            raise
        if connection.usable:
            connection.idle_until = asyncio.get_running_loop().time() + IDLE_TIMEOUT_S
            self._idle[address].append(connection)
        return response

    async def _acquire(self, address: str) -> ClientConnection:
        connection = take_usable(self._idle.get(address, []))
        if connection is not None:
            return connection
        try:
            return await connect(address)
        except OSError as error:
            raise HttpCallError(address, f"no connection ({type(error).__name__})", sent=False) from None

    def forget(self, address: str) -> None:
        """Close the idle connections to an address that did not respond."""
        for connection in self._idle.pop(address, []):
            connection.close()
