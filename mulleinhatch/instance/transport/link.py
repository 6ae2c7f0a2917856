"""A link of lines that is kept open: connected again whenever it ends."""

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
MIN_RETRY_S, MAX_RETRY_S = 0.02, 0.5  # seconds between tries to connect, doubled in between, drawn by half
CONNECT_TIMEOUT_S = 1.0  # seconds for one try: an address that is gone may not answer at all
MAX_LINE_BYTES = 1 << 20  # bytes: far beyond any notice, so that one that is spoilt is read and passed over, not come back to


class ReconnectingLink:
    """Always to the address told last: a move ends the try, the pause or the successor that was on its way elsewhere."""

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
        try:
            while True:
                try:
                    await self._serve(*await (self.successor or self._connect()))
                except (OSError, UnsatisfiableReadError) as error:  # a closed stream is an OSError
                    LOG.debug("link ended", extra={"fields": {"error": error}})
        finally:
            if self.successor:
                self.successor.cancel()
                self.successor = None

    async def _connect(self) -> tuple[tuple[str, int], GatheringStream]:
        """A new stream, to the address that is in force when it stands."""
        while True:
            address, stream = self.address, None
            self.address_changed.clear()
            try:
                # Without a descriptor there is no socket: that, too, must wait and not spin.
                stream = self.pending_stream = GatheringStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
                await asyncio.wait_for(stream.connect(address), CONNECT_TIMEOUT_S)
                if address == self.address:
                    return address, stream
            except (TimeoutError, OSError) as error:
                LOG.debug("no link yet", extra={"fields": {"error": error}})
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
            if address != self.address:  # moved between its connecting and now
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
        """To another address: the old link serves until the new one stands."""
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
        if self.stream is not None:
            self.stream.close()

    def send(self, chunks: Sequence[bytes]) -> None:
        """What finds no link is lost; who sends learns of each new one by `on_open`."""
        if self.stream is not None:
            try:
                self.stream.write_gathered(chunks)
            except StreamClosedError:
                self.count("link_writes_lost")
