"""The holder of orders against a backend that keeps the rules: played in virtual time, without sockets."""

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

MB = 100.0
MODELS = [{"name": name, "weights_mb": MB, "load_s": 1.0, "adapters": 0, "adapter_size_mb": 1.0} for name in ("a", "b", "c")]
ENGINE = {"slots": 8, "models": MODELS, "weights_mb": MB, "adapter_slots": 2, "loads_per_s": 5.0}
CONFIGURATION = {"version": 1, "routes": [], "services": [{"name": "s", "engine": ENGINE}], "limits": {}}
LAG_S = 0.2  # reports show the state of so long ago


@dataclass
class ScriptedBackend:
    """Holds one model; takes one order at a time, and falls when it is ordered to load beyond its memory."""

    loop: VirtualLoop
    unload_s: float = 0.02
    lost_answers: set[int] = field(default_factory=set)  # orders, by their number, whose answers are lost
    models: set[str] = field(default_factory=lambda: {"a"})
    busy_until: float = 0.0
    sequence: int = 0
    taken: list[tuple[float, str, str]] = field(default_factory=list)
    answers: list[int] = field(default_factory=list)
    fell: bool = False
    history: list[tuple[float, set[str], int, float]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._note(-10.0)

    def _note(self, at: float) -> None:
        self.history.append((at, set(self.models), self.sequence, self.busy_until))

    async def request(self, address: str, method: str, path: str, body: bytes, timeout: float, *more) -> SimpleNamespace:
        await asyncio.sleep(0.002)
        if path == "/report":
            return SimpleNamespace(status=200, body=self._report())
        status = self._order(json.loads(body))
        self.answers.append(status)
        if len(self.answers) in self.lost_answers:
            await asyncio.sleep(timeout)
            raise HttpCallError(address, "no answer")
        return SimpleNamespace(status=status, body=b"")

    def forget(self, address: str) -> None:
        """Nothing is kept."""

    def _report(self) -> bytes:
        seen = self.loop.now - LAG_S
        _, models, sequence, busy_until = [state for state in self.history if state[0] <= seen][-1]
        told = [{"name": name, "version": 1, "adapters": []} for name in sorted(models)]
        return json.dumps({"models": told, "busy": busy_until > seen, "sequence": sequence}).encode()

    def _order(self, order: dict) -> int:
        now, model = self.loop.now, order["model"]
        if now < self.busy_until or order["if_revision"] != self.sequence:
            return 409
        load = order["operation"] == "load"
        if load and model in self.models:
            return 200
        self.fell = self.fell or (load and bool(self.models))
        self.sequence += 1
        self.taken.append((now, order["operation"], model))
        self.busy_until = now + (1.0 if load else self.unload_s)
        self._note(now)
        self.loop.call_at(self.busy_until, self._done, load, model)
        return 202

    def _done(self, load: bool, model: str) -> None:
        (self.models.add if load else self.models.discard)(model)
        self._note(self.loop.now)


def fake_core(loop: VirtualLoop) -> SimpleNamespace:
    """A core machine that leads alone and holds the orders."""
    registry = BackendRegistry(1.0, lambda backend_id: None)
    told = Backend(id="i", service="s", address="i:1", slots=8, sequence=1, models=[LoadedModel(name="a")])
    registry.merge(told, 0.0)
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
        on_store_load=None,
    )

    async def claim_leadership() -> int:
        node.state.leader, node.state.fencing_token = "me", 1
        return 1

    node.claim_leadership = claim_leadership
    return node


class Swaps(unittest.TestCase):
    def play(self, until: float = 6.0, **backend) -> ScriptedBackend:
        """A request for `b` is held from second 1, while `a` stands and nobody asks for it."""
        loop = VirtualLoop()
        self.addCleanup(loop.close)
        script = ScriptedBackend(loop, **backend)
        orders = PlacementController(fake_core(loop), script, loop.time, Bounds())
        self.orders = orders

        async def ask() -> None:
            for second in range(1, int(until)):
                await asyncio.sleep(float(second) - loop.now)
                waits = "b" not in script.models
                demand = [ModelDemand("s", "b", "", 2 * waits, 1.0, 2.0)]
                await orders.on_demand(DemandReport("n", demand))

        work = [loop.create_task(ask()), loop.create_task(orders.run())]
        loop.run_until_complete(asyncio.wait(work, timeout=until))
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        return script

    def test_the_load_follows_the_unload_before_a_report_shows_its_end(self):
        script = self.play()
        (unloaded, *_), (loaded, *_) = script.taken[:2]
        self.assertEqual([order[1:] for order in script.taken[:2]], [("unload", "a"), ("load", "b")])
        self.assertLess(loaded - unloaded, LAG_S)
        self.assertEqual(script.models, {"b"})
        self.assertFalse(script.fell)

    def test_an_unload_that_waits_for_runs_is_waited_for(self):
        script = self.play(unload_s=1.5)
        self.assertEqual([order[1:] for order in script.taken[:2]], [("unload", "a"), ("load", "b")])
        self.assertGreaterEqual(script.taken[1][0] - script.taken[0][0], 1.5)
        self.assertIn(409, script.answers)
        self.assertFalse(script.fell)

    def test_a_load_whose_answer_is_lost_counts_as_taken(self):
        script = self.play(until=9.0, lost_answers={2})
        self.assertEqual([order[1:] for order in script.taken].count(("load", "b")), 1)
        self.assertFalse(script.fell)

    def test_an_unload_whose_answer_is_lost_is_followed_by_report(self):
        script = self.play(until=9.0, lost_answers={1})
        self.assertEqual(script.models, {"b"})
        self.assertFalse(script.fell)

    def test_at_most_one_order_is_under_way_at_a_backend(self):
        script = self.play()
        self.assertEqual(self.orders.log[0]["operation"], "unload")
        self.assertEqual([one["operation"] for one in self.orders.log], ["unload", "load"])
        self.assertEqual(len(script.taken), 2)


if __name__ == "__main__":
    unittest.main()
