"""The processes of a run: control-plane nodes that are lost, come back, or are replaced at another address with an empty disk.

A node that loses its power falls silent (SIGSTOP): its connections neither answer nor end. It is killed when its machine
returns.
"""

from __future__ import annotations

import asyncio
import os
import shutil
import signal
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

from benchmarks.in_force_parts.defects import PLANTED_DIRECTORY, PlantedDefect
from benchmarks.in_force_parts.records import Outage, RunRecords
from benchmarks.soak_parts.bounds import SoakBounds
from benchmarks.soak_parts.fleet import CONTROL_PORT, ROOT, Fleet

MAX_CONTROL_PLANES = 40  # addresses that may be used in one run
SEED_COUNT = 3
SLOW_DISK = Path(__file__).resolve().parent / "slow_disk"
SEED_LAG_S = 3.0  # the settings name new control-plane nodes this much later
START_TIMEOUT_S, START_PROBE_S = 20.0, 0.05  # of a process that is to listen
SIGNAL_SAFE_S = 2.0  # a process that started more recently gets no SIGHUP: Python may not handle signals yet


class SettingsUpdate(Enum):
    """How running processes get settings files that name other control-plane nodes."""

    SIGNAL = "the file changes, and SIGHUP tells so"
    SILENT = "the file changes without a signal"
    NEVER = "the file does not change"


@dataclass(frozen=True)
class Absence:
    """Data planes that are away: stopped, or killed to be started again.

    Attributes:
        names: Their names.
        is_killed: Whether they were killed.
        began_at: When, as loop time in seconds.
    """

    names: tuple[str, ...]
    is_killed: bool
    began_at: float


class ReplaceableFleet(Fleet):
    """A fleet whose control-plane nodes may be replaced.

    Args:
        folder: Directory of settings, logs and persisted state.
        control_planes: Number of control-plane nodes at a time.
        data_planes: Number of data planes.
        bounds: Bounds to write to the settings.
        records: Receives the outages.
        tree: Source tree whose programs are run.
    """

    def __init__(
        self,
        folder: Path,
        control_planes: int,
        data_planes: int,
        bounds: SoakBounds,
        records: RunRecords,
        tree: Path = ROOT,
    ) -> None:
        super().__init__(folder, control_planes, data_planes, bounds, tree)
        self._records = records
        self._core = [f"control-{number}" for number in range(control_planes)]
        self._started_count = control_planes
        self._seeds = self.control_addresses[:SEED_COUNT]
        self._silent: set[str] = set()
        self._absent: set[str] = set()
        self._seeds_by_process: dict[str, list[str]] = {}  # as its settings file names them
        self._started_at: dict[str, float] = {}
        self.draw_update: Callable[[], SettingsUpdate] = lambda: SettingsUpdate.SILENT
        self.defect = PlantedDefect.NONE
        self.longest_sync_s = 0.0  # by which a sync of a control-plane node's disk may take longer
        self.stall_probability = 0.0  # that a sync takes up to this much longer, rather than a tenth of it
        self.processors: set[int] = set()  # that the processes may use
        records.cores += self._core

    @property
    def control_plane_names(self) -> list[str]:
        """Return the names of the control-plane nodes that belong to the system now."""
        return list(self._core)

    def all_control_addresses(self) -> list[str]:
        """Return the control addresses of all nodes that may run at some time."""
        return [f"{self.ip(f'control-{number}')}:{CONTROL_PORT}" for number in range(MAX_CONTROL_PLANES)]

    def _start_process(self, name: str) -> None:
        """Start one process on the processors of the fleet."""
        super()._start_process(name)
        self._started_at[name] = self._now()
        if self.processors:
            os.sched_setaffinity(self._processes[name].pid, self.processors)

    def zone_of(self, name: str) -> str:
        """Return the zone of a process."""
        return f"zone-{int(name.partition('-')[2]) % self._control_planes}"

    async def lose(self, names: list[str], seconds: float, is_silent: bool, wiped: frozenset[str] = frozenset()) -> None:
        """Let processes lose their power, or be killed, together; start them again, some with an empty disk.

        Args:
            names: The processes.
            seconds: How long they are down.
            is_silent: Whether their connections stay open without an answer until then.
            wiped: Those whose disk is lost.
        """
        began_at = self._now()
        for name in names:
            self._stop(name, is_silent)
        await asyncio.sleep(seconds)
        for name in names:
            self._end(name)
        for name in names:
            if name in wiped:
                shutil.rmtree(self._folder / name, ignore_errors=True)
            self.start(name)
            self._add_outage(name, "power" if is_silent else "kill", began_at)
        if set(names) >= set(self._core):
            self._records.closings.append(self._now())

    async def pause(self, name: str, seconds: float) -> None:
        """Stop a process with SIGSTOP and resume it with SIGCONT."""
        began_at = self._now()
        self._processes[name].send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self._processes[name].send_signal(signal.SIGCONT)
        self._add_outage(name, "freeze", began_at)

    @property
    def present_data_planes(self) -> list[str]:
        """Return the names of the data planes that are not away."""
        return [name for name in self.data_plane_names if name not in self._absent]

    def begin_absence(self, names: list[str], is_killed: bool) -> Absence:
        """Stop data planes with SIGSTOP, or kill them."""
        for name in names:
            self._absent.add(name)
            if is_killed:
                self._end(name)
            else:
                self._processes[name].send_signal(signal.SIGSTOP)
        return Absence(tuple(names), is_killed, self._now())

    def end_absence(self, absence: Absence) -> None:
        """Resume the data planes of an absence, or start them again; their settings are those of before, and follow later."""
        for name in absence.names:
            self._absent.discard(name)
            if absence.is_killed:
                self._write_settings_with_former_seeds(name)
                self._start_process(name)
            else:
                self._processes[name].send_signal(signal.SIGCONT)
            self._add_outage(name, "killed for long" if absence.is_killed else "frozen for long", absence.began_at)
        asyncio.get_running_loop().call_later(SEED_LAG_S, self._update_settings, absence.names)

    async def replace(self, name: str, seconds: float, is_silent: bool) -> None:
        """Lose a node for good; start another one elsewhere, with an empty disk, after some seconds."""
        began_at = self._now()
        self._stop(name, is_silent)
        await asyncio.sleep(seconds)
        successor = self._start_successor(name)
        self._add_outage(name, "replace", began_at)
        await self._wait_until_listening(successor)

    async def replace_planned(self, name: str, seconds: float) -> None:
        """Start the successor of a node elsewhere; some seconds later, let the node leave (SIGTERM)."""
        successor = self._start_successor(name)
        self._add_outage(successor, "start", self._now())
        await self._wait_until_listening(successor)
        await asyncio.sleep(seconds)
        began_at = self._now()
        process = self._processes[name]
        process.terminate()
        try:
            async with asyncio.timeout(self._bounds.grace_s):
                await self._wait_for_exit(name)
        except TimeoutError:
            process.kill()
        self._add_outage(name, "leave", began_at)

    def end(self) -> None:
        """Kill all processes."""
        for name in list(self._silent):
            self._end(name)
        super().end()

    def ended_by_themselves(self) -> list[str]:
        """Return the processes that belong to the system and are not running."""
        return [name for name in (*self._core, *self.data_plane_names) if self._processes[name].poll() is not None]

    def _stop(self, name: str, is_silent: bool) -> None:
        if is_silent:
            self._processes[name].send_signal(signal.SIGSTOP)
            self._silent.add(name)
        else:
            self._processes[name].kill()

    def _end(self, name: str) -> None:
        self._silent.discard(name)
        self._processes[name].kill()
        self._processes[name].wait()

    async def _wait_until_listening(self, name: str) -> None:
        """Wait until a new node listens: before, it has not begun to catch up, and no other node may be lost."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                try:
                    _, writer = await asyncio.open_connection(self.ip(name), CONTROL_PORT)
                except OSError:
                    await asyncio.sleep(START_PROBE_S)
                    continue
                writer.close()
                return

    def _start_successor(self, name: str) -> str:
        zone_number = int(name.partition("-")[2]) % self._control_planes
        number = self._started_count
        while number % self._control_planes != zone_number:
            number += 1
        self._started_count = max(self._started_count, number) + 1
        successor = f"control-{number}"
        self._core = [*(other for other in self._core if other != name), successor]
        self._records.cores.append(successor)
        self.start(successor)
        asyncio.get_running_loop().call_later(SEED_LAG_S, self._publish_seeds)
        return successor

    def _publish_seeds(self) -> None:
        """Name the control-plane nodes of this moment in the settings of later starts, and perhaps of running processes."""
        self._seeds = self.control_addresses[:SEED_COUNT]
        self._update_settings([*self._core, *self.present_data_planes])

    def _update_settings(self, names: Iterable[str]) -> None:
        """Change the settings files of running processes, if they are to change, and perhaps tell so."""
        update = self.draw_update()
        if update is SettingsUpdate.NEVER:
            return
        for name in names:
            self.write_settings(name)
            if update is SettingsUpdate.SIGNAL and self._takes_signals(name):
                self._processes[name].send_signal(signal.SIGHUP)

    def _takes_signals(self, name: str) -> bool:
        is_running = self._processes[name].poll() is None
        return is_running and self._now() - self._started_at[name] > SIGNAL_SAFE_S

    def _environment(self, name: str, settings_path: Path) -> dict[str, str]:
        environment = super()._environment(name, settings_path)
        if self.defect is not PlantedDefect.NONE:
            return {**environment, "PYTHONPATH": str(PLANTED_DIRECTORY), "PLANTED_DEFECT": self.defect.name}
        if not self.longest_sync_s or not name.startswith("control"):
            return environment
        disk = {"LONGEST_SYNC_S": str(self.longest_sync_s), "STALL_PROBABILITY": str(self.stall_probability)}
        return {**environment, "PYTHONPATH": str(SLOW_DISK), **disk}

    def write_settings(self, name: str, is_first: bool = False) -> None:
        """Write the settings file of a process with the seeds of this moment."""
        self._seeds_by_process[name] = list(self._seeds)
        super().write_settings(name, is_first)

    def _write_settings_with_former_seeds(self, name: str) -> None:
        super().write_settings(name)

    def _settings_lines(self, name: str, is_first: bool) -> list[str]:
        lines = [line for line in super()._settings_lines(name, is_first) if not line.startswith(("seeds=", "zone="))]
        return [*lines, "seeds=" + ",".join(self._seeds_by_process[name]), f"zone={self.zone_of(name)}"]

    def _add_outage(self, name: str, kind: str, began_at: float) -> None:
        self._records.outages.append(Outage(name, kind, began_at, self._now()))
