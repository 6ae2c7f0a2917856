"""What control-plane nodes know of data planes, tell one another, and do about those that are silent."""

from __future__ import annotations

import asyncio
import unittest

from mulleinhatch.control_plane import data_plane_calls
from mulleinhatch.control_plane.background_tasks import BackgroundTasks
from mulleinhatch.control_plane.data_plane_calls import CALL_INTERVAL_S, MAX_CALLS_PER_ROUND, DataPlaneCalls
from mulleinhatch.control_plane.data_plane_directory import (
    CONTACT_S,
    FORGET_AFTER_S,
    MAX_DATA_PLANES,
    MINUTE_S,
    DataPlaneDirectory,
)
from mulleinhatch.control_plane.peers import Peers
from mulleinhatch.messages.cluster import ContactRequest, ContactResponse, DataPlane, Heartbeat, Member, View
from mulleinhatch.networking.http_client import HttpCallError

ADDRESS = "127.0.3.1:7669"


class DirectoryTest(unittest.TestCase):
    def setUp(self):
        self.one, self.other = DataPlaneDirectory(10), DataPlaneDirectory(20)

    def tell(self, now: float) -> None:
        self.other.merge(self.one.list_for_peers(now).data_planes, now)

    # Guards against replaced nodes that never heard of a data plane, and so cannot call it (CONFIG).
    def test_a_node_learns_of_the_data_planes_that_poll_another(self):
        self.one.record_poll("data-1", ADDRESS, 7, 100.0)
        self.tell(100.2)
        self.assertEqual(self.other.silent(100.3), {})
        silent = self.other.silent(100.2 + CONTACT_S)
        self.assertEqual({name: (one.call_address, one.incarnation) for name, one in silent.items()}, {"data-1": (ADDRESS, 7)})

    def test_a_data_plane_that_polls_another_node_is_not_silent(self):
        self.other.record_poll("data-1", ADDRESS, 7, 100.0)
        for now in (101.0, 102.0, 103.0):
            self.one.record_poll("data-1", ADDRESS, 7, now)
            self.tell(now)
            self.assertEqual(self.other.silent(now + 1.0), {})

    def test_the_revision_changes_with_the_list_only(self):
        self.assertEqual(self.one.list_for_peers(100.0).revision, 10)
        self.one.record_poll("data-1", ADDRESS, 7, 100.0)
        revisions = [self.one.list_for_peers(now).revision for now in (100.1, 100.9, 102.0, 103.0, 100.0 + MINUTE_S)]
        self.assertEqual(revisions, [11, 11, 12, 12, 13])

    def test_a_data_plane_that_is_gone_is_forgotten_by_all_although_they_tell_one_another(self):
        self.one.record_poll("data-1", ADDRESS, 7, 0.0)
        for second in range(0, int(FORGET_AFTER_S + 3 * MINUTE_S), 20):
            self.tell(float(second))
            self.one.merge(self.other.list_for_peers(second).data_planes, second)
            self.one.silent(second), self.other.silent(second)
        self.assertEqual((len(self.one), len(self.other)), (0, 0))

    def test_a_new_incarnation_replaces_the_former_one(self):
        self.one.record_poll("data-1", ADDRESS, 7, 100.0)
        self.tell(100.0)
        self.one.record_poll("data-1", "127.0.3.2:7669", 8, 102.0)
        self.tell(102.0)
        record = self.other.silent(110.0)["data-1"]
        self.assertEqual((record.call_address, record.incarnation), ("127.0.3.2:7669", 8))
        self.other.forget("data-1", 7)
        self.assertEqual(len(self.other), 1)
        self.other.forget("data-1", 8)
        self.assertEqual(len(self.other), 0)

    def test_the_number_of_data_planes_is_bounded(self):
        self.other.record_poll("data-1", ADDRESS, 7, 100.0)
        strangers = [DataPlane(f"old-{number}", ADDRESS, 1, False, 5) for number in range(MAX_DATA_PLANES + 5)]
        self.other.merge(strangers, 100.0)
        self.assertEqual(len(self.other), MAX_DATA_PLANES)
        self.assertIn("data-1", self.other.silent(110.0))

    def test_a_process_of_an_earlier_version_which_names_no_address_is_not_called(self):
        self.one.record_poll("data-1", "", 0, 100.0)
        self.assertEqual(self.one.silent(110.0), {})


class PeersTest(unittest.TestCase):
    def test_the_list_of_a_peer_holds_until_it_sends_another_revision(self):
        directory, peers = DataPlaneDirectory(10), Peers(Member(identity="a"))
        directory.record_poll("data-1", ADDRESS, 7, 100.0)
        sender = Member(identity="b", internal_address="b:1")
        peer = peers.record_heartbeat(Heartbeat(sender=sender, data_plane_list=directory.list_for_peers(100.1)), 100.1)
        peer = peers.record_heartbeat(Heartbeat(sender=sender), 100.4)
        self.assertEqual([one.name for one in peer.data_planes_in_contact], ["data-1"])
        self.assertEqual(peer.data_plane_revision, 11)
        peer = peers.record_heartbeat(Heartbeat(sender=sender, data_plane_list=directory.list_for_peers(110.0)), 110.0)
        self.assertEqual((peer.data_planes_in_contact, peer.data_plane_revision), ((), 12))


class RecordedCalls:
    """In place of `InternalClient`: records the calls; `is_known` answers them, None for no answer."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, ContactRequest]] = []
        self.is_known: bool | None = True

    async def call(self, address, path, message, response_type, timeout_s):
        self.calls.append((address, message))
        if self.is_known is None:
            raise HttpCallError(address, "no answer")
        return ContactResponse(self.is_known)

    def forget(self, address: str) -> None:
        pass


class CallsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.now, self.may_call = 100.0, True
        self.directory, self.client = DataPlaneDirectory(1), RecordedCalls()
        view = View(epoch=5, chain=[Member(identity="a", internal_address="a:1"), Member(identity="b", internal_address="b:1")])
        self.calls = DataPlaneCalls(
            lambda: self.now, self.directory, self.client, lambda: view, lambda: self.may_call, BackgroundTasks()
        )

    async def called_at(self, now: float) -> list[str]:
        """Play one round; return the names that were called."""
        self.now = now
        self.client.calls.clear()
        self.calls.call_silent()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return [message.name for _, message in self.client.calls]

    # Guards against data planes that nobody calls (CONFIG).
    async def test_a_silent_data_plane_is_called_each_second_with_the_addresses_of_the_chain(self):
        self.directory.record_poll("data-1", ADDRESS, 7, 100.0)
        self.assertEqual(await self.called_at(101.0), [])
        with self.assertLogs(data_plane_calls.LOG, "INFO"):
            self.assertEqual(await self.called_at(101.6), ["data-1"])
        address, message = self.client.calls[0]
        self.assertEqual((address, message), (ADDRESS, ContactRequest("data-1", 7, 5, ["a:1", "b:1"])))
        self.assertEqual(await self.called_at(101.6 + 0.5 * CALL_INTERVAL_S), [])
        self.assertEqual(await self.called_at(101.6 + CALL_INTERVAL_S), ["data-1"])

    async def test_a_node_without_a_majority_calls_nobody(self):
        self.directory.record_poll("data-1", ADDRESS, 7, 100.0)
        self.may_call = False
        self.assertEqual(await self.called_at(110.0), [])

    async def test_a_data_plane_that_does_not_answer_is_called_again_and_another_one_is_forgotten(self):
        self.directory.record_poll("data-1", ADDRESS, 7, 100.0)
        self.client.is_known = None
        self.assertEqual(await self.called_at(110.0), ["data-1"])
        self.client.is_known = False
        self.assertEqual(await self.called_at(120.0), ["data-1"])
        self.assertEqual(await self.called_at(130.0), [])

    async def test_many_silent_data_planes_are_called_in_turn_a_few_in_each_round(self):
        names = {f"data-{number}" for number in range(3 * MAX_CALLS_PER_ROUND)}
        for name in names:
            self.directory.record_poll(name, ADDRESS, 7, 100.0)
        rounds = [await self.called_at(110.0 + 0.5 * number) for number in range(3)]
        self.assertEqual([len(called) for called in rounds], [MAX_CALLS_PER_ROUND] * 3)
        self.assertEqual({name for called in rounds for name in called}, names)


if __name__ == "__main__":
    unittest.main()
