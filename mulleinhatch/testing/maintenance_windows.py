"""Performs the work on machines: waits for a process to end, works for a while, restarts it; counts who is out from outside.

It does not use permits: a machine is out while its process does not run. `roll_by_list` takes machines out without agreement.
"""

from __future__ import annotations

import asyncio
import signal
import time
from typing import NamedTuple

from mulleinhatch.testing.fleet_harness import FleetHarness

LOOK = 0.02


class Seen(NamedTuple):
    """A machine was seen to go out of service, or to return."""

    at: float  # of the script's clock
    place: int
    out: bool


class MaintenanceWindows:
    """Observes a fleet harness and restarts the machines that went out."""

    def __init__(self, harness: FleetHarness, works: float, zone_of: dict[int, str]) -> None:
        self.harness, self.works, self.zone_of = harness, works, zone_of
        self.seen: list[Seen] = []
        self.most = 0
        self.zone_most: dict[str, int] = {}
        self.done: dict[int, float] = {}  # when it was back
        self.crashed: set[int] = set()  # what a script killed is no outing
        self.tasks: set[asyncio.Task[None]] = set()
        self.watching: asyncio.Task[None] | None = None
        self.late = 0.0

    def start(self) -> None:
        """Start observing."""
        self.watching = asyncio.ensure_future(self._watch())

    async def _watch(self) -> None:
        out: set[int] = set()
        last = time.monotonic()
        while True:
            await asyncio.sleep(LOOK)
            self.late, last = max(self.late, time.monotonic() - last - LOOK), time.monotonic()
            now_out = {node.place for node in self.harness.nodes if not node.up}
            for place in sorted(now_out ^ out):
                self.seen.append(Seen(self.harness.now(), place, place in now_out))
                if place in now_out and self.harness.nodes[place].process.returncode == 0:
                    task = asyncio.ensure_future(self._work(place))
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)
            out = now_out
            self.most = max(self.most, len(out))
            for zone in set(self.zone_of.values()):
                count = sum(self.zone_of[place] == zone for place in out)
                self.zone_most[zone] = max(self.zone_most.get(zone, 0), count)

    async def _work(self, place: int) -> None:
        await asyncio.sleep(self.works)
        self.harness.host.stdin.write(f"reset {place}\n".encode())
        await self.harness.nodes[place].start()
        self.done[place] = self.harness.now()

    async def all_done(self, places: set[int], within: float) -> float | None:
        """Return when the last of the machines was back, on the script's clock, or None."""
        until = time.monotonic() + within
        while time.monotonic() < until:
            if places <= self.done.keys():
                return max(self.done[place] for place in places)
            await asyncio.sleep(0.05)
        return None

    async def roll_by_list(self, places: list[int], at_a_time: int, starts: float) -> None:
        """Without agreement: the first `at_a_time` leave, and the next whenever one is back for `starts` seconds."""
        waiting, leaving = list(places), set[int]()
        while waiting or leaving:
            leaving = {place for place in leaving if place not in self.done or self.harness.now() - self.done[place] < starts}
            while waiting and len(leaving) < at_a_time:
                place = waiting.pop(0)
                leaving.add(place)
                if self.harness.nodes[place].up:
                    self.harness.nodes[place].process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """Stop observing."""
        for task in (self.watching, *self.tasks):
            if task:
                task.cancel()
