"""Which queued or paused request runs next, and which run is stopped."""

from __future__ import annotations

from mulleinhatch.admission.ageing_order import AgeingOrder
from mulleinhatch.admission.concurrency_limit import ConcurrencyLimit
from mulleinhatch.admission.dependency_limit import DependencyLimit
from mulleinhatch.admission.interface import Decision, Deployment, Verb
from mulleinhatch.admission.request import Request, RequestClass, Stage
from mulleinhatch.admission.request_table import RequestTable
from mulleinhatch.admission.tenant_limits import TenantLimits


class Scheduler:
    """Starts requests in ageing order, within the limits on concurrency, tenants, dependency calls and memory."""

    def __init__(
        self,
        deployment: Deployment,
        table: RequestTable,
        limit: ConcurrencyLimit,
        dependency: DependencyLimit,
        tenants: TenantLimits,
        order: AgeingOrder,
        request_classes: list[RequestClass],
    ) -> None:
        self._table = table
        self._limit = limit
        self._dependency = dependency
        self._tenants = tenants
        self._order = order
        self._queued = table.by_stage[Stage.QUEUED]
        self._paused = table.by_stage[Stage.PAUSED]
        self._running = table.by_stage[Stage.RUNNING]
        self._can_stop = deployment.get("stop_mode") is not None
        self._some_must_call = any(each.must_call for each in request_classes)

    def stop_next(self) -> Decision | None:
        """Stop a run whose answer nobody waits for, if the host supports it."""
        if not self._can_stop:
            return None
        for request in self._running.values():
            if request.should_stop:
                request.should_stop = False
                return Decision(Verb.STOP, request.ref)
        return None

    def start_next(self) -> Decision | None:
        """Start the next request in ageing order; a tenant over its cap is skipped while another one waits."""
        waiting = [*self._queued.values(), *self._paused.values()]
        if not waiting or self._limit.is_reached():
            return None
        in_progress = self._table.count_in_progress()
        waiting = self._startable(waiting)
        if not waiting or in_progress >= self._limit.in_progress_limit():
            return None
        under_cap = [request for request in waiting if self._tenants.is_under_cap(request)]
        request = min(under_cap or waiting, key=self._order.priority)
        if in_progress and not self._fits_memory(request):
            return None
        if request.stage is Stage.QUEUED:
            self._tenants.record_start(request)
        request.may_have_run = True
        self._table.move(request, Stage.RUNNING)
        return Decision(Verb.RUN, request.ref, cause="order" if len(under_cap) in (0, len(waiting)) else "cap")

    def _startable(self, waiting: list[Request]) -> list[Request]:
        """Filter out requests that would wait for a saturated dependency or exceed their tenant's budget."""
        if self._some_must_call and self._dependency.is_saturated():
            waiting = [request for request in waiting if not request.request_class.must_call]
        if self._tenants.has_budgets:
            waiting = [
                request for request in waiting if request.stage is Stage.PAUSED or self._tenants.has_budget_left(request.tenant)
            ]
        return waiting

    def _fits_memory(self, request: Request) -> bool:
        more_kb = self._table.extra_run_memory_kb(request) if request.stage is Stage.QUEUED else 0.0
        return self._table.memory_used_kb + more_kb <= self._table.memory_limit_kb
