"""Run a complete system on one machine: three control-plane nodes, two data planes, simulated backends, streaming clients.

Each node is a process with its own loopback address; all of them end with the demonstration.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import subprocess
import sys
import tempfile
import uuid
from dataclasses import dataclass, field
from pathlib import Path

from mulleinhatch.networking.http_client import HttpCallError, HttpClient
from mulleinhatch.networking.http_streaming import write_request
from mulleinhatch.process.settings import FILE_VARIABLE
from mulleinhatch.testing.fake_model_server import FakeModelServer, FakeModelServerConfig

ROOT = Path(__file__).resolve().parents[3]
SERVICE, HOST = "writer", "demo.example"
MODELS = [f"model-{number}" for number in range(8)]
MODEL_MB, BACKEND_MB = 60.0, 200.0
CLIENTS = 12
CONTROL_PORT, INTERNAL_PORT, FRONT_PORT, READY_PORT, BACKEND_PORT = 18146, 17660, 18144, 18140, 18300
STATUS_INTERVAL_S = 2.0


@dataclass
class ClientTally:
    """Outcomes of the clients' requests."""

    served: int = 0
    rejected: int = 0
    failed: int = 0
    first_token_s: list[float] = field(default_factory=list)


def control_plane_ip(number: int) -> str:
    """Return the loopback address of a control-plane node."""
    return f"127.1.{number}.1"


def data_plane_ip(number: int) -> str:
    """Return the loopback address of a data plane."""
    return f"127.2.{number}.1"


def write_settings(folder: Path, kind: str, number: int, control_nodes: int, first: bool) -> Path:
    """Write the settings file of one node.

    Args:
        folder: The directory of the file and of the persisted state.
        kind: "control" or "data".
        number: The number of the node among those of its kind.
        control_nodes: The number of control-plane nodes.
        first: Whether the whole system starts for the first time.

    Returns:
        The path of the file.
    """
    ip = control_plane_ip(number) if kind == "control" else data_plane_ip(number)
    lines = [
        f"node_name={kind}-{number}",
        f"ip_address={ip}",
        f"zone=zone-{number}",
        "region=here",
        f"internal_port_range={INTERNAL_PORT},{INTERNAL_PORT + 9}",
        "seeds=" + ",".join(f"{control_plane_ip(node)}:{CONTROL_PORT}" for node in range(control_nodes)),
        f"first_start={str(first).lower()}",
        f"fault_tolerance.machines={1 if control_nodes > 2 else 0}",
        "heartbeat_interval_ms=1000",
    ]
    if kind == "control":
        lines += [f"listen.control={ip}:{CONTROL_PORT}", f"data_directory={folder}/{kind}-{number}"]
    else:
        lines += [f"listen.front={ip}:{FRONT_PORT}", f"listen.ready={ip}:{READY_PORT}"]
    path = folder / f"{kind}-{number}.conf"
    path.write_text("\n".join(lines) + "\n")
    return path


def start_plane(folder: Path, kind: str, number: int, control_nodes: int, first: bool = True) -> subprocess.Popen[bytes]:
    """Start one node as a process; its log goes to a file beside its settings (see `write_settings` for the arguments)."""
    path = write_settings(folder, kind, number, control_nodes, first)
    script = "control_plane.py" if kind == "control" else "data_plane.py"
    with open(path.with_suffix(".log"), "ab") as log:
        return subprocess.Popen(
            [sys.executable, script], cwd=ROOT, env={**os.environ, FILE_VARIABLE: str(path)}, stdout=log, stderr=log
        )


def configuration(version: int = 1) -> dict:
    """Return a configuration with one streaming route and one service."""
    route = {
        "name": "write",
        "host": HOST,
        "path_prefix": "/write/",
        "kind": "streaming",
        "timeout_ms": 8000,
        "target_latency_ms": 2000,
        "priority": 0,
        "service": SERVICE,
        "max_attempts": 2,
        "resumable": True,
        "gap_aim_ms": 400,
    }
    models = [{"name": name, "weights_mb": MODEL_MB, "load_s": 0.8, "adapters": 4, "adapter_size_mb": 1.0} for name in MODELS]
    engine = {"slots": 16, "models": models, "weights_mb": BACKEND_MB, "adapter_slots": 4, "loads_per_s": 2.0}
    return {
        "version": version,
        "routes": [route],
        "services": [{"name": SERVICE, "connection_limit": 100, "engine": engine}],
        "limits": {},
    }


async def put_configuration(client: HttpClient, address: str, within_s: float = 20.0) -> None:
    """Send the first configuration until a control-plane node accepts it.

    Raises:
        TimeoutError: No control-plane node accepted it within `within_s` seconds.
    """
    loop = asyncio.get_running_loop()
    end, target = loop.time() + within_s, address
    while loop.time() < end:
        try:
            response = await client.request(
                target,
                "PUT",
                "/configuration",
                json.dumps(configuration()).encode(),
                2.0,
                "application/json",
                ((b"If-Match", b"0"),),
            )
            if response.status == 200:
                return
            if response.status == 307:
                target = response.head.field_values[b"location"].decode().removeprefix("http://").partition("/")[0]
        except HttpCallError:
            target = address
        await asyncio.sleep(0.2)
    raise TimeoutError("no control plane accepted the configuration; see the logs in the demonstration's folder")


def make_backends(count: int, control: list[str]) -> list[FakeModelServer]:
    """Return simulated backends that send heartbeats to the control-plane nodes."""
    backends = []
    for number in range(count):
        config = FakeModelServerConfig(
            SERVICE,
            f"127.3.{number}.1:{BACKEND_PORT}",
            f"zone-{number % 2}",
            16,
            BACKEND_MB,
            4,
            dict.fromkeys(MODELS, MODEL_MB),
            0.8,
        )
        backends.append(FakeModelServer(config, control, {MODELS[number % 4]: set()}))
    return backends


async def send_request(data_plane: str, model: str, tally: ClientTally) -> str:
    """Send one streaming request, count its outcome and return its id."""
    request_id = uuid.uuid4().hex[:16]
    fields = [
        (b"Host", HOST.encode()),
        (b"Request-Id", request_id.encode()),
        (b"Model", model.encode()),
        (b"Token-Usage", b"800,40"),
        (b"Prompt-Prefix", b"aa:300,%b:500" % request_id[:8].encode()),
        (b"Request-Deadline", b"8000"),
    ]
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    try:
        host, _, port = data_plane.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(write_request(b"POST", b"/write/letter", fields, b"dear"))
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 9.0)
        if b" 200 " in head.split(b"\r\n")[0]:
            body = b""
            while not body.endswith(b"0\r\n\r\n"):
                data = await asyncio.wait_for(reader.read(65536), 9.0)
                if not data:
                    raise ConnectionError("connection closed before the end of the response")
                if not body:
                    tally.first_token_s.append(loop.time() - started_at)
                body += data
            tally.served += 1
        else:
            tally.rejected += 1
        writer.close()
    except (OSError, asyncio.IncompleteReadError):
        tally.failed += 1
    return request_id


async def _client(data_planes: list[str], tally: ClientTally, until: float) -> None:
    loop = asyncio.get_running_loop()
    while loop.time() < until:
        model = MODELS[min(len(MODELS) - 1, int(random.expovariate(0.6)))]
        adapter = f"/a{random.randrange(1, 5)}" if random.random() < 0.3 else ""
        await send_request(random.choice(data_planes), model + adapter, tally)
        await asyncio.sleep(random.uniform(0.0, 0.3))


def print_status(backends: list[FakeModelServer], tally: ClientTally, left_s: float) -> None:
    """Print the clients' outcomes and the models of each backend."""
    first = sorted(tally.first_token_s) or [0.0]
    print(
        f"\n{max(0.0, left_s):4.0f} s left   served {tally.served}  rejected {tally.rejected}  failed {tally.failed}  "
        f"first token p50 {1000 * first[len(first) // 2]:.0f} ms, p95 {1000 * first[int(0.95 * (len(first) - 1))]:.0f} ms"
    )
    print(f"{'backend':<14}{'running':>8}  models")
    for backend in backends:
        loaded = ", ".join(
            name + (f" ({', '.join(sorted(adapters))})" if adapters else "")
            for name, adapters in sorted(backend.models.items())
        )
        print(f"{backend.id:<14}{backend.running:>8}  {loaded}")


async def _demo(seconds: float, folder: Path) -> ClientTally:
    control_nodes, data_planes, client, tally = 3, 2, HttpClient(), ClientTally()
    planes = [start_plane(folder, "control", number, control_nodes) for number in range(control_nodes)]
    planes += [start_plane(folder, "data", number, control_nodes) for number in range(data_planes)]
    control = [f"{control_plane_ip(number)}:{CONTROL_PORT}" for number in range(control_nodes)]
    backends = make_backends(4, control)
    try:
        for backend in backends:
            await backend.start()
        await put_configuration(client, control[0])
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        addresses = [f"{data_plane_ip(number)}:{FRONT_PORT}" for number in range(data_planes)]
        clients = [asyncio.ensure_future(_client(addresses, tally, until)) for _ in range(CLIENTS)]
        while loop.time() < until:
            await asyncio.sleep(min(STATUS_INTERVAL_S, max(0.05, until - loop.time())))
            print_status(backends, tally, until - loop.time())
        await asyncio.gather(*clients)
        return tally
    finally:
        for backend in backends:
            await backend.crash()
        await asyncio.sleep(0.1)
        for plane in planes:
            plane.kill()
        for plane in planes:
            plane.wait()


def run_demo(seconds: float) -> None:
    """Run the demonstration with `seconds` of traffic."""
    with tempfile.TemporaryDirectory(prefix="mulleinhatch-demo-") as folder:
        tally = asyncio.run(_demo(seconds, Path(folder)))
        print(f"\nserved {tally.served}, rejected {tally.rejected}, failed {tally.failed}")
