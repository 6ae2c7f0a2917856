"""Items judged field by field: the same verdicts as the whole schema, and no value is judged twice."""

from __future__ import annotations

import json
import time
import unittest
from typing import Any
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st
from schema import Schema, SchemaError

from mulleinhatch.configuration.item_schema import MAX_REMEMBERED_VALUES
from mulleinhatch.configuration.validation import ROUTE_SCHEMA, SERVICE_SCHEMA, check_items
from mulleinhatch.simulation.control_plane.clients import routes_of
from mulleinhatch.steps import complete

VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-2, 3),
    st.integers(2**62, 2**1100),
    st.floats(allow_nan=True),
    st.sampled_from(["", "a", "/a/", "/", "/a", "safe", "streaming", "\ud800"]),
    st.lists(
        st.one_of(
            st.fixed_dictionaries({"service": st.sampled_from(["", "a", 1]), "weight": st.sampled_from([0, 1, -1, 1.5, True])}),
            st.integers(0, 1),
        ),
        max_size=2,
    ),
    st.dictionaries(
        st.sampled_from(["models", "slots"]), st.one_of(st.none(), st.integers(0, 2), st.just([]), st.just(10**400))
    ),
)
ROUTE_FIELDS = [
    "name",
    "host",
    "path_prefix",
    "kind",
    "timeout_ms",
    "target_latency_ms",
    "priority",
    "max_attempts",
    "gap_aim_ms",
]
ROUTES = st.dictionaries(st.sampled_from([*ROUTE_FIELDS, "service", "traffic_split", "public", "other"]), VALUES)
SERVICES = st.dictionaries(st.sampled_from(["name", "health_check_path", "connection_limit", "engine", "other"]), VALUES)


def is_accepted(item_schema: Any, item: Any) -> bool:
    try:
        item_schema.validate(item)
    except SchemaError:
        return False
    return True


class Verdicts(unittest.TestCase):
    def check(self, item_schema: Any, item: Any) -> None:
        """Compare the verdict with that of the whole schema, twice: the second time values are remembered."""
        expected = item_schema._schema.is_valid(item)
        for _ in range(2):
            self.assertEqual(is_accepted(item_schema, item), expected, item)

    @given(st.builds(lambda valid, drawn: {**valid, **drawn}, st.sampled_from([{}, *routes_of(2)]), ROUTES))
    def test_a_route_is_judged_as_by_the_whole_schema(self, route):
        self.check(ROUTE_SCHEMA, route)

    @given(SERVICES)
    def test_a_service_is_judged_as_by_the_whole_schema(self, service):
        self.check(SERVICE_SCHEMA, service)

    def test_what_is_no_object_is_rejected(self):
        for item in (None, 1, "a", [], {1: 2}):
            self.check(ROUTE_SCHEMA, item)

    def test_equal_numbers_of_different_types_are_judged_apart(self):
        valid = routes_of(1)[0]
        self.check(ROUTE_SCHEMA, {**valid, "timeout_ms": 1})
        self.check(ROUTE_SCHEMA, {**valid, "timeout_ms": True})
        split = [{"service": "a", "weight": 1}]
        self.check(ROUTE_SCHEMA, {**valid, "traffic_split": split})
        self.check(ROUTE_SCHEMA, {**valid, "traffic_split": [{"service": "a", "weight": True}]})

    def test_remembered_values_are_bounded(self):
        route = routes_of(1)[0]
        for number in range(MAX_REMEMBERED_VALUES + 10):
            ROUTE_SCHEMA.validate({**route, "timeout_ms": number + 1})
        self.assertLessEqual(len(ROUTE_SCHEMA._accepted), MAX_REMEMBERED_VALUES)


class Cost(unittest.TestCase):
    # Guards against SHORT: a schema that judges the same values anew for each route took 0.75 to 2.2 ms a route.
    def test_values_that_stand_in_many_routes_are_judged_once(self):
        routes = json.loads(json.dumps(routes_of(500)))
        complete(check_items("routes", routes[:100]))
        with mock.patch.object(Schema, "validate", autospec=True, side_effect=Schema.validate) as validate:
            complete(check_items("routes", routes))
        self.assertLess(validate.call_count, 10 * len(routes))

    # Guards against SHORT: the time that a small share of a core needs for 1,600 routes.
    def test_a_large_list_of_routes_is_checked_within_its_share_of_the_bound(self):
        routes, bound_s = routes_of(1600), 0.1 * 0.003 * 1600  # a tenth of a core, 3 ms a route
        began_at = time.thread_time()
        complete(check_items("routes", routes))
        self.assertLess(time.thread_time() - began_at, bound_s)


if __name__ == "__main__":
    unittest.main()
