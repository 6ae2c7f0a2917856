"""Runs that wait for a call to the dependency: start the call, skip it, or drop the request."""

from __future__ import annotations

from mulleinhatch.admission.ageing_order import AgeingOrder
from mulleinhatch.admission.constants import NOT_EXECUTED_ENDINGS
from mulleinhatch.admission.dependency_limit import DependencyLimit
from mulleinhatch.admission.interface import Decision, Verb
from mulleinhatch.admission.rejections import Rejections
from mulleinhatch.admission.request import Request, Stage
from mulleinhatch.admission.request_table import RequestTable

# A call starts only if its timeout is at least this multiple of the mean call time, or all the time that the request has left.
MIN_CALL_TIMES = 2.0


class DependencyCalls:
    """Decides on requests that wait for a call, in ageing order."""

    def __init__(self, table: RequestTable, dependency: DependencyLimit, order: AgeingOrder, rejections: Rejections) -> None:
        self._table = table
        self._dependency = dependency
        self._order = order
        self._rejections = rejections
        self._awaiting = table.by_stage[Stage.AWAITING_CALL]

    def start_next(self) -> Decision | None:
        """Return a decision on the first request that allows one."""
        waiting = [request for request in self._awaiting.values() if not request.is_answered]
        if not waiting:
            return None
        is_overloaded, longest_call_s = self._dependency.is_overloaded(), self._dependency.longest_call_s()
        is_free = self._dependency.has_free_call()
        for request in sorted(waiting, key=self._order.priority):
            if decision := self._decide(request, is_overloaded, is_free, longest_call_s):
                return decision
        return None

    def _decide(self, request: Request, is_overloaded: bool, is_free: bool, longest_call_s: float) -> Decision | None:
        table, request_class, call_ending = self._table, request.request_class, request.call_ending
        is_degradable = request_class.degraded_value > 0.0
        ends_by = request.latency_deadline if is_degradable or is_overloaded else request.deadline - table.answer_margin_s
        left_s = ends_by - table.now
        timeout_s = min(left_s, longest_call_s)
        fits = is_free and timeout_s >= min(left_s, MIN_CALL_TIMES * self._dependency.call_time_s)
        may_not_retry = call_ending is not None and not (request_class.is_retryable or call_ending in NOT_EXECUTED_ENDINGS)
        if may_not_retry or (not is_degradable and is_overloaded and left_s <= 0.0):
            return self._rejections.drop(request, "call")
        if is_degradable and (call_ending is not None or is_overloaded or not fits or left_s <= 0.0):
            table.move(request, Stage.RUNNING)
            return Decision(Verb.SKIP_CALL, request.ref)
        if timeout_s > 0.0 and fits:
            request.call_until = table.now + timeout_s
            table.move(request, Stage.CALLING)
            return Decision(Verb.CALL, request.ref, timeout_s)
        return None
