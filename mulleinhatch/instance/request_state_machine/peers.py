"""Peers: handing requests over, reporting capacity to them, and applying the budgets and load that they report."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Any

from mulleinhatch.admission import NOT_EXECUTED_ENDINGS
from mulleinhatch.admission.interface import Decision, Ending
from mulleinhatch.instance.request_state_machine.events import Action
from mulleinhatch.instance.request_state_machine.runs import RunTracker
from mulleinhatch.instance.retry_storms.duplicate_detection import RequestFingerprint
from mulleinhatch.invariants import check


class PeerHandover(RunTracker):
    """Hands requests over to peers and reports capacity to them."""

    def _tenant_budget_changed(self, now: float, tenant: str, window: float, pieces: Sequence[tuple[float, float]]) -> None:
        """Set this instance's share of a tenant's budget; stored until the controller exists, so that it always applies."""
        self.tenant_budgets[tenant, window > 0.0] = window, pieces
        if self.controller and tenant in self.tenants:
            self.controller.set_tenant_budget(now, self.tenants[tenant], window, pieces)

    def _peer_load_changed(self, now: float, *arguments: Any) -> None:
        self.peer_load = arguments
        if self.controller:
            self.controller.update_peer_load(now, *arguments)

    def _peer_offers_changed(self, now: float, count: int) -> None:
        if self.controller:
            self.controller.set_peer_offers(now, count)

    def _handover_ended(self, now: float, request_id: str, ending: Ending, result: bytes) -> None:
        """Handle a peer's answer to a request that was handed over.

        A rejection, or a peer that was never reached, proves that the request did not execute there. A broken connection
        proves nothing, so a request that must not execute twice fails. If no client waits any more, the request is removed.
        """
        request = self.requests.get(request_id)
        if request is None or not request.is_handed_over:
            return
        request.is_handed_over = False
        self.handed_over_count -= 1
        self.counts["hand_" + ending.name.lower()] += 1
        is_unexecuted = ending in NOT_EXECUTED_ENDINGS
        request.may_have_run = request.may_have_run and not is_unexecuted
        if is_unexecuted and self.storms:
            self.storms.executed.remove(request_id)
        if request.connection_id is None:
            self._remove_if_finished(now, request)
            return
        self.controller.record_handover_end(now, request_id, ending)
        if not is_unexecuted and not (ending is Ending.INTERRUPTED and request.request_type in self.retryable_types):
            self._respond_to_run(now, request, ending, result)

    def _do_hand_over(self, now: float, decision: Decision) -> None:
        """Hand a waiting request over to a peer."""
        request = self.requests.get(decision.ref)
        check(
            request and request.handover_data and request.connection_id is not None and not request.running,
            "only an op that is held is handed over",
        )
        if request:
            request.is_handed_over = request.may_have_run = True
            self.handed_over_count += 1
            if self.storms and request.request_type in self.non_retryable_types:
                self.storms.executed.add(now, request.request_id, RequestFingerprint(*request.fingerprints), request.deadline)
            arrived_at, *figures = request.handover_data
            remaining_s = request.deadline - now if request.deadline < math.inf else 0.0
            self.actions.append(
                (
                    Action.HAND_OVER,
                    request.request_id,
                    request.request_type,
                    request.tenant,
                    request.body,
                    now - arrived_at,
                    remaining_s,
                    *figures,
                    request.key,
                )
            )

    def speed_fraction(self, now: float) -> float:
        """Return the current fraction of full speed, assuming the slowest warm-up; 1 once the instance is warm."""
        remaining_fraction = (self.warmed_up_at - now) / self.deployment["cold_for"] if now < self.warmed_up_at else 0.0
        return 1.0 - (1.0 - self.deployment.get("cold_speed", 1.0)) * min(1.0, remaining_fraction)

    def free_capacity(self, now: float) -> int:
        """Return how many requests could start here at once; 0 if this instance should receive none.

        During warm-up the concurrency limit is scaled by the current speed, because this number is the only bound on what all
        peers together send.
        """
        if self.controller is None or not self.healthy or self.stop_at is not None or self.storms and self.storms.is_active:
            return 0
        return max(
            0, max(1, int(self.controller.limit * self.speed_fraction(now))) - len(self.requests) + self.handed_over_count
        )

    def advertised_capacity(self, now: float) -> int:
        """Return the free capacity as reported to peers, each of which estimates its share of it independently.

        0 during warm-up: the sum of their estimates would overload this instance.
        """
        return 0 if now < self.warmed_up_at else self.free_capacity(now)

    def transferable_count(self) -> int:
        """Return how many waiting requests could be handed over to a peer."""
        return sum(
            not (
                request.running
                or request.is_handed_over
                or request.is_from_peer
                or request.connection_id is None
                or request.request_type in self.duplicate_windows
            )
            for request in self.requests.values()
        )
