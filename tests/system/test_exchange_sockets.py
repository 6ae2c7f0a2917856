"""The orders of events of an exchange on real sockets: each step waits for the one before it, none for a fixed time.

A data plane's listener and router run in the test's loop. Two backends on loopback do what a script says with each request that
they have read whole; the client is a plain socket.
"""

from __future__ import annotations

import asyncio
import itertools
import socket
import struct
import unittest
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from mulleinhatch.configuration.document import Document
from mulleinhatch.configuration.routes import build_route_table
from mulleinhatch.data_plane.control_plane_snapshot import ControlPlaneSnapshot
from mulleinhatch.data_plane.listener import Listener
from mulleinhatch.data_plane.registry_snapshot import RegisteredBackend, RegistrySnapshot
from mulleinhatch.data_plane.router import Router
from mulleinhatch.process.settings import Bounds, Settings

TIMEOUT_S = 10.0
BODY = b"the whole body"
EVENTS = [b"id: %d\ndata: x\n\n" % number for number in (1, 2, 3)]
ROUTES = {
    "safe": {"kind": "safe", "max_attempts": 2},
    "unsafe": {"kind": "unsafe", "max_attempts": 2},
    "stream": {"kind": "streaming", "max_attempts": 2},
    "resumable": {"kind": "streaming", "max_attempts": 2, "resumable": True},
}
SETTINGS = Settings("d", "127.0.0.1", "z", "r", {}, "127.0.0.1:1", (), False, False, 1, 1.0, "", 100, 100.0, {}, Bounds())


def head(status: int, request_id: bytes, *fields: bytes) -> bytes:
    lines = [b"HTTP/1.1 %d X" % status, b"Request-Id: " + request_id, b"Server-Signature: s", *fields]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection so that the other side sees a reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


@dataclass
class Backend:
    """Reads requests whole and answers each as the script says; what it did last is repeated.

    Attributes:
        script: Names of the `_NAME` methods, one for each request.
        requests: Requests that it read whole, by id.
        last_event_ids: `Last-Event-Id` of each request, empty where there is none.
        on_arrival: Called when a request was read whole.
        left: Set when the other side closed a connection while a request was at work.
    """

    script: list[str]
    requests: list[bytes] = field(default_factory=list)
    last_event_ids: list[bytes] = field(default_factory=list)
    on_arrival: Callable[[], None] = lambda: None
    arrived: asyncio.Event = field(default_factory=asyncio.Event)
    left: asyncio.Event = field(default_factory=asyncio.Event)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                lines = (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")
                fields = dict(line.lower().split(b": ", 1) for line in lines[1:] if b": " in line)
                await reader.readexactly(int(fields.get(b"content-length", b"0")))
                self.requests.append(fields[b"request-id"])
                self.last_event_ids.append(fields.get(b"last-event-id", b""))
                self.on_arrival()
                action = self.script[min(len(self.requests), len(self.script)) - 1]
                self.arrived.set()
                await getattr(self, "_" + action)(reader, writer, fields[b"request-id"])
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: bytes) -> None:
        writer.write(head(200, name, b"Content-Length: %d" % len(BODY)) + BODY)

    async def _answer_and_surplus(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: bytes) -> None:
        await self._answer(reader, writer, name)
        await self._answer(reader, writer, b"another")

    async def _not_executed(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: bytes) -> None:
        writer.write(head(503, name, b"Not-Executed: 1", b"Content-Length: 0"))

    async def _misdirected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: bytes) -> None:
        writer.write(head(421, name, b"Content-Length: 0"))

    async def _failure(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: bytes) -> None:
        writer.write(head(500, name, b"Content-Length: 4") + b"fail")

    async def _close(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: bytes) -> None:
        writer.close()

    async def _reset(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: bytes) -> None:
        reset(writer)

    async def _garbage(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: bytes) -> None:
        writer.write(b"\x00\x01 no answer\r\n\r\n")

    async def _other_id(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: bytes) -> None:
        await self._answer(reader, writer, b"another")
        writer.close()

    async def _half(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: bytes) -> None:
        writer.write(head(200, name, b"Content-Length: %d" % len(BODY)) + BODY[:3])
        await writer.drain()
        writer.close()

    async def _stream(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: bytes) -> None:
        self._write_events(writer, name, EVENTS[int(self.last_event_ids[-1] or b"0") :])
        writer.write(b"0\r\n\r\n")

    async def _stream_cut(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: bytes) -> None:
        self._write_events(writer, name, [*EVENTS[:1], EVENTS[1][:5]])
        await writer.drain()
        writer.close()

    def _write_events(self, writer: asyncio.StreamWriter, name: bytes, events: list[bytes]) -> None:
        writer.write(head(200, name, b"Content-Type: text/event-stream", b"Transfer-Encoding: chunked"))
        for event in events:
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))

    async def _work(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: bytes) -> None:
        """Work until the other side leaves."""
        await reader.read(1)
        self.left.set()


@dataclass
class Answer:
    """What the client got; `complete` tells whether the answer came to its end."""

    status: int
    body: bytes
    complete: bool


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer, whole or up to where it breaks off; status 0 where none came."""
    body = b""
    status = 0
    try:
        lines = (await reader.readuntil(b"\r\n\r\n")).lower().split(b"\r\n")
        status = int(lines[0].split()[1])
        fields = dict(line.split(b": ", 1) for line in lines[1:] if b": " in line)
        if fields.get(b"transfer-encoding") == b"chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        else:
            body = await reader.readexactly(int(fields[b"content-length"]))
        return Answer(status, body, True)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        return Answer(status, body + getattr(error, "partial", b"") if status else b"", False)


class ExchangesOnSockets(unittest.IsolatedAsyncioTestCase):
    @asynccontextmanager
    async def data_plane(self, *backends: Backend) -> AsyncIterator[tuple[str, int]]:
        loop = asyncio.get_running_loop()
        router = Router(SETTINGS, loop, lambda name: None)
        servers = [await asyncio.start_server(backend.serve, "127.0.0.1", 0) for backend in backends]
        registered = tuple(
            RegisteredBackend(
                f"i-{number}",
                "s",
                f"127.0.0.1:{server.sockets[0].getsockname()[1]}",
                "z",
                4,
                False,
                False,
                {},
                {},
                float("inf"),
            )
            for number, server in enumerate(servers)
        )
        routes = [
            {"name": name, "host": "h", "path_prefix": f"/{name}/", "timeout_ms": 5000, "service": "s", **facts}
            for name, facts in ROUTES.items()
        ]
        table = build_route_table(Document(1, {"version": 1, "routes": routes, "services": [{"name": "s"}]}))
        registry = RegistrySnapshot({backend.id: backend for backend in registered}, {"s": registered})
        router.apply_snapshot(ControlPlaneSnapshot(table, registry, 1, True))
        listener = Listener(lambda: table.limits, router.begin)
        with socket.create_server(("127.0.0.1", 0)) as unused:
            front = unused.getsockname()
        await listener.listen("%s:%d" % front)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                yield front
        finally:
            listener.close()
            for server in servers:
                server.close()

    async def ask(self, front: tuple[str, int], route: str, name: bytes = b"r1") -> Answer:
        reader, writer = await asyncio.open_connection(*front)
        writer.write(
            b"POST /%b/x HTTP/1.1\r\nHost: h\r\nRequest-Id: %b\r\nContent-Length: 2\r\n\r\nhi" % (route.encode(), name)
        )
        answer = await read_answer(reader)
        writer.close()
        return answer

    async def exchange(self, route: str, action: str) -> tuple[Answer, list[Backend]]:
        """One request to a backend that does something first; the other one answers."""
        second = "stream" if route in ("stream", "resumable") else "answer"
        backends = [Backend([action, second]), Backend([action, second])]
        for backend, other in zip(backends, reversed(backends)):
            backend.on_arrival = lambda other=other: other.script.remove(action) if action in other.script else None
        async with self.data_plane(*backends) as front:
            return await self.ask(front, route), backends

    def runs(self, backends: list[Backend]) -> int:
        return sum(len(backend.requests) for backend in backends)

    async def test_an_answer_passes_unchanged(self):
        for route in ("safe", "unsafe"):
            answer, backends = await self.exchange(route, "answer")
            self.assertEqual((answer, self.runs(backends)), (Answer(200, BODY, True), 1), route)
        for route in ("stream", "resumable"):
            answer, backends = await self.exchange(route, "stream")
            self.assertEqual((answer, self.runs(backends)), (Answer(200, b"".join(EVENTS), True), 1), route)

    async def test_a_request_that_did_not_run_goes_to_the_other_backend(self):
        for route, action in itertools.product(("safe", "unsafe"), ("not_executed", "misdirected")):
            answer, backends = await self.exchange(route, action)
            self.assertEqual((answer, self.runs(backends)), (Answer(200, BODY, True), 2), (route, action))

    async def test_a_request_that_may_have_run_is_repeated_only_where_it_may_be(self):
        for action in ("close", "reset", "garbage", "other_id"):
            answer, backends = await self.exchange("safe", action)
            self.assertEqual((answer, self.runs(backends)), (Answer(200, BODY, True), 2), action)
            answer, backends = await self.exchange("unsafe", action)
            self.assertEqual((answer.status, answer.complete, self.runs(backends)), (502, True, 1), action)

    async def test_a_failure_of_the_backend_passes_unchanged_where_the_request_may_run_once_only(self):
        answer, backends = await self.exchange("unsafe", "failure")
        self.assertEqual((answer, self.runs(backends)), (Answer(500, b"fail", True), 1))
        answer, backends = await self.exchange("safe", "failure")
        self.assertEqual((answer, self.runs(backends)), (Answer(200, BODY, True), 2))

    async def test_a_body_that_breaks_off_never_looks_complete(self):
        answer, backends = await self.exchange("unsafe", "half")
        self.assertEqual((answer.status, self.runs(backends)), (502, 1))
        answer, backends = await self.exchange("safe", "half")
        self.assertEqual((answer, self.runs(backends)), (Answer(200, BODY, True), 2))

    async def test_a_stream_goes_on_at_its_last_event_only_where_it_may(self):
        answer, backends = await self.exchange("resumable", "stream_cut")
        self.assertEqual((answer, self.runs(backends)), (Answer(200, b"".join(EVENTS), True), 2))
        self.assertEqual(sorted(sum((backend.last_event_ids for backend in backends), [])), [b"", b"1"])
        answer, backends = await self.exchange("stream", "stream_cut")
        self.assertFalse(answer.complete)
        self.assertTrue(answer.body.startswith(EVENTS[0]))
        self.assertEqual(self.runs(backends), 1)

    async def test_a_surplus_answer_reaches_nobody(self):
        backend = Backend(["answer_and_surplus", "answer"])
        async with self.data_plane(backend) as front:
            first = await self.ask(front, "safe", b"r1")
            second = await self.ask(front, "safe", b"r2")
        self.assertEqual((first, second), (Answer(200, BODY, True), Answer(200, BODY, True)))
        self.assertEqual(backend.requests, [b"r1", b"r2"])

    async def test_a_client_that_leaves_frees_its_backend(self):
        for route in ROUTES:
            backend = Backend(["work"])
            async with self.data_plane(backend) as front:
                _, writer = await asyncio.open_connection(*front)
                request = b"POST /%b/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nContent-Length: 0\r\n\r\n" % route.encode()
                writer.write(request)
                await backend.arrived.wait()
                writer.close()
                await backend.left.wait()
            self.assertEqual(len(backend.requests), 1, route)

    async def test_a_client_that_leaves_before_its_request_is_whole_reaches_no_backend(self):
        backend = Backend(["answer"])
        async with self.data_plane(backend) as front:
            _, writer = await asyncio.open_connection(*front)
            writer.write(b"POST /safe/x HTTP/1.1\r\nHost: h\r\nRequest-Id: cut\r\nContent-Length: 9\r\n\r\nhal")
            await writer.drain()
            reset(writer)
            answer = await self.ask(front, "safe", b"next")
        self.assertEqual((answer.status, backend.requests), (200, [b"next"]))

    async def test_requests_in_a_row_on_one_connection_get_their_own_answers(self):
        backend = Backend(["answer", "failure", "not_executed", "answer"])
        async with self.data_plane(backend) as front:
            reader, writer = await asyncio.open_connection(*front)
            statuses = []
            for number in range(3):
                writer.write(b"POST /unsafe/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r%d\r\nContent-Length: 0\r\n\r\n" % number)
                statuses.append((await read_answer(reader)).status)
            writer.close()
        self.assertEqual(statuses, [200, 500, 503])  # the only backend said that it did not run the last one
        self.assertEqual(backend.requests[:3], [b"r0", b"r1", b"r2"])


if __name__ == "__main__":
    unittest.main()
