"""The final answer to a request that the instance drops."""

from __future__ import annotations

from mulleinhatch.admission.backpressure import Backpressure
from mulleinhatch.admission.handover import Handover
from mulleinhatch.admission.interface import Decision, Verb
from mulleinhatch.admission.request import Request
from mulleinhatch.admission.request_table import RequestTable
from mulleinhatch.admission.traffic import TrafficMeter

# Causes for which a request may still be worth running at a peer.
HANDOVER_CAUSES = ("bound", "memory", "drain")


class Rejections:
    """Hands over, rejects or fails a request; a rejection states that no attempt of it ever ran."""

    def __init__(self, table: RequestTable, handover: Handover, backpressure: Backpressure, traffic: TrafficMeter) -> None:
        self._table = table
        self._handover = handover
        self._backpressure = backpressure
        self._traffic = traffic

    def drop(self, request: Request, cause: str) -> Decision:
        """Drop a request: hand it over to a peer, reject it or fail it.

        Args:
            request: The request; it is then closed here unless it still occupies a slot or went to a peer.
            cause: Reason shown to operators, as in `Decision.cause`.
        """
        if cause in HANDOVER_CAUSES and self._handover.may_hand_over(request):
            return self._handover.hand_over(request, cause)
        if request.may_have_run or (request.leader is not None and request.leader.may_have_run):
            self._table.release(request)
            return Decision(Verb.FAIL, request.ref, cause=cause)
        self._table.close(request)
        self._traffic.record_rejection()
        return Decision(Verb.REJECT, request.ref, self._backpressure.hold_off_s(), self._traffic.is_fleet_full(), cause=cause)
