"""The caches of a planning pass change no plan: plans are compared with those of a planner without caches."""

from __future__ import annotations

import random
import unittest
from unittest import mock

from mulleinhatch.configuration.routes import EngineSpec, ModelSpec
from mulleinhatch.control_plane.placement import planner
from mulleinhatch.control_plane.placement.backend_view import BackendView, HostedModel
from mulleinhatch.control_plane.placement.demand import AggregatedDemand
from mulleinhatch.control_plane.placement.model_planner import ModelPlanner
from mulleinhatch.control_plane.placement.order import Operation, Order

MODELS = {f"m{number}": ModelSpec(f"m{number}", 60.0 + number, 2.0, 4, 1.0) for number in range(14)}
ENGINE = EngineSpec(64, 220.0, 4, 20.0, 1000, MODELS)


class UncachedPlanner(ModelPlanner):
    """Clears all caches before each search for evictions."""

    def _evictions_for(self, backend: BackendView, spec: ModelSpec) -> list[str] | None:
        for cache in (self._free_mb, self._losses, self._ranked_models, self._adapter_rates):
            cache.clear()
        return super()._evictions_for(backend, spec)


def random_backend(rng: random.Random, number: int) -> BackendView:
    hosted = {name: HostedModel({"a1"} if rng.random() < 0.3 else set(), -9.0) for name in rng.sample(list(MODELS), 3)}
    others = sorted(MODELS.keys() - hosted.keys())
    loading = {(rng.choice(others), "")} if rng.random() < 0.2 else set()
    unloading = {(rng.choice(sorted(hosted)), "")} if rng.random() < 0.2 else set()
    reserved_for = rng.choice(others) if rng.random() < 0.2 else ""
    disk_models = set(rng.sample(list(MODELS), 4))
    name = f"s{number}"
    return BackendView(
        name, name, hosted, disk_models, rng.random() < 0.8, rng.random() < 0.9, loading, unloading, reserved_for
    )


def random_demand(rng: random.Random) -> dict[str, AggregatedDemand]:
    demand = {}
    for name in rng.sample(list(MODELS), rng.randrange(2, 12)):
        rate = rng.choice([0.0, 0.5, 5.0, 40.0])
        adapters = {"a1": AggregatedDemand(rate=rate / 2, pending=rng.randrange(2))} if rng.random() < 0.4 else {}
        demand[name] = AggregatedDemand(rng.randrange(0, 5), rate, 3.0 * rate, rng.randrange(0, 40), adapters)
    return demand


class PlannerCaches(unittest.TestCase):
    def plan(self, model_planner: type[ModelPlanner], seed: int) -> list[Order]:
        rng = random.Random(seed)
        backends = [random_backend(rng, number) for number in range(rng.randrange(1, 9))]
        with mock.patch.object(planner, "ModelPlanner", model_planner):
            return planner.Planner(ENGINE, backends, random_demand(rng), 0.0, rng.randrange(0, 4)).plan()

    def test_plans_equal_those_of_a_planner_without_caches(self):
        kinds = dict.fromkeys(Operation, 0)
        for seed in range(600):
            plan = self.plan(ModelPlanner, seed)
            self.assertEqual(plan, self.plan(UncachedPlanner, seed), seed)
            for order in plan:
                kinds[order.operation] += 1
        self.assertGreater(min(kinds.values()), 100)


if __name__ == "__main__":
    unittest.main()
