"""The processes of a soak: control-plane nodes and data planes on separate loopback addresses, and the signals sent to them."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import socket
import subprocess
import sys
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from benchmarks.soak_parts.bounds import SoakBounds
from benchmarks.soak_parts.records import Disturbance
from mulleinhatch.process.settings import FILE_VARIABLE

ROOT = Path(__file__).resolve().parents[2]
CONTROL_PORT, INTERNAL_PORT, FRONT_PORT, READY_PORT, BACKEND_PORT = 18146, 17660, 18144, 18140, 18300
KIND_NUMBERS = {"control": 1, "data": 2, "backend": 3}
RESERVATION_NUMBER = 9  # like a kind's number, of the address that reserves a network
SCRIPTS = {"control": "control_plane.py", "data": "data_plane.py"}
EXIT_POLL_S = 0.02
BROKEN_SETTINGS = "seeds=nowhere\n"
BROKEN_SETTINGS_INTERVAL = 3  # SIGHUPs of a process


@dataclass(frozen=True)
class Network:
    """A network 127.N.0.0/16 that no other fleet on this machine uses while `reservation` is open.

    Attributes:
        number: N.
        reservation: A socket bound to an address of the network.
    """

    number: int
    reservation: socket.socket


def reserve_network() -> Network:
    """Reserve a network for a fleet."""
    while True:
        number = random.SystemRandom().randrange(64, 250)
        reservation = socket.socket()
        try:
            reservation.bind((f"127.{number}.{RESERVATION_NUMBER}.1", CONTROL_PORT))
            for kind, port in ((1, CONTROL_PORT), (2, FRONT_PORT), (3, BACKEND_PORT)):
                with socket.socket() as probe:
                    probe.bind((f"127.{number}.{kind}.1", port))
        except OSError:
            reservation.close()
            continue
        return Network(number, reservation)


class Fleet:
    """Runs control-plane nodes and data planes as processes; every signal is recorded as a disturbance.

    Args:
        folder: Directory of settings, logs and persisted state.
        control_planes: Number of control-plane nodes.
        data_planes: Number of data planes.
        bounds: Bounds to write to the settings.
        tree: Source tree whose programs are run.
    """

    def __init__(self, folder: Path, control_planes: int, data_planes: int, bounds: SoakBounds, tree: Path = ROOT) -> None:
        self._folder, self._bounds, self._tree = folder, bounds, tree
        self._network = reserve_network()
        self._control_planes, self._data_planes = control_planes, data_planes
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._hang_ups: Counter[str] = Counter()  # by process
        self.disturbances: list[Disturbance] = []
        self.forced_kills = 0  # processes that were killed because they did not exit in the grace period

    @property
    def control_plane_names(self) -> list[str]:
        """Return the names of the control-plane nodes."""
        return [f"control-{number}" for number in range(self._control_planes)]

    @property
    def data_plane_names(self) -> list[str]:
        """Return the names of the data planes."""
        return [f"data-{number}" for number in range(self._data_planes)]

    @property
    def control_addresses(self) -> list[str]:
        """Return the control addresses of all control-plane nodes."""
        return [f"{self.ip(name)}:{CONTROL_PORT}" for name in self.control_plane_names]

    def front_address(self, name: str) -> tuple[str, int]:
        """Return the address at which clients reach a data plane."""
        return self.ip(name), FRONT_PORT

    def status_address(self, name: str) -> str:
        """Return the address of a process's status page."""
        return f"{self.ip(name)}:{CONTROL_PORT if name.startswith('control') else READY_PORT}"

    def backend_address(self, number: int) -> str:
        """Return the address of a backend."""
        return f"{self.ip(f'backend-{number}')}:{BACKEND_PORT}"

    def ip(self, name: str) -> str:
        """Return the loopback address of a process or backend."""
        kind, _, number = name.partition("-")
        return f"127.{self._network.number}.{KIND_NUMBERS[kind]}.{int(number) + 1}"

    def log_paths(self) -> list[Path]:
        """Return the logs of all processes."""
        return sorted(self._folder.glob("*.log"))

    def start_all(self) -> None:
        """Start all processes for the first time."""
        for name in (*self.control_plane_names, *self.data_plane_names):
            self.start(name, is_first=True)

    def start(self, name: str, is_first: bool = False) -> None:
        """Start one process; its log is appended to a file next to its settings."""
        self.write_settings(name, is_first)
        self._start_process(name)

    def _start_process(self, name: str) -> None:
        path = self._settings_path(name)
        with path.with_suffix(".log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, SCRIPTS[name.partition("-")[0]]],
                cwd=self._tree,
                env=self._environment(name, path),
                stdout=log,
                stderr=log,
            )

    def write_settings(self, name: str, is_first: bool = False) -> None:
        """Write the settings file of a process."""
        self._settings_path(name).write_text("\n".join(self._settings_lines(name, is_first)) + "\n")

    def _settings_path(self, name: str) -> Path:
        return self._folder / f"{name}.conf"

    def _environment(self, name: str, settings_path: Path) -> dict[str, str]:
        """Return the environment variables of a process."""
        return {**os.environ, FILE_VARIABLE: str(settings_path)}

    def _settings_lines(self, name: str, is_first: bool) -> list[str]:
        kind, _, number = name.partition("-")
        ip = self.ip(name)
        rotation = self._hang_ups[name] % len(self.control_addresses)
        seeds = [*self.control_addresses[rotation:], *self.control_addresses[:rotation]]
        lines = [
            f"node_name={name}",
            f"ip_address={ip}",
            f"zone=zone-{number}",
            "region=here",
            f"internal_port_range={INTERNAL_PORT},{INTERNAL_PORT + 9}",
            "seeds=" + ",".join(seeds),
            f"first_start={str(is_first).lower()}",
            f"fault_tolerance.machines={(self._control_planes - 1) // 2}",
            "heartbeat_interval_ms=1000",
            *self._bounds.settings_lines(),
        ]
        if kind == "control":
            return [*lines, f"listen.control={ip}:{CONTROL_PORT}", f"data_directory={self._folder}/{name}"]
        return [*lines, f"listen.front={ip}:{FRONT_PORT}", f"listen.ready={ip}:{READY_PORT}"]

    async def inject(self, name: str, kind: str, duration_s: float) -> None:
        """Inject a fault of a process: "hang_up", "freeze", "kill" or "terminate" (see `faults.Fault`)."""
        if kind == "hang_up":
            self.hang_up(name)
        elif kind == "freeze":
            await self.freeze(name, duration_s)
        elif kind == "kill":
            await self.kill(name, duration_s)
        else:
            await self.terminate(name, duration_s)

    async def kill(self, name: str, restart_after_s: float) -> None:
        """Send SIGKILL to a process and restart it after a delay."""
        began_at = self._now()
        self._processes[name].kill()
        await self._wait_for_exit(name)
        await self._restart(name, "kill", began_at, restart_after_s, is_planned=False)

    async def terminate(self, name: str, restart_after_s: float) -> None:
        """Send SIGTERM to a process, SIGKILL if it does not exit in the grace period, and restart it after a delay."""
        began_at = self._now()
        self._processes[name].terminate()
        is_planned = True
        try:
            async with asyncio.timeout(self._bounds.grace_s):
                await self._wait_for_exit(name)
        except TimeoutError:
            self.forced_kills += 1
            self._processes[name].kill()
            is_planned = False
            await self._wait_for_exit(name)
        await self._restart(name, "terminate", began_at, restart_after_s, is_planned)

    async def freeze(self, name: str, duration_s: float) -> None:
        """Stop a process with SIGSTOP and resume it with SIGCONT."""
        began_at = self._now()
        self._processes[name].send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(duration_s)
        finally:
            self._processes[name].send_signal(signal.SIGCONT)
            self._record(name, "freeze", began_at, is_planned=False)

    def hang_up(self, name: str) -> None:
        """Change the settings file of a process, each third time to one that can't be used, and send SIGHUP."""
        self._hang_ups[name] += 1
        self.write_settings(name)
        if self._hang_ups[name] % BROKEN_SETTINGS_INTERVAL == 0:
            self._settings_path(name).write_text(BROKEN_SETTINGS)
        self._processes[name].send_signal(signal.SIGHUP)
        self._record(name, "hang_up", self._now(), is_planned=True)

    def ended_by_themselves(self) -> list[str]:
        """Return the processes that have exited on their own."""
        return [name for name, process in self._processes.items() if process.poll() is not None]

    def end(self) -> None:
        """Kill all processes."""
        for process in self._processes.values():
            process.kill()
        for process in self._processes.values():
            process.wait()
        self._network.reservation.close()

    async def _wait_for_exit(self, name: str) -> None:
        while self._processes[name].poll() is None:
            await asyncio.sleep(EXIT_POLL_S)

    async def _restart(self, name: str, kind: str, began_at: float, after_s: float, is_planned: bool) -> None:
        await asyncio.sleep(after_s)
        self.start(name)
        self._record(name, kind, began_at, is_planned)

    def _record(self, name: str, kind: str, began_at: float, is_planned: bool) -> None:
        self.disturbances.append(Disturbance(name, kind, began_at, self._now(), is_planned))

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
