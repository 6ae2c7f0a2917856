"""How many retries a second are read in a retry storm."""

from __future__ import annotations

import math
from dataclasses import dataclass

from mulleinhatch.admission.interface import Decision, Verb
from mulleinhatch.admission.throughput import ThroughputMeter

# In a storm, first tries and retries together may take this fraction of what can be served, and retries never get less than
# the second: reading a request costs the same whatever is decided, and reading alone would fill the core.
STORM_CAPACITY_FRACTION = 0.95
MIN_RETRY_FRACTION = 0.02

# Change of the limit, as a fraction, that is worth a report.
REPORTED_STEP = 0.1


@dataclass
class RetryStorm:
    """What the host's storm detector last said."""

    is_active: bool = False
    first_tries_per_s: float = 0.0


class RetryLimit:
    """Limits the retries that the host reads; the host rejects the rest unread.

    Attributes:
        allowance_per_s: Retries a second that the fleet leaves to this instance.
    """

    def __init__(self, storm: RetryStorm, throughput: ThroughputMeter) -> None:
        self._storm = storm
        self._throughput = throughput
        self.allowance_per_s = math.inf
        self._reported_per_s = math.inf

    def next_report(self) -> Decision | None:
        """Report the limit if it changed; infinite means none."""
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
