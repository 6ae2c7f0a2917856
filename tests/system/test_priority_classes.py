"""The priority classes of a configuration, given by the pairs of tenant priority and route priority."""

from __future__ import annotations

import unittest

from mulleinhatch.configuration.document import Document
from mulleinhatch.configuration.routes import RouteTable, build_route_table
from mulleinhatch.configuration.tenants import TenantTableBuilder
from mulleinhatch.data_plane.admission_queue import AdmissionQueue, PendingRequest
from mulleinhatch.data_plane.priority_classes import MAX_CLASSES, PriorityClass, build_priority_classes
from mulleinhatch.data_plane.registry_snapshot import ModelKey
from mulleinhatch.data_plane.request_headers import MAX_PRIORITY
from mulleinhatch.tenants.api_keys import KeyDigester


def table_of(
    route_priorities: list[int | None], tenant_priorities: list[int | None], targets_ms: list[int] = (), is_public: bool = False
) -> RouteTable:
    """Return a table with one route or tenant per priority, named by index; None omits the priority."""
    routes = []
    for index, priority in enumerate(route_priorities):
        route = {"name": f"r{index}", "host": "h", "path_prefix": f"/{index}/", "timeout_ms": 9000, "service": "s"}
        route |= {"public": is_public, "target_latency_ms": targets_ms[index] if targets_ms else 1000}
        routes.append(route if priority is None else route | {"priority": priority})
    tenants = []
    for index, priority in enumerate(tenant_priorities):
        tenant = {"name": f"t{index}", "api_keys": [f"key-{index}"]}
        tenants.append(tenant if priority is None else tenant | {"priority": priority})
    value = {"version": 1, "routes": routes, "services": [{"name": "s"}], "tenants": tenants}
    return build_route_table(Document(1, value), TenantTableBuilder(KeyDigester(b"k")).build(value))


def ranks(table: RouteTable, field_values: bool = False) -> list[list[int]]:
    """Return the rank, or the field value, of each route for each tenant."""
    classes = build_priority_classes(table)
    routes = sorted(table.routes.values(), key=lambda route: int(route.name[1:]))
    tenants = sorted(table.tenants.by_name.values(), key=lambda tenant: int(tenant.name[1:]))
    found = [[classes.class_of(route, tenant) for route in routes] for tenant in tenants]
    return [[one.field_value if field_values else one.rank for one in row] for row in found]


class PriorityClasses(unittest.TestCase):
    def test_without_tenants_the_class_is_the_priority_of_the_route(self):
        """Guards against a change of behaviour without configured tenants."""
        table = table_of([0, 3, 12], [], [1000, 2000, 500])
        classes = build_priority_classes(table)
        routes = sorted(table.routes.values(), key=lambda route: route.name)
        found = [classes.class_of(route, None) for route in routes]
        self.assertEqual(found, [PriorityClass(0, 0), PriorityClass(3, 3), PriorityClass(12, MAX_PRIORITY)])
        self.assertEqual(classes.classes(), [(0, 1.0), (3, 2.0), (12, 0.5)])

    def test_tenant_priority_takes_precedence_over_route_priority(self):
        self.assertEqual(ranks(table_of([2, 0], [1, None])), [[3, 2], [1, 0]])

    def test_routes_keep_their_order_among_tenants_of_equal_priority(self):
        """Guards against flattened classes: if all tenants had priority 1, every request had class 1."""
        self.assertEqual(ranks(table_of([0, 1, 2], [1, 1])), [[0, 1, 2], [0, 1, 2]])

    def test_a_public_request_without_a_tenant_has_the_default_tenant_priority(self):
        table = table_of([0, 1], [1], is_public=True)
        classes = build_priority_classes(table)
        route = table.find("h", "/1/")
        self.assertEqual([classes.class_of(route, tenant).rank for tenant in (None, table.tenants.by_name["t0"])], [1, 3])

    def test_more_than_ten_ranks_are_scaled_to_the_field_in_the_same_order(self):
        table = table_of([0, 1, 2, 3], [0, 1, 2, 3])
        self.assertEqual(sum(ranks(table), []), list(range(16)))
        sent = sum(ranks(table, field_values=True), [])
        self.assertEqual(sent, sorted(sent))
        self.assertEqual(set(sent), set(range(MAX_PRIORITY + 1)))

    def test_the_lowest_class_has_the_longest_target_of_the_lowest_routes(self):
        """Guards against an ageing rate derived from the latency target of another class."""
        classes = build_priority_classes(table_of([0, 1, 1], [0, 1], [8000, 2000, 4000])).classes()
        self.assertEqual(classes, [(0, 8.0), (1, 4.0), (2, 8.0), (3, 4.0)])

    def test_an_unknown_priority_gets_the_next_lower_class(self):
        known, older = table_of([0, 4], [0, 4]), table_of([2, 9], [2, 9])
        classes = build_priority_classes(known)
        found = [classes.class_of(older.find("h", f"/{index}/"), older.tenants.by_name[f"t{index}"]).rank for index in (0, 1)]
        self.assertEqual(found, [3, 3])

    def test_many_priorities_are_merged_into_few_classes_in_the_same_order(self):
        """Guards against a configuration with so many classes that starting a request becomes slow."""
        found = sum(ranks(table_of([0, 1, 2, 3, 4], list(range(200)))), [])
        self.assertEqual(found, sorted(found))
        self.assertEqual(set(found), set(range(MAX_CLASSES)))


class ReconfiguredQueue(unittest.TestCase):
    def test_waiting_requests_get_the_classes_of_the_new_configuration(self):
        """Guards against keeping a class of the previous configuration, which may mean another priority in the new one."""
        key = ModelKey("s")
        queue = AdmissionQueue(lambda model_key: slots[0], lambda model_key: 0.0)
        slots = [0.0]
        queue.configure([(0, 1.0), (1, 1.0)])
        for handle, priority in (("was urgent", 0), ("was not", 1)):
            self.assertIsNone(queue.enqueue(PendingRequest(handle, key, priority, 1.0, "", 0.0, 9.0), 0.0))
        queue.configure([(0, 1.0), (3, 1.0)], lambda pending: 3 if pending.handle == "was urgent" else 0)
        slots[0] = 4.0
        self.assertEqual([(one.handle, one.priority) for one in queue.start_next(0.0)], [("was not", 0), ("was urgent", 3)])


if __name__ == "__main__":
    unittest.main()
