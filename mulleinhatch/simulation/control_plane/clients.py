"""Who uses the core: operators that change and read the configuration, backends that come and leave, data planes that poll."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any

from mulleinhatch.configuration.document import change_digest
from mulleinhatch.data_plane.control_plane_client import ControlPlaneClient
from mulleinhatch.data_plane.control_plane_snapshot import ControlPlaneSnapshot
from mulleinhatch.networking.http_client import HttpCallError, HttpResponse
from mulleinhatch.simulation.control_plane.machines import Machine, process_settings
from mulleinhatch.simulation.control_plane.network import Network
from mulleinhatch.simulation.virtual_time import Process

CALL_S = 1.0  # an operator or backend waits so long for an answer
MOST_REDIRECTS = 2
MOST_TRIES = 14
ACK_LOST_PART = 0.2
HEARTBEAT_S = 1.2
BACKEND_SERVES_S = (1.0, 9.0)  # from a backend's start to the word that it leaves
DRAIN_S = 2.0
CONFIGURATION = "/configuration"


@dataclass
class Sent:
    """A change that an operator sent."""

    method: str
    base: int
    body: bytes
    version: int
    note: str
    answers: list[int] = field(default_factory=list)
    acknowledged_at: float = -1.0

    @property
    def digest(self) -> str:
        return change_digest(self.method, self.body)


class Caller:
    """Calls to the `control` address of core machines, following where they send on."""

    def __init__(self, world: Any) -> None:
        self._world = world
        self._network = Network(world, self, None)

    async def call(self, machine: Machine, method: str, path: str, body: bytes, base: int | None = None) -> HttpResponse | None:
        """The last answer, None where none came."""
        address = machine.control_address
        headers = {} if base is None else {"if-match": str(base)}
        for _ in range(MOST_REDIRECTS + 1):
            try:
                answer = await self._network.request(address, method, path, body, CALL_S, headers=headers)
            except HttpCallError:
                return None
            if answer.status != 307:
                return answer
            address = answer.head["Location"].removeprefix("http://").partition("/")[0]
        return None


class Operator:
    """Sends changes on top of what it believes to be current, each again and again until the answer is clear."""

    def __init__(self, world: Any, name: str) -> None:
        self._world, self._name = world, name
        self._caller = Caller(world)
        self._number = 0

    async def run(self) -> None:
        world = self._world
        while world.loop.time() < world.trouble_s:
            await asyncio.sleep(world.chance.uniform(*world.pace_s))
            sent = self.change(world.watch.believed)
            world.watch.sends(sent)
            await self.until_clear(sent)
            if sent.acknowledged_at >= 0 and world.chance.random() < 0.1:
                await asyncio.sleep(world.chance.uniform(0.0, 3.0))
                await self._again(sent)

    def change(self, base: int) -> Sent:
        """A change that builds on a version."""
        self._number += 1
        version, note = base + self._world.chance.randint(1, 2), f"{self._name}-{self._number}"
        if base and self._world.chance.random() < 0.5:
            value: dict[str, Any] = {"version": version, "upsert": {"services": [{"name": "noted", "note": note}]}}
            return Sent("PATCH", base, json.dumps(value).encode(), version, note)
        value = {"version": version, "routes": [], "services": [{"name": "noted", "note": note}]}
        return Sent("PUT", base, json.dumps(value).encode(), version, note)

    async def _send(self, sent: Sent) -> int:
        """One try at a machine by chance; the status, 0 where there is no answer or it was lost on its way."""
        machine = self._world.chance.choice(self._world.machines)
        answer = await self._caller.call(machine, sent.method, CONFIGURATION, sent.body, sent.base)
        if answer is None or self._world.chance.random() < ACK_LOST_PART:
            return 0
        return answer.status

    async def until_clear(self, sent: Sent) -> None:
        """Sends a change until it is acknowledged or refused, or was sent too often."""
        for _ in range(MOST_TRIES):
            status = await self._send(sent)
            if status and status < 500:
                self._world.watch.answered(sent, status)
                return
            await asyncio.sleep(self._world.chance.uniform(0.02, 0.4))

    async def _again(self, sent: Sent) -> None:
        """A change that was acknowledged comes once more: it may be acknowledged again, never refused."""
        status = await self._send(sent)
        if status and status < 500:
            self._world.watch.answered(sent, status)


class Reader:
    """Reads the configuration now and then, at any machine."""

    def __init__(self, world: Any) -> None:
        self._world = world
        self._caller = Caller(world)

    async def run(self) -> None:
        while self._world.loop.time() < self._world.trouble_s:
            await asyncio.sleep(self._world.chance.uniform(0.05, 0.5))
            await self.read()

    async def read(self) -> bool:
        """Whether a read was answered."""
        watch, machine = self._world.watch, self._world.chance.choice(self._world.machines)
        before = watch.newest_acknowledged
        answer = await self._caller.call(machine, "GET", CONFIGURATION, b"")
        if answer is None or answer.status != 200:
            return False
        watch.was_read(json.loads(answer.body), before)
        return True


class Backend:
    """One backend after another: each serves for a while and leaves, with `draining` first or with DELETE alone."""

    def __init__(self, world: Any, number: int) -> None:
        self._world, self._number = world, number
        self._caller = Caller(world)
        self._starts = 0
        self._sequence = 0

    async def run(self) -> None:
        while self._world.loop.time() < self._world.trouble_s:
            self._starts += 1
            self._sequence = 0
            await self._life(f"stub-{self._number}.{self._starts}")

    async def _life(self, backend_id: str) -> None:
        world = self._world
        leaves_at = world.loop.time() + world.chance.uniform(*BACKEND_SERVES_S)
        while world.loop.time() < leaves_at:
            await self._heartbeat(backend_id, "ready")
            await asyncio.sleep(min(HEARTBEAT_S, max(0.05, leaves_at - world.loop.time())))
        silent = world.chance.random() < 0.4
        await self._leave(backend_id, "DELETE" if silent else "PUT")
        await asyncio.sleep(DRAIN_S)
        if not silent:
            await self._leave(backend_id, "DELETE")

    async def _heartbeat(self, backend_id: str, state: str) -> bool:
        machine = self._world.chance.choice(self._world.machines)
        answer = await self._caller.call(machine, "PUT", f"/instances/{backend_id}", self._record(state))
        return answer is not None and answer.status == 200

    def _record(self, state: str) -> bytes:
        self._sequence += 1
        address = f"10.9.0.{self._number}:{8000 + self._starts}"
        record = {"service": "noted", "address": address, "slots": 4, "state": state, "sequence": self._sequence}
        return json.dumps(record).encode()

    async def _leave(self, backend_id: str, method: str) -> None:
        world = self._world
        for _ in range(MOST_TRIES):
            machine = world.chance.choice(world.machines)
            body = self._record("draining") if method == "PUT" else b""
            answer = await self._caller.call(machine, method, f"/instances/{backend_id}", body)
            if answer is not None and answer.status == 200 and world.chance.random() >= ACK_LOST_PART:
                world.watch.leave_acknowledged(backend_id)
                return
            await asyncio.sleep(world.chance.uniform(0.02, 0.4))


class DataPlane:
    """One data plane: the real link to the control plane, and what it would act by."""

    def __init__(self, world: Any, number: int) -> None:
        self._world, self.number = world, number
        self.ip = f"10.1.0.{number + 1}"
        self.snapshot = ControlPlaneSnapshot()
        self.process: Process | None = None
        self.started_at = 0.0

    def start(self) -> None:
        self.stop()
        world = self._world
        self.snapshot, self.started_at = ControlPlaneSnapshot(), world.loop.time()
        self.process = Process(f"data-{self.number}")
        settings = process_settings(world, f"data-{self.number}", self.ip)
        link = ControlPlaneClient(settings, Network(world, self, self.process), world.loop.time, self._swap)  # type: ignore[arg-type]
        world.loop.start(link.run(), self.process)

    def _swap(self, snapshot: ControlPlaneSnapshot) -> None:
        if snapshot.table.version < self.snapshot.table.version:
            self._world.watch.breaks(f"data plane {self.number} went back to version {snapshot.table.version}")
        self.snapshot = snapshot

    def stop(self) -> None:
        if self.process is not None:
            self.process.dead = True
        self.process = None

    def uses(self, backend_id: str) -> bool:
        """Whether requests may go to a backend."""
        backend = self.snapshot.backends.by_id.get(backend_id)
        return backend is not None and not backend.draining
