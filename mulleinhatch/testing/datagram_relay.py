"""A datagram relay between the instances of a fleet that drops, duplicates, reorders and delays datagrams by script.

Runs as `python -m mulleinhatch.testing.datagram_relay`, with its settings as one JSON line on standard input: for each
instance the relay's port for it (`here`) and its own port (`there`), the same two ports of the directory if there is one, the
script, and its start time. On SIGTERM it prints its counts and the largest lateness of its own timers.
"""

from __future__ import annotations

import asyncio
import json
import random
import signal
import socket
import sys
import time
from typing import Any

from mulleinhatch.testing import fault_script as faults

LATENESS_CHECK_S = 0.05


class Relay:
    """Forwards datagrams between instances, applying the faults that are active."""

    def __init__(self, settings: dict[str, Any]) -> None:
        self.here, self.there = settings["here"], settings["there"]
        self.place_of = {port: place for place, port in enumerate(self.there)}
        self.faults = faults.read(settings["script"], len(self.here))
        self.links = [fault for fault in self.faults if fault.what in ("cut", "deaf")]
        self.noise = [fault for fault in self.faults if fault.what in faults.LINKS and fault not in self.links]
        self.off = [fault for fault in self.faults if fault.what == "directory"]
        self.start_at = settings["start_at"]
        self.draw = random.Random(settings.get("seed", 1))
        self.sockets: list[socket.socket] = []
        self.directory = settings.get("directory")  # the relay's port for it, and its own port
        self.counts = {"passed": 0, "dropped": 0, "strangers": 0, "bytes": 0, "to_directory": 0}
        self.by_sender = [[0, 0] for _ in self.here]  # by sender: datagrams and bytes
        self.late = 0.0

    def open(self) -> None:
        """Bind a socket for each instance and for the directory."""
        loop = asyncio.get_running_loop()
        for place, port in enumerate(self.here):
            self.sockets.append(self._socket(port))
            loop.add_reader(self.sockets[-1].fileno(), self.readable, place)
        if self.directory:
            self.reports = self._socket(self.directory[0])
            loop.add_reader(self.reports.fileno(), self.report)

    @staticmethod
    def _socket(port: int) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        sock.bind(("127.0.0.1", port))
        return sock

    def readable(self, to: int) -> None:
        """Forward the datagrams queued for an instance."""
        for _ in range(32):
            try:
                data, (_, port) = self.sockets[to].recvfrom(2048)
            except OSError:
                return
            sender = self.place_of.get(port)
            if sender is None:
                self.counts["strangers"] += 1
                continue
            self.by_sender[sender][0] += 1
            self.by_sender[sender][1] += len(data)
            self.apply_faults(time.time() - self.start_at, sender, to, data)

    def report(self) -> None:
        """Forward the reports of instances to the directory, unless it is off."""
        for _ in range(32):
            try:
                data = self.reports.recv(2048)
            except OSError:
                return
            now = time.time() - self.start_at
            if any(fault.at <= now < fault.until for fault in self.off):
                self.counts["dropped"] += 1
                continue
            self.counts["to_directory"] += 1
            self.reports.sendto(data, ("127.0.0.1", self.directory[1]))

    def apply_faults(self, now: float, sender: int, to: int, data: bytes) -> None:
        """Apply the active faults to a datagram, and forward it unless it is dropped."""
        if not faults.passes(self.links, now, sender, to):
            self.counts["dropped"] += 1
            return
        lossy, repeated, swapped, delayed = (
            (
                max(faults.amount(self.noise, what, now, place) for place in (sender, to))
                for what in ("lossy", "repeated", "swapped", "delayed")
            )
            if self.noise
            else (0.0,) * 4
        )
        for _ in range(1 + (self.draw.random() < repeated)):
            if self.draw.random() < lossy:
                self.counts["dropped"] += 1
                continue
            late = delayed + (self.draw.uniform(0.0, 0.3) if self.draw.random() < swapped else 0.0)
            if late:
                asyncio.get_running_loop().call_later(late, self.send, to, data)
            else:
                self.send(to, data)

    def send(self, to: int, data: bytes) -> None:
        """Forward a datagram to its instance."""
        self.counts["passed"] += 1
        self.counts["bytes"] += len(data)
        try:
            self.sockets[to].sendto(data, ("127.0.0.1", self.there[to]))
        except OSError:
            self.counts["dropped"] += 1

    async def measure_lateness(self) -> None:
        """Record the largest lateness of the relay's own timers."""
        while True:
            due = time.monotonic() + LATENESS_CHECK_S
            await asyncio.sleep(LATENESS_CHECK_S)
            self.late = max(self.late, time.monotonic() - due)


async def main() -> None:
    """Relay datagrams until SIGTERM, then print the counts."""
    relay, stop = Relay(json.loads(sys.stdin.readline())), asyncio.Event()
    relay.open()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    measuring = asyncio.ensure_future(relay.measure_lateness())
    print("up", flush=True)
    await stop.wait()
    measuring.cancel()
    print(json.dumps({**relay.counts, "by_sender": relay.by_sender, "late": round(relay.late, 4)}), flush=True)


if __name__ == "__main__":
    asyncio.run(main())
