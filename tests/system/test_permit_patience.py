"""Whether a request without quota tokens waits or is refused: the pure decision, and its use in the quota client."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from mulleinhatch.data_plane.owner_contact import OwnerContact
from mulleinhatch.data_plane.permit_patience import MIN_RETRY_AFTER_S, Patience
from mulleinhatch.data_plane.quota_client import ANSWER_TIMEOUT_S, QUERY_TIMEOUT_S
from mulleinhatch.membership.view_timing import HANDOVER_S
from tests.system.test_quota_client import ADDRESSES, RATE_PER_S, World, run_script

SECONDS = st.floats(0.0, 20.0)
PATIENCES = st.builds(
    lambda arrived_at, target_s, longer_s, is_retry: Patience(arrived_at, target_s, arrived_at + target_s + longer_s, is_retry),
    SECONDS,
    st.floats(0.1, 10.0),
    SECONDS,
    st.booleans(),
)


class Decisions(unittest.TestCase):
    @given(PATIENCES, SECONDS, SECONDS)
    def test_a_request_waits_only_for_tokens_within_its_target_or_deadline(
        self, patience: Patience, expected_s: float, passed_s: float
    ):
        now = patience.arrived_at + passed_s
        if patience.waits(expected_s, now):
            self.assertLess(now + expected_s, patience.deadline)
            self.assertTrue(patience.waits_to_deadline or now + expected_s < patience.arrived_at + patience.target_s)

    @given(PATIENCES, SECONDS, SECONDS, SECONDS)
    def test_a_request_that_waits_for_late_tokens_also_waits_for_earlier_ones(
        self, patience: Patience, one_s: float, other_s: float, passed_s: float
    ):
        now = patience.arrived_at + passed_s
        if patience.waits(max(one_s, other_s), now):
            self.assertTrue(patience.waits(min(one_s, other_s), now))

    @given(PATIENCES, SECONDS, SECONDS)
    def test_a_retry_waits_wherever_a_first_attempt_does(self, patience: Patience, expected_s: float, passed_s: float):
        now = patience.arrived_at + passed_s
        first = Patience(patience.arrived_at, patience.target_s, patience.deadline)
        again = Patience(patience.arrived_at, patience.target_s, patience.deadline, is_probable_retry=True)
        self.assertLessEqual(first.waits(expected_s, now), again.waits(expected_s, now))

    @given(PATIENCES, SECONDS, SECONDS)
    def test_retry_after_is_at_most_a_third_of_the_remaining_time(self, patience: Patience, expected_s: float, passed_s: float):
        now = patience.arrived_at + passed_s
        retry_after_s = patience.retry_after_s(expected_s, now)
        self.assertLessEqual(retry_after_s, max(MIN_RETRY_AFTER_S, (patience.deadline - now) / 3))
        self.assertLessEqual(retry_after_s, max(MIN_RETRY_AFTER_S, expected_s))

    @given(PATIENCES)
    def test_the_early_decision_is_made_within_a_quarter_of_the_target(self, patience: Patience):
        self.assertTrue(patience.is_early(patience.early_at))
        self.assertFalse(patience.is_early(patience.arrived_at + 0.2501 * patience.target_s))

    def test_an_overdue_owner_is_expected_after_the_time_it_is_overdue(self):
        contact = OwnerContact()
        contact.on_lost("a", 0.0, 0.25)
        self.assertAlmostEqual(contact.expected_s("a", 0.3), HANDOVER_S - 0.3)
        self.assertAlmostEqual(contact.expected_s("a", HANDOVER_S + 4.0), 4.0)
        contact.keep_only(("b",))
        self.assertIsNone(contact.expected_s("a", 9.0))


class Waits(unittest.TestCase):
    def test_the_first_request_to_a_silent_owner_is_refused_early(self):
        """Guards against late refusals: one after a quarter of the target has no value, even for the first request."""

        async def script(world: World) -> None:
            world.owners.silent |= set(ADDRESSES)
            wait = world.acquire(target_s=0.8)
            await asyncio.sleep(0.19)
            self.assertTrue(wait.is_over)
            [retry_after_s] = world.refusals()
            self.assertTrue(1.5 < retry_after_s < 5.0 / 3)

        run_script(script)

    def test_later_requests_to_a_lost_owner_are_refused_at_once_with_the_time_of_its_replacement(self):
        async def script(world: World) -> None:
            world.owners.silent |= set(ADDRESSES)
            world.acquire()
            await asyncio.sleep(0.6)
            world.outcomes.clear()
            queries = len(world.owners.queries)
            self.assertIsNone(world.acquire(deadline_s=20.0))
            [retry_after_s] = world.refusals()
            self.assertAlmostEqual(retry_after_s, HANDOVER_S - 0.6 + 100 / RATE_PER_S, delta=0.02)
            self.assertEqual(len(world.owners.queries), queries)

        run_script(script)

    def test_a_retry_waits_for_the_new_view_and_is_then_served_at_once(self):
        async def script(world: World) -> None:
            world.owners.tokens["t"] = 1000
            first = world.owner()
            world.owners.silent.add(first)
            world.acquire(is_probable_retry=True)
            await asyncio.sleep(2.0)
            self.assertEqual(world.outcomes, [])
            world.owners.epoch, world.owners.addresses = 2, tuple(one for one in ADDRESSES if one != first)
            world.client.update(2, world.owners.addresses, 1, ["t", "u"])
            await asyncio.sleep(0.02 + QUERY_TIMEOUT_S)  # one query may be in flight
            self.assertEqual(len(world.permits()), 1)

        run_script(script)

    def test_a_waiting_request_is_retried_at_the_owners_retry_time(self):
        async def script(world: World) -> None:
            world.owners.retry_after_ms = 200
            world.acquire()
            await asyncio.sleep(0.1)
            world.owners.tokens["t"] = 100
            self.assertEqual((world.outcomes, world.client.status()["waiting"]), ([], 1))
            await asyncio.sleep(0.12)
            self.assertEqual((len(world.permits()), len(world.owners.queries)), (1, 2))

        run_script(script)

    def test_waiting_requests_keep_their_order_and_share_one_query(self):
        async def script(world: World) -> None:
            world.owners.retry_after_ms = 200
            served: list[int] = []
            for number in range(4):
                patience = Patience(world.loop.time(), 5.0, world.loop.time() + 9.0, False, RATE_PER_S)
                world.client.acquire("t", 100 + number, patience, lambda outcome, number=number: served.append(number))
                await asyncio.sleep(0.01)
            world.owners.tokens["t"] = 1000
            await asyncio.sleep(0.25)
            self.assertEqual(served, [0, 1, 2, 3])
            self.assertEqual([len(need.request_tokens) for need in world.owners.queries[-1][1].needs], [4])

        run_script(script)

    def test_a_later_request_does_not_take_the_tokens_of_those_that_wait(self):
        async def script(world: World) -> None:
            world.owners.retry_after_ms = 200
            served: list[str] = []

            def acquire(name: str) -> None:
                patience = Patience(world.loop.time(), 5.0, world.loop.time() + 9.0, False, RATE_PER_S)
                world.client.acquire("t", 100, patience, lambda outcome: served.append(name))

            acquire("first")
            await asyncio.sleep(0.15)  # the local refusal has ended
            world.client._balance.add_grant("t", 100, world.loop.time() + 0.5, world.loop.time())
            world.owners.tokens["t"] = 100
            acquire("second")
            await asyncio.sleep(0.3)
            self.assertEqual(served, ["first", "second"])

        run_script(script)

    def test_a_refusal_of_a_large_request_does_not_apply_to_a_small_one(self):
        async def script(world: World) -> None:
            world.owners.tokens["t"] = 100
            world.acquire(tokens=500)
            await asyncio.sleep(0.01)
            world.acquire(tokens=100)
            await asyncio.sleep(0.01)
            self.assertEqual((len(world.refusals()), len(world.permits())), (1, 1))

        run_script(script)

    def test_a_refusal_does_not_outlive_a_change_of_owner(self):
        async def script(world: World) -> None:
            world.acquire()
            await asyncio.sleep(0.01)
            former = world.owner()
            world.owners.epoch, world.owners.addresses = 2, tuple(one for one in ADDRESSES if one != former)
            world.owners.tokens["t"] = 100
            world.client.update(2, world.owners.addresses, 1, ["t", "u"])
            world.acquire()
            await asyncio.sleep(0.01)
            self.assertEqual((len(world.refusals()), len(world.permits())), (1, 1))

        run_script(script)

    def test_a_flood_does_not_build_up_a_queue(self):
        """Guards against a growing queue: requests wait for at most the tokens that the rate yields within their wait."""

        async def script(world: World) -> None:
            world.owners.retry_after_ms = 100
            for _ in range(200):
                world.acquire(target_s=2.0)
                await asyncio.sleep(0.005)
            await asyncio.sleep(0.0)
            self.assertLessEqual(100 * world.client.status()["waiting"], RATE_PER_S * 2.0)
            refused = len(world.refusals())
            self.assertGreater(refused, 150)
            await asyncio.sleep(2.0)
            self.assertEqual(len(world.refusals()), 200)

        run_script(script)

    def test_no_wait_exceeds_its_limit(self):
        async def script(world: World) -> None:
            world.owners.silent |= set(ADDRESSES)
            for target_s in (0.13, 0.8, 2.0, 6.0):
                for is_retry in (False, True):
                    world.acquire(target_s=target_s, deadline_s=4.0, is_probable_retry=is_retry)
            for _ in range(20):
                await asyncio.sleep(0.2)
            await asyncio.sleep(ANSWER_TIMEOUT_S)
            self.assertEqual((len(world.refusals()), world.client.status()["waiting"]), (8, 0))

        run_script(script)

    def test_a_defect_that_ignores_the_queue_is_detected(self):
        """Injected defect: the expected wait ignores the requests that are queued before."""
        with mock.patch.object(Patience, "refill_s", lambda self, tokens: 0.0), self.assertRaises(AssertionError):
            self.test_a_flood_does_not_build_up_a_queue()


if __name__ == "__main__":
    unittest.main()
