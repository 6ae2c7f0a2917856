"""Quota client of a data plane: batched queries, bounded waits, and no token used twice if messages are lost or late."""

from __future__ import annotations

import asyncio
import logging
import unittest
from collections.abc import Awaitable, Callable

from result import Err, Ok

from mulleinhatch.data_plane.owner_contact import OWNER_COOLDOWN_S
from mulleinhatch.data_plane.permit_patience import Patience
from mulleinhatch.data_plane.permit_waits import Outcome, PermitWait
from mulleinhatch.data_plane.quota_client import (
    LOCAL_REFUSAL_S,
    MAX_QUERIES,
    QuotaClient,
)
from mulleinhatch.messages.cluster import QuotaGrant, QuotaNeed, QuotaRequest, QuotaResponse
from mulleinhatch.networking.http_client import HttpCallError, HttpResponse
from mulleinhatch.process.settings import Bounds, Settings
from mulleinhatch.quotas.limits import GRANT_LIFETIME_S
from mulleinhatch.quotas.owner_directory import OwnerDirectory
from mulleinhatch.simulation.virtual_time import VirtualLoop

SETTINGS = Settings("d", "10.0.0.9", "z", "r", {}, "10.0.0.9:1", (), False, False, 1, 1.0, "", 100, 100.0, {}, Bounds())
ADDRESSES = ("c1:1", "c2:1", "c3:1")
LIFETIME_MS = int(1000 * GRANT_LIFETIME_S)
ROUND_TRIP_S = 0.004
PATIENCE_S = 0.4  # time until a request's client times out
TARGET_S = 0.8  # short latency target: a request without tokens is refused early
PATIENT_TARGET_S = 5.0  # long latency target: a request waits for its tokens
DEADLINE_S = 5.0
RATE_PER_S = 1000.0


class FakeOwners:
    """Fake owners that grant the tokens that a test provides; stands in for the data plane's `HttpClient`.

    Attributes:
        tokens: Tokens left in the bucket of each tenant.
        epoch: Epoch and addresses of the view in force.
        silent: Addresses that do not answer.
        without_majority: Addresses without contact to a majority.
        round_trip_s: Time from a query to its response.
        queries: Address and request of each query.
        granted: Tokens taken from the buckets, by tenant.
        returned: Tokens returned to an owner, by tenant.
        lost: Tokens in responses and returns that did not arrive.
        last_expiry: Expiry of the last grant.
    """

    def __init__(self) -> None:
        self.tokens: dict[str, int] = {}
        self.epoch, self.addresses = 1, ADDRESSES
        self.silent: set[str] = set()
        self.without_majority: set[str] = set()
        self.round_trip_s = ROUND_TRIP_S
        self.retry_after_ms = 700
        self.queries: list[tuple[str, QuotaRequest]] = []
        self.granted: dict[str, int] = {}
        self.returned: dict[str, int] = {}
        self.lost = 0
        self.last_expiry = 0.0
        self.in_flight = 0
        self.max_in_flight = 0

    def forget(self, address: str) -> None:
        """Do nothing; there are no connections."""

    async def request(self, address: str, method: str, path: str, body: bytes, timeout_s: float) -> HttpResponse:
        assert (method, path) == ("POST", "/internal/quota")
        query = QuotaRequest().parse(body)
        self.queries.append((address, query))
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        try:
            return HttpResponse(200, None, await self._exchange(address, query, timeout_s))
        finally:
            self.in_flight -= 1

    async def _exchange(self, address: str, query: QuotaRequest, timeout_s: float) -> bytes:
        asked_at = asyncio.get_running_loop().time()
        is_silent, trip_s = address in self.silent, self.round_trip_s / 2
        await asyncio.sleep(min(timeout_s, trip_s))
        if is_silent or trip_s >= timeout_s:
            self.lost += sum(need.returned_tokens for need in query.needs)
            await asyncio.sleep(timeout_s - min(timeout_s, trip_s))
            raise HttpCallError(address, "no answer")
        before = sum(self.granted.values())
        answer = bytes(self._answer(address, query))
        if 2 * trip_s > timeout_s:
            self.lost += sum(self.granted.values()) - before
            await asyncio.sleep(timeout_s - trip_s)
            raise HttpCallError(address, "no answer")
        self.last_expiry = asked_at + LIFETIME_MS / 1000
        await asyncio.sleep(trip_s)
        return answer

    def _answer(self, address: str, query: QuotaRequest) -> QuotaResponse:
        directory = OwnerDirectory()
        directory.update(self.epoch, self.addresses)
        if address in self.without_majority:
            self.lost += sum(need.returned_tokens for need in query.needs)
            return QuotaResponse(epoch=self.epoch, control_addresses=list(self.addresses))
        grants = []
        for need in query.needs:
            if directory.owner_of(need.tenant) == address:
                grants.append(self._grant(need))
            else:
                self.lost += need.returned_tokens
                grants.append(QuotaGrant(tenant=need.tenant, not_owner=True))
        return QuotaResponse(self.epoch, True, grants, list(self.addresses))

    def _grant(self, need: QuotaNeed) -> QuotaGrant:
        self.returned[need.tenant] = self.returned.get(need.tenant, 0) + need.returned_tokens
        grant = QuotaGrant(tenant=need.tenant, lifetime_ms=LIFETIME_MS)
        for tokens in need.request_tokens:
            if not self._take(need.tenant, tokens):
                grant.retry_after_ms = self.retry_after_ms
                return grant
            grant.granted_requests += 1
        if need.ahead_tokens and self._take(need.tenant, need.ahead_tokens):
            grant.ahead_tokens = need.ahead_tokens
        return grant

    def _take(self, tenant: str, tokens: int) -> bool:
        if self.tokens.get(tenant, 0) < tokens:
            return False
        self.tokens[tenant] -= tokens
        self.granted[tenant] = self.granted.get(tenant, 0) + tokens
        return True


class World:
    """One data plane's quota client and the fake owners."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.owners = FakeOwners()
        self.client = QuotaClient(SETTINGS, self.owners, self.loop)  # type: ignore[arg-type]
        self.client.update(1, ADDRESSES, 1, ["t", "u"])
        self.outcomes: list[Outcome] = []

    def owner(self, tenant: str = "t") -> str:
        directory = OwnerDirectory()
        directory.update(self.owners.epoch, self.owners.addresses)
        return directory.owner_of(tenant)

    def acquire(
        self,
        tokens: int = 100,
        tenant: str = "t",
        target_s: float = TARGET_S,
        deadline_s: float = DEADLINE_S,
        is_probable_retry: bool = False,
    ) -> PermitWait | None:
        now = self.loop.time()
        patience = Patience(now, target_s, now + deadline_s, is_probable_retry, RATE_PER_S)
        outcome = self.client.acquire(tenant, tokens, patience, self.outcomes.append)
        if isinstance(outcome, PermitWait):
            return outcome
        self.outcomes.append(outcome)
        return None

    def permits(self) -> list[Outcome]:
        return [outcome for outcome in self.outcomes if isinstance(outcome, Ok)]

    def refusals(self) -> list[float]:
        return [outcome.err_value.retry_after_s for outcome in self.outcomes if isinstance(outcome, Err)]


def run_script(script: Callable[[World], Awaitable[None]]) -> None:
    """Run a script in virtual time."""
    loop = VirtualLoop()

    async def play() -> None:
        await script(World())

    logging.disable(logging.WARNING)
    try:
        loop.run_until_complete(play())
    finally:
        logging.disable(logging.NOTSET)
        loop.close()


class QuotaClients(unittest.TestCase):
    def test_simultaneous_needs_share_one_query_and_are_granted_in_order(self):
        async def script(world: World) -> None:
            world.owners.tokens["t"] = 250
            for _ in range(3):
                world.acquire()
            await asyncio.sleep(0.1)
            [(address, query)] = world.owners.queries
            self.assertEqual((address, list(query.needs[0].request_tokens)), (world.owner(), [100, 100, 100]))
            self.assertEqual((len(world.permits()), world.refusals()), (2, [0.7]))
            self.assertEqual((query.node, query.zone, query.configuration_version), ("d", "z", 1))

        run_script(script)

    def test_at_most_two_queries_to_one_owner_are_in_flight(self):
        async def script(world: World) -> None:
            world.owners.tokens["t"] = 10_000
            world.owners.round_trip_s = 0.1
            for _ in range(10):
                world.acquire(target_s=PATIENT_TARGET_S)
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.3)
            self.assertEqual((world.owners.max_in_flight, len(world.permits())), (MAX_QUERIES, 10))
            self.assertLessEqual(len(world.owners.queries), 4)

        run_script(script)

    def test_a_grants_lifetime_counts_from_before_the_query(self):
        """Guards against an expiry that counts from the response's arrival and is later than the owner assumes."""

        async def script(world: World) -> None:
            world.owners.tokens["t"] = 100
            world.owners.round_trip_s = 0.2
            asked_at = world.loop.time()
            world.acquire(target_s=PATIENT_TARGET_S)
            await asyncio.sleep(0.25)
            [outcome] = world.permits()
            self.assertAlmostEqual(outcome.ok_value.expires_at, asked_at + 0.001 * LIFETIME_MS)

        run_script(script)

    def test_an_expired_grant_gives_no_permit(self):
        """Guards against using expired grants after a pause of the process."""

        async def script(world: World) -> None:
            world.owners.tokens["t"] = 1000
            world.acquire(target_s=PATIENT_TARGET_S)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            world.loop.now += 3.0  # type: ignore[attr-defined]
            await asyncio.sleep(0.1)
            self.assertEqual(len(world.owners.queries), 2)  # the first grant had expired
            [outcome] = world.permits()
            self.assertGreater(outcome.ok_value.expires_at, world.loop.time())
            self.assertEqual(world.owners.granted["t"] - world.owners.returned["t"], 100)

        run_script(script)

    def test_after_a_silent_owner_the_next_node_is_queried(self):
        async def script(world: World) -> None:
            first = world.owner()
            world.owners.silent.add(first)
            world.owners.epoch, world.owners.addresses = 2, tuple(one for one in ADDRESSES if one != first)
            world.owners.tokens["t"] = 1000
            world.acquire(target_s=PATIENT_TARGET_S)
            await asyncio.sleep(0.5)
            self.assertEqual([address for address, _ in world.owners.queries], [first, world.owner()])
            self.assertEqual(len(world.permits()), 1)
            world.acquire()  # the response contained the new view
            await asyncio.sleep(0.1)
            self.assertEqual((world.owners.queries[-1][0], len(world.permits())), (world.owner(), 2))

        run_script(script)

    def test_without_an_owner_the_wait_is_bounded_and_further_requests_are_refused_at_once(self):
        async def script(world: World) -> None:
            world.owners.silent |= set(ADDRESSES)
            began_at = world.loop.time()
            wait = world.acquire(target_s=PATIENT_TARGET_S, deadline_s=PATIENCE_S)
            while not wait.is_over:
                await asyncio.sleep(0.01)
            self.assertLessEqual(world.loop.time() - began_at, PATIENCE_S + 0.02)
            [retry_after_s] = world.refusals()
            self.assertLess(retry_after_s, 0.2)
            self.assertEqual(len(world.owners.queries), 2)

        run_script(script)

    def test_a_response_of_a_former_owner_leads_to_the_new_owner(self):
        async def script(world: World) -> None:
            former = world.owner()
            world.owners.epoch, world.owners.addresses = 2, tuple(one for one in ADDRESSES if one != former)
            world.owners.tokens["t"] = 1000
            world.acquire()
            await asyncio.sleep(0.1)
            self.assertEqual([address for address, _ in world.owners.queries], [former, world.owner()])
            self.assertEqual(len(world.permits()), 1)

        run_script(script)

    def test_an_owner_without_a_majority_is_avoided(self):
        async def script(world: World) -> None:
            first = world.owner()
            world.owners.without_majority.add(first)
            world.owners.tokens["t"] = 1000
            world.acquire()
            await asyncio.sleep(0.1)
            self.assertEqual((len(world.owners.queries), len(world.refusals())), (2, 1))
            world.owners.without_majority.clear()
            await asyncio.sleep(OWNER_COOLDOWN_S)
            world.acquire()
            await asyncio.sleep(0.1)
            self.assertEqual((world.owners.queries[-1][0], len(world.permits())), (first, 1))

        run_script(script)

    def test_after_a_refusal_only_that_tenant_is_refused_locally_for_a_short_time(self):
        async def script(world: World) -> None:
            world.owners.tokens["u"] = 100
            world.acquire()
            await asyncio.sleep(0.01)
            world.acquire()
            world.acquire(tenant="u")
            await asyncio.sleep(0.01)
            self.assertEqual((len(world.owners.queries), len(world.refusals()), len(world.permits())), (2, 2, 1))
            world.owners.tokens["t"] = 100
            await asyncio.sleep(LOCAL_REFUSAL_S)
            world.acquire()
            await asyncio.sleep(0.01)
            self.assertEqual(len(world.permits()), 2)

        run_script(script)

    def test_tokens_of_a_cancelled_request_serve_the_next_one(self):
        async def script(world: World) -> None:
            world.owners.tokens["t"] = 100
            wait = world.acquire()
            await asyncio.sleep(0)
            wait.cancel()
            await asyncio.sleep(0.01)
            self.assertEqual(world.outcomes, [])
            world.acquire()
            self.assertEqual((len(world.permits()), len(world.owners.queries)), (1, 1))

        run_script(script)

    def test_unused_tokens_are_returned_once_even_if_the_query_is_lost(self):
        """Guards against returning tokens twice, after which they would be granted twice."""

        async def script(world: World) -> None:
            world.owners.tokens["t"] = 100
            world.acquire()
            await asyncio.sleep(0.01)
            world.client.refund(world.permits()[0].ok_value)
            await asyncio.sleep(0.6)
            world.owners.silent.add(world.owner())
            world.acquire()
            await asyncio.sleep(1.0)
            world.owners.silent.clear()
            world.acquire()
            await asyncio.sleep(0.1)
            returns = [need.returned_tokens for _, query in world.owners.queries for need in query.needs]
            self.assertEqual(sum(returns), 100)

        run_script(script)

    def test_a_removed_tenant_loses_its_grants(self):
        async def script(world: World) -> None:
            world.owners.tokens["t"] = 100
            world.acquire()
            await asyncio.sleep(0.01)
            world.client.refund(world.permits()[0].ok_value)
            world.client.update(1, ADDRESSES, 2, ["u"])
            world.acquire()
            await asyncio.sleep(0.1)
            self.assertEqual((len(world.permits()), len(world.refusals())), (1, 1))

        run_script(script)

    def test_a_busy_data_plane_is_granted_tokens_in_advance(self):
        async def script(world: World) -> None:
            world.owners.tokens["t"] = 1_000_000
            for _ in range(200):
                world.acquire()
                await asyncio.sleep(0.01)
            self.assertEqual(len(world.permits()), 200)
            self.assertLess(len(world.owners.queries), 40)
            self.assertLess(world.owners.granted["t"], 2 * 200 * 100)

        run_script(script)

    def test_loss_and_return_of_an_owner_are_logged_once_each(self):
        async def script(world: World) -> None:
            first = world.owner()
            world.owners.tokens["t"] = 1000
            world.owners.silent.add(first)
            for _ in range(4):
                world.acquire()
                await asyncio.sleep(0.8)
            world.owners.silent.clear()
            for _ in range(3):
                world.acquire()
                await asyncio.sleep(0.3)
            self.assertEqual(world.client.status()["silent_owners"], [])

        loop = VirtualLoop()

        async def play() -> None:
            await script(World())

        with self.assertLogs("mulleinhatch.data_plane.quota_client") as captured:
            loop.run_until_complete(play())
        loop.close()
        messages = [record.getMessage() for record in captured.records]
        self.assertEqual(messages, ["quota owner is out of reach; another one is asked", "quota owner answers again"])


if __name__ == "__main__":
    unittest.main()
