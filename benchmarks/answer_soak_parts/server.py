"""A backend of a soak of answers: executes requests in slots, obeys orders, and makes troubles with its answers."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from benchmarks.answer_soak_parts.records import Execution
from benchmarks.answer_soak_parts.troubles import Ending, Repetition, Troubles
from mulleinhatch.data_plane.request_headers import read_prompt
from mulleinhatch.networking.http_grammar import BadRequestError
from mulleinhatch.networking.http_streaming import Head, MessageReader, write_response
from mulleinhatch.testing.fake_model_server.config import Counters, FakeModelServerConfig
from mulleinhatch.testing.fake_model_server.model_store import ModelStore
from mulleinhatch.testing.fake_model_server.registered_server import RegisteredServer
from mulleinhatch.testing.fake_model_server.registration import Registration

READ_BYTES = 65536
STREAM_EVENTS, EVENT_PAUSE_S, WORK_S = 5, 0.03, 0.02
MAX_WAITING_FACTOR = 2  # of its slots
ORDER_POLL_S = 0.01
IDLE_REPETITION_S = 0.3  # longest time until a copy is sent on an idle connection
LONG_BODY_BYTES = 100_000
NOT_EXECUTED = (b"Not-Executed", b"1")


def plain_body(request_id: str, target: bytes) -> bytes:
    """Return the body of the answer to a request that is not a stream."""
    return f"answer to {request_id} ".encode() + target


def stream_event(request_id: str, number: int) -> bytes:
    """Return one event of a stream; it is the same from every backend."""
    return b"id: %d\ndata: %b %d\n\n" % (number, request_id.encode(), number)


@dataclass
class _Connection:
    """One connection of a backend: its stream, and the copies that are to precede its next answer.

    Attributes:
        is_last_answer: Whether it carries an answer without a length: whatever is written belongs to that.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    copies: list[bytes] = field(default_factory=list)
    is_last_answer: bool = False

    def write(self, data: bytes) -> None:
        """Write an answer, after the copies that take its place."""
        self.writer.write(b"".join([*self.copies, data]))
        self.copies.clear()

    def reset(self) -> None:
        """Close the connection with a TCP reset."""
        sock = self.writer.get_extra_info("socket")
        if sock is not None and sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


class TroubledServer(RegisteredServer):
    """One incarnation of a backend.

    Args:
        config: Its service, address, slots and models.
        models: Models that it holds at its start.
        control_addresses: Control-plane nodes that it sends heartbeats to.
        troubles: Draws its troubles.
        record: Called with each execution, when it begins.
        kill: Crashes the backend at the next step of the event loop; returns whether it does.
    """

    def __init__(
        self,
        config: FakeModelServerConfig,
        models: dict[str, set[str]],
        control_addresses: list[str],
        troubles: Troubles,
        record: Callable[[Execution], None],
        kill: Callable[[], bool],
    ) -> None:
        self.id = f"i-{uuid.uuid4().hex[:10]}"
        self.counters = Counters()
        self._config, self._troubles, self._record, self._kill = config, troubles, record, kill
        self._store = ModelStore(config, self.counters, models, None, lambda: self._running)
        super().__init__(config.address, Registration(self.id, config, self._store, control_addresses))
        self._slots = asyncio.Semaphore(config.slots)
        self._running = self._waiting = 0

    # Connections.

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve requests, orders and reports one after another, until a trouble ends the connection."""
        connection, messages = _Connection(reader, writer), MessageReader(reads_responses=False)
        if self._troubles.refuses_connection():
            connection.reset()
        try:
            while data := await reader.read(READ_BYTES):
                messages.feed(data)
                while (head := messages.head()) is not None:
                    if not await self._serve_request(connection, messages, head):
                        return
        except (OSError, BadRequestError, asyncio.CancelledError):
            pass

    async def _serve_request(self, connection: _Connection, messages: MessageReader, head: Head) -> bool:
        """Read and answer one request; return whether the connection goes on."""
        is_rejected_early = (head.length or 0) >= LONG_BODY_BYTES and self._troubles.rejects_early()
        if is_rejected_early:
            connection.write(self._response(head, 503, b"", NOT_EXECUTED))
        body = messages.body()
        while not messages.done:
            data = await connection.reader.read(READ_BYTES)
            if not data:
                return False
            messages.feed(data)
            body += messages.body()
        messages.next()
        return is_rejected_early or await self._handle(connection, head, body)

    # Requests and orders.

    async def _handle(self, connection: _Connection, head: Head, body: bytes) -> bool:
        expected_id = head.field_values.get(b"expect-instance", self.id.encode()).decode()
        if expected_id != self.id:
            return await self._answer(connection, self._response(head, 421, b""))
        if head.target == b"/health":
            return await self._answer(connection, self._response(head, 200, b""))
        if head.target == b"/report":
            return await self._answer(connection, self._response(head, 200, json.dumps(self._report()).encode()))
        if head.target == b"/order":
            status, message, work = self._store.accept(json.loads(body))
            if work is not None:
                self.start_task(work)
            return await self._answer(connection, self._response(head, status, json.dumps({"message": message}).encode()))
        return await self._handle_request(connection, head, body)

    async def _handle_request(self, connection: _Connection, head: Head, body: bytes) -> bool:
        prompt = read_prompt(head)
        if prompt.model and not self._store.is_loaded(prompt.model, prompt.adapter):
            return await self._answer(connection, self._response(head, 421, b""))
        is_full = self._waiting > MAX_WAITING_FACTOR * self._config.slots
        due_at = asyncio.get_running_loop().time() + int(head.field_values.get(b"request-deadline", b"60000")) / 1000
        if is_full or self._troubles.rejects() or not await self._wait_for_slot(prompt.model, prompt.adapter, due_at):
            status = self._troubles.rejection_status()
            return await self._answer(connection, self._response(head, status, b"rejected", NOT_EXECUTED))
        try:
            return await self._execute(connection, head, body)
        finally:
            self._running -= 1
            self._slots.release()

    async def _wait_for_slot(self, model: str, adapter: str, due_at: float) -> bool:
        """Wait for a slot; return False if an order for the model, or the deadline, came first: the request is rejected."""
        self._waiting += 1
        try:
            while True:
                if self._store.is_unloading(model, adapter) or asyncio.get_running_loop().time() > due_at:
                    return False
                try:
                    async with asyncio.timeout(ORDER_POLL_S):
                        await self._slots.acquire()
                except TimeoutError:
                    continue
                self._running += 1
                return True
        finally:
            self._waiting -= 1

    async def _execute(self, connection: _Connection, head: Head, body: bytes) -> bool:
        request_id = head.field_values.get(b"request-id", b"").decode("latin-1")
        now = asyncio.get_running_loop().time()
        self._record(Execution(request_id, now, self.id, head.target, body))
        if head.target.startswith((b"/draft/", b"/report/")):
            return await self._stream(connection, head, request_id)
        await asyncio.sleep(WORK_S)
        answer = plain_body(request_id, head.target)
        if self._troubles.is_unframed():
            lines = b"".join(b"%b: %b\r\n" % one for one in self._fields(head))
            connection.write(b"HTTP/1.1 200 OK\r\n%b\r\n" % lines + answer)
            return False
        return await self._answer(connection, self._response(head, 200, answer), head)

    async def _stream(self, connection: _Connection, head: Head, request_id: str) -> bool:
        first = int(head.field_values.get(b"last-event-id", b"0") or 0) + 1
        ending = self._troubles.ending()
        if ending in (Ending.NONE_CLOSE, Ending.NONE_RESET, Ending.GARBAGE):
            return self._break_off(connection, ending, b"")
        if ending in (Ending.MUTE, Ending.CONTRADICTORY):
            return await self._mislead(connection, head, ending)
        if self._troubles.is_stream_unframed():
            await self._stream_until_close(connection, head, first, ending)
            return False
        connection.write(self._stream_head(head, (b"Transfer-Encoding", b"chunked")))
        for number in range(first, STREAM_EVENTS + 1):
            await asyncio.sleep(EVENT_PAUSE_S)
            event = stream_event(request_id, number)
            if ending is not Ending.WHOLE and number == STREAM_EVENTS:
                return self._break_off(connection, ending, b"%x\r\n%b" % (len(event), event[:-3]))
            connection.writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await connection.writer.drain()
        connection.writer.write(b"0\r\n\r\n")
        return True

    def _stream_head(self, head: Head, *fields: tuple[bytes, bytes]) -> bytes:
        fields = (*self._fields(head), (b"Content-Type", b"text/event-stream"), *fields)
        return b"HTTP/1.1 200 OK\r\n%b\r\n" % b"".join(b"%b: %b\r\n" % one for one in fields)

    async def _stream_until_close(self, connection: _Connection, head: Head, first: int, ending: Ending) -> None:
        """Send a stream without a length. Wherever it can be interrupted, the last event is incomplete.

        A close between two events could not be told from the end of the stream.
        """
        request_id = head.field_values[b"request-id"].decode("latin-1")
        connection.is_last_answer = True
        data = self._stream_head(head, (b"Connection", b"close"))
        for number in range(first, STREAM_EVENTS + 1):
            event = stream_event(request_id, number)
            half = len(event) // 2
            connection.write(data + event[:half])
            await connection.writer.drain()
            await asyncio.sleep(EVENT_PAUSE_S)
            data = event[half:]
        if self._troubles.should_be_killed() and self._kill():
            self._troubles.count("killed inside an event")
            await connection.reader.read(1)
        elif ending is not Ending.WHOLE:
            self._break_off(connection, ending, b"")
        else:
            connection.write(data)

    def _break_off(self, connection: _Connection, ending: Ending, data: bytes) -> bool:
        if ending is Ending.GARBAGE:
            data = b"\x00\x01 no answer\r\n\r\n"
        connection.write(data)
        if ending in (Ending.NONE_RESET, Ending.CUT_RESET):
            connection.reset()
        return False

    async def _mislead(self, connection: _Connection, head: Head, ending: Ending) -> bool:
        """Say nothing about a request that ran, or the contrary; return whether the connection goes on."""
        if ending is Ending.CONTRADICTORY:
            connection.write(self._response(head, 500, b"failed", NOT_EXECUTED))
            return True
        await connection.reader.read(1)
        return False

    # Answers.

    def _fields(self, head: Head) -> list[tuple[bytes, bytes]]:
        own_id = self.id.encode()
        request_id = head.field_values.get(b"request-id")
        echoed = [(b"Request-Id", request_id)] if request_id else []
        return [(b"Server-Signature", own_id), (b"Instance-Id", own_id), *echoed]

    def _response(self, head: Head, status: int, body: bytes, *fields: tuple[bytes, bytes]) -> bytes:
        return write_response(status, [*self._fields(head), *fields], body)

    async def _answer(self, connection: _Connection, response: bytes, executed: Head | None = None) -> bool:
        """Send an answer with the troubles drawn for it; return whether the connection goes on.

        Args:
            connection: Connection of the request.
            response: The answer.
            executed: Head of the request if it was executed, which a misleading answer needs.
        """
        ending = self._troubles.ending()
        if ending in (Ending.MUTE, Ending.CONTRADICTORY):
            if executed is not None:
                return await self._mislead(connection, executed, ending)
        elif ending is not Ending.WHOLE:
            is_cut = ending in (Ending.CUT_CLOSE, Ending.CUT_RESET)
            return self._break_off(connection, ending, response[: len(response) * 2 // 3] if is_cut else b"")
        if self._troubles.closes():
            connection.write(response.replace(b"\r\n", b"\r\nConnection: close\r\n", 1))
            return False
        connection.write(response)
        repetition = self._troubles.repetition()
        if repetition is Repetition.AT_ONCE:
            connection.writer.write(response)
        elif repetition is Repetition.NEXT:
            connection.copies.append(response)
        elif repetition is Repetition.WHILE_IDLE:
            self.start_task(self._repeat_later(connection, response))
        return True

    async def _repeat_later(self, connection: _Connection, response: bytes) -> None:
        await asyncio.sleep(self._troubles.pause_s(IDLE_REPETITION_S))
        if not connection.writer.is_closing() and not connection.is_last_answer:
            connection.copies.append(response)
            connection.write(b"")

    def _report(self) -> dict[str, Any]:
        return {
            "models": self._store.records(),
            "busy": self._store.order is not None,
            "sequence": self._store.revision,
            "waiting": self._waiting,
            "running": self._running,
        }
