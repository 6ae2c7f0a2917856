"""Tornado's IOStream with gathered writes, which stops reading while a response is due."""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError

READ_CHUNK_BYTES = 8192  # size of a read without a given buffer; small, because each read allocates and clears a new one
TCP_CLOSE_STATE = 7  # first byte of TCP_INFO for a socket that its peer has reset (Linux, `tcp_states.h`)


class GatheringStream(IOStream):
    """A stream with gathered writes, a pause of reading, and an interceptor of arriving bytes.

    Attributes:
        read_interceptor: Called when the only event is that bytes arrived; returns whether it consumed them.
    """

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(sock, read_chunk_size=READ_CHUNK_BYTES)
        self.is_reading_paused = self.has_paused_reading = False
        self.read_interceptor: Callable[[], bool] | None = None
        self.set_nodelay(True)

    def pause_reading(self) -> None:
        """Pause reading until the next `read_into`.

        IOStream treats a close of the peer's side as a lost connection; a half-closed peer must still get its response.
        """
        self.is_reading_paused = self.has_paused_reading = True

    def read_into(self, buf: memoryview, partial: bool = False) -> Awaitable[int]:
        """Read into a buffer, as IOStream does, and end the pause of reading."""
        self.is_reading_paused = False
        return super().read_into(buf, partial)

    def _try_inline_read(self) -> None:
        """Skip IOStream's read before it waits, except on a new connection.

        Later requests follow a response, so that read would find no bytes and cost a system call and an exception per request.
        """
        if self.has_paused_reading and not self.closed() and self._find_read_pos() is None:
            self._add_io_state(IOLoop.READ)
        else:
            super()._try_inline_read()

    def _handle_events(self, fd: Any, events: int) -> None:
        """Handle readiness; a paused stream is removed from the event loop only when bytes arrive.

        Few peers pipeline, and removing and adding each stream would cost two system calls per request.
        """
        if not self.is_reading_paused or not events & IOLoop.READ:
            if self.read_interceptor and events == IOLoop.READ and self.read_interceptor():
                return  # the bytes are consumed; the pending read stays pending
            super()._handle_events(fd, events)
            return
        self.io_loop.remove_handler(self.fileno())
        self._state = None
        if self.writing():
            self._add_io_state(IOLoop.WRITE)

    def was_reset(self) -> bool:
        """Return whether the peer has reset the connection."""
        return struct.unpack("B", self.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1))[0] == TCP_CLOSE_STATE

    def has_unread(self) -> bool:
        """Return whether bytes have arrived that have not been read: a close would lose them and send a reset.

        False on a closed stream, whose coroutine may not have run since.
        """
        if self.closed():
            return False
        try:
            return bool(self.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False

    def has_buffered_input(self) -> bool:
        """Return whether bytes were read from the socket that no read has returned yet."""
        return self._read_buffer_size > 0

    def shut_down_writing(self) -> None:
        """Close the local side after all pending writes, so that no response is truncated; reading stays possible."""
        if self.closed():
            return
        if self.writing():
            self.write(b"").add_done_callback(lambda done: done.exception() or self.shut_down_writing())
            return
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)

    def write_immediately(self, response: bytes) -> None:
        """Write a short response on a stream with no pending writes; a lost connection closes the stream without an error."""
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
        """Write the chunks in one system call without joining them.

        Only bytes that the socket does not accept are copied to IOStream's buffer, or all bytes while older ones wait there.

        Raises:
            StreamClosedError: The connection has ended.
        """
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
