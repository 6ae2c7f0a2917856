"""Connections to backends, kept for the next request: a new one costs both sides, an old one may have been forgotten."""

from __future__ import annotations

import asyncio
from collections import defaultdict

from mulleinhatch.networking.http_connection import ClientConnection, connect, take_usable
from mulleinhatch.networking.http_streaming import Head

CONNECT_S = 0.7
UNTOLD_IDLE_S = 6.0  # how long a connection is kept where the backend names no time
IDLE_MARGIN_S = 0.7  # before the time that the backend named: our request must be there first


def keep_alive_s(head: Head) -> float | None:
    """The time that `Keep-Alive` gives, in seconds."""
    for part in head.first.get(b"keep-alive", b"").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return float(value)
    return None


class BackendPool:
    """Idle connections by the backend's id; the newest is used first, so that few are kept."""

    def __init__(self) -> None:
        self._idle: dict[str, list[ClientConnection]] = defaultdict(list)

    def has_idle(self, backend_id: str) -> bool:
        return any(connection.usable for connection in self._idle.get(backend_id, ()))

    def take(self, backend_id: str) -> ClientConnection | None:
        """An idle connection that may be used."""
        return take_usable(self._idle.get(backend_id, []))

    async def open(self, address: str) -> ClientConnection:
        """A new connection; OSError where there is none."""
        connection = await connect(address, CONNECT_S)
        connection.pool = self
        return connection

    def give_back(self, backend_id: str, connection: ClientConnection, head: Head | None) -> None:
        """Keeps a connection whose answer is complete."""
        if not connection.usable:
            return
        told = keep_alive_s(head) if head is not None else None
        kept = UNTOLD_IDLE_S if told is None else told - IDLE_MARGIN_S
        if kept <= 0:
            connection.close()
            return
        connection.idle_until = asyncio.get_running_loop().time() + kept
        self._idle[backend_id].append(connection)

    def on_idle_loss(self, connection: ClientConnection) -> None:
        """A backend ended an idle connection."""
        for idle in self._idle.values():
            if connection in idle:
                idle.remove(connection)
                return

    def sweep(self, listed: set[str]) -> None:
        """Ends connections that are too old, or whose backend is no longer listed."""
        now = asyncio.get_running_loop().time()
        for backend_id, idle in list(self._idle.items()):
            kept = []
            for connection in idle:
                if backend_id in listed and connection.usable and connection.idle_until > now:
                    kept.append(connection)
                else:
                    connection.close()
            if kept:
                self._idle[backend_id] = kept
            else:
                del self._idle[backend_id]
