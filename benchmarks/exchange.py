"""Measure the latency that a data plane adds to requests and stream events, compared with a plain TCP relay.

Usage:
  exchange [--quick] [--rounds N]

Options:
  --quick     One round with less load.
  --rounds N  Number of rounds; without it 5.

A round starts a control plane, a data plane and the relay as processes. At the rates of the small sites it sends requests and
streams directly to the backend, then through the relay, then through the data plane, and computes how far each quantile exceeds
the direct one. The table shows the medians over the rounds. The last line is JSON with "holds"; the exit status is 1 if an
objective is missed.
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
    EVENTS_PER_STREAM,
    FRONT_PORT,
    MODEL_PORT,
    REQUESTS_PER_S,
    STREAMS_PER_S,
    Client,
    ModelServer,
    Plane,
    free_loopback,
    put_configuration,
    request_bytes,
    run_at_rate,
    wait_until_served,
)

ROOT = Path(__file__).parent.parent
RELAY_PORT = 18160
ROUNDS = 5
REQUESTS, STREAMS = 600, 40
QUICK_REQUESTS, QUICK_STREAMS = 200, 10
REQUESTS_WARM_UP = 50  # requests by which each client opens its connections
MAX_ADDED_P99_MS = 2.0
QUANTILES = {"p50": 49, "p99": 98}

Latencies = dict[str, list[float]]  # in seconds, by route: direct, relay, data plane


async def _measure_requests(clients: dict[str, Client], count: int) -> Latencies:
    latencies: Latencies = {route: [] for route in clients}
    for route, client in clients.items():

        async def send_request(number: int, route: str = route, client: Client = client) -> None:
            started_at = time.perf_counter()
            answer = await client.send(request_bytes(b"/read/%d" % number))
            if answer.status != 200:
                raise RuntimeError(f"{route}: request {number} was answered {answer.status}")
            latencies[route].append(time.perf_counter() - started_at)

        await run_at_rate(count, REQUESTS_PER_S, send_request)
    return latencies


async def _measure_events(clients: dict[str, Client], count: int) -> Latencies:
    latencies: Latencies = {route: [] for route in clients}
    for route, client in clients.items():

        async def stream(number: int, route: str = route, client: Client = client) -> None:
            answer = await client.send(request_bytes(b"/write/%d" % number), latencies[route])
            if answer.status != 200 or answer.body.count(b"\n\n") != EVENTS_PER_STREAM:
                raise RuntimeError(f"{route}: stream {number} was answered {answer.status}")

        await run_at_rate(count, STREAMS_PER_S, stream)
    return latencies


def added_ms(latencies: Latencies, operation: str) -> dict[str, float]:
    """Return by how many ms the quantiles of each route exceed those of the direct route.

    >>> added_ms({"direct": [0.001] * 100, "relay": [0.002] * 100}, "request")
    {'request p50, relay': 1.0, 'request p99, relay': 1.0}
    """
    quantiles_by_route = {route: quantiles(values, n=100) for route, values in latencies.items()}
    return {
        f"{operation} {name}, {route}": round(1000.0 * (values[index] - quantiles_by_route["direct"][index]), 6)
        for route, values in quantiles_by_route.items()
        if route != "direct"
        for name, index in QUANTILES.items()
    }


async def _with_system(work: Callable[[dict[str, Client]], Awaitable[dict[str, float]]]) -> dict[str, float]:
    """Start backend, planes and relay, and return what `work` measures with the clients of the routes to the backend."""
    address = free_loopback()
    server = ModelServer((address, MODEL_PORT), (address, CONTROL_PORT))
    control = Client((address, CONTROL_PORT))
    ports = {"direct": MODEL_PORT, "relay": RELAY_PORT, "data plane": FRONT_PORT}
    clients = {route: Client((address, port)) for route, port in ports.items()}
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
            for route in ("relay", "data plane"):
                await wait_until_served(clients[route])
            return await work(clients)
        finally:
            for client in (control, *clients.values()):
                client.close()
            server.stop()
            for plane in processes:
                plane.end()
            relay.kill()
            relay.wait()


async def measure_round(requests: int, streams: int) -> dict[str, float]:
    """Return the added latencies of one round, in ms, by name."""

    async def work(clients: dict[str, Client]) -> dict[str, float]:
        await _measure_requests(clients, REQUESTS_WARM_UP)
        added = added_ms(await _measure_requests(clients, requests), "request")
        return added | added_ms(await _measure_events(clients, streams), "event")

    return await _with_system(work)


def main() -> int:
    """Measure, print the table and the JSON line; return 1 if an objective is missed."""
    options = docopt(__doc__)
    quick = bool(options["--quick"])
    rounds = int(options["--rounds"] or (1 if quick else ROUNDS))
    load = (QUICK_REQUESTS, QUICK_STREAMS) if quick else (REQUESTS, STREAMS)
    deployed_tree.build(ROOT)
    measured = [asyncio.run(measure_round(*load)) for _ in range(rounds)]
    figures = {name: round(median(figures[name] for figures in measured), 3) for name in measured[0]}
    table = Table("added latency, ms", "relay", "data plane")
    for name in dict.fromkeys(name.partition(",")[0] for name in figures):
        table.add_row(name, f"{figures[f'{name}, relay']:.3f}", f"{figures[f'{name}, data plane']:.3f}")
    Console(width=100).print(table)
    holds = {
        f"{operation} p99 below {MAX_ADDED_P99_MS} ms": figures[f"{operation} p99, data plane"] < MAX_ADDED_P99_MS
        for operation in ("request", "event")
    }
    print(json.dumps({"benchmark": "exchange", "quick": quick, "rounds": rounds, "figures": figures, "holds": holds}))
    return 0 if all(holds.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
