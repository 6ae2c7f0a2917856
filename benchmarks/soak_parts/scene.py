"""Run one soak: start all processes, run clients, operator and faults concurrently, then check the recovery."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable
from dataclasses import dataclass
from pathlib import Path

from benchmarks.soak_parts.backends import RecordingBackend
from benchmarks.soak_parts.bounds import SoakBounds
from benchmarks.soak_parts.changes import SERVICE, Operator, initial_document, tenant
from benchmarks.soak_parts.clients import Client, Exchange, PlannedRequest
from benchmarks.soak_parts.fault_injection import FaultInjector
from benchmarks.soak_parts.fleet import Fleet
from benchmarks.soak_parts.leaks import find_leaks
from benchmarks.soak_parts.records import Observations
from mulleinhatch.networking.http_client import HttpCallError, HttpClient

START_TIMEOUT_S = 30.0
POLL_S = 0.1
STALL_PROBE_S = 0.05
CHANGE_PAUSE_S = (0.2, 1.5)
AFTER_LAST_CHANGE_S = 6.0  # seconds of traffic after the apply time: most of a quota window under the lower limit
MAX_REJECTED_CHANGES = 20  # the operator stops: further rejections add no information
CLIENTS_PER_DATA_PLANE = 4


@dataclass(frozen=True)
class SoakSize:
    """Size of a soak and duration of its faults.

    Attributes:
        seconds: Duration of the fault phase; startup and the recovery checks are added to it.
        data_planes: Number of data planes.
        control_planes: Number of control-plane nodes.
        backends: Number of backends.
    """

    seconds: float = 14.0
    data_planes: int = 3
    control_planes: int = 3
    backends: int = 3


class SoakRun:
    """One soak.

    Args:
        folder: Directory for settings, logs and state; it must be empty.
        seed: Seed of faults, changes and clients.
        size: Its size.
        bounds: Bounds of the deployment.
    """

    def __init__(self, folder: Path, seed: int, size: SoakSize, bounds: SoakBounds) -> None:
        self._seed, self._size, self._bounds = seed, size, bounds
        self._fleet = Fleet(folder, size.control_planes, size.data_planes, bounds)
        self.observations = Observations(fronts=self._fleet.data_plane_names, cores=self._fleet.control_plane_names)
        self.observations.disturbances = self._fleet.disturbances
        self._operator = Operator(self._fleet.control_addresses, self.observations, random.Random(f"operator {seed}"))
        self._backends: dict[str, RecordingBackend] = {}
        self._faults = FaultInjector(self._fleet, self._backends, self._start_backend)
        self._http_client = HttpClient()
        self._changes_enabled = True
        self._changes: asyncio.Task[None] | None = None

    @property
    def forced_kills(self) -> int:
        """Return how many processes did not exit in the grace period after SIGTERM."""
        return self._fleet.forced_kills

    async def run(self) -> Observations:
        """Run the soak and return the observations."""
        try:
            await self._start()
            clients = self._start_clients()
            probe = asyncio.ensure_future(self._probe_stalls())
            await self._inject_faults()
            await self._check_recovery()
            for task in (*clients, probe):
                task.cancel()
            await asyncio.gather(*clients, probe, return_exceptions=True)
            await self._search_for_keys()
            return self.observations
        finally:
            await self._end()

    # Start.

    async def _start(self) -> None:
        self._fleet.start_all()
        for number in range(self._size.backends):
            await self._start_backend(f"backend-{number}")
        async with asyncio.timeout(START_TIMEOUT_S):
            await self._operator.put(initial_document())
            for name in self.observations.fronts:
                while not await self._is_served(name):
                    await asyncio.sleep(POLL_S)

    async def _start_backend(self, name: str) -> None:
        backend = RecordingBackend(
            SERVICE,
            self._fleet.backend_address(int(name.partition("-")[2])),
            f"zone-{int(name.partition('-')[2]) % self._size.data_planes}",
            self._fleet.control_addresses,
            self.observations.runs.append,
            self.observations.broken_off.add,
        )
        await backend.start()
        self._backends[name] = backend

    def _start_clients(self) -> list[asyncio.Task[None]]:
        names, clients = self.observations.fronts, []
        for number in range(CLIENTS_PER_DATA_PLANE * len(names)):
            source, first = random.Random(f"client {self._seed} {number}"), number % len(names)
            order = [*names[first:], *names[:first]]
            clients.append(Client(order, self._fleet.front_address, self.observations, source))
        return [asyncio.ensure_future(client.run()) for client in clients]

    # Faults.

    async def _inject_faults(self) -> None:
        """Inject the faults while the operator changes the configuration; return when all faults are over."""
        self._changes = asyncio.ensure_future(self._change_forever())
        await self._faults.inject(self._seed, self._size.seconds)

    async def _change_forever(self) -> None:
        source = random.Random(f"pauses {self._seed}")
        while self._changes_enabled:
            await asyncio.sleep(source.uniform(*CHANGE_PAUSE_S))
            if not self._changes_enabled:
                return
            if not await self._operator.change() and len(self.observations.operator_failures) >= MAX_REJECTED_CHANGES:
                return

    # Recovery.

    async def _check_recovery(self) -> None:
        """Check after the faults: the pending change, service at each data plane, new changes, and the configuration."""
        bounds, unrecovered = self._bounds, self.observations.unrecovered
        self._changes_enabled = False
        ended = self._fleet.ended_by_themselves()
        unrecovered += [f"{name} exited on its own" for name in ended]
        timeout_s = bounds.contact_s * 2 + bounds.acknowledge_s
        if not await self._within(timeout_s, asyncio.shield(self._changes)):
            unrecovered.append(f"the last change was not acknowledged within {timeout_s:.0f} s after the faults")
            return
        for name in self.observations.fronts:
            if not await self._within(bounds.recovery_s, self._until_served(name)):
                unrecovered.append(f"{name} served no request within {bounds.recovery_s} s after the faults")
        for change in (self._operator.remove_key, self._lower_limit):
            if not await self._within(bounds.acknowledge_s, change()):
                unrecovered.append(
                    f"a change after the faults ({change.__name__}) was not acknowledged within {bounds.acknowledge_s} s"
                )
                return
        await asyncio.sleep(bounds.apply_s + AFTER_LAST_CHANGE_S)
        await self._compare_configuration()

    async def _lower_limit(self) -> bool:
        hot = next(item for item in self._operator.document["tenants"] if item["name"] == "hot")
        lowered = tenant("hot", hot["api_keys"], 500, 500)
        return await self._operator.apply({"upsert": {"tenants": [lowered]}})

    async def _compare_configuration(self) -> None:
        read = await self._operator.read()
        expected = self._operator.document
        if read is None:
            self.observations.unrecovered.append("no control-plane node returned the configuration")
            return
        versions = [version for version in self.observations.versions if version.number == read.get("version")]
        if read.get("version", 0) < expected["version"]:
            self.observations.unrecovered.append(f"version {expected['version']} was acknowledged, {read['version']} is read")
        elif not versions or any(
            sorted(read.get(kind, ()), key=str) != sorted(versions[-1].document[kind], key=str)
            for kind in ("routes", "tenants")
        ):
            self.observations.unrecovered.append(f"version {read['version']} is not what was sent under that number")

    async def _until_served(self, name: str) -> bool:
        while not await self._is_served(name):
            await asyncio.sleep(POLL_S)
        return True

    async def _is_served(self, name: str) -> bool:
        """Send a request with a configured key; return whether a data plane serves it."""
        loop, document = asyncio.get_running_loop(), self._operator.document
        steady = next(item for item in document["tenants"] if item["name"] == "steady")
        exchange = Exchange(name, PlannedRequest("read", steady["api_keys"][-1], "", True), loop.time())
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self._fleet.front_address(name))
        except (OSError, TimeoutError):
            return False
        self.observations.requests.append(exchange.request)
        try:
            await exchange.perform(reader, writer)
        finally:
            writer.transport.abort()
        return exchange.request.status == 200

    @staticmethod
    async def _within(seconds: float, work: Awaitable[bool | None]) -> bool:
        """Return whether an awaitable ended in time and did not return False."""
        try:
            async with asyncio.timeout(seconds):
                return await work is not False
        except TimeoutError:
            return False

    # End.

    async def _probe_stalls(self) -> None:
        loop, observations = asyncio.get_running_loop(), self.observations
        while True:
            started_at, processor_mark_s = loop.time(), time.thread_time()
            await asyncio.sleep(STALL_PROBE_S)
            stall_s = loop.time() - started_at - STALL_PROBE_S
            if stall_s > observations.largest_stall_s:
                observations.largest_stall_s = stall_s
                observations.largest_stall_processor_s = time.thread_time() - processor_mark_s

    async def _search_for_keys(self) -> None:
        texts = {path.name: path.read_bytes() for path in self._fleet.log_paths()}
        for name in (*self.observations.cores, *self.observations.fronts):
            for page in ("/status", "/metrics", "/ready"):
                try:
                    answer = await self._http_client.request(self._fleet.status_address(name), "GET", page, b"", 2.0)
                except HttpCallError:
                    continue
                texts[f"{name}{page}"] = answer.body
        keys = {key for version in self.observations.versions for key in version.key_owners}
        keys |= {request.key for request in self.observations.requests if request.key}
        self.observations.leaks = find_leaks(texts, keys)

    async def _end(self) -> None:
        if self._changes is not None:
            self._changes.cancel()
            await asyncio.gather(self._changes, return_exceptions=True)
        await self._faults.cancel()
        for backend in self._backends.values():
            await backend.crash()
        self._fleet.end()
