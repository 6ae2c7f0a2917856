"""Calls between machines in place of sockets: delays, losses, and cuts in one direction or in both."""

from __future__ import annotations

import asyncio
from typing import Any

from mulleinhatch.networking.http_client import HttpCallError, HttpResponse
from mulleinhatch.networking.http_server import HttpServerRequest, HttpServerResponse
from mulleinhatch.simulation.control_plane.machines import Machine
from mulleinhatch.simulation.virtual_time import Process

DELAY_S = (0.001, 0.006)
LOST_PART = 0.02  # of messages between core machines
RESET_S = 0.001  # a machine that runs nothing refuses at once


class Links:
    """Which way is cut: pairs of places, from and to. A place is any object that can be told from others."""

    def __init__(self) -> None:
        self._cut: dict[tuple[Any, Any], int] = {}

    def cut(self, one: Any, other: Any, both: bool = True) -> None:
        for pair in ((one, other), (other, one)) if both else ((one, other),):
            self._cut[pair] = self._cut.get(pair, 0) + 1

    def heal(self, one: Any, other: Any, both: bool = True) -> None:
        for pair in ((one, other), (other, one)) if both else ((one, other),):
            left = self._cut.get(pair, 0) - 1
            if left > 0:
                self._cut[pair] = left
            else:
                self._cut.pop(pair, None)

    def clear(self) -> None:
        self._cut.clear()

    def open(self, one: Any, other: Any) -> bool:
        return (one, other) not in self._cut


class Network:
    """The calls of one process to core machines, in place of `services.http_client.HttpClient`."""

    def __init__(self, world: Any, place: Any, process: Process | None) -> None:
        self._world, self._place, self._process = world, place, process

    def forget(self, address: str) -> None:
        """Nothing is kept."""

    async def request(
        self, address: str, method: str, path: str, body: bytes, within: float, *_: Any, headers: dict[str, str] | None = None
    ) -> HttpResponse:
        """The answer, or HttpCallError after `within` seconds at most."""
        loop = self._world.loop
        answered: asyncio.Future[HttpServerResponse | None] = loop.create_future()
        loop.start(self._carry(address, HttpServerRequest(method, path, headers or {}, body), answered))
        try:
            async with asyncio.timeout(within):
                answer = await answered
        except TimeoutError:
            answer = None
        if answer is None:
            raise HttpCallError(address, "no answer")
        return HttpResponse(answer.status, answer.headers, answer.body)  # type: ignore[arg-type]

    def _passes(self, one: Any, other: Any) -> bool:
        world = self._world
        lost_part = LOST_PART if isinstance(self._place, Machine) else 0.0
        return world.links.open(one, other) and world.chance.random() >= lost_part

    async def _carry(
        self, address: str, request: HttpServerRequest, answered: asyncio.Future[HttpServerResponse | None]
    ) -> None:
        world = self._world
        target: Machine | None = world.machine_at(address)
        await asyncio.sleep(world.chance.uniform(*DELAY_S))
        if target is None or not self._passes(self._place, target):
            return
        process = target.process
        if process is None:
            await asyncio.sleep(RESET_S)
            self._answer(answered, None)
            return
        api = target.control if address == target.control_address else target.internal_api
        handled: asyncio.Task[HttpServerResponse] = world.loop.start(api.handle_request(request), process)
        await _ended(world.loop, handled)
        await asyncio.sleep(world.chance.uniform(*DELAY_S))
        if target.process is process and self._passes(target, self._place):
            self._answer(answered, handled.result())

    def _answer(self, answered: asyncio.Future[HttpServerResponse | None], answer: HttpServerResponse | None) -> None:
        if not answered.done() and (self._process is None or not self._process.dead):
            answered.set_result(answer)


def _ended(loop: Any, task: asyncio.Task[Any]) -> asyncio.Future[None]:
    """A future of no process that is done when a task of one is."""
    done: asyncio.Future[None] = loop.create_future()
    task.add_done_callback(lambda _: done.set_result(None))
    return done
