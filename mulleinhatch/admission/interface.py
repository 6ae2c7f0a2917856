"""The types that pass between a host and the admission controller.

A host hands a `Deployment` and a seed to `mulleinhatch.admission.AdmissionController`, reports events through its methods
and pulls `Decision`s until there is none. Times are seconds, ids are the host's own. A key that a `Deployment` lacks is
unknown; the part of the controller that reads it chooses what is assumed then. Keys of the dictionaries and values of the
enums are stored in trace files and must not change.
"""

from __future__ import annotations

from enum import Enum, IntEnum
from typing import NamedTuple, TypedDict

Ref = int | str  # a request's id, as the host's wire gives it


class Effect(Enum):
    """What a second execution of a request would do."""

    RETRYABLE = "retryable"  # no harm
    KEYED = "keyed"  # no harm while the first one's idempotency key is remembered
    NON_RETRYABLE = "non-retryable"


class Ending(IntEnum):
    """How a run or a call ended. The numbers are on the wire and in trace files."""

    OK = 1
    ERROR = 2
    FULL = 3  # a call that was rejected before it was executed
    TIMEOUT = 4
    UNREACHABLE = 5  # a call that never arrived
    INTERRUPTED = 6
    STOPPED = 7
    MOOT = 8  # nothing started: the request had ended


class Advice(Enum):
    """The form of backpressure that callers understand."""

    FLOOR = "floor"  # fraction of the load that should go elsewhere; 1 closes the instance
    ALLOWANCE = "allowance"  # requests at once that each caller may have here
    WEIGHT = "weight"  # weight of this instance among all


class StopMode(Enum):
    """What happens to a run that is stopped."""

    DISCARD = "discard"
    FREEZE = "freeze"


class RequestType(TypedDict, total=False):
    """Settings of a request type."""

    effect: Effect
    importance: float
    target_latency: float
    op_timeout: float
    late_worth: float  # value of an answer after the target latency, as a fraction
    repeat_window: float  # how long a repeat may follow
    calls_below: bool  # whether its run calls the dependency
    degraded_worth: float  # value of an answer without that call, as a fraction


class Tenant(TypedDict, total=False):
    """Settings of a tenant."""

    fraction: float  # of the service
    quota_per_s: float  # first tries a second, over all instances


class Deployment(TypedDict, total=False):
    """What an instance knows when it starts."""

    op_types: list[RequestType]
    tenants: list[Tenant]
    cores: int
    fresh_start: bool
    cold_speed: float  # fraction of its full speed that an instance has at least while it warms up
    cold_for: float  # the longest that warming up takes
    crowd_per_core: float  # requests in progress for each core that a warm instance survives
    drain_grace: float  # how long callers may still send after a notice to leave
    memory_kb: float
    run_factor: float  # memory of a running request over that of a queued one
    key_kb: float  # memory of a remembered idempotency key
    stop_mode: StopMode
    advice: Advice
    callers: int
    longest_idle: float  # the longest that a connection may be kept without use
    instances: int
    gauges: list[str]  # names of the gauges that come with a wake-up, in their order
    tick: float  # resolution of the host's timer
    hold_off_allowed: bool  # whether a rejection may say when to come back
    max_hold_off: float
    shared_dependency: bool
    calls_share: float  # mean calls in progress that this instance may add to the dependency
    calls_window: float  # the time over which that mean counts
    call_linger: float  # the longest that a given-up call stays in the dependency


class Verb(Enum):
    """What a decision asks the host to do, and the fields of `Decision` that it uses.

    Trace files hold a member's position, so new members go to the end; counters are named by the values.
    """

    RUN = "run"  # ref
    STOP = "stop"  # ref
    REJECT = "nack"  # ref; seconds to stay away; flag: nothing is free elsewhere either
    FAIL = "fail"  # ref
    CALL = "call"  # ref; seconds until it times out
    SKIP_CALL = "skip call"  # ref
    KEEP = "keep"  # ref; seconds for which its idempotency key is remembered
    FORGET = "forget"  # ref
    ANSWER_FROM = "answer from"  # ref: with the result of the request that it repeats
    HEALTH = "health"  # flag: healthy
    ADVISE = "advise"  # level of backpressure, as `Advice` reads it
    TRIM = "trim"  # seconds after which an idle connection is closed
    WAKE = "wake"  # ref: number of the timer; seconds until it fires
    LIMIT_RETRIES = "hear"  # level: marked retries a second that are read, the rest is rejected unread
    HAND_OVER = "hand"  # ref: to a peer that offered capacity

    # Members are singletons, and Enum's own hash is Python code that would run on every decision.
    __hash__ = object.__hash__


class Decision(NamedTuple):
    """One decision; the verb says which fields count."""

    verb: Verb
    ref: Ref = 0
    seconds: float = 0.0
    flag: bool = False
    level: float = 0.0
    cause: str = ""  # for operators: bound, cap, due, memory, drain, order, call, storm, part
