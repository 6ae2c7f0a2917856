"""Requests that are dropped: their deadline is near, or they can no longer finish in time."""

from __future__ import annotations

import math

from mulleinhatch.admission.ageing_order import AgeingOrder
from mulleinhatch.admission.class_bounds import ClassBounds
from mulleinhatch.admission.constants import RECALCULATION_INTERVAL_S
from mulleinhatch.admission.interface import Decision
from mulleinhatch.admission.rejections import Rejections
from mulleinhatch.admission.request import Request, Stage
from mulleinhatch.admission.request_table import RequestTable


class Expiry:
    """Sweeps all requests for near deadlines and, in the same pass, queued requests for the class bound.

    Attributes:
        next_sweep_at: Time at which the next sweep is due.
    """

    def __init__(self, table: RequestTable, order: AgeingOrder, bounds: ClassBounds, rejections: Rejections) -> None:
        self._table = table
        self._order = order
        self._bounds = bounds
        self._rejections = rejections
        self._queued = table.by_stage[Stage.QUEUED]
        self._expired: list[Request] = []
        self.next_sweep_at = table.now

    def watch(self, request: Request) -> None:
        """Schedule a sweep in time for a request's deadline."""
        self.next_sweep_at = min(self.next_sweep_at, request.deadline - self._table.answer_margin_s)

    def drop_next(self) -> Decision | None:
        """Drop one of the requests that the last sweep found."""
        table = self._table
        if table.now >= self.next_sweep_at:
            self._sweep()
        while self._expired:
            request = self._expired.pop()
            # A decision on one request may also have ended another one that follows it.
            if request.ref in table.by_ref and not request.is_answered:
                is_due = request.deadline <= table.now + table.answer_margin_s
                return self._rejections.drop(request, "due" if is_due else "bound")
        return None

    def _sweep(self) -> None:
        table = self._table
        due_by = table.now + table.answer_margin_s
        unanswered = [request for request in table.by_ref.values() if not request.is_answered]
        self._expired = [request for request in unanswered if request.deadline <= due_by]
        work_ahead = 0.0
        for request in sorted(self._queued.values(), key=self._order.priority):
            if request.deadline > due_by and self._bounds.exceeds(request, work_ahead):
                self._expired.append(request)
            else:
                work_ahead += request.work
        next_deadline = min((request.deadline for request in unanswered if request.deadline > due_by), default=math.inf)
        self.next_sweep_at = min(next_deadline - table.answer_margin_s, table.now + RECALCULATION_INTERVAL_S)
