"""The listener and its connections, each with one coroutine and one request at a time."""
from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from tornado import netutil
from tornado.iostream import StreamClosedError

from mulleinhatch.holds import must_hold
from mulleinhatch.transport.stream import GatheringStream

LOG = logging.getLogger(__name__)
BACKLOG = 1024          # what is not accepted yet may hold a whole request already
ACCEPT_RETRY = 0.05     # seconds until a listener without descriptors looks again


class Reader(Protocol):
    """Finds whole messages in the bytes of one connection; a broken one raises ValueError."""

    def room(self) -> memoryview: ...
    def filled(self, count: int) -> None: ...
    def message(self) -> tuple | None: ...
    def started(self) -> bool: ...


class Connection:
    def __init__(self, number: int, stream: GatheringStream, reader: Reader, now: float) -> None:
        self.number, self.stream, self.reader, self.quiet_since = number, stream, reader, now
        self.owing = False       # a message was taken that has no answer yet
        self.last = False        # the answer written is the last one here
        self.settled = asyncio.Event()

    def is_idle(self) -> bool:
        return not self.owing and not self.reader.started()


class Connections:
    def __init__(self, most: int, reader: Callable[[], Reader], clock: Callable[[], float],
                 on_message: Callable[..., None], on_broken: Callable[[int, ValueError], None],
                 on_lost: Callable[[int], None], count: Callable[[str], None]) -> None:
        self.most, self.reader, self.clock, self.count = most, reader, clock, count
        self.on_message, self.on_broken, self.on_lost = on_message, on_broken, on_lost
        self.open: dict[int, Connection] = {}
        self.accepted = 0
        self.tasks: set[asyncio.Task[Any]] = set()

    def listen(self, host: str, port: int) -> int:
        """Starts listening; the port that was bound."""
        sockets = netutil.bind_sockets(port, host, backlog=BACKLOG)
        for sock in sockets:
            netutil.add_accept_handler(sock, self._accept)
        return sockets[0].getsockname()[1]

    def _accept(self, sock: socket.socket, _: Any) -> None:
        if len(self.open) >= self.most and not self._make_room():
            self.count("connections_refused")
            sock.close()
            return
        self.accepted += 1
        self.count("connections_accepted")
        connection = Connection(self.accepted, GatheringStream(sock), self.reader(), self.clock())
        self.open[connection.number] = connection
        task = asyncio.ensure_future(self._converse(connection))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _make_room(self) -> bool:
        """At the bound of descriptors the connection longest without use makes room, one with the start of a
        request only if there is no other: the new one might carry a whole request already."""
        free = [conn for conn in self.open.values() if not conn.owing]
        if not free:
            return False
        self.count("connections_evicted")
        spare = min(free, key=lambda conn: (not conn.is_idle(), conn.quiet_since))
        self._drop(spare)
        return True

    async def _converse(self, connection: Connection) -> None:
        try:
            # Dropped with a request just read: it crossed the close, and its caller sends it once more.
            while not connection.last and connection.number in self.open:
                await self._exchange(connection)
            await connection.stream.write(b"")    # done when all before it has left
        except StreamClosedError:
            pass
        except Exception:
            self.count("errors_inside")
            LOG.exception("connection given up")
        finally:
            self._drop(connection)

    async def _exchange(self, connection: Connection) -> None:
        stream, reader = connection.stream, connection.reader
        try:
            message = reader.message()
        except ValueError as error:
            connection.owing = True
            self.on_broken(connection.number, error)
            return
        if message is None:
            reader.filled(await stream.read_into(reader.room(), partial=True))
            return
        connection.owing = True
        connection.settled.clear()
        stream.park()
        self.on_message(connection.number, *message)
        await connection.settled.wait()

    def _drop(self, connection: Connection) -> None:
        connection.stream.close()
        connection.settled.set()
        if self.open.pop(connection.number, None) and connection.owing:
            self.on_lost(connection.number)

    def answer(self, number: int, pieces: Sequence[bytes], last: bool = False) -> bool:
        """Writes the answer that a connection owes; `last` closes it after. Was there such a connection?"""
        connection = self.open.get(number)
        if connection is None:
            return False
        must_hold(connection.owing, "an answer is written where one is owed")
        connection.owing, connection.last, connection.quiet_since = False, last, self.clock()
        try:
            connection.stream.write_gathered(pieces)
        except StreamClosedError:
            return False
        finally:
            connection.settled.set()
        return True

    def abandon(self, number: int) -> None:
        """Closes a connection whose answer goes elsewhere."""
        if connection := self.open.get(number):
            connection.owing = False
            self._drop(connection)

    def drop_reset(self) -> None:
        """Parked streams hear nothing of a reset: nobody waits there any more, and the op need not be run."""
        for connection in list(self.open.values()):
            if connection.owing and not connection.stream.closed() and connection.stream.was_reset():
                self._drop(connection)

    def close_idle(self, longest: float) -> None:
        """Closes what carried nothing for that long; what holds the start of a request is left."""
        before = self.clock() - longest
        for connection in list(self.open.values()):
            if connection.is_idle() and connection.quiet_since < before:
                self.count("connections_trimmed")
                self._drop(connection)
