"""Run both planes of one source tree as processes on loopback under a small fixed load, and measure them externally.

The planes come from the measured tree. The model server and the clients run in the benchmark's process and speak plain HTTP
without importing the package, so that trees with other module names get the same load. A round starts one control
plane and one data plane, leaves them idle, sends heartbeats, requests and streams at fixed rates, and kills them.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from statistics import median, quantiles

from benchmarks import deployed_tree
from benchmarks.footprint_play import tree_environment

SETTINGS_VARIABLE = "MULLEINHATCH_NODE_FILE"
CONTROL_PORT, INTERNAL_PORT, FRONT_PORT, READY_PORT, MODEL_PORT = 18146, 17660, 18144, 18140, 18300
HOST, MODEL = "footprint.example", "model-0"
REQUESTS_PER_S = 100.0  # the rate of the small sites
READY_TIMEOUT_S = 30.0
READY_POLL_S = 0.002
EVENTS_PER_STREAM, EVENT_GAP_S = 20, 0.005
STREAMS_PER_S = 10.0


@dataclass(frozen=True)
class Load:
    """The load of a round: idle times in seconds and numbers of messages."""

    settle_s: float
    idle_s: float
    heartbeats: int
    requests: int
    streams: int


FULL_LOAD = Load(settle_s=1.0, idle_s=2.0, heartbeats=300, requests=600, streams=25)
QUICK_LOAD = Load(settle_s=0.5, idle_s=0.5, heartbeats=100, requests=200, streams=8)


@dataclass(frozen=True)
class Message:
    """A request or response: first line, fields by lower-case name, body."""

    first_line: bytes
    fields: dict[bytes, bytes]
    body: bytes

    @property
    def status(self) -> int:
        """The status code of a response."""
        return int(self.first_line.split()[1])


def message_bytes(first_line: bytes, fields: dict[bytes, bytes], body: bytes = b"") -> bytes:
    """Return a message with a `Content-Length`."""
    lines = [b"%b: %b" % field for field in fields.items()]
    return b"\r\n".join([first_line, *lines, b"Content-Length: %d" % len(body), b"", body])


async def read_message(reader: asyncio.StreamReader, arrivals: list[float] | None = None) -> Message:
    """Read one message.

    Args:
        reader: Reader of the connection.
        arrivals: If given, receives the seconds from sending to arrival of each event of a stream.

    Raises:
        IncompleteReadError: If the connection ends before the message does.
    """
    head = (await reader.readuntil(b"\r\n\r\n"))[:-4].split(b"\r\n")
    fields = {name.lower(): value.strip() for name, _, value in (line.partition(b":") for line in head[1:])}
    if fields.get(b"transfer-encoding", b"").lower() != b"chunked":
        return Message(head[0], fields, await reader.readexactly(int(fields.get(b"content-length", b"0"))))
    body, seen_events = b"", 0
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += (await reader.readexactly(size + 2))[:-2]
        now = time.perf_counter_ns()
        *events, _ = body.split(b"\n\n")
        if arrivals is not None:
            arrivals += [1e-9 * (now - int(event.rpartition(b"data: ")[2])) for event in events[seen_events:]]
        seen_events = len(events)
    await reader.readuntil(b"\r\n")
    return Message(head[0], fields, body)


class Client:
    """Sends requests to one address over persistent connections."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def send(self, request: bytes, arrivals: list[float] | None = None) -> Message:
        """Send one request and return the response."""
        reader, writer = self._idle.pop() if self._idle else await asyncio.open_connection(*self.address)
        try:
            writer.write(request)
            answer = await asyncio.wait_for(read_message(reader, arrivals), 10.0)
        except BaseException:
            writer.close()
            raise
        if answer.fields.get(b"connection", b"").lower() == b"close":
            writer.close()
        else:
            self._idle.append((reader, writer))
        return answer

    def close(self) -> None:
        """Close all connections."""
        for _, writer in self._idle:
            writer.close()


class ModelServer:
    """A model server that responds immediately; the events of its streams carry the time at which they were sent."""

    def __init__(self, address: tuple[str, int], control: tuple[str, int]) -> None:
        self.address, self.identity = address, f"i-{random.getrandbits(40):010x}"
        self.answered = 0
        self._control, self._sequence = Client(control), 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Listen, and register once a second."""
        self._server = await asyncio.start_server(self._serve_connection, *self.address)
        self._tasks.append(asyncio.ensure_future(self._register()))

    def stop(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        for writer in list(self._writers):
            writer.close()
        if self._server is not None:
            self._server.close()
        self._control.close()

    async def _register(self) -> None:
        while True:
            await self.heartbeat()
            await asyncio.sleep(1.0)

    async def heartbeat(self) -> int:
        """Register at the control plane and return the status of the response."""
        self._sequence += 1
        body = {
            "service": "writer",
            "address": "%s:%d" % self.address,
            "zone": "zone-0",
            "version": "v1",
            "slots": 16,
            "state": "ready",
            "cold_remaining_ms": 0,
            "models": self._model_states(),
            "sequence": self._sequence,
        }
        fields = {b"Host": b"control", b"Content-Type": b"application/json"}
        line = f"PUT /instances/{self.identity} HTTP/1.1".encode()
        return (await self._control.send(message_bytes(line, fields, json.dumps(body).encode()))).status

    @staticmethod
    def _model_states() -> list[dict[str, object]]:
        return [{"name": MODEL, "version": 1, "adapters": []}]

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                await self._answer(await read_message(reader), writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        target = request.first_line.split()[1]
        fields = {b"Instance-Id": self.identity.encode()}
        if target == b"/report":
            report = {"models": self._model_states(), "busy": False, "sequence": 0, "waiting": 0, "running": 0}
            writer.write(message_bytes(b"HTTP/1.1 200 OK", fields, json.dumps(report).encode()))
        elif target == b"/health":
            writer.write(message_bytes(b"HTTP/1.1 200 OK", fields))
        elif target == b"/order":
            writer.write(message_bytes(b"HTTP/1.1 409 Conflict", fields, b'{"message": "takes no orders"}'))
        else:
            self.answered += 1
            fields = {b"Request-Id": request.fields.get(b"request-id", b""), b"Server-Signature": self.identity.encode()}
            if target.startswith(b"/write/"):
                await self._stream(fields, writer)
            else:
                writer.write(message_bytes(b"HTTP/1.1 200 OK", fields, b"at once"))

    @staticmethod
    async def _stream(fields: dict[bytes, bytes], writer: asyncio.StreamWriter) -> None:
        fields = {**fields, b"Content-Type": b"text/event-stream", b"Transfer-Encoding": b"chunked"}
        lines = b"".join(b"%b: %b\r\n" % field for field in fields.items())
        writer.write(b"HTTP/1.1 200 OK\r\n%b\r\n" % lines)
        for number in range(1, EVENTS_PER_STREAM + 1):
            await asyncio.sleep(EVENT_GAP_S)
            event = b"id: %d\ndata: %d\n\n" % (number, time.perf_counter_ns())
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        writer.write(b"0\r\n\r\n")


def processor_s(pid: int) -> float:
    """Return the processor time of all threads of a process in seconds, from its CPU-time clock."""
    return time.clock_gettime(~pid << 3 | 2)


def memory_mb(pid: int, name: str) -> float:
    """Return a value of /proc/PID/status, such as VmRSS or VmHWM, in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(name + ":"):
            return int(line.split()[1]) / 1024.0
    raise KeyError(name)


def free_loopback() -> str:
    """Return a loopback address on which none of the ports is in use."""
    ports = (CONTROL_PORT, *range(INTERNAL_PORT, INTERNAL_PORT + 10), FRONT_PORT, READY_PORT, MODEL_PORT)
    while True:
        address = f"127.{random.randrange(64, 250)}.{random.randrange(1, 250)}.1"
        try:
            for port in ports:
                with socket.socket() as probe:
                    probe.bind((address, port))
        except OSError:
            continue
        return address


def settings_text(kind: str, address: str, folder: Path) -> str:
    """Return the settings file of a plane in a system with one control plane and one data plane."""
    lines = {
        "node_name": f"{kind}-0",
        "ip_address": address,
        "zone": "zone-0",
        "region": "here",
        "internal_port_range": f"{INTERNAL_PORT},{INTERNAL_PORT + 9}",
        "seeds": f"{address}:{CONTROL_PORT}",
        "first_start": "true",
        "fault_tolerance.machines": 0,
        "heartbeat_interval_ms": 1000,
    }
    if kind == "control":
        lines |= {"listen.control": f"{address}:{CONTROL_PORT}", "data_directory": folder / "control"}
    else:
        lines |= {"listen.front": f"{address}:{FRONT_PORT}", "listen.ready": f"{address}:{READY_PORT}"}
    return "".join(f"{name}={value}\n" for name, value in lines.items())


def configuration() -> dict[str, object]:
    """Return a configuration with a route for single responses and one for streams, to one service with one model."""
    common = {
        "host": HOST,
        "timeout_ms": 8000,
        "target_latency_ms": 2000,
        "priority": 0,
        "service": "writer",
        "max_attempts": 2,
    }
    routes = [
        {**common, "name": "read", "path_prefix": "/read/", "kind": "safe"},
        {**common, "name": "write", "path_prefix": "/write/", "kind": "streaming", "resumable": True, "gap_aim_ms": 400},
    ]
    models = [{"name": MODEL, "weights_mb": 60.0, "load_s": 0.8, "adapters": 4, "adapter_size_mb": 1.0}]
    engine = {"slots": 16, "models": models, "weights_mb": 200.0, "adapter_slots": 4, "loads_per_s": 2.0}
    services = [{"name": "writer", "connection_limit": 100, "engine": engine}]
    return {"version": 1, "routes": routes, "services": services, "limits": {}}


def request_bytes(path: bytes) -> bytes:
    """Return one request of a client, with a random ID."""
    fields = {
        b"Host": HOST.encode(),
        b"Request-Id": b"%016x" % random.getrandbits(64),
        b"Model": MODEL.encode(),
        b"Token-Usage": b"800,40",
        b"Request-Deadline": b"8000",
    }
    return message_bytes(b"POST %b HTTP/1.1" % path, fields, b"dear")


class Plane:
    """Runs one plane of a tree as a process."""

    def __init__(self, tree: Path, kind: str, address: str, folder: Path) -> None:
        path = folder / f"{kind}.conf"
        path.write_text(settings_text(kind, address, folder))
        self.log = path.with_suffix(".log")
        self.ready_at = (address, CONTROL_PORT if kind == "control" else READY_PORT)
        self.ready_path = b"/status" if kind == "control" else b"/ready"
        self._started_at = time.perf_counter()
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                deployed_tree.command(tree, kind),
                cwd=tree,
                env={**deployed_tree.environment(tree), SETTINGS_VARIABLE: str(path)},
                stdout=log,
                stderr=log,
            )

    @property
    def pid(self) -> int:
        """The process ID."""
        return self.process.pid

    async def ready(self) -> float:
        """Wait until the plane is ready.

        Returns:
            Seconds since it was started.

        Raises:
            TimeoutError: If it is not ready in time or has exited.
        """
        request = message_bytes(b"GET %b HTTP/1.1" % self.ready_path, {b"Host": b"plane"})
        while time.perf_counter() - self._started_at < READY_TIMEOUT_S and self.process.poll() is None:
            client = Client(self.ready_at)
            try:
                if (await client.send(request)).status == 200:
                    return time.perf_counter() - self._started_at
            except (OSError, asyncio.IncompleteReadError):
                pass
            finally:
                client.close()
            await asyncio.sleep(READY_POLL_S)
        raise TimeoutError(f"{self.process.args} was not ready: {self.log.read_text()[-2000:]}")

    def end(self) -> None:
        """Kill the process."""
        self.process.kill()
        self.process.wait()


async def run_at_rate(count: int, rate: float, action) -> None:
    """Start `action(number)` at a fixed rate, however long earlier calls take; return when all are done."""
    loop = asyncio.get_running_loop()
    started_at, tasks = loop.time(), []
    for number in range(count):
        await asyncio.sleep(max(0.0, started_at + number / rate - loop.time()))
        tasks.append(asyncio.ensure_future(action(number)))
    await asyncio.gather(*tasks)


async def put_configuration(control: Client) -> None:
    """Send the initial configuration until the control plane accepts it.

    Raises:
        TimeoutError: If it was not accepted in time.
    """
    fields = {b"Host": b"control", b"Content-Type": b"application/json", b"If-Match": b"0"}
    request = message_bytes(b"PUT /configuration HTTP/1.1", fields, json.dumps(configuration()).encode())
    end = time.perf_counter() + READY_TIMEOUT_S
    while (answer := await control.send(request)).status != 200:
        if time.perf_counter() > end:
            raise TimeoutError(f"the configuration was not accepted: {answer.status} {answer.body[:500]!r}")
        await asyncio.sleep(0.02)


async def wait_until_served(data_plane: Client) -> None:
    """Send requests until one is served.

    Raises:
        TimeoutError: If none was served in time.
    """
    end = time.perf_counter() + READY_TIMEOUT_S
    while (answer := await data_plane.send(request_bytes(b"/read/first"))).status != 200:
        if time.perf_counter() > end:
            raise TimeoutError(f"no request was served: {answer.status} {answer.body[:500]!r}")
        await asyncio.sleep(0.02)


async def measure_round(tree: Path, load: Load) -> dict[str, float]:
    """Start both planes of a tree, measure them idle and under load, and kill them.

    Args:
        tree: Folder with control_plane.py and data_plane.py.
        load: The load of the round.

    Returns:
        The figures by name; lower is better.
    """
    address, figures = free_loopback(), {}
    planes: dict[str, Plane] = {}
    server = ModelServer((address, MODEL_PORT), (address, CONTROL_PORT))
    control, data_plane = Client((address, CONTROL_PORT)), Client((address, FRONT_PORT))
    direct = Client(server.address)
    with tempfile.TemporaryDirectory(prefix="mulleinhatch-footprint-") as folder:
        try:
            for kind in ("control", "data"):
                planes[kind] = Plane(tree, kind, address, Path(folder))
                figures[f"{kind} start, ms"] = 1000.0 * await planes[kind].ready()
                figures[f"{kind} start, processor ms"] = 1000.0 * processor_s(planes[kind].pid)
                if kind == "control":
                    await put_configuration(control)
                    await server.start()
            await wait_until_served(data_plane)
            await asyncio.sleep(load.settle_s)
            pids = {kind: plane.pid for kind, plane in planes.items()}
            for kind, pid in pids.items():
                figures[f"{kind} rest, MB"] = memory_mb(pid, "VmRSS")
            before = {kind: processor_s(pid) for kind, pid in pids.items()}
            await asyncio.sleep(load.idle_s)
            for kind, pid in pids.items():
                figures[f"{kind} idle, processor ms a second"] = 1000.0 * (processor_s(pid) - before[kind]) / load.idle_s
            await _measure_load(figures, pids, server, data_plane, direct, load)
            await asyncio.sleep(load.settle_s)
            for kind, pid in pids.items():
                figures[f"{kind} after load, MB"] = memory_mb(pid, "VmRSS")
                figures[f"{kind} peak, MB"] = memory_mb(pid, "VmHWM")
        finally:
            for client in (control, data_plane, direct):
                client.close()
            server.stop()
            for plane in planes.values():
                plane.end()
    return figures


async def _measure_load(
    figures: dict[str, float], pids: dict[str, int], server: ModelServer, data_plane: Client, direct: Client, load: Load
) -> None:
    figures["control heartbeat, processor us"] = await _measure_heartbeats(pids["control"], server, load.heartbeats)
    figures |= await _measure_requests(pids["data"], server, data_plane, direct, load.requests)
    figures |= await _measure_streams(pids["data"], data_plane, direct, load.streams)


async def _measure_heartbeats(pid: int, server: ModelServer, count: int) -> float:
    """Return the processor time of the control plane per heartbeat, in us."""

    async def heartbeat(number: int) -> None:
        if (status := await server.heartbeat()) != 200:
            raise RuntimeError(f"heartbeat {number} was answered {status}")

    before = processor_s(pid)
    await run_at_rate(count, REQUESTS_PER_S, heartbeat)
    return 1e6 * (processor_s(pid) - before) / count


async def _measure_requests(pid: int, server: ModelServer, data_plane: Client, direct: Client, count: int) -> dict[str, float]:
    """Return the processor time of the data plane per request and the latency that it adds."""
    figures: dict[str, float] = {}
    latencies: dict[Client, list[float]] = {data_plane: [], direct: []}
    for client in (direct, data_plane):  # each opens its connections before the figures are taken

        async def send_request(number: int, client: Client = client) -> None:
            started_at = time.perf_counter()
            answer = await client.send(request_bytes(b"/read/%d" % number))
            latencies[client].append(time.perf_counter() - started_at)
            if answer.status != 200:
                raise RuntimeError(f"request {number} was answered {answer.status}")

        before, answered = processor_s(pid), server.answered
        await run_at_rate(count, REQUESTS_PER_S, send_request)
        if server.answered - answered != count:
            raise RuntimeError(f"{count} requests were run {server.answered - answered} times")
        if client is data_plane:
            figures["data request, processor us"] = 1e6 * (processor_s(pid) - before) / count
    base = median(latencies[direct])
    figures["request added median, us"] = 1e6 * (median(latencies[data_plane]) - base)
    figures["request added p99, us"] = 1e6 * (quantiles(latencies[data_plane], n=100)[98] - base)
    return figures


async def _measure_streams(pid: int, data_plane: Client, direct: Client, count: int) -> dict[str, float]:
    """Return the processor time of the data plane per stream event and the latency that it adds."""
    figures: dict[str, float] = {}
    latencies: dict[Client, list[float]] = {data_plane: [], direct: []}
    for client in (direct, data_plane):

        async def stream(number: int, client: Client = client) -> None:
            answer = await client.send(request_bytes(b"/write/%d" % number), latencies[client])
            if answer.status != 200 or answer.body.count(b"\n\n") != EVENTS_PER_STREAM:
                raise RuntimeError(f"stream {number} was answered {answer.status} {answer.body[-200:]!r}")

        before = processor_s(pid)
        await run_at_rate(count, STREAMS_PER_S, stream)
        if client is data_plane:
            figures["data stream event, processor us"] = 1e6 * (processor_s(pid) - before) / (count * EVENTS_PER_STREAM)
    figures["event added median, us"] = 1e6 * (median(latencies[data_plane]) - median(latencies[direct]))
    return figures


def origin(tree: Path) -> str:
    """Return the folder from which a child process of this tree imports the package.

    Raises:
        RuntimeError: If it is outside the tree.
    """
    package_file = subprocess.run(
        [sys.executable, "-O", "-c", "import mulleinhatch; print(mulleinhatch.__file__)"],
        cwd=tree,
        env=tree_environment(tree),
        capture_output=True,
        text=True,
        check=True,
    ).stdout.strip()
    if not Path(package_file).resolve().is_relative_to(tree):
        raise RuntimeError(f"{tree}: the package would be imported from {package_file}")
    return os.path.dirname(package_file)
