"""The listener and its connections, each with one coroutine and one request at a time.

What a peer may cost is bounded here: how long it may keep silent, trickle or leave an answer unread, how much is
read for it in a turn of the loop, and who makes room when descriptors run out.

There is one way to end a connection that is owed nothing (`_end`): our side is shut, and what still comes is read to its
end and thrown away. A look for unread bytes and then a close leaves a moment between the two in which a request may come:
the close is then a reset, and the answer before it may go with it. `docs/design/crossings.md` has the table.
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

from mulleinhatch.instance.transport.stream import GatheringStream
from mulleinhatch.invariants import check

LOG = logging.getLogger(__name__)
BACKLOG = 256  # what is not accepted yet may hold a whole request already, and its time runs
ACCEPT_RETRY = 0.06  # seconds until a listener without descriptors looks again: more than `CROSSING`
ACCEPT_ENDS = (errno.EAGAIN, errno.ECONNABORTED, errno.EINTR, errno.EPROTO)  # none is left, or it went while it waited
CROSSING = 0.05  # seconds in which a request may cross the end of its connection; its caller sends it once more
ROOM_PART = 16  # of the places, one in so many is kept free: an ended connection holds its own until the peer closes
ACCEPTS_A_TURN = 16  # a flood of new connections must not keep the loop from those it has
NEW_WAIT, SHEDS_A_TURN = 0.2, 256  # seconds that new ones may have to wait before they are closed unheard
FIRST_WAIT = 2.0  # seconds in which a new connection is to bring its first message
MESSAGE_WAIT = 2.0  # seconds in which a message is to come whole, and an answer to be read
LINGER, LINGER_BYTES = 2.0, 64 << 20  # what is still read of a peer after its last answer, and thrown away
BLAME_PAUSE, BLAMED_MOST = 0.1, 10  # seconds before more is read, for each bad request of a connection
OWED = 4  # the rank of those that make no room
LOOKS = 8  # at spare connections of a rank, for one new one: each look is a system call
LOOK = 4096  # bytes of a request that are looked at before it is read in full
WASTE = memoryview(bytearray(65536))  # where all that is thrown away is read into


class Reader(Protocol):
    """Finds whole messages in the bytes of one connection; a broken one raises ValueError. After `message` gave None there is
    room for more."""

    def room(self) -> memoryview: ...
    def filled(self, count: int) -> None: ...
    def message(self) -> tuple | None: ...
    def started(self) -> bool: ...


class Connection:
    def __init__(self, number: int, stream: GatheringStream, reader: Reader, now: float) -> None:
        self.number, self.stream, self.reader, self.quiet_since = number, stream, reader, now
        self.due = now + FIRST_WAIT  # by then the peer must have done its next step
        self.owing = False  # a message was taken that has no answer yet
        self.last = False  # the answer written is the last one here
        self.heard = False  # a message was taken from it
        self.again = False  # more than one
        self.blamed = 0  # bad requests
        self.ended_at = math.inf  # when our side of it ended
        self.settled = asyncio.Event()
        self.shelf: dict[int, Connection] = {}
        self.back_at = 0.0  # when its caller was told to come back

    def is_idle(self) -> bool:
        """Waits for its peer, and nothing was read for it, not even in this turn of the loop."""
        return not self.owing and not self.last and not self.reader.started() and self.stream.reading()

    def spare_rank(self) -> int:
        """Who makes room first: the answered, those that never said a whole thing, those that asked once or
        asked badly; what is used again and again is the callers' own."""
        if self.owing:
            return OWED
        return 0 if self.last else 1 if not self.heard else 2 if self.blamed or not self.again else 3

    def is_spare(self) -> bool:
        """Whether nothing of a caller's is lost by ending it. What came to a new one was never run, and who sent many
        bad requests has sent another one."""
        begun = self.heard and self.reader.started() or self.stream.has_unread()
        return self.stream.reading() and not begun or self.blamed >= BLAMED_MOST


class Connections:
    def __init__(
        self,
        most: int,
        reader: Callable[[], Reader],
        clock: Callable[[], float],
        on_message: Callable[..., None],
        on_broken: Callable[[int, ValueError], None],
        on_late: Callable[[int], None],
        on_lost: Callable[[int], None],
        count: Callable[[str], None],
    ) -> None:
        self.most, self.reader, self.clock, self.count = most, reader, clock, count
        self.on_message, self.on_broken, self.on_late, self.on_lost = on_message, on_broken, on_late, on_lost
        self.open: dict[int, Connection] = {}
        # By rank, those longest without use first: at the bound each new connection asks who makes room.
        self.shelves: list[dict[int, Connection]] = [{} for _ in range(OWED + 1)]
        self.accepted = 0
        self.turn_back: Callable[[int, float, bytes, float], tuple[bytes, float] | None] | None = None
        self.on_connected: Callable[[], None] | None = None
        self.waiting_since = math.inf  # from then on there were always more new ones than could be taken
        self.tasks: set[asyncio.Task[Any]] = set()
        self.listeners: list[socket.socket] = []
        self.closing = False  # `shut`: each answer is the last one of its connection

    def listen(self, host: str, port: int) -> int:
        """Starts listening; the port that was bound."""
        self.listeners = netutil.bind_sockets(port, host, backlog=BACKLOG)
        for sock in self.listeners:
            IOLoop.current().add_handler(sock, self._accept, IOLoop.READ)
        return self.listeners[0].getsockname()[1]

    def _accept(self, listener: socket.socket, _: int) -> None:
        now = self.clock()
        self.waiting_since = min(self.waiting_since, now)
        late = now - self.waiting_since > NEW_WAIT
        for _ in range(SHEDS_A_TURN if late else ACCEPTS_A_TURN):
            if len(self.open) > self.most and not self._make_room():
                self._pause_listening(listener)  # taken and closed it would be lost; here it may come in time
                return
            try:
                sock = listener.accept()[0]
            except OSError as error:
                if error.errno not in ACCEPT_ENDS and not (error.errno in (errno.EMFILE, errno.ENFILE) and self._make_room()):
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
        self.waiting_since = math.inf
        IOLoop.current().remove_handler(listener)
        IOLoop.current().call_later(ACCEPT_RETRY, self._resume_listening, listener)

    def _resume_listening(self, listener: socket.socket) -> None:
        if listener in self.listeners:
            IOLoop.current().add_handler(listener, self._accept, IOLoop.READ)

    def _take(self, sock: socket.socket) -> None:
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
        if self.most - self.most // ROOM_PART < len(self.open) <= self.most:
            self._end_spare()

    def _make_room(self) -> bool:
        """Whether one of those above the bound made room: one whose side of ours ended a while ago, so that no request
        can cross it any more. If there is none, one is ended for the next look."""
        ended = next(iter(self.shelves[0].values()), None)
        if ended and self.clock() >= ended.ended_at + CROSSING:
            self._drop(ended)
            return True
        self._end_spare()
        return False

    def _end_spare(self) -> None:
        """One that is owed nothing makes room, and none with something unread: it may be a whole request."""
        if len(self.shelves[0]) > self.most // ROOM_PART:
            return  # enough are on their way out
        for shelf in self.shelves[1:OWED]:
            for spare in islice(shelf.values(), LOOKS):
                if spare.is_spare():
                    self._end(spare, "connections_evicted")
                    return

    def _shelve(self, connection: Connection) -> None:
        """On each change of what it does: the newest of its rank."""
        connection.shelf.pop(connection.number, None)
        connection.shelf = self.shelves[connection.spare_rank()]
        connection.shelf[connection.number] = connection

    async def _converse(self, connection: Connection) -> None:
        try:
            # What comes after our side ended is never run: its answer could not be written any more.
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
            room = reader.room()
            if not room:
                # A read into nothing ends at once, without a wait: this coroutine would go round for ever, and no other run.
                raise BufferError("no room for the rest of a message")
            reader.filled(await stream.read_into(room, partial=True))
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
            await asyncio.sleep(0)  # one that sends ahead takes turns with the others
        connection.due = self.clock() + MESSAGE_WAIT if reader.started() else math.inf

    async def _linger(self, connection: Connection) -> None:
        """After the last answer the peer's side is read to its end and thrown away: a close with something
        unread is a reset, which would wipe out the answer of one that is still sending."""
        connection.due = min(connection.due, self.clock() + LINGER)
        connection.stream.end_writing()
        left = LINGER_BYTES
        while left > 0 and connection.number in self.open:
            left -= await connection.stream.read_into(WASTE, partial=True)
            await asyncio.sleep(0)

    def _at_the_door(self, connection: Connection) -> bool:
        """While `turn_back` is set, a request that lies there whole is looked at before its coroutine is woken, and
        answered where it stands if that says so: a small part of what it costs to read it in full."""
        if (
            self.turn_back is None
            or connection.owing
            or connection.last
            or connection.reader.started()
            or connection.stream.writing()
        ):
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
        connection.stream.error = None  # a reset's traceback holds the stream: a cycle that stays until a full collection
        connection.settled.set()
        connection.shelf.pop(connection.number, None)
        if self.open.pop(connection.number, None) and connection.owing:
            self.on_lost(connection.number)

    def answer(self, number: int, pieces: Sequence[bytes], last: bool = False) -> bool:
        """Writes the answer that a connection owes; `last` closes it after. Was there such a connection?"""
        connection = self.open.get(number)
        if connection is None:
            return False
        check(connection.owing, "an answer is written where one is owed")
        now, last = self.clock(), last or self.closing
        connection.owing, connection.last, connection.quiet_since = False, last, now
        connection.ended_at = now if last else math.inf
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
        """Ends a connection whose answer goes elsewhere."""
        if connection := self.open.get(number):
            connection.owing = False
            self._end(connection, "connections_abandoned")
            connection.settled.set()

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
        for _ in range(len(self.open) - self.most):  # the bound was lowered
            self._end_spare()

    def _end_late(self, connection: Connection) -> None:
        if connection.last or connection.stream.writing():
            self._drop(connection)
        elif not connection.reader.started():
            self._end_idle(connection, "connections_silent")
        elif connection.stream.reading() and not connection.stream.has_unread():  # else it is we who are late
            self._end_begun(connection)

    def _end_begun(self, connection: Connection) -> None:
        """Half a request gets an answer, too: the rest of it may come in this moment."""
        connection.owing = True  # the answer shelves it
        self.on_late(connection.number)
        connection.stream.end_writing()

    def _end_idle(self, connection: Connection, cause: str) -> None:
        if connection.is_idle() and not connection.stream.has_unread():
            self._end(connection, cause)

    def _end(self, connection: Connection, cause: str) -> None:
        """Our side ends; the coroutine reads what still comes to its end, and throws it away."""
        self.count(cause)
        connection.last, connection.ended_at = True, self.clock()
        connection.due = connection.ended_at + LINGER
        self._shelve(connection)
        connection.stream.end_writing()

    def shut(self) -> None:
        """Before the process is stopped: nobody comes any more, and who rests here is told so. What lies in the backlog is
        taken first, as it would be lost with the listener. Called again until the end, for those that were not idle."""
        for listener in self.listeners:
            IOLoop.current().remove_handler(listener)
            for _ in range(2 * BACKLOG):
                try:
                    self._take(listener.accept()[0])
                except OSError:
                    break
            listener.close()
        self.listeners, self.closing = [], True
        for connection in list(self.open.values()):
            if connection.owing or connection.last or not connection.stream.reading() or connection.stream.has_unread():
                continue  # it has an answer coming, and that is the last one
            if connection.reader.started():
                self._end_begun(connection)
            else:
                self._end(connection, "connections_shut")
