"""A lean open-loop load generator that is free of coordinated omission.

Requests leave when they are due, whatever happened to earlier ones, and a latency counts from the moment the request was due,
so a server that stands still shows in each request that it kept waiting.

Runs as `python -m mulleinhatch.testing.load_generator`, with its settings (`Habits`) as one JSON line on standard input; it
prints `up`, and at the end of its time one JSON line. It speaks HTTP/1.1 to a service instance, or the interpreter protocol to
an interpreter: the same requests, to measure what the instance adds. One thread over epoll; the wait for the next request is a
`select` on the epoll's descriptor, which takes microseconds where epoll rounds up to a millisecond. Times are seconds of the
monotonic clock.
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
SLICE = 0.1  # seconds over which the driver's own lateness is kept
STRIDE = 7919  # a prime: the names are gone through out of order, each once before one comes again


class Habits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The settings of a generator; rates are requests a second, times seconds."""

    port: int  # on loopback
    rate: float
    run_for: float
    wire: str = "http"  # or "link": the interpreter's own protocol
    seed: int = 1
    even: bool = False  # evenly spaced, not by a Poisson process
    skip: float = 0.0  # from the start, in which latencies are not counted
    drain: float = 6.0  # after the last request, in which answers may still come: longer than a request waits
    work_ms: float = 1.0  # of a request, on one core of the interpreter
    connections: int = 64  # at most; they are kept
    opened: int = 0  # of these, before the first request: no connect then waits for a server that stands still
    idle: int = 0  # connections that are opened first, asked on once and left alone
    first: int = 0  # of the callers, tenants and classes, for runs that go on where one left off
    callers: int = 4
    tenants: int = 0  # 0: no tenant is named
    tenant: str = "t%07d"  # the form of their names
    classes: int = 1
    repeats: float = 0.0  # share that is marked as a further try
    keep: bool = False  # report each answer, [when due, latency], and the driver's lateness by slices


def checked(line: bytes) -> Habits:
    """Parse and validate the settings.

    >>> checked(b'{"port": 1, "rate": 0, "run_for": 1}')
    Traceback (most recent call last):
    ValueError: rate: 0.0 is not above zero
    >>> checked(b'{"port": 1, "rate": 1, "run_for": 1, "wire": "carrier pigeon"}')
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


class Wire:
    """One kept connection; `due` is when its request in flight was to leave, 0.0 with none."""

    def __init__(self, port: int) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port), 2.0)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.setblocking(False)
        self.due, self.data = 0.0, b""


class Driver:
    """The connections, requests and counts of one run."""

    def __init__(self, habits: Habits) -> None:
        self.habits, self.draw = habits, random.Random(habits.seed)
        self.epoll = select.epoll()
        self.wires: dict[int, Wire] = {}
        self.free: list[Wire] = []
        self.waiting: deque[tuple[float, int]] = deque()  # due, number: no connection was free
        self.refs: dict[bytes, float] = {}  # on the link: when the run was due
        self.latency, self.late = HdrHistogram(1, 60_000_000, 3), HdrHistogram(1, 60_000_000, 3)  # microseconds
        self.sent = self.answered = self.broken = self.waited = 0
        self.statuses: dict[str, int] = {}
        self.kept: list[tuple[float, float]] = []
        self.late_in: dict[int, float] = {}  # by slice of the clock: how late at most
        self.count_from = 0.0
        self.rest: list[socket.socket] = []

    def settle(self) -> None:
        """Open the idle connections and send one request on each: a connection that never sent one is not kept."""
        for _ in range(self.habits.idle):
            sock = socket.create_connection(("127.0.0.1", self.habits.port), 5.0)
            sock.sendall(CHECK)
            sock.recv(4096)
            self.rest.append(sock)
        for _ in range(self.habits.opened):
            wire = self._connect()
            wire.sock.settimeout(5.0)
            wire.sock.sendall(CHECK)
            wire.sock.recv(4096)
            wire.sock.setblocking(False)
            self.free.append(wire)
        if self.habits.wire == "link":
            wire = self._connect()
            wire.sock.sendall(b'{"t":"CONNECT","no":0}\n')

    def _connect(self) -> Wire:
        wire = Wire(self.habits.port)
        self.wires[wire.sock.fileno()] = wire
        self.epoll.register(wire.sock.fileno(), select.EPOLLIN)
        return wire

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
                place = int(due / SLICE)
                self.late_in[place] = max(self.late_in.get(place, 0.0), now - due)
                self._send(due, number)
                number += 1
                due += 1.0 / habits.rate if habits.even else self.draw.expovariate(habits.rate)
            self._hear(min(due, until))
        last = time.monotonic() + habits.drain
        while (self.outstanding() or self.waiting) and time.monotonic() < last:
            self._hear(last)

    def outstanding(self) -> int:
        """Return the number of requests in flight."""
        return len(self.refs) if self.habits.wire == "link" else sum(wire.due > 0.0 for wire in self.wires.values())

    def _send(self, due: float, number: int) -> None:
        self.sent += 1
        if self.habits.wire == "link":
            wire = next(iter(self.wires.values()), None)
            if wire is None:
                self.broken += 1
                return
            self._write(wire, self._request(number, due))
        elif self.free:
            self._ask(self.free.pop(), due, number)
        elif len(self.wires) < self.habits.connections:
            try:
                self._ask(self._connect(), due, number)
            except OSError:
                self.broken += 1
        else:
            self.waited += 1
            self.waiting.append((due, number))

    def _ask(self, wire: Wire, due: float, number: int) -> None:
        wire.due = due
        self._write(wire, self._request(number, due))

    def _write(self, wire: Wire, data: bytes) -> None:
        try:
            if wire.sock.send(data) < len(data):
                self._lose(wire)  # a peer that reads nothing for so long that a whole buffer stands full
        except OSError:
            self._lose(wire)

    def _lose(self, wire: Wire) -> None:
        """Close a connection; its request in flight is lost."""
        if self.wires.pop(wire.sock.fileno(), None) is None:
            return
        self.broken += len(self.refs) if self.habits.wire == "link" else wire.due > 0.0
        self.refs.clear()
        if wire in self.free:
            self.free.remove(wire)
        wire.sock.close()

    def _hear(self, until: float) -> None:
        wait = until - time.monotonic()
        if wait > 0.0:
            select.select([self.epoll], [], [], wait)
        for fd, _ in self.epoll.poll(0):
            wire = self.wires.get(fd)
            if wire is None:
                continue
            try:
                data = wire.sock.recv(65536)
            except BlockingIOError:
                continue
            except OSError:
                data = b""
            if not data:
                self._lose(wire)
                continue
            wire.data += data
            (self._runs if self.habits.wire == "link" else self._answer)(wire, time.monotonic())

    def _runs(self, wire: Wire, now: float) -> None:
        *lines, wire.data = wire.data.split(b"\n")
        for line in lines:
            found = DONE.search(line)
            if found and (due := self.refs.pop(found[1], None)) is not None:
                self._over("200", due, now)

    def _answer(self, wire: Wire, now: float) -> None:
        found = ANSWER.match(wire.data)
        if not found or len(wire.data) < found.end() + int(found[2]) or wire.due == 0.0:
            return
        due, wire.due, last = wire.due, 0.0, b"Connection: close" in found[0]
        wire.data = wire.data[found.end() + int(found[2]) :]
        self._over(found[1].decode(), due, now)
        if last:
            self._lose(wire)
        elif self.waiting:
            self._ask(wire, *self.waiting.popleft())
        else:
            self.free.append(wire)

    def _over(self, status: str, due: float, now: float) -> None:
        self.answered += 1
        self.statuses[status] = self.statuses.get(status, 0) + 1
        if due >= self.count_from:
            self.latency.record_value(max(1, int(1e6 * (now - due))))
            if self.habits.keep:
                self.kept.append((due, now - due))

    def report(self) -> dict[str, Any]:
        """Return all figures; latencies in milliseconds. A request is lost if it had no answer, for whatever reason."""

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
            "kept": self.kept,
            "late_in": self.late_in if self.habits.keep else {},
        }


def calm_latencies(report: dict[str, Any], most: float) -> list[float]:
    """Return the latencies in seconds of requests due while the generator itself was on time.

    A request counts if in its slice of time, and in the one before, the generator was late by `most` at most. That lateness
    depends on the machine and not on the server, so no wait caused by the server is left out.

    >>> calm_latencies({"kept": [[0.05, 1.0], [0.15, 2.0], [0.25, 3.0], [0.35, 4.0]], "late_in": {"2": 0.1}}, 0.01)
    [1.0, 2.0]
    """
    late = {int(place): seconds for place, seconds in report["late_in"].items()}
    return [
        latency
        for due, latency in report["kept"]
        if max(late.get(int(due / SLICE), 0.0), late.get(int(due / SLICE) - 1, 0.0)) <= most
    ]


def main() -> None:
    """Run the generator and print its report."""
    try:
        habits = checked(sys.stdin.buffer.readline())
    except (ValueError, msgspec.MsgspecError) as error:
        sys.exit(f"heavy: {error}")
    driver = Driver(habits)
    driver.settle()
    print("up", flush=True)
    driver.play()
    print(json.dumps(driver.report()), flush=True)


if __name__ == "__main__":
    main()
