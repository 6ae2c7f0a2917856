"""Fakes of the services that an instance communicates with, and the runner of the socket scenarios.

Each line of a scenario names an actor, then an action or an expectation. `a` to `z` are clients with one connection each.
`told` lines change the settings of the instance before its start. Expectations wait up to `STEP_TIMEOUT_S`.
"""

from __future__ import annotations

import asyncio
import json
import re
import socket
import struct
import time
from base64 import b64decode, b64encode
from pathlib import Path

from mulleinhatch.instance.runtime.instance import Instance
from mulleinhatch.instance.runtime.instance_settings import parse_settings

STEP_TIMEOUT_S = 3.0


def wire_request_id(ref: str) -> str:
    """
    >>> wire_request_id("r12"), wire_request_id("0")
    ('0000000000000012', '0')
    """
    return ref[1:].rjust(16, "0") if ref.startswith("r") else ref


def default_settings() -> dict:
    op_type = {"aim": 1000.0, "deadline": 2000.0, "late_worth": 0.0, "memory_span": 5000.0}
    return {
        "name": "n1",
        "listen": "127.0.0.1:0",
        "vm": "127.0.0.1:1",
        "lookup": "127.0.0.1:2",
        "seed": "8c1f30d27a5be964",
        "stop_ms": 1000,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {
            "classes": [
                {"name": "read", "effect": "safe", "worth": 1.0, **op_type},
                {"name": "sign", "effect": "unsafe", "worth": 5.0, **op_type},
                {"name": "keyed", "effect": "keyed", "worth": 5.0, **op_type},
            ],
            "family_info": {"cores": 1, "gauges": ["core_use", "on_cores"], "memory_kb": 1e6, "say": "floor", "callers": 2},
            "tick": 2.0,
            "limits": {"retry_after": True, "max_retry_after": 1000.0},
            "rules": {"drain_grace": 300.0, "tip_multiple": 8.0},
        },
    }


class FakeInterpreter:
    """Stores its notices, sends them again after a CONNECT, and answers every TOP unless `ignores_gauge_requests` is set."""

    def __init__(self) -> None:
        self.received: asyncio.Queue[dict] = asyncio.Queue()
        self.notices: list[dict] = []
        self.banner: dict | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.last_notice_received, self.ignores_gauge_requests, self.gauges = 0, False, [0.5, 1.0]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        while line := await reader.readline():
            message = json.loads(line)
            if message["t"] == "TOP":
                self.ignores_gauge_requests or self.send({"t": "TOPS", "mark": message["mark"], "v": self.gauges})
                continue
            self.received.put_nowait(message)
            if message["t"] == "CONNECT":
                self.last_notice_received = message["no"]
                self.greet()
        writer.close()

    def greet(self) -> None:
        if self.banner and self.writer:
            for message in (self.banner, *self.notices[self.last_notice_received :]):
                self.send(message)

    def send(self, message: dict) -> None:
        if self.writer:
            self.writer.write(json.dumps(message).encode() + b"\n")

    def end_run(self, ref: str, status: str, text: str) -> None:
        self._notify({"t": "VALUE", "rid": ref, "status": status, "time_ms": 5.0, "b64": b64encode(text.encode()).decode()})

    def request_call(self, ref: str, query: str) -> None:
        self._notify({"t": "AWAIT", "rid": ref, "b64": b64encode(query.encode()).decode()})

    def _notify(self, message: dict) -> None:
        self.notices.append({**message, "no": len(self.notices) + 1})
        self.send(self.notices[-1])

    def disconnect(self) -> None:
        self.writer.close()
        self.writer = None


class FakeDirectory(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.received: asyncio.Queue[str] = asyncio.Queue()

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        self.received.put_nowait(data.decode())


class FakeDependency:
    """The dependency that runs call: one call at a time on a connection, answered by a step of the scenario."""

    def __init__(self) -> None:
        self.received: asyncio.Queue[tuple[str, bytes, asyncio.StreamWriter]] = asyncio.Queue()
        self.waiting: dict[str, asyncio.StreamWriter] = {}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
                query = await reader.readexactly(int(fields["Content-Length"]))
                assert head.startswith("POST /v1/exec HTTP/1.1") and int(fields["Statement-Timeout-Ms"]) > 0
                self.received.put_nowait((fields["Request-Ref"], query, writer))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


class FakeClient:
    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def answer(self) -> tuple[int, dict[str, str], str]:
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        fields = dict(line.split(": ", 1) for line in head[1:] if line)
        body = await self.reader.readexactly(int(fields["Content-Length"]))
        return int(head[0].split()[1]), fields, body.decode()

    def reset(self) -> None:
        self.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


class SocketScenario:
    def __init__(self) -> None:
        self.settings = default_settings()
        self.settings_overrides: dict = {}  # fields of the settings that are not in the JSON
        self.interpreter = FakeInterpreter()
        self.database = FakeDependency()
        self.clients: dict[str, FakeClient] = {}
        self.instance: Instance | None = None

    async def run_file(self, path: Path) -> None:
        try:
            for number, text in enumerate(path.read_text().splitlines(), 1):
                if text.strip() and not text.startswith("#"):
                    try:
                        await asyncio.wait_for(self.run_step(*text.split()), STEP_TIMEOUT_S)
                    except (TimeoutError, AssertionError, OSError, EOFError) as error:
                        raise AssertionError(f"{path.name}:{number}: {text}\n{error!r}") from error
        finally:
            if self.instance:
                self.instance.stopped.set()
                await asyncio.wait_for(self.serving, STEP_TIMEOUT_S)
        assert not self.instance.counts["errors_inside"], "unexpected errors in the instance, see the log"

    async def run_step(self, who: str, *parts: str) -> None:
        if who in ("told", "held"):
            getattr(self, who)(*parts)
            return
        if self.instance is None:
            await self.start()
        if who == "wait":
            await asyncio.sleep(float(parts[0]))
        elif who in ("interpreter", "directory", "database", "instance", "crowd"):
            await getattr(self, f"{who}_{parts[0]}")(*parts[1:])
        else:
            await getattr(self, f"caller_{parts[0]}")(who, *parts[1:])

    def held(self, seconds: str) -> None:
        """Occupy the listen address for some seconds."""
        holder = socket.create_server(("127.0.0.1", 0))
        self.settings["listen"] = "127.0.0.1:%d" % holder.getsockname()[1]
        asyncio.get_running_loop().call_later(float(seconds), holder.close)

    def told(self, path: str, text: str) -> None:
        parent, (*parent_keys, last) = self.settings, path.split(".")
        for key in parent_keys:
            parent = parent[key]
        parent[last] = json.loads(text)

    async def start(self) -> None:
        await self.interpreter_moves()
        await self.directory_moves()
        if self.settings.get("db"):
            server = await asyncio.start_server(self.database.serve, "127.0.0.1", 0)
            self.settings["db"] = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        self.instance = Instance(
            parse_settings(self.settings)._replace(**self.settings_overrides), lambda: parse_settings(self.settings)
        )
        self.serving = asyncio.ensure_future(self.instance.serve())
        await asyncio.sleep(0.01)

    # The interpreter, the directory and the dependency.

    async def interpreter_moves(self) -> None:
        """Move to another address, which the instance reads at its next reload."""
        server = await asyncio.start_server(self.interpreter.serve, "127.0.0.1", 0)
        self.settings["vm"] = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def interpreter_vanishes(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as unused:
            self.settings["vm"] = "127.0.0.1:%d" % unused.getsockname()[1]

    async def directory_moves(self) -> None:
        self.directory = FakeDirectory()
        datagrams, _ = await asyncio.get_running_loop().create_datagram_endpoint(lambda: self.directory, ("127.0.0.1", 0))
        self.settings["lookup"] = "127.0.0.1:%d" % datagrams.get_extra_info("sockname")[1]

    async def interpreter_up(self, status: str = "old", ms: str = "3600000") -> None:
        self.interpreter.banner = {"t": "BANNER", "status": status, "time_ms": float(ms)}
        if not self.interpreter.received.empty():
            self.interpreter.greet()

    async def interpreter_greets(self) -> None:
        self.interpreter.greet()

    async def interpreter_hears(self, what: str, ref: str = "", body: str = "") -> None:
        message = await self.interpreter.received.get()
        assert message["t"] == what and (not ref or str(message.get("rid", message.get("no"))) == wire_request_id(ref)), message
        assert not body or b64decode(message["b64"]).decode() == body, message

    async def interpreter_heard(self, nothing: str) -> None:
        assert self.interpreter.received.empty(), self.interpreter.received.get_nowait()

    async def interpreter_ends(self, ref: str, status: str, text: str = "") -> None:
        self.interpreter.end_run(wire_request_id(ref), status, text)

    async def interpreter_awaits(self, ref: str, query: str) -> None:
        self.interpreter.request_call(wire_request_id(ref), query)

    async def interpreter_forgets(self) -> None:
        """Lose all notices, as after a restart: numbers start from 1 again, and CONNECT names the last one received."""
        self.interpreter.notices = []

    async def interpreter_notes(self, ref: str, status: str, text: str) -> None:
        """Store a notice that is sent only with the next greeting."""
        writer, self.interpreter.writer = self.interpreter.writer, None
        self.interpreter.end_run(wire_request_id(ref), status, text)
        self.interpreter.writer = writer

    async def interpreter_nests(self, depth: str) -> None:
        self.interpreter.writer.write(int(depth) * b"[" + b"\n")

    async def interpreter_says(self, *parts: str) -> None:
        text = re.sub('"(r[0-9]+)"', lambda ref: f'"{wire_request_id(ref[1])}"', " ".join(parts))
        self.interpreter.writer.write(text.encode() + b"\n")

    async def interpreter_down(self) -> None:
        self.interpreter.banner = None

    async def interpreter_drops(self) -> None:
        self.interpreter.disconnect()

    async def interpreter_deaf(self, deaf: str) -> None:
        self.interpreter.ignores_gauge_requests = deaf == "yes"

    async def interpreter_gauges(self, *readings: str) -> None:
        self.interpreter.gauges = [float(reading) for reading in readings]

    async def directory_hears(self, *parts: str) -> None:
        while await self.directory.received.get() != " ".join(parts):
            pass

    async def database_hears(self, ref: str, query: str) -> None:
        got, data, writer = await self.database.received.get()
        assert (got, data.decode()) == (wire_request_id(ref), query), (got, data)
        self.database.waiting[got] = writer

    async def database_heard(self, nothing: str) -> None:
        assert self.database.received.empty(), self.database.received.get_nowait()

    async def database_answers(self, ref: str, status: str, text: str = "", *more: str) -> None:
        fields = "".join(word.replace("=", ": ") + "\r\n" for word in more)
        self.database.waiting.pop(wire_request_id(ref)).write(
            f"HTTP/1.1 {status} Some\r\n{fields}Content-Length: {len(text)}\r\n\r\n{text}".encode()
        )

    async def database_writes(self, ref: str, *parts: str) -> None:
        self.database.waiting.pop(wire_request_id(ref)).write(" ".join(parts).encode().decode("unicode_escape").encode())

    async def database_breaks(self, ref: str) -> None:
        self.database.waiting.pop(wire_request_id(ref)).close()

    # The instance.

    async def instance_leaves(self) -> None:
        self.instance.leave()

    async def instance_reloads(self) -> None:
        self.instance.reload()

    async def instance_hears_repeats(self, rate: str) -> None:
        """Limit retries to a rate per second, as in a retry storm; the listener rejects the others early."""
        self.instance.reducer.storms.set_rate(time.monotonic(), float(rate))
        self.instance.listener.set_early_rejection(True)

    async def instance_lives(self) -> None:
        assert not self.serving.done()

    async def instance_ends(self) -> None:
        await asyncio.shield(self.serving)

    async def instance_counts(self, name: str, count: str) -> None:
        while self.instance.counters().get(name, 0) != int(count):
            await asyncio.sleep(0.01)

    # Clients.

    async def crowd_of(self, count: str, what: str) -> None:
        for number in range(int(count)):
            who = f"{what}-{number}"
            await getattr(self, f"caller_{what}")(who)
            if what == "checks":
                await self.caller_hears(who, "200")

    async def caller_opens(self, who: str) -> None:
        self.clients[who] = FakeClient(*await asyncio.open_connection("127.0.0.1", self.instance.port))

    async def caller_sends(self, who: str, ref: str, op_type: str, *more: str) -> None:
        """Send a request with the body `in-REF`, or `body=...`.

        `more` adds or replaces header fields. `and-ends` closes the client's side at once. `ago=MS` is the age of the request
        in milliseconds.
        """
        extra_fields = dict(word.split("=", 1) for word in more if "=" in word)
        arrived = time.time() * 1000 - float(extra_fields.pop("ago", 0))
        fields = {
            "X-Request-Id": wire_request_id(ref),
            "X-Request-Start": f"{arrived:.0f}",
            "X-Caller": "1",
            "X-Timeout-Ms": "1500",
            "X-Cost-Ms": "20",
            "X-Memory-Kb": "10",
            **extra_fields,
        }
        body = fields.pop("body", f"in-{ref}").encode()
        head = "".join(f"{name}: {text}\r\n" for name, text in fields.items())
        await self.write(
            who,
            f"POST /svc/{op_type} HTTP/1.1\r\nHost: origin.svc\r\n{head}Content-Length: {len(body)}\r\n\r\n".encode() + body,
            "and-ends" in more,
        )

    async def caller_floods(self, who: str, count: str) -> None:
        """Send a body that is far too long, all of it before reading the response."""
        head = f"POST /svc/read HTTP/1.1\r\nContent-Length: {int(count) + 1}\r\n\r\n"
        await self.write(who, head.encode() + bytes(int(count)))

    async def caller_drips(self, who: str) -> None:
        await self.write(who, b"x")

    async def caller_checks(self, who: str) -> None:
        await self.write(who, b"GET /status/live HTTP/1.1\r\nHost: origin.svc\r\n\r\n")

    async def caller_writes(self, who: str, *parts: str) -> None:
        text = " ".join(parts).replace("%now%", f"{time.time() * 1000:.0f}").replace("%junk%", 9000 * "x")
        text = re.sub("(?i)(?<=x-request-id:)(r[0-9]+)", lambda ref: wire_request_id(ref[1]), text)
        await self.write(who, text.encode().decode("unicode_escape").encode())

    async def write(self, who: str, data: bytes, last: bool = False) -> None:
        if who not in self.clients:
            await self.caller_opens(who)
        self.clients[who].writer.write(data)
        if last:
            self.clients[who].writer.write_eof()
        await self.clients[who].writer.drain()

    async def caller_hears(self, who: str, status: str, body: str = "", *more: str) -> None:
        got, fields, text = await self.clients[who].answer()
        assert got == int(status) and (body in ("", "-") or text == body), (got, fields, text)
        for name, _, wanted in (word.partition("=") for word in more):
            assert name in fields and wanted in ("", fields[name]), fields

    async def caller_is_refused(self, who: str) -> None:
        try:
            await self.caller_opens(who)
        except ConnectionRefusedError:
            return
        raise AssertionError("the connection was accepted")

    async def caller_half_closes(self, who: str) -> None:
        self.clients[who].writer.write_eof()

    async def caller_resets(self, who: str) -> None:
        self.clients[who].reset()

    async def caller_is_closed(self, who: str) -> None:
        """Expect an orderly close, not a reset; then close the client's side."""
        try:
            assert await self.clients[who].reader.read() == b""
        except ConnectionResetError:
            raise AssertionError("the connection was reset") from None
        self.clients[who].writer.close()
