"""A network in place of sockets: delays, losses, and partitions in one direction or in both."""

from __future__ import annotations

import asyncio
from typing import Any

from mulleinhatch.networking.http_client import HttpCallError, HttpResponse
from mulleinhatch.networking.http_server import HttpServerRequest, HttpServerResponse
from mulleinhatch.simulation.control_plane.machines import Machine
from mulleinhatch.simulation.virtual_time import Process

DELAY_S = (0.001, 0.006)
RESET_S = 0.001  # a machine without a process refuses connections at once


class Links:
    """Disconnected pairs of endpoints, by direction. An endpoint is any hashable object."""

    def __init__(self) -> None:
        self._disconnected: dict[tuple[Any, Any], int] = {}

    def disconnect(self, one: Any, other: Any, both: bool = True) -> None:
        """Disconnect two endpoints, or only messages from `one` to `other`. Disconnections of a pair are counted."""
        for pair in ((one, other), (other, one)) if both else ((one, other),):
            self._disconnected[pair] = self._disconnected.get(pair, 0) + 1

    def reconnect(self, one: Any, other: Any, both: bool = True) -> None:
        """Undo one disconnection."""
        for pair in ((one, other), (other, one)) if both else ((one, other),):
            left = self._disconnected.get(pair, 0) - 1
            if left > 0:
                self._disconnected[pair] = left
            else:
                self._disconnected.pop(pair, None)

    def clear(self) -> None:
        """Reconnect all endpoints."""
        self._disconnected.clear()

    def open(self, one: Any, other: Any) -> bool:
        """Return whether messages pass from one endpoint to the other."""
        return (one, other) not in self._disconnected


class Network:
    """The calls of one process to control-plane nodes, in place of `networking.http_client.HttpClient`."""

    def __init__(self, world: Any, endpoint: Any, process: Process | None) -> None:
        self._world, self._endpoint, self._process = world, endpoint, process

    def forget(self, address: str) -> None:
        """Do nothing: no connections are kept."""

    async def request(
        self, address: str, method: str, path: str, body: bytes, within: float, *_: Any, headers: dict[str, str] | None = None
    ) -> HttpResponse:
        """Send a request to a control-plane node.

        Raises:
            HttpCallError: No response came within `within` seconds.
        """
        loop = self._world.loop
        response: asyncio.Future[HttpServerResponse | None] = loop.create_future()
        loop.start(self._carry(address, HttpServerRequest(method, path, headers or {}, body), response))
        try:
            async with asyncio.timeout(within):
                answer = await response
        except TimeoutError:
            answer = None
        if answer is None:
            raise HttpCallError(address, "no answer")
        return HttpResponse(answer.status, answer.headers, answer.body)  # type: ignore[arg-type]

    def _passes(self, one: Any, other: Any) -> bool:
        world = self._world
        loss_probability = world.plan.message_loss_probability if isinstance(self._endpoint, Machine) else 0.0
        return world.links.open(one, other) and world.rng.random() >= loss_probability

    async def _carry(
        self, address: str, request: HttpServerRequest, response: asyncio.Future[HttpServerResponse | None]
    ) -> None:
        world = self._world
        target: Machine | None = world.machine_at(address)
        await asyncio.sleep(world.rng.uniform(*DELAY_S))
        if target is None or not self._passes(self._endpoint, target):
            return
        process = target.process
        if process is None:
            await asyncio.sleep(RESET_S)
            self._answer(response, None)
            return
        api = target.control if address == target.control_address else target.internal_api
        handled: asyncio.Task[HttpServerResponse] = world.loop.start(api.handle_request(request), process)
        await _completion_of(world.loop, handled)
        await asyncio.sleep(world.rng.uniform(*DELAY_S))
        if target.process is process and self._passes(target, self._endpoint):
            self._answer(response, handled.result())

    def _answer(self, response: asyncio.Future[HttpServerResponse | None], answer: HttpServerResponse | None) -> None:
        if not response.done() and (self._process is None or not self._process.dead):
            response.set_result(answer)


def _completion_of(loop: Any, task: asyncio.Task[Any]) -> asyncio.Future[None]:
    """Return a future that completes with a task, and belongs to no process: a killed process must not wake its callers."""
    done: asyncio.Future[None] = loop.create_future()
    task.add_done_callback(lambda _: done.set_result(None))
    return done
