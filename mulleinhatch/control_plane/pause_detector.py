"""Detect that this process did not run for a while, by gaps between checks of the clock.

A gap has one of two causes, which the log tells apart: the process was stopped from outside (a frozen virtual machine, SIGSTOP,
an overloaded host), or its own work kept the event loop from running.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from mulleinhatch.membership.view_timing import ALIVE_S
from mulleinhatch.process.loop_watch import LoopWatch, Turn

LOG = logging.getLogger(__name__)
CHECK_INTERVAL_S = 0.1
PAUSE_THRESHOLD_S = 0.6  # a longer gap between two checks of the clock counts as a pause
MIN_OWN_WORK_FRACTION = 0.05  # of the turn, in processor time: the smallest shares of a core are about a tenth


class PauseDetector:
    """Detects pauses by the time since the last check of the clock.

    After a pause this node's information is stale: it must not act as the leader, and must not treat missing messages of its
    peers as failures.

    Args:
        clock: The monotonic clock, in seconds.
        on_pause: Called with the current time when a pause has ended.
        watch: Tells what the event loop did meanwhile.
    """

    def __init__(self, clock: Callable[[], float], on_pause: Callable[[float], None], watch: LoopWatch) -> None:
        self.clock, self._on_pause, self._watch = clock, on_pause, watch
        self._checked_at = clock()
        self._recovering_until = 0.0

    def has_paused(self) -> bool:
        """Return whether the process was paused since the last check and no check has run yet."""
        return self.clock() - self._checked_at > PAUSE_THRESHOLD_S

    def is_recovering(self, now: float) -> bool:
        """Return whether a pause ended so recently that peers may not have had time to respond since."""
        return now < self._recovering_until

    async def run(self) -> None:
        """Check the clock forever. This loop awaits nothing else, so that a gap can only come from a pause."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = self.clock()
            if self.has_paused():
                self._report(now - self._checked_at)
                self._on_pause(now)
                self._recovering_until = now + ALIVE_S
            self._checked_at = now

    def _report(self, paused_s: float) -> None:
        turn = self._watch.turn_within(paused_s)
        if turn is None or not _is_own_work(turn):
            fields = {"paused_s": round(paused_s, 2)}
            LOG.warning("this process was paused; peers and backends get time to answer again", extra=fields)
            return
        fields = {
            "paused_s": round(paused_s, 2),
            "turn_s": round(turn.duration_s, 2),
            "processor_s": round(turn.processor_s, 2),
            "activity": turn.activity,
        }
        LOG.warning("this process held itself up; peers and backends get time to answer again", extra=fields)


def _is_own_work(turn: Turn) -> bool:
    """Return whether the process worked during a turn; one that was stopped from outside used no processor time."""
    return turn.processor_s >= MIN_OWN_WORK_FRACTION * turn.duration_s
