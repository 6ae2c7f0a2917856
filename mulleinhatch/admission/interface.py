"""The types exchanged between a host and the admission controller.

A host hands a `Deployment` and a seed to `mulleinhatch.admission.AdmissionController`, reports events through its methods
and pulls `Decision`s until there is none. Times are seconds, ids are the host's own. A key that a `Deployment` lacks is
unknown; the component that reads it defines its default. Keys of the dictionaries and values of the enums are stored in
trace files and must not change.
"""

from __future__ import annotations

from enum import Enum, IntEnum
from typing import NamedTuple, TypedDict

Ref = int | str  # a request's id, as received by the host


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
    MOOT = 8  # nothing was started, because the request had already ended


class Advice(Enum):
    """The form of backpressure that clients understand."""

    FLOOR = "floor"  # fraction of the load that should go elsewhere; 1 closes the instance
    ALLOWANCE = "allowance"  # concurrent requests that each client may have here
    WEIGHT = "weight"  # load balancing weight of this instance


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
    repeat_window: float  # seconds after the arrival within which a duplicate may follow
    calls_below: bool  # whether its runs call the dependency
    degraded_worth: float  # value of an answer without that call, as a fraction


class Tenant(TypedDict, total=False):
    """Settings of a tenant."""

    fraction: float  # share of the service
    quota_per_s: float  # first tries per second, over all instances


class Deployment(TypedDict, total=False):
    """What an instance knows when it starts."""

    op_types: list[RequestType]
    tenants: list[Tenant]
    cores: int
    fresh_start: bool
    cold_speed: float  # lowest speed during warm-up, as a fraction of full speed
    cold_for: float  # longest duration of a warm-up
    crowd_per_core: float  # requests in progress per core that a warm instance survives
    drain_grace: float  # how long clients may still send after draining began
    memory_kb: float
    run_factor: float  # ratio of a running request's memory to that of a queued one
    key_kb: float  # memory of a remembered idempotency key
    stop_mode: StopMode
    advice: Advice
    callers: int
    longest_idle: float  # longest time that an idle connection may stay open
    instances: int
    gauges: list[str]  # names of the gauges passed with a wake-up, in order
    tick: float  # resolution of the host's timer
    hold_off_allowed: bool  # whether a rejection may carry a retry delay
    max_hold_off: float
    shared_dependency: bool
    calls_share: float  # mean calls in progress that this instance may add to the dependency
    calls_window: float  # seconds over which that mean is taken
    call_linger: float  # longest time that an abandoned call stays in the dependency


class Verb(Enum):
    """What a decision asks the host to do, and the fields of `Decision` that it uses.

    Trace files store a member's position, so new members go to the end; counters are named by the values.
    """

    RUN = "run"  # ref
    STOP = "stop"  # ref
    REJECT = "nack"  # ref; seconds until a retry; flag: other instances have no capacity either
    FAIL = "fail"  # ref
    CALL = "call"  # ref; timeout in seconds
    SKIP_CALL = "skip call"  # ref
    KEEP = "keep"  # ref; seconds for which its idempotency key is remembered
    FORGET = "forget"  # ref
    ANSWER_FROM = "answer from"  # ref: with the result of the request that it duplicates
    HEALTH = "health"  # flag: healthy
    ADVISE = "advise"  # level of backpressure, in the form given by `Advice`
    TRIM = "trim"  # seconds after which an idle connection is closed
    WAKE = "wake"  # ref: token of the timer; seconds until it fires
    LIMIT_RETRIES = "hear"  # level: marked retries per second to read; the rest is rejected unread
    HAND_OVER = "hand"  # ref: to a peer that offered capacity

    # Members are singletons, and Enum's own hash is Python code that would run on every decision.
    __hash__ = object.__hash__


class Decision(NamedTuple):
    """One decision; the verb determines which fields are used."""

    verb: Verb
    ref: Ref = 0
    seconds: float = 0.0
    flag: bool = False
    level: float = 0.0
    cause: str = ""  # for operators: bound, cap, due, memory, drain, order, call, storm, part
