"""Quota balance of a data plane: no token is used twice, used after its expiry or returned twice, and none is lost."""

from __future__ import annotations

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from mulleinhatch.quotas.balance import MIN_USE_S, Permit, PermitState, QuotaBalance
from mulleinhatch.quotas.demand import QuotaDemand

TENANTS = ("a", "b")
TOKENS = st.integers(1, 50)


class BalanceHistories(RuleBasedStateMachine):
    """Random sequences of grants, permits, writes, refunds and returns, checked against an independent count."""

    def __init__(self) -> None:
        super().__init__()
        self.balance, self.now = QuotaBalance(), 0.0
        self.granted = dict.fromkeys(TENANTS, 0)
        self.used = dict.fromkeys(TENANTS, 0)
        self.returned = dict.fromkeys(TENANTS, 0)
        self.ends: dict[str, list[float]] = {tenant: [] for tenant in TENANTS}  # expiry times of all grants
        self.permits: list[Permit] = []  # reserved, according to the test
        self.redeemed: list[Permit] = []

    @rule(tenant=st.sampled_from(TENANTS), tokens=TOKENS, lifetime_s=st.sampled_from([-0.1, 0.05, 0.3, 0.5, 2.0]))
    def grant(self, tenant: str, tokens: int, lifetime_s: float) -> None:
        self.balance.add_grant(tenant, tokens, self.now + lifetime_s, self.now)
        self.granted[tenant] += tokens
        self.ends[tenant].append(self.now + lifetime_s)

    @rule(tenant=st.sampled_from(TENANTS), tokens=TOKENS)
    def spend(self, tenant: str, tokens: int) -> None:
        before = self.balance.live_tokens(tenant, self.now)
        outcome = self.balance.try_spend(tenant, tokens, self.now)
        after = self.balance.live_tokens(tenant, self.now)
        if outcome.is_err():
            assert before == after
            return
        permit = outcome.ok_value
        assert (permit.tenant, permit.tokens, before - after) == (tenant, tokens, tokens)
        assert permit.expires_at in self.ends[tenant] and permit.expires_at >= self.now + MIN_USE_S
        self.permits.append(permit)

    @precondition(lambda self: self.permits)
    @rule(data=st.data())
    def write(self, data: st.DataObject) -> None:
        permit = data.draw(st.sampled_from(self.permits))
        is_written = self.balance.redeem(permit, self.now)
        assert is_written == (self.now < permit.expires_at)
        assert not self.balance.redeem(permit, self.now) or not is_written
        if is_written:
            self.permits.remove(permit)
            self.redeemed.append(permit)
            self.used[permit.tenant] += permit.tokens

    @precondition(lambda self: self.redeemed)
    @rule(data=st.data())
    def was_not_executed(self, data: st.DataObject) -> None:
        permit = data.draw(st.sampled_from(self.redeemed))
        self.balance.reinstate(permit)
        self.redeemed.remove(permit)
        self.permits.append(permit)
        self.used[permit.tenant] -= permit.tokens

    @precondition(lambda self: self.permits or self.redeemed)
    @rule(data=st.data(), again=st.booleans())
    def refund(self, data: st.DataObject, again: bool) -> None:
        permit = data.draw(st.sampled_from(self.permits + self.redeemed))
        self.balance.refund(permit, self.now)
        if again:
            self.balance.refund(permit, self.now)
        if permit in self.permits:
            self.permits.remove(permit)
            self.balance.reinstate(permit)
            assert permit.state is PermitState.REFUNDED
            assert not self.balance.redeem(permit, self.now)
        else:
            assert permit.state is PermitState.REDEEMED

    @rule(passed_s=st.sampled_from([0.01, 0.1, 0.2, 0.6, 5.0]))
    def wait(self, passed_s: float) -> None:
        self.now += passed_s

    @rule()
    def prune(self) -> None:
        self.balance.prune(self.now)

    @rule(tenant=st.sampled_from(TENANTS))
    def take_returns(self, tenant: str) -> None:
        self.returned[tenant] += self.balance.take_returns(tenant)
        assert self.balance.take_returns(tenant) == 0

    @invariant()
    def sum_is_conserved(self) -> None:
        for tenant in TENANTS:
            reserved = sum(permit.tokens for permit in self.permits if permit.tenant == tenant)
            elsewhere = reserved + self.used[tenant] + self.returned[tenant]
            assert self.balance.stored_tokens(tenant) + elsewhere == self.granted[tenant]

    @invariant()
    def expired_grants_give_no_permits(self) -> None:
        for tenant in TENANTS:
            if any(end > self.now for end in self.ends[tenant]):
                continue
            assert self.balance.live_tokens(tenant, self.now) == 0
            assert self.balance.try_spend(tenant, 1, self.now).is_err()


class TestBalanceHistories(BalanceHistories.TestCase):
    settings = settings(max_examples=300, stateful_step_count=40, deadline=None)


class Balance(unittest.TestCase):
    def test_a_removed_tenant_loses_its_grants(self):
        balance = QuotaBalance()
        for tenant in TENANTS:
            balance.add_grant(tenant, 10, 1.0, 0.0)
        balance.keep_only(["b"])
        self.assertTrue(balance.try_spend("a", 1, 0.0).is_err())
        self.assertTrue(balance.try_spend("b", 10, 0.0).is_ok())

    def test_a_permit_from_two_grants_expires_with_the_earlier_one(self):
        balance = QuotaBalance()
        balance.add_grant("a", 10, 2.0, 0.0)
        balance.add_grant("a", 10, 1.0, 0.0)
        permit = balance.try_spend("a", 15, 0.0).ok_value
        self.assertEqual(permit.expires_at, 1.0)
        self.assertEqual(balance.live_tokens("a", 1.5), 5)

    def test_a_refund_after_the_expiry_goes_back_to_the_owner(self):
        balance = QuotaBalance()
        balance.add_grant("a", 10, 1.0, 0.0)
        permit = balance.try_spend("a", 10, 0.0).ok_value
        balance.refund(permit, 1.0)
        self.assertTrue(balance.try_spend("a", 1, 1.0).is_err())
        self.assertEqual((balance.take_returns("a"), balance.take_returns("a")), (10, 0))


class Demand(unittest.TestCase):
    def test_refused_requests_raise_the_demand_by_at_most_half(self):
        """Guards against lost value: if all offered load counted, the data plane with most of a flood would get the tokens."""
        calm, flooded = QuotaDemand(), QuotaDemand()
        for tick in range(200):
            for demand in (calm, flooded):
                demand.record_admitted("a", 100, 0.05 * tick)
            for _ in range(50):
                flooded.record_refused("a", 100, 0.05 * tick)
        admitted, requested = (demand.tokens_ahead("a", 0.5, 10.0) for demand in (calm, flooded))
        self.assertGreater(admitted, 800)
        self.assertLessEqual(requested, 1.5 * admitted + 1)

    def test_no_tokens_are_requested_in_advance_for_rare_requests(self):
        demand = QuotaDemand()
        for tick in range(20):
            demand.record_admitted("a", 2400, 2.0 * tick)
        self.assertEqual(demand.tokens_ahead("a", 0.5, 39.5), 0)


if __name__ == "__main__":
    unittest.main()
