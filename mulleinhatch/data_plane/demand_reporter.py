"""Reports the demand for models to the placement leader: every second, and immediately if no backend can serve a model."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping

from mulleinhatch.data_plane.admission_queue import ModelQueue
from mulleinhatch.data_plane.demand_tracker import DemandTracker
from mulleinhatch.data_plane.registry_snapshot import ModelKey
from mulleinhatch.messages.cluster import ModelDemand

REPORT_INTERVAL_S = 1.0  # Between complete reports.
URGENT_REPORT_DELAY_S = 0.01  # Batches several missing models that are requested at about the same time.


class DemandReporter:
    """Sends complete reports at regular intervals, and partial reports of missing models in between.

    Args:
        loop: Clock.
        demand: The demand for each model.
        queues: Waiting and running requests of each model.
        send: Sends a report, given its demands and whether it is partial; returns whether it was accepted.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        demand: DemandTracker,
        queues: Mapping[ModelKey, ModelQueue],
        send: Callable[[list[ModelDemand], bool], Awaitable[bool]],
    ) -> None:
        self._loop, self._demand, self._queues, self._send = loop, demand, queues, send
        self._wake = asyncio.Event()
        self._missing_models: set[ModelKey] = set()
        self._has_new_leader = False

    def on_new_leader(self) -> None:
        """Schedule a complete report, as a new placement leader does not know the demand yet."""
        self._has_new_leader = True
        self._wake.set()

    def report_missing(self, model_key: ModelKey) -> None:
        """Schedule a partial report of a requested model that no backend can serve."""
        self._missing_models.add(model_key)
        self._wake.set()

    async def run(self) -> None:
        """Send reports until cancelled."""
        report_at = self._loop.time()
        while True:
            try:
                async with asyncio.timeout_at(report_at):
                    await self._wake.wait()
                await asyncio.sleep(URGENT_REPORT_DELAY_S)
            except TimeoutError:
                pass
            self._wake.clear()
            is_complete = self._has_new_leader or self._loop.time() >= report_at
            if is_complete:
                self._has_new_leader, report_at = False, self._loop.time() + REPORT_INTERVAL_S
            await self._report(is_complete)

    async def _report(self, is_complete: bool) -> None:
        missing_models, self._missing_models = self._missing_models, set()
        now = self._loop.time()
        if is_complete:
            demands = self._demand.report(self._queues.values(), now)
        else:
            demands = self._demand.urgent_report(missing_models, self._queues, now)
        if demands:
            await self._send(demands, not is_complete)
