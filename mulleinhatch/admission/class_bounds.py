"""Whether a queued request can still finish in time: the mechanism's bound, L_max = mu x W_max."""

from __future__ import annotations

from mulleinhatch.admission.ageing_order import AgeingOrder
from mulleinhatch.admission.concurrency_limit import ConcurrencyLimit
from mulleinhatch.admission.dependency_limit import DependencyLimit
from mulleinhatch.admission.mechanism import class_bound
from mulleinhatch.admission.request import CALL_STAGES, Request, Stage
from mulleinhatch.admission.request_table import RequestTable
from mulleinhatch.admission.throughput import ThroughputMeter

# Extra time that the bound reserves for a request's run, as a fraction of the expected run, with and without a work hint.
# Under steady overload the queue stays at the bound, and a request that starts from there may run longer than expected.
HINTED_RUN_MARGIN = 0.5
UNHINTED_RUN_MARGIN = 1.0

# Expected run of a request without a work hint that counts as short, as a fraction of the mean run: half of all requests are
# far shorter than the mean.
SHORT_RUN_FRACTION = 0.4


class ClassBounds:
    """Bounds the work that may be queued before a request, by the service rate and the time left to the request."""

    def __init__(
        self,
        table: RequestTable,
        limit: ConcurrencyLimit,
        throughput: ThroughputMeter,
        dependency: DependencyLimit,
        order: AgeingOrder,
    ) -> None:
        self._table = table
        self._limit = limit
        self._throughput = throughput
        self._dependency = dependency
        self._order = order
        self._queued = table.by_stage[Stage.QUEUED]
        self._running = table.by_stage[Stage.RUNNING]

    def exceeds(self, request: Request, work_ahead: float | None = None) -> bool:
        """Return whether a request is not expected to finish in time.

        Args:
            request: A queued request.
            work_ahead: The work queued before it, of any class; summed up here if not given.
        """
        has_late_value = request.request_class.late_value > 0.0 and not (
            request.request_class.must_call and self._dependency.is_overloaded()
        )
        if self.wait_allowed_s(request, request.deadline if has_late_value else request.latency_deadline) < 0.0:
            return True
        throughput = self._throughput
        if not throughput.service_rate:
            return False
        run_margin = (HINTED_RUN_MARGIN if request.has_work_hint else UNHINTED_RUN_MARGIN) * throughput.pace * request.work
        wait = max(0.0, self.wait_allowed_s(request, request.latency_deadline) - run_margin)
        work_ahead = self._work_ahead(request) if work_ahead is None else work_ahead
        return work_ahead >= class_bound(throughput.service_rate, wait, self._limit.current * throughput.mean_work())

    def wait_allowed_s(self, request: Request, end_by: float) -> float:
        """Return how long a request may still be queued and finish by `end_by` and by its deadline: W_max less its own run.

        A request without a work hint may be far shorter than the mean run. It counts as short unless requests of its own or
        higher importance occupy all slots.
        """
        run_time = self._expected_run_s(request) * (SHORT_RUN_FRACTION if self._may_be_short(request) else 1.0)
        return min(end_by, request.deadline - self._table.answer_margin_s) - self._table.now - run_time

    def _expected_run_s(self, request: Request) -> float:
        """Return the expected remaining run of a request, including the wait for mandatory dependency calls."""
        call_wait = self._dependency.wait_s() if request.request_class.must_call else 0.0
        return call_wait if request.stage in CALL_STAGES else self._throughput.pace * request.work + call_wait

    def _may_be_short(self, request: Request) -> bool:
        if request.has_work_hint:
            return False
        base = request.request_class.base_priority
        return sum(other.request_class.base_priority <= base for other in self._running.values()) < self._limit.current

    def _work_ahead(self, request: Request) -> float:
        priority = self._order.priority
        own = priority(request)
        return sum(other.work for other in self._queued.values() if other is not request and priority(other) <= own)
