"""A fake interpreter: processor sharing among the running requests, numbered notices, and counts of requests that ran twice.

Runs as `python -m mulleinhatch.testing.fake_interpreter PORT CORES SPEED WARMING`; on SIGTERM it prints one JSON line. With
several ports, separated by commas, it hosts one interpreter per port, prints a list of reports, and reads commands from
standard input: `reset PLACE`, `slow PLACE FACTOR`, `failing PLACE SHARE`, and `begun PLACE`, which prints the number of runs
begun there. A request body holds the work in milliseconds on one core and the request's identity, as in `50.0 OP ...`.
"""

from __future__ import annotations

import asyncio
import heapq
import json
import os
import random
import signal
import sys
import time
from base64 import b64decode, b64encode
from collections import Counter, deque
from typing import Any

MIN_KEPT_NOTICES = 4000  # for links that reconnect
STOPPED_AFTER_S = 1.0  # lateness from which the process counts as stopped, not as slow
GAUGE_WINDOW_S = 0.5  # window of the core use gauge


class Cores:
    """Processor sharing: each of n requests runs at min(1, cores/n) of the speed. Needs only one timer, for the next end.

    >>> cores = Cores(2, lambda now: 1.0)
    >>> cores.start(0.0, "a", 1.0); cores.start(0.0, "b", 2.0); cores.start(0.0, "c", 2.0)
    >>> round(cores.next_end(0.0), 3), cores.ended(1.5), round(cores.next_end(1.5), 3)
    (1.5, ['a'], 1.0)
    """

    def __init__(self, cores: int, speed: Any) -> None:
        self.cores, self.speed = cores, speed
        self.progress, self.at, self.busy = 0.0, 0.0, 0.0  # `busy` is the core seconds used since the start
        self.running: list[tuple[float, str]] = []

    def _rate(self, now: float) -> float:
        return self.speed(now) * min(1.0, self.cores / len(self.running)) if self.running else 0.0

    def _pass_time(self, now: float) -> None:
        self.progress += max(0.0, now - self.at) * self._rate(now)
        self.busy += max(0.0, now - self.at) * min(self.cores, len(self.running))
        self.at = max(self.at, now)

    def start(self, now: float, ref: str, work: float) -> None:
        """Start a run that takes `work` core seconds."""
        self._pass_time(now)
        heapq.heappush(self.running, (self.progress + work, ref))

    def ended(self, now: float) -> list[str]:
        """Return the runs that have ended by `now`."""
        self._pass_time(now)
        done = []
        while self.running and self.running[0][0] <= self.progress + 1e-9:
            done.append(heapq.heappop(self.running)[1])
        return done

    def next_end(self, now: float) -> float | None:
        """Return the seconds until the next run ends, or None if none runs."""
        return (self.running[0][0] - self.progress) / self._rate(now) if self.running else None


class Interpreter:
    """One fake interpreter: its runs, notices and link."""

    def __init__(self, cores: int, speed: float, warming: float) -> None:
        self.started_at = time.monotonic()
        self.warming, self.cold_speed = warming, speed
        self.cores = Cores(cores, self.speed)
        self.bodies: dict[str, tuple[bytes, float]] = {}
        self.notices: list[bytes] = []
        self.first_number = 1
        self.ran: Counter[str] = Counter()
        self.alike: list[str] = []
        self.writer: asyncio.StreamWriter | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.late_most = self.late_before = 0.0
        self.busy_samples: deque[tuple[float, float]] = deque([(self.started_at, 0.0)])
        self.due_at: float | None = None
        self.slowed, self.failing = 1.0, 0.0  # by script: slowdown factor, share of the runs that fail
        self.draw = random.Random(1)
        self.starts: list[tuple[float, str]] = []  # start of each run on the system clock, and its request type
        self.record_starts = False
        self.incarnation = 1  # incremented by each reset
        # Runs of non-retryable requests: start time, incarnation, id of the attempt, request.
        self.non_retryable_runs: list[tuple[float, int, str, str]] = []

    def reset(self) -> None:
        """Restart together with the instance: runs, notices and link are lost, but the counts of runs are kept."""
        if self.writer:
            self.writer.close()
        if self.timer:
            self.timer.cancel()
        self.started_at, self.writer, self.timer, self.due_at = time.monotonic(), None, None, None
        self.incarnation += 1
        self.cores, self.bodies, self.notices, self.first_number = Cores(self.cores.cores, self.speed), {}, [], 1
        self.busy_samples = deque([(self.started_at, 0.0)])

    def speed(self, now: float) -> float:
        """Return the speed at a time; it rises while the interpreter warms up."""
        warmed = min(1.0, (now - self.started_at) / self.warming) if self.warming else 1.0
        return (self.cold_speed + (1.0 - self.cold_speed) * warmed) / self.slowed

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Read commands from a link until it closes or a new one replaces it."""
        if self.writer:
            self.writer.close()
        self.writer = writer
        try:
            # A command still buffered on a replaced or reset link must not reach the new incarnation.
            while (line := await reader.readline()) and self.writer is writer:
                self.command(json.loads(line))
        except (ValueError, KeyError, ConnectionError):
            pass
        writer.close()

    def command(self, message: dict[str, Any]) -> None:
        """Carry out one command of the interpreter protocol."""
        now = time.monotonic()
        if message["t"] == "CONNECT":
            self.send(
                json.dumps(
                    {"t": "BANNER", "status": "new" if self.warming else "old", "time_ms": 1000.0 * (now - self.started_at)}
                ).encode()
            )
            for notice in self.notices[max(0, message["no"] + 1 - self.first_number) :]:
                self.send(notice)
        elif message["t"] == "TOP":
            self.send(
                json.dumps(
                    {"t": "TOPS", "mark": message["mark"], "v": [self.core_use(now), len(self.cores.running), 0.1, 1]}
                ).encode()
            )
        elif message["t"] == "APPLY" and message["rid"] not in self.bodies:
            body = b64decode(message["b64"])
            work, identity, *_ = body.split(b" ")
            if identity == b"alike":
                self.alike.append(message["rid"])  # only the clients know its identity, by its id
            else:
                self.ran[f"{message['route']} {identity.decode()}"] += 1
            self.bodies[message["rid"]] = body, now
            if self.record_starts:
                self.starts.append((time.time(), message["route"]))
                if message["route"] == "signoff":
                    self.non_retryable_runs.append(
                        (time.time(), self.incarnation, message["rid"], f"signoff {identity.decode()}")
                    )
            self.cores.start(now, message["rid"], float(work) / 1000.0)
            self.advance()

    def core_use(self, now: float) -> float:
        """Return the share of the cores that was busy in the last `GAUGE_WINDOW_S`."""
        self.advance()
        self.busy_samples.append((now, self.cores.busy))
        while len(self.busy_samples) > 2 and self.busy_samples[1][0] <= now - GAUGE_WINDOW_S:
            self.busy_samples.popleft()
        then, busy = self.busy_samples[0]
        return min(1.0, (self.cores.busy - busy) / (max(0.01, now - then) * self.cores.cores))

    def advance(self) -> None:
        """End the runs that are due, notify the instance, and set the timer for the next end."""
        now = time.monotonic()
        if self.due_at is not None:
            if now - self.due_at < STOPPED_AFTER_S:
                self.late_before = self.late_most
            self.late_most = max(self.late_most, now - self.due_at)
        for ref in self.cores.ended(now):
            body, since = self.bodies.pop(ref)
            number = self.first_number + len(self.notices)
            self.notices.append(
                json.dumps(
                    {
                        "t": "VALUE",
                        "no": number,
                        "rid": ref,
                        "status": "bad" if self.draw.random() < self.failing else "good",
                        "time_ms": 1000.0 * (now - since),
                        "b64": b64encode(b"done " + body).decode(),
                    }
                ).encode()
            )
            self.send(self.notices[-1])
        if len(self.notices) > 2 * MIN_KEPT_NOTICES:
            self.first_number += MIN_KEPT_NOTICES
            del self.notices[:MIN_KEPT_NOTICES]
        if self.timer:
            self.timer.cancel()
        left = self.cores.next_end(now)
        self.due_at = None if left is None else now + left
        self.timer = asyncio.get_running_loop().call_later(left, self.advance) if left is not None else None

    def ignore_stop(self) -> None:
        """Discard the lateness caused by a stop (SIGSTOP) of the process."""
        self.due_at = None
        self.late_most = self.late_before

    def send(self, line: bytes) -> None:
        """Send a line over the link, if one is open."""
        if self.writer and not self.writer.is_closing():
            self.writer.write(line + b"\n")

    def report(self) -> dict[str, Any]:
        """Return what ran, what ran twice, and the lateness of the timers."""
        twice = Counter(name.split(" ")[0] for name, count in self.ran.items() if count > 1)
        return {
            "ran": sum(self.ran.values()) + len(self.alike),
            "alike": self.alike,
            "twice": dict(twice),
            "late_most": round(self.late_most, 4),
        }


async def main(port: int, cores: int, speed: float, warming: float) -> None:
    """Run one interpreter until SIGTERM, then print its report."""
    interpreter = Interpreter(cores, speed, warming)
    server = await asyncio.start_server(interpreter.serve, "127.0.0.1", port, limit=1 << 20)
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    # A stopped process can't be on time; that must not count as lateness of the machine.
    asyncio.get_running_loop().add_signal_handler(signal.SIGCONT, interpreter.ignore_stop)
    await stop.wait()
    server.close()
    print(json.dumps(interpreter.report()), flush=True)


async def main_several(ports: list[int], cores: int, speed: float, warming: float) -> None:
    """Run several interpreters in one process, with commands on standard input."""
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    hosts = [Interpreter(cores, speed, warming) for _ in ports]
    for host, port in zip(hosts, ports):
        host.record_starts = True
        await asyncio.start_server(host.serve, "127.0.0.1", port, limit=1 << 20, backlog=64)
    loop.add_signal_handler(signal.SIGTERM, stop.set)

    buffered = b""

    def read_commands() -> None:
        # Reads the descriptor directly: lines left in the buffer of `sys.stdin` would not make it readable again.
        nonlocal buffered
        if not (data := os.read(sys.stdin.fileno(), 1 << 16)):
            loop.remove_reader(sys.stdin.fileno())
            return
        *lines, buffered = (buffered + data).split(b"\n")
        for line in lines:
            apply_command(*line.decode().split())

    def apply_command(verb: str, place: str, *amount: str) -> None:
        host = hosts[int(place)]
        if verb == "reset":
            host.reset()
        elif verb == "slow":
            host.cores._pass_time(time.monotonic())
            host.slowed = float(amount[0])
            host.advance()
        elif verb == "failing":
            host.failing = float(amount[0])
        elif verb == "begun":
            print(len(host.starts), flush=True)

    loop.add_reader(sys.stdin.fileno(), read_commands)
    print("up", flush=True)
    await stop.wait()
    print(
        json.dumps(
            [
                {
                    **host.report(),
                    "starts": host.starts,
                    "once": host.non_retryable_runs,
                    "signoffs": {name: count for name, count in host.ran.items() if name.startswith("signoff ")},
                }
                for host in hosts
            ]
        ),
        flush=True,
    )
    os._exit(0)  # the links are still open, and cancelling their readers would only log errors


if __name__ == "__main__" and "," in sys.argv[1]:
    asyncio.run(
        main_several([int(port) for port in sys.argv[1].split(",")], int(sys.argv[2]), float(sys.argv[3]), float(sys.argv[4]))
    )
elif __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]), float(sys.argv[4])))
