"""A large configuration that is replaced is freed in many turns of the event loop."""

from __future__ import annotations

import asyncio
import json
import unittest
import weakref
import zlib
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from mulleinhatch.configuration.document import Document, accept_patch, replaced_items_steps
from mulleinhatch.data_plane.control_plane_client import ControlPlaneClient
from mulleinhatch.messages.cluster import Entry, PollResponse
from mulleinhatch.process.loop_watch import LoopWatch
from mulleinhatch.process.settings import Bounds
from mulleinhatch.process.time_slices import TimeSlicer
from mulleinhatch.replication.state import ControlState, EntryKind
from mulleinhatch.simulation.control_plane.clients import routes_of
from mulleinhatch.steps import RELEASED_PER_STEP, complete

SERVICES = [{"name": "noted"}]
ROUTES = 1600
NAMES = st.lists(st.integers(0, 9).map(lambda number: f"route-{number}"), unique=True)


def configuration(version: int, timeout_ms: int) -> PollResponse:
    routes = [{**item, "timeout_ms": timeout_ms} for item in routes_of(ROUTES)]
    text = json.dumps({"version": version, "routes": routes, "services": SERVICES}).encode()
    return PollResponse(authoritative=True, epoch=1, configuration_version=version, configuration=zlib.compress(text))


class Release(unittest.TestCase):
    # Guards against turns of 0.1 s in which all objects of a former configuration are freed.
    def test_a_data_plane_frees_the_routes_of_a_former_table_a_few_in_each_turn(self):
        times = iter(range(10**7))  # each look at the processor time finds a slice used up
        slicer = TimeSlicer(LoopWatch(), processor_time=lambda: float(next(times)))

        async def replace() -> list[int]:
            settings = mock.Mock(seeds=(), internal_address="10.0.0.1:7000", bounds=Bounds())
            client = ControlPlaneClient(settings, None, asyncio.get_running_loop().time, lambda snapshot: None, slicer=slicer)
            await client._apply(configuration(1, 5000), 0.0)
            former = weakref.WeakSet(client.snapshot.table.routes.values())
            applying, alive = asyncio.ensure_future(client._apply(configuration(2, 6000), 0.0)), []
            while not applying.done():
                alive.append(len(former))
                await asyncio.sleep(0)
            return [*alive, len(former)]

        alive = asyncio.run(replace())
        self.assertEqual((alive[0], alive[-1]), (ROUTES, 0))
        freed = [before - after for before, after in zip(alive, alive[1:])]
        self.assertLessEqual(max(freed), RELEASED_PER_STEP)

    @given(NAMES, NAMES)
    def test_the_replaced_items_are_those_that_a_patch_drops_or_replaces(self, upserted, removed):
        former = Document(1, {"version": 1, "routes": routes_of(5), "services": SERVICES})
        upsert = [{**routes_of(1)[0], "name": name, "path_prefix": f"/{name}/"} for name in upserted]
        patch = {"version": 2, "upsert": {"routes": upsert}, "remove": {"routes": removed}}
        document = accept_patch(former, patch).ok_value
        replaced = complete(replaced_items_steps(former, document))
        kept = {id(item) for item in document.value["routes"]}
        expected = {id(item) for item in former.value["routes"] if id(item) not in kept}
        self.assertEqual({id(item) for item in replaced}, expected)
        self.assertEqual(len(replaced), len(expected))

    def test_a_replica_holds_the_items_that_a_large_change_replaced(self):
        state = ControlState()
        first = json.dumps({"version": 1, "routes": routes_of(ROUTES), "services": SERVICES}).encode()
        state.apply(Entry(index=1, epoch=1, kind=EntryKind.CONFIGURATION, body=first, digest="first"))
        former = list(state.document.value["routes"])
        changed = [{**item, "timeout_ms": 1} for item in routes_of(ROUTES)]
        body = json.dumps({"version": 2, "upsert": {"routes": changed}}).encode()
        entry = Entry(index=2, epoch=1, kind=EntryKind.PATCH, body=body, digest="second")
        complete(state.prepare_steps(entry))
        state.apply(entry)
        self.assertEqual({id(item) for item in state.replaced_items}, {id(item) for item in former})


if __name__ == "__main__":
    unittest.main()
