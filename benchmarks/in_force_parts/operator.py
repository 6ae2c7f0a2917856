"""The operator of a run: each change adds a route of its own, removes that of the version before, and moves a third route."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable

from benchmarks.in_force_parts.records import RunRecords, SentVersion
from benchmarks.soak_parts.configuration_calls import call_configuration
from mulleinhatch.networking.http_client import HttpClient

HOST = "in-force.example"
SERVICES = ("first", "second")
CALL_TIMEOUT_S = 1.0
RETRY_S = 0.05
REJECTED = (400, 404, 409, 412, 413, 422)
LARGE_ROUTES = 350
LARGE_SHARE = 0.08  # of the changes add many routes, or remove them
LARGE_BYTES = 16384
LARGE_TIMEOUT_S = 3.0  # operators wait longer for the answer to a large body


def own_route(number: int) -> dict[str, object]:
    """Return the route that only one version has."""
    return route(f"v-{number}", SERVICES[0])


def route(name: str, service: str) -> dict[str, object]:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": "safe",
        "timeout_ms": 3000,
        "target_latency_ms": 500,
        "priority": 0,
        "service": service,
        "max_attempts": 2,
    }


class Operator:
    """Sends changes one after another, each unchanged until it is acknowledged.

    Args:
        control_addresses: Returns the control addresses of the nodes that belong to the system now.
        records: Receives the versions.
        source: Source of the draws.
    """

    def __init__(self, control_addresses: Callable[[], list[str]], records: RunRecords, source: random.Random) -> None:
        self._control_addresses, self._records, self._random = control_addresses, records, source
        self._client = HttpClient()
        self._large_names: list[str] = []

    async def put_first(self) -> None:
        """Send the first configuration until it is acknowledged."""
        version = self._add_version(1)
        services = [{"name": name, "connection_limit": 200} for name in SERVICES]
        routes = [own_route(1), route("moving", version.service)]
        body = {"version": 1, "routes": routes, "services": services, "limits": {}}
        await self._send(version, "PUT", 0, body)

    async def change(self) -> None:
        """Send the next version until it is acknowledged."""
        base = self._records.versions[-1].number
        version = self._add_version(base + self._random.randrange(1, 4))
        upsert, remove = [own_route(version.number), route("moving", version.service)], [f"v-{base}"]
        if self._random.random() < LARGE_SHARE:
            added, removed = self._draw_large(version.number)
            upsert, remove = [*upsert, *added], [*remove, *removed]
        body = {"version": version.number, "upsert": {"routes": upsert}, "remove": {"routes": remove}}
        await self._send(version, "PATCH", base, body)

    def _draw_large(self, number: int) -> tuple[list[dict[str, object]], list[str]]:
        """Return many routes to add, or the names of those that were added before."""
        if self._large_names:
            names, self._large_names = self._large_names, []
            return [], names
        split = [{"service": SERVICES[0], "weight": 90}, {"service": SERVICES[1], "weight": 10}]
        routes = [{**route(f"large-{number}-{index}", ""), "traffic_split": split} for index in range(LARGE_ROUTES)]
        for one in routes:
            del one["service"]
        self._large_names = [str(one["name"]) for one in routes]
        return routes, []

    def _add_version(self, number: int) -> SentVersion:
        service = SERVICES[len(self._records.versions) % len(SERVICES)]
        version = SentVersion(number, service, asyncio.get_running_loop().time())
        self._records.versions.append(version)
        return version

    async def _send(self, version: SentVersion, method: str, base: int, body: dict[str, object]) -> None:
        data, fields = json.dumps(body).encode(), ((b"If-Match", b"%d" % base),)
        timeout_s = LARGE_TIMEOUT_S if len(data) > LARGE_BYTES else CALL_TIMEOUT_S
        while True:
            addresses = self._control_addresses()
            for address in self._random.sample(addresses, len(addresses)):
                answer = await call_configuration(self._client, address, method, data, fields, timeout_s)
                if answer is not None and answer.status == 200:
                    version.acknowledged_at = asyncio.get_running_loop().time()
                    return
                if answer is not None and answer.status in REJECTED:
                    self._records.failures.append(f"version {version.number}: {answer.status} {answer.body[:200]!r}")
                    raise RuntimeError(self._records.failures[-1])
            await asyncio.sleep(RETRY_S)
