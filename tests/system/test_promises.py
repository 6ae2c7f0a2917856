"""Where the data plane concludes that a request did not run: each claim on real sockets."""

from __future__ import annotations

import asyncio
import socket
import unittest
from dataclasses import replace

from mulleinhatch.data_plane.control_plane_snapshot import ControlPlaneSnapshot
from mulleinhatch.data_plane.registry_snapshot import RegistrySnapshot
from mulleinhatch.data_plane.request_lifecycle import ClientRequest
from tests.system.exchange_sockets import BODY, MODEL, Backend, ExchangeTestCase, Response, read_response

LONG_BODY = b"x" * 2_000_000


def message(request_id: bytes, body: bytes = b"", *fields: bytes, length: int | None = None, route: bytes = b"unsafe") -> bytes:
    lines = [b"POST /%b/x HTTP/1.1" % route, b"Host: h", b"Request-Id: " + request_id, *fields]
    lines.append(b"Content-Length: %d" % (len(body) if length is None else length))
    return b"\r\n".join((*lines, b"", body))


class UnwrittenRequests(ExchangeTestCase):
    """No byte was written: the connect failed, timed out, was cancelled, or the request had ended."""

    def register(self, backend_id: str, address: str) -> None:
        """Let one backend listen at another address."""
        by_id = dict(self.router.snapshot.backends.by_id)
        by_id[backend_id] = replace(by_id[backend_id], address=address)
        registry = RegistrySnapshot(by_id, {"s": tuple(by_id.values())})
        self.router.apply_snapshot(ControlPlaneSnapshot(self.router.snapshot.table, registry, 1, True))

    async def test_a_refused_connect_promises_503_and_nothing_ran(self):
        backend = Backend(["respond"])
        async with self.data_plane(backend) as address:
            with socket.create_server(("127.0.0.1", 0)) as unused:
                port = unused.getsockname()[1]
            self.register("i-0", f"127.0.0.1:{port}")
            response = await self.send_request(address, "unsafe")
        self.assertEqual((response.status, backend.requests), (503, []))

    async def test_a_connect_that_times_out_leaves_the_request_to_another_backend(self):
        backends = [Backend(["respond"]), Backend(["respond"])]
        async with self.data_plane(*backends) as address:
            with socket.socket() as full:
                full.bind(("127.0.0.1", 0))
                full.listen(0)
                waiting = [socket.socket() for _ in range(4)]  # They fill the backlog, so that further connects hang.
                for sock in waiting:
                    sock.setblocking(False)
                    sock.connect_ex(full.getsockname())
                self.register("i-0", "127.0.0.1:%d" % full.getsockname()[1])
                responses = [await self.send_request(address, "unsafe", b"r%d" % number) for number in range(2)]
                for sock in waiting:
                    sock.close()
        self.assertEqual(responses, [Response(200, BODY, True)] * 2)
        self.assertEqual((backends[0].requests, sorted(backends[1].requests)), ([], [b"r0", b"r1"]))

    async def test_a_client_that_leaves_while_the_connection_opens_sends_nothing(self):
        backend = Backend(["respond"])
        async with self.data_plane(backend) as address:
            opening, is_open = asyncio.Event(), asyncio.Event()
            original = self.router.pool.open

            async def slow_open(address: str):
                connection = await original(address)
                opening.set()
                await asyncio.wait_for(asyncio.shield(is_open.wait()), 5.0)
                return connection

            self.router.pool.open = slow_open
            _, writer = await asyncio.open_connection(*address)
            writer.write(message(b"r1"))
            await opening.wait()
            writer.close()
            while self.listener.sessions:
                await asyncio.sleep(0.01)
            is_open.set()
            self.router.pool.open = original
            response = await self.send_request(address, "unsafe", b"r2")
        self.assertEqual((response, backend.requests), (Response(200, BODY, True), [b"r2"]))

    # Guards against the start of a request that ended after the queue had released it.
    async def test_a_request_that_has_ended_is_not_started_and_frees_its_slot(self):
        backend = Backend(["respond"])
        async with self.data_plane(backend, models={MODEL: frozenset()}) as address:
            original = ClientRequest.start

            def start_after_the_end(request: ClientRequest) -> None:
                ClientRequest.start = original
                request.cancel()
                request.start()

            ClientRequest.start = start_after_the_end
            self.addCleanup(setattr, ClientRequest, "start", original)
            _, writer = await asyncio.open_connection(*address)
            writer.write(message(b"r1", b"", b"Model: " + MODEL.encode()))
            while ClientRequest.start is not original:
                await asyncio.sleep(0.01)
            response = await self.send_request(address, "unsafe", b"r2", MODEL)
            [queue] = self.router.queue.by_model.values()
            writer.close()
        self.assertEqual((response, backend.requests, queue.running), (Response(200, BODY, True), [b"r2"], 0))


class SurplusBytes(ExchangeTestCase):
    """Bytes of a backend that belong to no request, between two sends and around a rejected one."""

    async def assert_served_once(self, *script: str, bodies: tuple[bytes, bytes] = (b"", b"")) -> list[Response]:
        """Send two requests to one backend and check that each ran at most once and got only its own response."""
        backend = Backend(list(script))
        async with self.data_plane(backend, models={MODEL: frozenset()}) as address:
            responses = []
            for request_id, body in zip((b"r1", b"r2"), bodies, strict=True):
                reader, writer = await asyncio.open_connection(*address)
                writer.write(message(request_id, body, b"Model: " + MODEL.encode()))
                responses.append(await read_response(reader))
                writer.close()
        for request_id, response in zip((b"r1", b"r2"), responses, strict=True):
            count = backend.executed.count(request_id)
            self.assertLessEqual(count, 1)
            self.assertIn(response.status, (200, 502, 504) if count else (502, 503, 504))
        return responses

    async def test_a_second_rejection_in_one_piece_with_the_first(self):
        responses = await self.assert_served_once("rejected_twice", "respond")
        self.assertEqual(responses, [Response(200, BODY, True)] * 2)

    async def test_a_second_rejection_between_two_sends(self):
        responses = await self.assert_served_once("rejected_and_again_later", "respond")
        self.assertEqual(responses, [Response(200, BODY, True)] * 2)

    async def test_a_long_body_that_is_rejected_before_it_was_read(self):
        responses = await self.assert_served_once("rejected_early", "respond", bodies=(LONG_BODY, b""))
        self.assertEqual(responses, [Response(200, BODY, True)] * 2)

    async def test_the_late_response_of_a_request_whose_client_left_reaches_nobody(self):
        backend = Backend(["execute", "respond"])
        async with self.data_plane(backend) as address:
            _, writer = await asyncio.open_connection(*address)
            writer.write(message(b"r1"))
            await backend.arrived.wait()
            writer.close()
            await backend.peer_closed.wait()
            response = await self.send_request(address, "unsafe", b"r2")
        self.assertEqual((response, backend.requests), (Response(200, BODY, True), [b"r1", b"r2"]))


class UnreadRequests(ExchangeTestCase):
    """The listener answers or closes: the request was not and will not be begun."""

    async def test_the_rest_of_a_body_after_408_begins_nothing(self):
        backend = Backend(["respond"])
        async with self.data_plane(backend, limits={"header_timeout_ms": 100, "idle_timeout_ms": 100}) as address:
            reader, writer = await asyncio.open_connection(*address)
            writer.write(message(b"r1", b"ha", length=4))
            response = await read_response(reader)
            writer.write(b"lf" + message(b"r2"))
            self.assertEqual(await reader.read(), b"")
            await self.send_request(address, "unsafe", b"r3")
            writer.close()
        self.assertEqual((response.status, backend.requests), (408, [b"r3"]))

    async def test_a_body_that_arrives_while_413_is_written_begins_nothing(self):
        backend = Backend(["respond"])
        async with self.data_plane(backend, limits={"max_body_bytes": 8}) as address:
            reader, writer = await asyncio.open_connection(*address)
            writer.write(message(b"r1", b"x" * 9) + message(b"r2"))
            response = await read_response(reader)
            await self.send_request(address, "unsafe", b"r3")
            writer.close()
        self.assertEqual((response.status, backend.requests), (413, [b"r3"]))

    async def test_a_pipelined_request_behind_the_last_response_begins_nothing(self):
        backend = Backend(["respond"])
        async with self.data_plane(backend) as address:
            reader, writer = await asyncio.open_connection(*address)
            writer.write(message(b"r1", b"", b"Connection: close") + message(b"r2"))
            response = await read_response(reader)
            self.assertEqual(await reader.read(), b"")
            await self.send_request(address, "unsafe", b"r3")
            writer.close()
        self.assertEqual((response, backend.requests), (Response(200, BODY, True), [b"r1", b"r3"]))

    # Guards against a reset that overtakes the last response, as bytes behind the request were left unread.
    async def test_the_last_response_arrives_although_the_client_goes_on_sending(self):
        backend = Backend(["respond_slowly"])
        async with self.data_plane(backend, limits={"max_body_bytes": 8}) as address:
            for first, status in ((message(b"r1", b"", b"Connection: close"), 200), (message(b"r2", b"x" * 9), 413)):
                reader, writer = await asyncio.open_connection(*address)
                writer.write(first)
                for _ in range(20):
                    writer.write(LONG_BODY[:50_000])
                response = await read_response(reader)
                self.assertEqual((response.status, response.complete, await reader.read()), (status, True, b""))
                writer.close()
        self.assertEqual(backend.requests, [b"r1"])

    async def test_a_request_that_arrives_with_the_shutdown_is_closed_unread_or_answered(self):
        backend = Backend(["respond"])
        async with self.data_plane(backend) as address:
            reader, writer = await asyncio.open_connection(*address)
            writer.write(message(b"r1"))
            self.assertEqual(await read_response(reader), Response(200, BODY, True))
            self.listener.is_shutting_down = True
            for session in list(self.listener.sessions):
                session.close_if_idle()
            writer.write(message(b"r2"))  # It crosses the close.
            response = await read_response(reader)
            writer.close()
        self.assertEqual((response.status, backend.requests), (0, [b"r1"]))

    async def test_a_request_that_is_under_way_at_the_shutdown_is_answered_and_its_connection_closed(self):
        backend = Backend(["respond_slowly"])
        async with self.data_plane(backend) as address:
            reader, writer = await asyncio.open_connection(*address)
            writer.write(message(b"r1"))
            await backend.arrived.wait()
            self.listener.is_shutting_down = True
            for session in list(self.listener.sessions):
                session.close_if_idle()
            response = await read_response(reader)
            self.assertEqual(await reader.read(), b"")
            writer.close()
        self.assertEqual((response, backend.requests), (Response(200, BODY, True), [b"r1"]))

    # Guards against a close without an answer at the end of the grace period: the request may have executed.
    async def test_a_request_that_outlasts_the_shutdown_is_answered_without_a_promise(self):
        backend = Backend(["execute"])
        async with self.data_plane(backend) as address:
            reader, writer = await asyncio.open_connection(*address)
            writer.write(message(b"r1"))
            await backend.arrived.wait()
            self.listener.is_shutting_down = True
            self.router.end_shutdown()
            response = await read_response(reader)
            self.assertEqual(await reader.read(), b"")
            writer.close()
        self.assertEqual((response.status, response.complete, backend.requests), (502, True, [b"r1"]))

    # Guards against a response after the last log line of the process: the log would not tell it.
    async def test_nothing_is_answered_after_the_sessions_are_closed(self):
        backend = Backend(["respond"])
        async with self.data_plane(backend) as address:
            reader, writer = await asyncio.open_connection(*address)
            writer.write(message(b"r1"))
            self.assertEqual(await read_response(reader), Response(200, BODY, True))
            writer.write(message(b"r2"))  # It lies in the socket, unread.
            self.listener.close_sessions()
            response = await read_response(reader)
            writer.close()
        self.assertEqual((response.status, backend.requests), (0, [b"r1"]))

    async def test_a_stream_that_outlasts_the_shutdown_does_not_look_complete(self):
        backend = Backend(["endless_stream"])
        async with self.data_plane(backend) as address:
            reader, writer = await asyncio.open_connection(*address)
            writer.write(message(b"r1", route=b"stream"))
            await reader.readuntil(b"data: x")
            self.router.end_shutdown()
            remaining = await reader.read()
            writer.close()
        self.assertNotIn(b"0\r\n\r\n", remaining)


class Deadlines(ExchangeTestCase):
    async def test_a_deadline_while_the_backend_works_promises_nothing(self):
        backend = Backend(["execute"])
        async with self.data_plane(backend) as address:
            reader, writer = await asyncio.open_connection(*address)
            writer.write(message(b"r1", b"", b"Request-Deadline: 100"))
            response = await read_response(reader)
            writer.close()
        self.assertEqual((response.status, backend.requests), (504, [b"r1"]))


if __name__ == "__main__":
    unittest.main()
