"""The dependency's side: calls that runs wait for go out over HTTP, and how they end is told. Imported only where there is one.

The service instance makes the call and not the interpreter, so that the decisions say when, for how long, and whether at all.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable

from mulleinhatch.admission.interface import Ending
from mulleinhatch.instance.protocol import http_peers
from mulleinhatch.instance.request_state_machine.events import Event
from mulleinhatch.instance.transport.peers import ConnectFailedError, ConnectionLostError, Peers

LOG = logging.getLogger(__name__)
LINKS_MOST = 64  # connections at a time: of the descriptors that are no callers'


class Dependency:
    def __init__(self, host: str, port: int, take: Callable[..., None], count: Callable[[str], None]) -> None:
        self.at, self.take, self.count = f"{host}:{port}", take, count
        self.peers = Peers(LINKS_MOST, http_peers.parse_dependency_response_head, time.monotonic)
        self.tasks: set[asyncio.Task[None]] = set()

    def call(self, ref: str, seconds: float, query: bytes) -> None:
        task = asyncio.ensure_future(self._call(ref, seconds, query))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _call(self, ref: str, seconds: float, query: bytes) -> None:
        """However it ends, the run that waits for it hears of it, once."""
        ending, result, until = Ending.INTERRUPTED, b"", time.monotonic() + seconds
        try:
            status, result = await self.peers.ask(
                self.at, http_peers.write_dependency_call(ref, query, 1000.0 * seconds, self.at), seconds
            )
            ending = Ending(status)
        except ConnectFailedError:
            ending = Ending.UNREACHABLE
        except ConnectionLostError as error:
            ending = Ending.TIMEOUT if time.monotonic() >= until else Ending.INTERRUPTED
            LOG.debug("call broke off", extra={"fields": {"ref": ref, "error": error}})
        except Exception:
            self.count("errors_inside")
            LOG.exception("error inside", extra={"fields": {"at": "call"}})
        finally:
            self.count("calls_" + ending.name.lower())
            self.take(Event.CALL_ENDED, ref, ending, result if ending is Ending.OK else b"")

    def move(self, host: str, port: int) -> None:
        """Calls from now on go there; those under way end where they began."""
        self.at = f"{host}:{port}"

    def sweep(self) -> None:
        self.peers.sweep()

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        self.peers.close()
