"""What a control-plane node reports about the data planes that poll it."""

from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace

from mulleinhatch.configuration.document import Document
from mulleinhatch.control_plane.data_plane_directory import DataPlaneDirectory
from mulleinhatch.control_plane.distribution import Distribution
from mulleinhatch.control_plane.registry import BackendRegistry
from mulleinhatch.messages.cluster import PollRequest, View
from mulleinhatch.process.loop_watch import LoopWatch
from mulleinhatch.process.time_slices import TimeSlicer
from mulleinhatch.replication.state import ControlState


class PollStatusTest(unittest.IsolatedAsyncioTestCase):
    # Guards against an incident of rule CONFIG in which nobody could tell which version a data plane had been told.
    async def test_the_status_tells_the_version_that_each_data_plane_was_told(self):
        state = ControlState()
        state.document = Document(7, {"version": 7, "routes": [], "services": []})
        is_confirmed = True

        async def wait_for_majority_contact() -> bool:
            return is_confirmed

        node = SimpleNamespace(
            peers=SimpleNamespace(by_identity={}),
            registry=BackendRegistry(1.0, lambda backend_id: None),
            state=state,
            data_planes=DataPlaneDirectory(1),
            view=View(epoch=3),
            head=None,
            has_majority_contact=lambda: is_confirmed,
            wait_for_majority_contact=wait_for_majority_contact,
        )
        clock = asyncio.get_running_loop().time
        distribution = Distribution(node, clock, TimeSlicer(LoopWatch()))
        await distribution.poll(PollRequest(node="data-1"))
        is_confirmed = False
        await distribution.poll(PollRequest(node="data-2", configuration_version=6))
        told = {name: (one["version"], one["confirmed"]) for name, one in distribution.status().items()}
        self.assertEqual(told, {"data-1": (7, True), "data-2": (7, False)})


if __name__ == "__main__":
    unittest.main()
