"""API keys on the wire: which requests run, under which tenant's name, and that no backend receives a key.

A data plane's listener and router run in the test's loop between a plain client socket and backends that record requests and
answer while their gate is open.
"""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

from mulleinhatch.configuration.document import Document
from mulleinhatch.configuration.routes import build_route_table
from mulleinhatch.configuration.tenants import TenantTableBuilder
from mulleinhatch.data_plane.control_plane_snapshot import ControlPlaneSnapshot
from mulleinhatch.data_plane.listener import Listener
from mulleinhatch.data_plane.registry_snapshot import RegisteredBackend, RegistrySnapshot
from mulleinhatch.data_plane.router import Router
from mulleinhatch.networking.http_streaming import Head, parse_request_head
from mulleinhatch.process.settings import Bounds, Settings
from mulleinhatch.tenants.api_keys import KeyDigester

TIMEOUT_S = 10.0
SETTINGS = Settings("d", "127.0.0.1", "z", "r", {}, "127.0.0.1:1", (), False, False, 1, 1.0, "", 100, 100.0, {}, Bounds())
ROUTES = [
    {"name": "private", "host": "h", "path_prefix": "/private/", "timeout_ms": 5000, "service": "s", "priority": 2},
    {"name": "public", "host": "h", "path_prefix": "/public/", "timeout_ms": 5000, "service": "s", "public": True},
    {
        "name": "safe",
        "host": "h",
        "path_prefix": "/safe/",
        "timeout_ms": 5000,
        "service": "s",
        "kind": "safe",
        "max_attempts": 2,
    },
    {
        "name": "stream",
        "host": "h",
        "path_prefix": "/stream/",
        "timeout_ms": 5000,
        "service": "s",
        "kind": "streaming",
        "resumable": True,
        "max_attempts": 2,
    },
]
TENANTS = [
    {"name": "t1", "api_keys": ["key-1", "key-1b"], "priority": 1},
    {"name": "t2", "api_keys": ["key-2"]},
]
AUTHORIZED = b"Authorization: Bearer key-1"


@dataclass
class Backend:
    """Records requests; answers each once `gate` is set.

    Attributes:
        heads: Heads of the requests that it read completely.
        bodies: Their bodies.
        arrived: One entry for each request that it read completely.
        gate: Requests are answered while it is set.
        actions: What it does with the next requests instead of a normal response.
    """

    heads: list[Head] = field(default_factory=list)
    bodies: list[bytes] = field(default_factory=list)
    arrived: asyncio.Queue[None] = field(default_factory=asyncio.Queue)
    gate: asyncio.Event = field(default_factory=asyncio.Event)
    actions: list[str] = field(default_factory=list)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = parse_request_head(await reader.readuntil(b"\r\n\r\n"))
                self.bodies.append(await reader.readexactly(head.length))
                self.heads.append(head)
                self.arrived.put_nowait(None)
                await self.gate.wait()
                self._respond(writer, head.field_values[b"request-id"], self.actions.pop(0) if self.actions else "")
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    def _respond(self, writer: asyncio.StreamWriter, request_id: bytes, action: str) -> None:
        if action == "close":
            writer.close()
            return
        lines = [b"Request-Id: " + request_id, b"Server-Signature: s"]
        if action == "not executed":
            writer.write(b"\r\n".join([b"HTTP/1.1 503 X", *lines, b"Not-Executed: 1", b"Content-Length: 0", b"", b""]))
        elif action == "cut":
            lines += [b"Content-Type: text/event-stream", b"Transfer-Encoding: chunked"]
            writer.write(b"\r\n".join([b"HTTP/1.1 200 OK", *lines, b"", b""]) + b"e\r\nid: 1\ndata: x\n\n\r\n")
            writer.close()
        else:
            writer.write(b"\r\n".join([b"HTTP/1.1 200 OK", *lines, b"Content-Length: 2", b"", b""]) + b"ok")


@dataclass
class Response:
    """A response that the client received."""

    status: int
    fields: dict[bytes, bytes]
    body: bytes


class Client:
    """One client connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self.writer = reader, writer
        self._sent = 0

    def send(self, path: str, *fields: bytes, body: bytes = b"hi", trailers: Sequence[bytes] | None = None) -> None:
        self._sent += 1
        lines = [b"POST %b HTTP/1.1" % path.encode(), b"Host: h", b"Request-Id: r%d" % self._sent, *fields]
        if trailers is None:
            data = b"\r\n".join([*lines, b"Content-Length: %d" % len(body), b"", b""]) + body
        else:
            chunk = b"%x\r\n%b\r\n0\r\n" % (len(body), body)
            data = b"\r\n".join([*lines, b"Transfer-Encoding: chunked", b"", b""]) + chunk + b"\r\n".join([*trailers, b"", b""])
        self.writer.write(data)

    async def read_response(self) -> Response:
        lines = (await self._reader.readuntil(b"\r\n\r\n")).split(b"\r\n")
        fields = {name.lower(): text for name, _, text in (line.partition(b": ") for line in lines[1:]) if name}
        body = await self._reader.readexactly(int(fields.get(b"content-length", b"0")))
        return Response(int(lines[0].split()[1]), fields, body)

    async def exchange(self, path: str, *fields: bytes, **more: Any) -> Response:
        self.send(path, *fields, **more)
        return await self.read_response()


class World:
    """One data plane, its backends, and the configuration in force."""

    def __init__(self, router: Router, address: tuple[str, int], backends: list[Backend], registry: RegistrySnapshot) -> None:
        self.router, self.address, self.backends, self.registry = router, address, backends, registry
        self.builder = TenantTableBuilder(KeyDigester(b"k" * 32))
        self.version = 0
        self.loop = asyncio.get_running_loop()

    def configure(
        self, tenants: list[dict] | None = TENANTS, routes: list[dict] = ROUTES, confirmed_s_ago: float = 0.0
    ) -> None:
        """Put a configuration into force that the control plane confirmed `confirmed_s_ago` seconds ago."""
        self.version += 1
        value: dict[str, Any] = {"version": self.version, "routes": routes, "services": [{"name": "s"}]}
        if tenants is not None:
            value["tenants"] = tenants
        document = Document(self.version, value)
        table = build_route_table(document, self.builder.build(value))
        confirmed_at = self.loop.time() - confirmed_s_ago
        self.router.apply_snapshot(ControlPlaneSnapshot(table, self.registry, 1, True, confirmed_at))

    async def connect(self) -> Client:
        return Client(*await asyncio.open_connection(*self.address))

    async def exchange(self, path: str, *fields: bytes, **more: Any) -> Response:
        client = await self.connect()
        response = await client.exchange(path, *fields, **more)
        client.writer.close()
        return response

    @property
    def heads(self) -> list[Head]:
        """Heads of the requests that reached a backend."""
        return [head for backend in self.backends for head in backend.heads]

    def sent_fields(self, name: bytes) -> list[bytes]:
        """Values of a header field in the last request that reached a backend."""
        return [text for field_name, text in self.heads[-1].fields if field_name.lower() == name]


class TenantsOnTheWire(unittest.IsolatedAsyncioTestCase):
    @asynccontextmanager
    async def world(self, backends: int = 1, slots: int = 4) -> AsyncIterator[World]:
        loop = asyncio.get_running_loop()
        router = Router(SETTINGS, loop, lambda name: None)
        made = [Backend() for _ in range(backends)]
        servers = [await asyncio.start_server(backend.serve, "127.0.0.1", 0) for backend in made]
        registered = tuple(
            RegisteredBackend(
                f"i-{number}", "s", "%s:%d" % server.sockets[0].getsockname(), "z", slots, False, False, {}, {}, float("inf")
            )
            for number, server in enumerate(servers)
        )
        for backend in made:
            backend.gate.set()
        listener = Listener(lambda: router.snapshot.table.limits, router.begin)
        await listener.listen("127.0.0.1:0")
        address = listener._server.sockets[0].getsockname()
        world = World(router, address, made, RegistrySnapshot({one.id: one for one in registered}, {"s": registered}))
        world.configure()
        try:
            async with asyncio.timeout(TIMEOUT_S):
                yield world
        finally:
            listener.close()
            for server in servers:
                server.close()

    # What reaches a backend.

    async def test_a_request_with_a_key_runs_under_its_tenant_and_the_key_is_not_passed_on(self):
        """Guards against passing keys on to backends, and against requests without the tenant's name."""
        async with self.world() as world:
            for key, tenant in ((b"key-1", b"t1"), (b"key-1b", b"t1"), (b"key-2", b"t2")):
                response = await world.exchange("/private/x", b"Authorization: bearer " + key)
                self.assertEqual((response.status, response.body), (200, b"ok"))
                self.assertEqual((world.sent_fields(b"tenant"), world.sent_fields(b"authorization")), ([tenant], []))

    async def test_a_tenant_field_of_the_client_is_never_passed_on(self):
        """Guards against passing on a client's own `Tenant` field, in any letter case, repeated or in trailers."""
        async with self.world() as world:
            own = (b"tenant: t2", b"TENANT: t2", b"Tenant: other")
            await world.exchange("/private/x", AUTHORIZED, *own)
            self.assertEqual(world.sent_fields(b"tenant"), [b"t1"])
            trailers = [b"Tenant: t2", AUTHORIZED]
            await world.exchange("/private/x", *own, AUTHORIZED, b"Trailer: Tenant", trailers=trailers)
            self.assertEqual((world.sent_fields(b"tenant"), world.sent_fields(b"authorization")), ([b"t1"], []))
            self.assertEqual(world.backends[0].bodies[-1], b"hi")
            response = await world.exchange("/private/x", trailers=trailers)  # a key in trailers does not count
            self.assertEqual(response.status, 401)
            self.assertEqual(len(world.heads), 2)

    async def test_a_public_route_requires_no_key_and_passes_none_on(self):
        async with self.world() as world:
            for fields, tenant in (
                ((), []),
                ((b"Tenant: t2",), []),
                ((AUTHORIZED, b"Tenant: t2"), [b"t1"]),
                ((b"Authorization: Bearer unknown", b"Tenant: t1"), []),
                ((b"Authorization: nonsense",), []),
                ((AUTHORIZED, AUTHORIZED), []),
            ):
                self.assertEqual((await world.exchange("/public/x", *fields)).status, 200)
                self.assertEqual((world.sent_fields(b"tenant"), world.sent_fields(b"authorization")), (tenant, []), fields)

    async def test_without_tenants_fields_are_passed_on_as_sent(self):
        async with self.world() as world:
            for tenants in (None, []):
                world.configure(tenants)
                self.assertEqual((await world.exchange("/private/x", b"Authorization: Basic x", b"Tenant: own")).status, 200)
                sent = world.sent_fields(b"authorization"), world.sent_fields(b"tenant")
                self.assertEqual(sent, ([b"Basic x"], [b"own"]))

    async def test_the_priority_of_the_tenant_comes_before_that_of_the_route(self):
        """Guards against ignoring the route's priority: the tenant's priority comes first, then the route's."""
        async with self.world() as world:
            for key, path, priority in (
                (b"key-2", "/safe/x", b"0"),  # no priority counts as 0
                (b"key-2", "/private/x", b"1"),
                (b"key-1", "/safe/x", b"2"),
                (b"key-1", "/private/x", b"3"),
            ):
                await world.exchange(path, b"Authorization: Bearer " + key)
                self.assertEqual(world.sent_fields(b"priority"), [priority], path)

    async def send_in_order(self, world: World, *requests: tuple[str, str]) -> list[Client]:
        """Send requests, given by path and key, on separate connections so that they arrive in this order."""
        clients = []
        for path, key in requests:
            clients.append(await world.connect())
            clients[-1].send(path, b"Authorization: Bearer " + key.encode())
            await asyncio.sleep(0.02)
        return clients

    async def order_of_sending(self, world: World, clients: list[Client]) -> list[tuple[bytes, bytes]]:
        """Let the backend respond, and return the path and `Priority` of each request in the order in which they were sent."""
        world.backends[0].gate.set()
        for client in clients:
            self.assertEqual((await client.read_response()).status, 200)
        return [(head.target, head.field_values[b"priority"]) for head in world.heads]

    async def test_tenants_of_equal_priority_are_ordered_by_the_routes_priority(self):
        """Guards against ignoring a route's priority if all tenants have the same priority."""
        async with self.world(slots=2) as world:  # of which three run at a time
            world.configure([{"name": "t1", "api_keys": ["key-1"], "priority": 1}], [ROUTES[0], ROUTES[2]])
            world.backends[0].gate.clear()
            paths = ("/safe/1", "/safe/2", "/safe/3", "/private/4", "/safe/5")
            clients = await self.send_in_order(world, *((path, "key-1") for path in paths))
            order = await self.order_of_sending(world, clients)
            self.assertEqual(order[:3], [(b"/safe/1", b"0"), (b"/safe/2", b"0"), (b"/safe/3", b"0")])
            self.assertEqual(order[3:], [(b"/safe/5", b"0"), (b"/private/4", b"1")])

    async def test_a_queued_request_gets_its_priority_class_from_a_new_configuration(self):
        """Guards against keeping the priority class of a former configuration for a queued request."""
        busy, first, second = ({"name": f"t{number}", "api_keys": [f"key-{number}"]} for number in range(3))
        async with self.world(slots=2) as world:  # of which three run at a time
            world.configure([busy, first, second])
            world.backends[0].gate.clear()
            clients = await self.send_in_order(
                world, *(("/safe/x", "key-0"),) * 3, ("/private/first", "key-1"), ("/private/second", "key-2")
            )
            world.configure([busy, first | {"priority": 5}, second])
            order = await self.order_of_sending(world, clients)
            self.assertEqual(order[3:], [(b"/private/second", b"1"), (b"/private/first", b"3")])

    # What is refused.

    async def test_a_request_without_a_known_key_gets_401_and_does_not_run(self):
        """Guards against running requests with keys that no configuration ever contained."""
        async with self.world() as world:
            for fields in (
                (),
                (b"Authorization: Bearer unknown",),
                (b"Authorization: key-1",),
                (b"Authorization: Basic key-1",),
                (AUTHORIZED, AUTHORIZED),
                (AUTHORIZED, b"authorization: Bearer key-2"),
                (b"Tenant: t1",),
            ):
                response = await world.exchange("/private/x", *fields)
                self.assertEqual(response.status, 401, fields)
                self.assertEqual(response.fields[b"www-authenticate"], b"Bearer")
                self.assertNotIn(b"unknown", response.body)
            self.assertEqual(world.heads, [])
            self.assertEqual(world.router.request_log.counters["unauthorized"], 7)

    async def test_a_missing_route_takes_precedence_over_a_missing_key(self):
        async with self.world() as world:
            self.assertEqual((await world.exchange("/nowhere/x")).status, 404)

    async def test_out_of_touch_a_request_that_a_newer_configuration_may_allow_gets_503(self):
        """Guards against rejecting valid requests: with an outdated configuration no key is known to be wrong."""
        async with self.world() as world:
            world.configure(confirmed_s_ago=20.0)
            for path, fields in (
                ("/private/x", (b"Authorization: Bearer unknown",)),
                ("/private/x", ()),
                ("/private/x", (AUTHORIZED, AUTHORIZED)),
                ("/nowhere/x", (AUTHORIZED,)),
            ):
                response = await world.exchange(path, *fields)
                self.assertEqual(response.status, 503, (path, fields))
                self.assertGreater(float(response.fields[b"retry-after"]), 0.0)
            self.assertEqual(world.router.request_log.counters["out_of_touch"], 4)
            self.assertEqual((await world.exchange("/private/x", AUTHORIZED)).status, 200)
            self.assertEqual((await world.exchange("/public/x")).status, 200)

    async def test_a_snapshot_becomes_outdated_without_responses_of_the_control_plane(self):
        async with self.world() as world:
            world.configure(confirmed_s_ago=SETTINGS.bounds.configuration_apply_s - 0.3)
            self.assertEqual((await world.exchange("/private/x")).status, 401)
            await asyncio.sleep(0.4)
            self.assertEqual((await world.exchange("/private/x")).status, 503)

    async def test_a_401_leaves_the_connection_usable(self):
        """The request is read completely before it is rejected, so that the next one starts where it ends."""
        async with self.world() as world:
            client = await world.connect()
            for body in (b"POST /private/x HTTP/1.1\r\nHost: h\r\n\r\n", b"x" * 100_000):
                self.assertEqual((await client.exchange("/private/x", body=body)).status, 401)
                self.assertEqual((await client.exchange("/private/x", body=body, trailers=[])).status, 401)
                self.assertEqual((await client.exchange("/private/x", AUTHORIZED)).status, 200)
            self.assertEqual(len(world.heads), 2)

    # Keys that are added and removed.

    async def test_a_key_is_checked_at_each_request_of_a_persistent_connection(self):
        """Guards against running a request whose key was removed since the connection's previous request."""
        async with self.world() as world:
            client = await world.connect()
            self.assertEqual((await client.exchange("/private/x", AUTHORIZED)).status, 200)
            world.configure(tenants=[TENANTS[1]])
            self.assertEqual((await client.exchange("/private/x", AUTHORIZED)).status, 401)
            self.assertEqual((await client.exchange("/private/x", b"Authorization: Bearer key-2")).status, 200)
            self.assertEqual(world.sent_fields(b"tenant"), [b"t2"])
            world.configure()
            self.assertEqual((await client.exchange("/private/x", AUTHORIZED)).status, 200)

    async def test_a_pipelined_request_is_checked_by_its_own_key(self):
        async with self.world() as world:
            client = await world.connect()
            for fields in ((AUTHORIZED,), (b"Authorization: Bearer key-2",), ()):
                client.send("/private/x", *fields)
            self.assertEqual([(await client.read_response()).status for _ in range(3)], [200, 200, 401])
            self.assertEqual([head.field_values[b"tenant"] for head in world.heads], [b"t1", b"t2"])

    async def test_a_key_that_moved_runs_under_its_new_tenant(self):
        async with self.world() as world:
            world.configure([{"name": "t3", "api_keys": ["key-1"]}])
            await world.exchange("/private/x", AUTHORIZED)
            self.assertEqual(world.sent_fields(b"tenant"), [b"t3"])

    async def wait_in_queue(self, world: World, *fields: bytes, path: str = "/private/x") -> tuple[list[Client], Client]:
        """Occupy all slots and queue one request with these fields; return the clients of both."""
        backend = world.backends[0]
        backend.gate.clear()
        running = [await world.connect() for _ in range(2)]
        for client in running:
            client.send("/public/x")
            await backend.arrived.get()
        waiting = await world.connect()
        waiting.send(path, *fields)
        while not any(queue.waiting for queue in world.router.queue.by_model.values()):
            await asyncio.sleep(0.001)
        return running, waiting

    async def test_a_request_whose_key_is_removed_while_it_waits_does_not_run(self):
        """Guards against running a request whose key was removed while it was queued."""
        async with self.world(slots=1) as world:
            running, waiting = await self.wait_in_queue(world, AUTHORIZED)
            world.configure(tenants=[TENANTS[1]])
            world.backends[0].gate.set()
            self.assertEqual((await waiting.read_response()).status, 401)
            self.assertEqual([(await client.read_response()).status for client in running], [200, 200])
            self.assertEqual(len(world.heads), 2)
            self.assertEqual([queue.running for queue in world.router.queue.by_model.values()], [0])

    async def test_a_request_whose_route_is_removed_while_it_waits_does_not_run(self):
        async with self.world(slots=1) as world:
            _, waiting = await self.wait_in_queue(world, AUTHORIZED)
            world.configure(routes=ROUTES[1:])
            world.backends[0].gate.set()
            self.assertEqual((await waiting.read_response()).status, 404)
            self.assertEqual(len(world.heads), 2)

    async def test_a_queued_request_runs_under_the_tenants_in_force_when_it_starts(self):
        async with self.world(slots=1) as world:
            world.configure(tenants=None)
            _, waiting = await self.wait_in_queue(world, AUTHORIZED, b"Tenant: own")
            world.configure()
            world.backends[0].gate.set()
            self.assertEqual((await waiting.read_response()).status, 200)
            self.assertEqual((world.sent_fields(b"tenant"), world.sent_fields(b"authorization")), ([b"t1"], []))

    async def test_a_retry_is_authorized_again(self):
        """Guards against a retry on another backend after the key was removed."""
        for path, action, expected in (
            ("/private/x", "not executed", 401),
            ("/safe/x", "close", 502),  # it may have run; 401 would claim that it did not
        ):
            async with self.world(backends=2) as world:
                for backend in world.backends:
                    backend.gate.clear()
                    backend.actions.append(action)
                client = await world.connect()
                client.send(path, AUTHORIZED)
                while not world.heads:
                    await asyncio.sleep(0.001)
                world.configure(tenants=[TENANTS[1]])
                for backend in world.backends:
                    backend.gate.set()
                self.assertEqual((await client.read_response()).status, expected, path)
                self.assertEqual(len(world.heads), 1)

    async def test_a_stream_is_not_resumed_after_its_key_was_removed(self):
        """Guards against resuming a stream after its key was removed: a resumed stream is a new run."""
        async with self.world(backends=2) as world:
            for backend in world.backends:
                backend.gate.clear()
                backend.actions.append("cut")
            client = await world.connect()
            client.send("/stream/x", AUTHORIZED)
            while not world.heads:
                await asyncio.sleep(0.001)
            world.configure(tenants=[TENANTS[1]])
            for backend in world.backends:
                backend.gate.set()
            with self.assertRaises((asyncio.IncompleteReadError, ConnectionError)):
                await client._reader.readuntil(b"0\r\n\r\n")
            self.assertEqual(len(world.heads), 1)


if __name__ == "__main__":
    unittest.main()
