"""How many requests may run at once, and how many may be in progress."""

from __future__ import annotations

import math

from mulleinhatch.admission.interface import Deployment
from mulleinhatch.admission.request import Stage
from mulleinhatch.admission.request_table import RequestTable

# Seconds that the core use gauge averages over: if the limit was reached for a shorter time, the gauge does not reflect it.
GAUGE_PERIOD_S = 0.5

# Fraction of the concurrency that the instance survives that may be in progress: requests may return from calls all at once,
# and reading requests uses the cores as well.
IN_PROGRESS_FRACTION = 0.6

# Core use, as a fraction, below which the limit grows by one, and above which it shrinks by one. In a retry storm the host
# itself responds late, and the core time that its round trips leave idle is worth a slot, too.
IDLE_CORE_USE = 0.85
IDLE_CORE_USE_IN_STORM = 0.95
BUSY_CORE_USE = 0.97


class ConcurrencyLimit:
    """The running limit: initially the number of cores, raised only while cores idle although the limit is reached.

    Attributes:
        current: Requests that may run at once.
        full_since: Time since which the limit has been reached with requests queued; infinite while it is not.
    """

    def __init__(self, deployment: Deployment, table: RequestTable) -> None:
        get = deployment.get
        self._table = table
        self._queued = table.by_stage[Stage.QUEUED]
        self._running = table.by_stage[Stage.RUNNING]
        self.cores = max(1, get("cores", 1))
        self.current = self.cores
        self.full_since = math.inf
        self._max_per_core = get("crowd_per_core", 2.0)
        self._started_at = table.now
        self._warm_up_s = get("cold_for", 0.0)
        self.initial_speed = get("cold_speed", 1.0) if get("fresh_start", False) else 1.0

    def is_reached(self) -> bool:
        """Return whether no further request may start."""
        return len(self._running) >= self.current

    def speed(self) -> float:
        """Return the current fraction of full speed, assuming the slowest allowed warm-up."""
        warmed = (self._table.now - self._started_at) / self._warm_up_s if self._warm_up_s > 0.0 else 1.0
        return min(1.0, self.initial_speed + (1.0 - self.initial_speed) * warmed)

    def in_progress_limit(self) -> float:
        """Return how many requests may be in progress, including those in dependency calls."""
        return IN_PROGRESS_FRACTION * self.cores * (1.0 + (self._max_per_core - 1.0) * self.speed())

    def observe(self, now: float) -> None:
        """Record whether the limit is reached, once all decisions for this time were taken."""
        is_full = self._queued and len(self._running) >= self.current
        self.full_since = min(self.full_since, now) if is_full else math.inf

    def adjust(self, now: float, core_use: float, is_retry_storm: bool) -> None:
        """Raise or lower the limit by one, by the core use gauge."""
        is_idle = core_use < (IDLE_CORE_USE_IN_STORM if is_retry_storm else IDLE_CORE_USE)
        if now >= self.full_since + GAUGE_PERIOD_S and is_idle and self.current < self.in_progress_limit():
            self.current += 1
        elif core_use > BUSY_CORE_USE and self.current > self.cores:
            self.current -= 1
