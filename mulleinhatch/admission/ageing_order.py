"""The order in which queued requests start: priorities that improve with waiting time."""

from __future__ import annotations

import math

from mulleinhatch.admission.dependency_limit import DependencyLimit
from mulleinhatch.admission.mechanism import BASE_SPAN, ageing_rate, effective_priority
from mulleinhatch.admission.request import CALL_STAGES, Request, RequestClass
from mulleinhatch.admission.request_table import RequestTable
from mulleinhatch.admission.retry_limit import RetryStorm

# Points added to a retry during a retry storm, half of BASE_SPAN: first tries queued behind retries would become retries too.
STORM_RETRY_PENALTY = 10.0


class AgeingOrder:
    """Scores requests by the mechanism's `effective_priority`.

    Source: "Priority Queues: Free Users Wait, Paying Users Do Not", the ageing order; deviations are in `docs/design.md`.
    """

    def __init__(
        self,
        table: RequestTable,
        dependency: DependencyLimit,
        storm: RetryStorm,
        request_classes: list[RequestClass],
    ) -> None:
        self._table = table
        self._dependency = dependency
        self._storm = storm
        self._ageing_rate = ageing_rate(max((each.target_latency_s for each in request_classes), default=BASE_SPAN))

    def priority(self, request: Request) -> float:
        """Return a request's score in points; the lowest score starts first."""
        now = self._table.now
        if request.latency_deadline < now + (self._dependency.wait_s() if request.stage in CALL_STAGES else 0.0):
            return math.inf  # only its late value is left: must not delay requests that can be in time
        penalty = STORM_RETRY_PENALTY if request.is_retry and self._storm.is_active else 0.0
        base = request.request_class.base_priority + request.quota_penalty + penalty
        return effective_priority(base, now - request.arrived_at, self._ageing_rate)
