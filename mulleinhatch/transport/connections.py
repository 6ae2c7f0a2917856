"""The listener and its connections, each with one coroutine and one request at a time.

What a peer may cost is bounded here: how long it may keep silent, trickle or leave an answer unread, how much is
read for it in a turn of the loop, and who makes room when descriptors run out.
"""
from __future__ import annotations

import asyncio
import errno
import logging
import math
import socket
from collections.abc import Callable, Sequence
from functools import partial
from itertools import islice
from typing import Any, Protocol

from tornado import netutil
from tornado.ioloop import IOLoop
from tornado.iostream import StreamClosedError

from mulleinhatch.holds import must_hold
from mulleinhatch.transport.stream import GatheringStream

LOG = logging.getLogger(__name__)
BACKLOG = 256           # what is not accepted yet may hold a whole request already, and its time runs
ACCEPT_RETRY = 0.05     # seconds until a listener without descriptors looks again
ACCEPTS_A_TURN = 16     # a flood of new connections must not keep the loop from those it has
NEW_WAIT, SHEDS_A_TURN = 0.2, 256     # seconds that new ones may have to wait before they are closed unheard
FIRST_WAIT = 2.0        # seconds in which a new connection is to bring its first message
MESSAGE_WAIT = 2.0      # seconds in which a message is to come whole, and an answer to be read
LINGER, LINGER_BYTES = 2.0, 64 << 20    # what is still read of a peer after its last answer, and thrown away
BLAME_PAUSE, BLAMED_MOST = 0.1, 10      # seconds before more is read, for each bad request of a connection
OWED = 4                # the rank of those that make no room
LOOKS = 8               # at spare connections of a rank, for one new one: each look is a system call
LOOK = 4096             # bytes of a request that are looked at before it is read in full
WASTE = memoryview(bytearray(65536))    # where all that is thrown away is read into


class Reader(Protocol):
    """Finds whole messages in the bytes of one connection; a broken one raises ValueError."""

    def room(self) -> memoryview: ...
    def filled(self, count: int) -> None: ...
    def message(self) -> tuple | None: ...
    def started(self) -> bool: ...


class Connection:
    def __init__(self, number: int, stream: GatheringStream, reader: Reader, now: float) -> None:
        self.number, self.stream, self.reader, self.quiet_since = number, stream, reader, now
        self.due = now + FIRST_WAIT     # by then the peer must have done its next step
        self.owing = False       # a message was taken that has no answer yet
        self.last = False        # the answer written is the last one here
        self.heard = False       # a message was taken from it
        self.again = False       # more than one
        self.blamed = 0          # bad requests
        self.settled = asyncio.Event()
        self.shelf: dict[int, Connection] = {}
        self.back_at = 0.0       # when its caller was told to come back

    def is_idle(self) -> bool:
        return not self.owing and not self.last and not self.reader.started()

    def spare_rank(self) -> int:
        """Who makes room first: the answered, those that never said a whole thing, those that asked once or
        asked badly; what is used again and again is the callers' own."""
        if self.owing:
            return OWED
        return 0 if self.last else 1 if not self.heard else 2 if self.blamed or not self.again else 3

    def is_spare(self) -> bool:
        """Whether nothing of a caller's is lost by closing it. What came to a new one was never run."""
        return self.last or not (self.heard and self.reader.started() or self.stream.has_unread())


class Connections:
    def __init__(self, most: int, reader: Callable[[], Reader], clock: Callable[[], float],
                 on_message: Callable[..., None], on_broken: Callable[[int, ValueError], None],
                 on_late: Callable[[int], None], on_lost: Callable[[int], None],
                 count: Callable[[str], None]) -> None:
        self.most, self.reader, self.clock, self.count = most, reader, clock, count
        self.on_message, self.on_broken, self.on_late, self.on_lost = on_message, on_broken, on_late, on_lost
        self.open: dict[int, Connection] = {}
        # By rank, those longest without use first: at the bound each new connection asks who makes room.
        self.shelves: list[dict[int, Connection]] = [{} for _ in range(OWED + 1)]
        self.accepted = 0
        self.turn_back: Callable[[int, float, bytes, float], tuple[bytes, float] | None] | None = None
        self.on_connected: Callable[[], None] | None = None
        self.waiting_since = math.inf    # from then on there were always more new ones than could be taken
        self.tasks: set[asyncio.Task[Any]] = set()

    def listen(self, host: str, port: int) -> int:
        """Starts listening; the port that was bound."""
        sockets = netutil.bind_sockets(port, host, backlog=BACKLOG)
        for sock in sockets:
            IOLoop.current().add_handler(sock, self._accept, IOLoop.READ)
        return sockets[0].getsockname()[1]

    def _accept(self, listener: socket.socket, _: int) -> None:
        now = self.clock()
        self.waiting_since = min(self.waiting_since, now)
        late = now - self.waiting_since > NEW_WAIT
        for _ in range(SHEDS_A_TURN if late else ACCEPTS_A_TURN):
            try:
                sock = listener.accept()[0]
            except OSError as error:    # none is left, it went while it waited, or no descriptor is free
                if error.errno in (errno.EMFILE, errno.ENFILE) and not self._make_room():
                    self._pause_listening(listener)
                self.waiting_since = math.inf
                return
            if late:
                # We can't keep up: closed with nothing run it has failed, and the others get answers.
                self.count("connections_shed")
                sock.close()
            else:
                self._take(sock)

    def _pause_listening(self, listener: socket.socket) -> None:
        """With nothing to accept into, the loop would do nothing but look at the listener."""
        self.count("accepts_paused")
        loop = IOLoop.current()
        loop.remove_handler(listener)
        loop.call_later(ACCEPT_RETRY, loop.add_handler, listener, self._accept, IOLoop.READ)

    def _take(self, sock: socket.socket) -> None:
        if len(self.open) >= self.most and not self._make_room():
            self.count("connections_refused")
            sock.close()
            return
        sock.setblocking(False)
        self.accepted += 1
        self.count("connections_accepted")
        connection = Connection(self.accepted, GatheringStream(sock), self.reader(), self.clock())
        connection.stream.doorman = partial(self._at_the_door, connection)
        if self.on_connected:
            self.on_connected()
        self.open[connection.number] = connection
        self._shelve(connection)
        task = asyncio.ensure_future(self._converse(connection))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _make_room(self) -> bool:
        """At the bound of descriptors one that is owed nothing makes room, and nothing unread is closed: it may
        be a whole request. The new one might carry a whole request already."""
        for shelf in self.shelves[:OWED]:
            for spare in islice(shelf.values(), LOOKS):
                if spare.is_spare():
                    self.count("connections_evicted")
                    self._drop(spare)
                    return True
        return False

    def _shelve(self, connection: Connection) -> None:
        """On each change of what it does: the newest of its rank."""
        connection.shelf.pop(connection.number, None)
        connection.shelf = self.shelves[connection.spare_rank()]
        connection.shelf[connection.number] = connection

    async def _converse(self, connection: Connection) -> None:
        try:
            # Dropped with a request just read: it crossed the close, and its caller sends it once more.
            while not connection.last and connection.number in self.open:
                await self._exchange(connection)
            await self._linger(connection)
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
            self._shelve(connection)
            self.on_broken(connection.number, error)
            return
        if message is None:
            was_started = reader.started()
            reader.filled(await stream.read_into(reader.room(), partial=True))
            if not was_started:
                connection.due = self.clock() + MESSAGE_WAIT
            return
        connection.owing, connection.heard, connection.again = True, True, connection.heard
        connection.due = math.inf
        self._shelve(connection)
        connection.settled.clear()
        stream.park()
        self.on_message(connection.number, *message)
        await connection.settled.wait()
        if stream.writing():
            # Who does not read its answers gets no further ones: they would pile up here.
            connection.due = self.clock() + MESSAGE_WAIT
            await stream.write(b"")
        if connection.blamed:
            await asyncio.sleep(BLAME_PAUSE * min(connection.blamed, BLAMED_MOST))
        elif reader.started():
            await asyncio.sleep(0)    # one that sends ahead takes turns with the others
        connection.due = self.clock() + MESSAGE_WAIT if reader.started() else math.inf

    async def _linger(self, connection: Connection) -> None:
        """After the last answer the peer's side is read to its end and thrown away: a close with something
        unread is a reset, which would wipe out the answer of one that is still sending."""
        connection.due = self.clock() + LINGER
        await connection.stream.write(b"")    # done when all before it has left
        connection.stream.end_writing()
        left = LINGER_BYTES
        while left > 0 and connection.number in self.open:
            left -= await connection.stream.read_into(WASTE, partial=True)
            await asyncio.sleep(0)

    def _at_the_door(self, connection: Connection) -> bool:
        """While `turn_back` is set, a request that lies there whole is looked at before its coroutine is woken, and
        answered where it stands if that says so: a small part of what it costs to read it in full."""
        if (self.turn_back is None or connection.owing or connection.last or connection.reader.started()
                or connection.stream.writing()):
            return False
        sock, now = connection.stream.socket, self.clock()
        try:
            data = sock.recv(LOOK, socket.MSG_PEEK)
            answer = self.turn_back(connection.number, now, data, connection.back_at) if data else None
            if answer is None:
                return False
            sock.recv_into(WASTE, len(data))
        except OSError:
            return False
        words, connection.back_at = answer
        if not connection.again:
            connection.heard, connection.again = True, connection.heard
            self._shelve(connection)
        connection.quiet_since, connection.due = now, math.inf
        connection.stream.write_at_once(words)
        return True

    def told_back(self, number: int, at: float) -> None:
        """Its answer told when to come back."""
        if connection := self.open.get(number):
            connection.back_at = at

    def _drop(self, connection: Connection) -> None:
        connection.stream.doorman = None
        connection.stream.close()
        connection.settled.set()
        connection.shelf.pop(connection.number, None)
        if self.open.pop(connection.number, None) and connection.owing:
            self.on_lost(connection.number)

    def answer(self, number: int, pieces: Sequence[bytes], last: bool = False) -> bool:
        """Writes the answer that a connection owes; `last` closes it after. Was there such a connection?"""
        connection = self.open.get(number)
        if connection is None:
            return False
        must_hold(connection.owing, "an answer is written where one is owed")
        connection.owing, connection.last, connection.quiet_since = False, last, self.clock()
        self._shelve(connection)
        try:
            connection.stream.write_gathered(pieces)
        except StreamClosedError:
            return False
        finally:
            connection.settled.set()
        return True

    def blame(self, number: int) -> None:
        """Its request was a bad one: what else it sends is read a little later, so that it can't flood us."""
        if connection := self.open.get(number):
            connection.blamed += 1

    def abandon(self, number: int) -> None:
        """Closes a connection whose answer goes elsewhere."""
        if connection := self.open.get(number):
            connection.owing = False
            self._drop(connection)

    def sweep(self, longest_idle: float) -> None:
        """Ends what peers let wait too long, and finds callers that went: parked streams hear of no reset."""
        now = self.clock()
        for connection in list(self.open.values()):
            if connection.owing:
                if not connection.stream.closed() and connection.stream.was_reset():
                    self._drop(connection)
            elif connection.due < now:
                self._end_late(connection)
            elif connection.is_idle() and connection.quiet_since < now - longest_idle:
                self._end_idle(connection, "connections_trimmed")

    def _end_late(self, connection: Connection) -> None:
        if connection.last or connection.stream.writing():
            self._drop(connection)
        elif not connection.reader.started():
            self._end_idle(connection, "connections_silent")
        elif not connection.stream.has_unread():    # else it is we who are late
            connection.owing, connection.due = True, self.clock() + LINGER    # the answer shelves it
            self.on_late(connection.number)
            connection.stream.end_writing()

    def _end_idle(self, connection: Connection, cause: str) -> None:
        if not connection.stream.has_unread():
            self.count(cause)
            self._drop(connection)
