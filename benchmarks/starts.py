"""How long instances take to be ready when many start at once, some while their address is held or their interpreter is late.

Usage:
  starts [--quick] [--seed N] [--count N]

Options:
  --quick    12 instances.
  --seed N   Of which are held up [default: 1].
  --count N  Else 30, all started in one moment.

Ready is who answers a health check with 200 and has greeted its interpreter. A third find their address held for a second, a
third their interpreter not listening for a second and a half. Beside the time from the start stands what was waited for longer
than needed: from when nothing held it up any more. Aims: nine in ten ready within 10 s, all in the end; the wait beyond need
under 1.5 s for nine in ten of the held up, beside the median start of the others.
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

HELD, LATE, GIVE_UP = 1.0, 1.5, 30.0  # seconds
CHECK = b"GET /status/live HTTP/1.1\r\nHost: x\r\n\r\n"


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as free:
        return free.getsockname()[1]


def told(name: str, port: int, link: int) -> dict[str, Any]:
    return {
        "name": name,
        "listen": f"127.0.0.1:{port}",
        "vm": f"127.0.0.1:{link}",
        "seed": "5",
        "stop_ms": 100,
        "settings": {
            "classes": [{"name": "read", "effect": "safe", "aim": 1000.0, "deadline": 2000.0, "worth": 1.0}],
            "family_info": {"cores": 1, "gauges": ["core_use"]},
            "tick": 2.0,
        },
    }


async def healthy(port: int) -> bool:
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return False
    try:
        writer.write(CHECK)
        return (await asyncio.wait_for(reader.readline(), 1.0)).startswith(b"HTTP/1.1 200")
    except (OSError, TimeoutError):
        return False
    finally:
        writer.close()


class One:
    def __init__(self, number: int, cause: str, folder: Path) -> None:
        self.cause, self.port, self.link = cause, free_port(), free_port()
        self.path = folder / f"{number}.json"
        self.path.write_text(json.dumps(told(f"n{number}", self.port, self.link)))
        self.greeted = asyncio.Event()
        self.ready = GIVE_UP

    async def greet(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if b"CONNECT" in await reader.readline():
            writer.write(b'{"t":"BANNER","status":"old","time_ms":3600000}\n')
            self.greeted.set()
        while await reader.readline():
            pass
        writer.close()

    async def start(self) -> None:
        holder = socket.create_server(("127.0.0.1", self.port)) if self.cause == "address held" else None
        server = None if self.cause == "interpreter late" else await asyncio.start_server(self.greet, "127.0.0.1", self.link)
        since = time.monotonic()
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-O", "-m", "mulleinhatch", "serve", "--config", self.path, "--log", "error"
        )
        if holder:
            asyncio.get_running_loop().call_later(HELD, holder.close)
        if server is None:
            await asyncio.sleep(LATE)
            server = await asyncio.start_server(self.greet, "127.0.0.1", self.link)
        try:
            while time.monotonic() - since < GIVE_UP:
                if self.greeted.is_set() and not (holder and time.monotonic() - since < HELD) and await healthy(self.port):
                    self.ready = time.monotonic() - since
                    return
                await asyncio.sleep(0.02)
        finally:
            process.terminate()
            await process.wait()
            server.close()

    @property
    def beyond_need(self) -> float:
        return self.ready - {"address held": HELD, "interpreter late": LATE}.get(self.cause, 0.0)


async def measure(count: int, seed: int) -> list[One]:
    causes = (["nothing", "address held", "interpreter late"] * count)[:count]
    random.Random(seed).shuffle(causes)
    with tempfile.TemporaryDirectory() as folder:
        ones = [One(number, cause, Path(folder)) for number, cause in enumerate(causes)]
        await asyncio.gather(*(one.start() for one in ones))
    return ones


def quantile(values: list[float], part: float) -> float:
    return sorted(values)[min(len(values) - 1, int(part * len(values)))]


def main() -> int:
    asked = docopt(__doc__)
    keep_environment()
    os.environ.pop("NODE_NAME", None)
    count = int(asked["--count"] or (12 if asked["--quick"] else 30))
    ones = asyncio.run(measure(count, int(asked["--seed"])))
    table = Table("held up by", "instances", "ready, s: median", "nine in ten", "most", "beyond need, nine in ten")
    figures: dict[str, Any] = {}
    for cause in ("nothing", "address held", "interpreter late"):
        ready = [one.ready for one in ones if one.cause == cause]
        beyond = [one.beyond_need for one in ones if one.cause == cause]
        figures[cause] = {
            "median": quantile(ready, 0.5),
            "nine": quantile(ready, 0.9),
            "most": max(ready),
            "beyond": quantile(beyond, 0.9),
        }
        table.add_row(cause, str(len(ready)), *(f"{figures[cause][name]:.2f}" for name in ("median", "nine", "most", "beyond")))
    Console().print(table)
    usual = figures["nothing"]["median"]
    holds = {
        "nine in ten within 10 s": quantile([one.ready for one in ones], 0.9) <= 10.0,
        "all ready": max(one.ready for one in ones) < GIVE_UP,
        "no wait beyond need": max(figures["address held"]["beyond"], figures["interpreter late"]["beyond"]) < 1.5 + usual,
    }
    print(json.dumps({"benchmark": "starts", "count": count, "figures": figures, "holds": holds}))
    return 0 if all(holds.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
