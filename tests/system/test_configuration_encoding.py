"""The configuration as JSON and compressed: in pieces, and once for all data planes."""

from __future__ import annotations

import asyncio
import json
import unittest
import zlib
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from mulleinhatch.configuration.encoding import ITEMS_PER_CHUNK, compressed, json_chunks, patch_list_chunks
from mulleinhatch.control_plane import configuration_encoder
from mulleinhatch.control_plane.configuration_encoder import ConfigurationEncoder
from mulleinhatch.messages.cluster import Entry
from mulleinhatch.process.loop_watch import LoopWatch
from mulleinhatch.process.time_slices import TimeSlicer
from mulleinhatch.replication.state import ControlState, EntryKind
from mulleinhatch.simulation.control_plane.clients import routes_of
from mulleinhatch.steps import complete

SERVICES = [{"name": "noted"}]
LISTS = st.lists(st.one_of(st.integers(), st.text(), st.dictionaries(st.text(), st.booleans())), max_size=3 * ITEMS_PER_CHUNK)

MEMBERS = st.one_of(LISTS, st.none(), st.floats(allow_nan=False), st.dictionaries(st.text(), LISTS))


def state_with(route_count: int) -> ControlState:
    state = ControlState()
    body = json.dumps({"version": 1, "routes": routes_of(route_count), "services": SERVICES}).encode()
    state.apply(Entry(index=1, epoch=1, kind=int(EntryKind.CONFIGURATION), body=body, digest="first"))
    return state


def patch(state: ControlState, route_count: int) -> None:
    version = state.document.version + 1
    body = json.dumps({"version": version, "upsert": {"routes": routes_of(route_count)}}).encode()
    state.apply(Entry(index=state.index + 1, epoch=1, kind=int(EntryKind.PATCH), body=body, digest=f"patch-{version}"))


class Pieces(unittest.TestCase):
    @given(
        st.dictionaries(st.text(), st.one_of(LISTS, st.none(), st.floats(allow_nan=False), st.dictionaries(st.text(), LISTS)))
    )
    def test_the_chunks_are_the_compact_json(self, value):
        self.assertEqual(b"".join(json_chunks(value)), json.dumps(value, separators=(",", ":")).encode())

    @given(st.lists(st.binary(max_size=300), max_size=4))
    def test_compression_in_steps_keeps_the_content(self, chunks):
        self.assertEqual(zlib.decompress(complete(compressed(chunks))), b"".join(chunks))

    def test_a_large_configuration_is_written_and_compressed_in_many_steps(self):
        value = {"version": 1, "routes": routes_of(50 * ITEMS_PER_CHUNK)}
        self.assertGreaterEqual(sum(1 for _ in compressed(json_chunks(value))), 50)
        body = json.dumps(value).encode()
        self.assertGreaterEqual(sum(1 for _ in compressed(patch_list_chunks([body]))), len(body) >> 16)


class Updates(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.state = state_with(100)
        times = iter(range(10**6))  # each look at the processor time finds a slice used up
        slicer = TimeSlicer(LoopWatch(), processor_time=lambda: float(next(times)))
        self.encoder = ConfigurationEncoder(self.state, slicer)

    # Guards against a large change that is compressed anew for each data plane, all in one turn of the loop.
    async def test_an_update_is_encoded_once_for_all_data_planes(self):
        patch(self.state, 400)
        with mock.patch.object(configuration_encoder, "compressed", side_effect=compressed) as encode:
            updates = await asyncio.gather(*(self.encoder.encode(1) for _ in range(58)))
        self.assertEqual(encode.call_count, 1)
        self.assertEqual({(update.version, update.base_version) for update in updates}, {(2, 1)})
        self.assertEqual(len(json.loads(zlib.decompress(updates[0].data))[0]["upsert"]["routes"]), 400)

    async def test_a_data_plane_without_a_configuration_gets_all_of_it(self):
        update = await self.encoder.encode(0)
        self.assertEqual((update.version, update.base_version), (1, 0))
        self.assertEqual(json.loads(zlib.decompress(update.data)), self.state.document.value)

    async def test_an_update_that_was_overtaken_says_which_version_it_leads_to(self):
        encoding = asyncio.create_task(self.encoder.encode(0))
        await asyncio.sleep(0)
        patch(self.state, 1)
        self.assertEqual((await encoding).version, 1)
        self.assertEqual((await self.encoder.encode(0)).version, 2)


if __name__ == "__main__":
    unittest.main()
