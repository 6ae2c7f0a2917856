"""The first decision on a request: whether it is answered as a duplicate, rejected, or queued."""

from __future__ import annotations

from mulleinhatch.admission.class_bounds import ClassBounds
from mulleinhatch.admission.drain import Drain
from mulleinhatch.admission.duplicates import Duplicates
from mulleinhatch.admission.interface import Decision
from mulleinhatch.admission.rejections import Rejections
from mulleinhatch.admission.request import Request, Stage
from mulleinhatch.admission.request_table import RequestTable
from mulleinhatch.admission.tenant_limits import TenantLimits


class ArrivalDecisions:
    """Takes the first decision on requests, in the order of their arrival."""

    def __init__(
        self,
        table: RequestTable,
        drain: Drain,
        duplicates: Duplicates,
        bounds: ClassBounds,
        tenants: TenantLimits,
        rejections: Rejections,
    ) -> None:
        self._table = table
        self._drain = drain
        self._duplicates = duplicates
        self._bounds = bounds
        self._tenants = tenants
        self._rejections = rejections

    def decide_next(self) -> Decision | None:
        """Process new requests until one leads to a decision."""
        table, drain = self._table, self._drain
        while table.undecided:
            request = next(iter(table.undecided.values()))
            drain.shorten_deadline(request)
            if drain.rejects(request, table.answer_margin_s):
                return self._rejections.drop(request, "drain")
            del table.undecided[request.ref]
            if request.may_have_run:
                return self._duplicates.share_answer(request)
            if request.leader is not None:
                table.move(request, Stage.FOLLOWING)
                continue
            if cause := self._cause_to_reject(request):
                return self._rejections.drop(request, cause)
            if request.request_class.is_keyed:
                return self._duplicates.keep_key(request)
        return None

    def _cause_to_reject(self, request: Request) -> str:
        if self._table.memory_used_kb + self._duplicates.key_memory_kb(request) > self._table.memory_limit_kb:
            return "memory"
        if self._bounds.exceeds(request):
            return "bound"
        return "part" if self._tenants.exceeds_budget(request) else ""
