"""A line-based client connection that reconnects whenever it ends."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
import socket
from collections.abc import Callable, Sequence

from tornado.iostream import StreamClosedError, UnsatisfiableReadError

from mulleinhatch.instance.transport.stream import GatheringStream

LOG = logging.getLogger(__name__)
MIN_RETRY_S, MAX_RETRY_S = 0.02, 0.5  # pause between attempts to connect; doubled each time, with jitter of one half
CONNECT_TIMEOUT_S = 1.0  # for one attempt: a dead host may not respond at all
MAX_LINE_BYTES = 1 << 20  # far above any valid line, so that a malformed line is read and skipped instead of ending the link


class ReconnectingLink:
    """A connection to the most recently set address.

    A change of the address ends the attempt or pause for the old one. An established connection stays in use until its
    successor at the new address is established.

    Args:
        host: IPv4 address of the server.
        port: Its port.
        on_open: Called for each new connection, before its first line.
        on_line: Called with each line.
        count: Increments a counter.
    """

    def __init__(
        self, host: str, port: int, on_open: Callable[[], None], on_line: Callable[[bytes], None], count: Callable[[str], None]
    ) -> None:
        self.address, self.on_open, self.on_line, self.count = (host, port), on_open, on_line, count
        self.stream: GatheringStream | None = None
        self.successor: asyncio.Task[tuple[tuple[str, int], GatheringStream]] | None = None
        self.pending_stream: GatheringStream | None = None
        self.retry_s = MIN_RETRY_S
        self.address_changed = asyncio.Event()

    async def run(self) -> None:
        """Keep the link connected until cancelled."""
        try:
            while True:
                try:
                    await self._serve(*await (self.successor or self._connect()))
                except (OSError, UnsatisfiableReadError) as error:  # StreamClosedError is an OSError
                    LOG.debug("link connection ended", extra={"fields": {"error": error}})
        finally:
            if self.successor:
                self.successor.cancel()
                self.successor = None

    async def _connect(self) -> tuple[tuple[str, int], GatheringStream]:
        """Return a connected stream and its address, which was current when the connection was established."""
        while True:
            address, stream = self.address, None
            self.address_changed.clear()
            try:
                # Creating the socket fails without a free descriptor, which must also lead to a pause.
                stream = self.pending_stream = GatheringStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
                await asyncio.wait_for(stream.connect(address), CONNECT_TIMEOUT_S)
                if address == self.address:
                    return address, stream
            except (TimeoutError, OSError) as error:
                LOG.debug("link connection attempt failed", extra={"fields": {"error": error}})
            except BaseException:
                if stream:
                    stream.close()
                raise
            finally:
                self.pending_stream = None
            if stream:
                stream.close()
            if address == self.address:
                await self._wait_before_retry()

    async def _wait_before_retry(self) -> None:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.address_changed.wait(), self.retry_s * random.uniform(0.5, 1.0))
        self.retry_s = min(MAX_RETRY_S, 2.0 * self.retry_s)

    async def _serve(self, address: tuple[str, int], stream: GatheringStream) -> None:
        self.stream, self.successor = stream, None
        self.count("link_opened")
        try:
            self.on_open()
            if address != self.address:  # it changed after the connection was established and before this task ran
                self._start_successor()
            while True:
                self.on_line(await stream.read_until(b"\n", max_bytes=MAX_LINE_BYTES))
                self.retry_s = MIN_RETRY_S
        finally:
            stream.close()
            self.stream = None
            self.count("link_ended")
            if not self.successor:
                await self._wait_before_retry()

    def change_address(self, host: str, port: int) -> None:
        """Set the address; the old connection stays in use until the new one is established."""
        if (host, port) == self.address:
            return
        self.address, self.retry_s = (host, port), MIN_RETRY_S
        self.address_changed.set()
        if self.pending_stream:
            self.pending_stream.close()
        if self.stream is not None and self.successor is None:
            self._start_successor()

    def _start_successor(self) -> None:
        self.successor = asyncio.ensure_future(self._connect())
        self.successor.add_done_callback(lambda done: done.cancelled() or self.reconnect())

    def reconnect(self) -> None:
        """Close the current connection, so that `run` continues with the next one."""
        if self.stream is not None:
            self.stream.close()

    def send(self, chunks: Sequence[bytes]) -> None:
        """Send bytes, which are lost while there is no connection.

        `on_open` reports each new connection, so that the owner can send again what was lost.
        """
        if self.stream is not None:
            try:
                self.stream.write_gathered(chunks)
            except StreamClosedError:
                self.count("link_writes_lost")
