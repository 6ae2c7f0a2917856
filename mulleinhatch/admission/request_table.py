"""All requests that have not ended, by id and by stage, and their memory use."""

from __future__ import annotations

import math
from collections import Counter

from mulleinhatch.admission.constants import ANSWER_MARGIN_S
from mulleinhatch.admission.interface import Deployment, Ref
from mulleinhatch.admission.request import CALL_STAGES, IN_PROGRESS_STAGES, Request, Stage

# Fraction of the memory that requests may fill; the rest is for requests that are read while a batch is being decided.
MEMORY_FRACTION = 0.9


class RequestTable:
    """The requests of one instance and the controller's clock.

    All components of the controller read the table; only the table changes a request's stage.

    Attributes:
        now: Seconds on the host's clock; never decreases.
        answer_margin_s: How long before its deadline a request must be answered.
        by_ref: Every request that has not ended.
        by_stage: The same requests, in the order in which they entered their stage. The inner dictionaries live as long as
            the table, so components may keep a reference to one.
        undecided: Requests that arrived, or returned unexecuted from a peer, and wait for a first decision.
        unused_keys: Idempotency keys of requests that ended without a run.
        running_by_tenant: Requests in progress of each tenant.
        memory_used_kb: Memory used by requests and remembered keys.
        memory_limit_kb: Limit of `memory_used_kb`.
    """

    def __init__(self, deployment: Deployment, now: float) -> None:
        self.now = now
        self.answer_margin_s = ANSWER_MARGIN_S + 2 * deployment.get("tick", 0.0)
        self.by_ref: dict[Ref, Request] = {}
        self.by_stage: dict[Stage, dict[Ref, Request]] = {stage: {} for stage in Stage}
        self.undecided: dict[Ref, Request] = {}
        self.unused_keys: list[Ref] = []
        self.running_by_tenant: Counter[int] = Counter()
        self.memory_used_kb = 0.0
        self.memory_limit_kb = MEMORY_FRACTION * deployment.get("memory_kb", math.inf)
        self._run_factor = deployment.get("run_factor", 1.0)

    def add(self, request: Request) -> None:
        """Queue a request that has just arrived."""
        ref = request.ref
        self.by_ref[ref] = self.by_stage[Stage.QUEUED][ref] = self.undecided[ref] = request
        self.memory_used_kb += request.memory_kb

    def extra_run_memory_kb(self, request: Request) -> float:
        """Return the additional memory that a queued request takes once it runs."""
        return request.memory_kb * (self._run_factor - 1.0)

    def count_in_progress(self) -> int:
        """Return how many requests run, are paused, or wait for or execute a call."""
        return sum(len(self.by_stage[stage]) for stage in IN_PROGRESS_STAGES)

    def run_time(self, request: Request) -> float:
        """Return the seconds that a request has spent in a slot."""
        return request.run_time + (self.now - request.stage_since if request.stage is Stage.RUNNING else 0.0)

    def move(self, request: Request, stage: Stage) -> None:
        """Change a request's stage, and update memory use and its tenant's count of running requests."""
        if request.stage is stage:
            return
        request.run_time = self.run_time(request)
        del self.by_stage[request.stage][request.ref]
        change = (stage in IN_PROGRESS_STAGES) - (request.stage in IN_PROGRESS_STAGES)
        self.memory_used_kb += change * request.memory_kb * (self._run_factor - 1.0)
        self.running_by_tenant[request.tenant] += change
        self.by_stage[stage][request.ref] = request
        request.stage, request.stage_since = stage, self.now

    def close(self, request: Request) -> None:
        """Remove a request that ended and free its memory; its followers continue without it."""
        del self.by_ref[request.ref], self.by_stage[request.stage][request.ref]
        self.undecided.pop(request.ref, None)
        is_in_progress = request.stage in IN_PROGRESS_STAGES
        self.memory_used_kb -= request.memory_kb * (self._run_factor if is_in_progress else 1.0)
        self.running_by_tenant[request.tenant] -= is_in_progress
        if request.is_key_kept and not request.may_have_run:
            self.unused_keys.append(request.ref)
        if not request.may_have_run:
            self._promote_follower(request)

    def _promote_follower(self, leader: Request) -> None:
        """Queue the first follower of an unexecuted request as the new leader of the others."""
        new_leader: Request | None = None
        for follower in [other for other in self.by_stage[Stage.FOLLOWING].values() if other.leader is leader]:
            follower.leader, new_leader = new_leader, new_leader or follower
            if follower is new_leader:
                self.move(new_leader, Stage.QUEUED)
                self.undecided[new_leader.ref] = new_leader

    def release(self, request: Request) -> None:
        """Mark that nobody waits for a request; a run or call in progress occupies its slot until it ends."""
        if request.stage in (Stage.RUNNING, *CALL_STAGES):
            request.is_answered = True
            request.should_stop = request.stage is Stage.RUNNING
        else:
            self.close(request)
