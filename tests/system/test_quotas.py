"""Quota owner: the token bucket, its size under the quota rule, grants, changes of owner, and the quota service."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import dataclass, field
from types import SimpleNamespace
from unittest.mock import AsyncMock

from hypothesis import given
from hypothesis import strategies as st

from mulleinhatch.configuration.document import Document
from mulleinhatch.control_plane.confirmation_ages import ConfirmationAges
from mulleinhatch.control_plane.data_plane_directory import DataPlaneDirectory
from mulleinhatch.control_plane.heartbeats import HeartbeatResponder
from mulleinhatch.control_plane.peers import Peers
from mulleinhatch.control_plane.quota_handover import HANDOVER_PATH
from mulleinhatch.control_plane.quota_takeover import CONFIRMATION_AGE_PATH
from mulleinhatch.control_plane.quotas import QuotaService
from mulleinhatch.messages.cluster import (
    ConfirmationAgeRequest,
    ConfirmationAgeResponse,
    Heartbeat,
    Member,
    QuotaHandoverRequest,
    QuotaLevel,
    QuotaNeed,
    QuotaRequest,
    QuotaResponse,
    View,
)
from mulleinhatch.messages.parsing import parse_message
from mulleinhatch.networking.http_client import HttpCallError
from mulleinhatch.quotas.former_authority import CLOCK_MARGIN_S, FormerAuthority
from mulleinhatch.quotas.limits import (
    GRANT_LIFETIME_S,
    QuotaBounds,
    bucket_capacity,
    longest_use_s,
    refill_rate,
    returned_capacity,
)
from mulleinhatch.quotas.owner import MAX_RETRY_S, OwnerView, QuotaOwner, owner_address
from mulleinhatch.quotas.token_bucket import TokenBucket
from mulleinhatch.replication.state import ControlState
from mulleinhatch.tenants.tenant import QuotaLimit, Tenant

BOUNDS = QuotaBounds(window_s=8.0, overage=0.1, slack=17_000)
SMALL = QuotaLimit(4_200, 4_200)
LARGE = QuotaLimit(150_000, 150_000)
CHAIN = tuple(f"10.0.0.{number}:7000" for number in range(1, 6))
TAKEOVER_S = 1.0
TOLERANCE = 1e-6

limits = st.builds(QuotaLimit, st.floats(0.1, 1e6), st.floats(0, 1e6))
rules = st.builds(QuotaBounds, st.floats(1, 30), st.floats(0, 0.5), st.floats(0, 1e5))
steps = st.lists(
    st.tuples(
        st.sampled_from(["take", "take", "take", "put back", "limit"]), st.floats(0, 4), st.floats(0, 60), st.floats(0.1, 30)
    ),
    max_size=40,
)


class Bucket(unittest.TestCase):
    @given(steps, st.floats(0, 50), st.floats(0.1, 20))
    def test_no_span_takes_more_than_its_refill_and_the_capacity(self, steps, level, capacity):
        """Guards against grants beyond the bucket's bound over any span, with returned tokens and changed limits."""
        bucket = TokenBucket(3.0, capacity, level, 0.0)
        now, taken, back, rates, capacities = 0.0, [], [], [3.0], [capacity]
        for action, wait_s, tokens, rate in steps:
            now += wait_s
            if action == "take":
                if tokens <= bucket.capacity and bucket.try_take(tokens, now):
                    taken.append((now, tokens))
            elif action == "put back":
                bucket.put_back(tokens, now)
                back.append((now, tokens))
            else:
                rates.append(rate)
                capacities.append(tokens)
                bucket.set_limit(rate, tokens, now)
            self.assertLessEqual(bucket.level, bucket.capacity)
        for first, _ in taken:
            for last, _ in taken:
                used = sum(tokens for at, tokens in taken if first <= at <= last)
                returned = sum(tokens for at, tokens in back if first <= at <= last)
                bound = max(rates) * max(0.0, last - first) + max(capacities) + returned
                self.assertLessEqual(used, bound + TOLERANCE * (1 + used))

    @given(st.floats(0.1, 100), st.floats(1, 100), st.floats(0, 100), st.floats(0, 300))
    def test_the_reported_wait_is_sufficient_and_necessary(self, rate, capacity, level, tokens):
        """Guards against a Retry-After that is too short, so that the request is refused again, or longer than needed."""
        wait_s = TokenBucket(rate, capacity, level, 5.0).seconds_until(tokens, 5.0)
        self.assertTrue(TokenBucket(rate, capacity, level, 5.0).try_take(tokens, 5.0 + wait_s * (1 + TOLERANCE) + TOLERANCE))
        if wait_s > TOLERANCE:
            early = 5.0 + wait_s * (1 - TOLERANCE) - TOLERANCE
            self.assertFalse(TokenBucket(rate, capacity, level, 5.0).try_take(tokens, early))

    def test_a_bucket_that_starts_later_grants_nothing_before(self):
        bucket = TokenBucket(10, 10, 0, 5.0)
        self.assertFalse(bucket.try_take(1, 4.9))
        self.assertAlmostEqual(bucket.seconds_until(1, 4.0), 1.1)
        self.assertTrue(bucket.try_take(1, 5.1 + TOLERANCE))

    def test_more_than_the_capacity_is_taken_after_the_bucket_was_full_for_long_enough(self):
        bucket = TokenBucket(10, 10, 10, 0.0)
        self.assertFalse(bucket.try_take(30, 1.9))
        self.assertTrue(bucket.try_take(30, 2.0))
        self.assertEqual(bucket.level, -20)
        self.assertFalse(bucket.try_take(1, 4.0))
        self.assertTrue(bucket.try_take(1, 4.2))


class Size(unittest.TestCase):
    @given(limits, rules, st.floats(0.05, 5))
    def test_rate_capacity_and_returns_together_keep_the_rule(self, limit, bounds, lifetime_s):
        """Guards against a bucket that allows more than the quota rule, for every limit, rule and lifetime."""
        span_s = bounds.window_s + longest_use_s(lifetime_s)
        capacity, rate = bucket_capacity(limit, bounds, lifetime_s), refill_rate(limit, bounds, lifetime_s)
        returned = returned_capacity(limit, bounds, lifetime_s)
        self.assertGreater(capacity, 0)
        self.assertGreater(rate, 0)
        self.assertLessEqual(rate, limit.rate_per_s)
        self.assertLessEqual(rate * span_s + capacity + returned, bounds.allowed(limit) * (1 + TOLERANCE))

    def test_typical_tenants_keep_their_full_rate_and_nearly_their_burst(self):
        for limit, least in ((SMALL, 3.5), (LARGE, 0.9)):
            self.assertEqual(refill_rate(limit, BOUNDS, GRANT_LIFETIME_S), limit.rate_per_s)
            self.assertGreater(bucket_capacity(limit, BOUNDS, GRANT_LIFETIME_S), least * limit.burst)


def tenants(**limits: QuotaLimit | None) -> dict[str, Tenant]:
    return {name: Tenant(name, limit) for name, limit in limits.items()}


def need(tenant: str, *request_tokens: int, ahead: int = 0, returned: int = 0) -> QuotaNeed:
    return QuotaNeed(tenant=tenant, request_tokens=list(request_tokens), ahead_tokens=ahead, returned_tokens=returned)


def quota_request(*needs: QuotaNeed, version: int = 1) -> QuotaRequest:
    return QuotaRequest(node="f-1", zone="z", configuration_version=version, needs=list(needs))


def owner_of(name: str, chain: tuple[str, ...] = CHAIN) -> str:
    return owner_address(name, chain)


class Owner(unittest.TestCase):
    def setUp(self):
        self.owner = QuotaOwner(BOUNDS, TAKEOVER_S)
        self.own = owner_of("fern")
        self.change = self.owner.update(OwnerView(1, self.own, CHAIN), tenants(fern=SMALL), 1, 0.0)

    def grant(self, now: float, quota_need: QuotaNeed, version: int = 1):
        return self.owner.answer(quota_request(quota_need, version=version), now)[0]

    def test_requests_are_granted_in_order_until_the_level_does_not_cover_the_next(self):
        grant = self.grant(60.0, need("fern", 6_000, 9_000, 5_000, 10))
        self.assertEqual((grant.granted_requests, grant.lifetime_ms, grant.not_owner), (2, 500, False))
        self.assertGreaterEqual(grant.retry_after_ms, 50)
        capacity = bucket_capacity(SMALL, BOUNDS, GRANT_LIFETIME_S)
        wait_s = (5_000 - (capacity - 15_000)) / 4_200
        self.assertAlmostEqual(grant.retry_after_ms / 1000, wait_s, delta=0.002)
        self.assertEqual(self.grant(60.0 + grant.retry_after_ms / 1000, need("fern", 5_000)).granted_requests, 1)

    def test_a_grant_of_all_requests_has_no_retry_time(self):
        self.assertEqual(self.grant(60.0, need("fern", 2_400)).retry_after_ms, 0)

    def test_advance_grants_leave_half_of_the_capacity(self):
        capacity = bucket_capacity(SMALL, BOUNDS, GRANT_LIFETIME_S)
        grant = self.grant(60.0, need("fern", ahead=1_000_000))
        self.assertEqual(grant.ahead_tokens, int(0.5 * capacity))
        self.assertEqual(self.grant(60.0, need("fern", ahead=10)).ahead_tokens, 0)
        self.assertEqual(self.grant(60.0, need("fern", 2_400)).granted_requests, 1)

    def test_a_new_owner_grants_nothing_until_the_former_owners_authority_ended(self):
        """Guards against two owners that grant at the same time after a view change, which exceeds the quota."""
        self.assertEqual(self.change.taken_over, ("fern",))
        grant = self.grant(0.999, need("fern", 1))
        self.assertEqual((grant.granted_requests, grant.not_owner), (0, False))
        self.assertEqual(self.grant(1.0, need("fern", 1)).granted_requests, 0, "the bucket started empty")
        self.assertEqual(self.grant(1.1, need("fern", 400)).granted_requests, 1)

    def test_an_owner_that_stays_keeps_its_bucket(self):
        chain = tuple(address for address in CHAIN if address == self.own or address != CHAIN[0])
        change = self.owner.update(OwnerView(2, self.own, chain), tenants(fern=SMALL), 1, 60.0)
        self.assertEqual((change.taken_over, change.released), ((), ()))
        self.assertEqual(self.grant(60.0, need("fern", 2_400)).granted_requests, 1)

    def test_an_owner_that_missed_a_view_starts_empty(self):
        """Guards against exceeding the quota by tokens that another owner granted in a view that this one missed."""
        change = self.owner.update(OwnerView(3, self.own, CHAIN), tenants(fern=SMALL), 1, 60.0)
        self.assertEqual(change.taken_over, ("fern",))
        self.assertEqual(self.grant(60.9, need("fern", 1)).granted_requests, 0)

    def test_a_node_that_is_not_the_owner_reports_it(self):
        other = next(address for address in CHAIN if address != self.own)
        owner = QuotaOwner(BOUNDS, TAKEOVER_S)
        owner.update(OwnerView(1, other, CHAIN), tenants(fern=SMALL), 1, 0.0)
        grant = owner.answer(quota_request(need("fern", 1)), 60.0)[0]
        self.assertEqual((grant.not_owner, grant.granted_requests), (True, 0))

    def test_a_node_that_left_the_chain_releases_its_tenants(self):
        chain = tuple(address for address in CHAIN if address != self.own)
        change = self.owner.update(OwnerView(2, self.own, chain), tenants(fern=SMALL), 1, 60.0)
        self.assertEqual(change.released, ("fern",))
        self.assertTrue(self.grant(60.0, need("fern", 1)).not_owner)

    # Handover.

    def test_a_former_owner_hands_its_level_over_once_and_the_new_owner_grants_at_once(self):
        """Guards against a second of refusals and an empty bucket at each view change between two live owners."""
        former, new = self.owners_after_view_change(60.0)
        levels = former.hand_over(["fern"], 2, 60.0)
        capacity = bucket_capacity(SMALL, BOUNDS, GRANT_LIFETIME_S)
        self.assertEqual([(level.tenant, level.level) for level in levels], [("fern", capacity)])
        self.assertEqual(former.hand_over(["fern"], 2, 60.0), [])
        self.assertEqual(new.adopt_levels(levels, 2, 60.2), ("fern",))
        self.assertEqual(new.answer(quota_request(need("fern", int(capacity))), 60.2)[0].granted_requests, 1)
        self.assertEqual(new.answer(quota_request(need("fern", 10)), 60.2)[0].granted_requests, 0)

    def test_no_refill_is_counted_between_response_and_receipt(self):
        former, new = self.owners_after_view_change(60.0, used=int(bucket_capacity(SMALL, BOUNDS, GRANT_LIFETIME_S)))
        levels = former.hand_over(["fern"], 2, 60.0)
        self.assertLess(levels[0].level, 1)
        new.adopt_levels(levels, 2, 60.3)
        self.assertLess(new.accounts["fern"].bucket.level, 1)

    def test_a_former_owner_neither_grants_nor_reopens_the_account_after_the_handover(self):
        """Guards against granting one bucket twice: by the former owner and the new one, or by an owner that returns."""
        former, _ = self.owners_after_view_change(60.0)
        former.hand_over(["fern"], 2, 60.0)
        self.assertTrue(former.answer(quota_request(need("fern", 1)), 60.1)[0].not_owner)
        former.update(OwnerView(3, self.own, CHAIN), tenants(fern=SMALL), 1, 60.2)
        self.assertEqual(former.answer(quota_request(need("fern", 1)), 60.3)[0].granted_requests, 0)

    def test_a_handover_is_possible_only_between_consecutive_epochs(self):
        """Guards against exceeding the quota by tokens that the owner of a view in between granted."""
        former, new = self.owners_after_view_change(60.0)
        self.assertEqual(former.hand_over(["fern"], 3, 60.0), [])
        levels = former.hand_over(["fern"], 2, 60.0)
        self.assertEqual(new.adopt_levels(levels, 3, 60.0), ())
        former, new = self.owners_after_view_change(60.0)
        former.update(OwnerView(3, self.own, self.without_own), tenants(fern=SMALL), 1, 60.0)
        self.assertEqual(former.hand_over(["fern"], 3, 60.0), [])
        late = QuotaOwner(BOUNDS, TAKEOVER_S)
        successor = owner_of("fern", self.without_own)
        late.update(OwnerView(1, successor, CHAIN), tenants(fern=SMALL), 1, 0.0)
        change = late.update(OwnerView(3, successor, self.without_own), tenants(fern=SMALL), 1, 60.0)
        self.assertEqual((change.taken_over, change.former_owners), (("fern",), {}))

    def test_a_former_owner_that_is_still_waiting_hands_nothing_over(self):
        """Guards against overlapping view changes, after which the owner of two views ago may still grant."""
        former, _ = self.owners_after_view_change(0.5)
        self.assertEqual(former.hand_over(["fern"], 2, 0.9), [])

    def test_a_level_that_is_late_or_not_finite_is_not_used(self):
        """Guards against tokens created by a late or an invalid response."""
        former, new = self.owners_after_view_change(60.0)
        levels = former.hand_over(["fern"], 2, 60.0)
        self.assertEqual(new.adopt_levels([QuotaLevel("fern", float("nan"), 0.0)], 2, 60.1), ())
        self.assertEqual(new.adopt_levels([QuotaLevel("fern", 1.0, float("inf"))], 2, 60.1), ())
        self.assertEqual(new.adopt_levels(levels, 2, 61.0), ())
        former, new = self.owners_after_view_change(60.0)
        self.assertEqual(new.adopt_levels([QuotaLevel("fern", 1e9, 1e9)], 2, 60.1), ("fern",))
        self.assertEqual(new.adopt_levels([QuotaLevel("fern", 1e9, 1e9)], 2, 60.1), ())
        self.assertEqual(new.accounts["fern"].bucket.level, bucket_capacity(SMALL, BOUNDS, GRANT_LIFETIME_S))

    def test_the_retry_time_is_short_while_the_former_owner_is_queried(self):
        _, new = self.owners_after_view_change(60.0)
        refused = new.answer(quota_request(need("fern", 2_400)), 60.0)[0]
        self.assertEqual((refused.granted_requests, refused.retry_after_ms, refused.not_owner), (0, 150, False))
        self.assertGreater(new.answer(quota_request(need("fern", 2_400)), 60.31)[0].retry_after_ms, 600)

    def test_a_lower_limit_applies_to_the_handed_over_level(self):
        """Guards against a handover that restores the level of a former, higher limit."""
        former, _ = self.owners_after_view_change(60.0)
        lower = QuotaLimit(100, 100)
        former.update(OwnerView(2, self.own, self.without_own), tenants(fern=lower), 2, 60.0)
        former.update(OwnerView(2, self.own, self.without_own), tenants(fern=SMALL), 3, 60.0)
        levels = former.hand_over(["fern"], 2, 60.0)
        self.assertAlmostEqual(levels[0].level, bucket_capacity(lower, BOUNDS, GRANT_LIFETIME_S))

    def test_a_tenant_that_was_removed_since_is_not_handed_over(self):
        former, _ = self.owners_after_view_change(60.0)
        former.update(OwnerView(2, self.own, self.without_own), {}, 2, 60.0)
        former.update(OwnerView(2, self.own, self.without_own), tenants(fern=SMALL), 3, 60.0)
        self.assertEqual(former.hand_over(["fern"], 2, 60.0), [])

    # Takeover from a lost owner.

    def test_a_wait_is_shortened_to_the_end_of_the_former_owners_authority_and_refill_starts_there(self):
        """Guards against a second of refusals when the former owner was lost long before the view changed."""
        _, new = self.owners_after_view_change(60.0)
        self.assertEqual(new.shorten_wait(["fern"], 2, 59.8, 60.0), ("fern",))
        self.assertAlmostEqual(new.accounts["fern"].bucket.seconds_until(0.2 * 4_200, 60.0), 0.0, delta=0.001)
        self.assertEqual(new.answer(quota_request(need("fern", 800)), 60.0)[0].granted_requests, 1)
        self.assertEqual(new.answer(quota_request(need("fern", 100)), 60.0)[0].granted_requests, 0)

    def test_a_wait_is_never_extended_nor_shortened_in_another_view_or_after_its_end(self):
        """Guards against a takeover based on voters' responses about another view."""
        _, new = self.owners_after_view_change(60.0)
        self.assertEqual(new.shorten_wait(["fern"], 2, 61.5, 60.0), ())
        self.assertEqual(new.shorten_wait(["fern"], 3, 59.0, 60.0), ())
        self.assertEqual(new.shorten_wait(["other"], 2, 59.0, 60.0), ())
        self.assertEqual(new.shorten_wait(["fern"], 2, 60.5, 61.0), ())
        self.assertEqual(new.accounts["fern"].grants_from, 61.0)

    def test_a_shortened_wait_still_covers_the_owner_of_two_views_ago(self):
        """Guards against overlapping view changes, after which the owner of two views ago may still grant."""
        _, new = self.owners_after_view_change(0.4)
        self.assertEqual(new.shorten_wait(["fern"], 2, -5.0, 0.4), ("fern",))
        self.assertEqual(new.accounts["fern"].grants_from, 1.0)

    @property
    def without_own(self) -> tuple[str, ...]:
        return tuple(address for address in CHAIN if address != self.own)

    def owners_after_view_change(self, at: float, used: int = 0) -> tuple[QuotaOwner, QuotaOwner]:
        """Return the owners of views 1 and 2 after both put view 2 into force, which excludes the former owner."""
        former, new = QuotaOwner(BOUNDS, TAKEOVER_S), QuotaOwner(BOUNDS, TAKEOVER_S)
        successor = owner_of("fern", self.without_own)
        for owner, address in ((former, self.own), (new, successor)):
            owner.update(OwnerView(1, address, CHAIN), tenants(fern=SMALL), 1, 0.0)
        if used:
            self.assertEqual(former.answer(quota_request(need("fern", used)), at)[0].granted_requests, 1)
        former.update(OwnerView(2, self.own, self.without_own), tenants(fern=SMALL), 1, at)
        change = new.update(OwnerView(2, successor, self.without_own), tenants(fern=SMALL), 1, at)
        self.assertEqual(change.former_owners, {self.own: ("fern",)})
        return former, new

    def test_a_lower_limit_cuts_the_level_and_a_higher_one_does_not_raise_it(self):
        lower = QuotaLimit(100, 100)
        self.owner.update(OwnerView(1, self.own, CHAIN), tenants(fern=lower), 2, 60.0)
        capacity = bucket_capacity(lower, BOUNDS, GRANT_LIFETIME_S)
        self.owner.update(OwnerView(1, self.own, CHAIN), tenants(fern=LARGE), 3, 60.0)
        self.assertAlmostEqual(self.owner.accounts["fern"].bucket.level, capacity)
        self.assertEqual(self.grant(60.0, need("fern", int(capacity) + 1)).granted_requests, 0)

    def test_a_tenant_that_was_removed_and_added_again_starts_with_an_empty_bucket(self):
        """Guards against tokens created when an operator removes a tenant and adds it again."""
        self.owner.update(OwnerView(1, self.own, CHAIN), {}, 2, 60.0)
        self.owner.update(OwnerView(1, self.own, CHAIN), tenants(fern=SMALL), 3, 60.0)
        self.assertEqual(self.grant(60.0, need("fern", 1)).granted_requests, 0)

    def test_a_tenant_without_a_limit_is_granted_everything(self):
        self.owner.update(OwnerView(1, self.own, CHAIN), tenants(fern=None), 2, 60.0)
        grant = self.grant(60.0, need("fern", 10**9, 10**9, ahead=7))
        self.assertEqual((grant.granted_requests, grant.ahead_tokens, grant.lifetime_ms), (2, 7, 500))

    def test_an_unknown_tenant_is_refused_with_a_retry_time_that_depends_on_the_configuration_version(self):
        name = next(name for name in map(str, range(1000)) if owner_of(name) == self.own)
        newer, older = self.grant(60.0, need(name, 1), version=2), self.grant(60.0, need(name, 1), version=1)
        self.assertEqual([grant.granted_requests for grant in (newer, older)], [0, 0])
        self.assertEqual(newer.retry_after_ms, 50)
        self.assertEqual(older.retry_after_ms, 1000 * MAX_RETRY_S)

    @given(st.lists(st.tuples(st.floats(0, 1), st.integers(0, 30_000)), max_size=60))
    def test_returned_tokens_are_credited_within_their_bound(self, returns):
        """Guards against returns that are delivered twice or were never granted: the bound holds over any window."""
        owner = QuotaOwner(BOUNDS, TAKEOVER_S)
        owner.update(OwnerView(1, self.own, CHAIN), tenants(fern=SMALL), 1, 0.0)
        account, now, credits = owner.accounts["fern"], 60.0, []
        account.bucket.try_take(account.bucket.capacity, now)
        for wait_s, tokens in returns:
            now += wait_s
            before = account.counters.credited_tokens
            owner.answer(quota_request(need("fern", returned=tokens)), now)
            credits.append((now, account.counters.credited_tokens - before))
            account.bucket.try_take(max(0.0, account.bucket.level), now)
        span_s = BOUNDS.window_s + longest_use_s(GRANT_LIFETIME_S)
        for first, _ in credits:
            within = sum(tokens for at, tokens in credits if first <= at <= first + span_s)
            self.assertLessEqual(within, returned_capacity(SMALL, BOUNDS, GRANT_LIFETIME_S) + TOLERANCE)

    def test_returned_tokens_serve_others(self):
        self.grant(60.0, need("fern", *[2_400] * 6))
        self.assertEqual(self.grant(60.0, need("fern", 4_400)).granted_requests, 0)
        self.assertEqual(self.grant(60.0, need("fern", 4_400, returned=2_400)).granted_requests, 1)


class Authority(unittest.TestCase):
    """When a lost owner's authority ended (`quotas.former_authority`)."""

    def setUp(self):
        self.authority = FormerAuthority(epoch=3, voters=["b", "c", "d", "e"], majority=3, authority_s=1.0)

    def test_the_latest_confirmation_of_a_majority_counts(self):
        """Guards against a takeover while a voter that was not queried still confirms the former owner's view."""
        self.authority.record("b", 3, 9.0, 10.0)
        self.authority.record("b", 3, 9.0, 10.0)
        self.authority.record("c", 3, 0.5, 10.0)
        self.assertIsNone(self.authority.ended_at)
        self.authority.record("d", 4, 5.0, 10.1)
        self.assertAlmostEqual(self.authority.ended_at, 10.0 - 0.5 + 1.0 + CLOCK_MARGIN_S)

    def test_nonvoters_and_voters_that_may_still_confirm_the_view_do_not_count(self):
        """Guards against a takeover based on a voter that confirms the former owner's view afterwards."""
        for voter, epoch, age_s in (("a", 3, 9.0), ("x", 3, 9.0), ("b", 2, 9.0), ("c", 3, -1.0), ("d", 3, 9.0), ("e", 3, 9.0)):
            self.authority.record(voter, epoch, age_s, 10.0)
        self.assertIsNone(self.authority.ended_at)

    def test_the_least_age_of_a_voter_counts(self):
        for age_s in (5.0, 0.1, 7.0):
            for voter in ("b", "c", "d"):
                self.authority.record(voter, 3, age_s, 10.0)
        self.assertAlmostEqual(self.authority.ended_at, 10.9 + CLOCK_MARGIN_S)

    def test_a_voter_without_a_confirmation_reports_its_uptime(self):
        """Guards against a takeover based on a voter that lost its confirmations in a restart."""
        ages = ConfirmationAges(started_at=10.0)
        ages.record("a:1", 11.0)
        ages.record("a:1", 12.0)
        self.assertEqual(ages.ages_ms(["a:1", "b:1"], 12.5009), [500, 2500])


class Voter(unittest.TestCase):
    """A voter's responses to heartbeats, and the confirmation ages that it reports afterwards."""

    def setUp(self):
        self.now, self.confirms, self.known = 10.0, True, view_of(1)
        self.sender = Member(identity="a", internal_address="a:1")
        view_changer = SimpleNamespace(
            view=self.known, confirms_epoch=lambda epoch: self.confirms, learn_view=AsyncMock(side_effect=self.learn)
        )
        self.voter = HeartbeatResponder(
            lambda: self.now,
            Peers(Member(identity="b", internal_address="b:1")),
            view_changer,
            SimpleNamespace(merge=lambda backends, now: None, resend_all=lambda peer: None),
            SimpleNamespace(view=self.known),
            SimpleNamespace(start=lambda work: work.close()),
            DataPlaneDirectory(1),
        )
        self.view_changer = view_changer

    def learn(self, view: View) -> None:
        self.view_changer.view = view
        self.now += 0.25  # a slow disk write

    def beat(self) -> None:
        asyncio.run(self.voter.on_heartbeat(Heartbeat(sender=self.sender, epoch=1)))

    def test_each_confirmation_counts_and_the_age_is_reported_after_the_new_view_is_stored(self):
        """Guards against a takeover based on an age that misses a confirmation: each one sent to a heartbeat counts."""
        for self.now in (11.0, 12.0):
            self.beat()
        self.confirms = False
        self.now = 13.0
        self.beat()
        age_request = ConfirmationAgeRequest(newest=view_of(2), addresses=["a:1", "c:1"])
        answer = asyncio.run(self.voter.on_confirmation_age(age_request))
        self.assertEqual((answer.voter, answer.epoch, answer.ages_ms), ("b", 2, [1250, 3250]))


@dataclass
class FakeNode:
    """A node in a chain of five; the test sets its view, configuration and majority contact."""

    member: Member
    state: ControlState = field(default_factory=ControlState)
    view: View = field(default_factory=View)
    has_contact: bool = True
    tasks: list = field(default_factory=list)
    gains_contact: bool = False  # whether waiting for contact succeeds
    waits: int = 0  # number of waits for contact
    age_ms: int = 0  # reported time since it last confirmed a view

    @property
    def view_changer(self) -> FakeNode:
        return self

    async def learn_view(self, view: View) -> None:
        if view.epoch > self.view.epoch:
            self.view = view

    @property
    def heartbeat_responder(self) -> FakeNode:
        return self

    async def on_confirmation_age(self, request: ConfirmationAgeRequest) -> ConfirmationAgeResponse:
        await self.learn_view(request.newest)
        return ConfirmationAgeResponse(voter=self.member.identity, epoch=self.view.epoch, ages_ms=[self.age_ms])

    def start_task(self, work) -> None:
        self.tasks.append(work)

    def has_majority_contact(self) -> bool:
        return self.has_contact

    async def wait_for_majority_contact(self) -> bool:
        self.waits += 1
        self.has_contact = self.has_contact or self.gains_contact
        return self.has_contact


def view_of(epoch: int, chain: tuple[str, ...] = CHAIN) -> View:
    return View(epoch=epoch, chain=[Member(identity=address, internal_address=address) for address in chain])


@dataclass
class FakeClient:
    """Calls the services and voters of a network; other addresses are unreachable."""

    services: dict[str, QuotaService]
    voters: dict[str, FakeNode] = field(default_factory=dict)

    async def call(self, address, path, message, response_type, timeout_s):
        if path == CONFIRMATION_AGE_PATH and address in self.voters:
            request = parse_message(ConfirmationAgeRequest, bytes(message))
            return parse_message(response_type, bytes(await self.voters[address].on_confirmation_age(request)))
        if path != HANDOVER_PATH or address not in self.services:
            raise HttpCallError(address, "out of reach")
        answer = await self.services[address].on_handover(parse_message(QuotaHandoverRequest, bytes(message)))
        return parse_message(response_type, bytes(answer))


class Service(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.node = FakeNode(Member(identity="n", internal_address=owner_of("fern")), view=view_of(1))
        self.configure(1, {"rate_per_s": 4_200, "burst": 4_200, "unit": "token_count", "plain_tokens": 2_400})
        self.network: dict[str, QuotaService] = {}
        self.service = QuotaService(self.node, lambda: self.now, BOUNDS, FakeClient(self.network))
        self.network[self.node.member.internal_address] = self.service
        self.service.on_change()

    def configure(self, version: int, quota: dict) -> None:
        self.node.state.document = Document(version, {"tenants": [{"name": "fern", "api_keys": ["k"], **quota}]})

    def answer(self, *needs: QuotaNeed) -> QuotaResponse:
        answer = asyncio.run(self.service.on_request(quota_request(*needs)))
        return parse_message(QuotaResponse, bytes(answer))

    def test_a_response_contains_the_view_and_the_grants(self):
        self.now = 60.0
        answer = self.answer(need("fern", 2_400))
        self.assertEqual((answer.epoch, answer.authoritative, answer.control_addresses), (1, True, list(CHAIN)))
        self.assertEqual(answer.grants[0].granted_requests, 1)

    def test_without_a_majority_nothing_is_granted_and_it_is_logged_once(self):
        """Guards against grants of a partitioned owner while another one has taken over."""
        self.now = 60.0
        self.node.has_contact = False
        with self.assertLogs("mulleinhatch.control_plane.quotas") as logs:
            for _ in range(3):
                answer = self.answer(need("fern", 2_400))
                self.assertEqual((answer.authoritative, answer.grants), (False, []))
            self.node.has_contact = True
            self.assertEqual(self.answer(need("fern", 2_400)).grants[0].granted_requests, 1)
        self.assertEqual(len(logs.records), 2)

    def test_just_after_a_change_of_view_the_response_waits_for_a_majority(self):
        """Guards against 0.5 s of refusals while data planes avoid a new owner whose view is not confirmed yet."""
        self.now = 60.0
        self.node.view, self.node.has_contact, self.node.gains_contact = view_of(2), False, True
        self.assertEqual(self.answer(need("fern", 2_400)).grants[0].granted_requests, 1)
        self.assertEqual(self.node.waits, 1)

    def test_an_owner_that_stays_without_a_majority_responds_at_once_and_grants_nothing(self):
        """Guards against grants without a majority, and against queries that wait for a partitioned owner."""
        self.now = 60.0
        self.node.view, self.node.has_contact = view_of(2), False
        for self.now in (60.0, 60.1, 60.2, 61.0):
            self.assertEqual(self.answer(need("fern", 2_400)).grants, [])
        self.assertEqual(self.node.waits, 2)

    def test_a_new_view_is_in_force_for_the_next_request(self):
        self.now = 60.0
        self.node.view = view_of(2, tuple(address for address in CHAIN if address != self.node.member.internal_address))
        self.assertTrue(self.answer(need("fern", 1)).grants[0].not_owner)

    def successor(self, without_own: tuple[str, ...]) -> tuple[FakeNode, QuotaService]:
        """Return the node and service that own the tenant in a view without the first one; both are still in view 1."""
        member = Member(identity="m", internal_address=owner_of("fern", without_own))
        node = FakeNode(member, self.node.state, view_of(1))
        self.client = FakeClient(self.network)
        service = QuotaService(node, lambda: self.now, BOUNDS, self.client)
        service.on_change()
        return node, service

    def test_a_new_owner_queries_the_former_one_which_learns_the_view_from_the_query(self):
        """Guards against a second of refusals at each view change between two live owners."""
        without_own = tuple(address for address in CHAIN if address != self.node.member.internal_address)
        node, service = self.successor(without_own)
        self.now = 60.0
        self.answer(need("fern", 2_400))
        node.view = view_of(2, without_own)
        service.on_change()
        self.assertEqual(asyncio.run(service.on_request(quota_request(need("fern", 1)))).grants[0].granted_requests, 0)
        asking, inquiring = node.tasks
        asyncio.run(asking)
        asyncio.run(inquiring)
        self.assertEqual(self.node.view.epoch, 2)
        self.assertTrue(self.answer(need("fern", 1)).grants[0].not_owner)
        left = bucket_capacity(SMALL, BOUNDS, GRANT_LIFETIME_S) - 2_400
        self.assertAlmostEqual(service.status()["fern"]["level"], left, delta=0.1)
        self.assertEqual(asyncio.run(service.on_request(quota_request(need("fern", int(left))))).grants[0].granted_requests, 1)

    def test_without_a_response_of_the_former_owner_the_wait_and_the_empty_bucket_remain(self):
        """Guards against grants of two owners if the former one is partitioned from the new one only."""
        without_own = tuple(address for address in CHAIN if address != self.node.member.internal_address)
        node, service = self.successor(without_own)
        self.network.clear()
        self.now = 60.0
        node.view = view_of(2, without_own)
        service.on_change()
        asking, inquiring = node.tasks
        with self.assertRaises(OSError):
            asyncio.run(asking)
        asyncio.run(inquiring)
        for self.now, granted in ((60.999, 0), (61.0, 0), (61.1, 1)):
            answer = asyncio.run(service.on_request(quota_request(need("fern", 400))))
            self.assertEqual(answer.grants[0].granted_requests, granted)

    def take_over(self, answering: int, learn: bool = True) -> int:
        """Return how many requests of 400 tokens a new owner grants at once if `answering` voters confirmed nothing for 5 s."""
        own = self.node.member.internal_address
        without_own = tuple(address for address in CHAIN if address != own)
        node, service = self.successor(without_own)
        node.age_ms, node.view.voters = 5_000, node.view.chain
        node.member = Member(identity=node.member.internal_address, internal_address=node.member.internal_address)
        others = [address for address in without_own if address != node.member.internal_address]
        for address in others[:answering]:
            voter = self.client.voters[address] = FakeNode(Member(identity=address), view=view_of(1), age_ms=5_000)
            if not learn:
                voter.learn_view = AsyncMock()
        self.network.clear()
        self.now = 60.0
        node.view = view_of(2, without_own)
        service.on_change()
        asking, inquiring = node.tasks
        asking.close()
        asyncio.run(inquiring)
        answer = asyncio.run(service.on_request(quota_request(need("fern", *[400] * 100))))
        return answer.grants[0].granted_requests

    def test_after_responses_of_a_majority_a_lost_owners_tenants_are_granted_at_once(self):
        """Guards against a second of refusals after the loss of an owner that was last confirmed long ago."""
        self.assertGreater(self.take_over(answering=2), 10)

    def test_responses_of_a_minority_or_of_voters_without_the_new_view_do_not_shorten_the_wait(self):
        """Guards against two owners that grant: the former one may have a majority that was not queried."""
        self.assertEqual(self.take_over(answering=1), 0)
        self.assertEqual(self.take_over(answering=3, learn=False), 0)

    def test_status_contains_the_owned_tenants_and_their_counters(self):
        self.now = 60.0
        self.answer(need("fern", 2_400, 90_000, returned=5))
        status = self.service.status()["fern"]
        self.assertEqual((status["granted_requests"], status["granted_tokens"], status["refused_requests"]), (1, 2_400, 1))
        self.assertEqual((status["rate_per_s"], status["owned_for_s"], status["returned_tokens"]), (4_200, 60.0, 5))

    def test_ownership_is_computed_once_per_view(self):
        """Guards against a response time that grows with the number of tenants."""
        self.now = 60.0
        updates = []
        self.service._owner.update = lambda *arguments: updates.append(arguments)
        for _ in range(5):
            self.answer(need("fern", 1))
        self.assertEqual(updates, [])


if __name__ == "__main__":
    unittest.main()
