"""The listening sockets: accept connections, pause without free descriptors, shed connections under overload."""

from __future__ import annotations

import errno
import math
import socket
from collections.abc import Callable
from typing import Protocol

from tornado import netutil
from tornado.ioloop import IOLoop

BACKLOG = 256  # a connection in the backlog may already carry a request whose deadline approaches
ACCEPT_RETRY_S = 0.06  # pause of a listener that cannot accept; longer than `limits.IN_FLIGHT_S`
MAX_ACCEPTS_PER_ITERATION = 16  # bounds how long a flood of new connections blocks the event loop for the open ones
MAX_ACCEPT_DELAY_S, MAX_SHEDS_PER_ITERATION = 0.2, 256  # if the backlog is not empty for this long, new connections are closed

# No connection is pending, or the peer has closed it.
HARMLESS_ACCEPT_ERRNOS = (errno.EAGAIN, errno.ECONNABORTED, errno.EINTR, errno.EPROTO)


class AcceptedConnections(Protocol):
    """The interface that a listener requires of the owner of the accepted connections."""

    def has_capacity(self) -> bool:
        """Return whether another connection may be accepted, after freeing a descriptor if necessary and possible."""

    def free_descriptor(self) -> bool:
        """Return whether a connection was dropped to free its descriptor."""

    def add(self, sock: socket.socket) -> None:
        """Add an accepted socket."""

    def count(self, counter: str) -> None:
        """Increment a counter."""


class ConnectionListener:
    """Accepts connections for their owner; pauses while no descriptor is free.

    Args:
        owner: Owner of the accepted connections.
        clock: Monotonic time in seconds.
    """

    def __init__(self, owner: AcceptedConnections, clock: Callable[[], float]) -> None:
        self.owner = owner
        self.clock = clock
        self.sockets: list[socket.socket] = []
        self.backlogged_since = math.inf  # time since which the backlog was never emptied

    def open(self, host: str, port: int) -> int:
        """Start listening and return the bound port."""
        self.sockets = netutil.bind_sockets(port, host, backlog=BACKLOG)
        for sock in self.sockets:
            IOLoop.current().add_handler(sock, self._accept, IOLoop.READ)
        return self.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening. Connections in the backlog are accepted first, as closing the socket would reset them."""
        for listener in self.sockets:
            IOLoop.current().remove_handler(listener)
            for _ in range(2 * BACKLOG):
                try:
                    self.owner.add(listener.accept()[0])
                except OSError:
                    break
            listener.close()
        self.sockets = []

    def _accept(self, listener: socket.socket, _: int) -> None:
        now = self.clock()
        self.backlogged_since = min(self.backlogged_since, now)
        is_overloaded = now - self.backlogged_since > MAX_ACCEPT_DELAY_S
        for _ in range(MAX_SHEDS_PER_ITERATION if is_overloaded else MAX_ACCEPTS_PER_ITERATION):
            if not self.owner.has_capacity():
                self._pause(listener)  # if accepted and closed, it would fail; in the backlog it may still be served in time
                return
            try:
                sock = listener.accept()[0]
            except OSError as error:
                has_no_descriptor = error.errno in (errno.EMFILE, errno.ENFILE)
                if error.errno not in HARMLESS_ACCEPT_ERRNOS and not (has_no_descriptor and self.owner.free_descriptor()):
                    self._pause(listener)
                self.backlogged_since = math.inf
                return
            if is_overloaded:
                # This client sees that no request of it ran, and the other clients get their responses.
                self.owner.count("connections_shed")
                sock.close()
            else:
                self.owner.add(sock)

    def _pause(self, listener: socket.socket) -> None:
        """Stop watching the listener for a while: as it stays readable, the event loop would spin on it."""
        self.owner.count("accepts_paused")
        self.backlogged_since = math.inf
        IOLoop.current().remove_handler(listener)
        IOLoop.current().call_later(ACCEPT_RETRY_S, self._resume, listener)

    def _resume(self, listener: socket.socket) -> None:
        if listener in self.sockets:  # it may have been closed during the pause
            IOLoop.current().add_handler(listener, self._accept, IOLoop.READ)
