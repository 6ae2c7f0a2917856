"""One run: start a fleet, change the configuration without a pause, probe all data planes, and lose processes meanwhile."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from pathlib import Path

from benchmarks.in_force_parts.busy import BusyProcesses, some_processors
from benchmarks.in_force_parts.defects import PlantedDefect
from benchmarks.in_force_parts.fleet import Absence, ReplaceableFleet, SettingsUpdate
from benchmarks.in_force_parts.operator import SERVICES, Operator
from benchmarks.in_force_parts.probes import Prober
from benchmarks.in_force_parts.records import RunRecords
from benchmarks.soak_parts.backends import RecordingBackend
from benchmarks.soak_parts.bounds import SoakBounds
from benchmarks.soak_parts.fleet import FRONT_PORT, ROOT

START_TIMEOUT_S = 60.0
LAST_CHANGE_TIMEOUT_S = 30.0
BACKENDS_PER_SERVICE = 2
CHANGE_PAUSE_S = (0.05, 0.5)
LONG_CHANGE_PAUSE_S = (2.5, 4.0)  # longer than the short bound: a data plane that stays behind is seen
LONG_PAUSE_PROBABILITIES = (0.1, 0.1, 0.7)  # one is drawn for each run
CATCH_UP_S = 4.0  # a node that was lost needs this long before another one may be lost
ACK_DELAY_S = (0.0, 0.02)  # some outages begin this long after an acknowledgement
ALL_KINDS = (
    "calm",
    "kill",
    "power",
    "freeze",
    "replace",
    "replace silent",
    "replace planned",
    "closing",
    "closing wiped",
    "front",
    "away",
    "replace all away",
)
BACKGROUND_KINDS = ("front", "calm", "away")  # another outage may follow at once
ABSENCE_S = (4.0, 25.0)
KILLED_ABSENCE_PROBABILITY = 0.4


@dataclass(frozen=True)
class RunSize:
    """Size of a run.

    Attributes:
        seconds: Duration of the fault phase.
        data_planes: Number of data planes.
        control_planes: Number of control-plane nodes at a time.
        kinds: Kinds of outages that are drawn.
        replaces_all: Whether all first control-plane nodes are replaced before.
        longest_sync_s: By how much a sync of a control-plane node's disk may take longer.
        stall_probability: Probability that a sync takes up to that much longer, rather than up to a tenth of it.
        processors: Number of processors that the fleet may use, 0 for all.
        busy: Number of busy processes that share them.
        defect: The defect that is planted into all processes; then disks are not slow.
        longest_pause_s: From the end of an outage to the next one, in seconds; some pauses should exceed the contact time.
        recovery_s: How long traffic goes on after the last fault, in seconds.
        tree: Source tree whose programs are run.
        settings_update: How running processes learn of new control-plane nodes by their settings, None to draw it each time.
        are_absent_killed: Whether data planes that are away are killed rather than stopped, None to draw it each time.
    """

    seconds: float = 30.0
    data_planes: int = 4
    control_planes: int = 3
    kinds: tuple[str, ...] = ALL_KINDS
    replaces_all: bool = False
    longest_sync_s: float = 0.0
    stall_probability: float = 0.1
    processors: int = 0
    busy: int = 0
    defect: PlantedDefect = PlantedDefect.NONE
    longest_pause_s: float = 9.0
    recovery_s: float = 10.0
    tree: Path = field(default=ROOT)
    settings_update: SettingsUpdate | None = None
    are_absent_killed: bool | None = None


class Run:
    """One run.

    Args:
        folder: Directory for settings, logs and state; it must be empty.
        seed: Seed of the draws.
        size: Its size.
        bounds: Bounds of the deployment.
    """

    def __init__(self, folder: Path, seed: int, size: RunSize, bounds: SoakBounds) -> None:
        self._seed, self._size, self._random = seed, size, random.Random(f"in force {seed}")
        self.records = RunRecords()
        self._fleet = ReplaceableFleet(folder, size.control_planes, size.data_planes, bounds, self.records, size.tree)
        self.records.fronts += self._fleet.data_plane_names
        self._operator = Operator(
            lambda: self._fleet.control_addresses, self.records, random.Random(f"operator of in force {seed}")
        )
        self._backends: list[RecordingBackend] = []
        self._services: dict[str, str] = {}  # of the backends, by signature
        self._acknowledged = asyncio.Event()
        self._long_pause_probability = random.Random(f"pauses of in force {seed}").choice(LONG_PAUSE_PROBABILITIES)
        self._is_over = False
        self._absences: set[asyncio.Task[None]] = set()

    async def run(self) -> RunRecords:
        """Run; return the records."""
        tasks: list[asyncio.Task[None]] = []
        processors = some_processors(self._size.processors, self._seed)
        load = BusyProcesses(self._size.busy, processors)
        try:
            load.start()
            self._fleet.processors, self._fleet.defect = processors, self._size.defect
            self._fleet.longest_sync_s = self._size.longest_sync_s
            self._fleet.stall_probability = self._size.stall_probability
            self._fleet.draw_update = self._draw_settings_update
            await self._start()
            tasks = [asyncio.ensure_future(self._prober(name).run()) for name in self.records.fronts]
            changes = asyncio.ensure_future(self._change_forever())
            await self._lose_processes()
            await asyncio.gather(*self._absences)
            self._is_over = True
            done, _ = await asyncio.wait([changes], timeout=LAST_CHANGE_TIMEOUT_S)
            if not done:
                changes.cancel()
                self.records.failures.append(f"version {self.records.versions[-1].number} was not acknowledged")
            await asyncio.sleep(self._size.recovery_s)
            self.records.failures += [f"{name} ended by itself" for name in self._fleet.ended_by_themselves()]
        finally:
            for task in (*tasks, *self._absences):
                task.cancel()
            await asyncio.gather(*tasks, *self._absences, return_exceptions=True)
            self._fleet.end()
            load.end()
            for backend in self._backends:
                await backend.crash()
        return self.records

    def _prober(self, name: str) -> Prober:
        return Prober(name, f"{self._fleet.ip(name)}:{FRONT_PORT}", self.records, self._services)

    async def _start(self) -> None:
        self._fleet.start_all()
        for number in range(BACKENDS_PER_SERVICE * len(SERVICES)):
            service = SERVICES[number % len(SERVICES)]
            address, zone = self._fleet.backend_address(number), f"zone-{number // len(SERVICES)}"
            backend = RecordingBackend(service, address, zone, self._fleet.all_control_addresses(), lambda run: None)
            await backend.start()
            self._backends.append(backend)
            self._services[backend.id] = service
        async with asyncio.timeout(START_TIMEOUT_S):
            await self._operator.put_first()
            for name in self.records.fronts:
                while (answer := await self._prober(name).probe(1)) is None or answer.status != 200:
                    await asyncio.sleep(0.1)
        self.records.answers.clear()

    async def _change_forever(self) -> None:
        while not self._is_over:
            await self._operator.change()
            self._acknowledged.set()
            is_long = self._random.random() < self._long_pause_probability
            await asyncio.sleep(self._random.uniform(*(LONG_CHANGE_PAUSE_S if is_long else CHANGE_PAUSE_S)))

    async def _lose_processes(self) -> None:
        loop = asyncio.get_running_loop()
        if self._size.replaces_all:
            await self._replace_all()
        end = loop.time() + self._size.seconds
        while loop.time() < end:
            if self._random.random() < 0.7:
                await self._wait_for_acknowledgement()
                await asyncio.sleep(self._random.uniform(*ACK_DELAY_S))
            kind = self._random.choice(self._size.kinds)
            await self._lose(kind)
            pause_s = self._random.uniform(0.0, self._size.longest_pause_s)
            await asyncio.sleep(pause_s if kind in BACKGROUND_KINDS else max(CATCH_UP_S, pause_s))

    async def _wait_for_acknowledgement(self) -> None:
        self._acknowledged.clear()
        try:
            async with asyncio.timeout(LAST_CHANGE_TIMEOUT_S):
                await self._acknowledged.wait()
        except TimeoutError:
            pass

    async def _replace_all(self) -> None:
        """Replace each of the first control-plane nodes, which are silent from then on."""
        for name in self._fleet.control_plane_names:
            await self._fleet.replace(name, self._random.uniform(0.0, 1.0), is_silent=True)
            await asyncio.sleep(CATCH_UP_S)

    async def _lose(self, kind: str) -> None:
        draw, core = self._random, self._fleet.control_plane_names
        name, seconds = draw.choice(core), draw.uniform(0.3, 3.0)
        if kind in ("kill", "power"):
            await self._fleet.lose([name], seconds, is_silent=kind == "power")
        elif kind == "freeze":
            await self._fleet.pause(name, seconds)
        elif kind in ("replace", "replace silent"):
            await self._fleet.replace(name, seconds, is_silent=kind == "replace silent")
        elif kind == "replace planned":
            await self._fleet.replace_planned(name, seconds)
        elif kind in ("closing", "closing wiped"):
            wiped = frozenset([name] if kind == "closing wiped" else [])
            await self._fleet.lose(core, seconds, is_silent=draw.random() < 0.5, wiped=wiped)
        elif kind == "front":
            front = draw.choice(self._fleet.present_data_planes)
            await self._fleet.lose([front], seconds, is_silent=draw.random() < 0.5)
        elif kind == "away":
            self._absences.add(asyncio.ensure_future(self._keep_away(draw.uniform(*ABSENCE_S))))
        elif kind == "replace all away":
            await self._replace_all_while_away()

    async def _keep_away(self, seconds: float) -> None:
        """Keep one data plane away, beside the outages that follow."""
        absence = self._begin_absence(1)
        try:
            await asyncio.sleep(seconds)
        finally:
            self._fleet.end_absence(absence)

    async def _replace_all_while_away(self) -> None:
        """Replace all control-plane nodes, one after another, while data planes are away."""
        absence = self._begin_absence(self._random.randint(1, max(1, self._size.data_planes // 2)))
        try:
            for name in self._fleet.control_plane_names:
                await self._fleet.replace(name, self._random.uniform(0.3, 1.5), is_silent=self._random.random() < 0.5)
                await asyncio.sleep(CATCH_UP_S)
        finally:
            self._fleet.end_absence(absence)

    def _begin_absence(self, count: int) -> Absence:
        present = self._fleet.present_data_planes
        names = self._random.sample(present, min(count, len(present) - 1))
        are_killed = self._size.are_absent_killed
        if are_killed is None:
            are_killed = self._random.random() < KILLED_ABSENCE_PROBABILITY
        return self._fleet.begin_absence(names, are_killed)

    def _draw_settings_update(self) -> SettingsUpdate:
        return self._size.settings_update or self._random.choice(list(SettingsUpdate))
