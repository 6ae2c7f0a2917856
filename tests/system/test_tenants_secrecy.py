"""No API key and no digest of one appears in logs, errors, pages or object representations of either plane.

Both planes run completely in the test's loop, so the digests under the data plane's digest key are known and the representation
of each object that either plane holds can be checked. `test_tenant_wire.py` checks processes from outside.
"""

from __future__ import annotations

import asyncio
import base64
import gc
import hashlib
import json
import logging
import socket
import tempfile
import types
import unittest
from collections.abc import Iterable, Iterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import is_dataclass
from pathlib import Path
from typing import Any

import pytest
from pythonjsonlogger.json import JsonFormatter

from mulleinhatch.cli.system.demo import BACKEND_MB, HOST, MODEL_MB, MODELS, SERVICE, configuration
from mulleinhatch.control_plane.process import ControlPlaneProcess
from mulleinhatch.data_plane.process import DataPlane
from mulleinhatch.messages.cluster import Entry, PollResponse, Snapshot
from mulleinhatch.messages.encoded import EncodedPollResponse
from mulleinhatch.networking.http_client import HttpCallError, HttpClient, HttpResponse
from mulleinhatch.networking.http_streaming import write_request
from mulleinhatch.process.logs import FORMAT
from mulleinhatch.process.settings import Settings, parse_settings
from mulleinhatch.tenants.tenant_table import TenantTable
from mulleinhatch.testing.fake_model_server import FakeModelServer, FakeModelServerConfig

TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
KEYS = {
    "first": "sk-first-4f1c9a77",
    "spare": "sk-spare-77e0b1d2",
    "second": "sk-second-90ac3e15",
    "limited": "sk-limited-61ffd0",
}
UNKNOWN, NEW, BROKEN, PATCHED = "sk-unknown-5e5e5e", "sk-new-aa01bb02", "sk-broken-0c0c0c", "sk-patched-123fed"
ALL_KEYS = (*KEYS.values(), UNKNOWN, NEW, BROKEN, PATCHED)
PLAIN_DIGESTS = ("md5", "sha1", "sha256", "sha512", "blake2b", "blake2s")
UNFOLLOWED = (types.ModuleType, type, types.FrameType, types.CodeType, types.BuiltinFunctionType)
LEAST_OBJECTS = 200  # of the project that both planes hold together; fewer mean that the search missed them


class LogRecords(logging.Handler):
    """Stores each formatted log line and each record's attributes."""

    def __init__(self) -> None:
        super().__init__(logging.DEBUG)
        self.lines: list[str] = []
        self.errors: list[str] = []
        self.setFormatter(JsonFormatter(FORMAT))

    def emit(self, record: logging.LogRecord) -> None:
        self.lines += [self.format(record), repr(record.__dict__)]
        if record.levelno >= logging.ERROR:
            self.errors.append(self.format(record))


def free_address() -> str:
    with socket.create_server(("127.0.0.1", 0)) as unused:
        return "127.0.0.1:%d" % unused.getsockname()[1]


def settings_of(kind: str, folder: Path, internal_port: str, control: str, front: str = "", ready: str = "") -> Settings:
    lines = [
        f"node_name={kind}-0",
        "ip_address=127.0.0.1",
        "zone=zone-0",
        "region=here",
        f"internal_port_range={internal_port},{internal_port}",
        f"seeds={control}",
        "first_start=true",
        "fault_tolerance.machines=0",
        "heartbeat_interval_ms=1000",
    ]
    if kind == "control":
        lines += [f"listen.control={control}", f"data_directory={folder}"]
    else:
        lines += [f"listen.front={front}", f"listen.ready={ready}"]
    return parse_settings("\n".join(lines).encode()).ok_value


def traces_of(secret: bytes) -> list[str]:
    """Return the usual textual forms of bytes."""
    return [secret.hex(), base64.b64encode(secret).decode(), repr(secret)[2:-1]]


def all_traces(digests: Iterable[bytes]) -> set[str]:
    """Return the texts that must not appear: the keys, their common digests, and the data plane's own digests."""
    traces = set(ALL_KEYS)
    for key in ALL_KEYS:
        traces.update(traces_of(key.encode()))
        for name in PLAIN_DIGESTS:
            traces.update(traces_of(hashlib.new(name, key.encode()).digest()))
    for digest in digests:
        traces.update(traces_of(digest))
    return traces


def reachable(*roots: Any) -> Iterator[Any]:
    """Yield each object reachable from the roots, without following modules and classes."""
    seen: set[int] = set()
    waiting = list(roots)
    while waiting:
        one = waiting.pop()
        if id(one) in seen or isinstance(one, UNFOLLOWED):
            continue
        seen.add(id(one))
        yield one
        if isinstance(one, types.FunctionType):
            waiting += [one.__closure__, one.__defaults__]  # not its globals, which reference the whole program
        else:
            waiting += gc.get_referents(one)


def is_project_object(one: Any) -> bool:
    return type(one).__module__.startswith("mulleinhatch") or is_dataclass(one)


def representations(objects: Iterable[Any]) -> dict[str, str]:
    """Return the representations of the project's objects, by class and number."""
    shown = {}
    for one in objects:
        if is_project_object(one):
            shown[f"{type(one).__qualname__} {len(shown)}"] = f"{one!r} {one!s}"
    return shown


def leaks(texts: Mapping[str, str], traces: set[str]) -> list[str]:
    """Return the names of the texts that contain a trace."""
    return sorted({name.partition(" ")[0] for name, text in texts.items() if any(trace in text for trace in traces)})


def document(version: int) -> dict[str, Any]:
    tenants = [
        {"name": "t1", "api_keys": [KEYS["first"], KEYS["spare"]], "priority": 1},
        {"name": "t2", "api_keys": [KEYS["second"]]},
        {"name": "t3", "api_keys": [KEYS["limited"]], "rate_per_s": 1, "burst": 1, "unit": "token_count", "plain_tokens": 1},
    ]
    return {**configuration(version), "tenants": tenants}


class Planes:
    """One control plane, one data plane and one backend, in this loop."""

    def __init__(self, folder: Path) -> None:
        self.control, self.front, self.ready = free_address(), free_address(), free_address()
        port = free_address().rpartition(":")[2]  # the same in the whole system
        self.control_plane = ControlPlaneProcess(settings_of("control", folder, port, self.control))
        self.data_plane = DataPlane(settings_of("data", folder, port, self.control, self.front, self.ready))
        weights = dict.fromkeys(MODELS, MODEL_MB)
        facts = FakeModelServerConfig(SERVICE, free_address(), "zone-0", 16, BACKEND_MB, 4, weights, 0.1)
        self.backend = FakeModelServer(facts, [self.control], {MODELS[0]: set()})
        self.http = HttpClient()

    async def change(self, method: str, body: Any, base: int, media_type: str = "application/json") -> HttpResponse | None:
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        try:
            return await self.http.request(
                self.control, method, "/configuration", data, 2.0, media_type, ((b"If-Match", b"%d" % base),)
            )
        except HttpCallError:
            return None

    async def page(self, address: str, path: str) -> str:
        answer = await self.http.request(address, "GET", path, b"", 2.0)
        return f"{answer.status} {answer.head.fields!r} {answer.body!r}"

    async def exchange(self, *authorization: str) -> tuple[int, str]:
        """Return the status and the complete response to a request with these `Authorization` fields."""
        host, _, port = self.front.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        fields = [(b"Host", HOST.encode()), (b"Request-Id", b"r1"), (b"Model", MODELS[0].encode()), (b"Connection", b"close")]
        fields += [(b"Token-Usage", b"8,2"), *((b"Authorization", value.encode()) for value in authorization)]
        writer.write(write_request(b"POST", b"/write/x", fields, b"dear"))
        answer = await asyncio.wait_for(reader.read(), TIMEOUT_S)
        writer.close()
        return int(answer.split()[1]), repr(answer)


async def until(read: Any, expected: Any) -> None:
    """Wait until a coroutine function returns the expected value."""
    async with asyncio.timeout(TIMEOUT_S):
        while await read() != expected:
            await asyncio.sleep(POLL_INTERVAL_S)


class Messages(unittest.TestCase):
    def test_no_message_representation_contains_configuration_bytes(self):
        """Guards against generated dataclass representations: a replicated log entry contained a change with its keys."""
        secret = KEYS["first"].encode()
        for message in (
            Entry(index=7, body=secret),
            Snapshot(index=7, configuration=secret),
            PollResponse(configuration_version=7, configuration=secret),
            EncodedPollResponse(configuration_version=7, configuration=secret),
        ):
            self.assertEqual(leaks({"message": f"{message!r} {message}"}, all_traces([])), [], type(message))
            self.assertIn("=7", repr(message))


@pytest.mark.processes
class Secrecy(unittest.IsolatedAsyncioTestCase):
    @asynccontextmanager
    async def planes(self):
        records = LogRecords()
        root = logging.getLogger()
        level = root.level
        root.addHandler(records)
        root.setLevel(logging.DEBUG)
        with tempfile.TemporaryDirectory(prefix="mulleinhatch-test-") as folder:
            planes = Planes(Path(folder))
            tasks = [asyncio.ensure_future(plane.run()) for plane in (planes.control_plane, planes.data_plane)]
            try:
                await planes.backend.start()
                yield planes, records
            finally:
                await planes.backend.crash()
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
                root.removeHandler(records)
                root.setLevel(level)

    async def test_no_key_or_digest_appears_anywhere(self):
        """Guards against a key in a log line, an error, a page or an object representation."""
        async with self.planes() as (planes, records):
            texts: dict[str, str] = {}
            statuses = await self.play(planes, texts)
            for name, address, path in (
                *((f"data{path}", planes.ready, path) for path in ("/status", "/ready", "/metrics")),
                *((f"control{path}", planes.control, path) for path in ("/status", "/ready", "/metrics")),
            ):
                texts[name] = await planes.page(address, path)
            objects = list(reachable(planes.control_plane, planes.data_plane))
            tables = [one for one in objects if isinstance(one, TenantTable) and one.requires_keys and one.by_name]
            digests = {digest for table in tables for digest in table._by_digest}
            self.assertGreaterEqual(len(digests), len(KEYS))
            texts |= representations(objects)
            self.assertGreater(sum(is_project_object(one) for one in objects), LEAST_OBJECTS)
        texts |= {f"log {number}": line for number, line in enumerate(records.lines)}
        self.assertEqual(statuses, {200, 401})
        self.assertTrue(any("configuration in force" in line for line in records.lines))
        self.assertEqual(leaks(texts, all_traces(digests)), [])
        self.assertEqual(records.errors, [])  # a wrong key or change raises no unexpected error either

    async def play(self, planes: Planes, texts: dict[str, str]) -> set[int]:
        """Send valid and invalid configuration changes, and requests; return the statuses that clients received."""
        await until(lambda: self.status_of(planes.change("PUT", document(1), 0)), 200)
        await until(lambda: self.status_of(planes.exchange(f"Bearer {KEYS['second']}")), 200)
        exchanges = [
            await planes.exchange(*authorization)
            for authorization in (
                (f"Bearer {KEYS['first']}",),
                (f"bearer {KEYS['spare']}",),
                (f"Bearer {UNKNOWN}",),
                (KEYS["first"],),
                (f"Basic {KEYS['first']}",),
                (f"Bearer {KEYS['first']}", f"Bearer {KEYS['second']}"),
                (),
            )
        ]
        shared = {**document(2), "tenants": [*document(2)["tenants"], {"name": "t4", "api_keys": [KEYS["first"]]}]}
        broken = {**document(2), "tenants": [{"name": "t1", "api_keys": BROKEN, "priority": BROKEN}]}
        for number, (method, body) in enumerate(
            (
                ("PUT", shared),
                ("PUT", broken),
                ("PUT", {**document(2), "tenants": [BROKEN]}),
                ("PUT", {**document(2), "tenants": {BROKEN: BROKEN}}),
                ("PUT", json.dumps(document(2)).encode()[:-4] + BROKEN.encode()),
                ("PATCH", {"version": 2, "upsert": {"tenants": [{"name": "t1", "api_keys": [KEYS["second"]]}]}}),
                ("PATCH", {"version": 2, "remove": {"tenants": [[BROKEN]]}}),
            )
        ):
            answer = await planes.change(method, body, 1)
            self.assertEqual(answer.status, 400, body)
            texts[f"answer-{number}"] = repr(answer.body)
        patch = {"version": 3, "upsert": {"tenants": [{"name": "t1", "api_keys": [NEW, PATCHED]}]}}
        await until(lambda: self.status_of(planes.change("PATCH", patch, 1)), 200)
        await until(lambda: self.status_of(planes.exchange(f"Bearer {KEYS['first']}")), 401)
        await until(lambda: self.status_of(planes.exchange(f"Bearer {NEW}")), 200)
        texts |= {f"client-{number}": text for number, (_, text) in enumerate(exchanges)}
        return {status for status, _ in exchanges}

    @staticmethod
    async def status_of(exchange: Any) -> int:
        answer = await exchange
        return answer[0] if isinstance(answer, tuple) else answer.status if answer is not None else 0


if __name__ == "__main__":
    unittest.main()
