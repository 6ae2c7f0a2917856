"""Processor time in virtual time: each callback of a process keeps it busy for as long as its work takes.

The work of a callback is measured by the calls and returns of functions in it, so that a seed still gives one history on any
machine. Work inside one call of a C function (the parsing of a long JSON text) counts as one call.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from types import FrameType
from typing import Any

PERIOD_ROUNDING = 1e-9  # the end of a period belongs to the next one, whatever the rounding of its product
CALL_EVENT_S = 1e-7  # processor time of one call or return: 0.75 ms for the schema of a route with a traffic split


class Processor:
    """The share of a core that one simulated process has.

    Attributes:
        share: The share of a core, above 0.
        period_s: The share is spent at full speed at the beginning of each period, and the process waits for the next one (a
            quota, as control groups give); 0 for a core that is slower all the time.
        busy_until: Virtual time at which the work of the last callback is done.

    >>> processor = Processor(0.25, period_s=0.1)
    >>> [round(processor.end_of_work(now, 0.02), 3) for now in (0.0, 0.02, 0.3)]  # the second waits for the next period
    [0.02, 0.115, 0.32]
    """

    def __init__(self, share: float, period_s: float = 0.0) -> None:
        self.share, self.period_s = share, period_s
        self.busy_until = 0.0
        self._events = 0
        self._period, self._spent_s = 0, 0.0  # the period of the last work, and the part of its quota that is spent

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
            self.busy_until = self.end_of_work(now, (self._events - events_before) * CALL_EVENT_S)

    def end_of_work(self, now: float, work_s: float) -> float:
        """Spend processor time on work that begins at a virtual time; return when it is done."""
        if not self.period_s:
            return now + work_s / self.share
        while True:
            period = int(now / self.period_s + PERIOD_ROUNDING)
            if period != self._period:
                self._period, self._spent_s = period, 0.0
            period_end = (period + 1) * self.period_s
            available_s = min(self.share * self.period_s - self._spent_s, period_end - now)
            if work_s <= available_s:
                self._spent_s += work_s
                return now + work_s
            work_s -= available_s
            now = period_end

    def _count(self, frame: FrameType, event: str, argument: Any) -> None:
        self._events += 1
