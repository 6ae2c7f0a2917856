"""Limits of one tenant: the mechanism's cap on concurrent runs, the quota, and fleet-wide budgets."""

from __future__ import annotations

import math
from collections.abc import Sequence

from mulleinhatch.admission.class_bounds import ClassBounds
from mulleinhatch.admission.concurrency_limit import ConcurrencyLimit
from mulleinhatch.admission.interface import Deployment
from mulleinhatch.admission.mechanism import account_cap
from mulleinhatch.admission.request import Request, Stage
from mulleinhatch.admission.request_table import RequestTable
from mulleinhatch.admission.throughput import ThroughputMeter
from mulleinhatch.sliding_window import BUCKET_COUNT, BUCKET_S, SlidingWindow

# Ratio of a tenant's share of the running limit to its fraction of the service; above 1, as traffic is never even.
TENANT_SHARE_FACTOR = 2.0

# Points added to a request when all its tenant's traffic is over quota: the whole BASE_SPAN.
OVER_QUOTA_PENALTY = 20.0

BudgetPieces = Sequence[tuple[float, float]]  # units, and the time until which this instance holds them


class TenantLimits:
    """Limits each tenant's runs; without tenants, each client's."""

    def __init__(
        self,
        deployment: Deployment,
        table: RequestTable,
        limit: ConcurrencyLimit,
        throughput: ThroughputMeter,
        bounds: ClassBounds,
    ) -> None:
        get = deployment.get
        self._table = table
        self._limit = limit
        self._throughput = throughput
        self._bounds = bounds
        self._queued = table.by_stage[Stage.QUEUED]
        tenants = get("tenants", [])
        instances = max(1, get("instances", 1))
        self._shares = [TENANT_SHARE_FACTOR * tenant.get("fraction", 1.0) for tenant in tenants]
        self._client_share = TENANT_SHARE_FACTOR / max(1, get("callers", 1))
        self._quotas_per_s = [tenant.get("quota_per_s", math.inf) / instances for tenant in tenants]
        self._first_tries = [SlidingWindow() for _ in tenants]
        self._rate_budgets: dict[int, tuple[float, BudgetPieces]] = {}
        self._recent_runs: dict[int, list[float]] = {}
        self._concurrency_budgets: dict[int, tuple[float, BudgetPieces]] = {}

    def account_of(self, tenant: int, caller: int) -> int:
        """Return the account that a request counts against: its tenant, or its client where there are no tenants."""
        return tenant if self._shares else caller

    def quota_penalty(self, request: Request) -> float:
        """Count an arriving request, and return its quota penalty in points.

        Only first tries count against the quota: a retrying client must not delay its own requests further.
        """
        tenant = request.tenant
        if tenant >= len(self._quotas_per_s):
            return 0.0
        now, first_tries = self._table.now, self._first_tries[tenant]
        if not request.is_retry:
            first_tries.add(now, 1.0)
        rate = first_tries.total(now) / (BUCKET_S * BUCKET_COUNT)
        return OVER_QUOTA_PENALTY * max(0.0, 1.0 - self._quotas_per_s[tenant] / rate) if rate else 0.0

    def is_under_cap(self, request: Request) -> bool:
        """Return whether a request's tenant may have another request in progress while others wait."""
        tenant = request.tenant
        share = self._shares[tenant] if tenant < len(self._shares) else self._client_share
        return self._table.running_by_tenant[tenant] < account_cap(self._limit.current, share)

    def set_budget(self, tenant: int, window_s: float, pieces: BudgetPieces) -> None:
        """Set this instance's share of a tenant's fleet-wide budget.

        Args:
            tenant: Number of the tenant.
            window_s: Window of a rate budget in seconds; 0 for a budget of requests in progress.
            pieces: Units, each with the time until which this instance holds them.
        """
        (self._rate_budgets if window_s else self._concurrency_budgets)[tenant] = window_s, pieces

    @property
    def has_budgets(self) -> bool:
        """Return whether any tenant has a fleet-wide budget."""
        return bool(self._rate_budgets or self._concurrency_budgets)

    def has_budget_left(self, tenant: int) -> bool:
        """Return whether the tenant's budgets allow another run."""
        now = self._table.now
        if tenant in self._concurrency_budgets:
            # Only units that this instance holds for longer than a run takes count.
            run_ends_at = now + 2.0 * self._throughput.pace * self._throughput.mean_work()
            cap = sum(units for units, until in self._concurrency_budgets[tenant][1] if run_ends_at < until)
            if self._table.running_by_tenant[tenant] >= cap:
                return False
        if tenant not in self._rate_budgets:
            return True
        window_s = self._rate_budgets[tenant][0]
        recent = self._recent_runs[tenant] = [
            started for started in self._recent_runs.get(tenant, ()) if started > now - window_s
        ]
        return len(recent) + 1 <= self._budget_rate(tenant) * window_s

    def record_start(self, request: Request) -> None:
        """Count a starting run against its tenant's rate budget."""
        if request.tenant in self._rate_budgets:
            self._recent_runs.setdefault(request.tenant, []).append(self._table.now)

    def exceeds_budget(self, request: Request) -> bool:
        """Return whether the tenant's queue is longer than its rate budget can start in the time left to this request."""
        if not self._rate_budgets:
            return False
        rate = self._budget_rate(request.tenant)
        queued = sum(
            other.tenant == request.tenant and other.ref not in self._table.undecided
            for other in self._queued.values()
            if other is not request
        )
        return (
            rate < math.inf
            and queued >= rate * max(0.0, self._bounds.wait_allowed_s(request, request.latency_deadline))
            and not (queued == 0 and self.has_budget_left(request.tenant))
        )

    def _budget_rate(self, tenant: int) -> float:
        """Return a tenant's rate budget in runs per second; infinite without one."""
        if tenant not in self._rate_budgets:
            return math.inf
        window_s, pieces = self._rate_budgets[tenant]
        return sum(units for units, until in pieces if self._table.now < until) / window_s
