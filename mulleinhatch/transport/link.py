"""A link of lines that is kept open: connected again whenever it ends."""
from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Sequence

from tornado.iostream import StreamClosedError, UnsatisfiableReadError

from mulleinhatch.transport.stream import GatheringStream

LOG = logging.getLogger(__name__)
FIRST_RETRY, LAST_RETRY = 0.02, 0.5     # seconds between tries to connect, doubled in between
LONGEST_LINE = 65536


class Link:
    def __init__(self, host: str, port: int, on_open: Callable[[], None], on_line: Callable[[bytes], None],
                 count: Callable[[str], None]) -> None:
        self.host, self.port, self.on_open, self.on_line, self.count = host, port, on_open, on_line, count
        self.stream: GatheringStream | None = None
        self.retry = FIRST_RETRY

    async def keep(self) -> None:
        while True:
            try:
                await self._once()
            except (OSError, UnsatisfiableReadError) as error:    # a closed stream is an OSError
                LOG.debug("link ended", extra={"fields": {"error": error}})
            finally:
                if self.stream is not None:
                    self.stream.close()
                    self.stream = None
                    self.count("link_ended")
            await asyncio.sleep(self.retry)
            self.retry = min(LAST_RETRY, 2.0 * self.retry)

    async def _once(self) -> None:
        stream = GatheringStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        try:
            await stream.connect((self.host, self.port))
        except BaseException:
            stream.close()
            raise
        self.stream = stream
        self.count("link_opened")
        self.on_open()
        while True:
            self.on_line(await stream.read_until(b"\n", max_bytes=LONGEST_LINE))
            self.retry = FIRST_RETRY

    def renew(self) -> None:
        if self.stream is not None:
            self.stream.close()

    def send(self, pieces: Sequence[bytes]) -> None:
        """What finds no link is lost; who sends learns of each new one by `on_open`."""
        if self.stream is not None:
            try:
                self.stream.write_gathered(pieces)
            except StreamClosedError:
                self.count("link_writes_lost")
