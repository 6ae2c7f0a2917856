"""The data plane process: wires its components, runs its background tasks, serves the status page, shuts down on SIGTERM."""

from __future__ import annotations

import asyncio
import logging
import signal
from typing import Any

from mulleinhatch.data_plane.contact_server import ContactServer
from mulleinhatch.data_plane.control_plane_client import SLICE_S, ControlPlaneClient
from mulleinhatch.data_plane.demand_reporter import DemandReporter
from mulleinhatch.data_plane.listener import Listener
from mulleinhatch.data_plane.router import SWEEP_INTERVAL_S, Router
from mulleinhatch.data_plane.shutdown import Shutdown
from mulleinhatch.data_plane.status import status_of
from mulleinhatch.networking.http_client import HttpClient
from mulleinhatch.networking.http_server import HttpServer, HttpServerRequest, HttpServerResponse
from mulleinhatch.process.event_loop import running_watch
from mulleinhatch.process.garbage_collection import GarbageCollection
from mulleinhatch.process.settings import Settings, settings_path
from mulleinhatch.process.settings_watch import SettingsWatch
from mulleinhatch.process.supervision import supervise
from mulleinhatch.process.time_slices import TimeSlicer

LOG = logging.getLogger(__name__)


class DataPlane:
    """One data plane.

    Args:
        settings: Settings of this data plane.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._loop = asyncio.get_running_loop()
        self._watch = running_watch()
        self._garbage_collection = GarbageCollection(self._watch)
        exempt = self._garbage_collection.exempt_old_objects
        self._slicer = TimeSlicer(self._watch, SLICE_S, on_long_calculation=exempt)
        # Circular: the client notifies the reporter of a new leader, and the reporter sends through the client; the lambdas
        # resolve `_demand_reporter` at call time.
        http = HttpClient()
        self._router = Router(settings, self._loop, lambda model_key: self._demand_reporter.report_missing(model_key), http)
        self._listener = Listener(lambda: self._router.snapshot.table.limits, self._router.begin)
        self._control_plane = ControlPlaneClient(
            settings,
            http,
            self._loop.time,
            self._router.apply_snapshot,
            lambda: self._demand_reporter.on_new_leader(),
            self._slicer,
        )
        self._demand_reporter = DemandReporter(
            self._loop, self._router.demand, self._router.queue.by_model, self._control_plane.report_demand
        )
        self._is_shutting_down = False
        self._shutdown_task: asyncio.Task[None] | None = None
        self._stopped = asyncio.Event()

    async def run(self) -> None:
        """Serve until SIGTERM, then until all accepted requests are answered."""
        status_server = HttpServer(self._loop)
        status_server.listen(self._settings.listen["ready"], self._handle_operator_request)
        contact_server = ContactServer(self._control_plane.on_call)
        self._control_plane.call_address = contact_server.listen(status_server, self._settings.call_address)
        await self._listener.listen(self._settings.listen["front"])
        self._loop.add_signal_handler(signal.SIGTERM, self._begin_shutdown)
        settings_watch = SettingsWatch(settings_path(), self._settings, self._control_plane.replace_seeds)
        self._loop.add_signal_handler(signal.SIGHUP, settings_watch.on_signal)
        self._garbage_collection.start()
        LOG.info("data plane started")
        jobs = {
            "control link": self._control_plane.run,
            "settings": settings_watch.run,
            "sweep": self._sweep_forever,
            "demand": self._demand_reporter.run,
            "garbage collection": self._garbage_collection.run,
        }
        tasks = [asyncio.ensure_future(supervise(name, job)) for name, job in jobs.items()]
        stopped = asyncio.ensure_future(self._stopped.wait())
        await asyncio.wait([*tasks, stopped], return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            if task.done():
                task.result()  # Raises the exception that ended the task.

    async def _sweep_forever(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self._router.sweep()

    # For operators.

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send connections here."""
        return bool(self._router.snapshot.table.version) and not self._is_shutting_down

    async def _handle_operator_request(self, request: HttpServerRequest) -> HttpServerResponse:
        if request.path == "/ready":
            return HttpServerResponse.of_json(200 if self.is_ready else 503, {"ready": self.is_ready})
        if request.path == "/status":
            return HttpServerResponse.of_json(200, self.status())
        return HttpServerResponse.of_json(404, {"error": "no such resource; see /ready and /status"})

    def status(self) -> dict[str, Any]:
        """Return the content of the status page."""
        return status_of(
            self._settings.name,
            self.is_ready,
            self._control_plane.leader,
            self._control_plane.targets_status(),
            self._router,
            self._watch,
            self._slicer,
            self._loop.time(),
        )

    # Shutdown.

    def _begin_shutdown(self) -> None:
        if self._is_shutting_down:
            return
        LOG.info("shutting down; accepted requests are still answered")
        self._is_shutting_down = self._listener.is_shutting_down = True
        self._shutdown_task = asyncio.ensure_future(self._shut_down())

    async def _shut_down(self) -> None:
        await Shutdown(self._loop, self._listener, self._router, self._settings.bounds.grace_s).run()
        self._stopped.set()
