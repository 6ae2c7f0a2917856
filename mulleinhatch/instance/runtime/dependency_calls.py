"""The dependency's side: calls that runs wait for go out over HTTP, and how they end is told. Imported only where there is one.

The service instance makes the call and not the interpreter, so that the decisions say when, for how long, and whether at all.
"""

from __future__ import annotations

import asyncio
import logging
import time

from mulleinhatch.admission.interface import Ending
from mulleinhatch.instance.protocol import http_peers
from mulleinhatch.instance.request_state_machine.events import Event
from mulleinhatch.instance.runtime.callbacks import CounterIncrement, EventHandler
from mulleinhatch.instance.transport.peers import ConnectFailedError, ConnectionLostError, Peers

LOG = logging.getLogger(__name__)
MAX_CONNECTIONS = 64  # connections at a time: of the descriptors that are no callers'


class DependencyClient:
    def __init__(self, host: str, port: int, handle_event: EventHandler, count: CounterIncrement) -> None:
        self.address, self.handle_event, self.count = f"{host}:{port}", handle_event, count
        self.peers = Peers(MAX_CONNECTIONS, http_peers.parse_dependency_response_head, time.monotonic)
        self.tasks: set[asyncio.Task[None]] = set()

    def call(self, request_id: str, seconds: float, payload: bytes) -> None:
        task = asyncio.ensure_future(self._call(request_id, seconds, payload))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _call(self, request_id: str, seconds: float, payload: bytes) -> None:
        """However it ends, the run that waits for it hears of it, once."""
        ending, result, deadline = Ending.INTERRUPTED, b"", time.monotonic() + seconds
        try:
            status, result = await self.peers.ask(
                self.address, http_peers.write_dependency_call(request_id, payload, 1000.0 * seconds, self.address), seconds
            )
            ending = Ending(status)
        except ConnectFailedError:
            ending = Ending.UNREACHABLE
        except ConnectionLostError as error:
            ending = Ending.TIMEOUT if time.monotonic() >= deadline else Ending.INTERRUPTED
            LOG.debug("call broke off", extra={"fields": {"ref": request_id, "error": error}})
        except Exception:
            self.count("errors_inside")
            LOG.exception("error inside", extra={"fields": {"at": "call"}})
        finally:
            self.count("calls_" + ending.name.lower())
            self.handle_event(Event.CALL_ENDED, request_id, ending, result if ending is Ending.OK else b"")

    def set_address(self, host: str, port: int) -> None:
        """Calls from now on go there; those under way end where they began."""
        self.address = f"{host}:{port}"

    def sweep(self) -> None:
        self.peers.sweep()

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        self.peers.close()
