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
from mulleinhatch.invariants import must_hold

LOG = logging.getLogger(__name__)
BACKLOG = 256  # what is not accepted yet may hold a whole request already, and its time runs
ACCEPT_RETRY_S = 0.06  # seconds until a listener without descriptors looks again: more than `IN_FLIGHT_S`
HARMLESS_ACCEPT_ERRNOS = (
    errno.EAGAIN,
    errno.ECONNABORTED,
    errno.EINTR,
    errno.EPROTO,
)  # none is left, or it went while it waited
IN_FLIGHT_S = 0.05  # seconds in which a request may cross the end of its connection; its caller sends it once more
FREE_SHARE = 16  # of the places, one in so many is kept free: an ended connection holds its own until the peer closes
MAX_ACCEPTS_PER_TURN = 16  # a flood of new connections must not keep the loop from those it has
MAX_ACCEPT_DELAY_S, MAX_SHEDS_PER_TURN = 0.2, 256  # seconds that new ones may have to wait before they are closed unheard
FIRST_MESSAGE_TIMEOUT_S = 2.0  # seconds in which a new connection is to bring its first message
MESSAGE_TIMEOUT_S = 2.0  # seconds in which a message is to come whole, and an answer to be read
LINGER_TIMEOUT_S, MAX_LINGER_BYTES = 2.0, 64 << 20  # what is still read of a peer after its last answer, and thrown away
BAD_REQUEST_PAUSE_S, MAX_BAD_REQUESTS = 0.1, 10  # seconds before more is read, for each bad request of a connection
RANK_RESPONSE_PENDING = 4  # the rank of those that make no room
MAX_EVICTION_CHECKS = 8  # at spare connections of a rank, for one new one: each look is a system call
MAX_EARLY_READ_BYTES = 4096  # bytes of a request that are looked at before it is read in full
DISCARD_BUFFER = memoryview(bytearray(65536))  # where all that is thrown away is read into


class MessageReader(Protocol):
    """Finds whole messages in the bytes of one connection; a broken one raises ValueError. After `message` gave None there is
    room for more."""

    def free_space(self) -> memoryview: ...
    def filled(self, count: int) -> None: ...
    def message(self) -> tuple | None: ...
    def started(self) -> bool: ...


class Connection:
    def __init__(self, number: int, stream: GatheringStream, reader: MessageReader, now: float) -> None:
        self.number, self.stream, self.reader, self.idle_since = number, stream, reader, now
        self.deadline = now + FIRST_MESSAGE_TIMEOUT_S  # by then the peer must have done its next step
        self.is_response_pending = False  # a message was taken that has no answer yet
        self.is_closing = False  # the answer written is the last one here
        self.has_sent_message = False  # a message was taken from it
        self.has_sent_several = False  # more than one
        self.bad_request_count = 0  # bad requests
        self.write_closed_at = math.inf  # when our side of it ended
        self.response_written = asyncio.Event()
        self.rank_members: dict[int, Connection] = {}
        self.retry_at = 0.0  # when its caller was told to come back

    def is_idle(self) -> bool:
        """Waits for its peer, and nothing was read for it, not even in this turn of the loop."""
        return not self.is_response_pending and not self.is_closing and not self.reader.started() and self.stream.reading()

    def eviction_rank(self) -> int:
        """Who makes room first: the answered, those that never said a whole thing, those that asked once or
        asked badly; what is used again and again is the callers' own."""
        if self.is_response_pending:
            return RANK_RESPONSE_PENDING
        return (
            0
            if self.is_closing
            else 1
            if not self.has_sent_message
            else 2
            if self.bad_request_count or not self.has_sent_several
            else 3
        )

    def is_evictable(self) -> bool:
        """Whether nothing of a caller's is lost by ending it. What came to a new one was never run, and who sent many
        bad requests has sent another one."""
        begun = self.has_sent_message and self.reader.started() or self.stream.has_unread()
        return self.stream.reading() and not begun or self.bad_request_count >= MAX_BAD_REQUESTS


class Connections:
    def __init__(
        self,
        max_connections: int,
        reader: Callable[[], MessageReader],
        clock: Callable[[], float],
        on_message: Callable[..., None],
        on_broken: Callable[[int, ValueError], None],
        on_late: Callable[[int], None],
        on_lost: Callable[[int], None],
        count: Callable[[str], None],
    ) -> None:
        self.max_connections, self.reader, self.clock, self.count = max_connections, reader, clock, count
        self.on_message, self.on_broken, self.on_late, self.on_lost = on_message, on_broken, on_late, on_lost
        self.open: dict[int, Connection] = {}
        # By rank, those longest without use first: at the bound each new connection asks who makes room.
        self.ranks: list[dict[int, Connection]] = [{} for _ in range(RANK_RESPONSE_PENDING + 1)]
        self.accepted = 0
        self.early_answer: Callable[[int, float, bytes, float], tuple[bytes, float] | None] | None = None
        self.on_connected: Callable[[], None] | None = None
        self.backlogged_since = math.inf  # from then on there were always more new ones than could be taken
        self.tasks: set[asyncio.Task[Any]] = set()
        self.listeners: list[socket.socket] = []
        self.is_shutting_down = False  # `shut`: each answer is the last one of its connection

    def listen(self, host: str, port: int) -> int:
        """Starts listening; the port that was bound."""
        self.listeners = netutil.bind_sockets(port, host, backlog=BACKLOG)
        for sock in self.listeners:
            IOLoop.current().add_handler(sock, self._accept, IOLoop.READ)
        return self.listeners[0].getsockname()[1]

    def _accept(self, listener: socket.socket, _: int) -> None:
        now = self.clock()
        self.backlogged_since = min(self.backlogged_since, now)
        late = now - self.backlogged_since > MAX_ACCEPT_DELAY_S
        for _ in range(MAX_SHEDS_PER_TURN if late else MAX_ACCEPTS_PER_TURN):
            if len(self.open) > self.max_connections and not self._free_capacity():
                self._pause_listening(listener)  # taken and closed it would be lost; here it may come in time
                return
            try:
                sock = listener.accept()[0]
            except OSError as error:
                if error.errno not in HARMLESS_ACCEPT_ERRNOS and not (
                    error.errno in (errno.EMFILE, errno.ENFILE) and self._free_capacity()
                ):
                    self._pause_listening(listener)
                self.backlogged_since = math.inf
                return
            if late:
                # We can't keep up: closed with nothing run it has failed, and the others get answers.
                self.count("connections_shed")
                sock.close()
            else:
                self._add(sock)

    def _pause_listening(self, listener: socket.socket) -> None:
        """With nothing to accept into, the loop would do nothing but look at the listener."""
        self.count("accepts_paused")
        self.backlogged_since = math.inf
        IOLoop.current().remove_handler(listener)
        IOLoop.current().call_later(ACCEPT_RETRY_S, self._resume_listening, listener)

    def _resume_listening(self, listener: socket.socket) -> None:
        if listener in self.listeners:
            IOLoop.current().add_handler(listener, self._accept, IOLoop.READ)

    def _add(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.accepted += 1
        self.count("connections_accepted")
        connection = Connection(self.accepted, GatheringStream(sock), self.reader(), self.clock())
        connection.stream.read_interceptor = partial(self._answer_early, connection)
        if self.on_connected:
            self.on_connected()
        self.open[connection.number] = connection
        self._update_rank(connection)
        task = asyncio.ensure_future(self._serve(connection))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        if self.max_connections - self.max_connections // FREE_SHARE < len(self.open) <= self.max_connections:
            self._evict_one()

    def _free_capacity(self) -> bool:
        """Whether one of those above the bound made room: one whose side of ours ended a while ago, so that no request
        can cross it any more. If there is none, one is ended for the next look."""
        ended = next(iter(self.ranks[0].values()), None)
        if ended and self.clock() >= ended.write_closed_at + IN_FLIGHT_S:
            self._drop(ended)
            return True
        self._evict_one()
        return False

    def _evict_one(self) -> None:
        """One that is owed nothing makes room, and none with something unread: it may be a whole request."""
        if len(self.ranks[0]) > self.max_connections // FREE_SHARE:
            return  # enough are on their way out
        for members in self.ranks[1:RANK_RESPONSE_PENDING]:
            for spare in islice(members.values(), MAX_EVICTION_CHECKS):
                if spare.is_evictable():
                    self._half_close(spare, "connections_evicted")
                    return

    def _update_rank(self, connection: Connection) -> None:
        """On each change of what it does: the newest of its rank."""
        connection.rank_members.pop(connection.number, None)
        connection.rank_members = self.ranks[connection.eviction_rank()]
        connection.rank_members[connection.number] = connection

    async def _serve(self, connection: Connection) -> None:
        try:
            # What comes after our side ended is never run: its answer could not be written any more.
            while not connection.is_closing and connection.number in self.open:
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
            connection.is_response_pending = True
            self._update_rank(connection)
            self.on_broken(connection.number, error)
            return
        if message is None:
            was_started = reader.started()
            free = reader.free_space()
            if not free:
                # A read into nothing ends at once, without a wait: this coroutine would go round for ever, and no other run.
                raise BufferError("no room for the rest of a message")
            reader.filled(await stream.read_into(free, partial=True))
            if not was_started:
                connection.deadline = self.clock() + MESSAGE_TIMEOUT_S
            return
        connection.is_response_pending, connection.has_sent_message, connection.has_sent_several = (
            True,
            True,
            connection.has_sent_message,
        )
        connection.deadline = math.inf
        self._update_rank(connection)
        connection.response_written.clear()
        stream.park()
        self.on_message(connection.number, *message)
        await connection.response_written.wait()
        if stream.writing():
            # Who does not read its answers gets no further ones: they would pile up here.
            connection.deadline = self.clock() + MESSAGE_TIMEOUT_S
            await stream.write(b"")
        if connection.bad_request_count:
            await asyncio.sleep(BAD_REQUEST_PAUSE_S * min(connection.bad_request_count, MAX_BAD_REQUESTS))
        elif reader.started():
            await asyncio.sleep(0)  # one that sends ahead takes turns with the others
        connection.deadline = self.clock() + MESSAGE_TIMEOUT_S if reader.started() else math.inf

    async def _linger(self, connection: Connection) -> None:
        """After the last answer the peer's side is read to its end and thrown away: a close with something
        unread is a reset, which would wipe out the answer of one that is still sending."""
        connection.deadline = min(connection.deadline, self.clock() + LINGER_TIMEOUT_S)
        connection.stream.shut_down_writing()
        left = MAX_LINGER_BYTES
        while left > 0 and connection.number in self.open:
            left -= await connection.stream.read_into(DISCARD_BUFFER, partial=True)
            await asyncio.sleep(0)

    def _answer_early(self, connection: Connection) -> bool:
        """While `turn_back` is set, a request that lies there whole is looked at before its coroutine is woken, and
        answered where it stands if that says so: a small part of what it costs to read it in full."""
        if (
            self.early_answer is None
            or connection.is_response_pending
            or connection.is_closing
            or connection.reader.started()
            or connection.stream.writing()
        ):
            return False
        sock, now = connection.stream.socket, self.clock()
        try:
            data = sock.recv(MAX_EARLY_READ_BYTES, socket.MSG_PEEK)
            answer = self.early_answer(connection.number, now, data, connection.retry_at) if data else None
            if answer is None:
                return False
            sock.recv_into(DISCARD_BUFFER, len(data))
        except OSError:
            return False
        response, connection.retry_at = answer
        if not connection.has_sent_several:
            connection.has_sent_message, connection.has_sent_several = True, connection.has_sent_message
            self._update_rank(connection)
        connection.idle_since, connection.deadline = now, math.inf
        connection.stream.write_immediately(response)
        return True

    def record_retry_time(self, number: int, at: float) -> None:
        """Its answer told when to come back."""
        if connection := self.open.get(number):
            connection.retry_at = at

    def _drop(self, connection: Connection) -> None:
        connection.stream.read_interceptor = None
        connection.stream.close()
        connection.stream.error = None  # a reset's traceback holds the stream: a cycle that stays until a full collection
        connection.response_written.set()
        connection.rank_members.pop(connection.number, None)
        if self.open.pop(connection.number, None) and connection.is_response_pending:
            self.on_lost(connection.number)

    def respond(self, number: int, chunks: Sequence[bytes], is_last: bool = False) -> bool:
        """Writes the answer that a connection owes; `is_last` closes it after. Was there such a connection?"""
        connection = self.open.get(number)
        if connection is None:
            return False
        must_hold(connection.is_response_pending, "an answer is written where one is owed")
        now, is_last = self.clock(), is_last or self.is_shutting_down
        connection.is_response_pending, connection.is_closing, connection.idle_since = False, is_last, now
        connection.write_closed_at = now if is_last else math.inf
        self._update_rank(connection)
        try:
            connection.stream.write_gathered(chunks)
        except StreamClosedError:
            return False
        finally:
            connection.response_written.set()
        return True

    def record_bad_request(self, number: int) -> None:
        """Its request was a bad one: what else it sends is read a little later, so that it can't flood us."""
        if connection := self.open.get(number):
            connection.bad_request_count += 1

    def abandon(self, number: int) -> None:
        """Ends a connection whose answer goes elsewhere."""
        if connection := self.open.get(number):
            connection.is_response_pending = False
            self._half_close(connection, "connections_abandoned")
            connection.response_written.set()

    def sweep(self, max_idle_s: float) -> None:
        """Ends what peers let wait too long, and finds callers that went: parked streams hear of no reset."""
        now = self.clock()
        for connection in list(self.open.values()):
            if connection.is_response_pending:
                if not connection.stream.closed() and connection.stream.was_reset():
                    self._drop(connection)
            elif connection.deadline < now:
                self._end_overdue(connection)
            elif connection.is_idle() and connection.idle_since < now - max_idle_s:
                self._end_idle(connection, "connections_trimmed")
        for _ in range(len(self.open) - self.max_connections):  # the bound was lowered
            self._evict_one()

    def _end_overdue(self, connection: Connection) -> None:
        if connection.is_closing or connection.stream.writing():
            self._drop(connection)
        elif not connection.reader.started():
            self._end_idle(connection, "connections_silent")
        elif connection.stream.reading() and not connection.stream.has_unread():  # else it is we who are late
            self._end_partial(connection)

    def _end_partial(self, connection: Connection) -> None:
        """Half a request gets an answer, too: the rest of it may come in this moment."""
        connection.is_response_pending = True  # the answer shelves it
        self.on_late(connection.number)
        connection.stream.shut_down_writing()

    def _end_idle(self, connection: Connection, cause: str) -> None:
        if connection.is_idle() and not connection.stream.has_unread():
            self._half_close(connection, cause)

    def _half_close(self, connection: Connection, cause: str) -> None:
        """Our side ends; the coroutine reads what still comes to its end, and throws it away."""
        self.count(cause)
        connection.is_closing, connection.write_closed_at = True, self.clock()
        connection.deadline = connection.write_closed_at + LINGER_TIMEOUT_S
        self._update_rank(connection)
        connection.stream.shut_down_writing()

    def shut_down(self) -> None:
        """Before the process is stopped: nobody comes any more, and who rests here is told so. What lies in the backlog is
        taken first, as it would be lost with the listener. Called again until the end, for those that were not idle."""
        for listener in self.listeners:
            IOLoop.current().remove_handler(listener)
            for _ in range(2 * BACKLOG):
                try:
                    self._add(listener.accept()[0])
                except OSError:
                    break
            listener.close()
        self.listeners, self.is_shutting_down = [], True
        for connection in list(self.open.values()):
            if (
                connection.is_response_pending
                or connection.is_closing
                or not connection.stream.reading()
                or connection.stream.has_unread()
            ):
                continue  # it has an answer coming, and that is the last one
            if connection.reader.started():
                self._end_partial(connection)
            else:
                self._half_close(connection, "connections_shut")
