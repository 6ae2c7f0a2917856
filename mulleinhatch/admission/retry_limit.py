"""Rate limit of retries that are read during a retry storm."""

from __future__ import annotations

import math
from dataclasses import dataclass

from mulleinhatch.admission.interface import Decision, Verb
from mulleinhatch.admission.throughput import ThroughputMeter

# During a storm, first tries and retries together may use the first fraction of the capacity, and retries always get at least
# the second. Reading a request costs the same whatever is decided, and reading all retries would saturate the core.
STORM_CAPACITY_FRACTION = 0.95
MIN_RETRY_FRACTION = 0.02

# Smallest relative change of the limit that is reported.
REPORTED_STEP = 0.1


@dataclass
class RetryStorm:
    """Last report of the host's storm detector."""

    is_active: bool = False
    first_tries_per_s: float = 0.0


class RetryLimit:
    """Limits the rate of retries that the host reads; the host rejects the rest unread.

    Attributes:
        allowance_per_s: Retries per second that the fleet allows this instance.
    """

    def __init__(self, storm: RetryStorm, throughput: ThroughputMeter) -> None:
        self._storm = storm
        self._throughput = throughput
        self.allowance_per_s = math.inf
        self._reported_per_s = math.inf

    def next_report(self) -> Decision | None:
        """Report the limit if it changed; infinite means no limit."""
        limit = math.inf
        if self._storm.is_active:
            capacity = self._throughput.capacity()
            left = STORM_CAPACITY_FRACTION * capacity - self._storm.first_tries_per_s
            limit = min(self.allowance_per_s, max(MIN_RETRY_FRACTION * capacity, left))
        reported = self._reported_per_s
        if limit == reported or abs(limit - reported) < REPORTED_STEP * reported < math.inf:
            return None
        self._reported_per_s = limit
        return Decision(Verb.LIMIT_RETRIES, level=limit, cause="storm" if self._storm.is_active else "")
