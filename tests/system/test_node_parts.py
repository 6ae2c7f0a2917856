"""The parts of a control-plane node that need no network or disk: waiting, pauses, quorum calls, handoff and write gate."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace
from typing import Any

from mulleinhatch.consensus.fault_tolerance import FaultTolerance
from mulleinhatch.control_plane.backend_handoff import BackendHandoff
from mulleinhatch.control_plane.configuration_changes import REJECTION_KINDS, ResultKind
from mulleinhatch.control_plane.pause_detector import PauseDetector
from mulleinhatch.control_plane.peers import ALIVE_S, Peers
from mulleinhatch.control_plane.progress import ProgressCondition
from mulleinhatch.control_plane.quorum_calls import QuorumCall
from mulleinhatch.control_plane.registry import BackendRegistry
from mulleinhatch.control_plane.write_gate import WriteGate
from mulleinhatch.messages.cluster import Backend, HeartbeatResponse, Member, View
from mulleinhatch.process.loop_watch import LoopWatch
from mulleinhatch.replication.chain import Replica
from mulleinhatch.replication.state import ChangeOutcome
from mulleinhatch.simulation.virtual_time import VirtualLoop


def member(name: str) -> Member:
    return Member(identity=name, name=name, internal_address=f"{name}:2")


class VirtualTime(unittest.TestCase):
    def setUp(self):
        self.loop = VirtualLoop()
        asyncio.set_event_loop(self.loop)
        self.addCleanup(asyncio.set_event_loop, None)
        self.addCleanup(self.loop.close)

    def run_for(self, seconds: float) -> None:
        self.loop.run_until_complete(asyncio.sleep(seconds))


class Progress(VirtualTime):
    def setUp(self):
        super().setUp()
        self.progress = ProgressCondition(self.loop.time)

    def test_wait_ends_when_the_predicate_holds_at_a_notification(self):
        values: list[int] = []

        async def change_twice() -> bool:
            waiting = asyncio.ensure_future(self.progress.wait_for(lambda: len(values) == 2, 9.0))
            for _ in range(2):
                await asyncio.sleep(1.0)
                values.append(1)
                self.progress.notify_progress()
            return await waiting

        self.assertTrue(self.loop.run_until_complete(change_twice()))
        self.assertEqual(self.loop.time(), 2.0)

    def test_wait_ends_at_the_timeout(self):
        self.assertFalse(self.loop.run_until_complete(self.progress.wait_for(lambda: False, 0.5)))
        self.assertEqual(self.loop.time(), 0.5)


class Pauses(VirtualTime):
    def setUp(self):
        super().setUp()
        self.pauses_seen: list[float] = []
        self.skipped_s = 0.0
        self.detector = PauseDetector(lambda: self.loop.time() + self.skipped_s, self.pauses_seen.append, LoopWatch())
        self.task = self.loop.create_task(self.detector.run())
        self.run_for(1.05)

    def tearDown(self):
        self.task.cancel()
        self.loop.run_until_complete(asyncio.gather(self.task, return_exceptions=True))

    def test_a_running_process_is_not_paused(self):
        self.assertFalse(self.detector.has_paused())
        self.assertEqual(self.pauses_seen, [])

    def test_a_gap_is_a_pause_until_the_next_check_and_peers_get_time_to_answer(self):
        self.skipped_s = 3.0
        self.assertTrue(self.detector.has_paused())
        self.run_for(0.1)
        self.assertFalse(self.detector.has_paused())
        self.assertEqual(len(self.pauses_seen), 1)
        ended_at = self.pauses_seen[0]
        self.assertTrue(self.detector.is_recovering(ended_at + 0.9 * ALIVE_S))
        self.assertFalse(self.detector.is_recovering(ended_at + ALIVE_S))


class QuorumCalls(VirtualTime):
    def test_responses_come_in_the_order_of_arrival_and_failed_calls_have_none(self):
        async def respond(after_s: float, response: Any) -> Any:
            await asyncio.sleep(after_s)
            if isinstance(response, OSError):
                raise response
            return response

        async def collect() -> list[Any]:
            call = QuorumCall([respond(0.3, "late"), respond(0.1, "early"), respond(0.2, OSError("lost"))])
            return [await call.next(), await call.next(), await call.next()]

        self.assertEqual(self.loop.run_until_complete(collect()), ["early", "late", None])


class Handoff(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.peers = Peers(member("a"))
        self.peer = self.peers.add(member("b"), 0.0)
        self.registry = BackendRegistry(1.0, lambda backend_id: None)
        self.registry.merge(Backend(id="i-1", service="llm", address="s:1", sequence=1), 0.0)
        self.handoff = BackendHandoff(lambda: self.now, self.registry, self.peers)

    def test_a_record_is_sent_until_it_is_acknowledged(self):
        self.handoff.record_change("i-1")
        self.assertEqual(self.peer.unacknowledged_backends, {"i-1"})
        self.assertEqual([backend.id for backend in self.handoff.records({"i-1", "unknown"}, 0.0)], ["i-1"])
        self.handoff.acknowledge(self.peer, {"i-1"}, sent_at=0.1)
        self.assertEqual(self.peer.unacknowledged_backends, set())

    def test_a_record_that_changes_before_the_response_is_sent_again(self):
        self.handoff.record_change("i-1")
        self.now = 0.2
        self.handoff.record_change("i-1")
        self.handoff.acknowledge(self.peer, {"i-1"}, sent_at=0.1)
        self.assertEqual(self.peer.unacknowledged_backends, {"i-1"})

    def test_a_new_peer_is_sent_all_records(self):
        self.handoff.resend_all(self.peer)
        self.assertEqual(self.peer.unacknowledged_backends, {"i-1"})


class Writes(unittest.TestCase):
    def gate(self, chain: list[str], identity: str = "a", zones_tolerated: int = 0) -> WriteGate:
        members = [member(name) for name in chain]
        self.peers = Peers(member(identity))
        self.replica = Replica(identity)
        self.replica.restore(View(epoch=1, voters=members, chain=members), self.replica.base, [], 0, True)
        return WriteGate(self.replica, self.peers, FaultTolerance(1, zones_tolerated))

    def test_only_the_head_accepts_writes(self):
        self.assertTrue(self.gate(["a", "b"]).can_accept_writes())
        self.assertFalse(self.gate(["b", "a"]).can_accept_writes())

    def test_a_chain_that_a_tolerated_failure_can_destroy_accepts_none(self):
        self.assertFalse(self.gate(["a"]).can_accept_writes())

    def test_a_chain_within_one_zone_accepts_none_where_a_zone_may_be_lost(self):
        gate = self.gate(["a", "b", "c"], zones_tolerated=1)
        self.assertTrue(gate.can_accept_writes())  # no member has reported its zone yet
        self.peers.own.zone = "z1"
        for name, zone in (("b", "z1"), ("c", "z2")):
            self.peers.record_response(HeartbeatResponse(sender=replace(member(name), zone=zone)), 0.0)
        self.assertTrue(gate.can_accept_writes())
        self.replica.view.chain = self.replica.view.chain[:2]
        self.replica.view.voters = [*self.replica.view.voters, member("d")]
        self.assertFalse(gate.can_accept_writes())

    def test_a_head_with_an_incomplete_log_accepts_none(self):
        gate = self.gate(["a", "b"])
        self.replica.log_complete = False
        self.assertFalse(gate.can_accept_writes())

    def test_each_rejection_maps_to_a_result_kind(self):
        self.assertEqual(REJECTION_KINDS[ChangeOutcome.INVALID], ResultKind.INVALID)
        self.assertEqual(REJECTION_KINDS[ChangeOutcome.CONFLICT], ResultKind.CONFLICT)


if __name__ == "__main__":
    unittest.main()
