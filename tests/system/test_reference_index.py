"""References of a patch, checked by what it changes: the verdict of the full check of the result, for any series of patches."""

from __future__ import annotations

import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
from result import Err

from mulleinhatch.configuration.document import Document, read_complete
from mulleinhatch.configuration.patching import apply_patch, apply_patch_steps
from mulleinhatch.configuration.reference_index import ReferenceIndex
from mulleinhatch.simulation.control_plane.clients import routes_of
from mulleinhatch.steps import Steps, complete

NAMES = ["a", "b", "c", "d"]
SERVICES = ["s", "t", "u"]
HOSTS = ["h", "H", "g"]
FIRST = Document(1, {"version": 1, "routes": [], "services": [{"name": "s"}]})
TARGETS = st.fixed_dictionaries({"service": st.sampled_from(SERVICES), "weight": st.sampled_from([0, 1])})
ROUTES = st.builds(
    lambda name, host, path, targets: (
        {"name": name, "host": host, "path_prefix": path, "timeout_ms": 1}
        | ({"service": targets} if isinstance(targets, str) else {"traffic_split": targets})
    ),
    st.sampled_from(NAMES),
    st.sampled_from(HOSTS),
    st.sampled_from(["/", "/p/"]),
    st.one_of(st.sampled_from(SERVICES), st.lists(TARGETS, max_size=2)),
)
TENANTS = st.builds(
    lambda name, keys: {"name": name, "api_keys": keys}, st.sampled_from(NAMES), st.lists(st.sampled_from("xyz"), max_size=2)
)
UPSERTS = st.fixed_dictionaries(
    {},
    optional={
        "routes": st.lists(ROUTES, max_size=3),
        "services": st.lists(st.sampled_from([{"name": service} for service in SERVICES]), max_size=2),
        "tenants": st.lists(TENANTS, max_size=2, unique_by=lambda tenant: tenant["name"]),
    },
)
REMOVALS = st.fixed_dictionaries(
    {},
    optional={
        "routes": st.lists(st.sampled_from(NAMES), max_size=2),
        "services": st.lists(st.sampled_from(SERVICES), max_size=2),
        "tenants": st.lists(st.sampled_from(NAMES), max_size=2),
    },
)
PATCHES = st.lists(st.fixed_dictionaries({"upsert": UPSERTS, "remove": REMOVALS}), max_size=8)


def merged(document: Document, patch: dict[str, Any]) -> dict[str, Any]:
    """Return the configuration after a patch, by the protocol's words: names are removed, then items added or replaced."""
    value = dict(document.value)
    for kind in ("routes", "services", "tenants"):
        items = {item["name"]: item for item in value.get(kind, ())}
        for name in patch["remove"].get(kind, ()):
            items.pop(name, None)
        items |= {item["name"]: item for item in patch["upsert"].get(kind, ())}
        value[kind] = list(items.values())
    return {**value, "version": patch["version"]}


def count_steps(steps: Steps[Any]) -> int:
    return sum(1 for _ in steps)


class Verdicts(unittest.TestCase):
    @given(PATCHES)
    def test_any_series_of_patches_is_judged_as_by_the_full_check(self, patches):
        document, index = FIRST, ReferenceIndex()
        for number, drawn in enumerate(patches):
            patch = {**drawn, "version": number + 2}
            checked = complete(apply_patch_steps(document, patch, index))
            full = read_complete(merged(document, patch), document.version)
            self.assertEqual(isinstance(checked, Err), isinstance(full, Err), (document.value, patch, checked, full))
            if isinstance(checked, Err):
                self.assertEqual(isinstance(apply_patch(document, patch), Err), True)
                continue
            document = checked.ok_value
            self.assertEqual({"tenants": [], **document.value}, full.ok_value.value)

    def test_the_message_names_a_route_whose_service_is_removed(self):
        route = {"name": "r", "host": "h", "path_prefix": "/", "timeout_ms": 1, "service": "s"}
        document = apply_patch(FIRST, {"version": 2, "upsert": {"routes": [route]}}).ok_value
        rejected = apply_patch(document, {"version": 3, "remove": {"services": ["s"]}}).err_value
        self.assertEqual(str(rejected), "route 'r' names the unknown service 's'; add it under services")


class Costs(unittest.TestCase):
    def test_an_interrupted_update_of_the_index_is_done_anew(self):
        document = Document(2, {"version": 2, "routes": routes_of(300), "services": [{"name": "noted"}]})
        index = ReferenceIndex()
        steps = index.follow_steps(document)
        for _ in range(4):
            next(steps)
        steps.close()
        duplicate = {**routes_of(300)[299], "name": "other"}
        checked = complete(apply_patch_steps(document, {"version": 3, "upsert": {"routes": [duplicate]}}, index))
        self.assertIn("another route has the same host and path_prefix", str(checked.err_value))

    # Guards against a change of one route that costs a check of all routes.
    def test_the_steps_for_one_route_hardly_grow_with_the_routes_in_force(self):
        steps = {}
        for count in (100, 8000):
            document = Document(2, {"version": 2, "routes": routes_of(count), "services": [{"name": "noted"}]})
            index = ReferenceIndex()
            complete(index.follow_steps(document))
            route = {**routes_of(1)[0], "timeout_ms": 1}
            patched = complete(apply_patch_steps(document, {"version": 3, "upsert": {"routes": [route]}}, index)).ok_value
            complete(index.follow_steps(patched))
            steps[count] = count_steps(apply_patch_steps(patched, {"version": 4, "upsert": {"routes": [route]}}, index))
        self.assertLess(steps[8000], 2 * steps[100])


if __name__ == "__main__":
    unittest.main()
