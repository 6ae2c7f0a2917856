"""Both programs run as processes on loopback with simulated backends, and are observed as operators and clients do.

No step waits for a fixed time: each continues as soon as its condition holds and fails after a timeout.
"""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import tempfile
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from mulleinhatch.cli.system import demo
from mulleinhatch.cli.system.demo import (
    MODELS,
    ClientTally,
    configuration,
    control_plane_ip,
    data_plane_ip,
    make_backends,
    put_configuration,
    send_request,
    start_plane,
)
from mulleinhatch.networking.http_client import HttpCallError, HttpClient, HttpResponse

CONTROL_PLANES, DATA_PLANES = 3, 2
TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05


class System:
    """The planes and backends of one test."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.planes: dict[tuple[str, int], subprocess.Popen[bytes]] = {}
        self.control_addresses = [f"{control_plane_ip(number)}:{demo.CONTROL_PORT}" for number in range(CONTROL_PLANES)]
        self.data_plane_addresses = [f"{data_plane_ip(number)}:{demo.FRONT_PORT}" for number in range(DATA_PLANES)]
        self.backends = make_backends(3, self.control_addresses)
        self.client = HttpClient()

    async def start(self) -> None:
        for number in range(CONTROL_PLANES):
            self.start_plane("control", number)
        for number in range(DATA_PLANES):
            self.start_plane("data", number)
        for backend in self.backends:
            await backend.start()
        await put_configuration(self.client, self.control_addresses[0], TIMEOUT_S)

    def start_plane(self, kind: str, number: int) -> None:
        first = not (self.directory / f"{kind}-{number}.conf").exists()
        self.planes[kind, number] = start_plane(self.directory, kind, number, CONTROL_PLANES, first)

    def kill(self, kind: str, number: int) -> None:
        plane = self.planes.pop((kind, number))
        plane.kill()
        plane.wait()

    async def stop(self) -> None:
        for backend in self.backends:
            await backend.crash()
        for kind, number in list(self.planes):
            self.kill(kind, number)

    async def call(self, method: str, path: str, body: bytes = b"", base: int | None = None) -> HttpResponse | None:
        """Return the first response below 500 of any control-plane node, after redirects; None if there is none."""
        fields = ((b"If-Match", b"%d" % base),) if base is not None else ()
        for first_address in self.control_addresses:
            response = await self._follow(first_address, method, path, body, fields)
            if response is not None and response.status < 500:
                return response
        return None

    async def _follow(self, address: str, method: str, path: str, body: bytes, fields: tuple) -> HttpResponse | None:
        for _ in range(3):
            try:
                response = await self.client.request(address, method, path, body, 2.0, "application/json", fields)
            except HttpCallError:
                return None
            if response.status != 307:
                return response
            address = response.head.field_values[b"location"].decode().removeprefix("http://").partition("/")[0]
        return None

    async def version(self) -> int | None:
        response = await self.call("GET", "/configuration")
        return json.loads(response.body)["version"] if response is not None and response.status == 200 else None

    async def change(self, base: int, version: int) -> int:
        """Send a change until a response has a status below 500; return the status."""
        body = json.dumps({**configuration(version), "note": version}).encode()
        response = await until(lambda: self.call("PUT", "/configuration", body, base))
        return response.status


async def until(read_value: Callable[[], Awaitable], is_expected: Callable[[object], bool] = lambda value: value is not None):
    """Return the first expected value of `read_value`; fail the test on timeout."""
    loop = asyncio.get_running_loop()
    end = loop.time() + TIMEOUT_S
    while loop.time() < end:
        value = await read_value()
        if is_expected(value):
            return value
        await asyncio.sleep(POLL_INTERVAL_S)
    raise AssertionError("the expected value did not occur in time")


@pytest.mark.processes
class Planes(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        directory = tempfile.TemporaryDirectory(prefix="mulleinhatch-test-")
        self.addCleanup(directory.cleanup)
        self.system = System(Path(directory.name))
        self.addAsyncCleanup(self.system.stop)
        await self.system.start()

    async def send(self, model: str, number: int = 0) -> ClientTally:
        tally = ClientTally()
        await send_request(self.system.data_plane_addresses[number], model, tally)
        return tally

    async def wait_until_served(self, model: str, number: int = 0) -> None:
        await until(lambda: self.send(model, number), lambda tally: tally.served == 1)

    async def test_requests_are_served_models_and_adapters_are_loaded_and_no_request_runs_twice(self):
        for model in (MODELS[0], MODELS[6], f"{MODELS[1]}/a2"):
            await self.wait_until_served(model)
        runs = [count for backend in self.system.backends for count in backend.counters.runs.values()]
        self.assertEqual(set(runs), {1})
        self.assertEqual(sum(backend.counters.capacity_violations for backend in self.system.backends), 0)

    async def test_a_change_survives_the_loss_of_the_head_and_a_restart_of_all(self):
        system = self.system
        self.assertEqual(await system.change(1, 4), 200)
        self.assertEqual(await system.change(1, 5), 412)
        system.kill("control", 0)
        self.assertEqual(await system.change(4, 8), 200)
        self.assertEqual(await until(system.version), 8)
        system.start_plane("control", 0)
        for number in range(CONTROL_PLANES):
            if ("control", number) in system.planes:
                system.kill("control", number)
        for number in range(CONTROL_PLANES):
            system.start_plane("control", number)
        self.assertEqual(await until(system.version), 8)
        await self.wait_until_served(MODELS[0])

    async def test_a_stream_whose_backend_crashes_is_completed_by_another_backend(self):
        await self.wait_until_served(MODELS[0])
        await self.wait_until_served(MODELS[0], number=1)
        running = asyncio.ensure_future(self.send(MODELS[2]))
        backend = await until(self.busy_backend)
        await backend.crash()
        tally = await running
        self.assertEqual((tally.served, tally.failed), (1, 0))

    async def busy_backend(self):
        return next((backend for backend in self.system.backends if backend.running and backend.counters.runs), None)

    async def test_a_terminated_data_plane_completes_its_accepted_requests(self):
        await self.wait_until_served(MODELS[0])
        running = [asyncio.ensure_future(self.send(MODELS[0])) for _ in range(4)]
        await until(self.busy_backend)
        plane = self.system.planes["data", 0]
        plane.send_signal(signal.SIGTERM)
        for tally in await asyncio.gather(*running):
            self.assertEqual(tally.failed, 0)
        await until(lambda: asyncio.to_thread(plane.poll))
        self.assertEqual(plane.returncode, 0)


if __name__ == "__main__":
    unittest.main()
