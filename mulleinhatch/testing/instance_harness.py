"""A harness of real instances, fake interpreters and fake clients in separate processes, with scripted faults.

Everything is on loopback and bounded in time. It samples CPU and memory of the instances, and it reports the lateness of the
measuring processes: clients, interpreters and the harness itself.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import os
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import psutil

from mulleinhatch.testing import fault_script as faults

SAMPLE_INTERVAL_S = 0.25  # between samples of CPU and memory
CORE_USE_WINDOW_S = 2.0  # over which core use is averaged
CLIENT_LEAD_S = 1.5  # from the start of the clients to their first request
STARTUP_TIMEOUT_S = 15.0
GARBLE = b"\x00\x17garbled \xff line\r\nContent-Length: -7\r\n\r\n"


class Case(NamedTuple):
    """One run; times are in seconds, rates in requests per second."""

    script: str
    run_for: float
    rate: float
    patience: float = 30.0
    heeding: float = 0.0
    marked: float = 1.0
    alike: float = 0.0  # share of the requests with identical bodies
    steady: float = 1.0  # share of the clients that keep rank and cost over the attempts of a request
    instances: int = 1
    cores: int = 4
    work_ms: float = 50.0
    loads: int = 2  # client processes
    cold_speed: float = 1.0  # relative speed of a fresh interpreter
    warming: float = 0.0  # seconds until it is warm
    seed: int = 1
    operator: str = ""  # the operator's file, as KDL
    longest_hold_off: float = 30.0


KINDS = [
    {"name": "read", "share": 0.70, "repeats": "safe"},
    {"name": "update", "share": 0.12, "repeats": "safe"},
    {"name": "signoff", "share": 0.10, "repeats": "unsafe"},
    {"name": "stamp", "share": 0.08, "repeats": "keyed"},
]


def settings(case: Case) -> dict[str, Any]:
    """Return the deployment settings of the instances."""
    timing = {"aim": 1800.0, "deadline": 4500.0, "late_worth": 0.0, "memory_span": 60_000.0}
    value = {"read": 1.0, "update": 2.0, "signoff": 5.0, "stamp": 5.0}
    return {
        "classes": [
            {"name": kind["name"], "effect": kind["repeats"], "worth": value[kind["name"]], **timing} for kind in KINDS
        ],
        "family_info": {
            "cores": case.cores,
            "gauges": ["core_use", "on_cores", "heap_share", "links"],
            "memory_kb": 60_000.0,
            "run_factor": 4.0,
            "key_kb": 1.0,
            "say": "floor",
            "callers": 4 * case.loads,
            "idle": 15_000.0,
        },
        "tick": 2.0,
        "servers": case.instances,
        "limits": {"retry_after": True, "max_retry_after": 1000.0 * case.longest_hold_off},
        "rules": {"drain_grace": 2500.0, "tip_multiple": 8.0, "cold": 1000.0 * case.warming, "cold_from": case.cold_speed},
    }


def free_port() -> int:
    """Return a TCP port that is free now."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        return free.getsockname()[1]


class Node:
    """An instance and its interpreter, whose addresses stay the same over their incarnations."""

    def __init__(self, case: Case, number: int, folder: Path) -> None:
        self.case, self.number, self.folder = case, number, folder
        self.port, self.link = free_port(), free_port()
        self.instance: asyncio.subprocess.Process | None = None
        self.interpreter: asyncio.subprocess.Process | None = None
        self.watched: psutil.Process | None = None
        self.incarnation = 0
        self.lost_reports: list[dict[str, Any]] = []

    async def start(self) -> None:
        """Write the settings files and start the interpreter and the instance."""
        case, self.incarnation = self.case, self.incarnation + 1
        config_json = {
            "name": f"n{self.number}",
            "listen": f"127.0.0.1:{self.port}",
            "vm": f"127.0.0.1:{self.link}",
            "seed": f"{case.seed * 1000 + self.number * 10 + self.incarnation:x}",
            "stop_ms": 3000,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings(case),
        }
        config, operator = self.folder / f"n{self.number}.json", self.folder / "operator.kdl"
        config.write_text(json.dumps(config_json))
        operator.write_text(case.operator)
        self.interpreter = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "mulleinhatch.testing.fake_interpreter",
            str(self.link),
            str(case.cores),
            str(case.cold_speed),
            str(case.warming),
            stdout=asyncio.subprocess.PIPE,
        )
        with open(self.folder / f"n{self.number}.log", "a") as log:
            self.instance = await asyncio.create_subprocess_exec(
                sys.executable,
                "-O",
                "-m",
                "mulleinhatch",
                "serve",
                "--config",
                str(config),
                *(["--operator", str(operator)] if case.operator else []),
                stderr=log,
            )
        self.watched = psutil.Process(self.instance.pid)

    async def stop(self) -> dict[str, Any]:
        """Stop both; return the report of the last interpreter."""
        if self.instance and self.instance.returncode is None:
            self.instance.kill()
            await self.instance.wait()
        if self.interpreter and self.interpreter.returncode is None:
            self.interpreter.send_signal(signal.SIGCONT)
            self.interpreter.terminate()
            out = (await self.interpreter.communicate())[0]
            return json.loads(out) if out else {}
        return {}

    async def kill(self) -> None:
        """Kill the instance; the interpreter is terminated instead, so that it reports its runs."""
        self.instance.kill()
        self.lost_reports.append(await self.stop())
        self.watched = None

    async def get(self, path: str) -> str:
        """Return the complete response to an HTTP GET."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: rig\r\nConnection: close\r\n\r\n".encode())
            return (await asyncio.wait_for(reader.read(), 5.0)).decode()
        finally:
            writer.close()

    async def counters(self) -> dict[str, int]:
        """Return the counters; empty if the instance does not answer."""
        try:
            _, _, body = (await self.get("/status/counters")).partition("\r\n\r\n")
        except (TimeoutError, OSError):
            return {}
        return {name: int(count) for name, _, count in (line.partition("=") for line in body.splitlines())}


class InstanceHarness:
    """Runs one case."""

    def __init__(self, case: Case, folder: Path, on_sample: Callable[[InstanceHarness], None] | None = None) -> None:
        self.case, self.folder, self.on_sample = case, folder, on_sample
        self.faults = faults.read(case.script)
        self.nodes = [Node(case, number, folder) for number in range(case.instances)]
        self.samples: list[tuple[float, list[float | None], list[int]]] = []  # time, CPU seconds and memory by node
        self.late = 0.0
        self.readings: list[tuple[float, float, dict[str, int]]] = []  # CPU seconds, time, counters
        self.disturbances: list[asyncio.Task[None]] = []
        self.start_at = math.inf

    async def play(self) -> dict[str, Any]:
        """Run the case and return the reports of all processes."""
        loads: list[asyncio.subprocess.Process] = []
        try:
            for node in self.nodes:
                await node.start()
            await self._wait_until_up()
            self.start_at = time.time() + CLIENT_LEAD_S
            loads = [await self._start_load(number) for number in range(self.case.loads)]
            sampling = asyncio.ensure_future(self._sample())
            reports = [asyncio.ensure_future(load.communicate()) for load in loads]
            await self._play_faults()
            done = await asyncio.wait_for(asyncio.gather(*reports), self.case.run_for + 20.0)
            sampling.cancel()
            counters = [await node.counters() for node in self.nodes]
            ran = [[*node.lost_reports, await node.stop()] for node in self.nodes]
            return {
                "stubs": [json.loads(out) for out, _ in done],
                "counters": counters,
                "ran": ran,
                "samples": self.samples,
                "looks": self.readings,
                "rig_late": self.late,
                "end": faults.end_of(self.faults),
            }
        finally:
            for task in self.disturbances:
                task.cancel()
            for load in loads:
                if load.returncode is None:
                    load.kill()
            for node in self.nodes:
                with contextlib.suppress(ProcessLookupError):
                    await node.stop()

    async def _wait_until_up(self) -> None:
        """Wait until all instances answer a health check and are connected to their interpreters."""
        until = time.monotonic() + STARTUP_TIMEOUT_S
        for node in self.nodes:
            while not (await node.counters()).get("link_opened"):
                if time.monotonic() > until:
                    raise TimeoutError(f"instance {node.number} is not up: see {self.folder}")
                await asyncio.sleep(0.05)

    async def _start_load(self, number: int) -> asyncio.subprocess.Process:
        case = self.case
        habits = {
            "instances": [["127.0.0.1", node.port] for node in self.nodes],
            "kinds": KINDS,
            "start_at": self.start_at,
            "run_for": case.run_for,
            "rate": case.rate / case.loads,
            "seed": 100 * case.seed + number,
            "first_caller": 4 * number,
            "patience": case.patience,
            "heeding": case.heeding,
            "marked": case.marked,
            "work_ms": case.work_ms,
            "alike": case.alike,
            "steady": case.steady,
            "connections": 900 // case.loads,
        }
        load = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "mulleinhatch.testing.fake_callers",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        load.stdin.write(json.dumps(habits).encode() + b"\n")
        await load.stdin.drain()
        return load

    async def _play_faults(self) -> None:
        for fault in self.faults:
            wait = self.start_at + fault.at - time.time()
            if wait > 0.0:
                await asyncio.sleep(wait)
            self.late = max(self.late, time.time() - self.start_at - fault.at)
            await asyncio.gather(*(self._apply_fault(fault, self.nodes[number]) for number in fault.places))

    async def _apply_fault(self, fault: faults.Fault, node: Node) -> None:
        if fault.what == "kill":
            await node.kill()
        elif fault.what == "start":
            await node.start()
        elif fault.what in ("freeze", "thaw"):
            node.interpreter.send_signal(signal.SIGSTOP if fault.what == "freeze" else signal.SIGCONT)
        elif fault.what == "leave":
            node.instance.send_signal(signal.SIGTERM)
        elif fault.what == "look":
            counters, times = await node.counters(), node.watched.cpu_times()
            self.readings.append((times.user + times.system, time.time() - self.start_at, counters))
        elif fault.what == "quiet":
            for task in self.disturbances:
                task.cancel()
        else:
            self.disturbances += [asyncio.ensure_future(self._disturb(node, fault.what)) for _ in range(fault.count)]

    @staticmethod
    async def _disturb(node: Node, what: str) -> None:
        """Open a connection that sends nothing or garbage, and reopen it whenever it is closed."""
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
                try:
                    if what == "garble":
                        writer.write(GARBLE)
                    await reader.read()
                finally:
                    writer.close()
            await asyncio.sleep(0.2)

    async def _sample(self) -> None:
        while True:
            cpu: list[float | None] = []
            memory = []
            for node in self.nodes:
                try:
                    times = node.watched.cpu_times() if node.watched else None
                    cpu.append(times and times.user + times.system)
                    memory.append(node.watched.memory_info().rss if node.watched else 0)
                except psutil.Error:
                    cpu.append(None)
                    memory.append(0)
            self.samples.append((time.time() - self.start_at, cpu, memory))
            if self.on_sample:
                self.on_sample(self)
            await asyncio.sleep(SAMPLE_INTERVAL_S)


def core_use(samples: list[tuple[float, list[float | None], list[int]]], since: float) -> float:
    """Return the largest share of a core that one instance used in any `CORE_USE_WINDOW_S` from `since` on.

    >>> core_use([(t / 4, [t / 8], [0]) for t in range(20)], 1.0)
    0.5
    """
    most, width = 0.0, round(CORE_USE_WINDOW_S / SAMPLE_INTERVAL_S)
    for earlier, later in zip(samples, samples[width:]):
        if earlier[0] >= since:
            for before, after in zip(earlier[1], later[1]):
                if before is not None and after is not None and after >= before:
                    most = max(most, (after - before) / (later[0] - earlier[0]))
    return most


def run_case(
    case: Case, keep: Path | None = None, on_sample: Callable[[InstanceHarness], None] | None = None
) -> dict[str, Any]:
    """Run one case; `keep` is a folder for the instances' logs."""
    with tempfile.TemporaryDirectory() as folder:
        harness = InstanceHarness(case, keep or Path(folder), on_sample)
        return asyncio.run(harness.play())


def run_cases(cases: list[Case], on_sample: Callable[[InstanceHarness], None] | None = None) -> list[dict[str, Any]]:
    """Run several cases at once, to compare them under the same conditions; each takes four or more processes."""

    async def run_all() -> list[dict[str, Any]]:
        with tempfile.TemporaryDirectory() as folder:
            harnesses = []
            for number, case in enumerate(cases):
                case_folder = Path(folder) / str(number)
                case_folder.mkdir()
                harnesses.append(InstanceHarness(case, case_folder, on_sample))
            return list(await asyncio.gather(*(harness.play() for harness in harnesses)))

    return asyncio.run(run_all())


def outcome(case: Case, report: dict[str, Any]) -> dict[str, Any]:
    """Return the results of a run; shares are from 0 to 1, times in seconds from the end of the last outage."""
    bucket = report["stubs"][0]["bucket"]
    first: dict[int, int] = {}
    good: dict[int, int] = {}
    for client in report["stubs"]:
        for name, into in (("first", first), ("in_time", good)):
            for key, count in client[name].items():
                into[int(key)] = into.get(int(key), 0) + count
    end, per = report["end"], round(1.0 / bucket)
    start, stop = round(end * per), round(case.run_for * per)
    after, served = sum(first.get(b, 0) for b in range(start, stop)), sum(good.get(b, 0) for b in range(start, stop))
    back, late = None, 0
    # Backwards, to find the last two seconds with fewer than 90% served in time.
    for at in range(stop - 2 * per, start - 1, -1):
        requested, served_in_time = (sum(of.get(b, 0) for b in range(at, at + 2 * per)) for of in (first, good))
        if served_in_time < 0.9 * requested:
            break
        back = (at - start) * bucket
    outages = [fault.at for fault in faults.read(case.script) if fault.what in ("kill", "freeze")]
    before = range(0, round(min(outages, default=case.run_for) * per) - 2 * per)
    calm = sum(first.get(b, 0) for b in before)
    twice: dict[str, int] = {}
    for incarnation in (last for reports in report["ran"] for last in reports):
        for name, count in incarnation.get("twice", {}).items():
            twice[name] = twice.get(name, 0) + count
        late = max(late, incarnation.get("late_most", 0.0))
        # Requests with identical bodies are counted by the ids of their attempts, because only the clients know their identity.
        owners = [
            (number, refs[ref])
            for ref in incarnation.get("alike", ())
            for number, refs in enumerate(client["refs"] for client in report["stubs"])
            if ref in refs
        ]
        twice["signoff"] = twice.get("signoff", 0) + len(owners) - len(set(owners))
    counts = {name: sum(client["counts"][name] for client in report["stubs"]) for name in report["stubs"][0]["counts"]}
    attempts = {}
    for client in report["stubs"]:
        for key, count in client["tries"].items():
            attempts[int(key)] = attempts.get(int(key), 0) + count
    return {
        "in_time": served / max(1, after),
        "calm": sum(good.get(b, 0) for b in before) / max(1, calm),
        "back_after": back,
        "core": core_use(report["samples"], end + 10.0),
        "core_all": core_use(report["samples"], 0.0),
        "memory_mb": max(max(sample[2]) for sample in report["samples"]) / 1e6,
        "lost": counts["unanswered"],
        "wrong": counts["wrong"],
        "twice": twice.get("signoff", 0) + twice.get("stamp", 0),
        "most_tries": max(attempts.values()) / bucket,
        "told": max((client["told"] for client in report["stubs"]), key=lambda hold_off: hold_off["50"]),
        "late": max([late, report["rig_late"], *(client["late"]["99"] for client in report["stubs"])]),
        "counts": counts,
        "counters": report["counters"],
        "series": {"first": first, "good": good, "tries": attempts},
    }


def keep_environment() -> None:
    """Let child processes import the project from the same source tree."""
    os.environ.setdefault("PYTHONPATH", str(Path(__file__).parents[2]))
