"""Requests of a tenant with a limit: none is written without a valid permit, and no token is lost or used twice.

Real requests, router and quota client run on in-memory transports (`test_exchange_model`) against fake owners that record their
grants (`test_quota_client`).
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import logging
import random
import unittest
from collections.abc import Awaitable, Callable, Iterator
from unittest import mock

from mulleinhatch.configuration.document import Document
from mulleinhatch.configuration.routes import build_route_table
from mulleinhatch.configuration.tenants import TenantTableBuilder
from mulleinhatch.data_plane import router as router_module
from mulleinhatch.data_plane.request_context import RequestContext
from mulleinhatch.data_plane.request_lifecycle import ClientRequest
from mulleinhatch.data_plane.retry_budget import RetryBudget
from mulleinhatch.networking.http_connection import ClientConnection
from mulleinhatch.networking.http_streaming import parse_request_head
from mulleinhatch.quotas.balance import QuotaBalance
from mulleinhatch.quotas.deferral import DeferredTokens
from mulleinhatch.simulation.virtual_time import VirtualLoop
from mulleinhatch.tenants.api_keys import KeyDigester
from mulleinhatch.tenants.tenant import QuotaLimit, QuotaUnit, Tenant
from tests.system.test_exchange_model import PAIRS, ROUTES, World
from tests.system.test_quota_client import ADDRESSES, FakeOwners

TOKENS = 100  # per request
TENANT = Tenant("t", QuotaLimit(1000.0, 1000.0), QuotaUnit.TOKENS, TOKENS)
TARGET_MS = 1500  # latency target of all routes; a request waits for its tokens for at most half of it
RETRY_AFTER_MS = 1000  # sent by an owner without tokens
ANSWER_WAIT_S = 0.01  # a reachable owner has answered by then


class MeteredContext(RequestContext):
    """A request of `TENANT`."""

    __slots__ = ()

    def __init__(self, *facts: object) -> None:
        super().__init__(*facts)  # type: ignore[arg-type]
        self.tenant = TENANT


class Arrivals(list[tuple[str, str]]):
    """Requests that backends received; records those written after every grant expired."""

    def __init__(self, world: MeteredWorld) -> None:
        super().__init__()
        self._world = world

    def append(self, arrival: tuple[str, str]) -> None:
        super().append(arrival)
        if self._world.loop.time() >= self._world.owners.last_expiry:
            self._world.late_writes.append(arrival[0])


class MeteredWorld(World):
    """The world of the exchange model, with quota owners.

    Attributes:
        owners: The fake quota owners.
        open_s: Seconds that opening a connection takes.
        late_writes: Requests that were written after every grant expired.
    """

    def __init__(self, kinds: tuple[str, str]) -> None:
        super().__init__(kinds)
        self.owners = FakeOwners()
        self.owners.retry_after_ms = RETRY_AFTER_MS
        self.router.quotas._http = self.owners  # type: ignore[assignment]
        table = build_route_table(Document(1, configuration(1)))
        self.router.apply_snapshot(
            dataclasses.replace(self.router.snapshot, table=table, control_epoch=1, control_addresses=ADDRESSES)
        )
        self.owners.tokens["t"] = 1000
        self.open_s = 0.0
        self.late_writes: list[str] = []
        self.arrivals = Arrivals(self)

    async def _open(self, address: str) -> ClientConnection:
        await asyncio.sleep(self.open_s)
        return await super()._open(address)

    async def begin(self, name: str) -> None:
        await super().begin(name)
        await asyncio.sleep(ANSWER_WAIT_S)

    def drain(self) -> None:
        """Mark all backends as draining."""
        snapshot = self.router.snapshot
        draining = [dataclasses.replace(backend, draining=True) for backend in snapshot.backends.by_id.values()]
        registry = dataclasses.replace(
            snapshot.backends, by_id={backend.id: backend for backend in draining}, by_service={"s": tuple(draining)}
        )
        self.router.apply_snapshot(dataclasses.replace(snapshot, backends=registry))

    @property
    def balance(self) -> QuotaBalance:
        return self.router.quotas._balance

    def used(self) -> int:
        """Return the tokens of requests that backends received and may have run."""
        return TOKENS * (len(self.arrivals) - sum(self.unexecuted.values()))

    def quota_violations(self) -> Iterator[str]:
        """Yield the violations after both requests have ended."""
        kept = self.balance.stored_tokens("t") + self.owners.returned.get("t", 0) + self.owners.lost
        granted = self.owners.granted.get("t", 0)
        if self.used() + kept != granted:
            yield f"{granted} tokens granted, {self.used()} used, {kept} kept, returned or lost"
        if self.late_writes:
            yield f"{self.late_writes} written after every grant expired"
        for queue in self.router.queue.by_model.values():
            if queue.running or queue.waiting or any(queue.running_by_account.values()):
                yield f"{queue.running} running, {len(queue.waiting)} waiting"


def configuration(version: int, *tenants: dict[str, object]) -> dict[str, object]:
    routes = [
        {
            "name": kind,
            "host": "h",
            "path_prefix": f"/{kind}/",
            "timeout_ms": 5000,
            "target_latency_ms": TARGET_MS,
            "service": "s",
        }
        | facts
        for kind, facts in ROUTES.items()
    ]
    return {"version": version, "routes": routes, "services": [{"name": "s"}], "tenants": list(tenants)}


@contextlib.contextmanager
def metered() -> Iterator[None]:
    with mock.patch.object(router_module, "RequestContext", MeteredContext):
        yield


def run_script(script: Callable[[MeteredWorld], Awaitable[None]], kinds: tuple[str, str] = ("safe", "unsafe")) -> None:
    """Run a script in virtual time; at the end no token may be missing and no slot occupied."""
    loop = VirtualLoop()

    async def play() -> list[str]:
        world = MeteredWorld(kinds)
        await script(world)
        await asyncio.sleep(6.0)
        return list(world.quota_violations())

    logging.disable(logging.WARNING)
    try:
        with metered():
            violations = loop.run_until_complete(play())
        assert not violations, violations
    finally:
        logging.disable(logging.NOTSET)
        loop.close()


class MeteredRequests(unittest.TestCase):
    def test_a_request_is_sent_with_the_tokens_that_the_owner_granted(self):
        async def script(world: MeteredWorld) -> None:
            await world.begin("a")
            self.assertEqual((len(world.arrivals), world.owners.granted["t"]), (1, TOKENS))
            await world.event("answer", 0)
            self.assertEqual(world.clients["a"].status, 200)
            self.assertEqual(world.router.quotas.status()["permits"], 1)

        run_script(script)

    def test_beyond_the_quota_the_response_is_429_and_nothing_is_sent(self):
        """Guards against exceeding the quota; a 429 also promises that the request did not run."""

        async def script(world: MeteredWorld) -> None:
            world.owners.tokens["t"] = TOKENS - 1
            await world.begin("a")
            self.assertEqual((world.clients["a"].status, world.arrivals), (429, []))
            self.assertEqual(world.router.request_log.counters["over_quota"], 1)

        run_script(script)

    def test_a_request_without_a_limit_starts_at_once_without_a_query(self):
        async def script(world: MeteredWorld) -> None:
            head = parse_request_head(b"POST /safe/x HTTP/1.1\r\nHost: h\r\nRequest-Id: a\r\nContent-Length: 1\r\n\r\n")
            with mock.patch.object(router_module, "RequestContext", RequestContext):
                request = world.router.begin(world.clients["a"], head, b"a")
            self.assertIsNotNone(request._attempt)  # without an iteration of the loop
            await world.run_callbacks()
            self.assertEqual((world.owners.queries, len(world.arrivals)), ([], 1))
            request.cancel()
            world.arrivals.clear()
            world.late_writes.clear()

        run_script(script)

    def test_a_client_that_disconnects_while_its_request_waits_uses_no_tokens(self):
        async def script(world: MeteredWorld) -> None:
            world.owners.round_trip_s = 0.2
            await world.begin("a")
            await world.event("client gone", 0)
            await asyncio.sleep(0.3)
            self.assertEqual(world.arrivals, [])
            await world.begin("b")  # uses the tokens of the first request
            self.assertEqual((len(world.owners.queries), world.arrivals[0][0]), (1, "b"))
            await world.event("answer", 0)

        run_script(script)

    def test_a_deadline_while_the_request_waits_is_answered_with_503(self):
        async def script(world: MeteredWorld) -> None:
            world.owners.round_trip_s = 0.2
            await world.begin("a")
            await world.event("time over", 0)
            await asyncio.sleep(0.3)
            self.assertEqual((world.clients["a"].status, world.clients["a"].answers, world.arrivals), (503, 1, []))

        run_script(script)

    def test_a_shutdown_while_the_request_waits_is_answered_in_time(self):
        async def script(world: MeteredWorld) -> None:
            world.owners.silent |= set(ADDRESSES)
            await world.begin("a")
            world.router.begin_shutdown(world.loop.time() + 0.5)
            await asyncio.sleep(0.15)
            self.assertEqual((world.clients["a"].status, world.arrivals), (503, []))

        run_script(script)

    def test_without_any_owner_the_response_is_429_within_the_wait_limit(self):
        async def script(world: MeteredWorld) -> None:
            world.owners.silent |= set(ADDRESSES)
            await world.begin("a")
            await asyncio.sleep(0.7)
            self.assertEqual((world.clients["a"].status, world.arrivals), (429, []))

        run_script(script)

    def test_a_permit_that_expires_in_the_queue_is_renewed_without_a_slot(self):
        async def script(world: MeteredWorld) -> None:
            snapshot = world.router.snapshot
            world.drain()
            await world.begin("a")
            await asyncio.sleep(0.8)  # longer than a grant's lifetime
            self.assertEqual(world.arrivals, [])
            world.router.apply_snapshot(snapshot)
            await asyncio.sleep(ANSWER_WAIT_S)
            self.assertEqual((len(world.arrivals), len(world.owners.queries)), (1, 2))
            self.assertEqual(world.owners.returned["t"], TOKENS)
            await world.event("answer", 0)
            self.assertEqual(world.clients["a"].status, 200)

        with mock.patch.object(DeferredTokens, "try_add", lambda *facts: False):  # the bound on deferred tokens is reached
            run_script(script)

    def test_a_request_that_no_backend_can_take_yet_acquires_its_permit_when_it_starts(self):
        """Guards against refusals below the limit: the owner credits tokens that expire in the queue only up to a bound."""

        async def script(world: MeteredWorld) -> None:
            snapshot = world.router.snapshot
            world.drain()
            await world.begin("a")
            await asyncio.sleep(3.0)
            self.assertEqual(world.owners.queries, [])
            world.router.apply_snapshot(snapshot)
            await asyncio.sleep(ANSWER_WAIT_S)
            self.assertEqual((len(world.arrivals), len(world.owners.queries)), (1, 1))
            await world.event("answer", 0)
            self.assertEqual(world.clients["a"].status, 200)
            self.assertEqual(world.router.quotas._deferred._tokens, {})

        run_script(script)

    def test_a_queued_request_that_ends_early_is_no_longer_deferred(self):
        async def script(world: MeteredWorld) -> None:
            world.drain()
            await world.begin("a")
            await world.event("client gone", 0)
            self.assertEqual((world.owners.queries, world.router.quotas._deferred._tokens), ([], {}))

        run_script(script)

    def test_a_permit_that_expires_during_the_connect_writes_nothing_and_keeps_the_connection(self):
        """Guards against exceeding the quota: the expiry is checked at the write, not at the decision."""

        async def script(world: MeteredWorld) -> None:
            world.open_s = 0.6
            await world.begin("a")
            await asyncio.sleep(0.6)
            await asyncio.sleep(ANSWER_WAIT_S)
            self.assertEqual(
                (len(world.transports), len(world.arrivals)), (1, 1)
            )  # the second attempt used the same connection
            self.assertEqual(len(world.owners.queries), 2)
            self.assertEqual(world.requests["a"].context.state.written_sends, 1)
            await world.event("answer", 0)
            self.assertEqual(world.clients["a"].status, 200)

        run_script(script)

    def test_after_a_pause_of_the_process_an_expired_permit_writes_nothing(self):
        """Guards against writes with an expired permit after a pause of the process."""

        async def script(world: MeteredWorld) -> None:
            world.open_s = 0.1
            await world.begin("a")
            world.owners.tokens["t"] = 0
            world.loop.now += 2.0  # type: ignore[attr-defined]
            await asyncio.sleep(0.2)
            self.assertEqual((world.clients["a"].status, world.arrivals), (429, []))

        run_script(script)

    def test_a_retry_after_not_executed_keeps_its_permit(self):
        async def script(world: MeteredWorld) -> None:
            await world.begin("a")
            await world.event("not executed", 0)
            self.assertEqual((len(world.arrivals), world.owners.granted["t"], len(world.owners.queries)), (2, TOKENS, 1))
            await world.event("answer", 1)
            self.assertEqual(world.clients["a"].status, 200)

        run_script(script)

    # Guards against exceeding the quota: a permit for one request paid for thousands of tokens after the tenant's unit changed.
    def test_a_permit_for_fewer_tokens_than_the_request_now_costs_is_unusable(self):
        async def script(world: MeteredWorld) -> None:
            world.drain()
            with mock.patch.object(DeferredTokens, "try_add", lambda *arguments: False):
                await world.begin("a")
            request = world.requests["a"]
            self.assertTrue(request.permit.is_usable())
            with mock.patch.object(RequestContext, "quota_tokens", 2 * TOKENS):
                self.assertFalse(request.permit.is_usable())

        run_script(script)

    # Guards against a leaked slot, which blocks the model: a request that ended without retry budget kept its slot.
    def test_a_retry_without_budget_is_rejected_and_frees_its_slot(self):
        async def script(world: MeteredWorld) -> None:
            await world.begin("a")
            with mock.patch.object(RetryBudget, "try_spend", lambda *arguments: False):
                await world.event("not executed", 0)
            self.assertEqual(world.clients["a"].status, 503)
            self.assertEqual([queue.running for queue in world.router.queue.by_model.values()], [0])

        run_script(script)

    def test_a_retry_after_it_may_have_run_needs_a_new_permit(self):
        """Guards against exceeding the quota: a retry counts again, because the backend receives it again."""

        async def script(world: MeteredWorld) -> None:
            await world.begin("a")
            await world.event("reset", 0)
            await asyncio.sleep(ANSWER_WAIT_S)
            self.assertEqual((len(world.arrivals), world.owners.granted["t"]), (2, 2 * TOKENS))
            await world.event("answer", 1)
            self.assertEqual(world.clients["a"].status, 200)

        run_script(script)

    def test_a_retry_without_a_new_permit_is_not_answered_429_as_it_may_have_run(self):
        """Guards against running a request twice: after a 429 a client retries."""

        async def script(world: MeteredWorld) -> None:
            world.owners.tokens["t"] = TOKENS
            await world.begin("a")
            await world.event("reset", 0)
            await asyncio.sleep(ANSWER_WAIT_S)
            self.assertEqual((world.clients["a"].status, len(world.arrivals)), (502, 1))

        run_script(script)

    def test_a_stream_that_is_not_resumed_for_lack_of_tokens_does_not_look_complete(self):
        async def script(world: MeteredWorld) -> None:
            world.owners.tokens["t"] = TOKENS
            await world.begin("a")
            await world.event("half and reset", 0)
            await asyncio.sleep(ANSWER_WAIT_S)
            self.assertTrue(world.clients["a"].broken)
            self.assertFalse(world.clients["a"].complete)

        run_script(script, ("resumable", "unsafe"))

    def test_a_request_that_ends_unwritten_returns_its_tokens(self):
        async def script(world: MeteredWorld) -> None:
            world.owners.tokens["t"] = TOKENS
            world.open_s = 0.05
            await world.begin("a")
            await world.event("client gone", 0)
            await world.begin("b")
            await asyncio.sleep(0.1)
            self.assertEqual([name for name, _ in world.arrivals], ["b"])
            self.assertEqual(world.owners.granted["t"], TOKENS)

        run_script(script)


class ConfiguredWorld(MeteredWorld):
    """A metered world with the tenants of a configuration."""

    def configure(self, version: int, *tenants: dict[str, object]) -> None:
        value = configuration(version, *tenants)
        table = build_route_table(Document(version, value), TenantTableBuilder(KeyDigester(b"k" * 32)).build(value))
        snapshot = dataclasses.replace(self.router.snapshot, table=table, confirmed_at=self.loop.time())
        self.router.apply_snapshot(snapshot)

    async def send_request(self, name: str, key: str, usage: str = "60,40") -> None:
        lines = ("POST /safe/x HTTP/1.1", "Host: h", f"Request-Id: {name}", "Content-Length: 1", f"Authorization: Bearer {key}")
        head = parse_request_head("\r\n".join((*lines, f"Token-Usage: {usage}", "", "")).encode())
        self.requests[name] = self.router.begin(self.clients[name], head, name.encode())
        await asyncio.sleep(ANSWER_WAIT_S)


def tenant(name: str, *keys: str, unit: str = "token_count", rate: int = 1000) -> dict[str, object]:
    return {"name": name, "api_keys": list(keys), "rate_per_s": rate, "burst": rate, "unit": unit}


class ConfiguredRequests(unittest.TestCase):
    """Requests with API keys and limits from a configuration."""

    def run_script(self, script: Callable[[ConfiguredWorld], Awaitable[None]]) -> None:
        loop = VirtualLoop()

        async def play() -> None:
            await script(ConfiguredWorld(("safe", "safe")))

        try:
            loop.run_until_complete(play())
        finally:
            loop.close()

    def test_a_request_costs_its_token_usage_or_one_depending_on_the_unit(self):
        async def script(world: ConfiguredWorld) -> None:
            world.configure(1, tenant("t", "key-t"), tenant("u", "key-u", unit=""))
            world.owners.tokens |= {"t": 1000, "u": 1000}
            await world.send_request("a", "key-t", "60,40")
            await world.send_request("b", "key-u", "60,40")
            self.assertEqual(world.owners.granted, {"t": 100, "u": 1})
            self.assertEqual(len(world.arrivals), 2)

        self.run_script(script)

    def test_a_tenant_without_a_limit_causes_no_query(self):
        async def script(world: ConfiguredWorld) -> None:
            world.configure(1, tenant("t", "key-t", rate=0))
            await world.send_request("a", "key-t")
            self.assertEqual((world.owners.queries, len(world.arrivals)), ([], 1))

        self.run_script(script)

    def test_a_request_whose_key_is_removed_while_it_waits_for_tokens_does_not_run(self):
        """Guards against running with a removed key: the tokens arrive after the key was removed."""

        async def script(world: ConfiguredWorld) -> None:
            world.configure(1, tenant("t", "key-t"))
            world.owners.round_trip_s = 0.2
            await world.send_request("a", "key-t")
            world.configure(2, tenant("t", "another"))
            await asyncio.sleep(0.3)
            self.assertEqual((world.clients["a"].status, world.arrivals), (401, []))

        self.run_script(script)

    def test_a_request_whose_key_moves_while_it_waits_uses_the_new_tenants_tokens(self):
        """Guards against exceeding the quota: a permit of the former tenant is not used for the new one."""

        async def script(world: ConfiguredWorld) -> None:
            world.configure(1, tenant("t", "key"), tenant("u", "key-u"))
            world.owners.tokens |= {"t": 1000, "u": 1000}
            world.owners.round_trip_s = 0.2
            await world.send_request("a", "key")
            world.configure(2, tenant("t", "key-t"), tenant("u", "key"))
            await asyncio.sleep(0.5)
            self.assertEqual(len(world.arrivals), 1)
            self.assertEqual(world.owners.granted["u"], 100)
            self.assertEqual(world.balance.stored_tokens("t"), 100)  # returned unused

        self.run_script(script)

    def test_a_tenant_whose_limit_is_removed_needs_no_tokens(self):
        async def script(world: ConfiguredWorld) -> None:
            world.configure(1, tenant("t", "key-t"))
            world.open_s = 0.6
            await world.send_request("a", "key-t")
            world.configure(2, tenant("t", "key-t", rate=0))
            await asyncio.sleep(1.0)
            self.assertEqual(len(world.arrivals), 1)

        self.run_script(script)


EVENTS = (*PAIRS, ("pass 0.2", 0), ("pass 0.6", 0), ("freeze", 0), ("silence", 0), ("refill", 0))


def random_histories(count: int, seed: int) -> Iterator[tuple[random.Random, tuple[str, str], list[tuple[str, int]]]]:
    rng = random.Random(seed)
    for _ in range(count):
        kinds = rng.choice(list(ROUTES)), rng.choice(list(ROUTES))
        yield rng, kinds, [rng.choice(EVENTS) for _ in range(rng.randint(3, 9))]


async def play_event(world: MeteredWorld, event: str, index: int) -> None:
    if event.startswith("pass"):
        await asyncio.sleep(float(event.split()[1]))
    elif event == "freeze":
        world.loop.now += 0.7  # type: ignore[attr-defined]
        await asyncio.sleep(0)
    elif event == "silence":
        world.owners.silent = set() if world.owners.silent else set(ADDRESSES)
    elif event == "refill":
        world.owners.tokens["t"] += TOKENS
    else:
        await world.event(event, index)
        await asyncio.sleep(ANSWER_WAIT_S)


async def violations_of(rng: random.Random, kinds: tuple[str, str], events: list[tuple[str, int]]) -> list[str]:
    world = MeteredWorld(kinds)
    world.owners.tokens["t"] = rng.choice([0, TOKENS, 2 * TOKENS, 3 * TOKENS])
    world.owners.round_trip_s = rng.choice([0.002, 0.1, 0.4])
    world.open_s = rng.choice([0.0, 0.0, 0.3, 0.65])
    started = rng.sample(range(len(events)), 2)
    for position, (event, index) in enumerate(events):
        for name, at in zip("ab", sorted(started)):
            if at == position:
                await world.begin(name)
        if event not in ("time over", "client gone") or "ab"[index] in world.requests:
            await play_event(world, event, index)
        if violations := [*world.violations()]:
            return violations
    await asyncio.sleep(7.0)  # longer than every deadline
    return [*world.violations(), *world.quota_violations()]


def play(count: int, seed: int) -> list[str]:
    """Return the first history that violates an invariant, and its violations."""
    loop = VirtualLoop()

    async def play_all() -> list[str]:
        for rng, kinds, events in random_histories(count, seed):
            if violations := await violations_of(rng, kinds, events):
                return [f"{kinds} {events}", *violations]
        return []

    logging.disable(logging.WARNING)
    try:
        with metered():
            return loop.run_until_complete(play_all())
    finally:
        logging.disable(logging.NOTSET)
        loop.close()


class MeteredHistories(unittest.TestCase):
    def test_no_violation_in_random_histories(self):
        self.assertEqual(play(3000, 11), [])

    def assert_defect_detected(self, patch: object) -> None:
        with patch:  # type: ignore[attr-defined]
            self.assertTrue(play(3000, 11))

    def test_detects_a_permit_that_is_used_twice(self):
        self.assert_defect_detected(mock.patch.object(QuotaBalance, "redeem", lambda self, permit, now: permit.is_usable(now)))

    def test_detects_tokens_returned_after_a_request_may_have_run(self):
        def failed(request: ClientRequest, attempt: object) -> None:
            request.permit.reinstate()
            request.permit.refund()
            original(request, attempt)

        original = ClientRequest.on_failed
        self.assert_defect_detected(mock.patch.object(ClientRequest, "on_failed", failed))

    def test_detects_a_slot_that_is_not_freed(self):
        def expired(request: ClientRequest) -> None:
            request._attempt = None
            request._with_permit(request._services.scheduler.resume)

        self.assert_defect_detected(mock.patch.object(ClientRequest, "on_permit_expired", expired))


if __name__ == "__main__":
    unittest.main()
