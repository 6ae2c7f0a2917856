"""HTTP/1.1 requests to other instances over kept connections, with complete answers."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from dataclasses import dataclass

from mulleinhatch.errors import CallError
from mulleinhatch.networking.http_connection import ClientConnection, Loss, connect, take_usable
from mulleinhatch.networking.http_streaming import Head, write_request

MAX_RESPONSE_BYTES = 64 << 20  # bytes of an answer that is collected
IDLE_TIMEOUT_S = 20.0  # how long a connection to another instance is kept without use


@dataclass(frozen=True)
class HttpResponse:
    """An answer that was collected."""

    status: int
    head: Head
    body: bytes


class HttpCallError(CallError):
    """No answer came; the message names the address. Ask another instance, or again later."""

    def __init__(self, address: str, reason: str, sent: bool = True) -> None:
        super().__init__(f"{address}: {reason}; ask another instance, or again later")
        self.sent = sent


class ResponseCollector:
    """Collects one answer for `HttpClient`."""

    def __init__(self) -> None:
        self.future: asyncio.Future[HttpResponse] = asyncio.get_running_loop().create_future()
        self.chunks: list[bytes] = []
        self.size = 0
        self.head: Head | None = None

    def expects(self, head: Head) -> bool:
        return True

    def on_head(self, head: Head) -> None:
        self.head = head

    def on_body(self, data: bytes) -> None:
        self.chunks.append(data)
        self.size += len(data)
        if self.size > MAX_RESPONSE_BYTES:
            self._fail("the answer is too long")

    def on_end(self) -> None:
        if not self.future.done():
            self.future.set_result(HttpResponse(self.head.status, self.head, b"".join(self.chunks)))

    def on_loss(self, loss: Loss) -> None:
        self._fail(loss.value)

    def _fail(self, reason: str) -> None:
        if not self.future.done():
            self.future.set_exception(HttpCallError("connection", reason))


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
        timeout_s: float,
        content_type: str = "application/octet-stream",
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> HttpResponse:
        """The answer, or HttpCallError after `timeout_s` seconds at most. A kept connection that broke unused is replaced."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._request(address, method, path, body, content_type, headers)
        except TimeoutError:
            raise HttpCallError(address, f"no answer in {timeout_s:.1f} s") from None

    async def _request(
        self, address: str, method: str, path: str, body: bytes, content_type: str, headers: tuple[tuple[bytes, bytes], ...]
    ) -> HttpResponse:
        head = [(b"Host", address.encode()), (b"Content-Type", content_type.encode()), *headers]
        data = write_request(method.encode(), path.encode(), head, body)
        connection = self._acquire(address)
        if connection is None:
            try:
                connection = await connect(address)
            except OSError as error:
                raise HttpCallError(address, f"no connection ({type(error).__name__})", sent=False) from None
        sink = ResponseCollector()
        try:
            connection.send(data, sink)
            answer = await sink.future
        except BaseException:
            connection.close()
            raise
        if connection.usable:
            connection.idle_until = asyncio.get_running_loop().time() + IDLE_TIMEOUT_S
            self._idle[address].append(connection)
        return answer

    def _acquire(self, address: str) -> ClientConnection | None:
        return take_usable(self._idle.get(address, []))

    def forget(self, address: str) -> None:
        """Closes the kept connections to an address that did not answer."""
        for connection in self._idle.pop(address, []):
            connection.close()
