"""Tornado's IOStream with gathered writes, and deaf to its peer while an answer is under way."""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError

READ_CHUNK_BYTES = 8192  # read at once where no buffer is given: each read makes a new one, and clears it
TCP_CLOSE_STATE = 7  # the state of a TCP socket whose peer reset it, first byte of TCP_INFO


class GatheringStream(IOStream):
    def __init__(self, sock: socket.socket) -> None:
        super().__init__(sock, read_chunk_size=READ_CHUNK_BYTES)
        self.parked = self.was_parked = False
        self.read_interceptor: Callable[[], bool] | None = None
        self.set_nodelay(True)

    def park(self) -> None:
        """Until the next read nothing is read: an end of the peer's side, which IOStream takes for a lost
        connection, must not cost it the answer that it waits for."""
        self.parked = self.was_parked = True

    def read_into(self, buf: memoryview, partial: bool = False) -> Awaitable[int]:
        self.parked = False
        return super().read_into(buf, partial)

    def _try_inline_read(self) -> None:
        """Tornado looks at the socket before it waits for it. A new one has something to say, but then peers
        send when they were answered: the look finds nothing, a system call and an error raised for each op."""
        if self.was_parked and not self.closed() and self._find_read_pos() is None:
            self._add_io_state(IOLoop.READ)
        else:
            super()._try_inline_read()

    def _handle_events(self, fd: Any, events: int) -> None:
        """The loop stops watching a parked stream only when something comes: few peers send ahead, and two
        system calls for each op would be much of what it costs."""
        if not self.parked or not events & IOLoop.READ:
            if self.read_interceptor and events == IOLoop.READ and self.read_interceptor():
                return  # what came is answered already; the read that waits goes on waiting
            super()._handle_events(fd, events)
            return
        self.io_loop.remove_handler(self.fileno())
        self._state = None
        if self.writing():
            self._add_io_state(IOLoop.WRITE)

    def was_reset(self) -> bool:
        return struct.unpack("B", self.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1))[0] == TCP_CLOSE_STATE

    def has_unread(self) -> bool:
        """Bytes that came and were not read yet: a close would lose them, and be a reset. One that is closed
        already, while its coroutine has not run since, has none."""
        if self.closed():
            return False
        try:
            return bool(self.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False

    def has_buffered(self) -> bool:
        """Bytes that were read from the socket, and asked for by nobody yet."""
        return self._read_buffer_size > 0

    def shut_down_writing(self) -> None:
        """The peer sees an end behind the last answer, while what it still sends can be read. What the socket had no
        room for yet leaves before: an end in the middle of an answer would cut it."""
        if self.closed():
            return
        if self.writing():
            self.write(b"").add_done_callback(lambda done: done.exception() or self.shut_down_writing())
            return
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)

    def write_immediately(self, response: bytes) -> None:
        """A short answer to one that waits, on a stream that writes nothing else; its end is no error of ours."""
        try:
            sent = self.socket.send(response)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            self.close(exc_info=error)
            return
        if sent < len(response):
            self.write(response[sent:])

    def write_gathered(self, chunks: Sequence[bytes]) -> None:
        """The chunks leave in one system call without being joined; IOStream's own buffer takes only what the
        socket has no room for, and all of it while older bytes wait there."""
        if self.closed():
            raise StreamClosedError(self.error)
        sent = 0
        if not self.writing():
            try:
                sent = self.socket.sendmsg(chunks)
            except BlockingIOError:
                pass
            except OSError as error:
                self.close(exc_info=error)
                raise StreamClosedError(error) from None
        for chunk in chunks:
            if sent < len(chunk):
                self.write(chunk[sent:])
            sent = max(0, sent - len(chunk))
