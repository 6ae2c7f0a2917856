"""Queues of requests that wait for quota tokens at a data plane, by tenant, in the order in which they requested tokens."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from result import Result

from mulleinhatch.data_plane.permit_patience import Patience
from mulleinhatch.quotas.balance import Permit, QuotaExceeded

Outcome = Result[Permit, QuotaExceeded]


class Cancellable(Protocol):
    """A timer; `asyncio.TimerHandle` satisfies it."""

    def cancel(self) -> None:
        """Stop it."""


@dataclass(slots=True, eq=False)
class PermitWait:
    """A request's wait for a permit; `cancel` it if the request ends first.

    Attributes:
        tenant: The tenant's name.
        tokens: Tokens of the request.
        patience: How long the request may wait.
        on_outcome: Called once with the permit or the refusal, unless cancelled.
        position: Its sequence number among all waits; a wait with a lower one requested tokens earlier.
        timer: Ends or re-evaluates the wait if no answer has come by then.
        attempts: Queries sent for it since it was last parked.
        was_parked: Whether it was ever parked until tokens were expected.
        is_over: Whether the outcome is known, or the wait was cancelled.
    """

    tenant: str
    tokens: int
    patience: Patience
    on_outcome: Callable[[Outcome], None]
    position: int
    timer: Cancellable | None = None
    attempts: int = 0
    was_parked: bool = False
    is_over: bool = False

    def cancel(self) -> None:
        """End the wait without an outcome."""
        self.is_over = True
        if self.timer is not None:
            self.timer.cancel()


class WaitQueue:
    """A queue of waits for each tenant, in order of position."""

    def __init__(self) -> None:
        self._waits: dict[str, list[PermitWait]] = {}

    def __bool__(self) -> bool:
        return bool(self._waits)

    def add(self, wait: PermitWait) -> None:
        """Insert a wait by its position."""
        waits = self._waits.setdefault(wait.tenant, [])
        waits.append(wait)
        if len(waits) > 1 and waits[-2].position > wait.position:
            waits.sort(key=lambda other: other.position)

    def tenants(self) -> list[str]:
        """Return the tenants that may have waits that are not over."""
        return list(self._waits)

    def of(self, tenant: str) -> list[PermitWait]:
        """Return the waits of a tenant that are not over."""
        return [wait for wait in self._waits.get(tenant, ()) if not wait.is_over]

    def take(self, tenant: str) -> list[PermitWait]:
        """Remove a tenant's waits, and return those that are not over."""
        return [wait for wait in self._waits.pop(tenant, ()) if not wait.is_over]

    def tokens_before(self, wait: PermitWait) -> int:
        """Return the tokens of the waits of the same tenant that precede a wait."""
        return sum(other.tokens for other in self.of(wait.tenant) if other.position < wait.position)

    def count(self) -> int:
        """Return the number of waits that are not over."""
        return sum(len(self.of(tenant)) for tenant in self._waits)


class ParkedWaits:
    """Waits that are retried at a later time, all waits of a tenant together.

    Args:
        loop: Clock and timers.
        on_due: Called with each of a tenant's waits, in order, when they are due.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, on_due: Callable[[PermitWait], None]) -> None:
        self._loop, self._on_due = loop, on_due
        self.queue = WaitQueue()
        self._timers: dict[str, asyncio.TimerHandle] = {}  # by tenant
        self._owners: dict[str, str | None] = {}  # by tenant: its owner when the first of its waits was parked

    def park(self, wait: PermitWait, owner: str | None, due_at: float) -> None:
        """Hold a wait until `due_at`, or until an earlier time at which the tenant's other waits are due."""
        wait.attempts, wait.was_parked = 0, True
        self.queue.add(wait)
        self._owners.setdefault(wait.tenant, owner)
        timer = self._timers.get(wait.tenant)
        if timer is None or due_at < timer.when():
            if timer is not None:
                timer.cancel()
            self._timers[wait.tenant] = self._loop.call_at(due_at, self.release, wait.tenant)

    def release(self, tenant: str) -> None:
        """Pass a tenant's waits to `on_due` now."""
        self._owners.pop(tenant, None)
        timer = self._timers.pop(tenant, None)
        if timer is not None:
            timer.cancel()
        for wait in self.queue.take(tenant):
            self._on_due(wait)

    def release_moved(self, owner_of: Callable[[str], str | None]) -> None:
        """Release the waits of all tenants whose owner changed."""
        for tenant, owner in list(self._owners.items()):
            if owner_of(tenant) != owner:
                self.release(tenant)

    def release_all(self) -> None:
        """Release all waits."""
        for tenant in list(self._owners):
            self.release(tenant)
