"""Pool of idle connections to backends.

Reusing a connection saves both sides the cost of a new one, but one that has been idle for long may have been dropped by the
backend or by the network.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict

from mulleinhatch.networking.http_connection import ClientConnection, connect, take_usable
from mulleinhatch.networking.http_streaming import Head

CONNECT_TIMEOUT_S = 0.7
DEFAULT_IDLE_TIMEOUT_S = 6.0  # If the backend's `Keep-Alive` has no timeout.
MAX_REQUESTS_PER_CONNECTION = 1000  # Bounds the request ids that a connection remembers.
IDLE_TIMEOUT_MARGIN_S = 0.7  # Close this long before the backend's timeout, so that no request arrives after it.


def keep_alive_timeout_s(head: Head) -> float | None:
    """Return the timeout of a response's `Keep-Alive` field in seconds, None if there is none."""
    for parameter in head.field_values.get(b"keep-alive", b"").split(b","):
        name, _, value = parameter.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return float(value)
    return None


class ConnectionPool:
    """Idle connections by backend id. The newest is used first, so that surplus ones expire."""

    def __init__(self) -> None:
        self._idle: dict[str, list[ClientConnection]] = defaultdict(list)

    def has_idle(self, backend_id: str) -> bool:
        """Return whether the backend has a usable idle connection."""
        return any(connection.usable for connection in self._idle.get(backend_id, ()))

    def acquire(self, backend_id: str, request_id: bytes) -> ClientConnection | None:
        """Take an idle connection out of the pool that may carry a request with this id; None if there is none."""
        return take_usable(self._idle.get(backend_id, []), lambda connection: connection.can_carry(request_id))

    async def open(self, address: str) -> ClientConnection:
        """Open a new connection.

        Raises:
            OSError: The backend could not be reached within `CONNECT_TIMEOUT_S`.
        """
        connection = await connect(address, CONNECT_TIMEOUT_S)
        connection.pool = self
        return connection

    def release(self, backend_id: str, connection: ClientConnection, head: Head | None) -> None:
        """Return a connection after a complete response, whose `head` may contain the backend's idle timeout."""
        if not connection.usable:
            return
        if connection.requests >= MAX_REQUESTS_PER_CONNECTION:
            connection.close()
            return
        timeout_s = keep_alive_timeout_s(head) if head is not None else None
        idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S if timeout_s is None else timeout_s - IDLE_TIMEOUT_MARGIN_S
        if idle_timeout_s <= 0:
            connection.close()
            return
        connection.idle_until = asyncio.get_running_loop().time() + idle_timeout_s
        self._idle[backend_id].append(connection)

    def put_back(self, backend_id: str, connection: ClientConnection) -> None:
        """Return a connection on which nothing was sent; if it came from the pool, its expiry does not change."""
        if not connection.usable:
            return
        if not connection.idle_until:
            connection.idle_until = asyncio.get_running_loop().time() + DEFAULT_IDLE_TIMEOUT_S
        self._idle[backend_id].append(connection)

    def on_idle_loss(self, connection: ClientConnection) -> None:
        """Remove an idle connection that the backend closed."""
        for idle in self._idle.values():
            if connection in idle:
                idle.remove(connection)
                return

    def sweep(self, registered: set[str]) -> None:
        """Close idle connections that have expired, or whose backend is not among the `registered` ids."""
        now = asyncio.get_running_loop().time()
        for backend_id, idle in list(self._idle.items()):
            kept = []
            for connection in idle:
                if backend_id in registered and connection.usable and connection.idle_until > now:
                    kept.append(connection)
                else:
                    connection.close()
            if kept:
                self._idle[backend_id] = kept
            else:
                del self._idle[backend_id]
