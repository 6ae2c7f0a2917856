"""Stand-ins for what a service instance talks to, and the player of the socket scenarios.

A line is somebody, then what is done or must be seen: `a` to `z` are callers, one connection each. `told`
lines change what the instance is told at start. Whoever hears waits for it, briefly.
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
from mulleinhatch.instance.runtime.instance_settings import placed

SOON = 3.0


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


class Interpreter:
    """Keeps its notices, hands them out again after a CONNECT, and answers every TOP unless it is deaf."""

    def __init__(self) -> None:
        self.heard: asyncio.Queue[dict] = asyncio.Queue()
        self.notices: list[dict] = []
        self.up: dict | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.read_no, self.deaf, self.gauges = 0, False, [0.5, 1.0]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        while line := await reader.readline():
            told = json.loads(line)
            if told["t"] == "TOP":
                self.deaf or self.say({"t": "TOPS", "mark": told["mark"], "v": self.gauges})
                continue
            self.heard.put_nowait(told)
            if told["t"] == "CONNECT":
                self.read_no = told["no"]
                self.greet()
        writer.close()

    def greet(self) -> None:
        if self.up and self.writer:
            for message in (self.up, *self.notices[self.read_no :]):
                self.say(message)

    def say(self, message: dict) -> None:
        if self.writer:
            self.writer.write(json.dumps(message).encode() + b"\n")

    def ended(self, ref: str, status: str, text: str) -> None:
        self._notice({"t": "VALUE", "rid": ref, "status": status, "time_ms": 5.0, "b64": b64encode(text.encode()).decode()})

    def awaits(self, ref: str, query: str) -> None:
        self._notice({"t": "AWAIT", "rid": ref, "b64": b64encode(query.encode()).decode()})

    def _notice(self, told: dict) -> None:
        self.notices.append({**told, "no": len(self.notices) + 1})
        self.say(self.notices[-1])

    def drop(self) -> None:
        self.writer.close()
        self.writer = None


class Directory(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.heard: asyncio.Queue[str] = asyncio.Queue()

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        self.heard.put_nowait(data.decode())


class Database:
    """The dependency that runs call: one call at a time on a connection, answered when the scenario says so."""

    def __init__(self) -> None:
        self.heard: asyncio.Queue[tuple[str, bytes, asyncio.StreamWriter]] = asyncio.Queue()
        self.waiting: dict[str, asyncio.StreamWriter] = {}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
                query = await reader.readexactly(int(fields["Content-Length"]))
                assert head.startswith("POST /v1/exec HTTP/1.1") and int(fields["Statement-Timeout-Ms"]) > 0
                self.heard.put_nowait((fields["Request-Ref"], query, writer))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


class Caller:
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
        self.placement_overrides: dict = {}  # of the placement, what the JSON does not say
        self.interpreter = Interpreter()
        self.database = Database()
        self.callers: dict[str, Caller] = {}
        self.instance: Instance | None = None

    async def play(self, path: Path) -> None:
        try:
            for number, text in enumerate(path.read_text().splitlines(), 1):
                if text.strip() and not text.startswith("#"):
                    try:
                        await asyncio.wait_for(self.line(*text.split()), SOON)
                    except (TimeoutError, AssertionError, OSError, EOFError) as error:
                        raise AssertionError(f"{path.name}:{number}: {text}\n{error!r}") from error
        finally:
            if self.instance:
                self.instance.stopped.set()
                await asyncio.wait_for(self.serving, SOON)
        assert not self.instance.counts["errors_inside"], "an error inside, see the log"

    async def line(self, who: str, *words: str) -> None:
        if who in ("told", "held"):
            getattr(self, who)(*words)
            return
        if self.instance is None:
            await self.start()
        if who == "wait":
            await asyncio.sleep(float(words[0]))
        elif who in ("interpreter", "directory", "database", "instance", "crowd"):
            await getattr(self, f"{who}_{words[0]}")(*words[1:])
        else:
            await getattr(self, f"caller_{words[0]}")(who, *words[1:])

    def held(self, seconds: str) -> None:
        """Somebody else holds the address for so long."""
        holder = socket.create_server(("127.0.0.1", 0))
        self.settings["listen"] = "127.0.0.1:%d" % holder.getsockname()[1]
        asyncio.get_running_loop().call_later(float(seconds), holder.close)

    def told(self, path: str, text: str) -> None:
        place, (*way, last) = self.settings, path.split(".")
        for key in way:
            place = place[key]
        place[last] = json.loads(text)

    async def start(self) -> None:
        await self.interpreter_moves()
        await self.directory_moves()
        if self.settings.get("db"):
            server = await asyncio.start_server(self.database.serve, "127.0.0.1", 0)
            self.settings["db"] = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        self.instance = Instance(placed(self.settings)._replace(**self.placement_overrides), lambda: placed(self.settings))
        self.serving = asyncio.ensure_future(self.instance.serve())
        await asyncio.sleep(0.01)

    # The interpreter and the directory.

    async def interpreter_moves(self) -> None:
        """To another address, as the next one who reads the file is told."""
        server = await asyncio.start_server(self.interpreter.serve, "127.0.0.1", 0)
        self.settings["vm"] = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def interpreter_vanishes(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as unused:
            self.settings["vm"] = "127.0.0.1:%d" % unused.getsockname()[1]

    async def directory_moves(self) -> None:
        self.directory = Directory()
        datagrams, _ = await asyncio.get_running_loop().create_datagram_endpoint(lambda: self.directory, ("127.0.0.1", 0))
        self.settings["lookup"] = "127.0.0.1:%d" % datagrams.get_extra_info("sockname")[1]

    async def interpreter_up(self, status: str = "old", ms: str = "3600000") -> None:
        self.interpreter.up = {"t": "BANNER", "status": status, "time_ms": float(ms)}
        if not self.interpreter.heard.empty():
            self.interpreter.greet()

    async def interpreter_greets(self) -> None:
        self.interpreter.greet()

    async def interpreter_hears(self, what: str, ref: str = "", body: str = "") -> None:
        told = await self.interpreter.heard.get()
        assert told["t"] == what and (not ref or str(told.get("rid", told.get("no"))) == wire_request_id(ref)), told
        assert not body or b64decode(told["b64"]).decode() == body, told

    async def interpreter_heard(self, nothing: str) -> None:
        assert self.interpreter.heard.empty(), self.interpreter.heard.get_nowait()

    async def interpreter_ends(self, ref: str, status: str, text: str = "") -> None:
        self.interpreter.ended(wire_request_id(ref), status, text)

    async def interpreter_awaits(self, ref: str, query: str) -> None:
        self.interpreter.awaits(wire_request_id(ref), query)

    async def interpreter_forgets(self) -> None:
        """It is started anew: its notices are numbered from 1 again, and a CONNECT names the one it sends on from."""
        self.interpreter.notices = []

    async def interpreter_notes(self, ref: str, status: str, text: str) -> None:
        """A notice that is kept, and comes with the next greeting alone."""
        writer, self.interpreter.writer = self.interpreter.writer, None
        self.interpreter.ended(wire_request_id(ref), status, text)
        self.interpreter.writer = writer

    async def interpreter_nests(self, depth: str) -> None:
        self.interpreter.writer.write(int(depth) * b"[" + b"\n")

    async def interpreter_says(self, *words: str) -> None:
        text = re.sub('"(r[0-9]+)"', lambda ref: f'"{wire_request_id(ref[1])}"', " ".join(words))
        self.interpreter.writer.write(text.encode() + b"\n")

    async def interpreter_down(self) -> None:
        self.interpreter.up = None

    async def interpreter_drops(self) -> None:
        self.interpreter.drop()

    async def interpreter_deaf(self, deaf: str) -> None:
        self.interpreter.deaf = deaf == "yes"

    async def interpreter_gauges(self, *readings: str) -> None:
        self.interpreter.gauges = [float(reading) for reading in readings]

    async def directory_hears(self, *words: str) -> None:
        while await self.directory.heard.get() != " ".join(words):
            pass

    async def database_hears(self, ref: str, query: str) -> None:
        got, data, writer = await self.database.heard.get()
        assert (got, data.decode()) == (wire_request_id(ref), query), (got, data)
        self.database.waiting[got] = writer

    async def database_heard(self, nothing: str) -> None:
        assert self.database.heard.empty(), self.database.heard.get_nowait()

    async def database_answers(self, ref: str, status: str, text: str = "", *more: str) -> None:
        fields = "".join(word.replace("=", ": ") + "\r\n" for word in more)
        self.database.waiting.pop(wire_request_id(ref)).write(
            f"HTTP/1.1 {status} Some\r\n{fields}Content-Length: {len(text)}\r\n\r\n{text}".encode()
        )

    async def database_writes(self, ref: str, *words: str) -> None:
        self.database.waiting.pop(wire_request_id(ref)).write(" ".join(words).encode().decode("unicode_escape").encode())

    async def database_breaks(self, ref: str) -> None:
        self.database.waiting.pop(wire_request_id(ref)).close()

    # The instance.

    async def instance_leaves(self) -> None:
        self.instance.leave()

    async def instance_reloads(self) -> None:
        self.instance.reload()

    async def instance_hears_repeats(self, rate: str) -> None:
        """As in a storm: so many a second, and the door answers the others."""
        self.instance.reducer.storms.set_rate(time.monotonic(), float(rate))
        self.instance.listener.set_early_rejection(True)

    async def instance_lives(self) -> None:
        assert not self.serving.done()

    async def instance_ends(self) -> None:
        await asyncio.shield(self.serving)

    async def instance_counts(self, name: str, count: str) -> None:
        while self.instance.counted().get(name, 0) != int(count):
            await asyncio.sleep(0.01)

    # Callers.

    async def crowd_of(self, count: str, what: str) -> None:
        for number in range(int(count)):
            who = f"{what}-{number}"
            await getattr(self, f"caller_{what}")(who)
            if what == "checks":
                await self.caller_hears(who, "200")

    async def caller_opens(self, who: str) -> None:
        self.callers[who] = Caller(*await asyncio.open_connection("127.0.0.1", self.instance.port))

    async def caller_sends(self, who: str, ref: str, op_type: str, *more: str) -> None:
        """An op with the body `in-REF`, or `body=...`; `more` are further fields, or others in place of the usual
        ones, and perhaps `and-ends`: the end of the caller's side in the same moment. `ago=MS`: it came so long ago, and
        is read only now."""
        told = dict(word.split("=", 1) for word in more if "=" in word)
        arrived = time.time() * 1000 - float(told.pop("ago", 0))
        fields = {
            "X-Request-Id": wire_request_id(ref),
            "X-Request-Start": f"{arrived:.0f}",
            "X-Caller": "1",
            "X-Timeout-Ms": "1500",
            "X-Cost-Ms": "20",
            "X-Memory-Kb": "10",
            **told,
        }
        body = fields.pop("body", f"in-{ref}").encode()
        head = "".join(f"{name}: {text}\r\n" for name, text in fields.items())
        await self.write(
            who,
            f"POST /svc/{op_type} HTTP/1.1\r\nHost: origin.svc\r\n{head}Content-Length: {len(body)}\r\n\r\n".encode() + body,
            "and-ends" in more,
        )

    async def caller_floods(self, who: str, count: str) -> None:
        """A body far too long, all of it sent before the answer is read."""
        head = f"POST /svc/read HTTP/1.1\r\nContent-Length: {int(count) + 1}\r\n\r\n"
        await self.write(who, head.encode() + bytes(int(count)))

    async def caller_drips(self, who: str) -> None:
        await self.write(who, b"x")

    async def caller_checks(self, who: str) -> None:
        await self.write(who, b"GET /status/live HTTP/1.1\r\nHost: origin.svc\r\n\r\n")

    async def caller_writes(self, who: str, *words: str) -> None:
        text = " ".join(words).replace("%now%", f"{time.time() * 1000:.0f}").replace("%junk%", 9000 * "x")
        text = re.sub("(?i)(?<=x-request-id:)(r[0-9]+)", lambda ref: wire_request_id(ref[1]), text)
        await self.write(who, text.encode().decode("unicode_escape").encode())

    async def write(self, who: str, data: bytes, last: bool = False) -> None:
        if who not in self.callers:
            await self.caller_opens(who)
        self.callers[who].writer.write(data)
        if last:
            self.callers[who].writer.write_eof()
        await self.callers[who].writer.drain()

    async def caller_hears(self, who: str, status: str, body: str = "", *more: str) -> None:
        got, fields, text = await self.callers[who].answer()
        assert got == int(status) and (body in ("", "-") or text == body), (got, fields, text)
        for name, _, wanted in (word.partition("=") for word in more):
            assert name in fields and wanted in ("", fields[name]), fields

    async def caller_is_refused(self, who: str) -> None:
        try:
            await self.caller_opens(who)
        except ConnectionRefusedError:
            return
        raise AssertionError("it was let in")

    async def caller_half_closes(self, who: str) -> None:
        self.callers[who].writer.write_eof()

    async def caller_resets(self, who: str) -> None:
        self.callers[who].reset()

    async def caller_is_closed(self, who: str) -> None:
        """By an end, never by a reset; then it closes its side."""
        try:
            assert await self.callers[who].reader.read() == b""
        except ConnectionResetError:
            raise AssertionError("it was reset") from None
        self.callers[who].writer.close()
