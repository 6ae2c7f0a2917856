"""The data plane's process: settings, the front, the link to the control plane, signals and the end."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
from typing import Any

from mulleinhatch.data_plane.control_plane_client import ControlPlaneClient
from mulleinhatch.data_plane.listener import Listener
from mulleinhatch.data_plane.registry_snapshot import ControlPlaneSnapshot, ModelName
from mulleinhatch.data_plane.router import SWEEP_INTERVAL_S, Router
from mulleinhatch.networking.http_client import HttpClient
from mulleinhatch.networking.http_server import HttpServer, HttpServerRequest, HttpServerResponse
from mulleinhatch.process.settings import Settings
from mulleinhatch.process.supervision import supervise

LOG = logging.getLogger(__name__)
DEMAND_REPORT_INTERVAL_S = 1.0  # between two reports of demand
URGENT_REPORT_DELAY_S = 0.01  # a model that stands nowhere is told of at once
MIN_DRAIN_S = 2.6  # from the notice to leave: new connections still come until the entry has missed us twice
GRACE_MARGIN_S = 0.6  # before the grace period ends, all is closed


class DataPlane:
    """One data plane instance."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.loop = asyncio.get_running_loop()
        self.caller = HttpClient()
        self._report_now = asyncio.Event()
        self._wanted_now: set[ModelName] = set()  # models that stand nowhere, to be told of at once
        self._leader_is_new = False  # it knows nothing of the demand yet
        self.router = Router(settings, self.loop, self._urgent)
        self.listener = Listener(lambda: self.router.snapshot.table.limits, self.router.begin)
        self.link = ControlPlaneClient(settings, self.caller, self.loop.time, self._swap, self._new_leader)
        self.leaving = False
        self.stopped = asyncio.Event()

    def _swap(self, snapshot: ControlPlaneSnapshot) -> None:
        self.router.swap(snapshot)

    def _new_leader(self) -> None:
        self._leader_is_new = True
        self._report_now.set()

    def _urgent(self, name: ModelName) -> None:
        self._wanted_now.add(name)
        self._report_now.set()

    async def run(self) -> None:
        """Serves until SIGTERM, and then until what was taken is answered."""
        hub = HttpServer(self.loop)
        hub.listen(self.settings.listen["ready"], self._answer)
        await self.listener.listen(self.settings.listen["front"])
        self.loop.add_signal_handler(signal.SIGTERM, self._leave)
        self.loop.add_signal_handler(signal.SIGHUP, lambda: LOG.info("settings are read at start only"))
        gc.freeze()
        LOG.info("data plane started")
        loops = {"control link": self.link.run, "sweep": self._sweep_forever, "demand": self._report_forever}
        work = [asyncio.ensure_future(supervise(name, loop)) for name, loop in loops.items()]
        stop = asyncio.ensure_future(self.stopped.wait())
        await asyncio.wait([*work, stop], return_when=asyncio.FIRST_COMPLETED)
        for task in work:
            if task.done():
                task.result()

    @property
    def ready(self) -> bool:
        return bool(self.router.snapshot.table.version) and not self.leaving

    async def _answer(self, request: HttpServerRequest) -> HttpServerResponse:
        if request.path == "/ready":
            return HttpServerResponse.of_json(200 if self.ready else 503, {"ready": self.ready})
        if request.path == "/status":
            return HttpServerResponse.of_json(200, self.status())
        return HttpServerResponse.of_json(404, {"error": "no such resource; see /ready and /status"})

    async def _sweep_forever(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.router.sweep()

    async def _report_forever(self) -> None:
        """Tells what is asked for each second, and at once of a model that is wanted and stands nowhere."""
        due = self.loop.time()
        while True:
            try:
                async with asyncio.timeout_at(due):
                    await self._report_now.wait()
                await asyncio.sleep(URGENT_REPORT_DELAY_S)
            except TimeoutError:
                pass
            self._report_now.clear()
            whole = self._leader_is_new or self.loop.time() >= due
            if whole:
                self._leader_is_new, due = False, self.loop.time() + DEMAND_REPORT_INTERVAL_S
            await self._report(whole)

    async def _report(self, whole: bool) -> None:
        names, self._wanted_now = self._wanted_now, set()
        book, admission, now = self.router.demand, self.router.admission, self.loop.time()
        demand = book.report(admission.groups.values(), now) if whole else book.urgent(names, admission.groups, now)
        if demand:
            await self.link.report(demand, not whole)

    def _leave(self) -> None:
        if self.leaving:
            return
        LOG.info("leaving")
        self.leaving = self.listener.leaving = True
        asyncio.ensure_future(self._drain())

    async def _drain(self) -> None:
        """Answers what was taken; each answer is the last of its connection."""
        begun = self.loop.time()
        end = begun + self.settings.bounds.grace_s - GRACE_MARGIN_S
        self.router.leave(end)
        while self.loop.time() < end:
            for session in list(self.listener.sessions):
                session.leave()
            if self.loop.time() > begun + MIN_DRAIN_S and not self.listener.busy():
                break
            await asyncio.sleep(0.1)
        self.listener.close()
        await asyncio.sleep(0.05)
        self.stopped.set()

    def status(self) -> dict[str, Any]:
        """What an operator may look at."""
        snapshot = self.router.snapshot
        return {
            "name": self.settings.name,
            "version": snapshot.table.version,
            "ready": self.ready,
            "authoritative": snapshot.authoritative,
            "data_planes": snapshot.data_planes,
            "holder": self.link.leader,
            "counters": self.router.counters,
            "stubs": {
                backend.id: {
                    "address": backend.address,
                    "draining": backend.draining,
                    "silent": backend.silent,
                    "running": self.router.states.of(backend.id).running,
                    "models": sorted(backend.models),
                }
                for backend in snapshot.backends.by_id.values()
            },
            "refused": list(self.router.refused_lately),
            "groups": [
                {
                    "service": group.name.service,
                    "model": group.name.model,
                    "adapter": group.name.adapter,
                    "held": len(group.held),
                    "running": group.running,
                    "limit": round(group.limit, 1),
                    "mu": round(group.mu, 2),
                }
                for group in self.router.admission.groups.values()
            ],
        }
