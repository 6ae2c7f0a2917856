"""Callbacks by which the parts of the runtime report to the instance."""

from __future__ import annotations

from typing import Any, Protocol

from mulleinhatch.instance.request_state_machine.events import Event


class EventHandler(Protocol):
    """Passes an event to the reducer and performs the actions that it returns."""

    def __call__(self, event: Event, /, *arguments: Any) -> None:
        """Handle one event; the arguments are listed beside the members of `Event`."""


class CounterIncrement(Protocol):
    """Increments a counter that `mulleinhatch counters` shows."""

    def __call__(self, name: str, /) -> None:
        """Add one to the counter of that name."""


class EarlyRejection(Protocol):
    """Decides about a retry before its request is read in full."""

    def __call__(self, now: float, /, *arguments: Any, **keywords: Any) -> float | None:
        """Return the seconds after which the client may retry, or None to read the request: `Reducer.reject_early`."""
