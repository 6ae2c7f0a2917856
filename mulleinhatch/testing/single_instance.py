"""One service instance and its fake interpreter as real processes, with settings of any size, and measurements of their cost.

CPU seconds are user and system time of all threads, in nanoseconds where the system provides it; memory is the unique set
size (USS), in bytes.
"""

from __future__ import annotations

import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import psutil

from mulleinhatch.testing.instance_harness import free_port

STARTUP_TIMEOUT_S = 120.0  # the largest settings load slowly, especially on a busy machine
CORES = 8  # of the interpreter, so that short work never waits for a core
WORTHS = 4  # distinct worths of the classes


def settings(tenants: int = 0, classes: int = 1, worths: int = WORTHS, quota: float = 20.0) -> dict[str, Any]:
    """Return settings of the given size; each tenant gets four times its even share, and `quota` requests per second."""
    if tenants < 0 or classes < 1 or worths < 1:
        raise ValueError(f"{tenants} tenants, {classes} classes of {worths} worths: sizes are too small")
    timing = {"aim": 1800.0, "deadline": 4500.0, "late_worth": 0.0, "memory_span": 60_000.0}
    settings_json: dict[str, Any] = {
        "classes": [
            {"name": f"c{place}", "effect": "safe", "worth": 1.0 + place % worths, **timing} for place in range(classes)
        ],
        "family_info": {
            "cores": CORES,
            "gauges": ["core_use", "on_cores", "heap_share", "links"],
            "memory_kb": 60_000.0,
            "run_factor": 4.0,
            "key_kb": 1.0,
            "say": "floor",
            "callers": 1000,
        },
        "tick": 2.0,
        "servers": 3600,
        "limits": {"retry_after": True, "max_retry_after": 30_000.0},
        "rules": {"drain_grace": 2500.0, "tip_multiple": 8.0, "cold": 0.0, "cold_from": 1.0},
    }
    if tenants:
        fraction = min(1.0, 4.0 / tenants)
        settings_json["tenants"] = [
            {"name": f"t{place:07d}", "fraction": fraction, "quota_per_s": 3600 * quota} for place in range(tenants)
        ]
    return settings_json


def cpu_seconds(process: psutil.Process) -> float:
    """Return the CPU time of all threads, from the scheduler's statistics if available, otherwise in ticks of 10 ms."""
    try:
        tasks = Path(f"/proc/{process.pid}/task")
        found = sum(int((task / "schedstat").read_text().split()[0]) for task in tasks.iterdir())
        if found:
            return 1e-9 * found
    except (OSError, ValueError, IndexError):
        pass
    times = process.cpu_times()
    return times.user + times.system


class SingleInstance:
    """Runs the two processes; `stop` or a `with` block ends them."""

    def __init__(self, folder: Path, settings_json: dict[str, Any], sockets: int = 1024, operator: str = "") -> None:
        self.folder, self.port, self.link = folder, free_port(), free_port()
        self.config, self.log = folder / "config.json", folder / "instance.log"
        self.sockets = sockets
        self.first_tenant = settings_json["tenants"][0]["name"] if settings_json.get("tenants") else ""
        self.write(settings_json)
        self.json_bytes = self.config.stat().st_size
        self.interpreter = self._interpreter(self.link)
        environ = {name: text for name, text in os.environ.items() if not name.startswith("NODE_")}
        extra = []
        if operator:
            (folder / "operator.kdl").write_text(operator)
            extra = ["--operator", str(folder / "operator.kdl")]
        began = time.monotonic()
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-O", "-m", "mulleinhatch", "serve", "--config", str(self.config), *extra],
                stderr=log,
                env=environ,
            )
        self.watched = psutil.Process(self.process.pid)
        try:
            self._wait_until_serving(began)
        except BaseException:
            self.stop()
            raise

    def __enter__(self) -> SingleInstance:
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def write(self, settings_json: dict[str, Any]) -> None:
        """Write the settings file for the next start or reload atomically."""
        config_json = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "vm": f"127.0.0.1:{self.link}",
            "seed": "5",
            "stop_ms": 100,
            "limits": {"sockets": self.sockets},
            "settings": settings_json,
        }
        new = self.config.with_suffix(".new")
        new.write_text(json.dumps(config_json))
        new.replace(self.config)

    @staticmethod
    def _interpreter(port: int) -> subprocess.Popen[bytes]:
        process = subprocess.Popen(
            [sys.executable, "-m", "mulleinhatch.testing.fake_interpreter", str(port), str(CORES), "1.0", "0.0"],
            stdout=subprocess.DEVNULL,
        )
        until = time.monotonic() + 15.0
        while time.monotonic() < until:
            try:
                socket.create_connection(("127.0.0.1", port), 1.0).close()
                return process
            except OSError:
                time.sleep(0.02)
        process.kill()
        raise TimeoutError(f"no interpreter at {port}")

    def _wait_until_serving(self, began: float) -> None:
        """Wait until a health check succeeds, then until a request does; record time, CPU and memory.

        Requests are served only after the interpreter's banner, which takes a while with large settings.
        """
        self._wait_until("live", began, lambda: self.get("/status/live"))
        self.ready_s, self.ready_cpu_s = time.monotonic() - began, self.cpu()
        self._wait_until("serving", began, self._request)
        self.serving_s, self.serving_cpu_s = time.monotonic() - began, self.cpu()
        time.sleep(0.3)  # until the first gauge readings
        self.ready_bytes, self.peak_bytes = self.memory(), self.peak()

    def _wait_until(self, what: str, began: float, probe: Callable[[], str]) -> None:
        while time.monotonic() - began < STARTUP_TIMEOUT_S:
            if self.process.poll() is not None:
                raise RuntimeError(f"the instance ended with {self.process.returncode}: {self.log.read_text()[-400:]}")
            try:
                if probe().startswith("HTTP/1.1 200"):
                    return
            except OSError:
                pass
            time.sleep(0.01)
        raise TimeoutError(f"not {what} within {STARTUP_TIMEOUT_S:.0f} s: {self.log.read_text()[-400:]}")

    def _request(self) -> str:
        ref, tenant = f"{random.getrandbits(64):016x}", f"X-Tenant: {self.first_tenant}\r\n" if self.first_tenant else ""
        body = f"0.10 {ref}"
        return self._exchange(
            f"POST /svc/c0 HTTP/1.1\r\nHost: x\r\nX-Request-Id: {ref}\r\nX-Request-Start: "
            f"{1000.0 * time.time():.0f}\r\nX-Memory-Kb: 1.0\r\nX-Timeout-Ms: 4000\r\nConnection: close\r\n"
            f"{tenant}Content-Length: {len(body)}\r\n\r\n{body}"
        )

    def get(self, path: str) -> str:
        """Return the complete response to an HTTP GET."""
        return self._exchange(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")

    def _exchange(self, request: str) -> str:
        with socket.create_connection(("127.0.0.1", self.port), 5.0) as sock:
            sock.settimeout(30.0)
            sock.sendall(request.encode())
            pieces = []
            while piece := sock.recv(65536):
                pieces.append(piece)
        return b"".join(pieces).decode()

    def counters(self) -> dict[str, int]:
        """Return the counters."""
        body = self.get("/status/counters").partition("\r\n\r\n")[2]
        return {name: int(count) for name, _, count in (line.partition("=") for line in body.splitlines())}

    def cpu(self) -> float:
        """Return the CPU seconds used so far."""
        return cpu_seconds(self.watched)

    def memory(self) -> int:
        """Return the unique memory in bytes."""
        return self.watched.memory_full_info().uss

    def peak(self) -> int:
        """Return the peak resident memory in bytes since the start or `reset_peak`, including shared libraries."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return 1024 * int(status.partition("VmHWM:")[2].split()[0])

    def reset_peak(self) -> None:
        """Reset the peak."""
        Path(f"/proc/{self.process.pid}/clear_refs").write_text("5")

    def deferred_settings(self) -> str:
        """Return the settings that the last reload deferred to a restart, from the log."""
        return self.log.read_text().rpartition("left_until_restart=")[2].split(maxsplit=1)[0] if self.log.exists() else ""

    def reload(self) -> None:
        """Make the instance reload its settings file."""
        self.process.send_signal(signal.SIGHUP)

    def stop(self) -> None:
        """Kill both processes."""
        for process in (self.process, self.interpreter):
            if process.poll() is None:
                process.kill()
            process.wait()


class RunningLoad:
    """A running load generator, which has started when the constructor returns."""

    def __init__(self, port: int, rate: float, run_for: float, **habits: Any) -> None:
        self.run_for = run_for
        self.process = subprocess.Popen(
            [sys.executable, "-m", "mulleinhatch.testing.load_generator"], stdin=subprocess.PIPE, stdout=subprocess.PIPE
        )
        self.process.stdin.write(json.dumps({"port": port, "rate": rate, "run_for": run_for, **habits}).encode() + b"\n")
        self.process.stdin.flush()
        if self.process.stdout.readline() != b"up\n":
            self.process.wait()
            raise RuntimeError(f"the load generator ended with {self.process.returncode}")

    def done(self) -> dict[str, Any]:
        """Wait for the report."""
        try:
            out = self.process.communicate(timeout=self.run_for + 30.0)[0]
        except subprocess.TimeoutExpired:
            self.process.kill()
            raise
        return json.loads(out)


def run_load(single_instance: SingleInstance, rate: float, run_for: float, **habits: Any) -> dict[str, Any]:
    """Run a generator against the instance; return its report with the instance's CPU, and its memory after 80% of the run."""
    running_load = RunningLoad(single_instance.port, rate, run_for, **habits)
    cpu, at = single_instance.cpu(), time.monotonic()
    time.sleep(0.8 * run_for)
    memory = single_instance.memory()
    report = running_load.done()
    cpu, took = single_instance.cpu() - cpu, time.monotonic() - at
    return {**report, "cpu_ms": 1000.0 * cpu / max(1, report["answered"]), "core": cpu / took, "memory": memory, "took": took}
