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

from mulleinhatch.admission.interface import Advice, Decision, Deployment, Effect, Ending, OpType, Ref, Verb
from mulleinhatch.admission.mechanism import (
    BASE_SPAN,
    account_cap,
    ageing_rate,
    bases,
    class_bound,
    effective_priority,
)
from mulleinhatch.sliding_window import BUCKET, BUCKETS, SlidingWindow

TENANT_ROOM = 2.0  # a tenant's running share over its fraction of the service: traffic is never even
BEAT = 0.1  # how often the hold is rescored and pressure is judged while there is work
GAUGE_SPAN = 0.5  # seconds that the gauge of core use covers: full for less, it tells nothing
FULL_ENOUGH = 0.5  # seconds at the running limit before mu is believed
CALM_WAIT = 0.18  # the share of the shortest target latency that the hold's wait may take before advice
ADVICE_GAIN = 0.3  # how fast the advice follows that wait, a second
CROWD_SHARE = 0.6  # of the crowd survived: ops return from calls together, and reading runs beside
MEMORY_SHARE = 0.9  # of the memory: what is read while a batch is under way comes on top
UNREAD_WEIGHT, UNREAD_MEMORY = 0.1, 2.0  # of one op in the mean time unread; how long that outlives it
SICK_RUN, SICK_ERRORS = 1.2, 0.5  # of the shortest target latency by a mean run; of recent runs that fail
SICK_FIRST, SICK_LONGEST = 4.0, 32.0  # seconds of bad health, doubled before each spell
HINTED_SPREAD, UNKNOWN_SPREAD = 0.5, 1.0  # of its expected run that the bound leaves an op besides
LONG_SHOT = 0.4  # of the mean run, when chances are that an op of unknown cost is shorter
OVER_SHARE = 20.0  # points that an op goes back when all its tenant's traffic is beyond its quota
ANSWER_MARGIN = 0.03  # before a due time: a timer may come late
MANY_LINKS, IDLE_KEPT = 16, 2.0  # connections a core from which idle ones may be closed, after seconds
FEW_NACKS = 0.1  # of what is read: above it a full table turns callers away at less cost than nacks
STOP_MARGIN = 0.15  # before the process is stopped: nothing is owed after that
CROWDED_RETRIES = 0.25  # share of marked retries among reads from which the whole fleet counts as full
CALL_CROWDED = 3.0  # call time over the best seen from which the dependency counts as crowded
CALL_SHRINK, CALL_GROW = 0.9, 1.1  # of the calls in hand, a beat
CALL_FLOOR = 0.4  # of our share of what the dependency survives, when even calls far apart are slow
CALLS_ENOUGH, CALLS_USUAL = 4, 16  # calls a call time leans on, now and usually: the least of few is luck
CALL_MEMORY = 2.5  # seconds without a call in which a slow one is forgotten: else none would ask again
CALL_ROOM = 3.0  # calls in hand over one more than their mean: unused room fills when calls slow
BEST_DRIFT = 0.01  # a second: a best call time that is never met again is forgotten
HEAR_ROOM, HEAR_LEAST = 0.95, 0.02  # of what can be served, in a storm: first tries and retries; retries
STORM_BACK = 10.0  # points that a retry goes back in a storm: first tries become retries behind it
HEAR_STEP = 0.1  # change of that rate, as a share, that is worth a word
OTHERS_FULL = 0.05  # of what the others can serve that is free: with less nobody is to ask them either
HAND_WAIT = 0.03  # of the shortest target latency: a longer line is worth handing over from
NOT_EXECUTED_ENDINGS = (Ending.FULL, Ending.UNREACHABLE, Ending.MOOT)


class Stage(Enum):
    HELD = "held"
    FOLLOWING = "following"  # a repeat of an op that is still held here
    REPEATING = "repeating"  # takes its answer from the op that it repeats
    RUNNING = "running"
    PAUSED = "paused"
    STALLED = "stalled"  # needs a call
    CALLING = "calling"
    HANDED = "handed"  # a peer has it
    __hash__ = object.__hash__  # members are single; Enum's own hash is Python code on every step


AT_CALL = (Stage.STALLED, Stage.CALLING)
IN_HAND = (Stage.RUNNING, Stage.PAUSED, *AT_CALL)


class Row:
    """What the decisions read of an op type."""

    def __init__(self, op_type: OpType, base: float) -> None:
        self.base = base
        self.op_timeout = op_type.get("op_timeout") or math.inf
        self.target = min(op_type.get("target_latency") or math.inf, self.op_timeout)
        self.late_worth = op_type.get("late_worth", 0.0)
        self.keyed = op_type.get("effect") is Effect.KEYED
        self.retryable = op_type.get("effect", Effect.NON_RETRYABLE) is Effect.RETRYABLE
        self.window = op_type.get("repeat_window", 0.0)
        self.degraded_worth = op_type.get("degraded_worth", 0.0)
        self.must_call = op_type.get("calls_below", False) and self.degraded_worth <= 0.0


def rows_of(op_types: list[OpType]) -> list[Row]:
    """Bases evenly over the distinct importances, the highest at 0."""
    base_of = bases(op_type.get("importance", 1.0) for op_type in op_types)
    return [Row(op_type, base_of[op_type.get("importance", 1.0)]) for op_type in op_types]


class Op:
    """An op that was read and has not ended."""

    def __init__(self, ref: Ref, row: Row, tenant: int, work: float, held_kb: float) -> None:
        self.ref, self.row, self.tenant, self.work, self.held_kb = ref, row, tenant, work, held_kb
        self.over = 0.0
        self.arrived = self.due = self.aim = self.since = self.spent = self.call_until = 0.0
        self.stage = Stage.HELD
        self.further_try = self.hinted = self.ran = self.answered = self.kept = self.unwanted = False
        self.handed = False  # it came from a peer, or was with one: once is the most
        self.leader: Op | None = None
        self.call_ending: int | None = None


class AdmissionController:
    def __init__(self, deployment: Deployment, seed: int, now: float) -> None:
        get = deployment.get
        self.rows = rows_of(get("op_types", []))
        self.some_must_call = any(row.must_call for row in self.rows)
        self.cores = max(1, get("cores", 1))
        self.ageing_rate = ageing_rate(max((row.target for row in self.rows), default=BASE_SPAN))
        self.shortest_target = min((row.target for row in self.rows), default=math.inf)
        self.shares = [TENANT_ROOM * tenant.get("fraction", 1.0) for tenant in get("tenants", [])]
        self.quotas = [tenant.get("quota_per_s", math.inf) / max(1, get("instances", 1)) for tenant in get("tenants", [])]
        self.tenant_reads = [SlidingWindow() for _ in self.quotas]
        self.callers, self.gauges = max(1, get("callers", 1)), get("gauges", [])
        self.crowd, self.cold_for = get("crowd_per_core", 2.0), get("cold_for", 0.0)
        self.cold_speed = get("cold_speed", 1.0) if get("fresh_start", False) else 1.0
        self.memory_kb = MEMORY_SHARE * get("memory_kb", math.inf)
        self.run_factor, self.key_kb = get("run_factor", 1.0), get("key_kb", 0.0)
        self.stop_mode, self.advice = get("stop_mode"), get("advice")
        self.max_hold_off = get("max_hold_off", 0.0) if get("hold_off_allowed", False) else 0.0
        self.calls_share = get("calls_share", 0.0) if get("shared_dependency", False) else math.inf
        self.calls_window, self.linger = get("calls_window") or 1.0, get("call_linger", 0.0)
        self.margin = ANSWER_MARGIN + 2 * get("tick", 0.0)
        self.chance = seed % 2**64
        self.started = self.now = self.sweep_at = self.judged_at = now
        self.ops: dict[Ref, Op] = {}
        self.at: dict[Stage, dict[Ref, Op]] = {stage: {} for stage in Stage}
        self.unplaced: dict[Ref, Op] = {}
        self.to_forget: list[Ref] = []
        self.given_up: list[Op] = []
        self.keys: dict[Ref, float] = {}
        self.key_ends: list[tuple[float, Ref]] = []
        self.lingering: list[float] = []
        self.tenant_running: Counter[int] = Counter()
        self.kb = self.unread = 0.0
        self.limit, self.full_since, self.pace, self.mu = self.cores, math.inf, 0.0, 0.0
        self.spent, self.done, self.full_time, self.done_full = (
            SlidingWindow(),
            SlidingWindow(),
            SlidingWindow(),
            SlidingWindow(),
        )
        self.runs, self.errors, self.reads, self.retries, self.nacks = (
            SlidingWindow(),
            SlidingWindow(),
            SlidingWindow(),
            SlidingWindow(),
            SlidingWindow(),
        )
        self.hints, self.hinted = SlidingWindow(1.0), SlidingWindow(1.0)
        self.calls_below = SlidingWindow(self.calls_window / BUCKETS, BUCKETS + 1)
        self.call_exposure, self.calls_done = SlidingWindow(BEAT), SlidingWindow(BEAT)
        self.call_limit, self.call_mean, self.usual_call, self.call_time = float(self.cores), 0.0, 0.0, 0.0
        self.best_call, self.calls_seen, self.last_call, self.last_call_time = math.inf, 0, now, 0.0
        self.shut, self.told_shut = 0.5 * (1.0 - self.cold_speed), 0.0
        self.longest_idle = self.idle_kept = self.told_idle = get("longest_idle", 0.0)
        self.told_healthy, self.sick_until, self.sick_for = True, now, SICK_FIRST
        self.retire_at, self.stop_at, self.drain_grace = math.inf, math.inf, get("drain_grace", 0.0)
        self.armed, self.alarms = math.inf, 0
        self.storm, self.first_tries, self.told_hear = False, 0.0, math.inf
        self.parts: dict[int, tuple[float, Sequence[tuple[float, float]]]] = {}
        self.part_used: dict[int, list[float]] = {}
        self.caps: dict[int, tuple[float, Sequence[tuple[float, float]]]] = {}
        self.others_room, self.ill, self.wished, self.hear_most, self.offered = -1.0, False, 0.0, math.inf, 0
        self.steps = (
            self._forget,
            self._place,
            self._give_up,
            self._stop_unwanted,
            self._serve_call,
            self._follow,
            self._start,
            self._hand,
            self._advise,
            self._hear,
            self._wake,
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
        self._pass_time(now)
        row = self.rows[op_type]
        if work > 0.0:
            self.hints.add(now, 1.0)
            self.hinted.add(now, min(work, row.op_timeout))  # a bad one of an hour must not spoil the mean
        op = Op(ref, row, tenant if self.shares else caller, work or self._mean_work(), held_kb)
        op.arrived, op.since, op.further_try, op.hinted = now - age, now, further_try, work > 0.0
        op.due = now + wait if wait > 0.0 else max(now, op.arrived + row.op_timeout)
        # A later try's client has waited before, at most as long as its patience lacks of the op timeout.
        before = row.op_timeout - wait - age if further_try and wait > 0.0 else 0.0
        op.aim = min(op.due, op.arrived + row.target - max(0.0, before))
        op.leader = self.ops.get(repeat_of) if repeat_of else None
        if repeat_of and (op.leader is None or op.leader.ran):
            op.ran = True  # some try has run: from here on it may not be nacked
        self.ops[ref] = self.at[Stage.HELD][ref] = self.unplaced[ref] = op
        self.kb += held_kb
        self.sweep_at = min(self.sweep_at, op.due - self.margin)
        self.reads.add(now, 1.0)
        op.over = self._over_share(op)
        self.retries.add(now, float(further_try))
        self.unread += UNREAD_WEIGHT * (min(age, row.op_timeout) - self.unread)  # none is worth more

    def _over_share(self, op: Op) -> float:
        """Points by which an op goes back for its tenant's first tries here beyond its part of the quota."""
        if op.tenant >= len(self.quotas):
            return 0.0
        if not op.further_try:
            self.tenant_reads[op.tenant].add(self.now, 1.0)
        rate = self.tenant_reads[op.tenant].total(self.now) / (BUCKET * BUCKETS)
        return OVER_SHARE * max(0.0, 1.0 - self.quotas[op.tenant] / rate) if rate else 0.0

    def record_run_end(self, now: float, ref: Ref, ending: int) -> None:
        self._pass_time(now)
        op = self.ops.get(ref)
        if op is None:
            return
        if ending == Ending.STOPPED and not op.answered and not op.unwanted:
            self._move(op, Stage.PAUSED)
            return
        was_running, spent = op.stage is Stage.RUNNING, self._spent(op)
        self._close(op)
        if was_running and ending in (Ending.OK, Ending.ERROR):
            self.spent.add(now, spent)
            self.errors.add(now, float(ending == Ending.ERROR))
            self.done.add(now, op.work)
            self.runs.add(now, 1.0)
            self.done_full.add(now, op.work if now >= self.full_since else 0.0)

    def record_call_request(self, now: float, ref: Ref) -> None:
        self._pass_time(now)
        if op := self.ops.get(ref):
            op.call_ending = None
            self._move(op, Stage.STALLED)

    def record_call_end(self, now: float, ref: Ref, ending: int) -> None:
        self._pass_time(now)
        if ending in (Ending.TIMEOUT, Ending.INTERRUPTED):
            self.lingering.append(now + self.linger)
        if op := self.ops.get(ref):
            self._time_call(ending, now - op.since)
            op.call_ending = ending
            self._move(op, Stage.RUNNING if ending == Ending.OK else Stage.STALLED)

    def _time_call(self, ending: int, elapsed: float) -> None:
        self.last_call, self.last_call_time = self.now, elapsed
        if ending in NOT_EXECUTED_ENDINGS:
            return self._fewer_calls()
        self.calls_seen += 1
        self.calls_done.add(self.now, 1.0)
        self.call_mean += (elapsed - self.call_mean) / min(self.calls_seen, CALLS_ENOUGH)
        self.usual_call += (elapsed - self.usual_call) / min(self.calls_seen, CALLS_USUAL)

    def record_abandonment(self, now: float, ref: Ref) -> None:
        self._pass_time(now)
        if op := self.ops.get(ref):
            self._let_go(op)

    def begin_drain(self, now: float, grace: float) -> None:
        self._pass_time(now)
        self.retire_at, self.stop_at, self.sweep_at = now, now + grace, now
        for op in self.ops.values():
            op.due = min(op.due, self.stop_at - STOP_MARGIN)

    def set_retry_storm(self, now: float, on: bool, first_tries: float) -> None:
        """From a host with storm books: if repeats go beyond what can be served, first tries a second."""
        self._pass_time(now)
        self.storm, self.first_tries = on, first_tries

    def set_tenant_budget(self, now: float, tenant: int, window: float, pieces: Sequence[tuple[float, float]]) -> None:
        """From a host whose instances share totals: the runs of a tenant that this one may start in any
        window, or have in hand where that is 0, as units and until when they are ours."""
        self._pass_time(now)
        (self.parts if window else self.caps)[tenant] = window, pieces

    def set_dependency_share(self, now: float, share: float) -> None:  # our part, where the instances settle it
        self._pass_time(now)
        self.calls_share = share

    def update_peer_load(self, now: float, room: float, ill: bool, hear_most: float, shut: float) -> None:
        """The share of what the others can serve that is free, below 0 where not known; whether they judge us
        ill; retries a second that are left to us; of what comes to us, the share that fits elsewhere."""
        self._pass_time(now)
        self.others_room, self.ill, self.hear_most, self.wished = room, ill, hear_most, shut

    def set_peer_offers(self, now: float, count: int) -> None:
        """Ops that peers have room for just now."""
        self._pass_time(now)
        self.offered = count

    def mark_received_from_peer(self, now: float, ref: Ref) -> None:
        self.ops[ref].handed = True

    def record_handover_end(self, now: float, ref: Ref, ending: int) -> None:
        """What became of an op at a peer; if its link broke nobody knows whether it ran."""
        self._pass_time(now)
        if op := self.at[Stage.HANDED].get(ref):
            op.ran = ending not in NOT_EXECUTED_ENDINGS
            if op.ran and (ending != Ending.INTERRUPTED or not op.row.retryable):
                return self._close(op)
            self._move(op, Stage.HELD)
            if not op.ran:
                self.unplaced[ref] = op

    def record_early_rejections(self, now: float, count: int) -> None:
        """Retries that the host nacked by the last word on how many are heard."""
        self._pass_time(now)
        for ring in (self.reads, self.retries, self.nacks):
            ring.add(now, float(count))

    def handle_wakeup(self, now: float, token: int, readings: Sequence[float]) -> None:
        self._pass_time(now)
        gauges = dict(zip(self.gauges, readings))
        self.armed = math.inf if token == self.alarms else self.armed
        room = self.nacks.total(now) <= FEW_NACKS * self.reads.total(now)
        many = gauges.get("links", 0.0) > MANY_LINKS * self.cores
        self.idle_kept = min(IDLE_KEPT, self.longest_idle) if many and room else self.longest_idle
        busy = gauges.get("core_use", 1.0)
        # In a storm the host is late: what its way there and back leaves idle is a slot's worth, too.
        idle = busy < (0.95 if self.storm else 0.85)
        if now >= self.full_since + GAUGE_SPAN and idle and self.limit < self._crowd_ceiling():
            self.limit += 1
        elif busy > 0.97 and self.limit > self.cores:
            self.limit -= 1

    def _pass_time(self, now: float) -> None:
        span, self.now = max(0.0, now - self.now), max(now, self.now)
        if span > 0.0:
            self.full_time.add(now, span if now >= self.full_since else 0.0)
            self.call_exposure.add(now, span * len(self.at[Stage.CALLING]))
            self.calls_below.add(now, span * (len(self.at[Stage.CALLING]) + len(self.lingering)))
            self.lingering = [until for until in self.lingering if until > now]
            while self.key_ends and self.key_ends[0][0] <= now:
                end, ref = heapq.heappop(self.key_ends)
                if self.keys.get(ref) == end:
                    self._drop_key(ref)
            if now - self.judged_at >= BEAT / 2:
                self._judge()

    def _judge(self) -> None:
        span, self.judged_at = self.now - self.judged_at, self.now
        self.pace = self._pace()
        full_time, done_full = self.full_time.total(self.now), self.done_full.total(self.now)
        if full_time >= FULL_ENOUGH * (1 if done_full else 4):
            self.mu = max(done_full, 0.001) / full_time
        self._take_pulse()
        self._judge_calls(span)
        self.unread *= max(0.0, 1.0 - span / UNREAD_MEMORY)
        wait = (self.unread + self._held_wait()) / self.shortest_target
        self.shut = min(1.0, max(0.0, self.shut + ADVICE_GAIN * span * (wait - CALM_WAIT)))

    def _judge_calls(self, span: float) -> None:
        """Many instances share the dependency: our part of the calls it bears may be under one at a time."""
        if self.calls_seen >= CALLS_ENOUGH:
            self.best_call = min(self.best_call * (1.0 + BEST_DRIFT * span), self.usual_call)
            if not self.at[Stage.CALLING]:
                self.call_mean += (self.best_call - self.call_mean) * min(1.0, span / CALL_MEMORY)
        spent = CALLS_ENOUGH * self.call_mean + self.call_exposure.total(self.now)
        self.call_time = spent / (CALLS_ENOUGH + self.calls_done.total(self.now))
        used = self.calls_below.total(self.now) / self.calls_window
        if self._below_crowded():
            self._fewer_calls()
        else:
            self.call_limit = min(self.call_limit * CALL_GROW, CALL_ROOM * (1.0 + used))

    def _fewer_calls(self) -> None:
        floor = min(1.0, max(0.01, CALL_FLOOR * self.calls_share))
        self.call_limit = max(floor, self.call_limit * CALL_SHRINK)

    def _pace(self) -> float:
        """Slot time for each unit of work. What runs counts as far as it should have come, at most all its
        work: else a long op on few cores looks like a slow machine, and a stuck machine like a sound one."""
        running = [(self._spent(op), op.work) for op in self.at[Stage.RUNNING].values()]
        spent = self.spent.total(self.now) + sum(time for time, _ in running)
        if spent <= BUCKET * self.cores:
            return 0.0
        done = self.done.total(self.now)
        pace = self.pace or spent / (done + sum(work for _, work in running))
        return spent / (done + sum(min(work, time / pace) for time, work in running))

    def _spent(self, op: Op) -> float:
        return op.spent + (self.now - op.since if op.stage is Stage.RUNNING else 0.0)

    def _take_pulse(self) -> None:
        """Slow or stuck, whatever the cause but cold, or failing what it runs, which is quick and draws
        callers: they should go elsewhere, unless the others are full. It asks again, later each time."""
        run = self.pace * self._mean_work() * self._warmth()
        slow = run > SICK_RUN * self.shortest_target and not self._fleet_full()
        failing = self.errors.total(self.now) > max(self.cores, SICK_ERRORS * self.runs.total(self.now))
        if slow or failing or self.ill:
            if self.now >= self.sick_until:
                self.sick_for = min(SICK_LONGEST, 2.0 * self.sick_for)
            self.sick_until = self.now + self.sick_for * (0.75 + 0.5 * self._draw())
        elif self.pace and self.now >= self.sick_until:
            self.sick_for = SICK_FIRST

    def _draw(self) -> float:
        """Below 1, by chance: instances that fell ill together must not ask for trade again together."""
        self.chance = (self.chance * 6364136223846793005 + 1442695040888963407) % 2**64
        return (self.chance >> 33) / 2**31

    def _move(self, op: Op, stage: Stage) -> None:
        if op.stage is stage:
            return
        op.spent = self._spent(op)
        del self.at[op.stage][op.ref]
        change = (stage in IN_HAND) - (op.stage in IN_HAND)
        self.kb += change * op.held_kb * (self.run_factor - 1.0)
        self.tenant_running[op.tenant] += change
        self.at[stage][op.ref] = op
        op.stage, op.since = stage, self.now

    def _close(self, op: Op) -> None:
        """Its memory is back; repeats that waited for it as it was held go on without it."""
        del self.ops[op.ref], self.at[op.stage][op.ref]
        self.unplaced.pop(op.ref, None)
        in_hand = op.stage in IN_HAND
        self.kb -= op.held_kb * (self.run_factor if in_hand else 1.0)
        self.tenant_running[op.tenant] -= in_hand
        if op.kept and not op.ran:
            self.to_forget.append(op.ref)
        if not op.ran:  # one may run: the first stands in its place, the others wait for that one
            heir = None
            for follower in [other for other in self.at[Stage.FOLLOWING].values() if other.leader is op]:
                follower.leader, heir = heir, heir or follower
                if follower is heir:
                    self._move(heir, Stage.HELD)
                    self.unplaced[heir.ref] = heir

    def _let_go(self, op: Op) -> None:
        """Nobody waits for it any more; what runs or is at a call still fills its place until it ends."""
        if op.stage in (Stage.RUNNING, *AT_CALL):
            op.answered = True
            op.unwanted = op.stage is Stage.RUNNING
        else:
            self._close(op)

    def _drop_key(self, ref: Ref) -> None:
        if self.keys.pop(ref, None) is not None:
            self.kb -= self.key_kb

    # What the books say.

    def _mean_work(self) -> float:
        hints = self.hints.total(self.now)
        return self.hinted.total(self.now) / hints if hints else 1.0

    def _priority(self, op: Op) -> float:
        if op.aim < self.now + (self._call_wait() if op.stage in AT_CALL else 0.0):
            return math.inf  # only late worth is left: it must not delay what can still be in time
        back = STORM_BACK if self.storm and op.further_try else 0.0
        return effective_priority(op.row.base + op.over + back, self.now - op.arrived, self.ageing_rate)

    def _expected(self, op: Op) -> float:
        """What is left of its run, with the line before the calls that it can't do without."""
        calls = self._call_wait() if op.row.must_call else 0.0
        return calls if op.stage in AT_CALL else self.pace * op.work + calls

    def _call_wait(self) -> float:
        line = self._calling_soon(Stage.RUNNING, Stage.STALLED)
        return self.call_time * (1.0 + line / self.call_limit) + max(0.0, self._call_pause())

    def _calling_soon(self, *stages: Stage) -> int:
        return sum(op.row.must_call and not op.answered for stage in stages for op in self.at[stage].values())

    def _calls_taken(self) -> bool:
        """As many run or wait as the calls in hand can serve: one more would have run for nothing."""
        run = self.pace * self._mean_work()
        places = self.call_limit * (1.0 + run / self.call_time) if self.call_time else math.inf
        return self._calling_soon(*IN_HAND) >= max(1.0, places)

    def _call_pause(self) -> float:
        """Until the next call where less than one at a time is our part: calls spread in time."""
        return self.last_call + self.last_call_time * (1.0 / self.call_limit - 1.0) - self.now

    def _below_crowded(self) -> bool:
        return self.call_time > CALL_CROWDED * self.best_call

    def _wait_allowed(self, op: Op, last: float) -> float:
        """How long it may still be held to end by then: W_max less its own run. An op without a hint may be
        far shorter than the mean: a long shot, where only less important ops or none hold the cores."""
        run = self._expected(op) * (LONG_SHOT if self._is_shot(op) else 1.0)
        return min(last, op.due - self.margin) - self.now - run

    def _is_shot(self, op: Op) -> bool:
        running = self.at[Stage.RUNNING].values()
        return not op.hinted and sum(other.row.base <= op.row.base for other in running) < self.limit

    def _warmth(self) -> float:
        """The share of its speed that it has by now at the slowest warming."""
        warmed = (self.now - self.started) / self.cold_for if self.cold_for > 0.0 else 1.0
        return min(1.0, self.cold_speed + (1.0 - self.cold_speed) * warmed)

    def _crowd_ceiling(self) -> float:
        return CROWD_SHARE * self.cores * (1.0 + (self.crowd - 1.0) * self._warmth())

    def _cap(self, op: Op) -> int:
        share = self.shares[op.tenant] if op.tenant < len(self.shares) else TENANT_ROOM / self.callers
        return account_cap(self.limit, share)

    def _part_rate(self, tenant: int) -> float:
        """Runs a second that a tenant's part makes room for; without a part there is no bound."""
        if tenant not in self.parts:
            return math.inf
        window, pieces = self.parts[tenant]
        return sum(units for units, until in pieces if self.now < until) / window

    def _part_left(self, tenant: int) -> bool:
        if tenant in self.caps:
            lasts = self.now + 2.0 * self.pace * self._mean_work()
            cap = sum(units for units, until in self.caps[tenant][1] if lasts < until)
            if self.tenant_running[tenant] >= cap:
                return False
        if tenant not in self.parts:
            return True
        window = self.parts[tenant][0]
        used = self.part_used[tenant] = [t for t in self.part_used.get(tenant, ()) if t > self.now - window]
        return len(used) + 1 <= self._part_rate(tenant) * window

    def _over_part(self, op: Op) -> bool:
        """L_max of a tenant whose runs the fleet shares out: what its part starts in this one's time."""
        rate = self._part_rate(op.tenant)
        held = sum(
            other.tenant == op.tenant and other.ref not in self.unplaced
            for other in self.at[Stage.HELD].values()
            if other is not op
        )
        return (
            rate < math.inf
            and held >= rate * max(0.0, self._wait_allowed(op, op.aim))
            and not (held == 0 and self._part_left(op.tenant))
        )

    def _held_wait(self) -> float:
        work = sum(op.work for op in self.at[Stage.HELD].values())
        return work / self.mu if self.mu else 0.0

    def capacity(self) -> float:
        """Ops a second that can be served: by the slots at the pace seen, else as when last full."""
        return (self.limit / self.pace if self.pace else self.mu or self.limit) / self._mean_work()

    # Deciding: one step after another, each gives a decision or None.

    def next_decision(self, now: float) -> Decision | None:
        self._pass_time(now)
        for step in self.steps:
            if decision := step():
                return decision
        full = self.at[Stage.HELD] and len(self.at[Stage.RUNNING]) >= self.limit
        self.full_since = min(self.full_since, now) if full else math.inf
        return None

    def _forget(self) -> Decision | None:
        if self.to_forget:
            self._drop_key(ref := self.to_forget.pop())
            return Decision(Verb.FORGET, ref)
        return None

    def _place(self) -> Decision | None:
        """What becomes of an op on reading: a repeat, nacked, or held."""
        while self.unplaced:
            op = next(iter(self.unplaced.values()))
            op.due = min(op.due, self.stop_at - STOP_MARGIN)
            if op.arrived > self.retire_at + self.drain_grace - self.margin:
                return self._turn_away(op, "drain")
            del self.unplaced[op.ref]
            if op.ran:
                self._move(op, Stage.REPEATING)
                return Decision(Verb.ANSWER_FROM, op.ref)
            if op.leader is not None:
                self._move(op, Stage.FOLLOWING)
                continue
            key_kb = self.key_kb if op.row.keyed else 0.0
            if self.kb + key_kb > self.memory_kb:
                return self._turn_away(op, "memory")
            if self._over_bound(op):
                return self._turn_away(op, "bound")
            if self.parts and self._over_part(op):
                return self._turn_away(op, "part")
            if op.row.keyed:
                return self._keep(op)
        return None

    def _keep(self, op: Op) -> Decision:
        span = max(0.0, op.arrived + op.row.window - self.now) + self.margin
        op.kept, self.keys[op.ref] = True, self.now + span
        heapq.heappush(self.key_ends, (self.now + span, op.ref))
        self.kb += self.key_kb
        return Decision(Verb.KEEP, op.ref, span)

    def _work_ahead(self, op: Op) -> float:
        own = self._priority(op)
        return sum(other.work for other in self.at[Stage.HELD].values() if other is not op and self._priority(other) <= own)

    def _over_bound(self, op: Op, ahead: float | None = None) -> bool:
        """L_max = mu x W_max, over what would start before it; its own type is part of that."""
        late_pays = op.row.late_worth > 0.0 and not (op.row.must_call and self._below_crowded())
        if self._wait_allowed(op, op.due if late_pays else op.aim) < 0.0:
            return True
        if not self.mu:
            return False
        spread = (HINTED_SPREAD if op.hinted else UNKNOWN_SPREAD) * self.pace * op.work
        wait = max(0.0, self._wait_allowed(op, op.aim) - spread)
        ahead = self._work_ahead(op) if ahead is None else ahead
        return ahead >= class_bound(self.mu, wait, self.limit * self._mean_work())

    def _turn_away(self, op: Op, cause: str) -> Decision:
        """The final answer to what is given up: a nack only if no try of it ever ran, no peer has room."""
        if cause in ("bound", "memory", "drain") and self._may_hand(op):
            return self._hand_over(op, cause)
        if op.ran or op.leader is not None and op.leader.ran:
            self._let_go(op)
            return Decision(Verb.FAIL, op.ref, cause=cause)
        self._close(op)
        self.nacks.add(self.now, 1.0)
        return Decision(Verb.REJECT, op.ref, self._hold_off(), self._fleet_full(), cause=cause)

    def _fleet_full(self) -> bool:
        if self.others_room >= 0.0:
            return self.others_room < OTHERS_FULL
        return self.retries.total(self.now) > CROWDED_RETRIES * self.reads.total(self.now)

    def _hold_off(self) -> float:
        if self.now >= self.retire_at:
            return self.max_hold_off
        wait = self.unread + self._held_wait() - CALM_WAIT * self.shortest_target
        return min(self.max_hold_off, max(0.05, wait))

    def _may_hand(self, op: Op) -> bool:
        fit = op.stage is Stage.HELD and op.leader is None and not (op.handed or op.ran or op.row.keyed)
        return fit and self.offered > 0 and self._wait_allowed(op, op.due) > 0.0

    def _hand_over(self, op: Op, cause: str) -> Decision:
        self.unplaced.pop(op.ref, None)
        self.offered, op.handed, op.ran = self.offered - 1, True, True
        self._move(op, Stage.HANDED)
        return Decision(Verb.HAND_OVER, op.ref, cause=cause)

    def _hand(self) -> Decision | None:
        """Whose turn is next starts at once at a peer with room, if the line here is worth it."""
        able = [op for op in self.at[Stage.HELD].values() if self._may_hand(op)] if self.offered > 0 else ()
        line = self.pace * sum(op.work for op in self.at[Stage.HELD].values()) / self.limit if able else 0.0
        if able and (line > HAND_WAIT * self.shortest_target or self.now >= self.retire_at):
            return self._hand_over(min(able, key=self._priority), "order")
        return None

    def _give_up(self) -> Decision | None:
        """One sweep for due times and, on each beat, the bound again for all that is held."""
        if self.now >= self.sweep_at:
            last = self.now + self.margin
            self.given_up = [op for op in self.ops.values() if not op.answered and op.due <= last]
            ahead = 0.0
            for op in sorted(self.at[Stage.HELD].values(), key=self._priority):
                if op.due > last and self._over_bound(op, ahead):
                    self.given_up.append(op)
                else:
                    ahead += op.work
            later = (op.due for op in self.ops.values() if not op.answered and op.due > last)
            self.sweep_at = min(min(later, default=math.inf) - self.margin, self.now + BEAT)
        while self.given_up:
            op = self.given_up.pop()
            if op.ref in self.ops and not op.answered:
                return self._turn_away(op, "due" if op.due <= self.now + self.margin else "bound")
        return None

    def _stop_unwanted(self) -> Decision | None:
        if self.stop_mode is None:
            return None
        for op in self.at[Stage.RUNNING].values():
            if op.unwanted:
                op.unwanted = False
                return Decision(Verb.STOP, op.ref)
        return None

    def _serve_call(self) -> Decision | None:
        waiting = [op for op in self.at[Stage.STALLED].values() if not op.answered]
        if not waiting:
            return None
        crowded, room = self._below_crowded(), self._call_room()
        spread = self.call_limit >= 1.0 or self._call_pause() <= 0.0
        free = len(self.at[Stage.CALLING]) < self.call_limit and spread
        for op in sorted(waiting, key=self._priority):
            degradable = op.row.degraded_worth > 0.0
            left = (op.aim if degradable or crowded else op.due - self.margin) - self.now
            patience = min(left, room)
            fits = free and patience >= min(left, 2.0 * self.call_time)
            spoilt = op.call_ending is not None and not (op.row.retryable or op.call_ending in NOT_EXECUTED_ENDINGS)
            if spoilt or not degradable and crowded and left <= 0.0:
                return self._turn_away(op, "call")
            if degradable and (op.call_ending is not None or crowded or not fits or left <= 0.0):
                self._move(op, Stage.RUNNING)
                return Decision(Verb.SKIP_CALL, op.ref)
            if patience > 0.0 and fits:
                op.call_until = self.now + patience
                self._move(op, Stage.CALLING)
                return Decision(Verb.CALL, op.ref, patience)
        return None

    def _call_room(self) -> float:
        """The time-out that keeps the mean below within our share even if every call lasts to its own."""
        ahead = sum(op.call_until - self.now + self.linger for op in self.at[Stage.CALLING].values())
        ahead += sum(until - self.now for until in self.lingering) + self.linger
        return 0.9 * self.calls_share * self.calls_window - self.calls_below.total(self.now) - ahead

    def _follow(self) -> Decision | None:
        for op in self.at[Stage.FOLLOWING].values():
            if op.leader.ran:
                op.ran = True
                self._move(op, Stage.REPEATING)
                return Decision(Verb.ANSWER_FROM, op.ref)
        return None

    def _start(self) -> Decision | None:
        waiting = [*self.at[Stage.HELD].values(), *self.at[Stage.PAUSED].values()]
        if not waiting or len(self.at[Stage.RUNNING]) >= self.limit:
            return None
        in_hand = sum(len(self.at[stage]) for stage in IN_HAND)
        if self.some_must_call and self._calls_taken():
            waiting = [op for op in waiting if not op.row.must_call]
        if self.parts or self.caps:
            waiting = [op for op in waiting if op.stage is Stage.PAUSED or self._part_left(op.tenant)]
        if not waiting or in_hand >= self._crowd_ceiling():
            return None
        free = [op for op in waiting if self.tenant_running[op.tenant] < self._cap(op)]
        op = min(free or waiting, key=self._priority)
        more_kb = op.held_kb * (self.run_factor - 1.0) if op.stage is Stage.HELD else 0.0
        if self.kb + more_kb > self.memory_kb and in_hand:
            return None
        if op.tenant in self.parts and op.stage is Stage.HELD:
            self.part_used.setdefault(op.tenant, []).append(self.now)
        op.ran = True
        self._move(op, Stage.RUNNING)
        return Decision(Verb.RUN, op.ref, cause="order" if len(free) in (0, len(waiting)) else "cap")

    def _advise(self) -> Decision | None:
        if self.idle_kept != self.told_idle:
            self.told_idle = self.idle_kept
            return Decision(Verb.TRIM, seconds=self.idle_kept)
        healthy = self.now < self.retire_at and self.now >= self.sick_until
        if healthy is not self.told_healthy:
            self.told_healthy = healthy
            return Decision(Verb.HEALTH, flag=healthy)
        # Who is told a floor of 1 asks nobody else, either: while leaving, nacks send callers on.
        shut = max(self.shut, self.wished)
        shut = shut if healthy or self.advice is Advice.FLOOR and self.now >= self.sick_until else 1.0
        if self.advice is None or abs(shut - self.told_shut) < 0.02:
            return None
        self.told_shut, open_part = shut, 1.0 - shut
        level = {Advice.FLOOR: shut, Advice.WEIGHT: open_part, Advice.ALLOWANCE: open_part * 4 * self.cores / self.callers}[
            self.advice
        ]
        return Decision(Verb.ADVISE, level=level)

    def _hear(self) -> Decision | None:
        """In a storm as many retries are heard as first tries leave room for: in full they take its time."""
        rate = math.inf
        if self.storm:
            capacity = self.capacity()
            rate = min(self.hear_most, max(HEAR_LEAST * capacity, HEAR_ROOM * capacity - self.first_tries))
        if rate == self.told_hear or abs(rate - self.told_hear) < HEAR_STEP * self.told_hear < math.inf:
            return None
        self.told_hear = rate
        return Decision(Verb.LIMIT_RETRIES, level=rate, cause="storm" if self.storm else "")

    def _wake(self) -> Decision | None:
        """One alarm for the soonest thing to do."""
        at = max(self.sweep_at, self.now + 0.001) if self.ops or self.shut > 0.0 else math.inf
        if at >= self.armed:
            return None
        self.alarms, self.armed = self.alarms + 1, at
        return Decision(Verb.WAKE, self.alarms, self.armed - self.now)
