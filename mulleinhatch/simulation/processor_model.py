"""Processor time in virtual time: each callback of a process keeps it busy for as long as its work takes.

The work of a callback is measured by the calls and returns of functions in it, so that a seed still gives one history on any
machine. Work inside one call of a C function (the parsing of a long JSON text) counts as one call.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from types import FrameType
from typing import Any

CALL_EVENT_S = 1e-7  # processor time of one call or return: 0.75 ms for the schema of a route with a traffic split


class Processor:
    """The share of a core that one simulated process has.

    Attributes:
        share: The share of a core, above 0.
        busy_until: Virtual time at which the work of the last callback is done.
    """

    def __init__(self, share: float) -> None:
        self.share = share
        self.busy_until = 0.0
        self._events = 0

    def time(self) -> float:
        """Return the processor time used so far, in seconds, also within a callback."""
        return self._events * CALL_EVENT_S

    def run(self, now: float, callback: Callable[..., Any], args: tuple[Any, ...]) -> None:
        """Run a callback and charge its work, beginning at a virtual time."""
        events_before = self._events
        sys.setprofile(self._count)
        try:
            callback(*args)
        finally:
            sys.setprofile(None)
            self.busy_until = now + (self._events - events_before) * CALL_EVENT_S / self.share

    def _count(self, frame: FrameType, event: str, argument: Any) -> None:
        self._events += 1
