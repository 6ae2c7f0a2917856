"""The end of a data plane: after SIGTERM it answers the accepted requests, then closes its connections."""

from __future__ import annotations

import asyncio

from mulleinhatch.data_plane.listener import Listener
from mulleinhatch.data_plane.request_lifecycle import SHUTDOWN_REASON
from mulleinhatch.data_plane.router import Router

MIN_DRAIN_S = 2.6  # From SIGTERM; the load balancer sends new connections until its health check has failed twice.
GRACE_MARGIN_S = 0.6  # All connections are closed this long before the grace period ends.
DRAIN_POLL_S = 0.1
FINAL_FLUSH_S = 0.3  # Time for the last responses to be sent after the grace period less its margin.
FLUSH_POLL_S = 0.01


class Shutdown:
    """Ends the service of a listener and its router.

    Args:
        loop: Clock.
        listener: Holds the clients' connections.
        router: Routes their requests.
        grace_s: Seconds from SIGTERM to SIGKILL.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, listener: Listener, router: Router, grace_s: float) -> None:
        self._loop, self._listener, self._router, self._grace_s = loop, listener, router, grace_s

    async def run(self) -> None:
        """Answer the accepted requests, then close all connections; each one is closed after its response.

        A request whose bytes are arriving, and a response that its client has not taken, are work like one in progress: they
        are awaited until the grace period ends. Between the last look for work and the exit, no request is started.
        """
        began_at = self._loop.time()
        ends_at = began_at + self._grace_s - GRACE_MARGIN_S
        self._router.begin_shutdown(ends_at)
        while self._loop.time() < ends_at:
            self._listener.close_idle_sessions()
            if self._loop.time() > began_at + MIN_DRAIN_S:
                self._listener.close()
                if not self._listener.has_work():
                    break
            await asyncio.sleep(DRAIN_POLL_S)
        self._listener.close()
        self._listener.stop_reading(SHUTDOWN_REASON)
        self._router.end_shutdown()
        await self._send_rest(ends_at + FINAL_FLUSH_S)
        self._listener.close_sessions()
        self._router.request_log.flush()

    async def _send_rest(self, until: float) -> None:
        """Wait until the sockets have taken all responses, at most until a loop time."""
        while self._listener.has_unsent_bytes() and self._loop.time() < until:
            await asyncio.sleep(FLUSH_POLL_S)
