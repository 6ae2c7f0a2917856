"""Reading one message of a connection, passing it to the observer, and waiting for its response."""

from __future__ import annotations

import asyncio
import math
import socket
from collections.abc import Callable

from mulleinhatch.instance.transport.connection import Connection
from mulleinhatch.instance.transport.eviction import EvictionRanks
from mulleinhatch.instance.transport.limits import (
    BAD_REQUEST_PAUSE_S,
    MAX_BAD_REQUESTS,
    MAX_EARLY_READ_BYTES,
    MESSAGE_TIMEOUT_S,
)
from mulleinhatch.instance.transport.lingering_close import DISCARD_BUFFER
from mulleinhatch.instance.transport.observer import ConnectionObserver


class MessageExchange:
    """The processing steps of a connection's coroutine.

    Args:
        observer: Receives the messages.
        clock: Monotonic time in seconds.
        ranks: Updated when a connection's state changes.
    """

    def __init__(self, observer: ConnectionObserver, clock: Callable[[], float], ranks: EvictionRanks) -> None:
        self.observer = observer
        self.clock = clock
        self.ranks = ranks
        self.is_answering_early = False

    async def step(self, connection: Connection) -> None:
        """Process the next message if it is complete, else read more of it.

        Raises:
            StreamClosedError: The connection has ended.
            BufferError: The reader has no space for the rest of a message.
        """
        stream, reader = connection.stream, connection.reader
        try:
            message = reader.message()
        except ValueError as error:
            connection.is_response_pending = True
            self.ranks.update(connection)
            self.observer.on_malformed_message(connection.number, error)
            return
        if message is None:
            was_started = reader.started()
            free = reader.free_space()
            if not free:
                # A read into an empty buffer completes without suspending: this coroutine would block the event loop.
                raise BufferError("no buffer space for the rest of a message")
            reader.filled(await stream.read_into(free, partial=True))
            if not was_started:
                connection.deadline = self.clock() + MESSAGE_TIMEOUT_S
            return
        connection.is_response_pending = True
        connection.has_sent_several = connection.has_sent_message
        connection.has_sent_message = True
        connection.deadline = math.inf
        self.ranks.update(connection)
        connection.response_written.clear()
        stream.pause_reading()
        self.observer.on_message(connection.number, *message)
        await connection.response_written.wait()
        if stream.writing():
            # A peer that does not read its responses gets no further ones, which would accumulate in memory.
            connection.deadline = self.clock() + MESSAGE_TIMEOUT_S
            await stream.write(b"")
        if connection.bad_request_count:
            await asyncio.sleep(BAD_REQUEST_PAUSE_S * min(connection.bad_request_count, MAX_BAD_REQUESTS))
        elif reader.started():
            await asyncio.sleep(0)  # lets other connections run before the next pipelined message
        connection.deadline = self.clock() + MESSAGE_TIMEOUT_S if reader.started() else math.inf

    def answer_early(self, connection: Connection) -> bool:
        """Return whether what has arrived was answered without waking the connection's coroutine.

        During a retry storm this rejects a retry at a fraction of the cost of parsing it completely.
        """
        if (
            not self.is_answering_early
            or connection.is_response_pending
            or connection.is_closing
            or connection.reader.started()
            or connection.stream.writing()
        ):
            return False
        sock, now = connection.stream.socket, self.clock()
        try:
            data = sock.recv(MAX_EARLY_READ_BYTES, socket.MSG_PEEK)
            answer = self.observer.answer_early(connection.number, now, data, connection.retry_at) if data else None
            if answer is None:
                return False
            sock.recv_into(DISCARD_BUFFER, len(data))
        except OSError:
            return False
        response, connection.retry_at = answer
        if not connection.has_sent_several:
            connection.has_sent_several = connection.has_sent_message
            connection.has_sent_message = True
            self.ranks.update(connection)
        connection.idle_since, connection.deadline = now, math.inf
        connection.stream.write_immediately(response)
        return True
