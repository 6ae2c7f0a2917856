"""The fake model server's connections and lifecycle."""

from __future__ import annotations

import asyncio
import json
import uuid
from collections.abc import Coroutine
from typing import Any

from mulleinhatch.networking.http_grammar import BadRequestError
from mulleinhatch.networking.http_streaming import Head, MessageReader, write_response
from mulleinhatch.testing.fake_model_server.config import Counters, FakeModelServerConfig
from mulleinhatch.testing.fake_model_server.model_store import ModelStore
from mulleinhatch.testing.fake_model_server.registration import Registration
from mulleinhatch.testing.fake_model_server.request_runner import RequestRunner

READ_BYTES = 65536


class FakeModelServer:
    """One incarnation of a backend.

    Args:
        config: Its properties.
        control_addresses: Addresses of the control-plane nodes.
        models: Models that are loaded at the start, with their adapters.
        disk_models: Models on its disk; by default the loaded ones.

    Attributes:
        id: The id of this incarnation.
        counters: Counters that tests check.
    """

    def __init__(
        self,
        config: FakeModelServerConfig,
        control_addresses: list[str],
        models: dict[str, set[str]] | None = None,
        disk_models: set[str] | None = None,
    ) -> None:
        self.config = config
        self.id = f"i-{uuid.uuid4().hex[:10]}"
        self.counters = Counters()
        self._requests = RequestRunner(self.id, config, self.counters)
        self._store = ModelStore(config, self.counters, models or {}, disk_models, lambda: self.running)
        self._registration = Registration(self.id, config, self._store, control_addresses)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self._connections: set[asyncio.StreamWriter] = set()

    @property
    def models(self) -> dict[str, set[str]]:
        """Return the loaded models with their adapters."""
        return self._store.models

    @property
    def running(self) -> int:
        """Return the number of running requests."""
        return self._requests.running

    async def start(self) -> None:
        """Listen and register."""
        host, _, port = self.config.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve_connection, host, int(port))
        self._start_task(self._registration.run())

    async def crash(self) -> None:
        """Stop without deregistering; connections are reset."""
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._connections):
            writer.transport.abort()
        if self._server is not None:
            self._server.close()

    async def drain(self, after_s: float) -> None:
        """Announce draining, serve for `after_s` more seconds, deregister and stop."""
        self._registration.is_draining = True
        await self._registration.send_heartbeat()
        await asyncio.sleep(after_s)
        await self._registration.deregister()
        await self.crash()

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        messages = MessageReader(reads_responses=False)
        try:
            while data := await reader.read(READ_BYTES):
                messages.feed(data)
                while (head := messages.head()) is not None:
                    body = messages.body()
                    while not messages.done:
                        messages.feed(await reader.read(READ_BYTES) or b"")
                        body += messages.body()
                    messages.next()
                    await self._handle(head, body, writer)
        except (OSError, BadRequestError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _handle(self, head: Head, body: bytes, writer: asyncio.StreamWriter) -> None:
        own_id = (b"Instance-Id", self.id.encode())
        expected_id = head.field_values.get(b"expect-instance", self.id.encode()).decode()
        if expected_id != self.id:
            writer.write(write_response(421, [own_id], b""))
        elif head.target == b"/report":
            writer.write(write_response(200, [], json.dumps(self._report()).encode()))
        elif head.target == b"/health":
            writer.write(write_response(503 if self._registration.is_draining else 200, [own_id], b""))
        elif head.target == b"/order":
            status, message, work = self._store.accept(json.loads(body))
            if work is not None:
                self._start_task(work)
            writer.write(write_response(status, [], json.dumps({"message": message}).encode()))
        else:
            await self._requests.run(head, self._store, writer)

    def _report(self) -> dict[str, Any]:
        return {
            "models": self._store.records(),
            "busy": self._store.order is not None,
            "sequence": self._store.revision,
            "waiting": self._requests.waiting,
            "running": self._requests.running,
        }
