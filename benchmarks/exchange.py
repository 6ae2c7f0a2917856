"""Measure what a data plane adds to a request and to an event of a stream, beside a plain relay in the same run.

Usage:
  exchange [--quick] [--rounds N]

Options:
  --quick     One round with less load.
  --rounds N  Rounds; else 5.

A round starts a control plane, a data plane and the relay as processes, sends requests and streams at the rates of the small
sites to the backend itself, through the relay and through the data plane, in turn, and takes the difference of each quantile to
the direct way. The table has the medians over the rounds; the last line is JSON with "holds", the status is 1 where an aim is
missed.
"""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from statistics import median, quantiles

from docopt import docopt
from rich.console import Console
from rich.table import Table

from benchmarks import deployed_tree
from benchmarks.footprint_planes import (
    CONTROL_PORT,
    EVENTS_A_STREAM,
    FRONT_PORT,
    MODEL_PORT,
    REQUESTS_A_S,
    STREAMS_A_S,
    Client,
    ModelServer,
    Plane,
    at_rate,
    free_loopback,
    put_configuration,
    request_bytes,
    until_served,
)

ROOT = Path(__file__).parent.parent
RELAY_PORT = 18160
ROUNDS = 5
REQUESTS, STREAMS = 600, 40
QUICK_REQUESTS, QUICK_STREAMS = 200, 10
REQUESTS_WARM_UP = 50  # each way opens its connections
MAX_ADDED_P99_MS = 2.0
QUANTILES = {"p50": 49, "p99": 98}

Latencies = dict[str, list[float]]  # by way: direct, relay, data plane


async def _measure_requests(ways: dict[str, Client], count: int) -> Latencies:
    latencies: Latencies = {way: [] for way in ways}
    for way, client in ways.items():

        async def ask(number: int, way: str = way, client: Client = client) -> None:
            started_at = time.perf_counter()
            answer = await client.send(request_bytes(b"/read/%d" % number))
            if answer.status != 200:
                raise RuntimeError(f"{way}: request {number} was answered {answer.status}")
            latencies[way].append(time.perf_counter() - started_at)

        await at_rate(count, REQUESTS_A_S, ask)
    return latencies


async def _measure_events(ways: dict[str, Client], count: int) -> Latencies:
    latencies: Latencies = {way: [] for way in ways}
    for way, client in ways.items():

        async def stream(number: int, way: str = way, client: Client = client) -> None:
            answer = await client.send(request_bytes(b"/write/%d" % number), latencies[way])
            if answer.status != 200 or answer.body.count(b"\n\n") != EVENTS_A_STREAM:
                raise RuntimeError(f"{way}: stream {number} was answered {answer.status}")

        await at_rate(count, STREAMS_A_S, stream)
    return latencies


def added_ms(latencies: Latencies, what: str) -> dict[str, float]:
    """Return by how much each way's quantiles exceed the direct way's, in ms.

    >>> added_ms({"direct": [0.001] * 100, "relay": [0.002] * 100}, "request")
    {'request p50, relay': 1.0, 'request p99, relay': 1.0}
    """
    by_way = {way: quantiles(values, n=100) for way, values in latencies.items()}
    return {
        f"{what} {name}, {way}": round(1000.0 * (values[place] - by_way["direct"][place]), 6)
        for way, values in by_way.items()
        if way != "direct"
        for name, place in QUANTILES.items()
    }


async def _with_system(work: Callable[[dict[str, Client]], Awaitable[dict[str, float]]]) -> dict[str, float]:
    """Start backend, planes and relay, and return what `work` measures on the ways to the backend."""
    address = free_loopback()
    server = ModelServer((address, MODEL_PORT), (address, CONTROL_PORT))
    control = Client((address, CONTROL_PORT))
    ports = {"direct": MODEL_PORT, "relay": RELAY_PORT, "data plane": FRONT_PORT}
    ways = {way: Client((address, port)) for way, port in ports.items()}
    processes: list[Plane] = []
    arguments = [sys.executable, "-m", "benchmarks.plain_relay", f"{address}:{RELAY_PORT}", f"{address}:{MODEL_PORT}"]
    relay = subprocess.Popen(arguments, cwd=ROOT)
    with tempfile.TemporaryDirectory(prefix="mulleinhatch-exchange-") as folder:
        try:
            for kind in ("control", "data"):
                processes.append(Plane(ROOT, kind, address, Path(folder)))
                await processes[-1].ready()
                if kind == "control":
                    await put_configuration(control)
                    await server.start()
            for way in ("relay", "data plane"):
                await until_served(ways[way])
            return await work(ways)
        finally:
            for client in (control, *ways.values()):
                client.close()
            server.stop()
            for plane in processes:
                plane.end()
            relay.kill()
            relay.wait()


async def measure_round(requests: int, streams: int) -> dict[str, float]:
    """Return the added times of one round, in ms, by name."""

    async def work(ways: dict[str, Client]) -> dict[str, float]:
        await _measure_requests(ways, REQUESTS_WARM_UP)
        added = added_ms(await _measure_requests(ways, requests), "request")
        return added | added_ms(await _measure_events(ways, streams), "event")

    return await _with_system(work)


def main() -> int:
    """Measure, print the table and the JSON line; return 1 if an aim is missed."""
    options = docopt(__doc__)
    quick = bool(options["--quick"])
    rounds = int(options["--rounds"] or (1 if quick else ROUNDS))
    load = (QUICK_REQUESTS, QUICK_STREAMS) if quick else (REQUESTS, STREAMS)
    deployed_tree.build(ROOT)
    measured = [asyncio.run(measure_round(*load)) for _ in range(rounds)]
    figures = {name: round(median(figures[name] for figures in measured), 3) for name in measured[0]}
    table = Table("added time, ms", "relay", "data plane")
    for name in dict.fromkeys(name.partition(",")[0] for name in figures):
        table.add_row(name, f"{figures[f'{name}, relay']:.3f}", f"{figures[f'{name}, data plane']:.3f}")
    Console(width=100).print(table)
    holds = {
        f"{what} p99 below {MAX_ADDED_P99_MS} ms": figures[f"{what} p99, data plane"] < MAX_ADDED_P99_MS
        for what in ("request", "event")
    }
    print(json.dumps({"benchmark": "exchange", "quick": quick, "rounds": rounds, "figures": figures, "holds": holds}))
    return 0 if all(holds.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
