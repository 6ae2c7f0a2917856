"""The fake model server's connections and lifecycle."""

from __future__ import annotations

import asyncio
import json
import uuid
from typing import Any

from mulleinhatch.networking.http_grammar import BadRequestError
from mulleinhatch.networking.http_streaming import Head, MessageReader, write_response
from mulleinhatch.testing.fake_model_server.config import Counters, FakeModelServerConfig
from mulleinhatch.testing.fake_model_server.model_store import ModelStore
from mulleinhatch.testing.fake_model_server.registered_server import RegisteredServer
from mulleinhatch.testing.fake_model_server.registration import Registration
from mulleinhatch.testing.fake_model_server.request_runner import RequestRunner

READ_BYTES = 65536


class FakeModelServer(RegisteredServer):
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
        super().__init__(config.address, Registration(self.id, config, self._store, control_addresses))

    @property
    def models(self) -> dict[str, set[str]]:
        """Return the loaded models with their adapters."""
        return self._store.models

    @property
    def running(self) -> int:
        """Return the number of running requests."""
        return self._requests.running

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve requests, orders and reports one after another."""
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

    async def _handle(self, head: Head, body: bytes, writer: asyncio.StreamWriter) -> None:
        own_id = (b"Instance-Id", self.id.encode())
        expected_id = head.field_values.get(b"expect-instance", self.id.encode()).decode()
        if expected_id != self.id:
            writer.write(write_response(421, [own_id], b""))
        elif head.target == b"/report":
            writer.write(write_response(200, [], json.dumps(self._report()).encode()))
        elif head.target == b"/health":
            writer.write(write_response(503 if self.registration.is_draining else 200, [own_id], b""))
        elif head.target == b"/order":
            status, message, work = self._store.accept(json.loads(body))
            if work is not None:
                self.start_task(work)
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
