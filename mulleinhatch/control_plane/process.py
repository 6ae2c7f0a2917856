"""Run one control-plane node: wire its components, serve its interfaces, handle signals and the planned shutdown."""

from __future__ import annotations

import asyncio
import logging
import signal

from mulleinhatch.control_plane.api import ControlApi, InternalApi, build_internal_api
from mulleinhatch.control_plane.distribution import Distribution
from mulleinhatch.control_plane.internal_client import InternalClient
from mulleinhatch.control_plane.node import ControlPlaneNode
from mulleinhatch.control_plane.placement.controller import PlacementController
from mulleinhatch.control_plane.quota_handover import HANDOVER_PATH
from mulleinhatch.control_plane.quota_takeover import CONFIRMATION_AGE_PATH
from mulleinhatch.control_plane.quotas import QuotaService
from mulleinhatch.control_plane.shutdown import leave
from mulleinhatch.control_plane.status import ControlPlaneStatus, build_status
from mulleinhatch.messages import cluster
from mulleinhatch.networking.http_client import HttpClient
from mulleinhatch.networking.http_server import MAX_BODY_BYTES, HttpServer
from mulleinhatch.process.event_loop import running_watch
from mulleinhatch.process.garbage_collection import GarbageCollection
from mulleinhatch.process.settings import Settings, settings_path
from mulleinhatch.process.settings_watch import SettingsWatch
from mulleinhatch.process.supervision import run_until_stopped, supervise
from mulleinhatch.quotas.limits import QuotaBounds

LOG = logging.getLogger(__name__)
MAX_INTERNAL_BODY_BYTES = 64 * MAX_BODY_BYTES  # an append carries up to 64 changes
DISK_RETRY_S = 0.5


class ControlPlaneProcess:
    """Owns the node, the placement controller and the distribution of one control-plane node.

    Create it in a running event loop.

    Args:
        settings: The settings of this process.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.loop = asyncio.get_running_loop()
        self.clock = self.loop.time
        self.http_client = HttpClient()
        watch = running_watch()
        self.garbage_collection = GarbageCollection(watch)
        self.node = ControlPlaneNode(
            settings,
            self.http_client,
            self.clock,
            self,
            watch=watch,
            on_long_calculation=self.garbage_collection.exempt_old_objects,
        )
        self.distribution = Distribution(self.node, self.clock, self.node.slicer)
        # Backends may answer without a length; the content of their answers shows whether they are whole.
        backend_client = HttpClient(accepts_close_delimited=True)
        self.placement = PlacementController(self.node, backend_client, self.clock, settings.bounds)
        bounds = settings.bounds
        quota_bounds = QuotaBounds(bounds.quota_window_s, bounds.quota_overage, bounds.quota_slack)
        self.quotas = QuotaService(self.node, self.clock, quota_bounds, InternalClient(self.http_client), self.node.slicer)
        self.stopped = asyncio.Event()

    # `NodeObserver`: callbacks of the node, and the activity that its heartbeats report.

    def on_change(self) -> None:
        """Respond to the data planes' polls, reconcile the placement, and recompute the owned tenants.

        Called when the configuration, the view or the node's role changed.
        """
        self.distribution.notify_changed()
        self.placement.on_change()
        self.quotas.on_change()

    def on_backend_change(self, backend_id: str) -> None:
        """Respond to the data planes' polls when a backend's record changed."""
        self.distribution.notify_changed()

    def on_store_load(self) -> None:
        """Count a load from the weight store against the rate limit."""
        self.placement.record_store_load()

    def count_data_planes(self) -> int:
        """Return the number of data planes that poll this process."""
        return self.distribution.count_local_data_planes()

    def placement_idle_s(self) -> float:
        """Return the seconds since this process last sent an order to a backend."""
        return self.placement.idle_s()

    async def run(self) -> None:
        """Serve until SIGTERM, and then until the other control-plane nodes no longer need this one."""
        await self._open_state()
        self.quotas.on_change()  # starts the wait of a new quota owner
        self._listen()
        self.loop.add_signal_handler(signal.SIGTERM, self._on_terminate)
        settings_watch = SettingsWatch(settings_path(), self.settings, self.node.replace_seeds)
        self.loop.add_signal_handler(signal.SIGHUP, settings_watch.on_signal)
        self.garbage_collection.start()
        LOG.info("control plane started", extra={"identity": self.node.member.identity, "view_epoch": self.node.view.epoch})
        jobs = {
            "placement": self.placement.run,
            "garbage collection": self.garbage_collection.run,
            "settings": settings_watch.run,
        }
        supervised = [supervise(name, job) for name, job in jobs.items()]
        await run_until_stopped(self.stopped, self.node.run(), *supervised)

    def _listen(self) -> None:
        server = HttpServer(self.loop)
        control = ControlApi(self.node, self.clock, self.status)
        server.listen(self.settings.internal_address, self._build_internal_api().handle_request, MAX_INTERNAL_BODY_BYTES)
        server.listen(self.settings.listen["control"], control.handle_request)

    def _build_internal_api(self) -> InternalApi:
        api = build_internal_api(self.node)
        api.register("poll", cluster.PollRequest, self.distribution.poll)
        api.register("demand", cluster.DemandReport, self.placement.on_demand)
        api.register("quota", cluster.QuotaRequest, self.quotas.on_request)
        api.register(CONFIRMATION_AGE_PATH, cluster.ConfirmationAgeRequest, self.node.heartbeat_responder.on_confirmation_age)
        api.register(HANDOVER_PATH, cluster.QuotaHandoverRequest, self.quotas.on_handover)
        return api

    def _on_terminate(self) -> None:
        if self.node.leaving:
            return
        LOG.info("SIGTERM received: leaving the chain")
        self.node.start_task(self._stop_when_replaced())

    async def _stop_when_replaced(self) -> None:
        await leave(self.node, self.settings.bounds.grace_s)
        self.stopped.set()

    async def _open_state(self) -> None:
        """Read the persisted state; retry while the disk fails, as it may recover."""
        while True:
            try:
                return self.node.open()
            except OSError as error:
                LOG.error("cannot open the persisted state; free disk space or replace the disk", extra={"error": str(error)})
                await asyncio.sleep(DISK_RETRY_S)

    def status(self) -> ControlPlaneStatus:
        """Return the JSON value of GET /status."""
        return build_status(
            self.node,
            list(self.placement.recent_orders),
            self.distribution.count_all_data_planes(),
            self.distribution.status(),
            self.quotas.status(),
            self.clock(),
        )
