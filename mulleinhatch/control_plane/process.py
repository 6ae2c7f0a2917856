"""The control plane's process: settings, the core, its interfaces, signals and the end."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
from typing import Any

from mulleinhatch.control_plane.api import ControlApi, internal_api
from mulleinhatch.control_plane.distribution import Distribution
from mulleinhatch.control_plane.node import CoreNode
from mulleinhatch.control_plane.placement.controller import PlacementController
from mulleinhatch.control_plane.shutdown import leave
from mulleinhatch.messages import cluster
from mulleinhatch.networking.http_client import HttpClient
from mulleinhatch.networking.http_server import HttpServer
from mulleinhatch.process.settings import Settings
from mulleinhatch.process.supervision import supervise

LOG = logging.getLogger(__name__)
DISK_RETRY_S = 0.5


class ControlPlane:
    """One control plane instance."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.loop = asyncio.get_running_loop()
        self.clock = self.loop.time
        self.caller = HttpClient()
        self.node = CoreNode(settings, self.caller, self.clock, self._changed)
        self.distribution = Distribution(self.node, self.clock)
        self.orders = PlacementController(self.node, self.caller, self.clock, settings.bounds)
        self.node.placement_idle_s = self.orders.idle_s
        self.node.on_store_load = self.orders.record_store_load
        self.node.data_planes = self.distribution.data_planes
        self.node.on_backend_change = lambda backend_id: self._changed()
        self.stopped = asyncio.Event()

    def _changed(self) -> None:
        self.distribution.changed()

    async def run(self) -> None:
        """Serves until SIGTERM, and then until the chain goes on without us."""
        await self._open()
        hub = HttpServer(self.loop)
        api = ControlApi(self.node, self.clock, self.status)
        internal = internal_api(self.node)
        internal.add("poll", cluster.PollRequest, self.distribution.poll)
        internal.add("demand", cluster.DemandReport, self.orders.on_demand)
        hub.listen(self.settings.internal_address, internal.answer)
        hub.listen(self.settings.listen["control"], api.answer)
        self.loop.add_signal_handler(signal.SIGTERM, self._leave)
        self.loop.add_signal_handler(signal.SIGHUP, lambda: LOG.info("settings are read at start only"))
        gc.freeze()
        LOG.info("control plane started", extra={"identity": self.node.member.identity, "epoch": self.node.view.epoch})
        work = [asyncio.ensure_future(self.node.run()), asyncio.ensure_future(supervise("orders", self.orders.run))]
        stop = asyncio.ensure_future(self.stopped.wait())
        await asyncio.wait([*work, stop], return_when=asyncio.FIRST_COMPLETED)
        for task in work:
            if task.done():
                task.result()

    def _leave(self) -> None:
        if self.node.leaving:
            return
        LOG.info("leaving")
        self.node.start_task(self._end_when_replaced())

    async def _end_when_replaced(self) -> None:
        await leave(self.node, self.settings.bounds.grace_s)
        self.stopped.set()

    async def _open(self) -> None:
        """Reads the disk; one that refuses for now is tried again."""
        while True:
            try:
                return self.node.open()
            except OSError as error:
                LOG.error("the disk can't be used; free space or replace it", extra={"error": str(error)})
                await asyncio.sleep(DISK_RETRY_S)

    def status(self) -> dict[str, Any]:
        """What an operator may look at."""
        node, now = self.node, self.clock()
        return {
            "name": self.settings.name,
            "identity": node.member.identity,
            "epoch": node.view.epoch,
            "chain": [member.name for member in node.view.chain],
            "voters": [member.name for member in node.view.voters],
            "authoritative": node.has_majority_contact(),
            "last": node.replica.last,
            "committed": node.replica.committed,
            "version": node.state.document.version,
            "holder": node.state.leader,
            "fence_token": node.state.fencing_token,
            "orders": list(self.orders.recent_orders),
            "data_planes": self.distribution.all_data_planes(),
            "peers": {
                peer.member.name: {"answered_s_ago": round(now - peer.answered_at, 2), "leaving": peer.leaving}
                for peer in node.peers.by_identity.values()
            },
            "stubs": {
                backend_id: {
                    "service": entry.backend.service,
                    "address": entry.backend.address,
                    "draining": entry.backend.draining,
                    "gone": entry.backend.gone,
                    "silent": entry.backend.silent,
                    "models": {model.name: list(model.adapters) for model in entry.backend.models},
                }
                for backend_id, entry in node.registry.entries.items()
            },
        }
