"""A lightweight open-loop load generator without coordinated omission.

Requests are sent when due regardless of earlier ones, and latency is measured from the due time, so a stalled server shows in
every request that it delays.

Runs as `python -m mulleinhatch.testing.load_generator`, with its settings (`Habits`) as one JSON line on standard input; it
prints `up`, and at the end of its time one JSON line. It speaks HTTP/1.1 to a service instance, or the interpreter protocol to
an interpreter: the same requests, to measure the overhead of the instance. It is one thread over epoll; it waits for the next
request with `select` on the epoll descriptor, which has microsecond resolution, while epoll rounds up to a millisecond. Times
are seconds of the monotonic clock.
"""

from __future__ import annotations

import json
import random
import re
import select
import socket
import sys
import time
from base64 import b64encode
from collections import deque
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

ANSWER = re.compile(rb"HTTP/1\.1 ([0-9]{3}) [^\r\n]*\r\n(?:[^\r\n]+\r\n)*?Content-Length: ([0-9]+)\r\n(?:[^\r\n]+\r\n)*\r\n")
DONE = re.compile(rb'"t": ?"VALUE".*?"rid": ?"([0-9a-f]{16})"')
QUANTILES = (50, 90, 99, 99.9, 100)
CHECK = b"GET /status/live HTTP/1.1\r\nHost: x\r\n\r\n"
SLICE_S = 0.1  # resolution of the generator's own lateness
STRIDE = 7919  # a prime, so that names are used out of order, each once before any repeats


class Habits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The settings of a generator; rates are in requests per second, times in seconds."""

    port: int  # on loopback
    rate: float
    run_for: float
    wire: str = "http"  # or "link" for the interpreter protocol
    seed: int = 1
    even: bool = False  # evenly spaced arrivals instead of a Poisson process
    skip: float = 0.0  # initial time without latency measurement
    drain: float = 6.0  # wait for answers after the last request; longer than the timeout of a request
    work_ms: float = 1.0  # work per request, on one core of the interpreter
    connections: int = 64  # maximum number of keep-alive connections
    opened: int = 0  # of these, opened before the first request, so that no connect waits for a stalled server
    idle: int = 0  # extra connections that send one request at the start and then stay idle
    first: int = 0  # index of the first caller, tenant and class, to continue where an earlier run ended
    callers: int = 4
    tenants: int = 0  # 0 sends no tenant
    tenant: str = "t%07d"  # format of their names
    classes: int = 1
    repeats: float = 0.0  # share of requests marked as retries
    keep: bool = False  # report each answer as [due time, latency], and the generator's lateness by slice


def parse_habits(line: bytes) -> Habits:
    """Parse and validate the settings.

    >>> parse_habits(b'{"port": 1, "rate": 0, "run_for": 1}')
    Traceback (most recent call last):
    ValueError: rate: 0.0 is not above zero
    >>> parse_habits(b'{"port": 1, "rate": 1, "run_for": 1, "wire": "carrier pigeon"}')
    Traceback (most recent call last):
    ValueError: wire: 'carrier pigeon' is neither http nor link
    """
    habits = msgspec.json.decode(line, type=Habits)
    for key in ("rate", "run_for", "connections", "classes", "callers"):
        if not getattr(habits, key) > 0:
            raise ValueError(f"{key}: {getattr(habits, key)!r} is not above zero")
    if habits.wire not in ("http", "link"):
        raise ValueError(f"wire: {habits.wire!r} is neither http nor link")
    return habits


class Connection:
    """A keep-alive connection; `due` is the due time of its request in flight, 0.0 without one."""

    def __init__(self, port: int) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port), 2.0)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.setblocking(False)
        self.due, self.data = 0.0, b""


class LoadGenerator:
    """The connections, requests and counts of one run."""

    def __init__(self, habits: Habits) -> None:
        self.habits, self.draw = habits, random.Random(habits.seed)
        self.epoll = select.epoll()
        self.connections: dict[int, Connection] = {}
        self.available: list[Connection] = []
        self.waiting: deque[tuple[float, int]] = deque()  # due time and number of requests without a free connection
        self.refs: dict[bytes, float] = {}  # on the link: due time of each run
        self.latency, self.late = HdrHistogram(1, 60_000_000, 3), HdrHistogram(1, 60_000_000, 3)  # microseconds
        self.sent = self.answered = self.broken = self.waited = 0
        self.statuses: dict[str, int] = {}
        self.latencies: list[tuple[float, float]] = []
        self.late_in: dict[int, float] = {}  # by slice of the clock: maximum lateness in seconds
        self.count_from = 0.0
        self.idle_sockets: list[socket.socket] = []

    def open_connections(self) -> None:
        """Open connections and send one request on each, because a server closes connections that never sent one."""
        for _ in range(self.habits.idle):
            sock = socket.create_connection(("127.0.0.1", self.habits.port), 5.0)
            sock.sendall(CHECK)
            sock.recv(4096)
            self.idle_sockets.append(sock)
        for _ in range(self.habits.opened):
            connection = self._connect()
            connection.sock.settimeout(5.0)
            connection.sock.sendall(CHECK)
            connection.sock.recv(4096)
            connection.sock.setblocking(False)
            self.available.append(connection)
        if self.habits.wire == "link":
            connection = self._connect()
            connection.sock.sendall(b'{"t":"CONNECT","no":0}\n')

    def _connect(self) -> Connection:
        connection = Connection(self.habits.port)
        self.connections[connection.sock.fileno()] = connection
        self.epoll.register(connection.sock.fileno(), select.EPOLLIN)
        return connection

    def _request(self, number: int, now: float) -> bytes:
        habits, place = self.habits, self.habits.first + number
        ref = f"{self.draw.getrandbits(64):016x}"
        body = f"{habits.work_ms:.2f} {ref}".encode()
        if habits.wire == "link":
            self.refs[ref.encode()] = now
            return b'{"t":"APPLY","rid":"%b","route":"c0","b64":"%b"}\n' % (ref.encode(), b64encode(body))
        tenant = f"X-Tenant: {habits.tenant % (place * STRIDE % habits.tenants)}\r\n" if habits.tenants else ""
        again = "X-Retry: 1\r\n" if habits.repeats and self.draw.random() < habits.repeats else ""
        return (
            f"POST /svc/c{place * STRIDE % habits.classes} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {ref}\r\n"
            f"X-Request-Start: {time.time() * 1000.0:.0f}\r\nX-Caller: {place * STRIDE % habits.callers}\r\n"
            f"X-Timeout-Ms: 4000\r\nX-Cost-Ms: {habits.work_ms:.2f}\r\nX-Memory-Kb: 20.0\r\n"
            f"X-Rank: {self.draw.random():.4f}\r\n{again}{tenant}Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body

    def play(self) -> None:
        """Send requests at the configured rate, then wait for the last answers."""
        habits = self.habits
        begin = due = time.monotonic() + 0.05
        self.count_from, until, number = begin + habits.skip, begin + habits.run_for, 0
        while due < until:
            while (now := time.monotonic()) >= due and due < until:
                self.late.record_value(max(1, int(1e6 * (now - due))))
                place = int(due / SLICE_S)
                self.late_in[place] = max(self.late_in.get(place, 0.0), now - due)
                self._send(due, number)
                number += 1
                due += 1.0 / habits.rate if habits.even else self.draw.expovariate(habits.rate)
            self._receive(min(due, until))
        last = time.monotonic() + habits.drain
        while (self.outstanding() or self.waiting) and time.monotonic() < last:
            self._receive(last)

    def outstanding(self) -> int:
        """Return the number of requests in flight."""
        return (
            len(self.refs)
            if self.habits.wire == "link"
            else sum(connection.due > 0.0 for connection in self.connections.values())
        )

    def _send(self, due: float, number: int) -> None:
        self.sent += 1
        if self.habits.wire == "link":
            connection = next(iter(self.connections.values()), None)
            if connection is None:
                self.broken += 1
                return
            self._write(connection, self._request(number, due))
        elif self.available:
            self._send_on(self.available.pop(), due, number)
        elif len(self.connections) < self.habits.connections:
            try:
                self._send_on(self._connect(), due, number)
            except OSError:
                self.broken += 1
        else:
            self.waited += 1
            self.waiting.append((due, number))

    def _send_on(self, connection: Connection, due: float, number: int) -> None:
        connection.due = due
        self._write(connection, self._request(number, due))

    def _write(self, connection: Connection, data: bytes) -> None:
        try:
            if connection.sock.send(data) < len(data):
                self._drop_connection(connection)  # the peer stopped reading, so the send buffer is full
        except OSError:
            self._drop_connection(connection)

    def _drop_connection(self, connection: Connection) -> None:
        """Close a connection; its request in flight is lost."""
        if self.connections.pop(connection.sock.fileno(), None) is None:
            return
        self.broken += len(self.refs) if self.habits.wire == "link" else connection.due > 0.0
        self.refs.clear()
        if connection in self.available:
            self.available.remove(connection)
        connection.sock.close()

    def _receive(self, until: float) -> None:
        wait = until - time.monotonic()
        if wait > 0.0:
            select.select([self.epoll], [], [], wait)
        for fd, _ in self.epoll.poll(0):
            connection = self.connections.get(fd)
            if connection is None:
                continue
            try:
                data = connection.sock.recv(65536)
            except BlockingIOError:
                continue
            except OSError:
                data = b""
            if not data:
                self._drop_connection(connection)
                continue
            connection.data += data
            (self._handle_notices if self.habits.wire == "link" else self._handle_response)(connection, time.monotonic())

    def _handle_notices(self, connection: Connection, now: float) -> None:
        *lines, connection.data = connection.data.split(b"\n")
        for line in lines:
            found = DONE.search(line)
            if found and (due := self.refs.pop(found[1], None)) is not None:
                self._complete("200", due, now)

    def _handle_response(self, connection: Connection, now: float) -> None:
        found = ANSWER.match(connection.data)
        if not found or len(connection.data) < found.end() + int(found[2]) or connection.due == 0.0:
            return
        due, connection.due, last = connection.due, 0.0, b"Connection: close" in found[0]
        connection.data = connection.data[found.end() + int(found[2]) :]
        self._complete(found[1].decode(), due, now)
        if last:
            self._drop_connection(connection)
        elif self.waiting:
            self._send_on(connection, *self.waiting.popleft())
        else:
            self.available.append(connection)

    def _complete(self, status: str, due: float, now: float) -> None:
        self.answered += 1
        self.statuses[status] = self.statuses.get(status, 0) + 1
        if due >= self.count_from:
            self.latency.record_value(max(1, int(1e6 * (now - due))))
            if self.habits.keep:
                self.latencies.append((due, now - due))

    def report(self) -> dict[str, Any]:
        """Return all counts and latencies, in milliseconds. A request without an answer is lost, whatever the reason."""

        def quantiles(histogram: HdrHistogram) -> dict[str, float]:
            return {f"p{q:g}": histogram.get_value_at_percentile(q) / 1000.0 for q in QUANTILES}

        return {
            "sent": self.sent,
            "answered": self.answered,
            "lost": self.sent - self.answered,
            "broken": self.broken,
            "waited": self.waited,
            "statuses": self.statuses,
            "latency_ms": quantiles(self.latency),
            "late_ms": quantiles(self.late),
            "cpu_s": time.process_time(),
            "kept": self.latencies,
            "late_in": self.late_in if self.habits.keep else {},
        }


def on_time_latencies(report: dict[str, Any], most: float) -> list[float]:
    """Return the latencies in seconds of requests due while the generator itself was on time.

    A request counts if the generator was late by at most `most` in its time slice and in the one before. That lateness
    depends on the machine and not on the server, so no delay caused by the server is excluded.

    >>> on_time_latencies({"kept": [[0.05, 1.0], [0.15, 2.0], [0.25, 3.0], [0.35, 4.0]], "late_in": {"2": 0.1}}, 0.01)
    [1.0, 2.0]
    """
    late = {int(place): seconds for place, seconds in report["late_in"].items()}
    return [
        latency
        for due, latency in report["kept"]
        if max(late.get(int(due / SLICE_S), 0.0), late.get(int(due / SLICE_S) - 1, 0.0)) <= most
    ]


def main() -> None:
    """Run the generator and print its report."""
    try:
        habits = parse_habits(sys.stdin.buffer.readline())
    except (ValueError, msgspec.MsgspecError) as error:
        sys.exit(f"load_generator: {error}")
    generator = LoadGenerator(habits)
    generator.open_connections()
    print("up", flush=True)
    generator.play()
    print(json.dumps(generator.report()), flush=True)


if __name__ == "__main__":
    main()
