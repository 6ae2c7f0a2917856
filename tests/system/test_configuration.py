"""Test the operator's configuration: rejected documents, their messages, and the route table."""

from __future__ import annotations

import copy
import json
import math
import unittest

from result import Err, Ok

from mulleinhatch.configuration.document import EMPTY, accept_complete, accept_patch, read_complete, read_json
from mulleinhatch.configuration.patching import apply_patch
from mulleinhatch.configuration.routes import build_route_table
from mulleinhatch.configuration.tenants import TenantTableBuilder
from mulleinhatch.messages.parsing import MAX_COUNT
from mulleinhatch.tenants.api_keys import KeyDigester

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


class UnusableEngineTest(unittest.TestCase):
    def test_unusable_numbers_exclude_their_model_only(self):
        names = ("text", "negative", "endless", "good")
        sizes = dict(zip(names, ("x", -5.0, math.inf, 100.0), strict=True))
        models = [{"name": name, "weights_mb": size, "load_s": size} for name, size in sizes.items()]
        engine = ENGINE | {"models": [*models, "no model", {}], "slots": 0, "adapter_slots": -1, "loads_per_s": "many"}
        complete = COMPLETE | {"services": [{"name": "llm", "engine": engine}, {"name": "app"}]}
        built = build_route_table(read_complete(complete, 2).ok_value).services["llm"].engine
        self.assertEqual({name: facts.weights_mb for name, facts in built.models.items()}["good"], 100.0)
        self.assertEqual([name for name, facts in built.models.items() if facts.weights_mb < math.inf], ["good"])
        self.assertEqual((built.slots, built.adapter_slots, built.loads_per_s), (1, 0, 0.0))


class ValidationTest(unittest.TestCase):
    def check_rejected(self, value: dict, text: str, current: int = 2) -> None:
        read = read_complete(value, current)
        self.assertIsInstance(read, Err, value)
        self.assertIn(text, str(read.err_value))

    def test_valid_configuration_is_accepted(self):
        self.assertIsInstance(read_complete(COMPLETE, 2), Ok)

    def test_message_names_each_fault(self):
        self.check_rejected(changed(service="nobody"), "nobody")
        self.check_rejected(changed(timeout_ms=0), "timeout_ms")
        self.check_rejected(changed(path_prefix="x"), "path_prefix")
        self.check_rejected(changed(kind="quick"), "kind")
        self.check_rejected(changed(traffic_split=[{"service": "app", "weight": 0}]), "weights")
        self.check_rejected(changed(service=None), "r1")
        self.check_rejected({**COMPLETE, "routes": [ROUTE, {**ROUTE, "name": "r2"}]}, "host and path_prefix")
        self.check_rejected({**COMPLETE, "routes": [ROUTE, {**ROUTE, "path_prefix": "/y/"}]}, "name")
        self.check_rejected({**COMPLETE, "version": "4"}, "version")
        self.check_rejected({**COMPLETE, "limits": {"max_header_bytes": "many"}}, "limits")
        self.check_rejected(COMPLETE, "above 3", current=3)

    def test_truncated_json_and_duplicate_keys_are_rejected(self):
        for body in (b'{"version":1', b'{"version":1,"version":2}', b"\xff", b"7"):
            self.assertIsInstance(read_json(body), Err, body)

    def test_patch_changes_the_named_items_only(self):
        document = read_complete(COMPLETE, 0).ok_value
        patch = {
            "version": 5,
            "upsert": {"routes": [{**ROUTE, "name": "r2", "path_prefix": "/y/"}]},
            "remove": {"routes": ["r1"]},
        }
        patched = apply_patch(document, patch).ok_value
        self.assertEqual([route["name"] for route in patched.value["routes"]], ["r2"])
        self.assertEqual(patched.value["services"], COMPLETE["services"])
        self.assertEqual(document.value["routes"], [ROUTE])

    def test_patch_that_removes_a_used_service_is_rejected(self):
        document = read_complete(COMPLETE, 0).ok_value
        self.assertIsInstance(apply_patch(document, {"version": 5, "remove": {"services": ["llm"]}}), Err)

    def test_accepting_a_validated_change_gives_the_same_result_as_validating_it(self):
        patches = [
            {"version": 5, "upsert": {"routes": [{**ROUTE, "name": "r2", "path_prefix": "/y/"}]}, "remove": {"routes": ["r1"]}},
            {"version": 6, "limits": {"max_body_bytes": 5}},
        ]
        checked = accepted = read_complete(COMPLETE, 0).ok_value
        self.assertEqual(accept_complete(COMPLETE, 0).ok_value, accepted)
        for patch in patches:
            checked, accepted = apply_patch(checked, patch).ok_value, accept_patch(accepted, patch).ok_value
            self.assertEqual(accepted, checked)
        self.assertIsInstance(accept_patch(accepted, patches[0]), Err)  # its version is not above the current one
        self.assertIsInstance(accept_complete(COMPLETE, 9), Err)

    def test_malformed_patch_is_rejected(self):
        for patch in (
            {"version": 5, "upsert": []},
            {"version": 5, "upsert": {"routes": {}}},
            {"version": 5, "remove": {"other": []}},
        ):
            self.assertIsInstance(apply_patch(EMPTY, patch), Err, patch)


# The values that JSON parsers return for 1e999, -1e999 and NaN, and integers too large for a float.
UNUSABLE_NUMBERS = (math.inf, -math.inf, math.nan, 10**400, -(10**400))
VALUES = (*UNUSABLE_NUMBERS, -1, 0, 0.0, 1, 1e308, 2**70, "x", "", None, True, [], {}, [7], ["x"], {"x": 7})
ROUTE_NUMBER_KEYS = ("timeout_ms", "target_latency_ms", "priority", "max_attempts", "gap_aim_ms")


class BuildableTest(unittest.TestCase):
    """Guards against acknowledging a configuration for which no data plane can build a route table."""

    def check_rejected(self, value: dict, *texts: str) -> None:
        body = json.dumps(value).encode()
        patch = {"version": 9, "upsert": {kind: value[kind] for kind in ("routes", "services")}, "limits": value["limits"]}
        document = read_complete(COMPLETE, 0).ok_value
        read = read_json(body).ok_value  # as an operator sends it
        for checked in (read_complete(read, 0), apply_patch(document, json.loads(json.dumps(patch)))):
            self.assertIsInstance(checked, Err, value)
            for text in texts:
                self.assertIn(text, str(checked.err_value))

    def test_numbers_of_a_route_that_are_not_finite_are_rejected_with_route_and_field(self):
        for field in ROUTE_NUMBER_KEYS:
            for value in UNUSABLE_NUMBERS:
                self.check_rejected(changed(**{field: value}), "'r1'", field)
        for value in UNUSABLE_NUMBERS:
            self.check_rejected(changed(traffic_split=[{"service": "app", "weight": value}]), "'r1'", "traffic_split")
        self.check_rejected(changed(traffic_split=[{"service": "app", "weight": 1e308}] * 2), "'r1'", "traffic_split")

    def test_numbers_of_services_and_limits_that_are_not_finite_are_rejected(self):
        for value in UNUSABLE_NUMBERS:
            services = [{"name": "llm", "connection_limit": value}, {"name": "app"}]
            self.check_rejected({**COMPLETE, "services": services}, "'llm'", "connection_limit")
            self.check_rejected({**COMPLETE, "limits": {"max_body_bytes": value}}, "limits")

    def test_a_priority_that_the_messages_cannot_carry_is_rejected(self):
        """Guards against unreadable demand reports, which carry the priority of waiting requests."""
        self.assertIsInstance(read_complete(changed(priority=2**62), 0), Ok)
        for value in (1e300, 2**70):
            self.check_rejected(changed(priority=value), "'r1'", "priority")

    def test_a_version_that_the_messages_cannot_carry_is_rejected(self):
        self.assertIsInstance(read_complete({**COMPLETE, "version": MAX_COUNT}, 0), Ok)
        self.assertIsInstance(read_complete({**COMPLETE, "version": MAX_COUNT + 1}, 0), Err)
        document = read_complete(COMPLETE, 0).ok_value
        self.assertIsInstance(apply_patch(document, {"version": MAX_COUNT + 1}), Err)
        # A replica must apply what another head has accepted; a version that rejected it would diverge from the other replicas.
        self.assertIsInstance(accept_patch(document, {"version": MAX_COUNT + 1}), Ok)

    def test_a_route_table_can_be_built_from_each_accepted_configuration(self):
        accepted = 0
        for value in VALUES:
            for changed_one in self.with_value(value):
                read = read_complete(changed_one, 0)
                if isinstance(read, Ok):
                    accepted += 1
                    build_route_table(read.ok_value, TenantTableBuilder(KeyDigester(b"k")).build(read.ok_value.value))
        self.assertGreater(accepted, 100)

    def with_value(self, value: object) -> list[dict]:
        """Return configurations that each have the value in a different field."""
        engine = ENGINE | {"models": [ENGINE["models"][0]]}
        engines = [engine | {key: value} for key in (*ENGINE, "kv_cache_tokens")]
        engines += [engine | {"models": [engine["models"][0] | {key: value}]} for key in engine["models"][0]]
        tenant = {"name": "t", "api_keys": ["k"]}
        tenants = [tenant | {key: value} for key in (*tenant, "rate_per_s", "burst", "plain_tokens", "priority", "unit")]
        app = {"name": "app"}
        service_keys = ("connection_limit", "health_check_path", "engine")
        return [
            *(changed(**{key: value}) for key in (*ROUTE, "traffic_split", "public")),
            changed(traffic_split=[{"service": "app", "weight": value}]),
            *(COMPLETE | {"services": [{"name": "llm", "engine": engine}, app]} for engine in engines),
            *(COMPLETE | {"services": [{"name": "llm", key: value}, app]} for key in service_keys),
            *(COMPLETE | {"limits": {key: value}} for key in ("max_header_bytes", "header_timeout_ms", "idle_timeout_ms")),
            *(COMPLETE | {"tenants": [one]} for one in tenants),
            *(COMPLETE | {key: value} for key in ("limits", "tenants", "routes", "services")),
        ]


class RouteTableTest(unittest.TestCase):
    def test_longest_prefix_of_the_host_wins(self):
        routes = [
            ROUTE,
            {**ROUTE, "name": "r2", "path_prefix": "/x/deep/"},
            {**ROUTE, "name": "r3", "host": "b.example", "path_prefix": "/"},
        ]
        table = build_route_table(read_complete({**COMPLETE, "routes": routes}, 0).ok_value)
        matched = [
            table.find(*target)
            for target in (("a.example", "/x/1"), ("a.example", "/x/deep/1"), ("b.example", "/x/1"), ("a.example", "/"))
        ]
        self.assertEqual([route.name if route else None for route in matched], ["r1", "r2", "r3", None])

    def test_units_and_kinds(self):
        route = build_route_table(read_complete(COMPLETE, 0).ok_value).find("a.example", "/x/1")
        self.assertEqual(
            (route.timeout_s, route.target_latency_s, route.target_gap_s, route.is_idempotent, route.is_streaming),
            (5.0, 0.8, 0.4, True, True),
        )

    def test_engine_spec(self):
        engine = build_route_table(read_complete(COMPLETE, 0).ok_value).services["llm"].engine
        self.assertEqual((engine.slots, engine.models["m0"].load_s, engine.adapter_slots), (64, 1.5, 8))


if __name__ == "__main__":
    unittest.main()
