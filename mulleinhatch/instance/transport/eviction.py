"""The order in which connections are closed to free descriptors."""

from __future__ import annotations

from itertools import islice

from mulleinhatch.instance.transport.connection import RANK_CLOSING, RANK_RESPONSE_PENDING, RANK_SILENT, Connection
from mulleinhatch.instance.transport.limits import MAX_EVICTION_CHECKS


class EvictionRanks:
    """The open connections by eviction rank, least recently used first within a rank.

    Updated on each request, so that accepting a connection at the limit needs no scan of all connections.
    """

    def __init__(self) -> None:
        self._ranks: list[dict[int, Connection]] = [{} for _ in range(RANK_RESPONSE_PENDING + 1)]

    def update(self, connection: Connection) -> None:
        """Move a connection whose state changed to the end of its rank."""
        connection.rank_members.pop(connection.number, None)
        connection.rank_members = self._ranks[connection.eviction_rank()]
        connection.rank_members[connection.number] = connection

    def remove(self, connection: Connection) -> None:
        """Remove a dropped connection."""
        connection.rank_members.pop(connection.number, None)

    def closing_count(self) -> int:
        """Return how many connections are half-closed and wait for their peer's close."""
        return len(self._ranks[RANK_CLOSING])

    def first_closing(self) -> Connection | None:
        """Return the connection that has been closing for longest, or None."""
        return next(iter(self._ranks[RANK_CLOSING].values()), None)

    def find_evictable(self) -> Connection | None:
        """Return the open connection that is least valuable to its client, or None if each may carry a request."""
        for members in self._ranks[RANK_SILENT:RANK_RESPONSE_PENDING]:
            for connection in islice(members.values(), MAX_EVICTION_CHECKS):
                if connection.is_evictable():
                    return connection
        return None
