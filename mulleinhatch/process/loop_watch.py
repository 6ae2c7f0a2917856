"""Measure the turns of an event loop, and name the work that holds it up.

A turn is the time in which the loop runs callbacks between two waits for input. While it lasts, the process answers nobody: its
peers can't tell a long turn from the death of the process.
"""

from __future__ import annotations

import logging
import time
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

LOG = logging.getLogger(__name__)
LONG_TURN_S = 0.1  # a third of the heartbeat interval of a control-plane node
REPORT_INTERVAL_S = 10.0  # at most one long turn is logged in this time
KEPT_S = 60.0  # the status shows the longest turn of this time
PROCESSOR_MARK_INTERVAL_S = 0.05  # the processor time is read at most this often, as reading it is a system call
UNNAMED = "unnamed work"


@dataclass(frozen=True)
class Turn:
    """One turn of the loop.

    Attributes:
        ended_at: When it ended, in seconds of the watch's clock.
        duration_s: How long it lasted.
        processor_s: Processor time that the process used in it, and in up to `PROCESSOR_MARK_INTERVAL_S` before it.
        activity: The named work that took the most of it.
    """

    ended_at: float
    duration_s: float
    processor_s: float
    activity: str


class LoopWatch:
    """Measures the turns of one event loop.

    Args:
        clock: The monotonic clock, in seconds.
        processor_time: Returns the processor time that the loop's thread has used, in seconds.
    """

    def __init__(
        self, clock: Callable[[], float] = time.monotonic, processor_time: Callable[[], float] = time.thread_time
    ) -> None:
        self._clock, self._processor_time = clock, processor_time
        self._turn_began_at = clock()
        self._mark_at, self._processor_mark_s = self._turn_began_at, processor_time()
        self._activities: dict[str, float] = {}  # seconds by name, in the current turn
        self._long_turns: deque[Turn] = deque()  # those of the last `KEPT_S`; each is shorter than the one before
        self._reported_at = -REPORT_INTERVAL_S

    @contextmanager
    def activity(self, name: str) -> Iterator[None]:
        """Count the time in the block for a named piece of work; the block must not wait."""
        began_at = self._clock()
        try:
            yield
        finally:
            self._activities[name] = self._activities.get(name, 0.0) + self._clock() - began_at

    def on_turn_begun(self) -> None:
        """Handle that the loop's wait for input has ended."""
        now = self._turn_began_at = self._clock()
        if now - self._mark_at >= PROCESSOR_MARK_INTERVAL_S:
            self._mark_at, self._processor_mark_s = now, self._processor_time()

    def on_turn_ended(self) -> None:
        """Handle that the loop will wait for input."""
        now = self._clock()
        if now - self._turn_began_at >= LONG_TURN_S:
            self._record(now)
        if self._activities:
            self._activities = {}

    def longest_turn(self) -> Turn | None:
        """Return the longest turn of the last minute, None where all were shorter than `LONG_TURN_S`."""
        self._expire(self._clock())
        return self._long_turns[0] if self._long_turns else None

    def turn_within(self, duration_s: float) -> Turn | None:
        """Return the longest long turn that ended or goes on within the last `duration_s`."""
        now = self._clock()
        turns = [turn for turn in self._long_turns if turn.ended_at >= now - duration_s]
        if now - self._turn_began_at >= LONG_TURN_S:
            turns.append(self._current_turn(now))
        return max(turns, key=lambda turn: turn.duration_s, default=None)

    def _current_turn(self, now: float) -> Turn:
        activity = max(self._activities, key=self._activities.__getitem__, default=UNNAMED)
        return Turn(now, now - self._turn_began_at, self._processor_time() - self._processor_mark_s, activity)

    def _record(self, now: float) -> None:
        turn = self._current_turn(now)
        self._expire(now)
        while self._long_turns and self._long_turns[-1].duration_s <= turn.duration_s:
            self._long_turns.pop()
        self._long_turns.append(turn)
        if now - self._reported_at >= REPORT_INTERVAL_S:
            self._reported_at = now
            LOG.warning("one turn of the event loop took long; nobody was answered meanwhile", extra=_fields(turn))

    def _expire(self, now: float) -> None:
        while self._long_turns and self._long_turns[0].ended_at < now - KEPT_S:
            self._long_turns.popleft()


def turn_status(watch: LoopWatch) -> dict[str, str | float]:
    """Return the longest turn of the last minute for a status page; empty where none was long."""
    turn = watch.longest_turn()
    return {} if turn is None else _fields(turn)


def _fields(turn: Turn) -> dict[str, str | float]:
    """Return a turn as fields of a log line or a status page."""
    return {"turn_ms": _ms(turn.duration_s), "processor_ms": _ms(turn.processor_s), "activity": turn.activity}


def _ms(duration_s: float) -> float:
    return round(1000.0 * duration_s, 1)
