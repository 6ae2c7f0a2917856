"""Tables of successive configurations: the same as if each was built from nothing, at the cost of what changed."""

from __future__ import annotations

import asyncio
import json
import unittest
import zlib
from typing import Any
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from mulleinhatch.configuration import route
from mulleinhatch.configuration.document import Document, accept_patch
from mulleinhatch.configuration.encoding import decompressed
from mulleinhatch.configuration.routes import RouteTable, RouteTableBuilder, build_route_table
from mulleinhatch.configuration.tenants import TenantBuilder, TenantTableBuilder
from mulleinhatch.data_plane.control_plane_client import ControlPlaneClient
from mulleinhatch.messages.cluster import PollResponse
from mulleinhatch.process.loop_watch import LoopWatch
from mulleinhatch.process.settings import Bounds
from mulleinhatch.process.time_slices import TimeSlicer
from mulleinhatch.simulation.control_plane.clients import routes_of
from mulleinhatch.steps import complete
from mulleinhatch.tenants.api_keys import KeyDigester

NAMES = [f"n{number}" for number in range(6)]
FIRST = Document(1, {"version": 1, "routes": [], "services": [{"name": "s"}]})
DIGESTER = KeyDigester(b"k")


@st.composite
def route_items(draw: Any) -> dict[str, Any]:
    name = draw(st.sampled_from(NAMES))
    host, timeout_ms = draw(st.sampled_from(["a", "B", "b.example"])), draw(st.sampled_from([10, 20]))
    path_prefix = f"/{name}/" * draw(st.integers(1, 2))
    priority, is_public = draw(st.integers(0, 2)), draw(st.booleans())
    return {
        **{"name": name, "host": host, "path_prefix": path_prefix, "timeout_ms": timeout_ms},
        **{"service": "s", "priority": priority, "public": is_public},
    }


TENANTS = st.builds(
    lambda name, key, rate: {"name": name, "api_keys": [f"{name}-{key}"], "rate_per_s": rate},
    st.sampled_from(NAMES),
    st.integers(0, 2),
    st.sampled_from([0, 1, -1]),
)
REMOVALS = st.fixed_dictionaries({"routes": st.lists(st.sampled_from(NAMES)), "tenants": st.lists(st.sampled_from(NAMES))})
PATCHES = st.lists(
    st.fixed_dictionaries(
        {
            "upsert": st.fixed_dictionaries({"routes": st.lists(route_items()), "tenants": st.lists(TENANTS, max_size=3)}),
            "remove": REMOVALS,
        }
    ),
    max_size=6,
)


def comparable(table: RouteTable) -> tuple[Any, ...]:
    """Return what a table says."""
    hosts = {host: dict(found.by_prefix) for host, found in table.hosts.items()}
    lengths = {host: found.lengths for host, found in table.hosts.items()}
    targets = list(table.target_s_by_priority.items())
    return table.version, dict(table.routes), hosts, lengths, targets, table.has_public_routes, list(table.services.items())


class Successive(unittest.TestCase):
    @given(PATCHES)
    def test_tables_are_the_same_as_if_built_from_nothing(self, patches):
        builder, document = RouteTableBuilder(), FIRST
        for number, patch in enumerate(patches):
            document = accept_patch(document, {**patch, "version": number + 2}).ok_value
            table = complete(builder.build_steps(document))
            self.assertEqual(comparable(table), comparable(build_route_table(document)))

    @given(PATCHES)
    def test_tenants_are_the_same_as_if_built_from_nothing(self, patches):
        builder, tables, document = TenantBuilder(), TenantTableBuilder(DIGESTER), FIRST
        for number, patch in enumerate(patches):
            document = accept_patch(document, {**patch, "version": number + 2}).ok_value
            self.assertEqual(builder.build(document.value).by_name, TenantBuilder().build(document.value).by_name)
            if any(item["rate_per_s"] < 0 for item in document.value.get("tenants", ())):
                return  # a table is not built of tenants that an older process accepted
            table, anew = tables.build(document.value), TenantTableBuilder(DIGESTER).build(document.value)
            self.assertEqual((table.by_name, table._by_digest), (anew.by_name, anew._by_digest))
            self.assertEqual(set(table.priorities), set(anew.priorities))

    # Guards against a table that is built anew for each changed route, while requests wait.
    def test_a_change_of_one_route_builds_one_route(self):
        builder = RouteTableBuilder()
        document = Document(1, {"version": 1, "routes": routes_of(2000), "services": [{"name": "noted"}]})
        complete(builder.build_steps(document))
        changed = accept_patch(document, {"version": 2, "upsert": {"routes": [{**routes_of(1)[0], "timeout_ms": 1}]}}).ok_value
        with mock.patch.object(route, "Route", side_effect=route.Route) as build:
            table = complete(builder.build_steps(changed))
        self.assertEqual(build.call_count, 1)
        self.assertEqual(table.routes["route-0"].timeout_s, 0.001)


class Slices(unittest.TestCase):
    # Guards against a large configuration that a data plane reads and builds in one turn of its loop.
    def test_a_data_plane_takes_a_large_configuration_in_slices(self):
        value = {"version": 3, "routes": routes_of(1600), "services": [{"name": "noted"}]}
        update = PollResponse(
            authoritative=True, configuration_version=3, configuration=zlib.compress(json.dumps(value).encode()), epoch=1
        )
        times = iter(range(10**7))  # each look at the processor time finds a slice used up
        slicer = TimeSlicer(LoopWatch(), processor_time=lambda: float(next(times)))
        turns = 0

        async def apply() -> RouteTable:
            nonlocal turns
            settings = mock.Mock(seeds=(), internal_address="10.0.0.1:7000", bounds=Bounds())
            link = ControlPlaneClient(settings, None, asyncio.get_running_loop().time, lambda snapshot: None, slicer=slicer)
            applying = asyncio.ensure_future(link._apply(update, 0.0))
            while not applying.done():
                turns += 1
                await asyncio.sleep(0)
            return link.snapshot.table

        table = asyncio.run(apply())
        self.assertEqual((table.version, len(table.routes)), (3, 1600))
        self.assertGreater(turns, 100)

    def test_damaged_data_is_an_error(self):
        data = zlib.compress(b"x" * 100_000)
        self.assertEqual(complete(decompressed(data)), b"x" * 100_000)
        for damaged in (b"", data[:-1], data[:10], b"y" + data):
            with self.assertRaises(zlib.error):
                complete(decompressed(damaged))


if __name__ == "__main__":
    unittest.main()
