"""Placement leadership: the cluster state that decides whether a node may claim it and issue orders."""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from unittest import mock

from mulleinhatch.control_plane.placement.leadership import NEVER_ISSUED_S, PlacementLeadership
from mulleinhatch.leadership.lease import FENCED_WAIT_S, LeaseState
from mulleinhatch.simulation.virtual_time import VirtualLoop
from tests.system.placement_fakes import fake_node

LEASE_S = 3.0


class Leadership(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        loop = VirtualLoop()
        self.addCleanup(loop.close)
        self.now = 0.0
        self.node = fake_node(loop)
        self.leadership = self.make_leadership()

    def make_leadership(self, is_fenced: bool = False) -> PlacementLeadership:
        return PlacementLeadership(self.node, lambda: self.now, LEASE_S, is_fenced)

    def set_other_leader(self, **peer) -> None:
        """Make another node the leader, with the fields `peer` of its latest heartbeat."""
        self.node.state.leader, self.node.state.fencing_token = "other", 4
        self.node.peers.by_identity["other"] = SimpleNamespace(**{"leaving": False, "epoch": 1, "orders_idle_s": 0.0} | peer)

    async def test_claims_at_once_if_there_was_no_leader(self):
        self.assertIs(self.leadership.observe(), LeaseState.CLAIMING)
        self.assertTrue(await self.leadership.acquire())
        self.assertTrue(self.leadership.confirm())
        self.assertEqual(self.leadership.token, 1)

    async def test_failed_claim_does_not_lead(self):
        for failure in (0, OSError(28, "No space left on device")):
            with self.subTest(failure=failure):

                async def claim_leadership(failure=failure) -> int:
                    if isinstance(failure, OSError):
                        raise failure
                    return failure

                self.node.claim_leadership = claim_leadership
                self.leadership.observe()
                self.assertFalse(await self.leadership.acquire())
                self.assertEqual(self.leadership.token, 0)

    def test_claims_only_as_head_with_majority_contact_that_is_not_leaving(self):
        for change in ({"replica": SimpleNamespace(is_head=False)}, {"has_majority_contact": lambda: False}, {"leaving": True}):
            with self.subTest(change=list(change)):
                former = {name: getattr(self.node, name) for name in change}
                vars(self.node).update(change)
                self.assertIs(self.make_leadership().observe(), LeaseState.FOLLOWER)
                vars(self.node).update(former)

    async def test_pauses_while_it_has_no_majority_contact(self):
        self.leadership.observe()
        await self.leadership.acquire()
        self.node.has_majority_contact = lambda: False
        self.assertFalse(self.leadership.confirm())
        self.node.has_majority_contact = lambda: True
        self.assertTrue(self.leadership.confirm())

    async def test_revoked_leadership_must_be_claimed_again(self):
        self.leadership.observe()
        await self.leadership.acquire()
        self.leadership.revoke(1)
        self.assertFalse(self.leadership.is_acting)
        self.assertTrue(self.leadership.is_token_rejected())
        self.assertFalse(self.leadership.confirm())

    async def test_rejected_token_is_not_used_until_a_new_claim(self):
        tokens = iter((5, 5, 6))

        async def claim_leadership() -> int:
            self.node.state.leader, self.node.state.fencing_token = "me", next(tokens)
            return self.node.state.fencing_token

        self.node.claim_leadership = claim_leadership
        self.leadership.observe()
        await self.leadership.acquire()
        self.leadership.revoke(5)
        acted = []
        while self.leadership.token != 6:
            self.leadership.observe()
            acted.append(await self.leadership.acquire())
        self.assertEqual(acted, [False, True])
        self.assertFalse(self.leadership.is_token_rejected())

    async def test_late_rejection_of_an_earlier_token_does_not_end_the_current_term(self):
        self.node.claim_leadership = mock.AsyncMock(return_value=8)
        self.leadership.observe()
        await self.leadership.acquire()
        self.leadership.revoke(5)
        self.assertTrue(self.leadership.is_acting)
        self.assertFalse(self.leadership.is_token_rejected())

    def seconds_until_claim(self, is_fenced: bool) -> float:
        leadership, self.now = self.make_leadership(is_fenced), 0.0
        while leadership.observe() is not LeaseState.CLAIMING:
            self.now = round(self.now + 0.1, 1)
            self.assertLess(self.now, 60.0)
        return self.now

    def test_waits_for_the_lease_of_a_reachable_leader_even_with_fencing(self):
        self.set_other_leader()
        self.assertGreaterEqual(self.seconds_until_claim(is_fenced=True), LEASE_S)

    def test_waits_less_for_an_unreachable_leader_only_with_fencing(self):
        self.set_other_leader()
        self.node.peers.is_alive = lambda *more: False
        self.assertGreaterEqual(self.seconds_until_claim(is_fenced=False), LEASE_S)
        self.assertEqual(self.seconds_until_claim(is_fenced=True), FENCED_WAIT_S)

    def test_restarted_leader_that_issued_nothing_counts_as_unreachable(self):
        self.set_other_leader(orders_idle_s=NEVER_ISSUED_S)
        self.assertEqual(self.seconds_until_claim(is_fenced=True), FENCED_WAIT_S)
        self.set_other_leader(orders_idle_s=NEVER_ISSUED_S, epoch=0)
        self.assertGreaterEqual(self.seconds_until_claim(is_fenced=True), LEASE_S)

    def test_idle_time_of_a_leaving_leader_shortens_the_wait(self):
        self.set_other_leader(leaving=True, orders_idle_s=2.0)
        self.assertLess(self.seconds_until_claim(is_fenced=False), LEASE_S - 1.5)


if __name__ == "__main__":
    unittest.main()
