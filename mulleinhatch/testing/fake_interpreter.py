"""A fake interpreter: cores shared by all running requests, numbered notices, and a count of what ran twice.

Runs as `python -m mulleinhatch.testing.fake_interpreter PORT CORES SPEED WARMING`; on SIGTERM it prints one JSON line. With
several ports, separated by commas, it hosts as many interpreters, reads `reset PLACE`, `slow PLACE TIMES`,
`failing PLACE SHARE` and `begun PLACE` (which asks for the number of runs begun there) from standard input, and
prints a list. A body holds the work and the identity of a request, as `50.0 OP ...`: milliseconds on one core, then a name.
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

NOTICES_KEPT = 4000
STOOD_STILL = 1.0  # seconds late from which it was stopped, not slow
GAUGE_SPAN = 0.5  # seconds that the gauge of core use covers


class Cores:
    """Processor sharing: each of n requests runs at min(1, cores/n) of the speed; one timer for the next to end.

    >>> cores = Cores(2, lambda now: 1.0)
    >>> cores.start(0.0, "a", 1.0); cores.start(0.0, "b", 2.0); cores.start(0.0, "c", 2.0)
    >>> round(cores.next_end(0.0), 3), cores.ended(1.5), round(cores.next_end(1.5), 3)
    (1.5, ['a'], 1.0)
    """

    def __init__(self, cores: int, speed: Any) -> None:
        self.cores, self.speed = cores, speed
        self.progress, self.at, self.busy = 0.0, 0.0, 0.0  # busy: core seconds used since the start
        self.running: list[tuple[float, str]] = []

    def _rate(self, now: float) -> float:
        return self.speed(now) * min(1.0, self.cores / len(self.running)) if self.running else 0.0

    def _pass_time(self, now: float) -> None:
        self.progress += max(0.0, now - self.at) * self._rate(now)
        self.busy += max(0.0, now - self.at) * min(self.cores, len(self.running))
        self.at = max(self.at, now)

    def start(self, now: float, ref: str, work: float) -> None:
        """Start a run of so many core seconds."""
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
        self.born = time.monotonic()
        self.warming, self.cold_speed = warming, speed
        self.cores = Cores(cores, self.speed)
        self.bodies: dict[str, tuple[bytes, float]] = {}
        self.notices: list[bytes] = []
        self.first_kept = 1
        self.ran: Counter[str] = Counter()
        self.alike: list[str] = []
        self.writer: asyncio.StreamWriter | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.late_most = self.late_before = 0.0
        self.busy_then: deque[tuple[float, float]] = deque([(self.born, 0.0)])
        self.wanted: float | None = None
        self.slowed, self.failing = 1.0, 0.0  # by script: times as slow, share of the runs that fail
        self.draw = random.Random(1)
        self.starts: list[tuple[float, str]] = []  # when each run began, on the system's clock, and its request type
        self.keep_starts = False
        self.incarnation = 1  # one more with each reset
        # Runs of non-retryable requests: when, incarnation, id of the attempt, request.
        self.once: list[tuple[float, int, str, str]] = []

    def reset(self) -> None:
        """Restart together with the instance: runs, notices and link are lost; the record of what ran is kept."""
        if self.writer:
            self.writer.close()
        if self.timer:
            self.timer.cancel()
        self.born, self.writer, self.timer, self.wanted = time.monotonic(), None, None, None
        self.incarnation += 1
        self.cores, self.bodies, self.notices, self.first_kept = Cores(self.cores.cores, self.speed), {}, [], 1
        self.busy_then = deque([(self.born, 0.0)])

    def speed(self, now: float) -> float:
        """Return the present speed, which rises while the interpreter warms up."""
        warmed = min(1.0, (now - self.born) / self.warming) if self.warming else 1.0
        return (self.cold_speed + (1.0 - self.cold_speed) * warmed) / self.slowed

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Read commands from a link until it closes or a new one replaces it."""
        if self.writer:
            self.writer.close()
        self.writer = writer
        try:
            # What a link brought before another took its place, or a reset, is no command to who is there now.
            while (line := await reader.readline()) and self.writer is writer:
                self.command(json.loads(line))
        except (ValueError, KeyError, ConnectionError):
            pass
        writer.close()

    def command(self, message: dict[str, Any]) -> None:
        """Carry out one command of the interpreter protocol."""
        now = time.monotonic()
        if message["t"] == "CONNECT":
            self.say(
                json.dumps(
                    {"t": "BANNER", "status": "new" if self.warming else "old", "time_ms": 1000.0 * (now - self.born)}
                ).encode()
            )
            for notice in self.notices[max(0, message["no"] + 1 - self.first_kept) :]:
                self.say(notice)
        elif message["t"] == "TOP":
            self.say(
                json.dumps(
                    {"t": "TOPS", "mark": message["mark"], "v": [self.core_use(now), len(self.cores.running), 0.1, 1]}
                ).encode()
            )
        elif message["t"] == "APPLY" and message["rid"] not in self.bodies:
            body = b64decode(message["b64"])
            work, who, *_ = body.split(b" ")
            if who == b"alike":
                self.alike.append(message["rid"])  # the clients identify it by its id
            else:
                self.ran[f"{message['route']} {who.decode()}"] += 1
            self.bodies[message["rid"]] = body, now
            if self.keep_starts:
                self.starts.append((time.time(), message["route"]))
                if message["route"] == "signoff":
                    self.once.append((time.time(), self.incarnation, message["rid"], f"signoff {who.decode()}"))
            self.cores.start(now, message["rid"], float(work) / 1000.0)
            self.look()

    def core_use(self, now: float) -> float:
        """Return the share of the cores that was busy in the last half second."""
        self.look()
        self.busy_then.append((now, self.cores.busy))
        while len(self.busy_then) > 2 and self.busy_then[1][0] <= now - GAUGE_SPAN:
            self.busy_then.popleft()
        then, busy = self.busy_then[0]
        return min(1.0, (self.cores.busy - busy) / (max(0.01, now - then) * self.cores.cores))

    def look(self) -> None:
        """End the runs that are due, notify the instance and set the timer for the next."""
        now = time.monotonic()
        if self.wanted is not None:
            if now - self.wanted < STOOD_STILL:
                self.late_before = self.late_most
            self.late_most = max(self.late_most, now - self.wanted)
        for ref in self.cores.ended(now):
            body, since = self.bodies.pop(ref)
            number = self.first_kept + len(self.notices)
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
            self.say(self.notices[-1])
        if len(self.notices) > 2 * NOTICES_KEPT:
            self.first_kept += NOTICES_KEPT
            del self.notices[:NOTICES_KEPT]
        if self.timer:
            self.timer.cancel()
        left = self.cores.next_end(now)
        self.wanted = None if left is None else now + left
        self.timer = asyncio.get_running_loop().call_later(left, self.look) if left is not None else None

    def thawed(self) -> None:
        """Discard the lateness caused by a stop of the process."""
        self.wanted = None
        self.late_most = self.late_before

    def say(self, line: bytes) -> None:
        """Write a line to the link, if one is open."""
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
    # While it stood still nothing could be on time, and that is no lateness of the machine.
    asyncio.get_running_loop().add_signal_handler(signal.SIGCONT, interpreter.thawed)
    await stop.wait()
    server.close()
    print(json.dumps(interpreter.report()), flush=True)


async def several(ports: list[int], cores: int, speed: float, warming: float) -> None:
    """Run several interpreters in one process, with commands on standard input."""
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    hosts = [Interpreter(cores, speed, warming) for _ in ports]
    for host, port in zip(hosts, ports):
        host.keep_starts = True
        await asyncio.start_server(host.serve, "127.0.0.1", port, limit=1 << 20, backlog=64)
    loop.add_signal_handler(signal.SIGTERM, stop.set)

    heard = b""

    def hear() -> None:
        # All that is there: what a buffer of ours kept of it would not make the descriptor readable again.
        nonlocal heard
        if not (data := os.read(sys.stdin.fileno(), 1 << 16)):
            loop.remove_reader(sys.stdin.fileno())
            return
        *lines, heard = (heard + data).split(b"\n")
        for line in lines:
            apply_command(*line.decode().split())

    def apply_command(word: str, place: str, *amount: str) -> None:
        host = hosts[int(place)]
        if word == "reset":
            host.reset()
        elif word == "slow":
            host.cores._pass_time(time.monotonic())
            host.slowed = float(amount[0])
            host.look()
        elif word == "failing":
            host.failing = float(amount[0])
        elif word == "begun":
            print(len(host.starts), flush=True)

    loop.add_reader(sys.stdin.fileno(), hear)
    print("up", flush=True)
    await stop.wait()
    print(
        json.dumps(
            [
                {
                    **host.report(),
                    "starts": host.starts,
                    "once": host.once,
                    "signoffs": {name: count for name, count in host.ran.items() if name.startswith("signoff ")},
                }
                for host in hosts
            ]
        ),
        flush=True,
    )
    os._exit(0)  # the links are open still, and their readers would only complain


if __name__ == "__main__" and "," in sys.argv[1]:
    asyncio.run(
        several([int(port) for port in sys.argv[1].split(",")], int(sys.argv[2]), float(sys.argv[3]), float(sys.argv[4]))
    )
elif __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]), float(sys.argv[4])))
