"""A request inside the admission controller, its class, and its stages."""

from __future__ import annotations

import math
from enum import Enum

from mulleinhatch.admission.interface import Effect, Ref, RequestType
from mulleinhatch.admission.mechanism import base_priorities


class Stage(Enum):
    """Where a request is between its arrival and its end."""

    QUEUED = "queued"
    FOLLOWING = "following"  # duplicates a request that is still queued here
    SHARING_ANSWER = "sharing answer"  # gets the answer of the request that it duplicates
    RUNNING = "running"
    PAUSED = "paused"
    AWAITING_CALL = "awaiting call"  # its run needs a call to the dependency
    CALLING = "calling"
    AT_PEER = "at peer"

    # Members are singletons, and Enum's own hash is Python code that would run at each look-up by stage.
    __hash__ = object.__hash__


CALL_STAGES = (Stage.AWAITING_CALL, Stage.CALLING)
IN_PROGRESS_STAGES = (Stage.RUNNING, Stage.PAUSED, *CALL_STAGES)


class RequestClass:
    """The properties of a request type that decisions use.

    Args:
        request_type: The type's settings.
        base_priority: Initial score of its requests in points, before ageing; lower starts sooner.
    """

    __slots__ = (
        "base_priority",
        "degraded_value",
        "is_keyed",
        "is_retryable",
        "late_value",
        "must_call",
        "repeat_window_s",
        "target_latency_s",
        "timeout_s",
    )

    def __init__(self, request_type: RequestType, base_priority: float) -> None:
        self.base_priority = base_priority
        self.timeout_s = request_type.get("op_timeout") or math.inf
        self.target_latency_s = min(request_type.get("target_latency") or math.inf, self.timeout_s)
        self.late_value = request_type.get("late_worth", 0.0)
        self.is_keyed = request_type.get("effect") is Effect.KEYED
        self.is_retryable = request_type.get("effect", Effect.NON_RETRYABLE) is Effect.RETRYABLE
        self.repeat_window_s = request_type.get("repeat_window", 0.0)
        self.degraded_value = request_type.get("degraded_worth", 0.0)
        self.must_call = request_type.get("calls_below", False) and self.degraded_value <= 0.0


def build_request_classes(request_types: list[RequestType]) -> list[RequestClass]:
    """Build the classes; base priorities are spread evenly over the distinct importances, the highest at 0."""
    base_of = base_priorities(request_type.get("importance", 1.0) for request_type in request_types)
    return [RequestClass(request_type, base_of[request_type.get("importance", 1.0)]) for request_type in request_types]


class Request:
    """A request that arrived and has not ended.

    Args:
        ref: The host's id of it.
        request_class: Its class.
        tenant: Number of its tenant, or of its client where there are no tenants.
        work: Its expected work, by its hint or by the mean of all hints.
        memory_kb: Memory that it takes while it is queued.
    """

    # Slots save memory and time: thousands may be queued, and each decision reads several attributes.
    __slots__ = (
        "arrived_at",
        "call_ending",
        "call_until",
        "deadline",
        "has_work_hint",
        "is_answered",
        "is_key_kept",
        "is_retry",
        "latency_deadline",
        "leader",
        "may_have_run",
        "memory_kb",
        "quota_penalty",
        "ref",
        "request_class",
        "run_time",
        "should_stop",
        "stage",
        "stage_since",
        "tenant",
        "was_handed_over",
        "work",
    )

    def __init__(self, ref: Ref, request_class: RequestClass, tenant: int, work: float, memory_kb: float) -> None:
        self.ref = ref
        self.request_class = request_class
        self.tenant = tenant
        self.work = work
        self.memory_kb = memory_kb
        self.stage = Stage.QUEUED
        # All times are seconds on the host's clock.
        self.arrived_at = 0.0  # arrival at the machine, so time spent unread counts as waiting
        self.deadline = 0.0  # time at which its client stops waiting
        self.latency_deadline = 0.0  # time after which its answer loses value
        self.stage_since = 0.0
        self.call_until = 0.0  # time at which its call in progress times out
        self.run_time = 0.0  # seconds in a slot before the last change of stage
        self.quota_penalty = 0.0  # points added because its tenant's traffic exceeds the quota
        self.is_retry = False
        self.has_work_hint = False
        self.may_have_run = False  # once true, the request must not be rejected
        self.is_answered = False  # nobody waits for it, but it still occupies a slot
        self.is_key_kept = False
        self.should_stop = False
        self.was_handed_over = False  # to a peer or by one; a request moves at most once
        self.leader: Request | None = None  # the request that it duplicates
        self.call_ending: int | None = None
