"""Run one soak of answers: processes, troubled backends, clients and configuration changes under faults."""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import dataclass
from pathlib import Path

from benchmarks.answer_soak_parts.checks import LOG_DELAY_S
from benchmarks.answer_soak_parts.clients import Client
from benchmarks.answer_soak_parts.deployment import (
    ADAPTER_SLOTS,
    BACKEND_MB,
    LOAD_S,
    MODEL_MB,
    MODEL_SERVICE,
    MODELS,
    PLAIN_SERVICE,
    TIMEOUT_MS,
    configuration,
)
from benchmarks.answer_soak_parts.records import AnswerRecords
from benchmarks.answer_soak_parts.server import TroubledServer
from benchmarks.answer_soak_parts.troubles import Troubles, draw_rates
from benchmarks.soak_parts.bounds import SoakBounds
from benchmarks.soak_parts.fault_injection import FaultInjector
from benchmarks.soak_parts.fleet import ROOT, Fleet
from mulleinhatch.networking.http_client import HttpCallError, HttpClient
from mulleinhatch.testing.fake_model_server.config import Counters, FakeModelServerConfig

START_TIMEOUT_S, RECOVERY_TIMEOUT_S = 40.0, 20.0
CALL_TIMEOUT_S = 1.0
POLL_S = 0.1
CHANGE_PAUSE_S = (0.3, 1.5)
BACKEND_ZONES = 3
KILLED_BACKEND_DOWN_S = 0.5
SERVED_MESSAGE = "requests served by their first send"
UNSENT_MESSAGE = "requests that ended without a send"
END_MESSAGES = ("request ended", "answered a request that was not read completely")


@dataclass(frozen=True)
class AnswerSoakSize:
    """Size of a soak.

    Attributes:
        seconds: Duration of the fault phase.
        data_planes: Number of data planes.
        control_planes: Number of control-plane nodes.
        model_backends: Number of backends with models.
        plain_backends: Number of backends without models.
        clients: Number of clients.
        slots: Concurrent requests of a backend.
    """

    seconds: float = 10.0
    data_planes: int = 3
    control_planes: int = 3
    model_backends: int = 3
    plain_backends: int = 2
    clients: int = 16
    slots: int = 6


class AnswerSoak:
    """One soak.

    Args:
        folder: Empty directory for settings, logs and state.
        seed: Seed of faults, troubles and clients.
        size: Its size.
        tree: Source tree whose programs are run.
    """

    def __init__(self, folder: Path, seed: int, size: AnswerSoakSize, tree: Path = ROOT) -> None:
        self._seed, self._size = seed, size
        self._fleet = Fleet(folder, size.control_planes, size.data_planes, SoakBounds(), tree)
        self.records = AnswerRecords(disturbances=self._fleet.disturbances)
        self._backends: dict[str, TroubledServer] = {}
        self._incarnations = 0
        self._counters: list[Counters] = []  # of all incarnations of the backends
        self._faults = FaultInjector(self._fleet, self._backends, self._start_backend)
        self._http = HttpClient()
        self._version = 0

    async def run(self) -> AnswerRecords:
        """Run the soak and return its records."""
        try:
            await self._start()
            clients = [asyncio.ensure_future(client.run()) for client in self._clients()]
            changes = asyncio.ensure_future(self._change_forever())
            await self._faults.inject(self._seed, self._size.seconds)
            changes.cancel()
            await self._check_recovery()
            for client in clients:
                client.cancel()
            await asyncio.gather(changes, *clients, return_exceptions=True)
            await asyncio.sleep(LOG_DELAY_S)
            self.records.unrecovered += [f"{name} ended by itself" for name in self._fleet.ended_by_themselves()]
            return self.records
        finally:
            await self._end()

    # Start.

    async def _start(self) -> None:
        self._fleet.start_all()
        for number in range(self._size.model_backends + self._size.plain_backends):
            await self._start_backend(f"backend-{number}")
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._put_configuration(TIMEOUT_MS):
                await asyncio.sleep(POLL_S)
            for name in self._fleet.data_plane_names:
                while not await self._is_ready(name):
                    await asyncio.sleep(POLL_S)

    async def _start_backend(self, name: str) -> None:
        number = int(name.partition("-")[2])
        has_models = number < self._size.model_backends
        self._incarnations += 1
        source = random.Random(f"backend {self._seed} {name} {self._incarnations}")
        config = FakeModelServerConfig(
            MODEL_SERVICE if has_models else PLAIN_SERVICE,
            self._fleet.backend_address(number),
            f"zone-{number % BACKEND_ZONES}",
            self._size.slots,
            BACKEND_MB,
            ADAPTER_SLOTS,
            dict.fromkeys(MODELS, MODEL_MB),
            LOAD_S,
        )
        backend = TroubledServer(
            config,
            {MODELS[number % len(MODELS)]: set()} if has_models else {},
            self._fleet.control_addresses,
            Troubles(draw_rates(source), source, self.records.troubles),
            self.records.executions.append,
            lambda: self._faults.crash_backend(name, KILLED_BACKEND_DOWN_S),
        )
        await backend.start()
        self._backends[name] = backend
        self._counters.append(backend.counters)

    def _clients(self) -> list[Client]:
        names, clients = self._fleet.data_plane_names, []
        for number in range(self._size.clients):
            first = number % len(names)
            source = random.Random(f"client {self._seed} {number}")
            order = [*names[first:], *names[:first]]
            clients.append(Client(order, self._fleet.front_address, self.records.tries.append, source))
        return clients

    # Configuration.

    async def _put_configuration(self, timeout_ms: int) -> bool:
        """Send a new configuration once; return whether it was acknowledged."""
        body = json.dumps(configuration(self._version + 1, self._size.slots, timeout_ms)).encode()
        fields = ((b"If-Match", b"%d" % self._version),)
        for address in self._fleet.control_addresses:
            for _ in range(3):
                try:
                    answer = await self._http.request(
                        address, "PUT", "/configuration", body, CALL_TIMEOUT_S, "application/json", fields
                    )
                except HttpCallError:
                    break
                if answer.status == 200:
                    self._version += 1
                    return True
                if answer.status != 307:
                    break
                address = answer.head.field_values[b"location"].decode().removeprefix("http://").partition("/")[0]
        return False

    async def _change_forever(self) -> None:
        source = random.Random(f"changes {self._seed}")
        while True:
            timeout_ms = source.choice((4000, 5000, 6000))
            # An unanswered change is sent again unchanged, as operators must.
            while not await self._put_configuration(timeout_ms):
                await asyncio.sleep(POLL_S)
            await asyncio.sleep(source.uniform(*CHANGE_PAUSE_S))

    async def _is_ready(self, name: str) -> bool:
        try:
            answer = await self._http.request(self._fleet.status_address(name), "GET", "/ready", b"", CALL_TIMEOUT_S)
        except HttpCallError:
            return False
        return answer.status == 200

    # End.

    async def _check_recovery(self) -> None:
        """Wait until each data plane serves a client again; record those that do not in time."""
        probes = {name: asyncio.ensure_future(self._until_served(name)) for name in self._fleet.data_plane_names}
        await asyncio.wait(probes.values(), timeout=RECOVERY_TIMEOUT_S)
        for name, probe in probes.items():
            if not probe.done():
                probe.cancel()
                self.records.unrecovered.append(f"{name} served no request after the faults")

    async def _until_served(self, name: str) -> None:
        source = random.Random(f"probe {self._seed} {name}")
        client = Client([name], self._fleet.front_address, self.records.tries.append, source)
        while not await client.is_served():
            await asyncio.sleep(POLL_S)

    async def _end(self) -> None:
        await self._faults.cancel()
        for backend in self._backends.values():
            await backend.crash()
        self.records.capacity_violations = sum(counters.capacity_violations for counters in self._counters)
        self._fleet.end()
        self._read_logs()

    def _read_logs(self) -> None:
        for path in self._fleet.log_paths():
            for text in path.read_text(errors="replace").splitlines():
                if not text.startswith("{"):
                    continue
                try:
                    line = json.loads(text)
                except ValueError:
                    continue  # The process was killed while it wrote the line.
                if line.get("message") in END_MESSAGES:
                    self.records.log_lines.setdefault(line.get("request_id", ""), []).append(line)
                elif line.get("message") == SERVED_MESSAGE:
                    # Older programs tell no framing.
                    for request_id, status, _, backend, connection, reuse, *_ in line["requests"]:
                        send = {"send": 1, "backend": backend, "connection": connection, "reuse": reuse}
                        told = {"status": status, "attempts": [send]}
                        self.records.log_lines.setdefault(request_id, []).append(told)
                elif line.get("message") == UNSENT_MESSAGE:
                    for request_id, status, _, reason, *_ in line["requests"]:
                        self.records.log_lines.setdefault(request_id, []).append({"status": status, "reason": reason})
