"""Clients of a soak of answers: keep their connections, and repeat a request that a data plane promised not to run."""

from __future__ import annotations

import asyncio
import random
import uuid
from collections.abc import Callable

from benchmarks.answer_soak_parts.deployment import HOST, MODEL_SERVICE, MODELS, REPEATABLE_ROUTES, ROUTES, TIMEOUT_MS
from benchmarks.answer_soak_parts.records import Try
from benchmarks.answer_soak_parts.server import LONG_BODY_BYTES
from mulleinhatch.networking.http_grammar import BadRequestError
from mulleinhatch.networking.http_streaming import MessageReader

READ_BYTES = 65536
CONNECT_TIMEOUT_S = 1.0
RECONNECT_S = 0.1
PAUSE_S = (0.0, 0.15)
PROMISES = (408, 421, 429, 503)  # statuses which promise that the request did not run and never will
MAX_TRIES = 3
MIN_TIME_LEFT_S = 0.3
RESPONSE_SLACK_S = 2.0  # after its deadline a request without a response is abandoned
LONG_BODY_SHARE, EARLY_LEAVE_SHARE = 0.05, 0.03
EARLY_LEAVE_S = 0.5
PROBE_ROUTE = "look"
CHUNKED_SHARE, SLOW_SHARE, PIECE_PAUSE_S = 0.2, 0.15, 0.3


class Client:
    """Sends requests one after another; stays on a connection until the data plane ends it.

    Args:
        data_planes: Names of the data planes, in the order in which this client tries them.
        address_of: Returns the address of a data plane.
        record: Called with each try before it is sent.
        source: Source of the draws.
    """

    def __init__(
        self,
        data_planes: list[str],
        address_of: Callable[[str], tuple[str, int]],
        record: Callable[[Try], None],
        source: random.Random,
    ) -> None:
        self._data_planes, self._address_of = list(data_planes), address_of
        self._record, self._random = record, source
        self._stream: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def run(self) -> None:
        """Send requests until cancelled."""
        try:
            while True:
                await asyncio.sleep(self._random.uniform(*PAUSE_S))
                await self._send_request()
        finally:
            self._disconnect()

    async def is_served(self) -> bool:
        """Send one request that needs no model on a new connection; return whether it was served."""
        try:
            if not await self._connect():
                return False
            now = asyncio.get_running_loop().time()
            one = Try(uuid.uuid4().hex[:16], "", PROBE_ROUTE, self._data_planes[0], now)
            one.original_id = one.id
            self._record(one)
            deadline = now + TIMEOUT_MS / 1000
            await self._exchange(one, self._message(one, "", b"probe", TIMEOUT_MS / 1000), deadline)
            return one.status == 200
        finally:
            self._disconnect()

    async def _send_request(self) -> None:
        """Send a request, and repeat it with a new id as its route and its responses allow."""
        loop = asyncio.get_running_loop()
        route, model = self._random.choice(list(ROUTES)), self._draw_model()
        body = b"x" * LONG_BODY_BYTES if self._random.random() < LONG_BODY_SHARE else b"body"
        deadline, original_id = loop.time() + TIMEOUT_MS / 1000, ""
        for _ in range(MAX_TRIES):
            if not await self._connect():
                return
            one = Try(uuid.uuid4().hex[:16], original_id, route, self._data_planes[0], loop.time())
            original_id = one.original_id = original_id or one.id
            self._record(one)
            retry_after_s = await self._exchange(one, self._message(one, model, body, deadline - loop.time()), deadline)
            may_repeat = one.status in PROMISES or one.was_unread or (route in REPEATABLE_ROUTES and not one.is_complete)
            if not may_repeat or deadline - loop.time() < MIN_TIME_LEFT_S:
                return
            self._disconnect()
            self._data_planes.append(self._data_planes.pop(0))
            await asyncio.sleep(min(retry_after_s, (deadline - loop.time()) / 3))

    def _draw_model(self) -> str:
        name = MODELS[min(len(MODELS) - 1, int(self._random.expovariate(0.6)))]
        return f"{name}/a{self._random.randrange(1, 3)}" if self._random.random() < 0.2 else name

    def _message(self, one: Try, model: str, body: bytes, left_s: float) -> list[bytes]:
        """Return the pieces of a request; a body may be chunked and may come in pieces."""
        lines = [
            f"POST /{one.route}/{one.id} HTTP/1.1",
            f"Host: {HOST}",
            f"Request-Id: {one.id}",
            f"Request-Deadline: {max(1, int(1000 * left_s))}",
            "Token-Usage: 200,40",
        ]
        lines += [f"Model: {model}"] if ROUTES[one.route][1] == MODEL_SERVICE else []
        if self._random.random() < CHUNKED_SHARE:
            head = "\r\n".join((*lines, "Transfer-Encoding: chunked", "", "")).encode()
            data = head + b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        else:
            data = "\r\n".join((*lines, f"Content-Length: {len(body)}", "", "")).encode() + body
        if self._random.random() >= SLOW_SHARE:
            return [data]
        cut = self._random.randrange(1, len(data))
        return [data[:cut], data[cut:]]

    async def _connect(self) -> bool:
        """Connect unless a connection is open; return whether one is."""
        if self._stream is not None and not self._stream[0].at_eof() and not self._stream[1].is_closing():
            return True
        self._disconnect()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                self._stream = await asyncio.open_connection(*self._address_of(self._data_planes[0]))
            return True
        except (OSError, TimeoutError):
            self._data_planes.append(self._data_planes.pop(0))
            await asyncio.sleep(RECONNECT_S)
            return False

    def _disconnect(self) -> None:
        if self._stream is not None:
            self._stream[1].transport.abort()
            self._stream = None

    async def _exchange(self, one: Try, message: list[bytes], deadline: float) -> float:
        """Send a try and read its response; return the seconds after which it may be repeated."""
        loop, (reader, writer) = asyncio.get_running_loop(), self._stream
        leaves_early = self._random.random() < EARLY_LEAVE_SHARE
        wait_s = EARLY_LEAVE_S * self._random.random() if leaves_early else deadline - loop.time() + RESPONSE_SLACK_S
        is_kept, retry_after_s = False, 0.0
        try:
            async with asyncio.timeout(max(0.01, wait_s)):
                writer.write(message[0])
                for piece in message[1:]:
                    await asyncio.sleep(self._random.uniform(0.0, PIECE_PAUSE_S))
                    writer.write(piece)
                is_kept, retry_after_s = await self._read(one, reader)
        except ConnectionResetError:
            one.was_unread = one.status == 0
        except (OSError, BadRequestError):
            pass  # Broken off, or the client gave up (TimeoutError).
        finally:
            one.ended_at = loop.time()
            if not is_kept:
                self._disconnect()
        return retry_after_s

    @staticmethod
    async def _read(one: Try, reader: asyncio.StreamReader) -> tuple[bool, float]:
        """Read a response; return whether the connection goes on, and the seconds of `Retry-After`."""
        messages = MessageReader(reads_responses=True)
        while (head := messages.head()) is None:
            data = await reader.read(READ_BYTES)
            if not data:
                return False, 0.0
            messages.feed(data)
        one.status = head.status
        one.answered_id = head.field_values.get(b"request-id", b"").decode("latin-1")
        one.body = messages.body()
        while not messages.done:
            data = await reader.read(READ_BYTES)
            if not data:
                one.is_complete = messages.ended()
                return False, 0.0
            messages.feed(data)
            one.body += messages.body()
        one.is_complete = True
        return head.keep_alive and not messages.surplus(), float(head.field_values.get(b"retry-after", b"0"))
