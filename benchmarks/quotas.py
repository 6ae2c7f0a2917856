"""Measure what quotas cost over a simulated day with a cut: leases, beside a fixed part a data plane and a question a request.

Usage:
  quotas [--quick] [--seed N]

Options:
  --quick   A shorter day of fewer data planes.
  --seed N  Seed of the arrivals [default: 1].

The real quota clients and owners play in virtual time. Tenants ask for seven tenths of their rate, one for three times it; a
control plane is cut off for a third of the day, and after the time of a view change the others own its tenants. The same
requests go all three ways; clients come back once, as `Retry-After` says. The table counts tokens of the tenants below their
limit; the last line is JSON with "holds", and the status is 1 where an objective is missed.
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
TRIP_S = 0.003  # to a control plane and back
TARGET_S, DEADLINE_S = 0.8, 5.0
MIN_TOKENS, MAX_TOKENS = 1200, 3600  # of a request
LARGE = QuotaLimit(150_000.0, 150_000.0)
SMALL = QuotaLimit(4_200.0, 4_200.0)
HOT, HOT_LOAD, USUAL_LOAD = "small-0", 3.0, 0.7
WARM_UP_S = 8.0  # before the first request: the buckets fill
CONTROL_PLANES = tuple(f"control-{number}:1" for number in range(5))
MAX_ADDED_P50_MS = 5.0


@dataclass(frozen=True)
class Day:
    """What is played.

    Attributes:
        data_planes: How many share the limits.
        seconds: Length of the day.
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


FULL_DAY, QUICK_DAY = Day(89, 90.0, 3, 13), Day(30, 30.0, 1, 7)


@dataclass(frozen=True)
class Arrival:
    """One request of a client: when it is sent first, to which data plane, and to which it comes back."""

    at: float
    tenant: str
    tokens: int
    data_plane: int
    second_data_plane: int


def arrivals(day: Day, seed: int) -> list[Arrival]:
    """Return the requests of a day in order of time."""
    source = random.Random(seed)
    requests: list[Arrival] = []
    for tenant, limit in day.limits().items():
        load = HOT_LOAD if tenant == HOT else USUAL_LOAD
        mean_s = (MIN_TOKENS + MAX_TOKENS) / 2 / (load * limit.rate_per_s)
        at = WARM_UP_S + source.expovariate(1 / mean_s)
        while at < WARM_UP_S + day.seconds:
            planes = source.randrange(day.data_planes), source.randrange(day.data_planes)
            requests.append(Arrival(at, tenant, source.randint(MIN_TOKENS, MAX_TOKENS), *planes))
            at += source.expovariate(1 / mean_s)
    return sorted(requests, key=lambda request: request.at)


@dataclass
class Measured:
    """What one way did. Tokens are of the tenants below their limit, but for the rule, which counts all.

    Attributes:
        asked: Tokens of all requests.
        granted: Tokens that left owners' buckets or were held as a part; those of all tenants.
        run: Tokens of requests that ran.
        refused_once: Tokens of requests that ran when they came back.
        refused: Tokens of requests that never ran.
        stranded: Most tokens of a tenant that other data planes held while one of its requests was refused.
        added_s: Time from the first sending at a data plane to the permit there, of requests that ran.
        uses: When tokens were used, by tenant.
    """

    asked: int = 0
    granted: int = 0
    run: int = 0
    refused_once: int = 0
    refused: int = 0
    stranded: int = 0
    added_s: list[float] = field(default_factory=list)
    uses: dict[str, list[tuple[float, int]]] = field(default_factory=lambda: defaultdict(list))

    def part_of_rule(self, limits: dict[str, QuotaLimit]) -> float:
        """Return the most that was used in any window, as a part of what the rule allows."""
        return max(
            (most_in_window(uses, BOUNDS.window_s) / BOUNDS.allowed(limits[name]) for name, uses in self.uses.items()),
            default=0,
        )


def most_in_window(uses: list[tuple[float, int]], window_s: float) -> int:
    """Return the most tokens that were used within a window.

    >>> most_in_window([(0.0, 5), (1.0, 5), (8.5, 5)], 8.0)
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


class Core:
    """The control planes, and one that is cut off; an `HttpClient` to data planes.

    Args:
        limits: Of all tenants.
    """

    def __init__(self, limits: dict[str, QuotaLimit]) -> None:
        self._loop = asyncio.get_running_loop()
        tenants = {name: Tenant(name, limit, QuotaUnit.TOKENS, MIN_TOKENS) for name, limit in limits.items()}
        self._tenants = tenants
        self.epoch, self.addresses = 0, CONTROL_PLANES
        self.owners = {address: QuotaOwner(BOUNDS, AUTHORITY_S) for address in CONTROL_PLANES}
        self.silent: set[str] = set()
        self.granted = 0
        self.on_view: list[Callable[[], None]] = []
        self.change_view(CONTROL_PLANES)

    def change_view(self, addresses: tuple[str, ...]) -> None:
        """Put a view into force at all control planes that are in contact, and tell the data planes."""
        self.epoch, self.addresses = self.epoch + 1, addresses
        for address in addresses:
            self.owners[address].update(OwnerView(self.epoch, address, addresses), self._tenants, 1, self._loop.time())
        for notify in self.on_view:
            notify()

    def cut(self, address: str) -> None:
        """Cut a control plane off; the others replace it."""
        self.silent.add(address)
        rest = tuple(one for one in CONTROL_PLANES if one != address)
        self._loop.call_later(VIEW_CHANGE_S, self.change_view, rest)

    def heal(self, address: str) -> None:
        """End the cut: the machine joins in the next view."""
        self.silent.discard(address)
        self.change_view(CONTROL_PLANES)

    def forget(self, address: str) -> None:
        """No connection is kept."""

    async def request(self, address: str, method: str, path: str, body: bytes, timeout_s: float) -> HttpResponse:
        """Answer a question.

        Raises:
            HttpCallError: The control plane is cut off.
        """
        if address in self.silent:
            await asyncio.sleep(timeout_s)
            raise HttpCallError(address, "no answer")
        await asyncio.sleep(TRIP_S / 2)
        question = QuotaRequest().parse(body)
        grants = self.owners[address].answer(question, self._loop.time())
        for need, grant in zip(question.needs, grants, strict=True):
            self.granted += sum(need.request_tokens[: grant.granted_requests]) + grant.ahead_tokens
        await asyncio.sleep(TRIP_S / 2)
        return HttpResponse(200, None, bytes(QuotaResponse(self.epoch, True, grants, list(self.addresses))))


class Leases:
    """The system's way: `QuotaClient` at each data plane."""

    def __init__(self, day: Day, core: Core) -> None:
        self._loop, self._day, self._core = asyncio.get_running_loop(), day, core
        self._limits = day.limits()
        settings = Settings("d", "10.0.0.9", "z", "r", {}, "10.0.0.9:1", (), False, False, 1, 1.0, "", 100, 100.0, {}, Bounds())
        self._clients = [QuotaClient(settings, core, self._loop) for _ in range(day.data_planes)]  # type: ignore[arg-type]
        core.on_view.append(self._on_view)
        self._on_view()

    def _on_view(self) -> None:
        for client in self._clients:
            client.update(self._core.epoch, self._core.addresses, 1, self._limits)

    async def acquire(self, tenant: str, tokens: int, data_plane: int, deadline: float, is_retry: bool) -> float | None:
        """Return None with a permit that is used at once, else the seconds of `Retry-After`."""
        client, now = self._clients[data_plane], self._loop.time()
        rate_per_s = RATE_OVERCOMMIT * self._limits[tenant].rate_per_s / self._day.data_planes
        patience = Patience(now, TARGET_S, deadline, is_retry, rate_per_s)
        late: asyncio.Future[Outcome] = self._loop.create_future()
        outcome = client.acquire(tenant, tokens, patience, late.set_result)
        known = await late if isinstance(outcome, PermitWait) else outcome
        if not isinstance(known, Ok):
            return known.err_value.retry_after_s
        return None if client.redeem(known.ok_value) else 0.05

    def held(self, tenant: str) -> int:
        """Return the tokens of a tenant that data planes hold."""
        now = self._loop.time()
        return sum(client._balance.live_tokens(tenant, now) for client in self._clients)

    def granted(self) -> int:
        """Return the tokens that were granted."""
        return self._core.granted


class FixedParts:
    """An even part of each limit at each data plane."""

    def __init__(self, day: Day, core: Core) -> None:
        self._loop = asyncio.get_running_loop()
        self._began_at, self._limits = self._loop.time(), day.limits()
        self._buckets = {
            tenant: [self._bucket(limit, day.data_planes) for _ in range(day.data_planes)]
            for tenant, limit in self._limits.items()
        }

    def _bucket(self, limit: QuotaLimit, parts: int) -> TokenBucket:
        rate, capacity = refill_rate(limit, BOUNDS, GRANT_LIFETIME_S), bucket_capacity(limit, BOUNDS, GRANT_LIFETIME_S)
        return TokenBucket(rate / parts, capacity / parts, level=0.0, updated_at=self._began_at)

    async def acquire(self, tenant: str, tokens: int, data_plane: int, deadline: float, is_retry: bool) -> float | None:
        """Return None with tokens, else the seconds of `Retry-After`."""
        now, bucket = self._loop.time(), self._buckets[tenant][data_plane]
        if bucket.try_take(tokens, now):
            return None
        return min(bucket.seconds_until(tokens, now), (deadline - now) / 3)

    def held(self, tenant: str) -> int:
        """Return the tokens of a tenant that data planes hold."""
        for bucket in self._buckets[tenant]:
            bucket.refill(self._loop.time())
        return int(sum(max(0.0, bucket.level) for bucket in self._buckets[tenant]))

    def granted(self) -> int:
        """Return what all parts were filled with."""
        passed_s = self._loop.time() - self._began_at
        return int(sum(refill_rate(limit, BOUNDS, GRANT_LIFETIME_S) * passed_s for limit in self._limits.values()))


class AskEachTime:
    """A question to the owner for each request; without an answer or tokens it is refused, with the `Retry-After` of leases.

    So what it refuses more shows what waiting is worth; what a fixed part refuses more, what sharing tokens is worth.
    """

    def __init__(self, day: Day, core: Core) -> None:
        self._loop, self._core, self._directory = asyncio.get_running_loop(), core, OwnerDirectory()
        core.on_view.append(self._on_view)
        self._on_view()

    def _on_view(self) -> None:
        self._directory.update(self._core.epoch, self._core.addresses)

    async def acquire(self, tenant: str, tokens: int, data_plane: int, deadline: float, is_retry: bool) -> float | None:
        """Return None with tokens, else the seconds of `Retry-After`."""
        question = QuotaRequest(node="d", configuration_version=1, needs=[QuotaNeed(tenant=tenant, request_tokens=[tokens])])
        owner = self._directory.owner_of(tenant)
        try:
            answer = await self._core.request(owner, "POST", "", bytes(question), QUERY_TIMEOUT_S)
        except HttpCallError:
            return min(HANDOVER_S, (deadline - self._loop.time()) / 3)
        grant = QuotaResponse().parse(answer.body).grants[0]
        return None if grant.granted_requests else min(grant.retry_after_ms / 1000, (deadline - self._loop.time()) / 3)

    def held(self, tenant: str) -> int:
        """Return 0: nothing is held."""
        return 0

    def granted(self) -> int:
        """Return the tokens that were granted."""
        return self._core.granted


WAYS = {"leases": Leases, "fixed part 1/N": FixedParts, "ask each time": AskEachTime}


async def _play(day: Day, requests: list[Arrival], way_type: type[Leases] | type[FixedParts] | type[AskEachTime]) -> Measured:
    loop, measured = asyncio.get_running_loop(), Measured()
    core = Core(day.limits())
    way = way_type(day, core)
    directory = OwnerDirectory()
    directory.update(1, CONTROL_PLANES)
    cut_off = directory.owner_of("large-0")
    loop.call_at(WARM_UP_S + day.seconds / 3, core.cut, cut_off)
    loop.call_at(WARM_UP_S + 2 * day.seconds / 3, core.heal, cut_off)

    async def send(request: Arrival) -> None:
        counted = request.tenant != HOT
        deadline = loop.time() + DEADLINE_S
        for data_plane, is_retry in ((request.data_plane, False), (request.second_data_plane, True)):
            sent_at = loop.time()
            retry_after_s = await way.acquire(request.tenant, request.tokens, data_plane, deadline, is_retry)
            if retry_after_s is None:
                measured.uses[request.tenant].append((loop.time(), request.tokens))
                if counted:
                    measured.run += request.tokens
                    measured.refused_once += request.tokens if is_retry else 0
                    measured.added_s.append(loop.time() - sent_at)
                return
            if counted:
                measured.stranded = max(measured.stranded, way.held(request.tenant))
            if loop.time() + retry_after_s >= deadline:
                break
            await asyncio.sleep(retry_after_s)
        measured.refused += request.tokens if counted else 0

    await _send_all(requests, send)
    measured.asked = sum(request.tokens for request in requests if request.tenant != HOT)
    measured.granted = way.granted()
    return measured


async def _send_all(requests: list[Arrival], send: Callable[[Arrival], Awaitable[None]]) -> None:
    loop, tasks = asyncio.get_running_loop(), []
    for request in requests:
        await asyncio.sleep(max(0.0, request.at - loop.time()))
        tasks.append(asyncio.ensure_future(send(request)))
    await asyncio.gather(*tasks)


def measure(day: Day, seed: int) -> dict[str, dict[str, float]]:
    """Return the figures of each way by name."""
    requests = arrivals(day, seed)
    figures: dict[str, dict[str, float]] = {}
    for name, way_type in WAYS.items():
        loop = VirtualLoop()
        measured = loop.run_until_complete(_play(day, requests, way_type))
        loop.close()
        cuts = quantiles(measured.added_s, n=100)
        figures[name] = {
            "tokens asked": measured.asked,
            "tokens granted, with the hot tenant's": measured.granted,
            "tokens run": measured.run,
            "of these after a refusal, %": round(100 * measured.refused_once / measured.asked, 3),
            "refused below the limit, %": round(100 * measured.refused / measured.asked, 3),
            "stranded tokens at a refusal, most": measured.stranded,
            "most of the rule in a window": round(measured.part_of_rule(day.limits()), 3),
            "added time p50, ms": round(1000 * cuts[49], 1),
            "added time p99, ms": round(1000 * cuts[98], 1),
        }
    return figures


def objectives_met(figures: dict[str, dict[str, float]]) -> dict[str, bool]:
    """Return whether each objective is met."""
    leases, others = figures["leases"], [figures[name] for name in WAYS if name != "leases"]
    refused = "refused below the limit, %"
    return {
        "leases keep the rule": leases["most of the rule in a window"] <= 1.0,
        "leases refuse least below the limit": all(leases[refused] <= other[refused] for other in others),
        f"leases add less than {MAX_ADDED_P50_MS} ms at p50": leases["added time p50, ms"] < MAX_ADDED_P50_MS,
    }


def main(argv: list[str] | None = None) -> int:
    """Play the day, print the table and the JSON line; return 1 if an objective is missed."""
    options = docopt(__doc__, argv)
    logging.disable(logging.WARNING)
    quick, seed = bool(options["--quick"]), int(options["--seed"])
    figures = measure(QUICK_DAY if quick else FULL_DAY, seed)
    table = Table("", *WAYS)
    for name in figures["leases"]:
        table.add_row(name, *(f"{figures[way][name]:,}" for way in WAYS))
    Console(width=110).print(table)
    holds = objectives_met(figures)
    print(json.dumps({"benchmark": "quotas", "quick": quick, "seed": seed, "figures": figures, "holds": holds}))
    return 0 if all(holds.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
