"""Closing a connection without a reset: the local side is shut down, and the peer's side is read to its end."""

from __future__ import annotations

import asyncio
from collections.abc import Container

from mulleinhatch.instance.transport.connection import Connection
from mulleinhatch.instance.transport.limits import LINGER_TIMEOUT_S, MAX_LINGER_BYTES

DISCARD_BUFFER = memoryview(bytearray(65536))  # shared target of all reads whose bytes are discarded


async def linger(connection: Connection, now: float, open_numbers: Container[int]) -> None:
    """Read and discard what the peer still sends, until it closes or the connection is dropped.

    Closing a socket with unread bytes sends a reset, which destroys the last response of a peer that is still sending.

    Args:
        connection: The connection, whose last response was written.
        now: Current time; the sweep drops the connection `LINGER_TIMEOUT_S` later.
        open_numbers: Numbers of the open connections.
    """
    connection.deadline = min(connection.deadline, now + LINGER_TIMEOUT_S)
    connection.stream.shut_down_writing()
    remaining = MAX_LINGER_BYTES
    while remaining > 0 and connection.number in open_numbers:
        remaining -= await connection.stream.read_into(DISCARD_BUFFER, partial=True)
        await asyncio.sleep(0)
