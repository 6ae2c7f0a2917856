"""What passes between a host and the decisions: types only.

A host hands a `Deployment` and a seed to `mulleinhatch.admission.AdmissionController`, reports what happens through its
methods, and pulls `Decision`s until there is none. Times are seconds, ids are the host's own. A key that
a `Deployment` lacks is unknown; what is then assumed is decided in `decide.py`.
"""

from __future__ import annotations

from enum import Enum, IntEnum
from typing import NamedTuple, TypedDict

Ref = int | str  # an op's id, as the host's wire gives it


class Effect(Enum):
    RETRYABLE = "retryable"
    KEYED = "keyed"
    NON_RETRYABLE = "non-retryable"


class Ending(IntEnum):
    """How a run or a call came to its end."""

    OK = 1
    ERROR = 2
    FULL = 3  # a call sent back unseen
    TIMEOUT = 4
    UNREACHABLE = 5  # a call that never arrived
    INTERRUPTED = 6
    STOPPED = 7
    MOOT = 8  # nothing started: the op was over


class Advice(Enum):
    """How callers read the free value, where there is one."""

    FLOOR = "floor"
    ALLOWANCE = "allowance"
    WEIGHT = "weight"


class StopMode(Enum):
    DISCARD = "discard"
    FREEZE = "freeze"


class RequestType(TypedDict, total=False):
    effect: Effect
    importance: float
    target_latency: float
    op_timeout: float
    late_worth: float
    repeat_window: float
    calls_below: bool
    degraded_worth: float


class Tenant(TypedDict, total=False):
    fraction: float
    quota_per_s: float


class Deployment(TypedDict, total=False):
    """What an instance is told at its start."""

    op_types: list[RequestType]
    tenants: list[Tenant]
    cores: int
    fresh_start: bool
    cold_speed: float  # the share of its speed that a cold instance has at least
    cold_for: float  # the longest that warming takes
    crowd_per_core: float  # running ops a core that a warm instance survives
    drain_grace: float
    memory_kb: float
    run_factor: float  # memory of a running op over that of a held one
    key_kb: float
    stop_mode: StopMode
    advice: Advice
    callers: int
    longest_idle: float  # the longest that a connection may be kept without use
    instances: int
    gauges: list[str]  # names of the gauges that come with a wake-up, in their order
    tick: float
    hold_off_allowed: bool
    max_hold_off: float
    shared_dependency: bool
    calls_share: float  # mean calls in hand that this instance may add below
    calls_window: float  # the time of that mean
    call_linger: float  # the longest that a given-up call stays below


class Verb(Enum):
    RUN = "run"  # ref
    STOP = "stop"  # ref
    REJECT = "nack"  # ref, seconds to stay away, flag: not elsewhere either
    FAIL = "fail"  # ref
    CALL = "call"  # ref, seconds until it is given up
    SKIP_CALL = "skip call"  # ref
    KEEP = "keep"  # ref, seconds
    FORGET = "forget"  # ref
    ANSWER_FROM = "answer from"  # ref
    HEALTH = "health"  # flag: good; answered from store
    ADVISE = "advise"  # level
    TRIM = "trim"  # seconds that an idle connection is kept
    WAKE = "wake"  # seconds
    LIMIT_RETRIES = "hear"  # level: marked retries a second that are read in full, the rest nacked
    HAND_OVER = "hand"  # ref: to a peer that offered room

    __hash__ = object.__hash__  # members are single: Enum's own hash is Python code, on every decision


class Decision(NamedTuple):
    verb: Verb
    ref: Ref = 0
    seconds: float = 0.0
    flag: bool = False
    level: float = 0.0
    cause: str = ""  # for people: bound, cap, due, memory, drain, order, call, storm, part
