"""Patches of tenants while some control-plane nodes run a version without tenant support, which ignores a patch's tenants."""

from __future__ import annotations

import asyncio
import json
import unittest
from typing import Any

from mulleinhatch.control_plane.background_tasks import BackgroundTasks
from mulleinhatch.control_plane.configuration_changes import ConfigurationChanges, ResultKind
from mulleinhatch.control_plane.peers import Peers
from mulleinhatch.messages.cluster import Entry, Heartbeat, HeartbeatResponse, Member, View
from mulleinhatch.process.loop_watch import LoopWatch
from mulleinhatch.process.time_slices import TimeSlicer
from mulleinhatch.replication.state import ChangeOutcome, ControlState, EntryKind

FIRST = {"version": 1, "routes": [], "services": [], "tenants": [{"name": "t1", "api_keys": ["k1"]}]}
SECOND_TENANT = {"name": "t2", "api_keys": ["k2"]}
PATCH = json.dumps({"version": 2, "upsert": {"tenants": [SECOND_TENANT]}}).encode()
PATCH_WITHOUT_TENANTS = json.dumps({"version": 2, "upsert": {"services": [{"name": "s"}]}}).encode()


class OldState(ControlState):
    """The control state of a version without tenant support: it applies only the routes and services of a patch."""

    def apply(self, entry: Entry) -> None:
        if entry.kind == EntryKind.PATCH:
            value = json.loads(entry.body)
            for lists in (value.get("upsert", {}), value.get("remove", {})):
                lists.pop("tenants", None)
            entry = Entry(entry.index, entry.epoch, entry.kind, json.dumps(value).encode(), entry.digest)
        super().apply(entry)


class Log:
    """The replicated log of a head; its replicas apply each entry as soon as it is proposed."""

    def __init__(self, view: View) -> None:
        self.state, self.old_replica = ControlState(), OldState()
        self.replica, self.progress, self.lock = self, self, self
        self.view = view
        self.kinds: list[EntryKind] = []

    async def __aenter__(self) -> None:
        pass

    async def __aexit__(self, *cause: Any) -> None:
        pass

    async def wait_for(self, predicate: Any, timeout_s: float) -> bool:
        return predicate()

    def has_pending_change(self) -> bool:
        return False

    async def propose(self, kind: int, body: bytes, digest: str, epoch: int) -> bool:
        self.kinds.append(EntryKind(kind))
        for state in (self.state, self.old_replica):
            state.apply(Entry(state.index + 1, epoch, kind, body, digest))
        return True


class MixedFleet(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.members = [Member(identity=name, name=name, internal_address=f"{name}:2") for name in "abc"]
        self.peers = Peers(self.members[0])
        self.log = Log(View(epoch=1, voters=self.members, chain=self.members))
        self.change_lock = asyncio.Lock()  # this test is the write gate
        slicer, tasks = TimeSlicer(LoopWatch()), BackgroundTasks()
        self.changes = ConfigurationChanges(lambda: 1.0, self.peers, self.log, None, None, self, slicer, tasks)

    def can_accept_writes(self) -> bool:
        return True

    def record_heartbeats(self, *keeps_tenants: bool) -> None:
        """Record a heartbeat of, and a response from, each other member of the chain."""
        for member, keeps in zip(self.members[1:], keeps_tenants, strict=False):
            self.peers.record_heartbeat(Heartbeat(sender=member, epoch=1, keeps_tenants=keeps), 1.0)
            self.peers.record_response(HeartbeatResponse(sender=member, epoch=1, current=True), 1.0)

    async def change(self, method: str, base: int, body: bytes) -> None:
        result = await self.changes._change(method, base, body)
        self.assertIs(result.kind, ResultKind.OK, result)

    async def patched_kind(self, body: bytes = PATCH) -> EntryKind:
        """Send the first configuration and a patch, and return the kind of the patch's entry."""
        await self.change("PUT", 0, json.dumps(FIRST).encode())
        await self.change("PATCH", 1, body)
        self.assertEqual(self.log.kinds[0], EntryKind.CONFIGURATION)
        return self.log.kinds[1]

    async def test_a_replica_of_an_older_version_keeps_the_tenants_of_a_patch(self):
        """Guards against diverging replicas: an older version ignored the tenants of a patch, and its snapshots lacked them."""
        self.record_heartbeats(True, False)
        self.assertIs(await self.patched_kind(), EntryKind.CONFIGURATION)
        self.assertEqual(self.log.state.document.value["tenants"], [FIRST["tenants"][0], SECOND_TENANT])
        self.assertEqual(self.log.old_replica.document, self.log.state.document)
        again = self.log.state.check("PATCH", 1, PATCH)  # a repeated change is recognised
        self.assertIs(again.err_value.outcome, ChangeOutcome.ALREADY_APPLIED)

    async def test_a_replica_without_a_heartbeat_counts_as_an_older_version(self):
        self.record_heartbeats(True)
        self.assertIs(await self.patched_kind(), EntryKind.CONFIGURATION)

    async def test_a_patch_stays_a_patch_if_all_replicas_apply_its_tenants(self):
        """Guards against sending the whole configuration for each change of one of 250,000 tenants."""
        self.record_heartbeats(True, True)
        self.assertIs(await self.patched_kind(), EntryKind.PATCH)
        self.assertNotEqual(
            self.log.old_replica.document, self.log.state.document
        )  # the divergence that the other tests guard against

    async def test_a_patch_without_tenants_stays_a_patch(self):
        self.record_heartbeats(False, False)
        self.assertIs(await self.patched_kind(PATCH_WITHOUT_TENANTS), EntryKind.PATCH)
        self.assertEqual(self.log.old_replica.document, self.log.state.document)

    async def test_a_reachable_older_node_that_may_join_the_chain_counts(self):
        self.record_heartbeats(True, True)
        joining = Member(identity="d", name="d", internal_address="d:2")
        self.peers.record_heartbeat(Heartbeat(sender=joining, epoch=1), 1.0)
        self.peers.record_response(HeartbeatResponse(sender=joining, epoch=1), 1.0)
        self.assertIs(await self.patched_kind(), EntryKind.CONFIGURATION)

    async def test_a_node_that_is_downgraded_counts(self):
        self.record_heartbeats(True, True)
        self.record_heartbeats(False, True)
        self.assertIs(await self.patched_kind(), EntryKind.CONFIGURATION)


if __name__ == "__main__":
    unittest.main()
