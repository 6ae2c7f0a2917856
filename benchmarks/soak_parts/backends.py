"""Backends of a soak: each records the complete requests that it runs and sends responses that identify their request."""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Callable

from benchmarks.soak_parts.records import BackendRun
from mulleinhatch.networking.http_grammar import BadRequestError
from mulleinhatch.networking.http_streaming import Head, MessageReader, write_response
from mulleinhatch.testing.fake_model_server.config import Counters, FakeModelServerConfig
from mulleinhatch.testing.fake_model_server.model_store import ModelStore
from mulleinhatch.testing.fake_model_server.registered_server import RegisteredServer
from mulleinhatch.testing.fake_model_server.registration import Registration

READ_BYTES = 65536
SLOTS = 32
STREAM_EVENTS = 6
EVENT_PAUSE_S = 0.03
WORK_S = 0.01
ZONES = 2


def plain_answer(signature: str, request_id: str, target: str, body: bytes) -> bytes:
    """Return the complete body of a response that is not a stream."""
    return f"{signature} {request_id} {target} ".encode() + body


def stream_event(request_id: str, number: int) -> bytes:
    """Return one event of a stream; it is the same from every backend."""
    return b"id: %d\ndata: %b %d\n\n" % (number, request_id.encode(), number)


def stream_answer(request_id: str, first: int = 1) -> bytes:
    """Return the body of a stream from event `first` to the last one."""
    return b"".join(stream_event(request_id, number) for number in range(first, STREAM_EVENTS + 1))


class RecordingBackend(RegisteredServer):
    """One incarnation of a backend of a service without models.

    Args:
        service: Its service.
        address: "HOST:PORT" to listen on.
        zone: Its zone.
        control_addresses: Control-plane nodes that it sends heartbeats to; if empty, it does not register.
        record: Called with each run.
        on_interrupted: Called with the ID of each request that `crash` interrupts.
    """

    def __init__(
        self,
        service: str,
        address: str,
        zone: str,
        control_addresses: list[str],
        record: Callable[[BackendRun], None],
        on_interrupted: Callable[[str], None] = lambda request_id: None,
    ) -> None:
        self.id = f"i-{uuid.uuid4().hex[:10]}"
        self.service = service
        self._record, self._on_interrupted = record, on_interrupted
        config = FakeModelServerConfig(service, address, zone, SLOTS)
        store = ModelStore(config, Counters(), {}, None, lambda: 0)
        super().__init__(address, Registration(self.id, config, store, control_addresses))
        self._running: set[str] = set()

    async def crash(self) -> None:
        """Stop immediately and reset all connections."""
        for request_id in self._running:
            self._on_interrupted(request_id)
        await super().crash()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve requests one after another."""
        messages = MessageReader(reads_responses=False)
        try:
            raw = b""
            while data := await reader.read(READ_BYTES):
                raw += data
                messages.feed(data)
                while (head := messages.head()) is not None:
                    body = messages.body()
                    while not messages.done:
                        data = await reader.read(READ_BYTES)
                        if not data:
                            return
                        raw += data
                        messages.feed(data)
                        body += messages.body()
                    messages.next()
                    await self._handle(head, body, raw, writer)
                    raw = b""
        except (OSError, BadRequestError, asyncio.CancelledError):
            pass

    async def _handle(self, head: Head, body: bytes, raw: bytes, writer: asyncio.StreamWriter) -> None:
        instance_id = (b"Instance-Id", self.id.encode())
        not_run = [instance_id, (b"Request-Id", head.field_values.get(b"request-id", b"")), (b"Not-Executed", b"1")]
        if head.target == b"/health":
            writer.write(write_response(200, [instance_id], b""))
        elif head.field_values.get(b"expect-instance", self.id.encode()).decode() != self.id:
            writer.write(write_response(421, not_run, b""))
        elif len(self._running) >= SLOTS:
            writer.write(write_response(503, not_run, b""))
        else:
            await self._run(head, body, raw, writer)

    async def _run(self, head: Head, body: bytes, raw: bytes, writer: asyncio.StreamWriter) -> None:
        request_id = head.field_values.get(b"request-id", b"").decode("latin-1")
        fields = tuple((name.lower(), value) for name, value in head.fields)
        now = asyncio.get_running_loop().time()
        run = BackendRun(request_id, now, self.id, self.service, head.method, head.target, body, fields, raw)
        self._record(run)
        self._running.add(request_id)
        try:
            await self.answer(run, head, writer)
        finally:
            self._running.discard(request_id)

    async def answer(self, run: BackendRun, head: Head, writer: asyncio.StreamWriter) -> None:
        """Respond to a run as a healthy backend does; tests override it."""
        fields = [(b"Request-Id", run.id.encode("latin-1")), (b"Server-Signature", self.id.encode())]
        if head.target.startswith((b"/write/", b"/talk/")):
            await self.stream(run.id, int(head.field_values.get(b"last-event-id", b"0") or 0), fields, writer)
        else:
            await asyncio.sleep(WORK_S)
            answer = plain_answer(self.id, run.id, head.target.decode("latin-1"), run.body)
            writer.write(write_response(200, fields, b"" if head.method == b"HEAD" else answer))

    async def stream(self, request_id: str, last: int, fields: list[tuple[bytes, bytes]], writer: asyncio.StreamWriter) -> None:
        """Write the events of a stream that follow number `last`."""
        lines = [*fields, (b"Content-Type", b"text/event-stream"), (b"Transfer-Encoding", b"chunked")]
        writer.write(b"HTTP/1.1 200 OK\r\n%b\r\n" % b"".join(b"%b: %b\r\n" % line for line in lines))
        for number in range(last + 1, STREAM_EVENTS + 1):
            await asyncio.sleep(EVENT_PAUSE_S)
            event = stream_event(request_id, number)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
