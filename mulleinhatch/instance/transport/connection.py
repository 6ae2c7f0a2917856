"""The state of one accepted connection."""

from __future__ import annotations

import asyncio
import math
from typing import Protocol

from mulleinhatch.instance.transport.limits import FIRST_MESSAGE_TIMEOUT_S, MAX_BAD_REQUESTS
from mulleinhatch.instance.transport.stream import GatheringStream

# Eviction ranks: connections of a lower rank are closed first. Integers instead of an enum, as a rank is computed per request.
RANK_CLOSING, RANK_SILENT, RANK_SINGLE_USE, RANK_REUSED, RANK_RESPONSE_PENDING = range(5)


class MessageReader(Protocol):
    """Finds complete messages in the bytes of one connection."""

    def free_space(self) -> memoryview:
        """Return the buffer for the next read; never empty after `message` returned None."""

    def filled(self, count: int) -> None:
        """Record that `count` bytes were read into `free_space()`."""

    def message(self) -> tuple | None:
        """Return the next complete message, or None.

        Raises:
            ValueError: The bytes are not a message.
        """

    def started(self) -> bool:
        """Return whether a message has begun and is not complete."""


class Connection:
    """One accepted connection; at most one of its messages is processed at a time.

    Attributes:
        number: Identifies the connection; counted from 1.
        stream: The socket with its buffers.
        reader: Parser of the peer's messages.
        idle_since: Time of the last response, or of the accept.
        deadline: Time by which the peer must take its next step; infinite while none is expected.
        is_response_pending: A message was received and has not been answered yet.
        is_closing: The last response was written, or the local side is closed; later messages are not processed.
        has_sent_message: A message was received.
        has_sent_several: More than one message was received.
        bad_request_count: How many messages were rejected as malformed or invalid.
        write_closed_at: Time at which the local side was closed; infinite before.
        response_written: Set while no response is pending.
        rank_members: All connections of its eviction rank, including itself.
        retry_at: Time at which the last response asked the client to retry; 0 if it did not.
    """

    def __init__(self, number: int, stream: GatheringStream, reader: MessageReader, now: float) -> None:
        self.number = number
        self.stream = stream
        self.reader = reader
        self.idle_since = now
        self.deadline = now + FIRST_MESSAGE_TIMEOUT_S
        self.is_response_pending = False
        self.is_closing = False
        self.has_sent_message = False
        self.has_sent_several = False
        self.bad_request_count = 0
        self.write_closed_at = math.inf
        self.response_written = asyncio.Event()
        self.rank_members: dict[int, Connection] = {}
        self.retry_at = 0.0

    def is_idle(self) -> bool:
        """Return whether it waits for its peer and nothing was read for it, not even in this event loop iteration."""
        return not self.is_response_pending and not self.is_closing and not self.reader.started() and self.stream.reading()

    def eviction_rank(self) -> int:
        """Return its eviction rank; a reused connection is the most valuable one to its client."""
        if self.is_response_pending:
            return RANK_RESPONSE_PENDING
        if self.is_closing:
            return RANK_CLOSING
        if not self.has_sent_message:
            return RANK_SILENT
        return RANK_SINGLE_USE if self.bad_request_count or not self.has_sent_several else RANK_REUSED

    def is_evictable(self) -> bool:
        """Return whether closing it loses no request.

        A partial first message was never processed, and a sender of many bad requests has probably sent another one.
        """
        has_begun = self.has_sent_message and self.reader.started() or self.stream.has_unread()
        return self.stream.reading() and not has_begun or self.bad_request_count >= MAX_BAD_REQUESTS
