"""The accepted connections: one coroutine per connection, one request at a time.

Each resource that a peer can occupy is bounded (`limits`): how long it may be silent, send slowly or leave a response unread,
and how much is read from it in one event loop iteration. When descriptors run out, the least valuable connections are closed.

A connection on which no response is due is closed in one way only (`_half_close`): the local side is shut down, and what the
peer still sends is read to its end and discarded. If it were checked for unread bytes and then closed, a request could arrive
between the two steps; the close would then send a reset, which may also destroy the preceding response.
`docs/design/crossings.md` lists these races.
"""

from __future__ import annotations

import asyncio
import logging
import math
import socket
from collections.abc import Callable, Sequence
from functools import partial
from typing import Any

from tornado.iostream import StreamClosedError

from mulleinhatch.instance.transport.connection import Connection, MessageReader
from mulleinhatch.instance.transport.eviction import EvictionRanks
from mulleinhatch.instance.transport.limits import IN_FLIGHT_S, LINGER_TIMEOUT_S, RESERVED_FRACTION_DIVISOR
from mulleinhatch.instance.transport.lingering_close import linger
from mulleinhatch.instance.transport.listener import ConnectionListener
from mulleinhatch.instance.transport.message_exchange import MessageExchange
from mulleinhatch.instance.transport.observer import ConnectionObserver
from mulleinhatch.instance.transport.stream import GatheringStream
from mulleinhatch.invariants import check

LOG = logging.getLogger(__name__)


class Connections:
    """Owns all accepted connections and their tasks.

    Args:
        max_connections: Limit of open connections; may be changed at any time.
        make_reader: Creates the parser of a connection.
        clock: Monotonic time in seconds.
        observer: Receives the events of the connections.
    """

    def __init__(
        self,
        max_connections: int,
        make_reader: Callable[[], MessageReader],
        clock: Callable[[], float],
        observer: ConnectionObserver,
    ) -> None:
        self.max_connections = max_connections
        self.make_reader = make_reader
        self.clock = clock
        self.observer = observer
        self.count = observer.count
        self.open: dict[int, Connection] = {}
        self.ranks = EvictionRanks()
        self.messages = MessageExchange(observer, clock, self.ranks)
        self.listener = ConnectionListener(self, clock)
        self.accepted_count = 0
        self.tasks: set[asyncio.Task[Any]] = set()
        self.is_shutting_down = False  # if true, each response is the last one of its connection

    def listen(self, host: str, port: int) -> int:
        """Start listening and return the bound port."""
        return self.listener.open(host, port)

    def set_early_answers(self, is_enabled: bool) -> None:
        """Set whether arriving bytes are first passed to `ConnectionObserver.answer_early`."""
        self.messages.is_answering_early = is_enabled

    def add(self, sock: socket.socket) -> None:
        """Add an accepted socket and start its coroutine."""
        sock.setblocking(False)
        self.accepted_count += 1
        self.count("connections_accepted")
        connection = Connection(self.accepted_count, GatheringStream(sock), self.make_reader(), self.clock())
        connection.stream.read_interceptor = partial(self.messages.answer_early, connection)
        self.observer.on_connection_accepted()
        self.open[connection.number] = connection
        self.ranks.update(connection)
        task = asyncio.ensure_future(self._serve(connection))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        if self.max_connections - self.max_connections // RESERVED_FRACTION_DIVISOR < len(self.open) <= self.max_connections:
            self._evict_one()

    def has_capacity(self) -> bool:
        """Return whether another connection may be accepted, after freeing a descriptor if necessary and possible."""
        return len(self.open) <= self.max_connections or self.free_descriptor()

    def free_descriptor(self) -> bool:
        """Drop the connection that was half-closed first, if no request can still be in transit on it.

        Returns:
            Whether one was dropped. If not, another connection is half-closed, and a later call drops it.
        """
        closing = self.ranks.first_closing()
        if closing and self.clock() >= closing.write_closed_at + IN_FLIGHT_S:
            self._drop(closing)
            return True
        self._evict_one()
        return False

    def _evict_one(self) -> None:
        """Half-close the connection that is least valuable to its client, but none with unread bytes: they may be a request."""
        if self.ranks.closing_count() > self.max_connections // RESERVED_FRACTION_DIVISOR:
            return  # enough connections are closing already
        if connection := self.ranks.find_evictable():
            self._half_close(connection, "connections_evicted")

    async def _serve(self, connection: Connection) -> None:
        try:
            # Messages that arrive after the local side was closed are not processed: no response could be written.
            while not connection.is_closing and connection.number in self.open:
                await self.messages.step(connection)
            await linger(connection, self.clock(), self.open)
        except StreamClosedError:
            pass
        except Exception:
            self.count("errors_inside")
            LOG.exception("connection dropped after an unexpected error")
        finally:
            self._drop(connection)

    def _drop(self, connection: Connection) -> None:
        connection.stream.read_interceptor = None
        connection.stream.close()
        # The traceback of a reset references the stream: a reference cycle that lives until a full garbage collection.
        connection.stream.error = None
        connection.response_written.set()
        self.ranks.remove(connection)
        if self.open.pop(connection.number, None) and connection.is_response_pending:
            self.observer.on_connection_lost(connection.number)

    def respond(self, number: int, chunks: Sequence[bytes], is_last: bool = False) -> bool:
        """Write the response that is due on a connection.

        Args:
            number: The connection.
            chunks: Bytes of the response.
            is_last: Whether the connection is closed after it.

        Returns:
            Whether it was written; false if the connection is closed.
        """
        connection = self.open.get(number)
        if connection is None:
            return False
        check(connection.is_response_pending, "a response is written only where one is due")
        now, is_last = self.clock(), is_last or self.is_shutting_down
        connection.is_response_pending, connection.is_closing, connection.idle_since = False, is_last, now
        connection.write_closed_at = now if is_last else math.inf
        self.ranks.update(connection)
        try:
            connection.stream.write_gathered(chunks)
        except StreamClosedError:
            return False
        finally:
            connection.response_written.set()
        return True

    def record_retry_time(self, number: int, at: float) -> None:
        """Record when a connection's response asked its client to retry."""
        if connection := self.open.get(number):
            connection.retry_at = at

    def record_bad_request(self, number: int) -> None:
        """Record a bad request of a connection; each one delays the next read, which limits the rate of bad requests."""
        if connection := self.open.get(number):
            connection.bad_request_count += 1

    def abandon(self, number: int) -> None:
        """Half-close a connection whose response is sent on another one."""
        if connection := self.open.get(number):
            connection.is_response_pending = False
            self._half_close(connection, "connections_abandoned")
            connection.response_written.set()

    def sweep(self, max_idle_s: float) -> None:
        """Close connections that are idle or past their deadline, and detect resets by clients.

        The event loop does not watch a connection on which a response is due, so its reset is only detected here.

        Args:
            max_idle_s: How long a connection may be idle.
        """
        now = self.clock()
        for connection in list(self.open.values()):
            if connection.is_response_pending:
                if not connection.stream.closed() and connection.stream.was_reset():
                    self._drop(connection)
            elif connection.deadline < now:
                self._end_overdue(connection)
            elif connection.is_idle() and connection.idle_since < now - max_idle_s:
                self._close_idle(connection, "connections_trimmed")
        for _ in range(len(self.open) - self.max_connections):  # the limit was lowered
            self._evict_one()

    def _end_overdue(self, connection: Connection) -> None:
        if connection.is_closing or connection.stream.writing():
            self._drop(connection)
        elif not connection.reader.started():
            self._close_idle(connection, "connections_silent")
        elif connection.stream.reading() and not connection.stream.has_unread():  # otherwise this process is late, not the peer
            self._reject_partial(connection)

    def _reject_partial(self, connection: Connection) -> None:
        """Answer an incomplete request before the close, because the rest of it may be arriving."""
        connection.is_response_pending = True  # its rank is updated with the response
        self.observer.on_slow_message(connection.number)
        connection.stream.shut_down_writing()

    def _close_idle(self, connection: Connection, cause: str) -> None:
        if connection.is_idle() and not connection.stream.has_unread():
            self._half_close(connection, cause)

    def _half_close(self, connection: Connection, cause: str) -> None:
        """Close the local side, counted as `cause`; the coroutine reads and discards further input."""
        self.count(cause)
        connection.is_closing, connection.write_closed_at = True, self.clock()
        connection.deadline = connection.write_closed_at + LINGER_TIMEOUT_S
        self.ranks.update(connection)
        connection.stream.shut_down_writing()

    def shut_down(self) -> None:
        """Stop accepting and close all idle connections; called repeatedly until the process stops.

        Connections in the backlog are accepted first. Busy connections are closed by their next response or a later call.
        """
        self.listener.close()
        self.is_shutting_down = True
        for connection in list(self.open.values()):
            if (
                connection.is_response_pending
                or connection.is_closing
                or not connection.stream.reading()
                or connection.stream.has_unread()
            ):
                continue  # its response is still pending and will be its last one
            if connection.reader.started():
                self._reject_partial(connection)
            else:
                self._half_close(connection, "connections_shut")
