"""Simulates maintenance: when a process ends, waits for the duration of the work and restarts it, and counts machines out.

It does not read permits: a machine is out while its process does not run. `roll_by_list` takes machines out without permits.
"""

from __future__ import annotations

import asyncio
import signal
import time
from typing import NamedTuple

from mulleinhatch.testing.fleet_harness import FleetHarness

POLL_INTERVAL_S = 0.02


class Transition(NamedTuple):
    """An observed change: a machine went out of service, or returned."""

    at: float  # seconds on the script's clock
    place: int
    out: bool


class MaintenanceWindows:
    """Polls a fleet harness and restarts the machines that went out.

    Args:
        harness: The fleet.
        work_s: Duration of the work in seconds.
        zone_of: The zone of each place.
    """

    def __init__(self, harness: FleetHarness, work_s: float, zone_of: dict[int, str]) -> None:
        self.harness, self.work_s, self.zone_of = harness, work_s, zone_of
        self.seen: list[Transition] = []
        self.most = 0
        self.zone_most: dict[str, int] = {}
        self.done: dict[int, float] = {}  # by place: when the machine was back, on the script's clock
        self.crashed: set[int] = set()  # places killed by a fault script, which are not maintenance
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
            await asyncio.sleep(POLL_INTERVAL_S)
            self.late, last = max(self.late, time.monotonic() - last - POLL_INTERVAL_S), time.monotonic()
            now_out = {node.place for node in self.harness.nodes if not node.up}
            for place in sorted(now_out ^ out):
                self.seen.append(Transition(self.harness.now(), place, place in now_out))
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
        await asyncio.sleep(self.work_s)
        self.harness.host.stdin.write(f"reset {place}\n".encode())
        await self.harness.nodes[place].start()
        self.done[place] = self.harness.now()

    async def all_done(self, places: set[int], within: float) -> float | None:
        """Return when the last of the machines was back, on the script's clock, or None if one was not back in time."""
        until = time.monotonic() + within
        while time.monotonic() < until:
            if places <= self.done.keys():
                return max(self.done[place] for place in places)
            await asyncio.sleep(0.05)
        return None

    async def roll_by_list(self, places: list[int], at_a_time: int, settle_s: float) -> None:
        """Roll without permits: `at_a_time` leave at first, then another whenever one has been back for `settle_s` seconds."""
        waiting, leaving = list(places), set[int]()
        while waiting or leaving:
            leaving = {place for place in leaving if place not in self.done or self.harness.now() - self.done[place] < settle_s}
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
