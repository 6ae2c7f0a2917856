"""Clients of the control plane: operators change and read the configuration, backends start and leave, data planes poll."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any

from mulleinhatch.configuration.document import change_digest
from mulleinhatch.data_plane.control_plane_client import SLICE_S, ControlPlaneClient
from mulleinhatch.data_plane.control_plane_snapshot import ControlPlaneSnapshot
from mulleinhatch.networking.http_client import HttpCallError, HttpResponse
from mulleinhatch.process.loop_watch import LoopWatch
from mulleinhatch.process.time_slices import TimeSlicer
from mulleinhatch.simulation.control_plane.machines import Machine, process_settings
from mulleinhatch.simulation.control_plane.network import Network
from mulleinhatch.simulation.virtual_time import Process

CALL_TIMEOUT_S = 1.0  # timeout of a call by an operator or a backend
MAX_REDIRECTS = 2
MAX_ATTEMPTS = 14
ACK_LOSS_PROBABILITY = 0.2
HEARTBEAT_S = 1.2
BACKEND_SERVES_S = (1.0, 9.0)  # from a backend's start to the announcement of its departure
DRAIN_S = 2.0
CONFIGURATION = "/configuration"
INVALID_FRACTION = 0.2  # of the large changes


@dataclass
class SubmittedChange:
    """A change that an operator sent, with the statuses of the answers that arrived."""

    method: str
    base: int
    body: bytes
    version: int
    note: str
    routes: int = 0
    submitted_at: float = -1.0
    answers: list[int] = field(default_factory=list)
    answered_at: float = -1.0
    acknowledged_at: float = -1.0

    @property
    def digest(self) -> str:
        """The digest by which the replicated state knows the change."""
        return change_digest(self.method, self.body)


class ControlApiClient:
    """Calls the `control` address of control-plane nodes and follows redirects."""

    def __init__(self, world: Any) -> None:
        self._world = world
        self._network = Network(world, self, None)

    async def call(self, machine: Machine, method: str, path: str, body: bytes, base: int | None = None) -> HttpResponse | None:
        """Return the last response, or None if there was none."""
        address = machine.control_address
        headers = {} if base is None else {"if-match": str(base)}
        for _ in range(MAX_REDIRECTS + 1):
            try:
                response = await self._network.request(address, method, path, body, CALL_TIMEOUT_S, headers=headers)
            except HttpCallError:
                return None
            if response.status != 307:
                return response
            address = response.head["Location"].removeprefix("http://").partition("/")[0]
        return None


def tenant_of(note: str) -> dict[str, Any]:
    """Return the tenant of each configuration, with a key and a limit that the change with this note gave it."""
    return {"name": "tenant", "api_keys": [f"key-{note}"], "rate_per_s": 100 + len(note), "burst": 10}


def routes_of(count: int) -> list[dict[str, Any]]:
    """Return so many valid routes to the service of each configuration, with the fields that operators set."""
    return [
        {
            "name": f"route-{number}",
            "host": f"host-{number % 97}.example",
            "path_prefix": f"/path-{number}/",
            "kind": "streaming",
            "timeout_ms": 5000,
            "target_latency_ms": 1000,
            "priority": number % 3,
            "max_attempts": 2,
            "gap_aim_ms": 500,
            "sticky": True,
            "resumable": False,
            "traffic_split": [{"service": "noted", "weight": 90}, {"service": "noted", "weight": 10}],
        }
        for number in range(count)
    ]


class Operator:
    """Sends changes that build on the newest version it knows; repeats each until it is acknowledged or rejected."""

    def __init__(self, world: Any, name: str) -> None:
        self._world, self._name = world, name
        self._client = ControlApiClient(world)
        self._number = 0

    async def run(self) -> None:
        """Send changes until the fault period ends."""
        world = self._world
        while world.loop.time() < world.plan.fault_period_s:
            await asyncio.sleep(world.rng.uniform(*world.plan.change_interval_s))
            sent = self.drawn_change(world.checker.assumed_version)
            world.checker.record_submission(sent)
            await self.send_until_answered(sent)
            if sent.acknowledged_at >= 0 and world.rng.random() < 0.1:
                await asyncio.sleep(world.rng.uniform(0.0, 3.0))
                await self._resend(sent)

    def large_change(self, base: int, routes: list[dict[str, Any]]) -> SubmittedChange:
        """Create a patch with many routes that builds on a version."""
        self._number += 1
        version, note = base + 1, f"{self._name}-{self._number}"
        upsert = {"routes": routes, "services": [{"name": "noted", "note": note}], "tenants": [tenant_of(note)]}
        body = json.dumps({"version": version, "upsert": upsert}).encode()
        return SubmittedChange("PATCH", base, body, version, note, len(routes))

    def drawn_change(self, base: int) -> SubmittedChange:
        """Create a small change, or a large one, which may be invalid."""
        rng, fraction = self._world.rng, self._world.plan.large_change_fraction
        if not base or not fraction or rng.random() >= fraction:
            return self.change(base)
        routes = routes_of(rng.choice(self._world.plan.large_change_routes))
        if rng.random() < INVALID_FRACTION:
            routes[-1]["timeout_ms"] = 0
        return self.large_change(base, routes)

    def change(self, base: int) -> SubmittedChange:
        """Create a change that builds on a version."""
        self._number += 1
        version, note = base + self._world.rng.randint(1, 2), f"{self._name}-{self._number}"
        made: dict[str, Any] = {"services": [{"name": "noted", "note": note}], "tenants": [tenant_of(note)]}
        if base and self._world.rng.random() < 0.5:
            value: dict[str, Any] = {"version": version, "upsert": made}
            return SubmittedChange("PATCH", base, json.dumps(value).encode(), version, note)
        value = {"version": version, "routes": [], **made}
        return SubmittedChange("PUT", base, json.dumps(value).encode(), version, note)

    async def _send(self, sent: SubmittedChange) -> int:
        """Send a change once, to a random machine; return the status, or 0 if the response was missing or lost."""
        machine = self._world.rng.choice(self._world.machines)
        answer = await self._client.call(machine, sent.method, CONFIGURATION, sent.body, sent.base)
        if answer is None or self._world.rng.random() < ACK_LOSS_PROBABILITY:
            return 0
        return answer.status

    async def send_until_answered(self, sent: SubmittedChange) -> None:
        """Send a change until it is acknowledged or rejected, at most `MAX_ATTEMPTS` times."""
        for _ in range(MAX_ATTEMPTS):
            status = await self._send(sent)
            if status and status < 500:
                self._world.checker.record_answer(sent, status)
                return
            await asyncio.sleep(self._world.rng.uniform(0.02, 0.4))

    async def _resend(self, sent: SubmittedChange) -> None:
        """Send an acknowledged change once more: it may be acknowledged again, never rejected."""
        status = await self._send(sent)
        if status and status < 500:
            self._world.checker.record_answer(sent, status)


class Reader:
    """Reads the configuration at random times, from random machines."""

    def __init__(self, world: Any) -> None:
        self._world = world
        self._client = ControlApiClient(world)

    async def run(self) -> None:
        """Read until the fault period ends."""
        while self._world.loop.time() < self._world.plan.fault_period_s:
            await asyncio.sleep(self._world.rng.uniform(0.05, 0.5))
            await self.read()

    async def read(self) -> bool:
        """Read once; return whether the read was answered."""
        checker, machine = self._world.checker, self._world.rng.choice(self._world.machines)
        before = checker.newest_acknowledged
        answer = await self._client.call(machine, "GET", CONFIGURATION, b"")
        if answer is None or answer.status != 200:
            return False
        checker.record_read(json.loads(answer.body), before)
        return True


class Backend:
    """A sequence of backends at one address: each serves for a while and leaves, with `draining` first or with DELETE only."""

    def __init__(self, world: Any, number: int) -> None:
        self._world, self._number = world, number
        self._client = ControlApiClient(world)
        self._starts = 0
        self._sequence = 0

    async def run(self) -> None:
        """Run backends until the fault period ends."""
        while self._world.loop.time() < self._world.plan.fault_period_s:
            self._starts += 1
            self._sequence = 0
            await self._run_incarnation(f"stub-{self._number}.{self._starts}")

    async def _run_incarnation(self, backend_id: str) -> None:
        world = self._world
        leaves_at = world.loop.time() + world.rng.uniform(*BACKEND_SERVES_S)
        while world.loop.time() < leaves_at:
            await self._heartbeat(backend_id, "ready")
            await asyncio.sleep(min(HEARTBEAT_S, max(0.05, leaves_at - world.loop.time())))
        silent = world.rng.random() < 0.4
        await self._leave(backend_id, "DELETE" if silent else "PUT")
        await asyncio.sleep(DRAIN_S)
        if not silent:
            await self._leave(backend_id, "DELETE")

    async def _heartbeat(self, backend_id: str, state: str) -> bool:
        machine = self._world.rng.choice(self._world.machines)
        answer = await self._client.call(machine, "PUT", f"/instances/{backend_id}", self._record(state))
        return answer is not None and answer.status == 200

    def _record(self, state: str) -> bytes:
        self._sequence += 1
        address = f"10.9.0.{self._number}:{8000 + self._starts}"
        record = {"service": "noted", "address": address, "slots": 4, "state": state, "sequence": self._sequence}
        return json.dumps(record).encode()

    async def _leave(self, backend_id: str, method: str) -> None:
        world = self._world
        for _ in range(MAX_ATTEMPTS):
            machine = world.rng.choice(world.machines)
            body = self._record("draining") if method == "PUT" else b""
            answer = await self._client.call(machine, method, f"/instances/{backend_id}", body)
            if answer is not None and answer.status == 200 and world.rng.random() >= ACK_LOSS_PROBABILITY:
                world.checker.record_leave(backend_id)
                return
            await asyncio.sleep(world.rng.uniform(0.02, 0.4))


class DataPlane:
    """A data plane: the real client of the control plane, and the snapshot that it would use for routing."""

    def __init__(self, world: Any, number: int) -> None:
        self._world, self.number = world, number
        self.ip = f"10.1.0.{number + 1}"
        self.snapshot = ControlPlaneSnapshot()
        self.process: Process | None = None
        self.started_at = 0.0

    def start(self) -> None:
        """Start a new process of the data plane, without any state."""
        self.stop()
        world = self._world
        self.snapshot, self.started_at = ControlPlaneSnapshot(), world.loop.time()
        self.process = Process(f"data-{self.number}")
        settings = process_settings(world, f"data-{self.number}", self.ip)
        slicer = TimeSlicer(LoopWatch(), SLICE_S, self.process.processor_time)
        network = Network(world, self, self.process)
        link = ControlPlaneClient(settings, network, world.loop.time, self._swap, slicer=slicer)  # type: ignore[arg-type]
        world.loop.start(link.run(), self.process)

    def _swap(self, snapshot: ControlPlaneSnapshot) -> None:
        if snapshot.table.version < self.snapshot.table.version:
            self._world.checker.record_violation(f"data plane {self.number} went back to version {snapshot.table.version}")
        self.snapshot = snapshot

    def stop(self) -> None:
        """Kill the process."""
        if self.process is not None:
            self.process.dead = True
        self.process = None

    def uses(self, backend_id: str) -> bool:
        """Return whether the data plane may send requests to a backend."""
        backend = self.snapshot.backends.by_id.get(backend_id)
        return backend is not None and not backend.draining
