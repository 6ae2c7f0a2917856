"""Handover of queued requests to peers that offered capacity."""

from __future__ import annotations

from mulleinhatch.admission.ageing_order import AgeingOrder
from mulleinhatch.admission.class_bounds import ClassBounds
from mulleinhatch.admission.concurrency_limit import ConcurrencyLimit
from mulleinhatch.admission.constants import NOT_EXECUTED_ENDINGS
from mulleinhatch.admission.drain import Drain
from mulleinhatch.admission.interface import Decision, Ending, Ref, Verb
from mulleinhatch.admission.request import Request, Stage
from mulleinhatch.admission.request_table import RequestTable
from mulleinhatch.admission.throughput import ThroughputMeter

# Queueing time, as a fraction of the shortest target latency, above which requests are handed over: the hop costs time, too.
HANDOVER_WAIT_FRACTION = 0.03


class Handover:
    """Hands over the request that would start next, so that the fleet shares one queue; each request moves at most once.

    Attributes:
        offers: Number of requests for which peers currently offer capacity.
    """

    def __init__(
        self,
        table: RequestTable,
        limit: ConcurrencyLimit,
        throughput: ThroughputMeter,
        bounds: ClassBounds,
        order: AgeingOrder,
        drain: Drain,
        shortest_target_s: float,
    ) -> None:
        self._table = table
        self._limit = limit
        self._throughput = throughput
        self._bounds = bounds
        self._order = order
        self._drain = drain
        self._queued = table.by_stage[Stage.QUEUED]
        self._shortest_target_s = shortest_target_s
        self.offers = 0

    def may_hand_over(self, request: Request) -> bool:
        """Return whether a peer may run a request: it never ran, is not keyed, was never handed over, and still has time."""
        is_movable = (
            request.stage is Stage.QUEUED
            and request.leader is None
            and not (request.was_handed_over or request.may_have_run or request.request_class.is_keyed)
        )
        return is_movable and self.offers > 0 and self._bounds.wait_allowed_s(request, request.deadline) > 0.0

    def hand_over(self, request: Request, cause: str) -> Decision:
        """Hand a request over to a peer; it may have run there until the peer answers."""
        self._table.undecided.pop(request.ref, None)
        self.offers -= 1
        request.was_handed_over = request.may_have_run = True
        self._table.move(request, Stage.AT_PEER)
        return Decision(Verb.HAND_OVER, request.ref, cause=cause)

    def next_request(self) -> Decision | None:
        """Hand over the request that would start next if the local queue is long enough."""
        if self.offers <= 0:
            return None
        movable = [request for request in self._queued.values() if self.may_hand_over(request)]
        if not movable:
            return None
        queue_s = self._throughput.pace * sum(request.work for request in self._queued.values()) / self._limit.current
        if queue_s > HANDOVER_WAIT_FRACTION * self._shortest_target_s or self._table.now >= self._drain.started_at:
            return self.hand_over(min(movable, key=self._order.priority), "order")
        return None

    def record_end(self, ref: Ref, ending: int) -> None:
        """Close a request that ended at a peer, or queue it again.

        After a lost connection it may have run there, so only a retryable request is queued again.
        """
        request = self._table.by_stage[Stage.AT_PEER].get(ref)
        if request is None:
            return
        request.may_have_run = ending not in NOT_EXECUTED_ENDINGS
        if request.may_have_run and (ending != Ending.INTERRUPTED or not request.request_class.is_retryable):
            self._table.close(request)
            return
        self._table.move(request, Stage.QUEUED)
        if not request.may_have_run:
            self._table.undecided[ref] = request
