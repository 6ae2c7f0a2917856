"""A stand-in for a model backend: holds models and adapters, takes orders, streams tokens, reports, registers. On loopback.

It speaks what the system's backends speak, with times of its own: a prompt is read at a pace, each token takes a step
that grows with
what runs beside it, a load takes its time and is faster from the own disk.
"""

from __future__ import annotations

import asyncio
import json
import logging
import random
import uuid
from dataclasses import dataclass, field
from typing import Any

from mulleinhatch.data_plane.exchange import read_prompt
from mulleinhatch.networking.http_client import HttpCallError, HttpClient
from mulleinhatch.networking.http_grammar import BadRequestError
from mulleinhatch.networking.http_streaming import Head, MessageReader, write_response

LOG = logging.getLogger(__name__)
HEARTBEAT_S = 1.0
WARM_PART = 0.3  # of a load's time when the own disk has the model
ADAPTER_S = 0.02
REPORT_LAG_S = 0.1


@dataclass(frozen=True)
class BackendFacts:
    """What a stand-in backend is like. Sizes in MB, times in seconds."""

    service: str
    address: str
    zone: str = "zone-1"
    slots: int = 16
    weights_mb: float = 200.0
    adapter_slots: int = 4
    model_mb: dict[str, float] = field(default_factory=dict)
    load_s: float = 1.0
    prompt_tokens_per_s: float = 20000.0
    step_s: float = 0.01


@dataclass
class Counters:
    """What was seen from outside the system."""

    runs: dict[str, int] = field(default_factory=dict)  # by Request-Id
    loads: int = 0
    overfull: int = 0  # orders beyond weights or places: must stay 0
    fences: list[tuple[str, int]] = field(default_factory=list)


class ModelBackend:
    """One incarnation of a backend. `models` maps each model held to its adapters."""

    def __init__(
        self, facts: BackendFacts, control: list[str], models: dict[str, set[str]] | None = None, disk: set[str] | None = None
    ) -> None:
        self.facts, self.control = facts, list(control)
        self.id = f"i-{uuid.uuid4().hex[:10]}"
        self.models = {name: set(adapters) for name, adapters in (models or {}).items()}
        self.disk = disk if disk is not None else set(self.models)
        self.counters = Counters()
        self.running = self.waiting = self.revision = self.highest_fence = 0
        self.order: dict[str, Any] | None = None
        self.draining = False
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self._connections: set[asyncio.StreamWriter] = set()
        self._caller = HttpClient()
        self._slots = asyncio.Semaphore(facts.slots)

    async def start(self) -> None:
        host, _, port = self.facts.address.rpartition(":")
        self._server = await asyncio.start_server(self._converse, host, int(port))
        self._spawn(self._register_forever())

    async def crash(self) -> None:
        """Gone without a word."""
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._connections):
            writer.transport.abort()
        if self._server is not None:
            self._server.close()

    async def leave(self, after_s: float) -> None:
        """Says that it drains, serves a little longer, says goodbye."""
        self.draining = True
        await self._heartbeat()
        await asyncio.sleep(after_s)
        for address in self.control:
            try:
                await self._caller.request(address, "DELETE", f"/instances/{self.id}", b"", 1.0)
                break
            except HttpCallError:
                continue
        await self.crash()

    def _spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Registration.

    async def _register_forever(self) -> None:
        while True:
            await self._heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    def _held(self) -> list[dict[str, Any]]:
        return [{"name": name, "version": 1, "adapters": sorted(adapters)} for name, adapters in sorted(self.models.items())]

    async def _heartbeat(self) -> None:
        self._sequence += 1
        body = {
            "service": self.facts.service,
            "address": self.facts.address,
            "zone": self.facts.zone,
            "version": "v1",
            "slots": self.facts.slots,
            "state": "draining" if self.draining else "ready",
            "cold_remaining_ms": 0,
            "models": self._held(),
            "sequence": self._sequence,
        }
        for _ in range(len(self.control)):
            try:
                answer = await self._caller.request(
                    self.control[0], "PUT", f"/instances/{self.id}", json.dumps(body).encode(), 1.0, "application/json"
                )
                if answer.status == 200:
                    return
            except HttpCallError:
                pass
            self.control.append(self.control.pop(0))

    # Requests.

    async def _converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        messages = MessageReader(answers=False)
        try:
            while data := await reader.read(65536):
                messages.feed(data)
                while (head := messages.head()) is not None:
                    body = messages.body()
                    while not messages.done:
                        messages.feed(await reader.read(65536) or b"")
                        body += messages.body()
                    messages.next()
                    await self._answer(head, body, writer)
        except (OSError, BadRequestError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _answer(self, head: Head, body: bytes, writer: asyncio.StreamWriter) -> None:
        expected = head.first.get(b"expect-instance", self.id.encode()).decode()
        if expected != self.id:
            self._write(writer, 421, b"", [(b"Instance-Id", self.id.encode())])
        elif head.target == b"/report":
            self._write(writer, 200, json.dumps(self._report()).encode())
        elif head.target == b"/health":
            self._write(writer, 503 if self.draining else 200, b"", [(b"Instance-Id", self.id.encode())])
        elif head.target == b"/order":
            status, message = self._take_order(json.loads(body))
            self._write(writer, status, json.dumps({"message": message}).encode())
        else:
            await self._run(head, writer)

    @staticmethod
    def _write(writer: asyncio.StreamWriter, status: int, body: bytes, fields: list[tuple[bytes, bytes]] | None = None) -> None:
        writer.write(write_response(status, fields or [], body))

    def _report(self) -> dict[str, Any]:
        return {
            "models": self._held(),
            "busy": self.order is not None,
            "sequence": self.revision,
            "waiting": self.waiting,
            "running": self.running,
        }

    async def _run(self, head: Head, writer: asyncio.StreamWriter) -> None:
        prompt = read_prompt(head)
        request_id = head.first.get(b"request-id", b"")
        echo = [(b"Request-Id", request_id)]
        if prompt.model and (
            prompt.model not in self.models or (prompt.adapter and prompt.adapter not in self.models[prompt.model])
        ):
            self._write(writer, 421, b"", echo)
            return
        if self._is_ordered(prompt.model, prompt.adapter) or self.waiting > 2 * self.facts.slots:
            self._write(writer, 503, b"", [*echo, (b"Not-Executed", b"1")])
            return
        self.waiting += 1
        async with self._slots:
            self.waiting -= 1
            self.running += 1
            key = request_id.decode()
            self.counters.runs[key] = self.counters.runs.get(key, 0) + 1
            try:
                await self._stream(head, prompt.tokens, writer, echo)
            finally:
                self.running -= 1

    def _is_ordered(self, model: str, adapter: str) -> bool:
        order = self.order
        return (
            order is not None
            and order["operation"] == "unload"
            and order["model"] == model
            and order.get("adapter", "") in ("", adapter)
        )

    async def _stream(self, head: Head, tokens: int, writer: asyncio.StreamWriter, echo: list[tuple[bytes, bytes]]) -> None:
        wanted = head.first.get(b"token-usage", b"0,8").split(b",")
        count = max(1, int(wanted[1]) // 2) if len(wanted) > 1 else 4
        first = int(head.first.get(b"last-event-id", b"0") or 0)
        fields = [
            *echo,
            (b"Server-Signature", self.id.encode()),
            (b"Content-Type", b"text/event-stream"),
            (b"Transfer-Encoding", b"chunked"),
        ]
        await asyncio.sleep(tokens / self.facts.prompt_tokens_per_s)
        lines = b"".join(b"%b: %b\r\n" % field for field in fields)
        writer.write(b"HTTP/1.1 200 OK\r\n%b\r\n" % lines)
        for number in range(first + 1, count + 1):
            await asyncio.sleep(self.facts.step_s * (1.0 + 0.02 * self.running) * random.uniform(0.8, 1.2))
            event = b"id: %d\ndata: token %d\n\n" % (number, number)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    # Orders.

    def _take_order(self, order: dict[str, Any]) -> tuple[int, str]:
        if not order.get("holder") or not order.get("fence_token") or order.get("operation") not in ("load", "unload"):
            return 400, "no such order"
        if order["fence_token"] < self.highest_fence:
            return 412, "a higher token was seen"
        self.highest_fence = order["fence_token"]
        self.counters.fences.append((order["holder"], order["fence_token"]))
        if self.order is not None or order.get("if_revision", self.revision) != self.revision:
            return 409, "another order is under way, or the revision is another"
        model, adapter = order["model"], order.get("adapter", "")
        held = model in self.models and (not adapter or adapter in self.models[model])
        if held is (order["operation"] == "load"):
            return 200, "it holds already"
        self.revision += 1
        self.order = order
        self._spawn(self._carry_out(order, model, adapter))
        return 202, "under way"

    async def _carry_out(self, order: dict[str, Any], model: str, adapter: str) -> None:
        if order["operation"] == "unload":
            while self.running and not adapter:
                await asyncio.sleep(0.01)
            if adapter:
                self.models.get(model, set()).discard(adapter)
            else:
                self.models.pop(model, None)
        elif adapter:
            await asyncio.sleep(ADAPTER_S)
            self._count_room(0.0, 1)
            self.models[model].add(adapter)
        else:
            self.counters.loads += model not in self.disk
            await asyncio.sleep(self.facts.load_s * (WARM_PART if model in self.disk else 1.0))
            self._count_room(self.facts.model_mb.get(model, 0.0), 0)
            self.models[model] = set()
            self.disk.add(model)
        self.order = None

    def _count_room(self, more_mb: float, more_adapters: int) -> None:
        used = sum(self.facts.model_mb.get(name, 0.0) for name in self.models) + more_mb
        adapters = sum(len(held) for held in self.models.values()) + more_adapters
        self.counters.overfull += used > self.facts.weights_mb or adapters > self.facts.adapter_slots
