"""All decisions of one instance: what is run, nacked, failed, called, kept and told.

A host makes a `AdmissionController` for each instance from what it is told at start, reports what happens (`record_arrival`,
`record_run_end`, `record_call_request`, `record_call_end`, `record_abandonment`, `begin_drain`, `handle_wakeup`: these only
keep the books) and then pulls `next_decision` until it gives None. The types that pass are in `interface.py`; the mechanism
and its exceptions are told in `docs/design.md`. Times are seconds on the host's clock.
"""

from __future__ import annotations

import heapq
import math
from collections import Counter
from collections.abc import Sequence
from enum import Enum

from mulleinhatch.admission.interface import Advice, Decision, Deployment, Effect, Ending, Ref, RequestType, Verb
from mulleinhatch.admission.mechanism import (
    BASE_SPAN,
    account_cap,
    ageing_rate,
    bases,
    class_bound,
    effective_priority,
)
from mulleinhatch.sliding_window import BUCKET_COUNT, BUCKET_S, SlidingWindow

TENANT_SHARE_FACTOR = 2.0  # a tenant's running share over its fraction of the service: traffic is never even
RECALCULATION_INTERVAL_S = 0.1  # how often the hold is rescored and pressure is judged while there is work
GAUGE_PERIOD_S = 0.5  # seconds that the gauge of core use covers: full for less, it tells nothing
MIN_FULL_TIME_S = 0.5  # seconds at the running limit before mu is believed
CALM_WAIT_FRACTION = 0.18  # the share of the shortest target latency that the hold's wait may take before advice
BACKPRESSURE_GAIN_PER_S = 0.3  # how fast the advice follows that wait, a second
IN_PROGRESS_FRACTION = 0.6  # of the crowd survived: ops return from calls together, and reading runs beside
MEMORY_FRACTION = 0.9  # of the memory: what is read while a batch is under way comes on top
UNREAD_WEIGHT, UNREAD_DECAY_S = 0.1, 2.0  # of one request in the mean time unread; how long that outlives it
SLOW_RUN_FACTOR, FAILING_RUN_FRACTION = 1.2, 0.5  # of the shortest target latency by a mean run; of recent runs that fail
MIN_UNHEALTHY_S, MAX_UNHEALTHY_S = 4.0, 32.0  # seconds of bad health, doubled before each spell
HINTED_RUN_SPREAD, UNHINTED_RUN_SPREAD = 0.5, 1.0  # of its expected run that the bound leaves a request besides
SHORT_RUN_FRACTION = 0.4  # of the mean run, when chances are that a request of unknown cost is shorter
OVER_QUOTA_PENALTY = 20.0  # points that a request goes back when all its tenant's traffic is beyond its quota
ANSWER_MARGIN_S = 0.03  # before a due time: a timer may come late
MANY_CONNECTIONS_PER_CORE, SHORT_IDLE_TIMEOUT_S = (
    16,
    2.0,
)  # connections a core from which idle ones may be closed, after seconds
LOW_REJECTION_FRACTION = 0.1  # of what is read: above it a full table turns callers away at less cost than nacks
STOP_MARGIN_S = 0.15  # before the process is stopped: nothing is owed after that
FLEET_FULL_RETRY_FRACTION = 0.25  # share of marked retries among reads from which the whole fleet counts as full
CROWDED_CALL_FACTOR = 3.0  # call time over the best seen from which the dependency counts as crowded
CALL_LIMIT_DECREASE, CALL_LIMIT_INCREASE = 0.9, 1.1  # of the calls in hand, a beat
CALL_LIMIT_FLOOR_FRACTION = 0.4  # of our share of what the dependency survives, when even calls far apart are slow
RECENT_CALLS, BASELINE_CALLS = 4, 16  # calls a call time leans on, now and usually: the least of few is luck
CALL_TIME_RECOVERY_S = 2.5  # seconds without a call in which a slow one is forgotten: else none would ask again
CALL_LIMIT_HEADROOM = 3.0  # calls in hand over one more than their mean: unused room fills when calls slow
BEST_CALL_TIME_DRIFT_PER_S = 0.01  # a second: a best call time that is never met again is forgotten
STORM_CAPACITY_FRACTION, MIN_RETRY_FRACTION = 0.95, 0.02  # of what can be served, in a storm: first tries and retries; retries
STORM_RETRY_PENALTY = 10.0  # points that a retry goes back in a storm: first tries become retries behind it
RETRY_LIMIT_STEP = 0.1  # change of that rate, as a share, that is worth a word
FLEET_FULL_FREE_FRACTION = 0.05  # of what the others can serve that is free: with less nobody is to ask them either
HANDOVER_WAIT_FRACTION = 0.03  # of the shortest target latency: a longer line is worth handing over from
NOT_EXECUTED_ENDINGS = (Ending.FULL, Ending.UNREACHABLE, Ending.MOOT)


class Stage(Enum):
    QUEUED = "held"
    FOLLOWING = "following"  # a repeat of a request that is still held here
    SHARING_ANSWER = "repeating"  # takes its answer from the request that it repeats
    RUNNING = "running"
    PAUSED = "paused"
    AWAITING_CALL = "stalled"  # needs a call
    CALLING = "calling"
    AT_PEER = "handed"  # a peer has it
    __hash__ = object.__hash__  # members are single; Enum's own hash is Python code on every step


CALL_STAGES = (Stage.AWAITING_CALL, Stage.CALLING)
IN_PROGRESS_STAGES = (Stage.RUNNING, Stage.PAUSED, *CALL_STAGES)


class RequestClass:
    """What the decisions read of a request type."""

    def __init__(self, op_type: RequestType, base: float) -> None:
        self.base_priority = base
        self.op_timeout = op_type.get("op_timeout") or math.inf
        self.target_latency = min(op_type.get("target_latency") or math.inf, self.op_timeout)
        self.late_worth = op_type.get("late_worth", 0.0)
        self.keyed = op_type.get("effect") is Effect.KEYED
        self.retryable = op_type.get("effect", Effect.NON_RETRYABLE) is Effect.RETRYABLE
        self.repeat_window = op_type.get("repeat_window", 0.0)
        self.degraded_worth = op_type.get("degraded_worth", 0.0)
        self.must_call = op_type.get("calls_below", False) and self.degraded_worth <= 0.0


def request_classes(op_types: list[RequestType]) -> list[RequestClass]:
    """Bases evenly over the distinct importances, the highest at 0."""
    base_of = bases(op_type.get("importance", 1.0) for op_type in op_types)
    return [RequestClass(op_type, base_of[op_type.get("importance", 1.0)]) for op_type in op_types]


class Request:
    """A request that was read and has not ended."""

    def __init__(self, ref: Ref, request_class: RequestClass, tenant: int, work: float, held_kb: float) -> None:
        self.ref, self.request_class, self.tenant, self.work, self.memory_kb = ref, request_class, tenant, work, held_kb
        self.quota_penalty = 0.0
        self.arrived_at = self.deadline = self.latency_deadline = self.stage_since = self.spent = self.call_until = 0.0
        self.stage = Stage.QUEUED
        self.is_retry = self.has_work_hint = self.may_have_run = self.is_answered = self.is_key_kept = self.should_stop = False
        self.was_handed_over = False  # it came from a peer, or was with one: once is the most
        self.leader: Request | None = None
        self.call_ending: int | None = None


class AdmissionController:
    def __init__(self, deployment: Deployment, seed: int, now: float) -> None:
        get = deployment.get
        self.request_classes = request_classes(get("op_types", []))
        self.some_must_call = any(request_class.must_call for request_class in self.request_classes)
        self.cores = max(1, get("cores", 1))
        self.ageing_rate = ageing_rate(
            max((request_class.target_latency for request_class in self.request_classes), default=BASE_SPAN)
        )
        self.shortest_target = min((request_class.target_latency for request_class in self.request_classes), default=math.inf)
        self.tenant_shares = [TENANT_SHARE_FACTOR * tenant.get("fraction", 1.0) for tenant in get("tenants", [])]
        self.quotas_per_s = [tenant.get("quota_per_s", math.inf) / max(1, get("instances", 1)) for tenant in get("tenants", [])]
        self.tenant_first_tries = [SlidingWindow() for _ in self.quotas_per_s]
        self.callers, self.gauges = max(1, get("callers", 1)), get("gauges", [])
        self.max_running_per_core, self.warm_up_s = get("crowd_per_core", 2.0), get("cold_for", 0.0)
        self.cold_speed = get("cold_speed", 1.0) if get("fresh_start", False) else 1.0
        self.memory_limit_kb = MEMORY_FRACTION * get("memory_kb", math.inf)
        self.run_factor, self.key_kb = get("run_factor", 1.0), get("key_kb", 0.0)
        self.stop_mode, self.advice = get("stop_mode"), get("advice")
        self.max_hold_off = get("max_hold_off", 0.0) if get("hold_off_allowed", False) else 0.0
        self.share = get("calls_share", 0.0) if get("shared_dependency", False) else math.inf
        self.share_window_s, self.linger_s = get("calls_window") or 1.0, get("call_linger", 0.0)
        self.answer_margin_s = ANSWER_MARGIN_S + 2 * get("tick", 0.0)
        self.random_state = seed % 2**64
        self.started_at = self.now = self.next_sweep_at = self.recalculated_at = now
        self.by_ref: dict[Ref, Request] = {}
        self.by_stage: dict[Stage, dict[Ref, Request]] = {stage: {} for stage in Stage}
        self.unplaced: dict[Ref, Request] = {}
        self.unused_keys: list[Ref] = []
        self.expired: list[Request] = []
        self.expires_at: dict[Ref, float] = {}
        self.expirations: list[tuple[float, Ref]] = []
        self.lingering_until: list[float] = []
        self.running_by_tenant: Counter[int] = Counter()
        self.memory_used_kb = self.unread_wait_s = 0.0
        self.limit, self.full_since, self.pace, self.service_rate = self.cores, math.inf, 0.0, 0.0
        self.run_time, self.work_done, self.full_time, self.work_done_full = (
            SlidingWindow(),
            SlidingWindow(),
            SlidingWindow(),
            SlidingWindow(),
        )
        self.runs, self.errors, self.arrivals, self.retries, self.rejections = (
            SlidingWindow(),
            SlidingWindow(),
            SlidingWindow(),
            SlidingWindow(),
            SlidingWindow(),
        )
        self.hint_count, self.hinted_work = SlidingWindow(1.0), SlidingWindow(1.0)
        self.calls_in_dependency = SlidingWindow(self.share_window_s / BUCKET_COUNT, BUCKET_COUNT + 1)
        self.call_time_in_progress, self.calls_ended = (
            SlidingWindow(RECALCULATION_INTERVAL_S),
            SlidingWindow(RECALCULATION_INTERVAL_S),
        )
        self.call_limit, self.recent_call_time, self.baseline_call_time, self.call_time = float(self.cores), 0.0, 0.0, 0.0
        self.best_call_time, self.call_count, self.last_call_at, self.last_call_time = math.inf, 0, now, 0.0
        self.load_to_divert, self.reported_diversion = 0.5 * (1.0 - self.cold_speed), 0.0
        self.max_idle_s = self.idle_timeout_s = self.reported_idle_timeout_s = get("longest_idle", 0.0)
        self.reported_healthy, self.unhealthy_until, self.unhealthy_s = True, now, MIN_UNHEALTHY_S
        self.drain_started_at, self.stop_at, self.drain_grace = math.inf, math.inf, get("drain_grace", 0.0)
        self.armed_for, self.wakeup_token = math.inf, 0
        self.is_storm, self.first_tries, self.reported_retry_limit = False, 0.0, math.inf
        self.rate_budgets: dict[int, tuple[float, Sequence[tuple[float, float]]]] = {}
        self.recent_runs: dict[int, list[float]] = {}
        self.concurrency_budgets: dict[int, tuple[float, Sequence[tuple[float, float]]]] = {}
        self.peer_free_fraction, self.is_outlier, self.peer_diversion, self.retry_allowance, self.offers = (
            -1.0,
            False,
            0.0,
            math.inf,
            0,
        )
        self.steps = (
            self._forget_unused_key,
            self._place_arrival,
            self._expire,
            self._stop_run,
            self._start_call,
            self._answer_follower,
            self._start,
            self._hand_over_next,
            self._advise,
            self._limit_retries,
            self._set_wakeup,
        )

    # Bookkeeping: what the host reports.

    def record_arrival(
        self,
        now: float,
        ref: Ref,
        op_type: int,
        age: float,
        wait: float,
        tenant: int,
        repeat_of: Ref,
        caller: int,
        work: float,
        held_kb: float,
        further_try: bool,
    ) -> None:
        self._advance_time(now)
        request_class = self.request_classes[op_type]
        if work > 0.0:
            self.hint_count.add(now, 1.0)
            self.hinted_work.add(now, min(work, request_class.op_timeout))  # a bad one of an hour must not spoil the mean
        request = Request(ref, request_class, tenant if self.tenant_shares else caller, work or self._mean_work(), held_kb)
        request.arrived_at, request.stage_since, request.is_retry, request.has_work_hint = (
            now - age,
            now,
            further_try,
            work > 0.0,
        )
        request.deadline = now + wait if wait > 0.0 else max(now, request.arrived_at + request_class.op_timeout)
        # A later try's client has waited before, at most as long as its patience lacks of the request timeout.
        before = request_class.op_timeout - wait - age if further_try and wait > 0.0 else 0.0
        request.latency_deadline = min(request.deadline, request.arrived_at + request_class.target_latency - max(0.0, before))
        request.leader = self.by_ref.get(repeat_of) if repeat_of else None
        if repeat_of and (request.leader is None or request.leader.may_have_run):
            request.may_have_run = True  # some try has run: from here on it may not be nacked
        self.by_ref[ref] = self.by_stage[Stage.QUEUED][ref] = self.unplaced[ref] = request
        self.memory_used_kb += held_kb
        self.next_sweep_at = min(self.next_sweep_at, request.deadline - self.answer_margin_s)
        self.arrivals.add(now, 1.0)
        request.quota_penalty = self._quota_penalty(request)
        self.retries.add(now, float(further_try))
        self.unread_wait_s += UNREAD_WEIGHT * (min(age, request_class.op_timeout) - self.unread_wait_s)  # none is worth more

    def _quota_penalty(self, request: Request) -> float:
        """Points by which a request goes back for its tenant's first tries here beyond its part of the quota."""
        if request.tenant >= len(self.quotas_per_s):
            return 0.0
        if not request.is_retry:
            self.tenant_first_tries[request.tenant].add(self.now, 1.0)
        rate = self.tenant_first_tries[request.tenant].total(self.now) / (BUCKET_S * BUCKET_COUNT)
        return OVER_QUOTA_PENALTY * max(0.0, 1.0 - self.quotas_per_s[request.tenant] / rate) if rate else 0.0

    def record_run_end(self, now: float, ref: Ref, ending: int) -> None:
        self._advance_time(now)
        request = self.by_ref.get(ref)
        if request is None:
            return
        if ending == Ending.STOPPED and not request.is_answered and not request.should_stop:
            self._move(request, Stage.PAUSED)
            return
        was_running, spent = request.stage is Stage.RUNNING, self._run_time(request)
        self._close(request)
        if was_running and ending in (Ending.OK, Ending.ERROR):
            self.run_time.add(now, spent)
            self.errors.add(now, float(ending == Ending.ERROR))
            self.work_done.add(now, request.work)
            self.runs.add(now, 1.0)
            self.work_done_full.add(now, request.work if now >= self.full_since else 0.0)

    def record_call_request(self, now: float, ref: Ref) -> None:
        self._advance_time(now)
        if request := self.by_ref.get(ref):
            request.call_ending = None
            self._move(request, Stage.AWAITING_CALL)

    def record_call_end(self, now: float, ref: Ref, ending: int) -> None:
        self._advance_time(now)
        if ending in (Ending.TIMEOUT, Ending.INTERRUPTED):
            self.lingering_until.append(now + self.linger_s)
        if request := self.by_ref.get(ref):
            self._record_call_time(ending, now - request.stage_since)
            request.call_ending = ending
            self._move(request, Stage.RUNNING if ending == Ending.OK else Stage.AWAITING_CALL)

    def _record_call_time(self, ending: int, elapsed: float) -> None:
        self.last_call_at, self.last_call_time = self.now, elapsed
        if ending in NOT_EXECUTED_ENDINGS:
            return self._decrease_call_limit()
        self.call_count += 1
        self.calls_ended.add(self.now, 1.0)
        self.recent_call_time += (elapsed - self.recent_call_time) / min(self.call_count, RECENT_CALLS)
        self.baseline_call_time += (elapsed - self.baseline_call_time) / min(self.call_count, BASELINE_CALLS)

    def record_abandonment(self, now: float, ref: Ref) -> None:
        self._advance_time(now)
        if request := self.by_ref.get(ref):
            self._release(request)

    def begin_drain(self, now: float, grace: float) -> None:
        self._advance_time(now)
        self.drain_started_at, self.stop_at, self.next_sweep_at = now, now + grace, now
        for request in self.by_ref.values():
            request.deadline = min(request.deadline, self.stop_at - STOP_MARGIN_S)

    def set_retry_storm(self, now: float, on: bool, first_tries: float) -> None:
        """From a host with storm books: if repeats go beyond what can be served, first tries a second."""
        self._advance_time(now)
        self.is_storm, self.first_tries = on, first_tries

    def set_tenant_budget(self, now: float, tenant: int, window: float, pieces: Sequence[tuple[float, float]]) -> None:
        """From a host whose instances share totals: the runs of a tenant that this one may start in any
        window, or have in hand where that is 0, as units and until when they are ours."""
        self._advance_time(now)
        (self.rate_budgets if window else self.concurrency_budgets)[tenant] = window, pieces

    def set_dependency_share(self, now: float, share: float) -> None:  # our part, where the instances settle it
        self._advance_time(now)
        self.share = share

    def update_peer_load(self, now: float, room: float, ill: bool, hear_most: float, shut: float) -> None:
        """The share of what the others can serve that is free, below 0 where not known; whether they judge us
        ill; retries a second that are left to us; of what comes to us, the share that fits elsewhere."""
        self._advance_time(now)
        self.peer_free_fraction, self.is_outlier, self.retry_allowance, self.peer_diversion = room, ill, hear_most, shut

    def set_peer_offers(self, now: float, count: int) -> None:
        """Ops that peers have room for just now."""
        self._advance_time(now)
        self.offers = count

    def mark_received_from_peer(self, now: float, ref: Ref) -> None:
        self.by_ref[ref].was_handed_over = True

    def record_handover_end(self, now: float, ref: Ref, ending: int) -> None:
        """What became of a request at a peer; if its link broke nobody knows whether it ran."""
        self._advance_time(now)
        if request := self.by_stage[Stage.AT_PEER].get(ref):
            request.may_have_run = ending not in NOT_EXECUTED_ENDINGS
            if request.may_have_run and (ending != Ending.INTERRUPTED or not request.request_class.retryable):
                return self._close(request)
            self._move(request, Stage.QUEUED)
            if not request.may_have_run:
                self.unplaced[ref] = request

    def record_early_rejections(self, now: float, count: int) -> None:
        """Retries that the host nacked by the last word on how many are heard."""
        self._advance_time(now)
        for ring in (self.arrivals, self.retries, self.rejections):
            ring.add(now, float(count))

    def handle_wakeup(self, now: float, token: int, readings: Sequence[float]) -> None:
        self._advance_time(now)
        gauges = dict(zip(self.gauges, readings))
        self.armed_for = math.inf if token == self.wakeup_token else self.armed_for
        room = self.rejections.total(now) <= LOW_REJECTION_FRACTION * self.arrivals.total(now)
        many = gauges.get("links", 0.0) > MANY_CONNECTIONS_PER_CORE * self.cores
        self.idle_timeout_s = min(SHORT_IDLE_TIMEOUT_S, self.max_idle_s) if many and room else self.max_idle_s
        busy = gauges.get("core_use", 1.0)
        # In a storm the host is late: what its way there and back leaves idle is a slot's worth, too.
        idle = busy < (0.95 if self.is_storm else 0.85)
        if now >= self.full_since + GAUGE_PERIOD_S and idle and self.limit < self._in_progress_ceiling():
            self.limit += 1
        elif busy > 0.97 and self.limit > self.cores:
            self.limit -= 1

    def _advance_time(self, now: float) -> None:
        span, self.now = max(0.0, now - self.now), max(now, self.now)
        if span > 0.0:
            self.full_time.add(now, span if now >= self.full_since else 0.0)
            self.call_time_in_progress.add(now, span * len(self.by_stage[Stage.CALLING]))
            self.calls_in_dependency.add(now, span * (len(self.by_stage[Stage.CALLING]) + len(self.lingering_until)))
            self.lingering_until = [until for until in self.lingering_until if until > now]
            while self.expirations and self.expirations[0][0] <= now:
                end, ref = heapq.heappop(self.expirations)
                if self.expires_at.get(ref) == end:
                    self._forget_key(ref)
            if now - self.recalculated_at >= RECALCULATION_INTERVAL_S / 2:
                self._recalculate()

    def _recalculate(self) -> None:
        span, self.recalculated_at = self.now - self.recalculated_at, self.now
        self.pace = self._measure_pace()
        full_time, done_full = self.full_time.total(self.now), self.work_done_full.total(self.now)
        if full_time >= MIN_FULL_TIME_S * (1 if done_full else 4):
            self.service_rate = max(done_full, 0.001) / full_time
        self._update_health()
        self._update_call_limit(span)
        self.unread_wait_s *= max(0.0, 1.0 - span / UNREAD_DECAY_S)
        wait = (self.unread_wait_s + self._queued_wait()) / self.shortest_target
        self.load_to_divert = min(
            1.0, max(0.0, self.load_to_divert + BACKPRESSURE_GAIN_PER_S * span * (wait - CALM_WAIT_FRACTION))
        )

    def _update_call_limit(self, span: float) -> None:
        """Many instances share the dependency: our part of the calls it bears may be under one at a time."""
        if self.call_count >= RECENT_CALLS:
            self.best_call_time = min(self.best_call_time * (1.0 + BEST_CALL_TIME_DRIFT_PER_S * span), self.baseline_call_time)
            if not self.by_stage[Stage.CALLING]:
                self.recent_call_time += (self.best_call_time - self.recent_call_time) * min(1.0, span / CALL_TIME_RECOVERY_S)
        spent = RECENT_CALLS * self.recent_call_time + self.call_time_in_progress.total(self.now)
        self.call_time = spent / (RECENT_CALLS + self.calls_ended.total(self.now))
        used = self.calls_in_dependency.total(self.now) / self.share_window_s
        if self._is_crowded():
            self._decrease_call_limit()
        else:
            self.call_limit = min(self.call_limit * CALL_LIMIT_INCREASE, CALL_LIMIT_HEADROOM * (1.0 + used))

    def _decrease_call_limit(self) -> None:
        floor = min(1.0, max(0.01, CALL_LIMIT_FLOOR_FRACTION * self.share))
        self.call_limit = max(floor, self.call_limit * CALL_LIMIT_DECREASE)

    def _measure_pace(self) -> float:
        """Slot time for each unit of work. What runs counts as far as it should have come, at most all its
        work: else a long request on few cores looks like a slow machine, and a stuck machine like a sound one."""
        running = [(self._run_time(request), request.work) for request in self.by_stage[Stage.RUNNING].values()]
        spent = self.run_time.total(self.now) + sum(time for time, _ in running)
        if spent <= BUCKET_S * self.cores:
            return 0.0
        done = self.work_done.total(self.now)
        pace = self.pace or spent / (done + sum(work for _, work in running))
        return spent / (done + sum(min(work, time / pace) for time, work in running))

    def _run_time(self, request: Request) -> float:
        return request.spent + (self.now - request.stage_since if request.stage is Stage.RUNNING else 0.0)

    def _update_health(self) -> None:
        """Slow or stuck, whatever the cause but cold, or failing what it runs, which is quick and draws
        callers: they should go elsewhere, unless the others are full. It asks again, later each time."""
        run = self.pace * self._mean_work() * self._warmth()
        slow = run > SLOW_RUN_FACTOR * self.shortest_target and not self._fleet_full()
        failing = self.errors.total(self.now) > max(self.cores, FAILING_RUN_FRACTION * self.runs.total(self.now))
        if slow or failing or self.is_outlier:
            if self.now >= self.unhealthy_until:
                self.unhealthy_s = min(MAX_UNHEALTHY_S, 2.0 * self.unhealthy_s)
            self.unhealthy_until = self.now + self.unhealthy_s * (0.75 + 0.5 * self._random_fraction())
        elif self.pace and self.now >= self.unhealthy_until:
            self.unhealthy_s = MIN_UNHEALTHY_S

    def _random_fraction(self) -> float:
        """Below 1, by chance: instances that fell ill together must not ask for trade again together."""
        self.random_state = (self.random_state * 6364136223846793005 + 1442695040888963407) % 2**64
        return (self.random_state >> 33) / 2**31

    def _move(self, request: Request, stage: Stage) -> None:
        if request.stage is stage:
            return
        request.spent = self._run_time(request)
        del self.by_stage[request.stage][request.ref]
        change = (stage in IN_PROGRESS_STAGES) - (request.stage in IN_PROGRESS_STAGES)
        self.memory_used_kb += change * request.memory_kb * (self.run_factor - 1.0)
        self.running_by_tenant[request.tenant] += change
        self.by_stage[stage][request.ref] = request
        request.stage, request.stage_since = stage, self.now

    def _close(self, request: Request) -> None:
        """Its memory is back; repeats that waited for it as it was held go on without it."""
        del self.by_ref[request.ref], self.by_stage[request.stage][request.ref]
        self.unplaced.pop(request.ref, None)
        in_hand = request.stage in IN_PROGRESS_STAGES
        self.memory_used_kb -= request.memory_kb * (self.run_factor if in_hand else 1.0)
        self.running_by_tenant[request.tenant] -= in_hand
        if request.is_key_kept and not request.may_have_run:
            self.unused_keys.append(request.ref)
        if not request.may_have_run:  # one may run: the first stands in its place, the others wait for that one
            heir = None
            for follower in [other for other in self.by_stage[Stage.FOLLOWING].values() if other.leader is request]:
                follower.leader, heir = heir, heir or follower
                if follower is heir:
                    self._move(heir, Stage.QUEUED)
                    self.unplaced[heir.ref] = heir

    def _release(self, request: Request) -> None:
        """Nobody waits for it any more; what runs or is at a call still fills its place until it ends."""
        if request.stage in (Stage.RUNNING, *CALL_STAGES):
            request.is_answered = True
            request.should_stop = request.stage is Stage.RUNNING
        else:
            self._close(request)

    def _forget_key(self, ref: Ref) -> None:
        if self.expires_at.pop(ref, None) is not None:
            self.memory_used_kb -= self.key_kb

    # What the books say.

    def _mean_work(self) -> float:
        hints = self.hint_count.total(self.now)
        return self.hinted_work.total(self.now) / hints if hints else 1.0

    def _priority(self, request: Request) -> float:
        if request.latency_deadline < self.now + (self._call_wait() if request.stage in CALL_STAGES else 0.0):
            return math.inf  # only late worth is left: it must not delay what can still be in time
        back = STORM_RETRY_PENALTY if self.is_storm and request.is_retry else 0.0
        return effective_priority(
            request.request_class.base_priority + request.quota_penalty + back, self.now - request.arrived_at, self.ageing_rate
        )

    def _expected_run(self, request: Request) -> float:
        """What is left of its run, with the line before the calls that it can't do without."""
        calls = self._call_wait() if request.request_class.must_call else 0.0
        return calls if request.stage in CALL_STAGES else self.pace * request.work + calls

    def _call_wait(self) -> float:
        line = self._expected_callers(Stage.RUNNING, Stage.AWAITING_CALL)
        return self.call_time * (1.0 + line / self.call_limit) + max(0.0, self._pause_before_call())

    def _expected_callers(self, *stages: Stage) -> int:
        return sum(
            request.request_class.must_call and not request.is_answered
            for stage in stages
            for request in self.by_stage[stage].values()
        )

    def _is_saturated(self) -> bool:
        """As many run or wait as the calls in hand can serve: one more would have run for nothing."""
        run = self.pace * self._mean_work()
        places = self.call_limit * (1.0 + run / self.call_time) if self.call_time else math.inf
        return self._expected_callers(*IN_PROGRESS_STAGES) >= max(1.0, places)

    def _pause_before_call(self) -> float:
        """Until the next call where less than one at a time is our part: calls spread in time."""
        return self.last_call_at + self.last_call_time * (1.0 / self.call_limit - 1.0) - self.now

    def _is_crowded(self) -> bool:
        return self.call_time > CROWDED_CALL_FACTOR * self.best_call_time

    def _wait_allowed(self, request: Request, last: float) -> float:
        """How long it may still be held to end by then: W_max less its own run. A request without a hint may be
        far shorter than the mean: a long shot, where only less important ops or none hold the cores."""
        run = self._expected_run(request) * (SHORT_RUN_FRACTION if self._is_long_shot(request) else 1.0)
        return min(last, request.deadline - self.answer_margin_s) - self.now - run

    def _is_long_shot(self, request: Request) -> bool:
        running = self.by_stage[Stage.RUNNING].values()
        return (
            not request.has_work_hint
            and sum(other.request_class.base_priority <= request.request_class.base_priority for other in running) < self.limit
        )

    def _warmth(self) -> float:
        """The share of its speed that it has by now at the slowest warming."""
        warmed = (self.now - self.started_at) / self.warm_up_s if self.warm_up_s > 0.0 else 1.0
        return min(1.0, self.cold_speed + (1.0 - self.cold_speed) * warmed)

    def _in_progress_ceiling(self) -> float:
        return IN_PROGRESS_FRACTION * self.cores * (1.0 + (self.max_running_per_core - 1.0) * self._warmth())

    def _running_cap(self, request: Request) -> int:
        share = (
            self.tenant_shares[request.tenant]
            if request.tenant < len(self.tenant_shares)
            else TENANT_SHARE_FACTOR / self.callers
        )
        return account_cap(self.limit, share)

    def _budget_rate(self, tenant: int) -> float:
        """Runs a second that a tenant's part makes room for; without a part there is no bound."""
        if tenant not in self.rate_budgets:
            return math.inf
        window, pieces = self.rate_budgets[tenant]
        return sum(units for units, until in pieces if self.now < until) / window

    def _has_budget(self, tenant: int) -> bool:
        if tenant in self.concurrency_budgets:
            lasts = self.now + 2.0 * self.pace * self._mean_work()
            cap = sum(units for units, until in self.concurrency_budgets[tenant][1] if lasts < until)
            if self.running_by_tenant[tenant] >= cap:
                return False
        if tenant not in self.rate_budgets:
            return True
        window = self.rate_budgets[tenant][0]
        used = self.recent_runs[tenant] = [t for t in self.recent_runs.get(tenant, ()) if t > self.now - window]
        return len(used) + 1 <= self._budget_rate(tenant) * window

    def _exceeds_budget(self, request: Request) -> bool:
        """L_max of a tenant whose runs the fleet shares out: what its part starts in this one's time."""
        rate = self._budget_rate(request.tenant)
        held = sum(
            other.tenant == request.tenant and other.ref not in self.unplaced
            for other in self.by_stage[Stage.QUEUED].values()
            if other is not request
        )
        return (
            rate < math.inf
            and held >= rate * max(0.0, self._wait_allowed(request, request.latency_deadline))
            and not (held == 0 and self._has_budget(request.tenant))
        )

    def _queued_wait(self) -> float:
        work = sum(request.work for request in self.by_stage[Stage.QUEUED].values())
        return work / self.service_rate if self.service_rate else 0.0

    def capacity(self) -> float:
        """Ops a second that can be served: by the slots at the pace seen, else as when last full."""
        return (self.limit / self.pace if self.pace else self.service_rate or self.limit) / self._mean_work()

    # Deciding: one step after another, each gives a decision or None.

    def next_decision(self, now: float) -> Decision | None:
        self._advance_time(now)
        for step in self.steps:
            if decision := step():
                return decision
        full = self.by_stage[Stage.QUEUED] and len(self.by_stage[Stage.RUNNING]) >= self.limit
        self.full_since = min(self.full_since, now) if full else math.inf
        return None

    def _forget_unused_key(self) -> Decision | None:
        if self.unused_keys:
            self._forget_key(ref := self.unused_keys.pop())
            return Decision(Verb.FORGET, ref)
        return None

    def _place_arrival(self) -> Decision | None:
        """What becomes of a request on reading: a repeat, nacked, or held."""
        while self.unplaced:
            request = next(iter(self.unplaced.values()))
            request.deadline = min(request.deadline, self.stop_at - STOP_MARGIN_S)
            if request.arrived_at > self.drain_started_at + self.drain_grace - self.answer_margin_s:
                return self._reject_or_fail(request, "drain")
            del self.unplaced[request.ref]
            if request.may_have_run:
                self._move(request, Stage.SHARING_ANSWER)
                return Decision(Verb.ANSWER_FROM, request.ref)
            if request.leader is not None:
                self._move(request, Stage.FOLLOWING)
                continue
            key_kb = self.key_kb if request.request_class.keyed else 0.0
            if self.memory_used_kb + key_kb > self.memory_limit_kb:
                return self._reject_or_fail(request, "memory")
            if self._exceeds_bound(request):
                return self._reject_or_fail(request, "bound")
            if self.rate_budgets and self._exceeds_budget(request):
                return self._reject_or_fail(request, "part")
            if request.request_class.keyed:
                return self._keep_key(request)
        return None

    def _keep_key(self, request: Request) -> Decision:
        span = max(0.0, request.arrived_at + request.request_class.repeat_window - self.now) + self.answer_margin_s
        request.is_key_kept, self.expires_at[request.ref] = True, self.now + span
        heapq.heappush(self.expirations, (self.now + span, request.ref))
        self.memory_used_kb += self.key_kb
        return Decision(Verb.KEEP, request.ref, span)

    def _work_ahead(self, request: Request) -> float:
        own = self._priority(request)
        return sum(
            other.work
            for other in self.by_stage[Stage.QUEUED].values()
            if other is not request and self._priority(other) <= own
        )

    def _exceeds_bound(self, request: Request, ahead: float | None = None) -> bool:
        """L_max = mu x W_max, over what would start before it; its own type is part of that."""
        late_pays = request.request_class.late_worth > 0.0 and not (request.request_class.must_call and self._is_crowded())
        if self._wait_allowed(request, request.deadline if late_pays else request.latency_deadline) < 0.0:
            return True
        if not self.service_rate:
            return False
        spread = (HINTED_RUN_SPREAD if request.has_work_hint else UNHINTED_RUN_SPREAD) * self.pace * request.work
        wait = max(0.0, self._wait_allowed(request, request.latency_deadline) - spread)
        ahead = self._work_ahead(request) if ahead is None else ahead
        return ahead >= class_bound(self.service_rate, wait, self.limit * self._mean_work())

    def _reject_or_fail(self, request: Request, cause: str) -> Decision:
        """The final answer to what is given up: a nack only if no try of it ever ran, no peer has room."""
        if cause in ("bound", "memory", "drain") and self._may_hand_over(request):
            return self._hand_over(request, cause)
        if request.may_have_run or request.leader is not None and request.leader.may_have_run:
            self._release(request)
            return Decision(Verb.FAIL, request.ref, cause=cause)
        self._close(request)
        self.rejections.add(self.now, 1.0)
        return Decision(Verb.REJECT, request.ref, self._hold_off(), self._fleet_full(), cause=cause)

    def _fleet_full(self) -> bool:
        if self.peer_free_fraction >= 0.0:
            return self.peer_free_fraction < FLEET_FULL_FREE_FRACTION
        return self.retries.total(self.now) > FLEET_FULL_RETRY_FRACTION * self.arrivals.total(self.now)

    def _hold_off(self) -> float:
        if self.now >= self.drain_started_at:
            return self.max_hold_off
        wait = self.unread_wait_s + self._queued_wait() - CALM_WAIT_FRACTION * self.shortest_target
        return min(self.max_hold_off, max(0.05, wait))

    def _may_hand_over(self, request: Request) -> bool:
        fit = (
            request.stage is Stage.QUEUED
            and request.leader is None
            and not (request.was_handed_over or request.may_have_run or request.request_class.keyed)
        )
        return fit and self.offers > 0 and self._wait_allowed(request, request.deadline) > 0.0

    def _hand_over(self, request: Request, cause: str) -> Decision:
        self.unplaced.pop(request.ref, None)
        self.offers, request.was_handed_over, request.may_have_run = self.offers - 1, True, True
        self._move(request, Stage.AT_PEER)
        return Decision(Verb.HAND_OVER, request.ref, cause=cause)

    def _hand_over_next(self) -> Decision | None:
        """Whose turn is next starts at once at a peer with room, if the line here is worth it."""
        able = (
            [request for request in self.by_stage[Stage.QUEUED].values() if self._may_hand_over(request)]
            if self.offers > 0
            else ()
        )
        line = self.pace * sum(request.work for request in self.by_stage[Stage.QUEUED].values()) / self.limit if able else 0.0
        if able and (line > HANDOVER_WAIT_FRACTION * self.shortest_target or self.now >= self.drain_started_at):
            return self._hand_over(min(able, key=self._priority), "order")
        return None

    def _expire(self) -> Decision | None:
        """One sweep for due times and, on each beat, the bound again for all that is held."""
        if self.now >= self.next_sweep_at:
            last = self.now + self.answer_margin_s
            self.expired = [request for request in self.by_ref.values() if not request.is_answered and request.deadline <= last]
            ahead = 0.0
            for request in sorted(self.by_stage[Stage.QUEUED].values(), key=self._priority):
                if request.deadline > last and self._exceeds_bound(request, ahead):
                    self.expired.append(request)
                else:
                    ahead += request.work
            later = (
                request.deadline for request in self.by_ref.values() if not request.is_answered and request.deadline > last
            )
            self.next_sweep_at = min(min(later, default=math.inf) - self.answer_margin_s, self.now + RECALCULATION_INTERVAL_S)
        while self.expired:
            request = self.expired.pop()
            if request.ref in self.by_ref and not request.is_answered:
                return self._reject_or_fail(request, "due" if request.deadline <= self.now + self.answer_margin_s else "bound")
        return None

    def _stop_run(self) -> Decision | None:
        if self.stop_mode is None:
            return None
        for request in self.by_stage[Stage.RUNNING].values():
            if request.should_stop:
                request.should_stop = False
                return Decision(Verb.STOP, request.ref)
        return None

    def _start_call(self) -> Decision | None:
        waiting = [request for request in self.by_stage[Stage.AWAITING_CALL].values() if not request.is_answered]
        if not waiting:
            return None
        crowded, room = self._is_crowded(), self._call_headroom()
        spread = self.call_limit >= 1.0 or self._pause_before_call() <= 0.0
        free = len(self.by_stage[Stage.CALLING]) < self.call_limit and spread
        for request in sorted(waiting, key=self._priority):
            degradable = request.request_class.degraded_worth > 0.0
            left = (request.latency_deadline if degradable or crowded else request.deadline - self.answer_margin_s) - self.now
            patience = min(left, room)
            fits = free and patience >= min(left, 2.0 * self.call_time)
            spoilt = request.call_ending is not None and not (
                request.request_class.retryable or request.call_ending in NOT_EXECUTED_ENDINGS
            )
            if spoilt or not degradable and crowded and left <= 0.0:
                return self._reject_or_fail(request, "call")
            if degradable and (request.call_ending is not None or crowded or not fits or left <= 0.0):
                self._move(request, Stage.RUNNING)
                return Decision(Verb.SKIP_CALL, request.ref)
            if patience > 0.0 and fits:
                request.call_until = self.now + patience
                self._move(request, Stage.CALLING)
                return Decision(Verb.CALL, request.ref, patience)
        return None

    def _call_headroom(self) -> float:
        """The time-out that keeps the mean below within our share even if every call lasts to its own."""
        ahead = sum(request.call_until - self.now + self.linger_s for request in self.by_stage[Stage.CALLING].values())
        ahead += sum(until - self.now for until in self.lingering_until) + self.linger_s
        return 0.9 * self.share * self.share_window_s - self.calls_in_dependency.total(self.now) - ahead

    def _answer_follower(self) -> Decision | None:
        for request in self.by_stage[Stage.FOLLOWING].values():
            if request.leader.may_have_run:
                request.may_have_run = True
                self._move(request, Stage.SHARING_ANSWER)
                return Decision(Verb.ANSWER_FROM, request.ref)
        return None

    def _start(self) -> Decision | None:
        waiting = [*self.by_stage[Stage.QUEUED].values(), *self.by_stage[Stage.PAUSED].values()]
        if not waiting or len(self.by_stage[Stage.RUNNING]) >= self.limit:
            return None
        in_hand = sum(len(self.by_stage[stage]) for stage in IN_PROGRESS_STAGES)
        if self.some_must_call and self._is_saturated():
            waiting = [request for request in waiting if not request.request_class.must_call]
        if self.rate_budgets or self.concurrency_budgets:
            waiting = [request for request in waiting if request.stage is Stage.PAUSED or self._has_budget(request.tenant)]
        if not waiting or in_hand >= self._in_progress_ceiling():
            return None
        free = [request for request in waiting if self.running_by_tenant[request.tenant] < self._running_cap(request)]
        request = min(free or waiting, key=self._priority)
        more_kb = request.memory_kb * (self.run_factor - 1.0) if request.stage is Stage.QUEUED else 0.0
        if self.memory_used_kb + more_kb > self.memory_limit_kb and in_hand:
            return None
        if request.tenant in self.rate_budgets and request.stage is Stage.QUEUED:
            self.recent_runs.setdefault(request.tenant, []).append(self.now)
        request.may_have_run = True
        self._move(request, Stage.RUNNING)
        return Decision(Verb.RUN, request.ref, cause="order" if len(free) in (0, len(waiting)) else "cap")

    def _advise(self) -> Decision | None:
        if self.idle_timeout_s != self.reported_idle_timeout_s:
            self.reported_idle_timeout_s = self.idle_timeout_s
            return Decision(Verb.TRIM, seconds=self.idle_timeout_s)
        healthy = self.now < self.drain_started_at and self.now >= self.unhealthy_until
        if healthy is not self.reported_healthy:
            self.reported_healthy = healthy
            return Decision(Verb.HEALTH, flag=healthy)
        # Who is told a floor of 1 asks nobody else, either: while leaving, nacks send callers on.
        shut = max(self.load_to_divert, self.peer_diversion)
        shut = shut if healthy or self.advice is Advice.FLOOR and self.now >= self.unhealthy_until else 1.0
        if self.advice is None or abs(shut - self.reported_diversion) < 0.02:
            return None
        self.reported_diversion, open_part = shut, 1.0 - shut
        level = {Advice.FLOOR: shut, Advice.WEIGHT: open_part, Advice.ALLOWANCE: open_part * 4 * self.cores / self.callers}[
            self.advice
        ]
        return Decision(Verb.ADVISE, level=level)

    def _limit_retries(self) -> Decision | None:
        """In a storm as many retries are heard as first tries leave room for: in full they take its time."""
        rate = math.inf
        if self.is_storm:
            capacity = self.capacity()
            rate = min(
                self.retry_allowance, max(MIN_RETRY_FRACTION * capacity, STORM_CAPACITY_FRACTION * capacity - self.first_tries)
            )
        if (
            rate == self.reported_retry_limit
            or abs(rate - self.reported_retry_limit) < RETRY_LIMIT_STEP * self.reported_retry_limit < math.inf
        ):
            return None
        self.reported_retry_limit = rate
        return Decision(Verb.LIMIT_RETRIES, level=rate, cause="storm" if self.is_storm else "")

    def _set_wakeup(self) -> Decision | None:
        """One alarm for the soonest thing to do."""
        at = max(self.next_sweep_at, self.now + 0.001) if self.by_ref or self.load_to_divert > 0.0 else math.inf
        if at >= self.armed_for:
            return None
        self.wakeup_token, self.armed_for = self.wakeup_token + 1, at
        return Decision(Verb.WAKE, self.wakeup_token, self.armed_for - self.now)
