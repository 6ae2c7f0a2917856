"""The life of a fake backend: listens, registers with the control plane, and crashes or leaves."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from mulleinhatch.testing.fake_model_server.registration import Registration


class RegisteredServer:
    """One incarnation of a backend; subclasses serve its connections.

    Args:
        address: "HOST:PORT" to listen on.
        registration: Sends its heartbeats.
    """

    def __init__(self, address: str, registration: Registration) -> None:
        self.address = address
        self.registration = registration
        self.writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        raise NotImplementedError

    async def start(self) -> None:
        """Listen and register."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve_connection, host, int(port))
        self.start_task(self.registration.run())

    async def crash(self) -> None:
        """Stop immediately without deregistering; connections are reset."""
        for task in list(self._tasks):
            task.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def leave(self, after_s: float) -> None:
        """Announce draining, serve for `after_s` more seconds, deregister and stop."""
        self.registration.is_draining = True
        await self.registration.send_heartbeat()
        await asyncio.sleep(after_s)
        await self.registration.deregister()
        await self.crash()

    def start_task(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine until it ends or the server crashes."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        finally:
            self.writers.discard(writer)
            writer.close()
