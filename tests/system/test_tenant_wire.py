"""What backends and clients see of tenants, keys and quotas, on real sockets between real processes.

One control plane and one data plane run as processes; two recording backends and the clients run in the test. After each test
all logs, pages and files, except the control plane's, are searched for the keys.
"""

from __future__ import annotations

import asyncio
import json
import random
import tempfile
import unittest
import uuid
from pathlib import Path
from typing import Any

import pytest

from benchmarks.soak_parts.backends import RecordingBackend, stream_event
from benchmarks.soak_parts.bounds import SoakBounds
from benchmarks.soak_parts.changes import HOST, PLAIN_TOKENS, SERVICE, Operator, new_key, route, tenant
from benchmarks.soak_parts.fleet import Fleet
from benchmarks.soak_parts.leaks import find_leaks
from benchmarks.soak_parts.records import BackendRun, Observations
from mulleinhatch.networking.http_client import HttpCallError, HttpClient, HttpResponse
from mulleinhatch.networking.http_streaming import Head, MessageReader

BOUNDS = SoakBounds()
TIMEOUT_S = 20.0
POLL_S = 0.05
FLOOD = 60
LOW_RATE, LOW_BURST = 100, 100
LEAST_UNITS = 100  # least cost of a request with a malformed `Token-Usage`, however it is interpreted
BROKEN_USAGES = ("-300,100", "300,-100", "-1,-1", "x,100", "", "300", "0x12c,100", "3e2,100", "+300,+100", "30_0,10_0")
PAGES = ("/status", "/metrics", "/ready", "/nothing")


class ScriptedBackend(RecordingBackend):
    """A backend that delays its response to requests whose path contains `held` until it is told to abort their connections."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.break_off = asyncio.Event()

    async def answer(self, run: BackendRun, head: Head, writer: asyncio.StreamWriter) -> None:
        if b"held" not in head.target or self.break_off.is_set():
            return await super().answer(run, head, writer)
        if head.target.startswith(b"/write/"):
            fields = b"Request-Id: %b\r\nServer-Signature: %b\r\n" % (run.id.encode(), self.id.encode())
            writer.write(b"HTTP/1.1 200 OK\r\n%bTransfer-Encoding: chunked\r\n\r\n" % fields)
            event = stream_event(run.id, 1)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        await self.break_off.wait()
        writer.transport.abort()
        return None


class Connection:
    """A persistent client connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self.writer, self._messages = reader, writer, MessageReader(reads_responses=True)

    async def exchange(self, data: bytes) -> tuple[int, bytes]:
        """Write bytes and return status and body of the next response; status 0 if the connection ended first."""
        self.writer.write(data)
        return await self.read_response()

    async def read_response(self) -> tuple[int, bytes]:
        async with asyncio.timeout(TIMEOUT_S):
            try:
                return await self._read_response()
            except OSError:
                return 0, b""

    async def _read_response(self) -> tuple[int, bytes]:
        while (head := self._messages.head()) is None:
            if not await self._feed():
                return 0, b""
        body = self._messages.body()
        while not self._messages.done:
            if not await self._feed():
                return 0, body
            body += self._messages.body()
        self._messages.next()
        return head.status, body

    async def _feed(self) -> bool:
        data = await self._reader.read(65536)
        self._messages.feed(data)
        return bool(data)


def request(path: str, *fields: str, body: bytes | None = None, request_id: str = "") -> bytes:
    """Return the bytes of a request, with `Content-Length` if it has a body."""
    lines = [f"{'GET' if body is None else 'POST'} {path} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"Request-Id: {request_id or uuid.uuid4().hex[:16]}", "Request-Deadline: 8000", *fields]
    lines += [] if body is None else [f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b"")


def bearer(key: str) -> str:
    return f"Authorization: Bearer {key}"


@pytest.mark.processes
class TenantWire(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory(prefix="mulleinhatch-wire-")
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.fleet = Fleet(self.folder, 1, 1, BOUNDS)
        self.addCleanup(self.fleet.end)
        self.seen = Observations()
        self.operator = Operator(self.fleet.control_addresses, self.seen, random.Random(1))
        self.http_client = HttpClient()
        self.first, self.second, self.spare, self.low, self.unknown = (new_key() for _ in range(5))
        self.low_keys = [new_key() for _ in BROKEN_USAGES]  # one tenant each
        self.keys = {self.first, self.second, self.spare, self.low, self.unknown, *self.low_keys}
        self.fleet.start_all()
        self.backends = [await self.start_backend(number) for number in range(2)]
        await self.put_document()
        await self.until_served()
        self.seen.runs.clear()

    async def asyncTearDown(self):
        """Check that no log, page or file outside the control plane contains a key or a digest of one."""
        texts = {
            str(path.relative_to(self.folder)): path.read_bytes()
            for path in self.folder.rglob("*")
            if path.is_file() and path.relative_to(self.folder).parts[0] != "control-0"
        }
        for name in ("control-0", "data-0"):
            for page in PAGES:
                try:
                    answer = await self.http_client.request(self.fleet.status_address(name), "GET", page, b"", 2.0)
                    texts[name + page] = answer.body
                except HttpCallError:
                    pass
        for backend in self.backends:
            await backend.crash()
        self.assertTrue(any(name.endswith(".log") for name in texts))
        self.assertEqual(find_leaks(texts, self.keys), [])

    async def start_backend(self, number: int) -> ScriptedBackend:
        address = self.fleet.backend_address(number)
        backend = ScriptedBackend(SERVICE, address, "zone-0", self.fleet.control_addresses, self.seen.runs.append)
        await backend.start()
        return backend

    def document(self) -> dict[str, Any]:
        routes = [
            route("read", "safe"),
            route("once", "unsafe"),
            route("write", "streaming", resumable=True, gap_aim_ms=400),
            route("open", "safe", public=True),
        ]
        tenants = [
            tenant("first", [self.first, self.spare], 0, 0),
            tenant("second", [self.second], 0, 0),
            tenant("low", [self.low], LOW_RATE, LOW_BURST),
            *(tenant(f"low-{number}", [key], LOW_RATE, LOW_BURST) for number, key in enumerate(self.low_keys)),
        ]
        services = [{"name": SERVICE, "connection_limit": 100}]
        return {"version": 1, "routes": routes, "services": services, "limits": {}, "tenants": tenants}

    async def put_document(self) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            document = self.document()
            acknowledged = await self.operator.put(document)
        self.assertTrue(acknowledged, self.seen.operator_failures)

    async def until_served(self) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while (await self.exchange_once(request("/read/x", bearer(self.first))))[0] != 200:
                await asyncio.sleep(POLL_S)

    async def connect(self) -> Connection:
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                try:
                    connection = Connection(*await asyncio.open_connection(*self.fleet.front_address("data-0")))
                except OSError:
                    await asyncio.sleep(POLL_S)
                    continue
                self.addCleanup(connection.writer.transport.abort)
                return connection

    async def exchange_once(self, data: bytes) -> tuple[int, bytes]:
        return await (await self.connect()).exchange(data)

    async def remove_first_key(self) -> None:
        """Remove the first tenant's first key; return once it must be refused."""
        await self.patch({"upsert": {"tenants": [tenant("first", [self.spare], 0, 0)]}})
        await asyncio.sleep(BOUNDS.apply_s)

    async def patch(self, patch: dict[str, Any]) -> None:
        async with asyncio.timeout(BOUNDS.acknowledge_s):
            acknowledged = await self.operator.apply(patch)
        self.assertTrue(acknowledged, self.seen.operator_failures)

    def runs_of(self, request_id: str) -> list[BackendRun]:
        return [run for run in self.seen.runs if run.id == request_id]

    def assert_runs_as(self, request_id: str, name: str, message: str = "") -> None:
        """Assert that each run of a request carries the tenant's name, no key and no `Authorization`."""
        runs = self.runs_of(request_id)
        self.assertTrue(runs, message)
        for run in runs:
            self.assertEqual(run.values(b"tenant"), [name.encode()] if name else [], message)
            self.assertNotIn(b"authorization", run.raw.lower(), message)
            for key in self.keys:
                self.assertNotIn(key.encode(), run.raw, message)

    # Keys.

    async def test_a_persistent_connection_is_refused_once_its_key_was_removed(self):
        connection = await self.connect()
        self.assertEqual((await connection.exchange(request("/read/a", bearer(self.first), request_id="before")))[0], 200)
        await self.remove_first_key()
        status, body = await connection.exchange(request("/read/b", bearer(self.first), request_id="after"))
        self.assertEqual((status, self.runs_of("after")), (401, []))
        self.assertEqual(find_leaks({"answer": body}, self.keys), [])
        self.assertEqual((await connection.exchange(request("/read/c", bearer(self.spare), request_id="spare")))[0], 200)
        self.assert_runs_as("before", "first")
        self.assert_runs_as("spare", "first")

    async def test_a_stream_that_its_client_resumes_is_refused_once_its_key_was_removed(self):
        fields = bearer(self.first), "Last-Event-Id: 2"
        connection = await self.connect()
        self.assertEqual((await connection.exchange(request("/write/a", *fields, body=b"x", request_id="before")))[0], 200)
        await self.remove_first_key()
        status, _ = await connection.exchange(request("/write/b", *fields, body=b"x", request_id="after"))
        self.assertEqual((status, self.runs_of("after")), (401, []))
        self.assert_runs_as("before", "first")

    async def test_a_broken_stream_is_not_resumed_at_another_backend_once_its_key_was_removed(self):
        connection = await self.connect()
        exchange = asyncio.ensure_future(
            connection.exchange(request("/write/held", bearer(self.first), body=b"x", request_id="held"))
        )
        await self.until_run("held")
        await self.remove_first_key()
        self.break_off()
        await exchange
        self.assertEqual(len(self.runs_of("held")), 1)

    async def test_a_request_is_not_sent_to_another_backend_once_its_key_was_removed(self):
        connection = await self.connect()
        exchange = asyncio.ensure_future(connection.exchange(request("/read/held", bearer(self.first), request_id="held")))
        await self.until_run("held")
        await self.remove_first_key()
        self.break_off()
        status, _ = await exchange
        self.assertNotEqual(status, 200)
        self.assertEqual(len(self.runs_of("held")), 1)

    async def test_a_retry_after_a_change_that_keeps_its_key_carries_the_tenant_again(self):
        connection = await self.connect()
        exchange = asyncio.ensure_future(connection.exchange(request("/read/held", bearer(self.first), request_id="held")))
        await self.until_run("held")
        await self.patch({"upsert": {"tenants": [tenant("first", [self.first], 0, 0)]}})
        await asyncio.sleep(BOUNDS.apply_s)
        self.break_off()
        status, _ = await exchange
        self.assertEqual((status, len(self.runs_of("held"))), (200, 2))
        self.assert_runs_as("held", "first")

    async def until_run(self, request_id: str) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while not self.runs_of(request_id):
                await asyncio.sleep(POLL_S)

    def break_off(self) -> None:
        for backend in self.backends:
            backend.break_off.set()

    async def test_a_request_without_a_configured_key_is_refused_and_never_runs(self):
        cases = {
            "none": (),
            "unknown": (bearer(self.unknown),),
            "empty": ("Authorization:",),
            "no key": ("Authorization: Bearer",),
            "no scheme": (f"Authorization: {self.first}",),
            "other scheme": (f"Authorization: Basic {self.first}",),
            "two keys": (f"Authorization: Bearer {self.first} {self.first}",),
            "longer": (bearer(self.first + "x"),),
            "shorter": (bearer(self.first[:-1]),),
            "other case": (bearer(self.first.upper()),),
        }
        for number, (name, fields) in enumerate(cases.items()):
            status, body = await self.exchange_once(request("/once/a", *fields, body=b"x", request_id=f"case-{number}"))
            self.assertEqual((status, self.runs_of(f"case-{number}")), (401, []), name)
            self.assertEqual(find_leaks({"answer": body}, self.keys), [], name)

    async def test_two_authorization_fields_never_run_even_if_one_is_valid(self):
        right, wrong = bearer(self.first), bearer(self.unknown)
        cases = [(right, wrong), (wrong, right), (right, "Authorization: x"), ("authorization:", right)]
        for number, fields in enumerate(cases):
            status, _ = await self.exchange_once(request("/once/a", *fields, body=b"x", request_id=f"case-{number}"))
            self.assertIn(status, (400, 401), fields)
            self.assertEqual(self.runs_of(f"case-{number}"), [], fields)

    async def test_the_same_authorization_field_twice_runs_as_its_tenant_or_not_at_all(self):
        fields = bearer(self.first), bearer(self.first)
        status, _ = await self.exchange_once(request("/once/a", *fields, body=b"x", request_id="twice"))
        self.assertIn(status, (200, 400, 401))
        if status == 200:
            self.assert_runs_as("twice", "first")
        else:
            self.assertEqual(self.runs_of("twice"), [])

    async def test_a_public_route_needs_no_key_and_passes_no_tenant_of_the_client(self):
        status, _ = await self.exchange_once(request("/open/a", "Tenant: second", request_id="public"))
        self.assertEqual(status, 200)
        self.assert_runs_as("public", "")

    async def test_a_key_is_checked_after_the_route(self):
        self.assertEqual((await self.exchange_once(request("/nowhere/a", bearer(self.unknown))))[0], 404)
        self.assertEqual((await self.exchange_once(request("/nowhere/a", bearer(self.first))))[0], 404)

    # The tenant's name.

    async def test_a_clients_tenant_field_never_reaches_a_backend(self):
        cases = [("tenant: second",), ("Tenant: second", "TENANT: low"), ("tEnAnT:second",), ("Tenant:",), ("Tenant: first",)]
        for number, fields in enumerate(cases):
            request_id = f"case-{number}"
            status, _ = await self.exchange_once(request("/read/a", *fields, bearer(self.first), request_id=request_id))
            self.assertEqual(status, 200, fields)
            self.assert_runs_as(request_id, "first", str(fields))

    async def test_tenant_and_key_in_a_trailer_never_reach_a_backend(self):
        for number, trailer in enumerate(("tenant: second", "Tenant: second", bearer(self.second))):
            request_id = f"case-{number}"
            head = request("/once/a", bearer(self.first), "Transfer-Encoding: chunked", request_id=request_id)
            data = head.replace(b"GET ", b"POST ", 1) + f"1\r\nx\r\n0\r\n{trailer}\r\n\r\n".encode()
            status, _ = await self.exchange_once(data)
            self.assertEqual(status, 200, trailer)
            self.assert_runs_as(request_id, "first", trailer)
            self.assertNotIn(b"second", self.runs_of(request_id)[0].raw, trailer)

    async def test_a_connection_option_does_not_remove_the_tenant(self):
        """`Connection: tenant` tells a proxy to drop the field; the data plane's own must still arrive."""
        status, _ = await self.exchange_once(request("/read/a", bearer(self.first), "Connection: tenant", request_id="option"))
        self.assertEqual(status, 200)
        self.assert_runs_as("option", "first")

    async def test_pipelined_requests_are_each_checked_by_their_own_key(self):
        connection = await self.connect()
        keys = {"a": self.first, "b": self.second, "c": self.unknown, "d": self.first}
        connection.writer.write(b"".join(request(f"/read/{name}", bearer(key), request_id=name) for name, key in keys.items()))
        statuses = [(await connection.read_response())[0] for _ in keys]
        self.assertEqual(statuses, [200, 200, 401, 200])
        self.assert_runs_as("a", "first")
        self.assert_runs_as("b", "second")
        self.assertEqual(self.runs_of("c"), [])
        self.assert_runs_as("d", "first")

    async def test_a_key_that_moves_to_another_tenant_runs_under_the_new_one(self):
        connection = await self.connect()
        moved = [tenant("first", [self.spare], 0, 0), tenant("second", [self.second, self.first], 0, 0)]
        await self.patch({"upsert": {"tenants": moved}})
        await asyncio.sleep(BOUNDS.apply_s)
        self.assertEqual((await connection.exchange(request("/read/a", bearer(self.first), request_id="moved")))[0], 200)
        self.assert_runs_as("moved", "second")

    # Bodies of refused requests.

    async def test_the_rest_of_a_refused_requests_body_is_never_parsed_as_a_request(self):
        hidden = request("/once/hidden", bearer(self.first), body=b"x", request_id="hidden")
        chunk = b"%x\r\n%b\r\n0\r\n\r\n" % (len(hidden), hidden)
        sized = request("/once/a", bearer(self.unknown), f"Content-Length: {len(hidden)}").replace(b"GET ", b"POST ", 1)
        chunked = request("/once/a", bearer(self.unknown), "Transfer-Encoding: chunked").replace(b"GET ", b"POST ", 1)
        for head, rest in ((sized, hidden), (chunked, chunk)):
            for begun in (0, 1, len(rest) // 2):
                connection = await self.connect()
                connection.writer.write(head + rest[:begun])
                await asyncio.sleep(2 * POLL_S)  # the response may come before or after the body
                status, _ = await connection.exchange(rest[begun:])
                self.assertEqual(status, 401, (head[-40:], begun))
                status, body = await connection.exchange(request("/read/next", bearer(self.second), request_id="next"))
                self.assertIn(status, (0, 200), (head[-40:], begun))  # the body was drained, or the connection closed
                self.assertTrue(status == 0 or b" next /read/next " in body, body)
        self.assertEqual(self.runs_of("hidden"), [])

    # Quotas.

    async def flood(self, key: str, *fields: str) -> tuple[int, list[int]]:
        """Send concurrent requests of a tenant with the low limit; return how many ran, and the statuses."""
        before = len(self.seen.runs)
        connections = [await self.connect() for _ in range(6)]

        async def use(connection: Connection) -> list[int]:
            return [(await connection.exchange(request("/read/a", bearer(key), *fields)))[0] for _ in range(FLOOD // 6)]

        statuses = [status for part in await asyncio.gather(*map(use, connections)) for status in part]
        return len(self.seen.runs) - before, statuses

    async def assert_bounded(self, units: float, *fields: str) -> None:
        """Assert that requests of at least `units` run only within a window's allowance, and that the process keeps serving."""
        ran, statuses = await self.flood(self.low, *fields)
        self.assertLessEqual(ran * units, BOUNDS.allowed_units(LOW_RATE, LOW_BURST), fields)
        self.assertIn(429, statuses, fields)
        self.assertLessEqual(set(statuses), {200, 400, 429}, fields)
        self.assertEqual((await self.exchange_once(request("/read/a", bearer(self.first))))[0], 200)
        self.assertEqual(self.fleet.ended_by_themselves(), [])

    async def test_requests_beyond_the_limit_are_refused(self):
        await self.assert_bounded(400, "Token-Usage: 300,100")

    async def test_requests_without_token_usage_cost_plain_tokens(self):
        await self.assert_bounded(PLAIN_TOKENS)

    async def test_requests_with_a_third_number_cost_the_first_two_at_least(self):
        await self.assert_bounded(400, "Token-Usage: 300,100,50")

    async def test_requests_with_two_token_usages_are_not_free(self):
        await self.assert_bounded(PLAIN_TOKENS, "Token-Usage: 300,100", "Token-Usage: 1,1")

    async def test_negative_and_malformed_token_usages_are_not_free(self):
        for key, text in zip(self.low_keys, BROKEN_USAGES, strict=True):
            with self.subTest(text):
                ran, statuses = await self.flood(key, f"Token-Usage: {text}")
                self.assertLessEqual(ran * LEAST_UNITS, BOUNDS.allowed_units(LOW_RATE, LOW_BURST))
                self.assertLessEqual(set(statuses), {200, 400, 429})
                self.assertEqual((await self.exchange_once(request("/read/a", bearer(self.first))))[0], 200)
        self.assertEqual(self.fleet.ended_by_themselves(), [])

    async def test_a_request_that_costs_more_than_a_window_allows_never_runs(self):
        for number, text in enumerate(("9" * 30 + ",1", "1," + "9" * 30, "5000,5000", str(2**63) + ",0")):
            status, _ = await self.exchange_once(
                request("/read/a", bearer(self.low), f"Token-Usage: {text}", request_id=f"c{number}")
            )
            self.assertIn(status, (400, 429), text)
            self.assertEqual(self.runs_of(f"c{number}"), [], text)
        async with asyncio.timeout(TIMEOUT_S):  # a request within the limit is served once the bucket has refilled
            while (await self.exchange_once(request("/read/a", bearer(self.low), "Token-Usage: 20,20")))[0] != 200:
                await asyncio.sleep(POLL_S)

    async def test_a_huge_token_usage_of_a_tenant_without_a_limit_is_served(self):
        for number, text in enumerate(("9" * 30 + ",1", "5000,5000", "1,2,3", "-1,-1")):
            fields = bearer(self.first), f"Token-Usage: {text}"
            self.assertEqual((await self.exchange_once(request("/read/a", *fields, request_id=f"c{number}")))[0], 200, text)
            self.assert_runs_as(f"c{number}", "first")

    # What operators see.

    async def test_a_rejected_configuration_is_answered_without_a_key(self):
        base = self.document()
        shared = [tenant("first", [self.first], 0, 0), tenant("second", [self.first], 0, 0)]
        twice = [tenant("first", [self.first, self.first], 0, 0), {"name": "second", "api_keys": self.second}]
        broken = [{"name": "first", "api_keys": [self.first, 5]}]
        nameless = [{"api_keys": [self.first]}]
        texts = [{"name": "first", "api_keys": [self.first], "rate_per_s": self.second}]
        for number, tenants in enumerate((shared, twice, broken, nameless, texts, [self.first], {"first": self.first})):
            answer = await self.put({**base, "version": 100 + number, "tenants": tenants})
            self.assertEqual(answer.status, 400, tenants)
            self.assertEqual(find_leaks({"answer": answer.body}, self.keys), [], tenants)
        cut = await self.put_bytes(json.dumps({**base, "version": 200}).encode()[:-5])
        self.assertEqual(cut.status, 400)
        self.assertEqual(find_leaks({"answer": cut.body}, self.keys), [])
        self.assertEqual((await self.exchange_once(request("/read/a", bearer(self.first))))[0], 200)

    async def put(self, document: dict[str, Any]) -> HttpResponse:
        return await self.put_bytes(json.dumps(document).encode())

    async def put_bytes(self, body: bytes) -> HttpResponse:
        address, fields = self.fleet.control_addresses[0], ((b"If-Match", b"1"),)
        return await self.http_client.request(address, "PUT", "/configuration", body, TIMEOUT_S, "application/json", fields)


if __name__ == "__main__":
    unittest.main()
