"""Point 5 of the users' letter: no answer goes to the wrong caller, a call that may not be repeated runs once at most.

The real connections, exchanges and router, on transports in memory, against backends that write down what ran for whom. Two
requests share two backends and their kept connections; every order of events to a depth is played, longer ones are drawn. What
clients got is held against what ran.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import unittest
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from unittest import mock

from mulleinhatch.configuration.document import Document
from mulleinhatch.configuration.routes import build_table
from mulleinhatch.data_plane.exchange import Attempt, backend_fields
from mulleinhatch.data_plane.request_state import Answer, Next, RequestState, read_answer
from mulleinhatch.data_plane.router import Router
from mulleinhatch.data_plane.snapshot import BackendList, KnownBackend, Snapshot
from mulleinhatch.networking.http_client import ClientConnection
from mulleinhatch.networking.http_streaming import Head, parse_request_head
from mulleinhatch.process.settings import Bounds, Settings
from mulleinhatch.simulation.virtual_time import VirtualLoop

ROUTES = {
    "unsafe": {"kind": "unsafe", "max_attempts": 2},
    "safe": {"kind": "safe", "max_attempts": 2},
    "streaming": {"kind": "streaming", "max_attempts": 2},
    "resumable": {"kind": "streaming", "max_attempts": 2, "resumable": True},
}
EVENTS = (
    "answer",  # whole, with the id
    "answer and close",  # in one read
    "answer twice",  # a surplus one behind it
    "answer without id",
    "late answer",  # of the request before it on this connection, then its own
    "unlike",  # bytes that are no answer
    "not executed",
    "busy",  # 503 without the word that it did not run
    "other stub",  # 421
    "half",  # the head and a part of the body
    "half and reset",
    "unframed",  # no length, ended by a close
    "unframed and reset",
    "close",
    "reset",
    "unasked",  # an answer on a connection that waits for none
    "time over",
    "client gone",
)
PAIRS = tuple((event, place) for event in EVENTS for place in (0, 1))


class Socket:
    def setsockopt(self, *_: object) -> None:
        """Options mean nothing in memory."""


class BackendTransport(asyncio.Transport):
    """The far end of one connection: it runs each request that arrives whole, and writes it down."""

    def __init__(self, world: World, backend: str) -> None:
        super().__init__({"socket": Socket()})
        self.world, self.backend = world, backend
        self.connection: ClientConnection | None = None
        self.waiting = ""  # the request that was not answered yet
        self.before = ""  # the one before it
        self.rest = b""  # of an answer of which the first part is sent
        self.closed = False
        self._received = b""

    def write(self, data: bytes) -> None:
        self._received += data
        head, whole, rest = self._received.partition(b"\r\n\r\n")
        if not whole or self.closed:
            return
        parsed = parse_request_head(head + b"\r\n\r\n")
        length = int(parsed.first.get(b"content-length", b"0"))
        if len(rest) < length:
            return
        self._received = rest[length:]
        name = parsed.first[b"request-id"].decode()
        self.before, self.waiting = self.waiting or self.before, name
        self.world.arrivals.append((name, self.backend))
        self.world.deadlines.setdefault(name, []).append(int(parsed.first[b"request-deadline"]))

    def get_write_buffer_size(self) -> int:
        return 0

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.world.loop.call_soon(self.connection.connection_lost, None)

    def abort(self) -> None:
        self.close()

    def is_closing(self) -> bool:
        return self.closed

    def pause_reading(self) -> None:
        """Nothing is held back here."""

    def resume_reading(self) -> None:
        """Nothing is held back here."""


@dataclass
class Client:
    """What a client got: `ServerSession` as the exchange sees it."""

    name: str
    status: int = 0
    body: bytes = b""
    complete: bool = False
    broken: bool = False
    refused: bool = False
    answers: int = 0

    def write_head(self, head: Head, length: int | None) -> None:
        self.answers += 1
        self.status = head.status

    def write_body(self, data: bytes) -> None:
        self.body += data

    def finish(self) -> None:
        self.complete = True

    def refuse(self, status: int, why: str, retry_after_s: float = 0.0) -> None:
        self.answers += 1
        self.status, self.refused = status, True

    def break_off(self) -> None:
        self.broken = True


class World:
    """Two requests, two backends, and what happens between them."""

    def __init__(self, kinds: tuple[str, str]) -> None:
        self.loop = asyncio.get_running_loop()
        self.arrivals: list[tuple[str, str]] = []
        self.deadlines: dict[str, list[int]] = {}  # what each run of a request was told, in ms
        self.unrun: Counter[str] = Counter()  # by request: arrivals that a backend said it did not run
        self.transports: list[BackendTransport] = []
        self.kinds = dict(zip("ab", kinds))
        self.clients = {name: Client(name) for name in "ab"}
        self.gone: set[str] = set()
        settings = Settings(
            "d", "10.0.0.9", "z", "r", {}, "10.0.0.9:1", (), False, False, 1, 1.0, "", 100, 100.0, {}, Bounds()
        )  # fmt: skip
        self.router = Router(settings, self.loop, lambda name: None)
        self.router.pool.open = self._open  # type: ignore[method-assign]
        routes = [
            {"name": kind, "host": "h", "path_prefix": f"/{kind}/", "timeout_ms": 5000, "service": "s", **facts}
            for kind, facts in ROUTES.items()
        ]
        value = {"version": 1, "routes": routes, "services": [{"name": "s"}]}
        backends = [KnownBackend(f"i-{n}", "s", f"a:{n}", "z", 4, False, False, {}, {}, float("inf")) for n in (0, 1)]
        known = BackendList({backend.id: backend for backend in backends}, {"s": tuple(backends)})
        self.router.swap(Snapshot(build_table(Document(1, value)), known, 1, True))
        self.exchanges = {}

    async def _open(self, address: str) -> ClientConnection:
        connection = ClientConnection()
        transport = BackendTransport(self, f"i-{address[-1]}")
        transport.connection = connection
        connection.pool = self.router.pool
        self.transports.append(transport)
        connection.connection_made(transport)
        return connection

    async def settle(self) -> None:
        for _ in range(6):
            await asyncio.sleep(0)

    async def begin(self, name: str) -> None:
        kind = self.kinds[name]
        lines = (f"POST /{kind}/x HTTP/1.1", "Host: h", f"Request-Id: {name}", "Content-Length: 1")
        head = parse_request_head("\r\n".join((*lines, "", "")).encode())
        self.exchanges[name] = self.router.begin(self.clients[name], head, name.encode())
        await self.settle()

    # Events.

    def _answer(self, name: str, status: int = 200, more: str = "", body: bytes | None = None, length: bool = True) -> bytes:
        body = self.body_of(name) if body is None else body
        lines = [f"HTTP/1.1 {status} X", f"Request-Id: {name}", "Server-Signature: s"]
        lines += [f"Content-Length: {len(body)}"] if length else []
        lines += [more] if more else []
        return "\r\n".join((*lines, "", "")).encode() + body

    def body_of(self, name: str) -> bytes:
        if self.kinds[name].startswith(("s", "r")) and "safe" not in self.kinds[name]:
            return b"".join(f"id: {number}\ndata: {name}\n\n".encode() for number in (1, 2, 3))
        return f"the body of {name}".encode()

    async def event(self, event: str, place: int) -> None:
        """One event at the request or at the connection of that place; nothing where it can't be."""
        if event in ("time over", "client gone"):
            self._client_event(event, "ab"[place])
        elif place < len(self.transports) and not self.transports[place].closed:
            self._backend_event(event, self.transports[place])
        await self.settle()

    def _client_event(self, event: str, name: str) -> None:
        exchange = self.exchanges[name]
        if exchange is None or exchange.over:
            return
        if event == "time over":
            exchange._time_over()
        else:
            self.gone.add(name)
            exchange.cancel()

    def _backend_event(self, event: str, transport: BackendTransport) -> None:
        connection, name = transport.connection, transport.waiting
        if event == "unasked":
            if not name:
                connection.data_received(self._answer(transport.before or "b"))
            return
        if not name:
            if event in ("close", "reset"):
                self._lose(transport, event == "reset")
            return
        if transport.rest:
            self._go_on(event, transport, name)
            return
        transport.waiting, transport.before = "", name
        self._play(event, transport, name)

    def _go_on(self, event: str, transport: BackendTransport, name: str) -> None:
        """The rest of an answer that was begun; other bytes in its place could not be told from it."""
        if event in ("answer", "answer and close", "answer twice"):
            rest, transport.rest = transport.rest, b""
            transport.waiting, transport.before = "", name
            transport.connection.data_received(rest + (self._answer(name) if event == "answer twice" else b""))
            if event == "answer and close":
                self._lose(transport, False)
        elif event in ("close", "reset"):
            self._lose(transport, event == "reset")

    def _play(self, event: str, transport: BackendTransport, name: str) -> None:
        connection = transport.connection
        whole = self._answer(name)
        if event == "answer":
            connection.data_received(whole)
        elif event == "answer and close":
            connection.data_received(whole)
            self._lose(transport, False)
        elif event == "answer twice":
            connection.data_received(whole + whole)
        elif event == "answer without id":
            connection.data_received(whole.replace(f"Request-Id: {name}\r\n".encode(), b""))
            transport.waiting = name
        elif event == "late answer":
            other = "a" if name == "b" else "b"
            connection.data_received(self._answer(other, body=self.body_of(other)) + whole)
        elif event == "unlike":
            connection.data_received(b"\x00\x01garbage\r\n\r\n")
        elif event in ("not executed", "other stub"):
            self.unrun[name] += 1
            status, more = (503, "Not-Executed: 1") if event == "not executed" else (421, "")
            connection.data_received(self._answer(name, status, more, b""))
        elif event == "busy":
            connection.data_received(self._answer(name, 503, "", b"busy"))
        elif event in ("half", "half and reset"):
            connection.data_received(whole[:-4])
            if event == "half":
                transport.waiting, transport.rest = name, whole[-4:]
            else:
                self._lose(transport, True)
        elif event in ("unframed", "unframed and reset"):
            cut = self._answer(name, length=False)
            connection.data_received(cut if event == "unframed" else cut[:-4])
            self._lose(transport, event != "unframed")
        else:
            self._lose(transport, event == "reset")

    def _lose(self, transport: BackendTransport, reset: bool) -> None:
        if not transport.closed:
            transport.closed = True
            transport.connection.connection_lost(ConnectionResetError() if reset else None)

    # What must hold.

    def broken(self) -> Iterator[str]:
        arrived = Counter(name for name, _ in self.arrivals)
        for name, client in self.clients.items():
            ran = arrived[name] - self.unrun[name]
            kind = self.kinds[name]
            if kind in ("unsafe", "streaming") and ran > 1:
                yield f"{kind} {name} ran {ran} times"
            if kind in ("resumable", "safe") and ran > 2:
                yield f"{kind} {name} ran {ran} times, 2 are allowed"
            if client.answers > 1:
                yield f"{name} got {client.answers} answers"
            if client.refused and client.status in (408, 421, 429, 503) and ran:
                yield f"{name} got {client.status} and ran"
            if client.status == 200 and not self.body_of(name).startswith(client.body):
                yield f"{name} got {client.body!r}"
            if client.complete and client.status == 200 and client.body != self.body_of(name):
                yield f"{name} got {client.body!r} as complete"
            if client.complete and client.broken:
                yield f"{name} is complete and broken off"


async def _played(kinds: tuple[str, str], events: tuple[tuple[str, int], ...]) -> list[str]:
    world = World(kinds)
    await world.begin("a")
    await world.begin("b")
    for event, place in events:
        await world.event(event, place)
        broken = list(world.broken())
        if broken:
            return broken
    for exchange in list(world.exchanges.values()):  # in the end the time is over for all
        if exchange is not None and not exchange.over:
            exchange._time_over()
    await world.settle()
    return list(world.broken())


def played(rows: Iterator[tuple[tuple[str, str], tuple[tuple[str, int], ...]]]) -> tuple[int, list[str]]:
    """How many rows were played, and the first that breaks something."""
    loop = VirtualLoop()

    async def play() -> tuple[int, list[str]]:
        count = 0
        for kinds, events in rows:
            count += 1
            if broken := await _played(kinds, events):
                return count, [f"{kinds} {events}", *broken]
        return count, []

    try:
        return loop.run_until_complete(play())
    finally:
        loop.close()


KINDS = (("unsafe", "unsafe"), ("unsafe", "safe"), ("streaming", "unsafe"), ("resumable", "streaming"))


def all_rows(depth: int) -> Iterator[tuple[tuple[str, str], tuple[tuple[str, int], ...]]]:
    return itertools.product(KINDS, itertools.product(PAIRS, repeat=depth))


def drawn_rows(count: int, seed: int) -> Iterator[tuple[tuple[str, str], tuple[tuple[str, int], ...]]]:
    chance = random.Random(seed)
    for _ in range(count):
        kinds = chance.choice(list(ROUTES)), chance.choice(list(ROUTES))
        yield kinds, tuple(chance.choice(PAIRS) for _ in range(chance.randint(3, 9)))


class Exchanges(unittest.TestCase):
    def test_every_order_of_two_events_and_long_rows_drawn(self):
        """Four pairs of kinds, 36 events: 5,184 rows of two, 4,000 of three to nine."""
        count, broken = played(all_rows(2))
        self.assertEqual((count, broken), (len(KINDS) * len(PAIRS) ** 2, []))
        self.assertEqual(played(drawn_rows(4000, 7)), (4000, []))

    def found(self) -> bool:
        return bool(played(all_rows(1))[1] or played(all_rows(2))[1] or played(drawn_rows(3000, 8))[1])

    def planted(self, *patches: object) -> None:
        with contextlib.ExitStack() as stack:
            for patch in patches:
                stack.enter_context(patch)
            self.assertTrue(self.found())

    def test_found_when_an_answer_is_taken_without_its_id(self):
        self.planted(mock.patch.object(Attempt, "expects", lambda self, head: True))

    def test_found_when_what_may_not_be_repeated_is_sent_again_after_a_reset(self):
        self.planted(mock.patch.object(RequestState, "may_run_again", property(lambda state: state.runs < state.max_attempts)))

    def test_found_when_a_connection_with_surplus_is_used_again(self):
        def keep(connection: ClientConnection) -> None:
            connection._reader = type(connection._reader)(answers=True, max_head_bytes=65536)

        self.planted(
            mock.patch.object(ClientConnection, "_end_idle", keep),
            mock.patch.object(Attempt, "expects", lambda self, head: True),
        )

    def test_found_when_a_503_is_said_after_a_run(self):
        self.planted(mock.patch.object(RequestState, "time_over", lambda state: Next.REFUSE))

    def test_found_when_a_busy_backend_is_believed_not_to_have_run_it(self):
        def believe(status: int, fields: object, idempotent: bool) -> Answer:
            return Answer.NOT_RUN if status == 503 else read_answer(status, fields, idempotent)

        self.planted(mock.patch("mulleinhatch.data_plane.exchange.read_answer", believe))

    def test_found_when_a_cut_answer_ends_as_complete(self):
        self.planted(mock.patch.object(Client, "break_off", Client.finish))


def scripted(script, kinds: tuple[str, str] = ("safe", "unsafe")) -> World:
    """A world after a script, on a clock of its own."""
    loop = VirtualLoop()

    async def play() -> World:
        world = World(kinds)
        await script(world)
        return world

    try:
        return loop.run_until_complete(play())
    finally:
        loop.close()


class RulesOfTheWire(unittest.TestCase):
    """Rules that are newer than the exchange, one by one."""

    def test_the_time_handed_on_is_never_more_than_is_left(self):
        """BUDGET: a repeat 1.2 s later ends with the first one's time."""

        async def script(world: World) -> None:
            await world.begin("a")
            await asyncio.sleep(1.2)
            await world.event("reset", 0)
            first, second = world.deadlines["a"]
            self.assertLessEqual(first, 5000)
            self.assertLessEqual(second, first - 1200)

        scripted(script)

    def test_a_client_that_leaves_frees_the_backend_at_once_and_nothing_is_sent_for_it_later(self):
        """GONE."""

        async def script(world: World) -> None:
            await world.begin("a")
            self.assertFalse(world.transports[0].closed)
            await world.event("client gone", 0)
            self.assertTrue(world.transports[0].closed)
            await asyncio.sleep(6.0)
            self.assertEqual(len(world.arrivals), 1)

        scripted(script)

    def test_a_request_is_answered_when_its_routes_time_is_over(self):
        """CONFIG: within half a second of `timeout_ms`; 504 as it may have run, a break where its stream has begun."""

        async def script(world: World) -> None:
            await world.begin("a")
            await world.begin("b")
            await world.event("half", 1)
            await asyncio.sleep(5.3)
            self.assertEqual(world.clients["a"].status, 504)
            self.assertTrue(world.clients["b"].broken)

        scripted(script, ("unsafe", "streaming"))

    def test_model_fields_reach_the_backend_as_the_client_sent_them(self):
        """UNASKED."""
        lines = b"POST /a/x HTTP/1.1", b"Model: m/a1", b"Token-Usage: 30,4", b"Prompt-Prefix: a:1, b:2", b"Request-Id: 7"
        sent = dict(backend_fields(parse_request_head(b"\r\n".join((*lines, b"", b""))), 1.0, "i-1", 3, b""))
        self.assertEqual((sent[b"Model"], sent[b"Token-Usage"], sent[b"Prompt-Prefix"]), (b"m/a1", b"30,4", b"a:1, b:2"))
        self.assertEqual((sent[b"Request-Id"], sent[b"Expect-Instance"]), (b"7", b"i-1"))

    def test_who_knows_no_configuration_says_come_back_and_never_that_a_route_is_not_there(self):
        """DENIED."""

        async def script(world: World) -> None:
            world.router.swap(Snapshot())
            await world.begin("a")
            self.assertEqual(world.clients["a"].status, 503)

        scripted(script)

    def test_what_comes_long_after_the_notice_to_leave_is_sent_elsewhere(self):
        """LOST, shown by a trial of a scale day: taken 4.6 s after SIGTERM, cut when the grace period ended 3 s later."""

        async def script(world: World) -> None:
            world.router.leave(world.loop.time() + 7.4)
            await world.begin("a")
            self.assertEqual(len(world.arrivals), 1)
            await asyncio.sleep(2.9)
            await world.begin("b")
            self.assertEqual((len(world.arrivals), world.clients["b"].status), (1, 503))

        scripted(script)

    def test_nothing_goes_to_a_backend_that_left_while_the_connection_to_it_was_made(self):
        """DRAIN."""

        async def script(world: World) -> None:
            real = world.router.pool.open

            async def slow(address: str) -> ClientConnection:
                connection = await real(address)
                snapshot = world.router.snapshot
                if len(world.transports) == 1:
                    left = snapshot.backends.updated((), False, 0.0, [world.transports[0].backend])
                    world.router.swap(Snapshot(snapshot.table, left, 1, True))
                return connection

            world.router.pool.open = slow  # type: ignore[method-assign]
            await world.begin("a")
            await world.settle()
            self.assertEqual([backend for _, backend in world.arrivals], [world.transports[1].backend])
            self.assertNotEqual(world.transports[0].backend, world.transports[1].backend)

        scripted(script)


class States(unittest.TestCase):
    """Each row of the table, by itself."""

    def state(self, idempotent: bool = False, resumable: bool = False, **more: int) -> RequestState:
        return RequestState(idempotent, resumable, 2, **more)

    def test_a_promise_is_made_only_while_nothing_counts_as_run(self):
        for sends, runs, head in itertools.product(range(3), range(3), (False, True)):
            for idempotent, resumable in itertools.product((False, True), repeat=2):
                state = RequestState(idempotent, resumable, 2, sends, runs, head)
                for following in (state.unserved(), state.time_over(), state.lost()):
                    if following is Next.REFUSE:
                        self.assertEqual((runs, head), (0, False))

    def test_what_was_lost_on_its_way_goes_nowhere_else_where_it_may_not_run_twice(self):
        state = self.state()
        state.begin()
        self.assertIs(state.lost(), Next.FAIL)

    def test_what_the_backend_did_not_run_goes_on_four_times(self):
        state, following = self.state(), []
        for _ in range(4):
            state.begin()
            following.append(state.not_run())
        self.assertEqual(following, [Next.ANOTHER_BACKEND] * 3 + [Next.REFUSE])

    def test_an_idempotent_one_runs_on_as_many_backends_as_its_route_says(self):
        state = self.state(idempotent=True)
        state.begin()
        self.assertIs(state.lost(), Next.ANOTHER_BACKEND)
        state.begin()
        self.assertIs(state.lost(), Next.FAIL)

    def test_a_stream_is_taken_up_elsewhere_only_where_it_may_be_resumed(self):
        for resumable, following in ((True, Next.ANOTHER_BACKEND), (False, Next.BREAK_OFF)):
            state = self.state(idempotent=True, resumable=resumable, head_passed=True)
            state.begin()
            self.assertIs(state.lost(), following)


if __name__ == "__main__":
    unittest.main()
