"""Lists of items that share what did not change, and the routes of a host."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from mulleinhatch.configuration.host_routes import changed_hosts_steps
from mulleinhatch.configuration.item_list import (
    ITEMS_PER_CHUNK,
    MAX_RECENT_CHANGES,
    MAX_RECENT_NAMES,
    item_list_steps,
)
from mulleinhatch.configuration.route import build_route
from mulleinhatch.configuration.routes import RouteTable, RouteTableBuilder
from mulleinhatch.configuration.value_counts import ValueCounts
from mulleinhatch.simulation.control_plane.clients import routes_of
from mulleinhatch.steps import complete

NAMES = [f"n{number}" for number in range(3 * ITEMS_PER_CHUNK)]
CHANGES = st.lists(
    st.tuples(st.lists(st.sampled_from(NAMES)), st.lists(st.sampled_from(NAMES), max_size=2 * ITEMS_PER_CHUNK)), max_size=6
)


def items_of(names: list[str], version: int = 0) -> list[dict]:
    return [{"name": name, "version": version} for name in names]


def merged(items: list[dict], upsert: list[dict], remove: list[str]) -> list[dict]:
    """Apply a patch as the pages say it: remove by name, then replace in place or append."""
    by_name = {item["name"]: item for item in items}
    for name in remove:
        by_name.pop(name, None)
    for item in upsert:
        by_name[item["name"]] = item
    return list(by_name.values())


def differing(first: list[dict], second: list[dict]) -> set[str]:
    """Return the names whose items are not the same objects."""
    one, other = ({item["name"]: item for item in items} for items in (first, second))
    return {name for name in one.keys() | other.keys() if one.get(name) is not other.get(name)}


class Patches(unittest.TestCase):
    @given(st.integers(0, len(NAMES)), CHANGES)
    def test_any_series_of_patches_gives_the_items_of_a_merge(self, first, changes):
        plain = items_of(NAMES[:first])
        items = complete(item_list_steps(plain))
        for version, (remove, upsert) in enumerate(changes, 1):
            upserted = items_of(upsert, version)
            plain, items = merged(plain, upserted, remove), items.patched(upserted, remove)
            self.assertEqual(list(items), plain)
            self.assertEqual([item for chunk in items.chunks() for item in chunk], plain)
            self.assertLessEqual(max(map(len, items.chunks()), default=0), ITEMS_PER_CHUNK)
            self.assertEqual(len(items), len(plain))
            for name in NAMES:
                self.assertIs(items.get(name), next((item for item in plain if item["name"] == name), None))

    @given(CHANGES)
    def test_the_changed_names_are_those_of_a_comparison(self, changes):
        first = complete(item_list_steps(items_of(NAMES)))
        items, before = first, first
        for version, (remove, upsert) in enumerate(changes, 1):
            before, items = items, items.patched(items_of(upsert, version), remove)
            copy = complete(item_list_steps(list(items)))  # knows no former list
            self.assertEqual(set(complete(items.changed_names_steps(before))), differing(list(before), list(items)))
            self.assertEqual(set(complete(copy.changed_names_steps(before))), differing(list(before), list(items)))
            self.assertGreaterEqual(set(complete(items.changed_names_steps(first))), differing(list(first), list(items)))

    def test_a_list_remembers_a_bounded_number_of_changes(self):
        items = complete(item_list_steps(items_of(NAMES)))
        for version in range(2 * MAX_RECENT_CHANGES):
            items = items.patched(items_of(["n0"], version))
        self.assertEqual(len(items._recent_changes), MAX_RECENT_CHANGES)
        items = items.patched(items_of([f"m{number}" for number in range(MAX_RECENT_NAMES)]))
        self.assertEqual(len(items._recent_changes), 1)
        self.assertEqual(items.patched(items_of(["n1"]))._recent_changes[0][1], ("n1",))

    # Guards against a change of one item that copies all of them.
    def test_a_change_of_one_item_shares_the_other_chunks(self):
        items = complete(item_list_steps(items_of([f"m{number}" for number in range(100 * ITEMS_PER_CHUNK)])))
        changed = items.patched(items_of(["m70"], 1))
        new = [chunk for chunk in changed.chunks() if not any(chunk is former for former in items.chunks())]
        self.assertEqual(len(new), 1)
        self.assertEqual(sum(1 for _ in items.patched_steps(items_of(["m70"], 1))), 0)
        self.assertEqual(sum(1 for _ in changed.changed_names_steps(items)), 0)

    def test_an_item_without_a_name_is_an_error(self):
        for item, error in (({}, KeyError), ("name", TypeError), ({"name": []}, TypeError)):
            with self.assertRaises(error):
                complete(item_list_steps([item]))


PREFIXES = st.lists(st.sampled_from(["a/", "b/", "ab/"]), max_size=3).map(lambda parts: "/" + "".join(parts))
PATHS = st.text("ab/", max_size=8).map(lambda text: "/" + text)


class Lookup(unittest.TestCase):
    @given(st.lists(st.lists(PREFIXES, unique=True), min_size=1, max_size=4), st.lists(PATHS))
    def test_the_longest_prefix_wins_after_any_changes(self, configurations, paths):
        hosts, former = RouteTableBuilder()._hosts, []
        for number, prefixes in enumerate(configurations):
            routes = [
                build_route({"name": f"r{number}-{prefix}", "host": "h", "path_prefix": prefix, "timeout_ms": 1})
                for prefix in prefixes
            ]
            hosts = complete(changed_hosts_steps(hosts, routes, former))
            former, table = routes, RouteTable(hosts=hosts)
            for path in paths:
                matching = [route for route in routes if path.startswith(route.path_prefix)]
                expected = max(matching, key=lambda route: len(route.path_prefix), default=None)
                self.assertIs(table.find("h", path), expected)
            self.assertEqual("h" in hosts, bool(routes))

    # Guards against requests that wait while all routes of one host are compared with their path.
    def test_a_lookup_does_not_visit_the_routes_of_the_host(self):
        routes = [build_route({**item, "host": "h"}) for item in routes_of(8000)]
        found = complete(changed_hosts_steps(RouteTableBuilder()._hosts, routes, ()))["h"]
        self.assertLessEqual(len(found.lengths), 8)
        self.assertIs(found.find(routes[-1].path_prefix + "x"), routes[-1])


class Counts(unittest.TestCase):
    @given(st.lists(st.lists(st.integers(0, 3)), max_size=5))
    def test_the_values_are_those_that_are_left(self, lists):
        counts, former = ValueCounts(), []
        for values in lists:
            counts, former = complete(counts.adjusted_steps(values, former)), values
            self.assertEqual(set(counts), set(values))


if __name__ == "__main__":
    unittest.main()
