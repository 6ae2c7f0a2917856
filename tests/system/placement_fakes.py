"""Fakes for placement tests: a backend that follows its API's rules, and a control-plane node that leads a chain of one."""

from __future__ import annotations

import asyncio
import json
import unittest
from dataclasses import dataclass, field
from types import SimpleNamespace

from mulleinhatch.configuration.document import Document
from mulleinhatch.control_plane.placement.controller import PlacementController
from mulleinhatch.control_plane.registry import BackendRegistry
from mulleinhatch.messages.cluster import Backend, DemandReport, LoadedModel, ModelDemand
from mulleinhatch.networking.http_client import HttpCallError
from mulleinhatch.process.settings import Bounds
from mulleinhatch.simulation.virtual_time import VirtualLoop

MODEL_MB = 100.0
MODELS = [
    {"name": name, "weights_mb": MODEL_MB, "load_s": 1.0, "adapters": 0, "adapter_size_mb": 1.0} for name in ("a", "b", "c")
]
ENGINE = {"slots": 8, "models": MODELS, "weights_mb": MODEL_MB, "adapter_slots": 2, "loads_per_s": 5.0}
CONFIGURATION = {"version": 1, "routes": [], "services": [{"name": "s", "engine": ENGINE}], "limits": {}}
REPORT_DELAY_S = 0.2  # reports show the backend's state from this long ago


@dataclass
class ScriptedBackend:
    """A backend with memory for one model: accepts one order at a time and crashes if a load exceeds its memory.

    It also replaces the HTTP client: `request` responds as the backend would.
    """

    loop: VirtualLoop
    unload_s: float = 0.02
    lost_responses: set[int] = field(default_factory=set)  # numbers of the orders whose responses are lost
    models: set[str] = field(default_factory=lambda: {"a"})
    busy_until: float = 0.0
    sequence: int = 0
    accepted: list[tuple[float, str, str]] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)
    has_crashed: bool = False
    history: list[tuple[float, set[str], int, float]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._record(-10.0)

    def _record(self, at: float) -> None:
        self.history.append((at, set(self.models), self.sequence, self.busy_until))

    async def request(self, address: str, method: str, path: str, body: bytes, timeout: float, *more) -> SimpleNamespace:
        await asyncio.sleep(0.002)
        if path == "/report":
            return SimpleNamespace(status=200, body=self._report())
        status = self._handle_order(json.loads(body))
        self.statuses.append(status)
        if len(self.statuses) in self.lost_responses:
            await asyncio.sleep(timeout)
            raise HttpCallError(address, "no answer")
        return SimpleNamespace(status=status, body=b"")

    def forget(self, address: str) -> None:
        """Do nothing: there are no connections."""

    def _report(self) -> bytes:
        reported_at = self.loop.now - REPORT_DELAY_S
        _, models, sequence, busy_until = [state for state in self.history if state[0] <= reported_at][-1]
        entries = [{"name": name, "version": 1, "adapters": []} for name in sorted(models)]
        return json.dumps({"models": entries, "busy": busy_until > reported_at, "sequence": sequence}).encode()

    def _handle_order(self, order: dict) -> int:
        now, model = self.loop.now, order["model"]
        if now < self.busy_until or order["if_revision"] != self.sequence:
            return 409
        is_load = order["operation"] == "load"
        if is_load and model in self.models:
            return 200
        self.has_crashed = self.has_crashed or (is_load and bool(self.models))
        self.sequence += 1
        self.accepted.append((now, order["operation"], model))
        self.busy_until = now + (1.0 if is_load else self.unload_s)
        self._record(now)
        self.loop.call_at(self.busy_until, self._complete, is_load, model)
        return 202

    def _complete(self, is_load: bool, model: str) -> None:
        (self.models.add if is_load else self.models.discard)(model)
        self._record(self.loop.now)


def fake_node(loop: VirtualLoop) -> SimpleNamespace:
    """Return the only control-plane node of a chain, with one backend that has model `a` loaded."""
    registry = BackendRegistry(1.0, lambda backend_id: None)
    record = Backend(id="i", service="s", address="i:1", slots=8, sequence=1, models=[LoadedModel(name="a")])
    registry.merge(record, 0.0)
    node = SimpleNamespace(
        member=SimpleNamespace(identity="me", name="me"),
        state=SimpleNamespace(leader="", fencing_token=0, document=Document(1, CONFIGURATION)),
        view=SimpleNamespace(epoch=1),
        replica=SimpleNamespace(is_head=True),
        peers=SimpleNamespace(by_identity={}, is_alive=lambda *more: True),
        registry=registry,
        leaving=False,
        has_majority_contact=lambda: True,
        request_heartbeat=lambda: None,
        start_task=lambda work: loop.create_task(work),
    )

    async def claim_leadership() -> int:
        node.state.leader, node.state.fencing_token = "me", 1
        return 1

    node.claim_leadership = claim_leadership
    return node


class PlacementCase(unittest.TestCase):
    """Runs a controller against a scripted backend in virtual time."""

    def play(self, until: float = 6.0, **backend) -> ScriptedBackend:
        """Report pending requests for `b` from second 1 until `b` is loaded; `a` is loaded without demand."""
        loop = VirtualLoop()
        self.addCleanup(loop.close)
        script = ScriptedBackend(loop, **backend)
        self.node = fake_node(loop)
        self.controller = PlacementController(self.node, script, loop.time, Bounds())

        async def report_demand() -> None:
            for second in range(1, int(until)):
                await asyncio.sleep(float(second) - loop.now)
                is_waiting = "b" not in script.models
                demand = [ModelDemand("s", "b", "", 2 * is_waiting, 1.0, 2.0)]
                await self.controller.on_demand(DemandReport("n", demand))

        work = [loop.create_task(report_demand()), loop.create_task(self.controller.run())]
        loop.run_until_complete(asyncio.wait(work, timeout=until))
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        return script
