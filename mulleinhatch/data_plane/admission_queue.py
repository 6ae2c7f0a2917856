"""Which requests are held, in what order they start, and which are refused: the design's mechanism for each model. Pure.

One `ModelQueue` holds the requests for one model (with its adapter) of a service, or for a service without models. The running
limit is this instance's part of the slots of the backends that hold it; what it measures is its own completions.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

from mulleinhatch.admission.mechanism import account_cap, ageing_rate, bases, class_bound, effective_priority
from mulleinhatch.data_plane.registry_snapshot import ModelName

MIN_SATURATED_S = 0.5  # at the running limit, with work held, before mu is believed
SERVICE_RATE_WINDOW_S = 10.0
ACCOUNT_SHARE_BY_CLASS = (0.25, 0.10, 0.04)  # of the running limit for one account, by class from the highest
MIN_RUNNING_LIMIT = 2
LIMIT_DECREASE_FACTOR = 0.8
RESPONSE_MARGIN_S = 0.05  # before a request's end: it is given up so that the answer still reaches the client
MIN_WAIT_FRACTION = 0.2  # of its aim before which a request that waits for a model is not given up
DEFAULT_SERVICE_S = 0.3  # what a request is expected to take where none was seen


@dataclass
class PendingRequest:
    """A request as admission sees it. Times on the steady clock."""

    ref: object
    name: ModelName
    priority: int
    target_s: float
    account: str
    arrived: float
    due: float  # when the caller or the route gives it up
    worth: float = 1.0
    prefix: str = ""
    started: bool = False


class RejectionReason(Enum):
    """Why a request was not taken or was given up before it ran."""

    CLASS_BOUND = "class bound"  # more of its class is held than can start in time
    NO_BACKEND_IN_TIME = "no stub in time"
    DEADLINE = "due"


@dataclass(frozen=True)
class Rejection:
    reason: RejectionReason
    retry_after_s: float


@dataclass
class ModelQueue:
    """Held and running requests for one model."""

    name: ModelName
    limit: float = MIN_RUNNING_LIMIT
    held: list[PendingRequest] = field(default_factory=list)
    running: int = 0
    accounts: Counter[str] = field(default_factory=Counter)
    full_since: float = math.inf
    full_time: float = 0.0
    done_while_full: int = 0
    mu: float = 0.0
    mean_service_s: float = DEFAULT_SERVICE_S
    looked_at: float = 0.0

    def pass_time(self, now: float) -> None:
        """Books the time spent at the running limit with work held: mu is measured only then."""
        if self.running >= int(self.limit) and self.held:
            if self.full_since < math.inf:
                self.full_time += now - self.looked_at
            self.full_since = min(self.full_since, now)
        else:
            self.full_since = math.inf
        self.looked_at = now
        if self.full_time > SERVICE_RATE_WINDOW_S:
            self.full_time, self.done_while_full = self.full_time / 2, self.done_while_full // 2
        if self.full_time >= MIN_SATURATED_S and self.done_while_full:
            self.mu = self.done_while_full / self.full_time

    def held_of(self, priority: int) -> int:
        return sum(one.priority == priority for one in self.held)


class AdmissionQueue:
    """All groups of one instance. `usable_slots(name)` gives the slots of backends that hold a model and may be used
    now, divided by
    the instances; `ready_in(name)` the seconds until a backend will hold it."""

    def __init__(self, usable_slots: Callable[[ModelName], float], ready_in: Callable[[ModelName], float]) -> None:
        self._slots, self._ready_in = usable_slots, ready_in
        self.groups: dict[ModelName, ModelQueue] = {}
        self._bases: dict[int, float] = {0: 0.0}
        self._rate = 1.0

    def configure(self, classes: Iterable[tuple[int, float]]) -> None:
        """The classes of the configuration in force: priority (0 is highest) and latency aim in seconds of each."""
        known = list(classes) or [(0, 1.0)]
        self._bases = {int(-rank): base for rank, base in bases(-priority for priority, _ in known).items()}
        lowest = max(priority for priority, _ in known)
        self._rate = ageing_rate(max(target for priority, target in known if priority == lowest))

    def group(self, name: ModelName) -> ModelQueue:
        group = self.groups.get(name)
        if group is None:
            group = self.groups[name] = ModelQueue(name)
        return group

    def arrive(self, held: PendingRequest, now: float) -> Rejection | None:
        """Takes a request, or says why not."""
        group = self.group(held.name)
        group.pass_time(now)
        ready = self._ready_in(held.name)
        if not held.name.model and now + ready + RESPONSE_MARGIN_S >= held.due:
            return Rejection(RejectionReason.NO_BACKEND_IN_TIME, ready)
        if group.mu and ready <= 0.0:
            longest = max(0.0, min(held.target_s, held.due - now))
            bound = class_bound(group.mu, longest, max(MIN_RUNNING_LIMIT, group.limit))
            if group.held_of(held.priority) >= bound:
                return Rejection(RejectionReason.CLASS_BOUND, min(longest, group.held_of(held.priority) / group.mu))
        group.held.append(held)
        return None

    def priority(self, held: PendingRequest, now: float) -> float:
        base = self._bases.get(held.priority)
        if base is None:
            base = max(self._bases.values())
        return effective_priority(base, now - held.arrived, self._rate)

    def next(self, now: float) -> list[PendingRequest]:
        """The requests that start now, in their order; each is counted as running."""
        started: list[PendingRequest] = []
        for group in self.groups.values():
            if group.held:
                self._start(group, now, started)
        return started

    def _start(self, group: ModelQueue, now: float, started: list[PendingRequest]) -> None:
        slots = self._slots(group.name)
        group.pass_time(now)
        if slots <= 0.0:
            return
        group.limit = max(MIN_RUNNING_LIMIT, min(group.limit, slots)) if group.running else max(MIN_RUNNING_LIMIT, slots)
        while group.held and group.running < int(group.limit):
            pick = self._pick(group, now)
            group.held.remove(pick)
            pick.started = True
            group.running += 1
            group.accounts[pick.account] += 1
            started.append(pick)
        group.pass_time(now)

    def _pick(self, group: ModelQueue, now: float) -> PendingRequest:
        """The lowest effective priority whose account is under its cap; where all are over theirs, none waits for others."""
        ordered = sorted(group.held, key=lambda one: (self.priority(one, now), one.arrived))
        for one in ordered:
            if not one.account or group.accounts[one.account] < account_cap(group.limit, self._share(one.priority)):
                return one
        return ordered[0]

    def _share(self, priority: int) -> float:
        ranks = sorted(self._bases)
        place = ranks.index(priority) if priority in ranks else len(ranks) - 1
        return ACCOUNT_SHARE_BY_CLASS[
            min(len(ACCOUNT_SHARE_BY_CLASS) - 1, place * len(ACCOUNT_SHARE_BY_CLASS) // max(1, len(ranks)))
        ]

    def ended(self, held: PendingRequest, now: float, completed: bool, was_full: bool) -> None:
        """A started request is over: `completed` by a backend, or sent back by one that `was_full`."""
        group = self.group(held.name)
        group.pass_time(now)
        if group.full_since < math.inf and completed:
            group.done_while_full += 1
        group.running -= 1
        group.accounts[held.account] -= 1
        if not group.accounts[held.account]:
            del group.accounts[held.account]
        if was_full:
            group.limit = max(MIN_RUNNING_LIMIT, group.limit * LIMIT_DECREASE_FACTOR)
        elif completed and group.held:
            group.limit += 1.0

    def requeue(self, held: PendingRequest, now: float) -> None:
        """A backend sent it back unrun: it waits again, with its age."""
        group = self.group(held.name)
        held.started = False
        group.running -= 1
        group.accounts[held.account] -= 1
        group.held.append(held)

    def leave(self, held: PendingRequest) -> None:
        """A held request's caller is gone."""
        group = self.groups.get(held.name)
        if group is not None and held in group.held:
            group.held.remove(held)

    def give_up(self, now: float) -> list[tuple[PendingRequest, Rejection]]:
        """Held requests that can't be served in their time any more."""
        over = []
        for group in self.groups.values():
            if not group.held:
                continue
            ready = max(0.0, self._ready_in(group.name))
            for held in list(group.held):
                if now - held.arrived > MIN_WAIT_FRACTION * held.target_s and now + ready + RESPONSE_MARGIN_S >= held.due:
                    group.held.remove(held)
                    over.append(
                        (
                            held,
                            Rejection(
                                RejectionReason.DEADLINE if ready <= 0.0 else RejectionReason.NO_BACKEND_IN_TIME,
                                max(0.1, ready),
                            ),
                        )
                    )
        return over

    def prune(self) -> None:
        """Drops groups with nothing in them."""
        for name, group in list(self.groups.items()):
            if not group.held and not group.running and not group.mu:
                del self.groups[name]
