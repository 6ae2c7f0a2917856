"""Probes: requests to one data plane on the routes that the latest changes added, removed and moved."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Mapping

from benchmarks.in_force_parts.operator import HOST
from benchmarks.in_force_parts.records import Answer, RunRecords
from mulleinhatch.networking.http_client import HttpCallError, HttpResponse, ResponseCollector
from mulleinhatch.networking.http_connection import ClientConnection, connect
from mulleinhatch.networking.http_streaming import write_request

PROBE_TIMEOUT_S = 1.5
PROBE_PAUSE_S = 0.03
PROBE_NUMBERS = itertools.count(1)


class Prober:
    """Sends probes to one data plane on one connection until cancelled.

    Args:
        front: Name of the data plane.
        address: Its address for clients.
        records: Provides the versions, receives the answers.
        services: The service of each backend, by its signature.
    """

    def __init__(self, front: str, address: str, records: RunRecords, services: Mapping[str, str]) -> None:
        self._front, self._address, self._records, self._services = front, address, records, services
        self._connection: ClientConnection | None = None

    async def run(self) -> None:
        """Ask in turn for the route of the newest acknowledged version, for that of the one before, and for the moving one."""
        while True:
            acknowledged = [one.number for one in self._records.versions[-4:] if one.acknowledged_at < float("inf")]
            for number in (*acknowledged[-2:], 0):
                await self.probe(number)
            await asyncio.sleep(PROBE_PAUSE_S)

    async def probe(self, number: int) -> Answer | None:
        """Send one probe; return the answer, None where there was none."""
        loop, sent_at = asyncio.get_running_loop(), asyncio.get_running_loop().time()
        path = b"/v-%d/probe" % number if number else b"/moving/probe"
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                response = await self._exchange(path)
        except (OSError, TimeoutError, HttpCallError):
            self._close()
            return None
        signature = response.head.field_values.get(b"server-signature", b"").decode()
        service = self._services.get(signature, "")
        answer = Answer(self._front, number, sent_at, loop.time(), response.status, service)
        self._records.answers.append(answer)
        return answer

    async def _exchange(self, path: bytes) -> HttpResponse:
        if self._connection is None or not self._connection.usable:
            self._connection = await connect(self._address)
        sink = ResponseCollector(accepts_close_delimited=False)
        request_id = b"probe-%d" % next(PROBE_NUMBERS)
        head = [(b"Host", HOST.encode()), (b"Request-Id", request_id), (b"Request-Deadline", b"1000")]
        self._connection.send(write_request(b"GET", path, head, b""), sink)
        return await sink.future

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None
