"""Calls data planes that no node has heard of for some time, and names the nodes that they may poll.

A data plane that was away while all addresses that it knows were replaced cannot find the system; the nodes find it. Each
replica of the chain that has contact with a majority calls, so that a link that is cut one way keeps no data plane away.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable

from mulleinhatch.control_plane.background_tasks import BackgroundTasks
from mulleinhatch.control_plane.data_plane_directory import DataPlaneDirectory, DataPlaneRecord
from mulleinhatch.control_plane.internal_client import InternalClient
from mulleinhatch.messages.cluster import ContactRequest, ContactResponse, View

LOG = logging.getLogger(__name__)
ROUND_INTERVAL_S = 0.5
CALL_INTERVAL_S = 1.0  # least time between two calls of one data plane
CALL_TIMEOUT_S = 0.5
MAX_CALLS_PER_ROUND = 8  # bounds the work where many data planes are gone; those called longest ago come first


class DataPlaneCalls:
    """Calls the silent data planes of a directory.

    Args:
        clock: Returns the monotonic time in seconds.
        directory: The data planes.
        client: Sends the calls.
        view: Returns the view in force.
        may_call: Returns whether this node is a replica in contact with a majority.
        tasks: Runs the calls.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        directory: DataPlaneDirectory,
        client: InternalClient,
        view: Callable[[], View],
        may_call: Callable[[], bool],
        tasks: BackgroundTasks,
    ) -> None:
        self._clock, self._directory, self._client = clock, directory, client
        self._view, self._may_call, self._tasks = view, may_call, tasks
        self._called_at: dict[str, float] = {}  # by name, of the silent data planes

    async def run(self) -> None:
        """Call in rounds, forever."""
        while True:
            await asyncio.sleep(ROUND_INTERVAL_S)
            self.call_silent()

    def call_silent(self) -> None:
        """Start the calls of one round."""
        now = self._clock()
        silent = self._directory.silent(now)
        self._called_at = {name: called_at for name, called_at in self._called_at.items() if name in silent}
        if not silent or not self._may_call():
            return
        called_at = {name: self._called_at.get(name, -math.inf) for name in silent}
        due = sorted((name for name in silent if now - called_at[name] >= CALL_INTERVAL_S), key=called_at.__getitem__)
        for name in due[:MAX_CALLS_PER_ROUND]:
            if name not in self._called_at:
                LOG.info(
                    "calling a data plane that no node hears of",
                    extra={"data_plane": name, "address": silent[name].call_address},
                )
            self._called_at[name] = now
            self._tasks.start(self._call(name, silent[name]))

    async def _call(self, name: str, record: DataPlaneRecord) -> None:
        view, address, incarnation = self._view(), record.call_address, record.incarnation
        addresses = [member.internal_address for member in view.chain]
        request = ContactRequest(name=name, incarnation=incarnation, epoch=view.epoch, control_addresses=addresses)
        try:
            response = await self._client.call(address, "contact", request, ContactResponse, CALL_TIMEOUT_S)
        except OSError:
            self._client.forget(address)
            return
        if not response.is_known:
            self._directory.forget(name, incarnation)
