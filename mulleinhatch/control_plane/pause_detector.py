"""Detect that this process was paused (a frozen virtual machine, a stopped process) by gaps between clock checks."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from mulleinhatch.membership.view_timing import ALIVE_S

LOG = logging.getLogger(__name__)
CHECK_INTERVAL_S = 0.1
PAUSE_THRESHOLD_S = 0.6  # a longer gap between two checks of the clock counts as a pause


class PauseDetector:
    """Detects pauses by the time since the last check of the clock.

    After a pause this node's information is stale: it must not act as the leader, and must not treat missing messages of its
    peers as failures.

    Args:
        clock: The monotonic clock, in seconds.
        on_pause: Called with the current time when a pause has ended.
    """

    def __init__(self, clock: Callable[[], float], on_pause: Callable[[float], None]) -> None:
        self.clock, self._on_pause = clock, on_pause
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
                paused_s = round(now - self._checked_at, 2)
                LOG.warning(
                    "this process was paused; peers and backends get time to answer again", extra={"paused_s": paused_s}
                )
                self._on_pause(now)
                self._recovering_until = now + ALIVE_S
            self._checked_at = now
