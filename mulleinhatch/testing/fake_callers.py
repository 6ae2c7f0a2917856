"""Fake clients: open-loop load with configurable behaviour, in a process of its own.

Runs as `python -m mulleinhatch.testing.fake_callers`, with its settings (`Habits`) as one JSON line on standard input; at the
end of its time, or on SIGTERM, it prints one JSON line. Requests arrive by a Poisson process regardless of earlier ones; each
is retried until it is served, fails permanently, or its client's patience is over.
"""

from __future__ import annotations

import asyncio
import json
import random
import re
import signal
import socket
import sys
import time
from typing import Any, NamedTuple

import msgspec
from hdrh.histogram import HdrHistogram

ANSWER = re.compile(rb"HTTP/1\.1 ([0-9]{3}) [^\r\n]*\r\n((?:[^\r\n]+\r\n)*)\r\n")
FIELD = re.compile(rb"(?i)(content-length|retry-after-ms|x-dont-retry|connection): ([^\r\n]*)\r\n")
BUCKET_S = 0.25  # resolution of the counts over time
DIRECTORY_POLL_S = 0.5


class RequestKind(msgspec.Struct, frozen=True):
    """A kind of request, its share of the load, and when clients may retry it."""

    name: str
    share: float
    # safe: retried after any failure; keyed: the same, with its key; unsafe: retried after a rejection or a lost connection
    repeats: str = "safe"


class Habits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The behaviour of one process's clients; times are in seconds, rates in requests per second, shares from 0 to 1."""

    instances: list[tuple[str, int]]
    kinds: list[RequestKind]
    start_at: float  # on the system clock
    run_for: float
    rate: float
    seed: int = 1
    first_caller: int = 0
    callers: int = 4
    patience: float = 4.5  # of a client, over all attempts of a request
    try_wait: float = 4.5  # timeout of one attempt
    pause: float = 0.05  # before the next attempt
    heeding: float = 0.0  # share of the clients that obey retry delays
    marked: float = 1.0  # share of the clients that mark retries
    work_ms: float = 50.0
    most_tries: int = 1_000_000
    connections: int = 900  # maximum per instance
    alike: float = 0.0  # share of the requests with identical bodies
    steady: float = 1.0  # share of the clients that keep rank and cost over the attempts of a request
    tenant: str = ""
    names: list[str] = []  # of the instances, as in the directory
    directory: int = 0  # its TCP port on loopback; 0 uses all instances without a directory
    second_copy: float = 0.0  # seconds after which a second copy of a safe request is sent; 0 sends none


class Request(NamedTuple):
    """A request over all its attempts; `state` is its mutable part: number of attempts, whether it is finished, its place."""

    number: int
    kind: RequestKind
    caller: int
    arrived_at: float
    heeds: bool
    marks: bool
    work: float
    state: list[Any]
    body: bytes
    rank: float
    steady: bool


class Connection(asyncio.Protocol):
    """A keep-alive connection with one attempt at a time."""

    def __init__(self, load: Load, place: int) -> None:
        self.load, self.place = load, place
        self.transport: asyncio.Transport | None = None
        self.data = b""
        self.request: Request | None = None
        self.ref, self.sent_at = "", 0.0  # of the attempt in flight
        self.sent = 0
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport and disable Nagle's algorithm."""
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, request: Request, ref: str, data: bytes, wait: float) -> None:
        """Send an attempt and start its timer."""
        self.request, self.ref, self.sent_at = request, ref, time.time()
        self.sent += 1
        self.transport.write(data)
        self.timer = asyncio.get_running_loop().call_later(wait, self.handle_deadline)

    def handle_deadline(self) -> None:
        """Abort the connection of an attempt that was not answered in time."""
        request, self.request = self.request, None
        self.transport.abort()
        self.load.handle_timeout(request)

    def data_received(self, data: bytes) -> None:
        """Handle the answer once it is complete."""
        self.data = self.data + data if self.data else data
        found = ANSWER.match(self.data)
        if not found or self.request is None:
            return
        fields = {field[1].lower(): field[2] for field in FIELD.finditer(found[2])}
        length = int(fields.get(b"content-length", b"0"))
        if len(self.data) < found.end() + length:
            return
        body, self.data = self.data[found.end() : found.end() + length], b""
        request, self.request = self.request, None
        self.timer.cancel()
        if fields.get(b"connection") == b"close":
            self.transport.close()
        else:
            self.load.idle[self.place].append(self)
        self.load.handle_answer(request, self.place, int(found[1]), body, float(fields.get(b"retry-after-ms", 0)) / 1000.0)

    def connection_lost(self, error: Exception | None) -> None:
        """Report the attempt that was not answered yet."""
        self.load.open[self.place] -= 1
        if self in self.load.idle[self.place]:
            self.load.idle[self.place].remove(self)
        if self.request is not None:
            request, self.request = self.request, None
            self.timer.cancel()
            if request.kind.repeats == "unsafe":
                self.load.broken_once[self.ref] = (self.place, self.sent_at, time.time())
            self.load.handle_connection_loss(request)


class Load:
    """The requests, connections and counts of one process."""

    def __init__(self, habits: Habits) -> None:
        # Attempts draw from a generator of their own, so that the arrivals don't depend on the outcomes.
        self.habits, self.draw, self.attempt_draw = habits, random.Random(habits.seed), random.Random(-habits.seed)
        self.idle: list[list[Connection]] = [[] for _ in habits.instances]
        self.open = [0] * len(habits.instances)
        self.numbers = 0
        self.first: dict[int, int] = {}  # by bucket of arrival: requests
        self.in_time: dict[int, int] = {}  # by bucket of arrival: requests served within the target
        self.attempts: dict[int, int] = {}
        self.by_kind: dict[str, list[int]] = {kind.name: [0, 0, 0, 0] for kind in habits.kinds}
        self.counts = dict.fromkeys(
            ("acked", "nacked", "failed", "unanswered", "broken", "refused", "gave_up", "wrong", "second_copies", "tries"), 0
        )
        self.late = HdrHistogram(1, 60_000, 3)  # milliseconds of lateness of this process's timers
        self.waits = HdrHistogram(1, 60_000, 3)  # retry delays of rejections in milliseconds
        self.latency = HdrHistogram(1, 120_000, 3)  # milliseconds from arrival to success
        self.target = 1.8
        self.tasks: set[asyncio.Task[Any]] = set()
        self.waiting = 0
        self.listed = list(range(len(habits.instances)))  # places in the last list
        self.refs: dict[str, int] = {}  # by id of a non-retryable attempt: its request
        # Non-retryable attempts that lost their connection: index in `instances`, time sent, time of the loss.
        self.broken_once: dict[str, tuple[int, float, float]] = {}

    async def poll_directory(self) -> None:
        """Poll the directory; keep the last list while it is unavailable."""
        while True:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.habits.directory)
                while True:
                    writer.write(b"LIST\n")
                    names = set(json.loads(await reader.readline()))
                    listed = [place for place, name in enumerate(self.habits.names) if name in names]
                    self.listed = listed or self.listed  # an empty list would leave no instance to send to
                    await asyncio.sleep(DIRECTORY_POLL_S)
            except (OSError, ValueError):
                await asyncio.sleep(DIRECTORY_POLL_S)

    async def play(self) -> None:
        """Start requests at the configured rate for the configured time."""
        habits = self.habits
        if habits.directory:
            self.tasks.add(asyncio.ensure_future(self.poll_directory()))
        at = habits.start_at
        while at < habits.start_at + habits.run_for:
            at += self.draw.expovariate(habits.rate)
            wait = at - time.time()
            if wait > 0.0:
                await asyncio.sleep(wait)
            self.late.record_value(max(1, min(60_000, int(1000.0 * (time.time() - at)))))
            self.start_request(at)

    def start_request(self, at: float) -> None:
        """Start a new request that arrives at `at`."""
        draw, habits = self.draw, self.habits
        kind = draw.choices(habits.kinds, [kind.share for kind in habits.kinds])[0]
        self.numbers += 1
        request = Request(
            self.numbers,
            kind,
            habits.first_caller + draw.randrange(habits.callers),
            at,
            draw.random() < habits.heeding,
            draw.random() < habits.marked,
            *self.draw_properties(kind),
        )
        bucket = int((at - habits.start_at) / BUCKET_S)
        self.first[bucket] = self.first.get(bucket, 0) + 1
        self.by_kind[kind.name][0] += 1
        self.waiting += 1
        self.send_next_attempt(request)
        if habits.second_copy and kind.repeats == "safe":
            asyncio.get_running_loop().call_later(habits.second_copy, self.send_copy, request)

    def draw_properties(self, kind: RequestKind) -> tuple[float, list[Any], bytes, float, bool]:
        """Draw work, body and rank; identical bodies carry the usual work and no identity."""
        draw, habits = self.draw, self.habits
        work, alike = habits.work_ms * draw.uniform(0.7, 1.3), draw.random() < habits.alike
        body = f"{habits.work_ms:.1f} alike {'x' * 180}" if alike else f"{work:.1f} {habits.seed}-{self.numbers} of a caller"
        return (work, [0, False, draw.randrange(len(self.open))], body.encode(), draw.random(), draw.random() < habits.steady)

    def send_copy(self, request: Request) -> None:
        """Send a second copy of an unfinished request."""
        if not request.state[1]:
            self.counts["second_copies"] += 1
            self.send_next_attempt(request)

    def send_next_attempt(self, request: Request) -> None:
        """Send the next attempt, unless the request is finished."""
        now = time.time()
        if request.state[1]:
            return
        if now - request.arrived_at > self.habits.patience or request.state[0] >= self.habits.most_tries:
            self.finish_request(request, "gave_up")
            return
        request.state[0] += 1
        self.counts["tries"] += 1
        bucket = int((now - self.habits.start_at) / BUCKET_S)
        self.attempts[bucket] = self.attempts.get(bucket, 0) + 1
        place = self.listed[request.state[2] % len(self.listed)]
        if self.idle[place]:
            self.send(self.idle[place].pop(), request, now)
        elif self.open[place] < self.habits.connections:
            self.open[place] += 1
            task = asyncio.ensure_future(self.connect(request, place))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        else:
            self.handle_send_failure(request)

    async def connect(self, request: Request, place: int) -> None:
        """Open a connection and send the attempt on it."""
        try:
            _, connection = await asyncio.wait_for(
                asyncio.get_running_loop().create_connection(lambda: Connection(self, place), *self.habits.instances[place]),
                1.0,
            )
        except (TimeoutError, OSError):
            self.open[place] -= 1
            self.handle_send_failure(request)
            return
        self.send(connection, request, time.time())

    def send(self, connection: Connection, request: Request, now: float) -> None:
        """Send an attempt on an open connection."""
        habits = self.habits
        wait = max(0.05, min(habits.try_wait, request.arrived_at + habits.patience - now))
        again = "X-Retry: 1\r\n" if request.state[0] > 1 and request.marks else ""
        key = f"Idempotency-Key: {habits.seed}-{request.number}\r\n" if request.kind.repeats == "keyed" else ""
        draw = self.attempt_draw
        rank, cost = (
            (request.rank, request.work) if request.steady else (draw.random(), habits.work_ms * draw.uniform(0.7, 1.3))
        )
        ref, body = f"{draw.getrandbits(64):016x}", request.body
        if request.kind.repeats == "unsafe":
            self.refs[ref] = request.number
        connection.send(
            request,
            ref,
            (
                f"POST /svc/{request.kind.name} HTTP/1.1\r\nHost: origin.svc\r\n"
                f"X-Request-Id: {ref}\r\nX-Request-Start: {now * 1000:.0f}\r\n"
                f"X-Caller: {request.caller}\r\nX-Timeout-Ms: {1000.0 * wait:.0f}\r\n"
                f"X-Cost-Ms: {cost:.2f}\r\nX-Memory-Kb: 20.0\r\nX-Rank: {rank:.4f}\r\n{again}{key}"
                f"{f'X-Tenant: {habits.tenant}' + chr(13) + chr(10) if habits.tenant else ''}"
                f"Content-Length: {len(body)}\r\n\r\n"
            ).encode()
            + body,
            wait + 0.25,
        )

    # Outcomes of an attempt.

    def handle_answer(self, request: Request, place: int, status: int, body: bytes, hold_off_s: float) -> None:
        """Handle an answer by its status."""
        if status == 200:
            self.finish_request(request, "acked" if body == b"done " + request.body else "wrong")
        elif status in (429, 503):
            self.counts["nacked"] += 1
            if hold_off_s:
                self.waits.record_value(max(1, min(60_000, int(1000.0 * hold_off_s))))
            request.state[2] += 1
            self.schedule_retry(request, max(self.habits.pause, hold_off_s) if request.heeds else self.habits.pause)
        else:
            self.counts["failed"] += 1
            self.schedule_retry(request, self.habits.pause) if request.kind.repeats != "unsafe" else self.finish_request(
                request, "gave_up"
            )

    def handle_timeout(self, request: Request) -> None:
        """Handle an attempt that was not answered in time."""
        self.counts["unanswered"] += 1
        self.schedule_retry(request, self.habits.pause) if request.kind.repeats != "unsafe" else self.finish_request(
            request, "gave_up"
        )

    def handle_connection_loss(self, request: Request) -> None:
        """Handle a connection loss after the request may have executed."""
        self.counts["broken"] += 1
        request.state[2] += 1
        self.schedule_retry(request, self.habits.pause)

    def handle_send_failure(self, request: Request) -> None:
        """Handle an attempt that could not be sent."""
        self.counts["refused"] += 1
        request.state[2] += 1
        self.schedule_retry(request, self.habits.pause)

    def schedule_retry(self, request: Request, pause: float) -> None:
        """Schedule the next attempt."""
        asyncio.get_running_loop().call_later(pause, self.send_next_attempt, request)

    def finish_request(self, request: Request, how: str) -> None:
        """Finish a request and count its outcome."""
        if request.state[1]:
            return
        request.state[1] = True
        self.waiting -= 1
        self.counts[how] += 1
        took, kind = time.time() - request.arrived_at, self.by_kind[request.kind.name]
        if how == "acked":
            kind[1] += 1
            self.latency.record_value(max(1, min(120_000, int(1000.0 * took))))
            if took <= self.target:
                bucket = int((request.arrived_at - self.habits.start_at) / BUCKET_S)
                self.in_time[bucket] = self.in_time.get(bucket, 0) + 1
                kind[2] += 1

    def report(self) -> dict[str, Any]:
        """Return all counts and quantiles, as JSON."""

        def quantiles(histogram: HdrHistogram) -> dict[str, float]:
            return {str(q): histogram.get_value_at_percentile(q) / 1000.0 for q in (50, 95, 99, 100)}

        return {
            "first": self.first,
            "in_time": self.in_time,
            "tries": self.attempts,
            "counts": self.counts,
            "by_kind": self.by_kind,
            "late": quantiles(self.late),
            "told": quantiles(self.waits),
            "latency": quantiles(self.latency),
            "waiting": self.waiting,
            "bucket": BUCKET_S,
            "refs": self.refs,
            "broken_once": self.broken_once,
        }


async def main() -> None:
    """Run the load to its end, or until SIGTERM, and print the report."""
    load = Load(msgspec.json.decode(sys.stdin.buffer.readline(), type=Habits))
    task = asyncio.ensure_future(load.play())
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        await task
        await asyncio.sleep(load.target + 0.2)  # gives the last requests their time
    except asyncio.CancelledError:
        pass
    print(json.dumps(load.report()), flush=True)


if __name__ == "__main__":
    asyncio.run(main())
