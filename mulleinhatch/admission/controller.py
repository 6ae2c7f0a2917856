"""The admission controller of one instance decides which requests run, are rejected, fail, call the dependency or go to a peer.

A host makes an `AdmissionController` for each instance from its settings, reports what happens (`record_arrival`,
`record_run_end`, `begin_drain`, `handle_wakeup` and so on, which take no decision) and then pulls `next_decision` until it
returns None. The exchanged types are in `interface.py`; the mechanism and its deviations are described in `docs/design.md`.
Times are seconds on the host's clock.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from mulleinhatch.admission.ageing_order import AgeingOrder
from mulleinhatch.admission.backpressure import Backpressure
from mulleinhatch.admission.class_bounds import ClassBounds
from mulleinhatch.admission.concurrency_limit import ConcurrencyLimit
from mulleinhatch.admission.constants import RECALCULATION_INTERVAL_S
from mulleinhatch.admission.dependency_calls import DependencyCalls
from mulleinhatch.admission.dependency_limit import DependencyLimit
from mulleinhatch.admission.drain import Drain
from mulleinhatch.admission.duplicates import Duplicates
from mulleinhatch.admission.expiry import Expiry
from mulleinhatch.admission.handover import Handover
from mulleinhatch.admission.health import HealthMonitor
from mulleinhatch.admission.idle_connections import IdleConnections
from mulleinhatch.admission.interface import Decision, Deployment, Ending, Ref
from mulleinhatch.admission.placement import ArrivalDecisions
from mulleinhatch.admission.rejections import Rejections
from mulleinhatch.admission.request import Request, Stage, build_request_classes
from mulleinhatch.admission.request_table import RequestTable
from mulleinhatch.admission.retry_limit import RetryLimit, RetryStorm
from mulleinhatch.admission.scheduler import Scheduler
from mulleinhatch.admission.tenant_limits import BudgetPieces, TenantLimits
from mulleinhatch.admission.throughput import ThroughputMeter
from mulleinhatch.admission.traffic import TrafficMeter
from mulleinhatch.admission.wakeups import Wakeups

# Load is measured again at the first event after half the sweep interval, so that each sweep uses fresh measurements.
MEASURING_INTERVAL_S = RECALCULATION_INTERVAL_S / 2


class AdmissionController:
    """Wires the components, passes events to them and polls them for decisions in a fixed order.

    Args:
        deployment: Settings of the instance; the component that reads a key defines its default.
        seed: Seed of the only random numbers, in `HealthMonitor`.
        now: When the instance started.
    """

    def __init__(self, deployment: Deployment, seed: int, now: float) -> None:
        self._classes = classes = build_request_classes(deployment.get("op_types", []))
        self._gauges = deployment.get("gauges", [])
        self._measured_at = now
        target_s = min((each.target_latency_s for each in classes), default=math.inf)
        # State and measurements.
        self._table = table = RequestTable(deployment, now)
        self._drain = drain = Drain(deployment)
        self._traffic = traffic = TrafficMeter(table)
        self._limit = limit = ConcurrencyLimit(deployment, table)
        self._throughput = throughput = ThroughputMeter(table, limit)
        self._dependency = dependency = DependencyLimit(deployment, table, throughput, limit.cores)
        self._storm = RetryStorm()
        # Limits and reports derived from them.
        order = AgeingOrder(table, dependency, self._storm, classes)
        bounds = ClassBounds(table, limit, throughput, dependency, order)
        self._tenants = tenants = TenantLimits(deployment, table, limit, throughput, bounds)
        self._health = health = HealthMonitor(table, limit, throughput, traffic, drain, target_s, seed)
        self._backpressure = backpressure = Backpressure(deployment, table, limit, throughput, health, drain, target_s)
        self._retry_limit = RetryLimit(self._storm, throughput)
        self._connections = IdleConnections(deployment, limit.cores)
        # Decisions on requests.
        self._duplicates = duplicates = Duplicates(deployment, table)
        self._handover = handover = Handover(table, limit, throughput, bounds, order, drain, target_s)
        rejections = Rejections(table, handover, backpressure, traffic)
        arrivals = ArrivalDecisions(table, drain, duplicates, bounds, tenants, rejections)
        self._expiry = expiry = Expiry(table, order, bounds, rejections)
        calls = DependencyCalls(table, dependency, order, rejections)
        scheduler = Scheduler(deployment, table, limit, dependency, tenants, order, classes)
        self._wakeups = Wakeups(table, expiry, backpressure)
        self._steps = (
            duplicates.forget_unused_key,
            arrivals.decide_next,
            expiry.drop_next,
            scheduler.stop_next,
            calls.start_next,
            duplicates.answer_follower,
            scheduler.start_next,
            handover.next_request,
            self._connections.next_report,
            health.next_report,
            backpressure.next_report,
            self._retry_limit.next_report,
            self._wakeups.arm,
        )

    # Events reported by the host. They take no decision.

    def record_arrival(
        self,
        now: float,
        ref: Ref,
        type_number: int,
        age_s: float,
        wait_s: float,
        tenant: int,
        repeat_of: Ref,
        caller: int,
        work: float,
        memory_kb: float,
        is_retry: bool,
    ) -> None:
        """Add an arriving request.

        Plain parameters are faster than an object, which would be built for each request only to be read once.

        Args:
            now: Time at which it was read.
            ref: Its id.
            type_number: Number of its type.
            age_s: Seconds since it arrived at the machine.
            wait_s: Seconds that its client still waits; 0 if unknown.
            tenant: Number of its tenant.
            repeat_of: Id of the request that it repeats; empty or 0 if none.
            caller: Number of its client.
            work: Hint of its work, in seconds of run time; 0 without one.
            memory_kb: Memory that it takes while it is queued.
            is_retry: Whether it is marked as a retry.
        """
        self._advance_time(now)
        request_class = self._classes[type_number]
        timeout_s = request_class.timeout_s
        if work > 0.0:
            # Capped at the timeout: one absurd hint must not distort the mean.
            self._throughput.record_hint(now, min(work, timeout_s))
        account = self._tenants.account_of(tenant, caller)
        request = Request(ref, request_class, account, work or self._throughput.mean_work(), memory_kb)
        request.arrived_at, request.stage_since = now - age_s, now
        request.is_retry, request.has_work_hint = is_retry, work > 0.0
        request.deadline = now + wait_s if wait_s > 0.0 else max(now, request.arrived_at + timeout_s)
        # The client of a retry has already waited, at most the part of the timeout that its remaining wait does not cover.
        waited_before = timeout_s - wait_s - age_s if is_retry and wait_s > 0.0 else 0.0
        loses_value_at = request.arrived_at + request_class.target_latency_s - max(0.0, waited_before)
        request.latency_deadline = min(request.deadline, loses_value_at)
        if repeat_of:
            request.leader = leader = self._table.by_ref.get(repeat_of)
            # If the first try ran, or is no longer known, the request must not be rejected: that would deny the run.
            request.may_have_run = leader is None or leader.may_have_run
        self._table.add(request)
        self._expiry.watch(request)
        self._traffic.record_arrival(now, is_retry)
        request.quota_penalty = self._tenants.quota_penalty(request)
        self._backpressure.record_unread_wait(request, age_s)

    def record_run_end(self, now: float, ref: Ref, ending: int) -> None:
        """Close a request whose run ended, or pause one whose run was stopped although its client still waits."""
        self._advance_time(now)
        request = self._table.by_ref.get(ref)
        if request is None:
            return
        if ending == Ending.STOPPED and not request.is_answered and not request.should_stop:
            self._table.move(request, Stage.PAUSED)
            return
        was_running, run_time_s = request.stage is Stage.RUNNING, self._table.run_time(request)
        self._table.close(request)
        if was_running and ending in (Ending.OK, Ending.ERROR):
            self._throughput.record_run(now, request, run_time_s)
            self._health.record_run(now, ending == Ending.ERROR)

    def record_call_request(self, now: float, ref: Ref) -> None:
        """Record that a run needs a call to the dependency."""
        self._advance_time(now)
        if request := self._table.by_ref.get(ref):
            request.call_ending = None
            self._table.move(request, Stage.AWAITING_CALL)

    def record_call_end(self, now: float, ref: Ref, ending: int) -> None:
        """Measure a call that ended; a successful call resumes its run."""
        self._advance_time(now)
        if ending in (Ending.TIMEOUT, Ending.INTERRUPTED):
            self._dependency.record_abandoned_call(now)
        if request := self._table.by_ref.get(ref):
            self._dependency.record_call_time(ending, now - request.stage_since)
            request.call_ending = ending
            self._table.move(request, Stage.RUNNING if ending == Ending.OK else Stage.AWAITING_CALL)

    def record_abandonment(self, now: float, ref: Ref) -> None:
        """Record that the client of a request disconnected."""
        self._advance_time(now)
        if request := self._table.by_ref.get(ref):
            self._table.release(request)

    def record_early_rejections(self, now: float, count: int) -> None:
        """Count retries that the host rejected unread under the current retry limit."""
        self._advance_time(now)
        self._traffic.record_early_rejections(now, count)

    def mark_received_from_peer(self, now: float, ref: Ref) -> None:
        """Mark a request that a peer handed over, so that it is not handed over again."""
        self._table.by_ref[ref].was_handed_over = True

    def record_handover_end(self, now: float, ref: Ref, ending: int) -> None:
        """Record how a request at a peer ended."""
        self._advance_time(now)
        self._handover.record_end(ref, ending)

    def begin_drain(self, now: float, grace_s: float) -> None:
        """Begin to drain: all requests are answered before the process is stopped, `grace_s` seconds from now."""
        self._advance_time(now)
        self._drain.start(now, grace_s)
        self._expiry.next_sweep_at = now
        for request in self._table.by_ref.values():
            self._drain.shorten_deadline(request)

    def handle_wakeup(self, now: float, token: int, readings: Sequence[float]) -> None:
        """Adjust limits by the gauges; the next decision runs the deadline sweep."""
        self._advance_time(now)
        gauges = dict(zip(self._gauges, readings))
        self._wakeups.fired(token)
        self._connections.adjust(gauges.get("links", 0.0), self._traffic.has_few_rejections(now))
        self._limit.adjust(now, gauges.get("core_use", 1.0), self._storm.is_active)

    # Findings of the fleet and of the host's detectors.

    def set_retry_storm(self, now: float, is_active: bool, first_tries_per_s: float) -> None:
        """Set whether a retry storm is active, and the rate of first tries."""
        self._advance_time(now)
        self._storm.is_active, self._storm.first_tries_per_s = is_active, first_tries_per_s

    def set_tenant_budget(self, now: float, tenant: int, window_s: float, pieces: BudgetPieces) -> None:
        """Set this instance's share of a tenant's fleet-wide budget; see `TenantLimits.set_budget`."""
        self._advance_time(now)
        self._tenants.set_budget(tenant, window_s, pieces)

    def set_dependency_share(self, now: float, share: float) -> None:
        """Set the mean calls in progress that this instance may add to the dependency."""
        self._advance_time(now)
        self._dependency.share = share

    def update_peer_load(
        self, now: float, free_fraction: float, is_outlier: bool, retry_allowance: float, diverted: float
    ) -> None:
        """Set what the peers report.

        Args:
            now: The time.
            free_fraction: Free fraction of the peers' capacity; below 0 where it is unknown.
            is_outlier: Whether they judge this instance unhealthy.
            retry_allowance: Retries per second that the fleet allows this instance.
            diverted: Fraction of this instance's load that peers have capacity for.
        """
        self._advance_time(now)
        self._traffic.peer_free_fraction = free_fraction
        self._health.is_outlier = is_outlier
        self._retry_limit.allowance_per_s = retry_allowance
        self._backpressure.peer_diversion = diverted

    def set_peer_offers(self, now: float, count: int) -> None:
        """Set for how many requests peers currently offer capacity."""
        self._advance_time(now)
        self._handover.offers = count

    # Queries of the host.

    def next_decision(self, now: float) -> Decision | None:
        """Return the next decision, or None once all decisions for this time were taken."""
        self._advance_time(now)
        for step in self._steps:
            if decision := step():
                return decision
        self._limit.observe(now)
        return None

    @property
    def limit(self) -> int:
        """The running limit."""
        return self._limit.current

    @property
    def wakeup_token(self) -> int:
        """The number of the newest timer."""
        return self._wakeups.token

    def capacity(self) -> float:
        """Return the requests per second that can be served."""
        return self._throughput.capacity()

    def is_open(self, ref: Ref) -> bool:
        """Return whether a request has not ended."""
        return ref in self._table.by_ref

    def remembers(self, ref: Ref) -> bool:
        """Return whether a later decision may name a request: it has not ended, or its key is remembered."""
        return ref in self._table.by_ref or self._duplicates.remembers(ref)

    def _advance_time(self, now: float) -> None:
        table = self._table
        elapsed_s, table.now = max(0.0, now - table.now), max(now, table.now)
        if elapsed_s > 0.0:
            self._throughput.record_elapsed(now, elapsed_s)
            self._dependency.record_elapsed(now, elapsed_s)
            self._duplicates.expire_keys(now)
            if now - self._measured_at >= MEASURING_INTERVAL_S:
                self._measure(now)

    def _measure(self, now: float) -> None:
        elapsed_s, self._measured_at = now - self._measured_at, now
        self._throughput.update()
        self._health.update()
        self._dependency.update(elapsed_s)
        self._backpressure.update(elapsed_s)
