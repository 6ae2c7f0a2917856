"""Tornado's IOStream with gathered writes."""
from __future__ import annotations

import socket
from collections.abc import Sequence

from tornado.iostream import IOStream, StreamClosedError


class GatheringStream(IOStream):
    def __init__(self, sock: socket.socket) -> None:
        super().__init__(sock)
        if sock.family != socket.AF_UNIX:
            self.set_nodelay(True)

    def write_gathered(self, pieces: Sequence[bytes]) -> None:
        """The pieces leave in one system call without being joined; IOStream's own buffer takes only what the
        socket has no room for, and all of it while older bytes wait there."""
        if self.closed():
            raise StreamClosedError(self.error)
        sent = 0
        if not self.writing():
            try:
                sent = self.socket.sendmsg(pieces)
            except BlockingIOError:
                pass
            except OSError as error:
                self.close(exc_info=error)
                raise StreamClosedError(error) from None
        for piece in pieces:
            if sent < len(piece):
                self.write(piece[sent:])
            sent = max(0, sent - len(piece))
