"""The operator's configuration: what is refused and what the message says, and the route table."""

from __future__ import annotations

import copy
import math
import unittest

from result import Err, Ok

from mulleinhatch.configuration.document import EMPTY, apply_patch, read_complete, read_json
from mulleinhatch.configuration.routes import build_route_table

ROUTE = {
    "name": "r1",
    "host": "a.example",
    "path_prefix": "/x/",
    "kind": "streaming",
    "timeout_ms": 5000,
    "target_latency_ms": 800,
    "priority": 1,
    "service": "llm",
    "max_attempts": 2,
    "resumable": True,
    "gap_aim_ms": 400,
}
ENGINE = {
    "slots": 64,
    "models": [{"name": "m0", "weights_mb": 100.0, "load_s": 1.5, "adapters": 2, "adapter_size_mb": 5.0}],
    "weights_mb": 220.0,
    "adapter_slots": 8,
    "loads_per_s": 2.5,
}
COMPLETE = {
    "version": 3,
    "routes": [ROUTE],
    "services": [{"name": "llm", "connection_limit": 360, "engine": ENGINE}, {"name": "app"}],
    "limits": {"max_header_bytes": 1000, "idle_timeout_ms": 15000},
}


def changed(**keys) -> dict:
    complete = copy.deepcopy(COMPLETE)
    complete["routes"][0].update(keys)
    return complete


class AbsurdEngines(unittest.TestCase):
    def test_figures_that_can_not_be_used_cost_their_model_only(self):
        names = ("text", "negative", "endless", "good")
        sizes = dict(zip(names, ("x", -5.0, math.inf, 100.0), strict=True))
        models = [{"name": name, "weights_mb": size, "load_s": size} for name, size in sizes.items()]
        engine = ENGINE | {"models": [*models, "no model", {}], "slots": 0, "adapter_slots": -1, "loads_per_s": "many"}
        complete = COMPLETE | {"services": [{"name": "llm", "engine": engine}, {"name": "app"}]}
        built = build_route_table(read_complete(complete, 2).ok_value).services["llm"].engine
        self.assertEqual({name: facts.weights_mb for name, facts in built.models.items()}["good"], 100.0)
        self.assertEqual([name for name, facts in built.models.items() if facts.weights_mb < math.inf], ["good"])
        self.assertEqual((built.slots, built.adapter_slots, built.loads_per_s), (1, 0, 0.0))


class Checks(unittest.TestCase):
    def refused(self, value: dict, word: str, current: int = 2) -> None:
        read = read_complete(value, current)
        self.assertIsInstance(read, Err, value)
        self.assertIn(word, str(read.err_value))

    def test_a_proper_one_is_taken(self):
        self.assertIsInstance(read_complete(COMPLETE, 2), Ok)

    def test_each_fault_is_named(self):
        self.refused(changed(service="nobody"), "nobody")
        self.refused(changed(timeout_ms=0), "timeout_ms")
        self.refused(changed(path_prefix="x"), "path_prefix")
        self.refused(changed(kind="quick"), "kind")
        self.refused(changed(traffic_split=[{"service": "app", "weight": 0}]), "weights")
        self.refused(changed(service=None), "r1")
        self.refused({**COMPLETE, "routes": [ROUTE, {**ROUTE, "name": "r2"}]}, "host and path_prefix")
        self.refused({**COMPLETE, "routes": [ROUTE, {**ROUTE, "path_prefix": "/y/"}]}, "name")
        self.refused({**COMPLETE, "version": "4"}, "version")
        self.refused({**COMPLETE, "limits": {"max_header_bytes": "many"}}, "limits")
        self.refused(COMPLETE, "above 3", current=3)

    def test_cut_json_and_doubled_keys_are_no_configuration(self):
        for body in (b'{"version":1', b'{"version":1,"version":2}', b"\xff", b"7"):
            self.assertIsInstance(read_json(body), Err, body)

    def test_a_patch_changes_just_what_it_names(self):
        document = read_complete(COMPLETE, 0).ok_value
        patch = {
            "version": 5,
            "upsert": {"routes": [{**ROUTE, "name": "r2", "path_prefix": "/y/"}]},
            "remove": {"routes": ["r1"]},
        }
        made = apply_patch(document, patch).ok_value
        self.assertEqual([route["name"] for route in made.value["routes"]], ["r2"])
        self.assertEqual(made.value["services"], COMPLETE["services"])
        self.assertEqual(document.value["routes"], [ROUTE])

    def test_a_patch_that_leaves_a_route_without_its_service_is_refused(self):
        document = read_complete(COMPLETE, 0).ok_value
        self.assertIsInstance(apply_patch(document, {"version": 5, "remove": {"services": ["llm"]}}), Err)

    def test_a_patch_of_another_form_is_refused(self):
        for patch in (
            {"version": 5, "upsert": []},
            {"version": 5, "upsert": {"routes": {}}},
            {"version": 5, "remove": {"other": []}},
        ):
            self.assertIsInstance(apply_patch(EMPTY, patch), Err, patch)


class Table(unittest.TestCase):
    def test_the_longest_prefix_of_the_host_counts(self):
        routes = [
            ROUTE,
            {**ROUTE, "name": "r2", "path_prefix": "/x/deep/"},
            {**ROUTE, "name": "r3", "host": "b.example", "path_prefix": "/"},
        ]
        table = build_route_table(read_complete({**COMPLETE, "routes": routes}, 0).ok_value)
        found = [
            table.find(*place)
            for place in (("a.example", "/x/1"), ("a.example", "/x/deep/1"), ("b.example", "/x/1"), ("a.example", "/"))
        ]
        self.assertEqual([route.name if route else None for route in found], ["r1", "r2", "r3", None])

    def test_units_and_kinds(self):
        route = build_route_table(read_complete(COMPLETE, 0).ok_value).find("a.example", "/x/1")
        self.assertEqual(
            (route.timeout_s, route.target_latency_s, route.target_gap_s, route.is_idempotent, route.is_streaming),
            (5.0, 0.8, 0.4, True, True),
        )

    def test_what_an_engine_tells(self):
        engine = build_route_table(read_complete(COMPLETE, 0).ok_value).services["llm"].engine
        self.assertEqual((engine.slots, engine.models["m0"].load_s, engine.adapter_slots), (64, 1.5, 8))


if __name__ == "__main__":
    unittest.main()
