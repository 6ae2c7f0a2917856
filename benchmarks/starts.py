"""Measure the start time of many instances that start at once, some delayed by a busy address or a late interpreter.

Usage:
  starts [--quick] [--seed N] [--count N]

Options:
  --quick    12 instances.
  --seed N   Seed that selects the delayed instances [default: 1].
  --count N  Number of instances, all started at the same time; without it 30.

An instance is ready when it answers a health check with 200 and has greeted its interpreter. For a third of the instances the
address is in use for a second; for another third the interpreter does not listen for 1.5 s. The "time beyond need" of a delayed
instance is measured from the end of its delay. Objectives: 90 % ready within 10 s and all within 30 s; for 90 % of the delayed
instances, a time beyond need under 1.5 s plus the median start time of undelayed instances.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import socket
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from docopt import docopt
from rich.console import Console
from rich.table import Table

from mulleinhatch.testing.instance_harness import keep_environment

ADDRESS_BUSY_S, INTERPRETER_DELAY_S, READY_TIMEOUT_S = 1.0, 1.5, 30.0
HEALTH_CHECK = b"GET /status/live HTTP/1.1\r\nHost: x\r\n\r\n"


def free_port() -> int:
    """Return a port of the loopback address that is free now."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return listener.getsockname()[1]


def instance_settings(name: str, port: int, interpreter_port: int) -> dict[str, Any]:
    """Return the configuration of one instance."""
    return {
        "name": name,
        "listen": f"127.0.0.1:{port}",
        "vm": f"127.0.0.1:{interpreter_port}",
        "seed": "5",
        "stop_ms": 100,
        "settings": {
            "classes": [{"name": "read", "effect": "safe", "aim": 1000.0, "deadline": 2000.0, "worth": 1.0}],
            "family_info": {"cores": 1, "gauges": ["core_use"]},
            "tick": 2.0,
        },
    }


async def is_healthy(port: int) -> bool:
    """Return whether the instance answers a health check with 200."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return False
    try:
        writer.write(HEALTH_CHECK)
        return (await asyncio.wait_for(reader.readline(), 1.0)).startswith(b"HTTP/1.1 200")
    except (OSError, TimeoutError):
        return False
    finally:
        writer.close()


class StartingInstance:
    """One starting instance and its fake interpreter.

    Attributes:
        cause: Cause of the delay, "nothing" for none.
        ready: Seconds from the start until it was ready.
    """

    def __init__(self, number: int, cause: str, folder: Path) -> None:
        self.cause, self.port, self.interpreter_port = cause, free_port(), free_port()
        self.path = folder / f"{number}.json"
        self.path.write_text(json.dumps(instance_settings(f"n{number}", self.port, self.interpreter_port)))
        self.greeted = asyncio.Event()
        self.ready = READY_TIMEOUT_S

    async def serve_interpreter(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the instance's greeting as its interpreter."""
        if b"CONNECT" in await reader.readline():
            writer.write(b'{"t":"BANNER","status":"old","time_ms":3600000}\n')
            self.greeted.set()
        while await reader.readline():
            pass
        writer.close()

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        blocking_socket = socket.create_server(("127.0.0.1", self.port)) if self.cause == "address held" else None
        server = (
            None
            if self.cause == "interpreter late"
            else await asyncio.start_server(self.serve_interpreter, "127.0.0.1", self.interpreter_port)
        )
        started_at = time.monotonic()
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-O", "-m", "mulleinhatch", "serve", "--config", self.path, "--log", "error"
        )
        if blocking_socket:
            asyncio.get_running_loop().call_later(ADDRESS_BUSY_S, blocking_socket.close)
        if server is None:
            await asyncio.sleep(INTERPRETER_DELAY_S)
            server = await asyncio.start_server(self.serve_interpreter, "127.0.0.1", self.interpreter_port)
        try:
            while time.monotonic() - started_at < READY_TIMEOUT_S:
                if (
                    self.greeted.is_set()
                    and not (blocking_socket and time.monotonic() - started_at < ADDRESS_BUSY_S)
                    and await is_healthy(self.port)
                ):
                    self.ready = time.monotonic() - started_at
                    return
                await asyncio.sleep(0.02)
        finally:
            process.terminate()
            await process.wait()
            server.close()

    @property
    def beyond_need(self) -> float:
        """Seconds from the end of the delay until it was ready."""
        return self.ready - {"address held": ADDRESS_BUSY_S, "interpreter late": INTERPRETER_DELAY_S}.get(self.cause, 0.0)


async def measure(count: int, seed: int) -> list[StartingInstance]:
    """Start all instances at the same time and wait for them."""
    causes = (["nothing", "address held", "interpreter late"] * count)[:count]
    random.Random(seed).shuffle(causes)
    with tempfile.TemporaryDirectory() as folder:
        instances = [StartingInstance(number, cause, Path(folder)) for number, cause in enumerate(causes)]
        await asyncio.gather(*(instance.start() for instance in instances))
    return instances


def quantile(values: list[float], fraction: float) -> float:
    """Return a quantile of the values."""
    return sorted(values)[min(len(values) - 1, int(fraction * len(values)))]


def main() -> int:
    """Run the benchmark; return 1 if an objective is missed."""
    options = docopt(__doc__)
    keep_environment()
    os.environ.pop("NODE_NAME", None)
    count = int(options["--count"] or (12 if options["--quick"] else 30))
    instances = asyncio.run(measure(count, int(options["--seed"])))
    table = Table("delayed by", "instances", "ready, s: median", "90 %", "max", "beyond need, 90 %")
    figures: dict[str, Any] = {}
    for cause in ("nothing", "address held", "interpreter late"):
        ready = [instance.ready for instance in instances if instance.cause == cause]
        beyond_need = [instance.beyond_need for instance in instances if instance.cause == cause]
        figures[cause] = {
            "median": quantile(ready, 0.5),
            "nine": quantile(ready, 0.9),
            "most": max(ready),
            "beyond": quantile(beyond_need, 0.9),
        }
        table.add_row(cause, str(len(ready)), *(f"{figures[cause][name]:.2f}" for name in ("median", "nine", "most", "beyond")))
    Console().print(table)
    median_start_s = figures["nothing"]["median"]
    holds = {
        "nine in ten within 10 s": quantile([instance.ready for instance in instances], 0.9) <= 10.0,
        "all ready": max(instance.ready for instance in instances) < READY_TIMEOUT_S,
        "no wait beyond need": max(figures["address held"]["beyond"], figures["interpreter late"]["beyond"])
        < 1.5 + median_start_s,
    }
    print(json.dumps({"benchmark": "starts", "count": count, "figures": figures, "holds": holds}))
    return 0 if all(holds.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
