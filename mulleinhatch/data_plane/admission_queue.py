"""Decides which requests wait, in which order they start, and which are rejected. Pure.

Each model (with its adapter) of a service, or each service without models, has its own queue. Its running limit is
this data plane's share of the slots of the backends that hold the model; the service rate mu is measured from its completions.

Source: Multigrid, "Priority Queues: Free Users Wait, Paying Users Do Not"; see `docs/design.md` and `admission/mechanism.py`.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from mulleinhatch.admission.mechanism import account_cap, ageing_rate, base_priorities, class_bound, effective_priority
from mulleinhatch.data_plane.registry_snapshot import ModelKey

MIN_SATURATED_S = 0.5  # Saturated time (at the running limit, with requests waiting) needed for a service rate.
SERVICE_RATE_WINDOW_S = 10.0  # Saturated time after which the weight of older completions is halved.
ACCOUNT_SHARE_BY_CLASS = (0.25, 0.10, 0.04)  # Cap of one account as a fraction of the running limit, highest class first.
MIN_RUNNING_LIMIT = 2
LIMIT_DECREASE_FACTOR = 0.8  # Multiplicative decrease when a backend rejects a request as overloaded.
LIMIT_INCREASE = 1.0  # Additive increase for each completion while requests wait.
RESPONSE_MARGIN_S = 0.05  # Reject this long before the deadline, so that the response still reaches the client.
MIN_WAIT_FRACTION = 0.2  # Fraction of the latency target before which no request expires: a model may be placed meanwhile.
MIN_EXPIRED_RETRY_AFTER_S = 0.1
DEFAULT_SERVICE_S = 0.3  # Expected service time of a request.


@dataclass
class PendingRequest:
    """A request in the queue. Times are loop times in seconds.

    Attributes:
        handle: The owner's object for the request.
        model_key: Requested model.
        priority: Class, 0 is the highest.
        target_s: Latency target of its route.
        account: Account whose cap applies, empty if unknown.
        arrived_at: Arrival time; unchanged when the request is queued again.
        deadline: When it expires.
        is_started: Whether it has left the queue.
    """

    handle: Any
    model_key: ModelKey
    priority: int
    target_s: float
    account: str
    arrived_at: float
    deadline: float
    is_started: bool = False


class RejectionReason(Enum):
    """Why a request was rejected, on arrival or while it waited. The values are part of responses and logs."""

    CLASS_BOUND = "class bound"  # More requests of its class wait than can start in time.
    NO_BACKEND_IN_TIME = "no stub in time"  # No backend will have the model before the deadline.
    DEADLINE = "due"  # It can no longer be served before its deadline.


@dataclass(frozen=True)
class Rejection:
    """A rejected request.

    Attributes:
        reason: Why it was rejected.
        retry_after_s: Seconds after which the client should retry.
    """

    reason: RejectionReason
    retry_after_s: float


@dataclass
class ModelQueue:
    """Waiting and running requests for one model.

    Attributes:
        model_key: The model.
        limit: Running limit; adapted to the backends' responses (AIMD) and bounded by their slots.
        waiting: Waiting requests, in the order in which they were queued.
        running: Number of requests that were started and have not finished.
        running_by_account: Number of running requests of each account.
        saturated_since: Time since which the queue has been saturated (limit reached, requests waiting); infinite if it is not.
        saturated_s: Saturated time within the window, in seconds.
        completed_while_saturated: Completions during the saturated time.
        service_rate: Requests per second, 0 until it is measured.
        updated_at: When the saturated time was last updated.
    """

    model_key: ModelKey
    limit: float = MIN_RUNNING_LIMIT
    waiting: list[PendingRequest] = field(default_factory=list)
    running: int = 0
    running_by_account: Counter[str] = field(default_factory=Counter)
    saturated_since: float = math.inf
    saturated_s: float = 0.0
    completed_while_saturated: int = 0
    service_rate: float = 0.0
    updated_at: float = 0.0

    def update_service_rate(self, now: float) -> None:
        """Add the time since the last update if the queue was saturated; only then is its service rate measured."""
        if self.running >= int(self.limit) and self.waiting:
            if self.saturated_since < math.inf:
                self.saturated_s += now - self.updated_at
            self.saturated_since = min(self.saturated_since, now)
        else:
            self.saturated_since = math.inf
        self.updated_at = now
        if self.saturated_s > SERVICE_RATE_WINDOW_S:
            self.saturated_s, self.completed_while_saturated = self.saturated_s / 2, self.completed_while_saturated // 2
        if self.saturated_s >= MIN_SATURATED_S and self.completed_while_saturated:
            self.service_rate = self.completed_while_saturated / self.saturated_s

    def waiting_count(self, priority: int) -> int:
        """Return the number of waiting requests of a class."""
        return sum(pending.priority == priority for pending in self.waiting)


class AdmissionQueue:
    """The queues of all models of one data plane.

    Args:
        available_slots: Returns this data plane's share of the slots of the available backends that hold a model.
        ready_in_s: Returns the seconds until a backend can serve a model, 0 if one can now.
    """

    def __init__(self, available_slots: Callable[[ModelKey], float], ready_in_s: Callable[[ModelKey], float]) -> None:
        self._available_slots, self._ready_in_s = available_slots, ready_in_s
        self.by_model: dict[ModelKey, ModelQueue] = {}
        self._base_priorities: dict[int, float] = {0: 0.0}
        self._account_shares: dict[int, float] = {0: ACCOUNT_SHARE_BY_CLASS[0]}
        self._ageing_rate = 1.0

    def configure(self, classes: Iterable[tuple[int, float]], class_of: Callable[[PendingRequest], int] | None = None) -> None:
        """Apply the priority classes of a new configuration.

        Args:
            classes: Priority (0 is the highest) and latency target in seconds of each class.
            class_of: Returns the new class of a waiting request; without it, waiting requests keep their classes.
        """
        targets = list(classes) or [(0, 1.0)]
        base_by_rank = base_priorities(-priority for priority, _ in targets)
        self._base_priorities = {int(-rank): base for rank, base in base_by_rank.items()}
        self._account_shares = _account_shares(self._base_priorities)
        lowest = max(priority for priority, _ in targets)
        self._ageing_rate = ageing_rate(max(target_s for priority, target_s in targets if priority == lowest))
        if class_of is not None:
            for queue in self.by_model.values():
                for pending in queue.waiting:
                    pending.priority = class_of(pending)

    def _queue(self, model_key: ModelKey) -> ModelQueue:
        queue = self.by_model.get(model_key)
        if queue is None:
            queue = self.by_model[model_key] = ModelQueue(model_key)
        return queue

    # Queueing.

    def enqueue(self, pending: PendingRequest, now: float) -> Rejection | None:
        """Add a request to its queue.

        Returns:
            None if the request was queued, else its rejection.
        """
        queue = self._queue(pending.model_key)
        queue.update_service_rate(now)
        ready_in_s = self._ready_in_s(pending.model_key)
        if not pending.model_key.model and now + ready_in_s + RESPONSE_MARGIN_S >= pending.deadline:
            return Rejection(RejectionReason.NO_BACKEND_IN_TIME, ready_in_s)
        if queue.service_rate and ready_in_s <= 0.0:
            longest_wait_s = max(0.0, min(pending.target_s, pending.deadline - now))
            waiting_count = queue.waiting_count(pending.priority)
            if waiting_count >= class_bound(queue.service_rate, longest_wait_s, max(MIN_RUNNING_LIMIT, queue.limit)):
                return Rejection(RejectionReason.CLASS_BOUND, min(longest_wait_s, waiting_count / queue.service_rate))
        queue.waiting.append(pending)
        return None

    def requeue(self, pending: PendingRequest, now: float) -> None:
        """Put a started but unsent request back into its queue; it keeps its arrival time."""
        queue = self._queue(pending.model_key)
        pending.is_started = False
        queue.running -= 1
        queue.running_by_account[pending.account] -= 1
        queue.waiting.append(pending)

    def restore(self, pending: PendingRequest) -> None:
        """Put an accepted request whose slot was freed back into its queue; it keeps its arrival time."""
        pending.is_started = False
        self._queue(pending.model_key).waiting.append(pending)

    # Starting.

    def start_next(self, now: float) -> list[PendingRequest]:
        """Remove the requests that start now from their queues, in order; they count as running from now on."""
        started: list[PendingRequest] = []
        for queue in self.by_model.values():
            if queue.waiting:
                self._start_from(queue, now, started)
        return started

    def _start_from(self, queue: ModelQueue, now: float, started: list[PendingRequest]) -> None:
        slots = self._available_slots(queue.model_key)
        queue.update_service_rate(now)
        if slots <= 0.0:
            return
        queue.limit = max(MIN_RUNNING_LIMIT, min(queue.limit, slots) if queue.running else slots)
        while queue.waiting and queue.running < int(queue.limit):
            pending = self._pick_next(queue, now)
            queue.waiting.remove(pending)
            pending.is_started = True
            queue.running += 1
            queue.running_by_account[pending.account] += 1
            started.append(pending)
        queue.update_service_rate(now)

    def _pick_next(self, queue: ModelQueue, now: float) -> PendingRequest:
        """Return the request of lowest effective priority with its account under the cap; without one, the lowest of all."""
        ordered = sorted(queue.waiting, key=lambda pending: (self._effective_priority(pending, now), pending.arrived_at))
        for pending in ordered:
            cap = account_cap(queue.limit, self._account_share(pending.priority))
            if not pending.account or queue.running_by_account[pending.account] < cap:
                return pending
        return ordered[0]

    def _effective_priority(self, pending: PendingRequest, now: float) -> float:
        base = self._base_priorities.get(pending.priority)
        if base is None:
            base = max(self._base_priorities.values())
        return effective_priority(base, now - pending.arrived_at, self._ageing_rate)

    def _account_share(self, priority: int) -> float:
        """Return the fraction of the running limit for one account of a class; an unknown class counts as the lowest."""
        share = self._account_shares.get(priority)
        return min(self._account_shares.values()) if share is None else share

    # Leaving.

    def finish(self, pending: PendingRequest, now: float, is_completed: bool, was_overloaded: bool) -> None:
        """Free the slot of a started request and adapt the running limit.

        Args:
            pending: The request.
            now: Loop time.
            is_completed: Whether a backend completed it.
            was_overloaded: Whether a backend rejected it as overloaded.
        """
        queue = self._queue(pending.model_key)
        queue.update_service_rate(now)
        if queue.saturated_since < math.inf and is_completed:
            queue.completed_while_saturated += 1
        queue.running -= 1
        queue.running_by_account[pending.account] -= 1
        if not queue.running_by_account[pending.account]:
            del queue.running_by_account[pending.account]
        if was_overloaded:
            queue.limit = max(MIN_RUNNING_LIMIT, queue.limit * LIMIT_DECREASE_FACTOR)
        elif is_completed and queue.waiting:
            queue.limit += LIMIT_INCREASE

    def remove(self, pending: PendingRequest) -> None:
        """Remove a request from its queue if it still waits."""
        queue = self.by_model.get(pending.model_key)
        if queue is not None and pending in queue.waiting:
            queue.waiting.remove(pending)

    def remove_expired(self, now: float) -> list[tuple[PendingRequest, Rejection]]:
        """Remove and return the waiting requests that can no longer be served before their deadline."""
        expired = []
        for queue in self.by_model.values():
            if not queue.waiting:
                continue
            ready_in_s = max(0.0, self._ready_in_s(queue.model_key))
            reason = RejectionReason.DEADLINE if ready_in_s <= 0.0 else RejectionReason.NO_BACKEND_IN_TIME
            for pending in list(queue.waiting):
                has_waited = now - pending.arrived_at > MIN_WAIT_FRACTION * pending.target_s
                if has_waited and now + ready_in_s + RESPONSE_MARGIN_S >= pending.deadline:
                    queue.waiting.remove(pending)
                    expired.append((pending, Rejection(reason, max(MIN_EXPIRED_RETRY_AFTER_S, ready_in_s))))
        return expired

    def prune(self) -> None:
        """Drop queues that have neither requests nor a measured service rate."""
        for model_key, queue in list(self.by_model.items()):
            if not queue.waiting and not queue.running and not queue.service_rate:
                del self.by_model[model_key]


def _account_shares(classes: Collection[int]) -> dict[int, float]:
    """Return the fraction of the running limit that one account may use, for each class.

    >>> _account_shares([0, 1, 2, 3])
    {0: 0.25, 1: 0.25, 2: 0.1, 3: 0.04}
    """
    shares, count = ACCOUNT_SHARE_BY_CLASS, len(classes)
    return {priority: shares[index * len(shares) // count] for index, priority in enumerate(sorted(classes))}
