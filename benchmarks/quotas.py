"""Measure the cost of quotas in a simulation with a partition: leases, fixed shares, and one query to the owner per request.

Usage:
  quotas [--quick] [--seed N]

Options:
  --quick   A shorter simulation with fewer data planes.
  --seed N  Seed of the arrivals [default: 1].

The real quota clients and owners run in virtual time. Tenants request 0.7 of their rate, except for one that requests three
times its rate. A control-plane node is partitioned for a third of the time; after a view change the others own its tenants. All
strategies get the same requests; a rejected client retries once after `Retry-After`. The table counts tokens of the tenants
below their limit. The last line is JSON with "holds"; the exit status is 1 if an objective is missed.
"""

from __future__ import annotations

import asyncio
import json
import logging
import random
import sys
from collections import defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from statistics import quantiles

from docopt import docopt
from result import Ok
from rich.console import Console
from rich.table import Table

from mulleinhatch.data_plane.permit_patience import RATE_OVERCOMMIT, Patience
from mulleinhatch.data_plane.permit_waits import Outcome, PermitWait
from mulleinhatch.data_plane.quota_client import QUERY_TIMEOUT_S, QuotaClient
from mulleinhatch.membership.view_timing import AUTHORITY_S, HANDOVER_S, VIEW_CHANGE_S
from mulleinhatch.messages.cluster import QuotaNeed, QuotaRequest, QuotaResponse
from mulleinhatch.networking.http_client import HttpCallError, HttpResponse
from mulleinhatch.process.settings import Bounds, Settings
from mulleinhatch.quotas.limits import GRANT_LIFETIME_S, QuotaBounds, bucket_capacity, refill_rate
from mulleinhatch.quotas.owner import OwnerView, QuotaOwner
from mulleinhatch.quotas.owner_directory import OwnerDirectory
from mulleinhatch.quotas.token_bucket import TokenBucket
from mulleinhatch.simulation.virtual_time import VirtualLoop
from mulleinhatch.tenants.tenant import QuotaLimit, QuotaUnit, Tenant

BOUNDS = QuotaBounds(window_s=8.0, overage=0.1, slack=17_000.0)
ROUND_TRIP_S = 0.003  # round trip to a control-plane node
TARGET_S, DEADLINE_S = 0.8, 5.0
MIN_TOKENS, MAX_TOKENS = 1200, 3600  # per request
LARGE = QuotaLimit(150_000.0, 150_000.0)
SMALL = QuotaLimit(4_200.0, 4_200.0)
HOT, HOT_LOAD, USUAL_LOAD = "small-0", 3.0, 0.7
WARM_UP_S = 8.0  # time for the buckets to fill before the first request
CONTROL_PLANES = tuple(f"control-{number}:1" for number in range(5))
MAX_ADDED_P50_MS = 5.0


@dataclass(frozen=True)
class Scenario:
    """The simulated deployment.

    Attributes:
        data_planes: Number of data planes that share the limits.
        seconds: Duration of the traffic.
        large_tenants: Tenants with the large limit.
        small_tenants: Tenants with the small limit.
    """

    data_planes: int
    seconds: float
    large_tenants: int
    small_tenants: int

    def limits(self) -> dict[str, QuotaLimit]:
        """Return the limit of each tenant."""
        large = {f"large-{number}": LARGE for number in range(self.large_tenants)}
        return large | {f"small-{number}": SMALL for number in range(self.small_tenants)}


FULL_SCENARIO, QUICK_SCENARIO = Scenario(89, 90.0, 3, 13), Scenario(30, 30.0, 1, 7)


@dataclass(frozen=True)
class Arrival:
    """One request of a client: when and to which data plane it is first sent, and which data plane gets the retry."""

    at: float
    tenant: str
    tokens: int
    data_plane: int
    second_data_plane: int


def arrivals(scenario: Scenario, seed: int) -> list[Arrival]:
    """Return all requests, ordered by time."""
    source = random.Random(seed)
    requests: list[Arrival] = []
    for tenant, limit in scenario.limits().items():
        load = HOT_LOAD if tenant == HOT else USUAL_LOAD
        mean_s = (MIN_TOKENS + MAX_TOKENS) / 2 / (load * limit.rate_per_s)
        at = WARM_UP_S + source.expovariate(1 / mean_s)
        while at < WARM_UP_S + scenario.seconds:
            planes = source.randrange(scenario.data_planes), source.randrange(scenario.data_planes)
            requests.append(Arrival(at, tenant, source.randint(MIN_TOKENS, MAX_TOKENS), *planes))
            at += source.expovariate(1 / mean_s)
    return sorted(requests, key=lambda request: request.at)


@dataclass
class Measured:
    """Measurements of one strategy. Tokens are those of tenants below their limit, unless stated otherwise.

    Attributes:
        requested: Tokens of all requests.
        granted: Tokens granted by owners or added to fixed shares, for all tenants.
        run: Tokens of requests that were executed.
        run_by_retry: Tokens of requests that were executed by their retry.
        rejected: Tokens of requests that were never executed.
        stranded: Most tokens of a tenant that data planes held while one of its requests was rejected.
        added_s: Times from the arrival of an executed request at a data plane to its permit.
        uses: Times and numbers of used tokens by tenant, for all tenants.
    """

    requested: int = 0
    granted: int = 0
    run: int = 0
    run_by_retry: int = 0
    rejected: int = 0
    stranded: int = 0
    added_s: list[float] = field(default_factory=list)
    uses: dict[str, list[tuple[float, int]]] = field(default_factory=lambda: defaultdict(list))

    def max_quota_utilization(self, limits: dict[str, QuotaLimit]) -> float:
        """Return the most tokens used in any window, as a fraction of the allowed ones."""
        return max(
            (max_tokens_in_window(uses, BOUNDS.window_s) / BOUNDS.allowed(limits[name]) for name, uses in self.uses.items()),
            default=0,
        )


def max_tokens_in_window(uses: list[tuple[float, int]], window_s: float) -> int:
    """Return the most tokens that were used in one window.

    >>> max_tokens_in_window([(0.0, 5), (1.0, 5), (8.5, 5)], 8.0)
    10
    """
    most = total = first = 0
    ordered = sorted(uses)
    for moment, tokens in ordered:
        total += tokens
        while ordered[first][0] <= moment - window_s:
            total -= ordered[first][1]
            first += 1
        most = max(most, total)
    return most


class ControlPlanes:
    """Simulates the control-plane nodes, one of them partitioned; data planes use it as their `HttpClient`.

    Args:
        limits: Limits of all tenants.
    """

    def __init__(self, limits: dict[str, QuotaLimit]) -> None:
        self._loop = asyncio.get_running_loop()
        tenants = {name: Tenant(name, limit, QuotaUnit.TOKENS, MIN_TOKENS) for name, limit in limits.items()}
        self._tenants = tenants
        self.epoch, self.addresses = 0, CONTROL_PLANES
        self.owners = {address: QuotaOwner(BOUNDS, AUTHORITY_S) for address in CONTROL_PLANES}
        self.partitioned: set[str] = set()
        self.granted = 0
        self.on_view: list[Callable[[], None]] = []
        self.change_view(CONTROL_PLANES)

    def change_view(self, addresses: tuple[str, ...]) -> None:
        """Install a view at its control-plane nodes, and notify the data planes."""
        self.epoch, self.addresses = self.epoch + 1, addresses
        for address in addresses:
            self.owners[address].update(OwnerView(self.epoch, address, addresses), self._tenants, 1, self._loop.time())
        for notify in self.on_view:
            notify()

    def partition(self, address: str) -> None:
        """Partition a control-plane node; a view without it follows after the time of a view change."""
        self.partitioned.add(address)
        rest = tuple(one for one in CONTROL_PLANES if one != address)
        self._loop.call_later(VIEW_CHANGE_S, self.change_view, rest)

    def heal(self, address: str) -> None:
        """End the partition: the node joins in the next view."""
        self.partitioned.discard(address)
        self.change_view(CONTROL_PLANES)

    def forget(self, address: str) -> None:
        """Do nothing: no connection is kept."""

    async def request(self, address: str, method: str, path: str, body: bytes, timeout_s: float) -> HttpResponse:
        """Answer a quota request.

        Raises:
            HttpCallError: The control-plane node is partitioned.
        """
        if address in self.partitioned:
            await asyncio.sleep(timeout_s)
            raise HttpCallError(address, "no answer")
        await asyncio.sleep(ROUND_TRIP_S / 2)
        query = QuotaRequest().parse(body)
        grants = self.owners[address].answer(query, self._loop.time())
        for need, grant in zip(query.needs, grants, strict=True):
            self.granted += sum(need.request_tokens[: grant.granted_requests]) + grant.ahead_tokens
        await asyncio.sleep(ROUND_TRIP_S / 2)
        return HttpResponse(200, None, bytes(QuotaResponse(self.epoch, True, grants, list(self.addresses))))


class Leases:
    """The strategy of the system: a `QuotaClient` at each data plane."""

    def __init__(self, scenario: Scenario, control_planes: ControlPlanes) -> None:
        self._loop, self._scenario, self._control_planes = asyncio.get_running_loop(), scenario, control_planes
        self._limits = scenario.limits()
        settings = Settings("d", "10.0.0.9", "z", "r", {}, "10.0.0.9:1", (), False, False, 1, 1.0, "", 100, 100.0, {}, Bounds())
        self._clients = [QuotaClient(settings, control_planes, self._loop) for _ in range(scenario.data_planes)]  # type: ignore[arg-type]
        control_planes.on_view.append(self._on_view)
        self._on_view()

    def _on_view(self) -> None:
        for client in self._clients:
            client.update(self._control_planes.epoch, self._control_planes.addresses, 1, self._limits)

    async def acquire(self, tenant: str, tokens: int, data_plane: int, deadline: float, is_retry: bool) -> float | None:
        """Return None if a permit was granted and redeemed, else the seconds of `Retry-After`."""
        client, now = self._clients[data_plane], self._loop.time()
        rate_per_s = RATE_OVERCOMMIT * self._limits[tenant].rate_per_s / self._scenario.data_planes
        patience = Patience(now, TARGET_S, deadline, is_retry, rate_per_s)
        late: asyncio.Future[Outcome] = self._loop.create_future()
        outcome = client.acquire(tenant, tokens, patience, late.set_result)
        result = await late if isinstance(outcome, PermitWait) else outcome
        if not isinstance(result, Ok):
            return result.err_value.retry_after_s
        return None if client.redeem(result.ok_value) else 0.05

    def held_tokens(self, tenant: str) -> int:
        """Return the tokens of a tenant that data planes hold."""
        now = self._loop.time()
        return sum(client._balance.live_tokens(tenant, now) for client in self._clients)

    def granted_tokens(self) -> int:
        """Return the tokens that were granted."""
        return self._control_planes.granted


class FixedShares:
    """An equal share of each limit at each data plane."""

    def __init__(self, scenario: Scenario, control_planes: ControlPlanes) -> None:
        self._loop = asyncio.get_running_loop()
        self._began_at, self._limits = self._loop.time(), scenario.limits()
        self._buckets = {
            tenant: [self._bucket(limit, scenario.data_planes) for _ in range(scenario.data_planes)]
            for tenant, limit in self._limits.items()
        }

    def _bucket(self, limit: QuotaLimit, shares: int) -> TokenBucket:
        rate, capacity = refill_rate(limit, BOUNDS, GRANT_LIFETIME_S), bucket_capacity(limit, BOUNDS, GRANT_LIFETIME_S)
        return TokenBucket(rate / shares, capacity / shares, level=0.0, updated_at=self._began_at)

    async def acquire(self, tenant: str, tokens: int, data_plane: int, deadline: float, is_retry: bool) -> float | None:
        """Return None if tokens were taken, else the seconds of `Retry-After`."""
        now, bucket = self._loop.time(), self._buckets[tenant][data_plane]
        if bucket.try_take(tokens, now):
            return None
        return min(bucket.seconds_until(tokens, now), (deadline - now) / 3)

    def held_tokens(self, tenant: str) -> int:
        """Return the tokens of a tenant that data planes hold."""
        for bucket in self._buckets[tenant]:
            bucket.refill(self._loop.time())
        return int(sum(max(0.0, bucket.level) for bucket in self._buckets[tenant]))

    def granted_tokens(self) -> int:
        """Return the tokens that were added to all shares."""
        passed_s = self._loop.time() - self._began_at
        return int(sum(refill_rate(limit, BOUNDS, GRANT_LIFETIME_S) * passed_s for limit in self._limits.values()))


class OwnerQueryPerRequest:
    """A query to the owner for each request; without an answer or tokens it is rejected, with the `Retry-After` of leases.

    Its additional rejections compared with leases show the value of waiting; those of fixed shares, that of sharing tokens.
    """

    def __init__(self, scenario: Scenario, control_planes: ControlPlanes) -> None:
        self._loop, self._control_planes, self._directory = asyncio.get_running_loop(), control_planes, OwnerDirectory()
        control_planes.on_view.append(self._on_view)
        self._on_view()

    def _on_view(self) -> None:
        self._directory.update(self._control_planes.epoch, self._control_planes.addresses)

    async def acquire(self, tenant: str, tokens: int, data_plane: int, deadline: float, is_retry: bool) -> float | None:
        """Return None if tokens were taken, else the seconds of `Retry-After`."""
        query = QuotaRequest(node="d", configuration_version=1, needs=[QuotaNeed(tenant=tenant, request_tokens=[tokens])])
        owner = self._directory.owner_of(tenant)
        try:
            answer = await self._control_planes.request(owner, "POST", "", bytes(query), QUERY_TIMEOUT_S)
        except HttpCallError:
            return min(HANDOVER_S, (deadline - self._loop.time()) / 3)
        grant = QuotaResponse().parse(answer.body).grants[0]
        return None if grant.granted_requests else min(grant.retry_after_ms / 1000, (deadline - self._loop.time()) / 3)

    def held_tokens(self, tenant: str) -> int:
        """Return 0: data planes hold no tokens."""
        return 0

    def granted_tokens(self) -> int:
        """Return the tokens that were granted."""
        return self._control_planes.granted


STRATEGIES = {"leases": Leases, "fixed part 1/N": FixedShares, "ask each time": OwnerQueryPerRequest}


async def _run_strategy(
    scenario: Scenario, requests: list[Arrival], strategy_type: type[Leases] | type[FixedShares] | type[OwnerQueryPerRequest]
) -> Measured:
    loop, measured = asyncio.get_running_loop(), Measured()
    control_planes = ControlPlanes(scenario.limits())
    strategy = strategy_type(scenario, control_planes)
    directory = OwnerDirectory()
    directory.update(1, CONTROL_PLANES)
    partitioned = directory.owner_of("large-0")
    loop.call_at(WARM_UP_S + scenario.seconds / 3, control_planes.partition, partitioned)
    loop.call_at(WARM_UP_S + 2 * scenario.seconds / 3, control_planes.heal, partitioned)

    async def send(request: Arrival) -> None:
        counted = request.tenant != HOT
        deadline = loop.time() + DEADLINE_S
        for data_plane, is_retry in ((request.data_plane, False), (request.second_data_plane, True)):
            sent_at = loop.time()
            retry_after_s = await strategy.acquire(request.tenant, request.tokens, data_plane, deadline, is_retry)
            if retry_after_s is None:
                measured.uses[request.tenant].append((loop.time(), request.tokens))
                if counted:
                    measured.run += request.tokens
                    measured.run_by_retry += request.tokens if is_retry else 0
                    measured.added_s.append(loop.time() - sent_at)
                return
            if counted:
                measured.stranded = max(measured.stranded, strategy.held_tokens(request.tenant))
            if loop.time() + retry_after_s >= deadline:
                break
            await asyncio.sleep(retry_after_s)
        measured.rejected += request.tokens if counted else 0

    await _send_all(requests, send)
    measured.requested = sum(request.tokens for request in requests if request.tenant != HOT)
    measured.granted = strategy.granted_tokens()
    return measured


async def _send_all(requests: list[Arrival], send: Callable[[Arrival], Awaitable[None]]) -> None:
    loop, tasks = asyncio.get_running_loop(), []
    for request in requests:
        await asyncio.sleep(max(0.0, request.at - loop.time()))
        tasks.append(asyncio.ensure_future(send(request)))
    await asyncio.gather(*tasks)


def measure(scenario: Scenario, seed: int) -> dict[str, dict[str, float]]:
    """Return the figures of each strategy by name."""
    requests = arrivals(scenario, seed)
    figures: dict[str, dict[str, float]] = {}
    for name, strategy_type in STRATEGIES.items():
        loop = VirtualLoop()
        measured = loop.run_until_complete(_run_strategy(scenario, requests, strategy_type))
        loop.close()
        percentiles = quantiles(measured.added_s, n=100)
        figures[name] = {
            "tokens asked": measured.requested,
            "tokens granted, with the hot tenant's": measured.granted,
            "tokens run": measured.run,
            "of these after a refusal, %": round(100 * measured.run_by_retry / measured.requested, 3),
            "refused below the limit, %": round(100 * measured.rejected / measured.requested, 3),
            "stranded tokens at a refusal, most": measured.stranded,
            "most of the rule in a window": round(measured.max_quota_utilization(scenario.limits()), 3),
            "added time p50, ms": round(1000 * percentiles[49], 1),
            "added time p99, ms": round(1000 * percentiles[98], 1),
        }
    return figures


def objectives_met(figures: dict[str, dict[str, float]]) -> dict[str, bool]:
    """Return whether each objective is met."""
    leases, others = figures["leases"], [figures[name] for name in STRATEGIES if name != "leases"]
    refused = "refused below the limit, %"
    return {
        "leases keep the rule": leases["most of the rule in a window"] <= 1.0,
        "leases refuse least below the limit": all(leases[refused] <= other[refused] for other in others),
        f"leases add less than {MAX_ADDED_P50_MS} ms at p50": leases["added time p50, ms"] < MAX_ADDED_P50_MS,
    }


def main(argv: list[str] | None = None) -> int:
    """Run the simulation, print the table and the JSON line; return 1 if an objective is missed."""
    options = docopt(__doc__, argv)
    logging.disable(logging.WARNING)
    quick, seed = bool(options["--quick"]), int(options["--seed"])
    figures = measure(QUICK_SCENARIO if quick else FULL_SCENARIO, seed)
    table = Table("", *STRATEGIES)
    for name in figures["leases"]:
        table.add_row(name, *(f"{figures[strategy][name]:,}" for strategy in STRATEGIES))
    Console(width=110).print(table)
    holds = objectives_met(figures)
    print(json.dumps({"benchmark": "quotas", "quick": quick, "seed": seed, "figures": figures, "holds": holds}))
    return 0 if all(holds.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
