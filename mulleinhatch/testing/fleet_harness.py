"""A fleet of real processes: instances, one process for all interpreters, clients, and a relay for datagrams between instances.

Faults follow a script (`fault_script.py`). The fleet is observed from outside: by each instance's status over HTTP,
the interpreters' records of runs, and the operating system's data about the processes. Each process is ended by its id.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import psutil

from mulleinhatch.testing import fault_script as faults

STARTUP_TIMEOUT_S = 40.0
MAX_CONCURRENT_STARTS = 16  # more processes would only wait for the cores
STATUS_TIMEOUT_S = 2.0
MAX_POLLED = 24  # instances of a large fleet whose views are polled


class FleetCase(NamedTuple):
    """One run. Times are in seconds, rates in requests per second. Each entry of `loads` (places, rate) is a client process."""

    instances: int
    script: str = ""
    run_for: float = 10.0
    total: int = 0  # runs of the tenant that the fleet may start in a window; 0 sets no budget
    window: float = 1.0
    leases: bool = True
    loads: tuple[tuple[str, float], ...] = ()
    heartbeat_s: float = 0.1
    work_ms: float = 2.0
    cores: int = 4
    seed: int = 1
    seeds: int = 3
    directory: bool = False  # clients know the instances it lists, with a second of delay; otherwise all instances
    fleet: bool = True  # False runs the same processes without a fleet, to measure its cost
    lease: float = 5.0
    spread: str = ""  # lines of a `spread` node; "-" for an empty one; "" disables load balancing
    maintenance: str = ""  # lines of an `upkeep` node, a template with "{folder}" and "{control}"
    signoffs: float = 0.0  # share of non-retryable requests
    max_attempts: int = 1  # of a request
    heeding: float = 0.0  # share of the clients that obey retry delays


def settings(case: FleetCase) -> dict[str, Any]:
    """Return the deployment settings of the instances."""
    timing = {"aim": 1800.0, "deadline": 4500.0, "late_worth": 0.0, "memory_span": 60_000.0}
    return {
        "classes": [
            {"name": "read", "effect": "safe", "worth": 1.0, **timing},
            *([{"name": "signoff", "effect": "unsafe", "worth": 5.0, **timing}] if case.signoffs else []),
        ],
        "tenants": [{"name": "t", "share": 1.0}],
        "family_info": {
            "cores": case.cores,
            "gauges": ["core_use", "on_cores", "heap_share", "links"],
            "memory_kb": 60_000.0,
            "run_factor": 4.0,
            "key_kb": 1.0,
            "say": "floor",
            "callers": 8,
            "idle": 15_000.0,
        },
        "tick": 2.0,
        "servers": case.instances,
        "limits": {"retry_after": True, "max_retry_after": 5000.0},
        "rules": {"drain_grace": 2500.0, "tip_multiple": 8.0, "cold": 0.0, "cold_from": 1.0},
    }


class Node:
    """One instance as a process."""

    def __init__(self, harness: FleetHarness, place: int) -> None:
        self.harness, self.place, self.name = harness, place, f"n{place}"
        self.port, self.udp = harness.ports[place], harness.udp[place]
        self.process: asyncio.subprocess.Process | None = None
        self.watched: psutil.Process | None = None
        self.stalled = False

    async def start(self) -> None:
        """Write the instance's files and start its process."""
        harness, case = self.harness, self.harness.case
        settings_json = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "vm": f"127.0.0.1:{harness.links[self.place]}",
            **({"lookup": f"127.0.0.1:{harness.reports[0]}"} if case.directory else {}),
            "seed": f"{case.seed * 10_000 + self.place:x}",
            "stop_ms": 1000,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "settings": settings(case),
        }
        config, operator = harness.folder / f"{self.name}.json", harness.folder / f"{self.name}.kdl"
        config.write_text(json.dumps(settings_json))
        names = " ".join(f'"n{place}"' for place in range(case.instances))
        seeds = " ".join(f'"127.0.0.1:{harness.here[place]}"' for place in harness.seeds)
        budget = (
            f'budgets {{\n t {{\n tenant "t"\n total {case.total}\n window {case.window}\n lease {case.lease}\n }}\n }}'
            if case.total
            else ""
        )
        operator.write_text(
            f'fleet {{\n name "rig"\n listen "127.0.0.1:{self.udp}"\n status "127.0.0.1:{self.port}"\n'
            f' advertise "127.0.0.1:{harness.here[self.place]}"\n seeds {seeds}\n beat {case.heartbeat_s}\n'
            f" seats {names}\n {budget}\n}}\n"
            if case.fleet
            else ""
        )
        if case.spread:
            with open(operator, "a") as more:
                more.write(f'spread {{\n at "127.0.0.1:{self.port}"\n {case.spread.strip("-")}\n}}\n')
        if case.maintenance:
            with open(operator, "a") as more:
                lines = case.maintenance.format(
                    folder=harness.folder / f"votes-{self.name}", control=f"127.0.0.1:{harness.controls[self.place]}"
                )
                more.write(f"upkeep {{\n{lines}\n}}\n")
        with open(harness.folder / f"{self.name}.log", "a") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-O",
                "-m",
                "mulleinhatch",
                "serve",
                "--config",
                str(config),
                "--operator",
                str(operator),
                stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
            )
        self.watched, self.stalled = psutil.Process(self.process.pid), False

    @property
    def up(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.returncode is None

    async def get(self, path: str) -> bytes:
        """Return the body of an HTTP GET."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: rig\r\nConnection: close\r\n\r\n".encode())
            return (await asyncio.wait_for(reader.read(), STATUS_TIMEOUT_S)).partition(b"\r\n\r\n")[2]
        finally:
            writer.close()

    async def request_maintenance(self, **command: Any) -> dict[str, Any]:
        """Send an operator's command; return the answer, with `error` if it is rejected or unreachable."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.harness.controls[self.place])
            try:
                writer.write(json.dumps(command).encode() + b"\n")
                return json.loads(await asyncio.wait_for(reader.readline(), 12.0))
            finally:
                writer.close()
        except (OSError, ValueError, TimeoutError) as error:
            return {"error": str(error) or type(error).__name__}

    async def fleet(self) -> dict[str, Any] | None:
        """Return the instance's view of the fleet; None if it is down or does not answer."""
        if not self.up or self.stalled:
            return None
        try:
            return json.loads(await self.get("/status/fleet"))
        except (OSError, ValueError, TimeoutError):
            return None

    async def counters(self) -> dict[str, int]:
        """Return the counters; empty if the instance does not answer."""
        try:
            body = (await self.get("/status/counters")).decode()
        except (OSError, TimeoutError):
            return {}
        return {name: int(count) for name, _, count in (line.partition("=") for line in body.splitlines())}

    async def end(self) -> None:
        """Kill the process and wait for it."""
        if self.up:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


def free_ports(count: int, kind: int) -> list[int]:
    """Return free ports below the system's ephemeral range.

    Of hundreds of ports assigned one by one by the system, some repeat, or are taken by an outgoing connection before their
    process listens there.
    """
    found: list[int] = []
    port = 12_000 + (os.getpid() * 997 + int(time.time() * 1000)) % 16_000
    while len(found) < count:
        port = port + 1 if port < 32_000 else 12_000
        with socket.socket(socket.AF_INET, kind) as free, contextlib.suppress(OSError):
            free.bind(("127.0.0.1", port))
            found.append(port)
    return found


class FleetHarness:
    """Runs a fleet: `async with FleetHarness(case, folder) as harness`. On entry all instances are up and see each other.

    `start_at` is the origin of the fault script's clock.
    """

    def __init__(self, case: FleetCase, folder: Path) -> None:
        self.case, self.folder = case, folder
        self.faults = faults.read(case.script, case.instances)
        count = case.instances
        udp, tcp = free_ports(2 * count + 2, socket.SOCK_DGRAM), free_ports(3 * count + 1, socket.SOCK_STREAM)
        self.here, self.udp, self.reports = udp[:count], udp[count : 2 * count], udp[2 * count :]
        self.links, self.ports, self.controls, self.lists = tcp[:count], tcp[count : 2 * count], tcp[2 * count : -1], tcp[-1]
        step = max(1, case.instances // case.seeds)
        self.seeds = list(range(0, case.instances, step))[: case.seeds]
        self.directory: asyncio.subprocess.Process | None = None
        self.nodes = [Node(self, place) for place in range(case.instances)]
        self.host: asyncio.subprocess.Process | None = None
        self.relay: asyncio.subprocess.Process | None = None
        self.start_at = 0.0
        self.late = 0.0
        self.deaths: list[tuple[int, float, float]] = []  # place, time before the kill, time after it
        self.loads: list[asyncio.subprocess.Process] = []
        self.scripted: asyncio.Task[None] | None = None

    async def __aenter__(self) -> FleetHarness:
        try:
            links = ",".join(map(str, self.links)) + ("," if len(self.links) == 1 else "")
            self.host = await self._start_fake("fake_interpreter", links, str(self.case.cores), "1.0", "0.0")
            await self.host.stdout.readline()
            if self.case.directory:
                self.directory = await self._start_fake("fake_directory", str(self.reports[1]), str(self.lists), "1.0")
                await self.directory.stdout.readline()
            for first in range(0, len(self.nodes), MAX_CONCURRENT_STARTS):
                await asyncio.gather(*(node.start() for node in self.nodes[first : first + MAX_CONCURRENT_STARTS]))
                await asyncio.gather(*(self._wait_until_up(node) for node in self.nodes[first : first + MAX_CONCURRENT_STARTS]))
            self.relay = await self._start_fake("datagram_relay")
            self.start_at = time.time() + 1.0
            await self._configure_relay(self.start_at + 10_000.0)  # no faults before `go`
            return self
        except BaseException:
            await self.__aexit__()
            raise

    async def _start_fake(self, name: str, *arguments: str) -> asyncio.subprocess.Process:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            f"mulleinhatch.testing.{name}",
            *arguments,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=1 << 26,
        )

    async def _configure_relay(self, start_at: float) -> None:
        settings_json = {
            "here": self.here,
            "there": [node.udp for node in self.nodes],
            "script": self.case.script,
            "start_at": start_at,
            "seed": self.case.seed,
            "directory": self.reports if self.case.directory else None,
        }
        self.relay.stdin.write(json.dumps(settings_json).encode() + b"\n")
        await self.relay.stdin.drain()
        await self.relay.stdout.readline()

    async def _wait_until_up(self, node: Node) -> None:
        until = time.monotonic() + STARTUP_TIMEOUT_S
        while not (await node.counters()).get("link_opened"):
            if time.monotonic() > until or not node.up:
                raise TimeoutError(f"{node.name} is not up: see {self.folder}")
            await asyncio.sleep(0.1)

    async def go(self) -> None:
        """Start the script and the clients; a new relay with faults replaces the one without."""
        self.relay.terminate()
        await self.relay.communicate()
        self.relay = await self._start_fake("datagram_relay")
        self.start_at = time.time() + 0.5
        await self._configure_relay(self.start_at)
        case = self.case
        for number, (places, rate) in enumerate(case.loads):
            chosen = faults.parse_places(places, self.case.instances)
            habits = {
                "instances": [["127.0.0.1", self.nodes[place].port] for place in chosen],
                "kinds": [
                    {"name": "read", "share": 1.0 - case.signoffs},
                    *([{"name": "signoff", "share": case.signoffs, "repeats": "unsafe"}] if case.signoffs else []),
                ],
                "heeding": case.heeding,
                "start_at": self.start_at,
                "run_for": self.case.run_for,
                "rate": rate,
                "seed": 100 * self.case.seed + number,
                "first_caller": 4 * number,
                "patience": 4.5,
                "work_ms": self.case.work_ms,
                "connections": 24,
                "most_tries": case.max_attempts,
                "tenant": "t",
                "names": [self.nodes[place].name for place in chosen],
                "directory": self.lists if self.case.directory else 0,
            }
            load = await self._start_fake("fake_callers")
            load.stdin.write(json.dumps(habits).encode() + b"\n")
            await load.stdin.drain()
            self.loads.append(load)
        self.scripted = asyncio.ensure_future(self._play_script())

    def now(self) -> float:
        """Return the time on the script's clock."""
        return time.time() - self.start_at

    async def until(self, moment: float) -> None:
        """Sleep until a time on the script's clock."""
        await asyncio.sleep(max(0.0, moment - self.now()))

    async def _play_script(self) -> None:
        moments = [(fault.at, fault.what, fault) for fault in self.faults if fault.what not in faults.LINKS]
        moments += [(fault.until, "restore", fault) for fault in self.faults if fault.what in faults.WORK]
        for at, what, fault in sorted(moments, key=lambda moment: moment[0]):
            await self.until(at)
            self.late = max(self.late, self.now() - at)
            await asyncio.gather(*(self._apply_fault(what, fault, self.nodes[place]) for place in fault.places))

    async def _apply_fault(self, what: str, fault: faults.Fault, node: Node) -> None:
        if what == "kill":
            await self.kill(node)
        elif what == "start":
            await node.start()
        elif what in ("stall", "go"):
            node.stalled = what == "stall"
            if node.up:
                node.process.send_signal(signal.SIGSTOP if node.stalled else signal.SIGCONT)
        elif what == "leave" and node.up:
            node.process.send_signal(signal.SIGTERM)
        elif what in ("slow", "failing", "restore"):
            usual = {"slow": 1.0, "failing": 0.0}[fault.what]
            amount = usual if what == "restore" else fault.amount
            self.host.stdin.write(f"{fault.what} {node.place} {amount}\n".encode())

    async def kill(self, node: Node) -> None:
        """Kill the instance, and its interpreter with it."""
        begun_at = time.time()
        await node.end()
        self.deaths.append((node.place, begun_at, time.time()))
        self.host.stdin.write(f"reset {node.place}\n".encode())

    # Observations from outside.

    async def views(self) -> dict[str, dict[str, Any]]:
        """Return the views by name of the instance; of a large fleet only a sample, because polling all would add load."""
        nodes = self.nodes[:: max(1, self.case.instances // MAX_POLLED)]
        answers = await asyncio.gather(*(node.fleet() for node in nodes))
        return {node.name: view for node, view in zip(nodes, answers) if view}

    async def wait_for(self, condition: Callable[[dict[str, dict[str, Any]]], bool], within: float) -> float | None:
        """Return the seconds until the condition held for the views, or None after `within` seconds."""
        begun = time.monotonic()
        while time.monotonic() - begun < within:
            if condition(await self.views()):
                return time.monotonic() - begun
            await asyncio.sleep(0.1)
        return None

    async def begun(self, place: int) -> int:
        """Return the number of runs that the interpreter at a place began, in all its incarnations."""
        self.host.stdin.write(f"begun {place}\n".encode())
        return int(await self.host.stdout.readline())

    def usage(self) -> list[tuple[float, int] | None]:
        """Return CPU seconds and resident bytes by place, None for instances that do not run."""
        usage: list[tuple[float, int] | None] = []
        for node in self.nodes:
            try:
                times = node.watched.cpu_times()
                usage.append((times.user + times.system, node.watched.memory_info().rss))
            except (psutil.Error, AttributeError):
                usage.append(None)
        return usage

    async def finish(self) -> dict[str, Any]:
        """Wait for the script and the clients; return the reports of all fakes."""
        if self.scripted:
            await self.scripted
        clients = [json.loads(out) for out, _ in await asyncio.gather(*(load.communicate() for load in self.loads))]
        for client, (places, _) in zip(clients, self.case.loads):
            known = faults.parse_places(places, self.case.instances)  # a client numbers only the instances it knows
            client["broken_once"] = {ref: (known[index], *times) for ref, (index, *times) in client["broken_once"].items()}
        self.host.terminate()
        ran = json.loads((await self.host.communicate())[0])
        self.relay.terminate()
        relayed = json.loads((await self.relay.communicate())[0])
        if self.directory:
            self.directory.terminate()
            relayed["directory"] = json.loads((await self.directory.communicate())[0])
        late = max([self.late, relayed["late"], *(client["late"]["99"] for client in clients)])
        return {"stubs": clients, "ran": ran, "relay": relayed, "late": late, "deaths": self.deaths}

    async def __aexit__(self, *error: object) -> None:
        if self.scripted:
            self.scripted.cancel()
        for process in (self.host, self.relay, self.directory, *self.loads):
            if process and process.returncode is None:
                process.kill()
                await process.wait()
        await asyncio.gather(*(node.end() for node in self.nodes))


def views_agree(views: dict[str, dict[str, Any]], names: set[str]) -> bool:
    """Return whether the instances with these names consider exactly each other alive."""
    return len(views) >= min(len(names), MAX_POLLED - 1) and all(
        {row["name"] for row in view["members"] if row["state"] in ("alive", "self")} == names
        and not any(row["state"] == "suspect" for row in view["members"])
        for name, view in views.items()
        if name in names
    )


def most_in_window(starts: list[float], window: float) -> int:
    """Return the largest number of start times in any window of that length.

    >>> most_in_window([0.0, 0.5, 0.9, 1.0, 1.2], 1.0)
    4
    """
    most, first = 0, 0
    starts = sorted(starts)
    for last, moment in enumerate(starts):
        while starts[first] <= moment - window:
            first += 1
        most = max(most, last - first + 1)
    return most
