"""Calls of the dependency over HTTP, for the runs that wait for them. Imported only where a dependency is configured.

The service instance makes the calls, not the interpreter: the admission controller decides when, for how long, and whether
at all.
"""

from __future__ import annotations

import asyncio
import logging
import time

from mulleinhatch.admission.interface import Ending
from mulleinhatch.instance.protocol import http_peers
from mulleinhatch.instance.request_state_machine.events import Event
from mulleinhatch.instance.runtime.callbacks import CounterIncrement, EventHandler
from mulleinhatch.instance.transport.peer_connections import ConnectFailedError, ConnectionLostError, PeerConnections

LOG = logging.getLogger(__name__)
MAX_CONNECTIONS = 64  # `instance.RESERVED_DEPENDENCY_CONNECTIONS` reserves their descriptors


class DependencyClient:
    """Calls the dependency and reports the end of each call as an event."""

    def __init__(self, host: str, port: int, handle_event: EventHandler, count: CounterIncrement) -> None:
        self.address, self.handle_event, self.count = f"{host}:{port}", handle_event, count
        self.peers = PeerConnections(MAX_CONNECTIONS, http_peers.parse_dependency_response_head, time.monotonic)
        self.tasks: set[asyncio.Task[None]] = set()

    def call(self, request_id: str, seconds: float, payload: bytes) -> None:
        """Start a call."""
        task = asyncio.ensure_future(self._call(request_id, seconds, payload))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _call(self, request_id: str, seconds: float, payload: bytes) -> None:
        """Make one call. However it ends, exactly one event reports it to the run that waits."""
        ending, result, deadline = Ending.INTERRUPTED, b"", time.monotonic() + seconds
        try:
            status, result = await self.peers.request(
                self.address, http_peers.write_dependency_call(request_id, payload, 1000.0 * seconds, self.address), seconds
            )
            ending = Ending(status)
        except ConnectFailedError:
            ending = Ending.UNREACHABLE
        except ConnectionLostError as error:
            ending = Ending.TIMEOUT if time.monotonic() >= deadline else Ending.INTERRUPTED
            LOG.debug("connection to the dependency broke during a call", extra={"fields": {"ref": request_id, "error": error}})
        except Exception:
            self.count("errors_inside")
            LOG.exception("unexpected exception", extra={"fields": {"at": "call"}})
        finally:
            self.count("calls_" + ending.name.lower())
            self.handle_event(Event.CALL_ENDED, request_id, ending, result if ending is Ending.OK else b"")

    def set_address(self, host: str, port: int) -> None:
        """Use another address for new calls; those in progress continue at the old one."""
        self.address = f"{host}:{port}"

    def sweep(self) -> None:
        """Close connections that are idle too long."""
        self.peers.close_idle()

    def close(self) -> None:
        """Cancel the calls in progress and close the connections."""
        for task in self.tasks:
            task.cancel()
        self.peers.close()
