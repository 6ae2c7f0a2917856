"""Requests of a tenant with a limit: none is written without a permit that lives, and no token is lost or used twice.

The real requests, router and quota client run on transports in memory (`test_exchange_model`) against owners that record what
they granted (`test_quota_client`).
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
from tests.system.test_quota_client import ADDRESSES, ControlPlanes

TOKENS = 100  # of each request
TENANT = Tenant("t", QuotaLimit(1000.0, 1000.0), QuotaUnit.TOKENS, TOKENS)
TARGET_MS = 1500  # of all routes: a request whose tokens come later than within half of it is refused early
RETRY_AFTER_MS = 1000  # of an owner without tokens
ANSWER_WAIT_S = 0.01  # by then an owner that is in reach has answered


class MeteredContext(RequestContext):
    """A request of the tenant."""

    __slots__ = ()

    def __init__(self, *facts: object) -> None:
        super().__init__(*facts)  # type: ignore[arg-type]
        self.tenant = TENANT


class Arrivals(list[tuple[str, str]]):
    """What backends received; notes what was written later than any grant lives."""

    def __init__(self, world: MeteredWorld) -> None:
        super().__init__()
        self._world = world

    def append(self, arrival: tuple[str, str]) -> None:
        super().append(arrival)
        if self._world.loop.time() >= self._world.planes.last_end:
            self._world.late_writes.append(arrival[0])


class MeteredWorld(World):
    """The world of the exchange model, with owners of quotas.

    Attributes:
        planes: The owners.
        open_s: What opening a connection takes.
        late_writes: Requests that were written although every grant was over.
    """

    def __init__(self, kinds: tuple[str, str]) -> None:
        super().__init__(kinds)
        self.planes = ControlPlanes()
        self.planes.retry_after_ms = RETRY_AFTER_MS
        self.router.quotas._http = self.planes  # type: ignore[assignment]
        table = build_route_table(Document(1, configuration(1)))
        self.router.apply_snapshot(
            dataclasses.replace(self.router.snapshot, table=table, control_epoch=1, control_addresses=ADDRESSES)
        )
        self.planes.tokens["t"] = 1000
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
        """Let no backend take requests any more."""
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
        """Tokens of what arrived at a backend that may have run it."""
        return TOKENS * (len(self.arrivals) - sum(self.unexecuted.values()))

    def quota_violations(self) -> Iterator[str]:
        """Yield what is wrong once both requests have ended."""
        kept = self.balance.stored_tokens("t") + self.planes.returned.get("t", 0) + self.planes.lost
        granted = self.planes.granted.get("t", 0)
        if self.used() + kept != granted:
            yield f"{granted} tokens granted, {self.used()} used, {kept} kept, returned or lost"
        if self.late_writes:
            yield f"{self.late_writes} written after every grant was over"
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


def scripted(script: Callable[[MeteredWorld], Awaitable[None]], kinds: tuple[str, str] = ("safe", "unsafe")) -> None:
    """Run a script in a world with a clock of its own; at the end no token is missing and no slot is taken."""
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
            self.assertEqual((len(world.arrivals), world.planes.granted["t"]), (1, TOKENS))
            await world.event("answer", 0)
            self.assertEqual(world.clients["a"].status, 200)
            self.assertEqual(world.router.quotas.status()["permits"], 1)

        scripted(script)

    def test_beyond_the_quota_the_answer_is_429_and_nothing_is_sent(self):
        """QUOTA; a 429 is a promise that the request did not run."""

        async def script(world: MeteredWorld) -> None:
            world.planes.tokens["t"] = TOKENS - 1
            await world.begin("a")
            self.assertEqual((world.clients["a"].status, world.arrivals), (429, []))
            self.assertEqual(world.router.request_log.counters["over_quota"], 1)

        scripted(script)

    def test_a_request_without_a_limit_is_started_at_once_and_asks_nobody(self):
        async def script(world: MeteredWorld) -> None:
            head = parse_request_head(b"POST /safe/x HTTP/1.1\r\nHost: h\r\nRequest-Id: a\r\nContent-Length: 1\r\n\r\n")
            with mock.patch.object(router_module, "RequestContext", RequestContext):
                request = world.router.begin(world.clients["a"], head, b"a")
            self.assertIsNotNone(request._attempt)  # without a turn of the loop
            await world.run_callbacks()
            self.assertEqual((world.planes.asked, len(world.arrivals)), ([], 1))
            request.cancel()
            world.arrivals.clear()
            world.late_writes.clear()

        scripted(script)

    def test_a_client_that_leaves_while_its_request_waits_costs_nothing(self):
        async def script(world: MeteredWorld) -> None:
            world.planes.round_trip_s = 0.2
            await world.begin("a")
            await world.event("client gone", 0)
            await asyncio.sleep(0.3)
            self.assertEqual(world.arrivals, [])
            await world.begin("b")  # with the tokens that the first one left
            self.assertEqual((len(world.planes.asked), world.arrivals[0][0]), (1, "b"))
            await world.event("answer", 0)

        scripted(script)

    def test_a_deadline_while_the_request_waits_is_answered_as_not_run(self):
        async def script(world: MeteredWorld) -> None:
            world.planes.round_trip_s = 0.2
            await world.begin("a")
            await world.event("time over", 0)
            await asyncio.sleep(0.3)
            self.assertEqual((world.clients["a"].status, world.clients["a"].answers, world.arrivals), (503, 1, []))

        scripted(script)

    def test_a_shutdown_while_the_request_waits_is_answered_in_time(self):
        async def script(world: MeteredWorld) -> None:
            world.planes.silent |= set(ADDRESSES)
            await world.begin("a")
            world.router.begin_shutdown(world.loop.time() + 0.5)
            await asyncio.sleep(0.15)
            self.assertEqual((world.clients["a"].status, world.arrivals), (503, []))

        scripted(script)

    def test_without_any_owner_the_answer_is_429_within_the_wait(self):
        async def script(world: MeteredWorld) -> None:
            world.planes.silent |= set(ADDRESSES)
            await world.begin("a")
            await asyncio.sleep(0.7)
            self.assertEqual((world.clients["a"].status, world.arrivals), (429, []))

        scripted(script)

    def test_a_permit_that_expires_in_the_queue_is_asked_for_again_without_a_slot(self):
        async def script(world: MeteredWorld) -> None:
            snapshot = world.router.snapshot
            world.drain()
            await world.begin("a")
            await asyncio.sleep(0.8)  # longer than a grant lives
            self.assertEqual(world.arrivals, [])
            world.router.apply_snapshot(snapshot)
            await asyncio.sleep(ANSWER_WAIT_S)
            self.assertEqual((len(world.arrivals), len(world.planes.asked)), (1, 2))
            self.assertEqual(world.planes.returned["t"], TOKENS)
            await world.event("answer", 0)
            self.assertEqual(world.clients["a"].status, 200)

        with mock.patch.object(DeferredTokens, "try_add", lambda *facts: False):  # too much is queued without tokens
            scripted(script)

    def test_a_request_that_no_backend_can_take_yet_asks_when_it_starts(self):
        """Refused below the limit: tokens that expire in the queue come back to the owner only within a bound."""

        async def script(world: MeteredWorld) -> None:
            snapshot = world.router.snapshot
            world.drain()
            await world.begin("a")
            await asyncio.sleep(3.0)
            self.assertEqual(world.planes.asked, [])
            world.router.apply_snapshot(snapshot)
            await asyncio.sleep(ANSWER_WAIT_S)
            self.assertEqual((len(world.arrivals), len(world.planes.asked)), (1, 1))
            await world.event("answer", 0)
            self.assertEqual(world.clients["a"].status, 200)
            self.assertEqual(world.router.quotas._deferred._tokens, {})

        scripted(script)

    def test_a_queued_request_that_ends_before_it_asks_is_forgotten(self):
        async def script(world: MeteredWorld) -> None:
            world.drain()
            await world.begin("a")
            await world.event("client gone", 0)
            self.assertEqual((world.planes.asked, world.router.quotas._deferred._tokens), ([], {}))

        scripted(script)

    def test_a_permit_that_expires_during_the_connect_writes_nothing_and_keeps_the_connection(self):
        """QUOTA: the clock is checked at the write, not at the decision."""

        async def script(world: MeteredWorld) -> None:
            world.open_s = 0.6
            await world.begin("a")
            await asyncio.sleep(0.6)
            await asyncio.sleep(ANSWER_WAIT_S)
            self.assertEqual((len(world.transports), len(world.arrivals)), (1, 1))  # the second start used the first connection
            self.assertEqual(len(world.planes.asked), 2)
            self.assertEqual(world.requests["a"].context.state.sends, 1)
            await world.event("answer", 0)
            self.assertEqual(world.clients["a"].status, 200)

        scripted(script)

    def test_a_process_that_stood_still_writes_nothing_with_its_former_permit(self):
        """QUOTA: a thawed holder."""

        async def script(world: MeteredWorld) -> None:
            world.open_s = 0.1
            await world.begin("a")
            world.planes.tokens["t"] = 0
            world.loop.now += 2.0  # type: ignore[attr-defined]
            await asyncio.sleep(0.2)
            self.assertEqual((world.clients["a"].status, world.arrivals), (429, []))

        scripted(script)

    def test_a_retry_after_not_executed_keeps_its_permit(self):
        async def script(world: MeteredWorld) -> None:
            await world.begin("a")
            await world.event("not executed", 0)
            self.assertEqual((len(world.arrivals), world.planes.granted["t"], len(world.planes.asked)), (2, TOKENS, 1))
            await world.event("answer", 1)
            self.assertEqual(world.clients["a"].status, 200)

        scripted(script)

    # Guards against QUOTA: a permit of one request unit paid for thousands of tokens after the tenant's unit had changed.
    def test_a_permit_for_fewer_tokens_than_the_request_costs_now_is_no_permit(self):
        async def script(world: MeteredWorld) -> None:
            world.drain()
            with mock.patch.object(DeferredTokens, "try_add", lambda *arguments: False):
                await world.begin("a")
            request = world.requests["a"]
            self.assertTrue(request._has_usable_permit())
            with mock.patch.object(RequestContext, "quota_tokens", 2 * TOKENS):
                self.assertFalse(request._has_usable_permit())

        scripted(script)

    # Guards against a model that stays shut: a request that ended for want of a retry budget kept its slot.
    def test_a_retry_without_budget_is_rejected_and_frees_its_slot(self):
        async def script(world: MeteredWorld) -> None:
            await world.begin("a")
            with mock.patch.object(RetryBudget, "try_spend", lambda *arguments: False):
                await world.event("not executed", 0)
            self.assertEqual(world.clients["a"].status, 503)
            self.assertEqual([queue.running for queue in world.router.queue.by_model.values()], [0])

        scripted(script)

    def test_a_retry_after_it_may_have_run_needs_a_new_permit(self):
        """QUOTA: a retry counts again, as it arrives again."""

        async def script(world: MeteredWorld) -> None:
            await world.begin("a")
            await world.event("reset", 0)
            await asyncio.sleep(ANSWER_WAIT_S)
            self.assertEqual((len(world.arrivals), world.planes.granted["t"]), (2, 2 * TOKENS))
            await world.event("answer", 1)
            self.assertEqual(world.clients["a"].status, 200)

        scripted(script)

    def test_a_retry_without_a_new_permit_is_no_429_as_it_may_have_run(self):
        """DOUBLE: after a 429 a client sends again."""

        async def script(world: MeteredWorld) -> None:
            world.planes.tokens["t"] = TOKENS
            await world.begin("a")
            await world.event("reset", 0)
            await asyncio.sleep(ANSWER_WAIT_S)
            self.assertEqual((world.clients["a"].status, len(world.arrivals)), (502, 1))

        scripted(script)

    def test_a_stream_that_is_not_resumed_for_want_of_tokens_does_not_look_complete(self):
        async def script(world: MeteredWorld) -> None:
            world.planes.tokens["t"] = TOKENS
            await world.begin("a")
            await world.event("half and reset", 0)
            await asyncio.sleep(ANSWER_WAIT_S)
            self.assertTrue(world.clients["a"].broken)
            self.assertFalse(world.clients["a"].complete)

        scripted(script, ("resumable", "unsafe"))

    def test_a_request_that_ends_unwritten_gives_its_tokens_back(self):
        async def script(world: MeteredWorld) -> None:
            world.planes.tokens["t"] = TOKENS
            world.open_s = 0.05
            await world.begin("a")
            await world.event("client gone", 0)
            await world.begin("b")
            await asyncio.sleep(0.1)
            self.assertEqual([name for name, _ in world.arrivals], ["b"])
            self.assertEqual(world.planes.granted["t"], TOKENS)

        scripted(script)


class ConfiguredWorld(MeteredWorld):
    """The same with tenants of a configuration."""

    def configure(self, version: int, *tenants: dict[str, object]) -> None:
        value = configuration(version, *tenants)
        table = build_route_table(Document(version, value), TenantTableBuilder(KeyDigester(b"k" * 32)).build(value))
        snapshot = dataclasses.replace(self.router.snapshot, table=table, confirmed_at=self.loop.time())
        self.router.apply_snapshot(snapshot)

    async def ask(self, name: str, key: str, usage: str = "60,40") -> None:
        lines = ("POST /safe/x HTTP/1.1", "Host: h", f"Request-Id: {name}", "Content-Length: 1", f"Authorization: Bearer {key}")
        head = parse_request_head("\r\n".join((*lines, f"Token-Usage: {usage}", "", "")).encode())
        self.requests[name] = self.router.begin(self.clients[name], head, name.encode())
        await asyncio.sleep(ANSWER_WAIT_S)


def tenant(name: str, *keys: str, unit: str = "token_count", rate: int = 1000) -> dict[str, object]:
    return {"name": name, "api_keys": list(keys), "rate_per_s": rate, "burst": rate, "unit": unit}


class ConfiguredRequests(unittest.TestCase):
    """With keys and limits of a configuration."""

    def scripted(self, script: Callable[[ConfiguredWorld], Awaitable[None]]) -> None:
        loop = VirtualLoop()

        async def play() -> None:
            await script(ConfiguredWorld(("safe", "safe")))

        try:
            loop.run_until_complete(play())
        finally:
            loop.close()

    def test_a_request_costs_its_two_numbers_or_one_by_the_unit(self):
        async def script(world: ConfiguredWorld) -> None:
            world.configure(1, tenant("t", "key-t"), tenant("u", "key-u", unit=""))
            world.planes.tokens |= {"t": 1000, "u": 1000}
            await world.ask("a", "key-t", "60,40")
            await world.ask("b", "key-u", "60,40")
            self.assertEqual(world.planes.granted, {"t": 100, "u": 1})
            self.assertEqual(len(world.arrivals), 2)

        self.scripted(script)

    def test_a_tenant_without_a_limit_is_not_asked_for(self):
        async def script(world: ConfiguredWorld) -> None:
            world.configure(1, tenant("t", "key-t", rate=0))
            await world.ask("a", "key-t")
            self.assertEqual((world.planes.asked, len(world.arrivals)), ([], 1))

        self.scripted(script)

    def test_a_key_taken_away_while_its_request_waits_for_tokens_runs_nothing(self):
        """CONFIG and QUOTA at once: the tokens come, the key is gone."""

        async def script(world: ConfiguredWorld) -> None:
            world.configure(1, tenant("t", "key-t"))
            world.planes.round_trip_s = 0.2
            await world.ask("a", "key-t")
            world.configure(2, tenant("t", "another"))
            await asyncio.sleep(0.3)
            self.assertEqual((world.clients["a"].status, world.arrivals), (401, []))

        self.scripted(script)

    def test_a_key_passed_on_while_its_request_waits_spends_the_new_tenants_tokens(self):
        """QUOTA: a permit of the former tenant does not stand in."""

        async def script(world: ConfiguredWorld) -> None:
            world.configure(1, tenant("t", "key"), tenant("u", "key-u"))
            world.planes.tokens |= {"t": 1000, "u": 1000}
            world.planes.round_trip_s = 0.2
            await world.ask("a", "key")
            world.configure(2, tenant("t", "key-t"), tenant("u", "key"))
            await asyncio.sleep(0.5)
            self.assertEqual(len(world.arrivals), 1)
            self.assertEqual(world.planes.granted["u"], 100)
            self.assertEqual(world.balance.stored_tokens("t"), 100)  # given back unused

        self.scripted(script)

    def test_a_tenant_that_loses_its_limit_needs_no_tokens_any_more(self):
        async def script(world: ConfiguredWorld) -> None:
            world.configure(1, tenant("t", "key-t"))
            world.open_s = 0.6
            await world.ask("a", "key-t")
            world.configure(2, tenant("t", "key-t", rate=0))
            await asyncio.sleep(1.0)
            self.assertEqual(len(world.arrivals), 1)

        self.scripted(script)


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
        world.planes.silent = set() if world.planes.silent else set(ADDRESSES)
    elif event == "refill":
        world.planes.tokens["t"] += TOKENS
    else:
        await world.event(event, index)
        await asyncio.sleep(ANSWER_WAIT_S)


async def violations_of(rng: random.Random, kinds: tuple[str, str], events: list[tuple[str, int]]) -> list[str]:
    world = MeteredWorld(kinds)
    world.planes.tokens["t"] = rng.choice([0, TOKENS, 2 * TOKENS, 3 * TOKENS])
    world.planes.round_trip_s = rng.choice([0.002, 0.1, 0.4])
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
    await asyncio.sleep(7.0)  # every deadline passes
    return [*world.violations(), *world.quota_violations()]


def play(count: int, seed: int) -> list[str]:
    """Return what is wrong in the first history that violates an invariant."""
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

    def assert_defect_found(self, patch: object) -> None:
        with patch:  # type: ignore[attr-defined]
            self.assertTrue(play(3000, 11))

    def test_finds_a_permit_that_is_used_twice(self):
        self.assert_defect_found(mock.patch.object(QuotaBalance, "redeem", lambda self, permit, now: permit.is_usable(now)))

    def test_finds_tokens_given_back_after_a_request_may_have_run(self):
        def failed(request: ClientRequest, attempt: object) -> None:
            request._services.permits.reinstate(request._permit)
            request._services.permits.refund(request._permit)
            original(request, attempt)

        original = ClientRequest.on_failed
        self.assert_defect_found(mock.patch.object(ClientRequest, "on_failed", failed))

    def test_finds_a_slot_that_is_not_freed(self):
        def expired(request: ClientRequest) -> None:
            request.context.state.unsent()
            request._attempt = None
            request._with_permit(request._services.scheduler.resume)

        self.assert_defect_found(mock.patch.object(ClientRequest, "on_permit_expired", expired))


if __name__ == "__main__":
    unittest.main()
