"""Limit of concurrent calls to the shared dependency, adapted to how long calls take."""

from __future__ import annotations

import math
from collections.abc import Iterable

from mulleinhatch.admission.constants import NOT_EXECUTED_ENDINGS, RECALCULATION_INTERVAL_S
from mulleinhatch.admission.interface import Deployment, Ref
from mulleinhatch.admission.request import IN_PROGRESS_STAGES, Request, Stage
from mulleinhatch.admission.request_table import RequestTable
from mulleinhatch.admission.throughput import ThroughputMeter
from mulleinhatch.sliding_window import BUCKET_COUNT, SlidingWindow

# Ratio of the call time to the best measured one above which the dependency counts as overloaded.
OVERLOADED_CALL_FACTOR = 3.0

# Change of the limit at each recalculation; multiplicative both ways, because the calls of many instances add up.
CALL_LIMIT_DECREASE = 0.9
CALL_LIMIT_INCREASE = 1.1

# Lower bound of the limit, as a fraction of this instance's share of the dependency's capacity, even if calls far apart are
# slow; the second constant, in calls, is the lower bound of that bound.
CALL_LIMIT_FLOOR_FRACTION = 0.4
MIN_CALL_LIMIT = 0.01

# Upper bound of the limit, as a multiple of one more than the recent mean of calls in progress: an unused higher limit would
# fill up when calls get slow.
CALL_LIMIT_HEADROOM = 3.0

# Calls over which the recent and the baseline call time are averaged: the minimum over few calls would be chance.
RECENT_CALLS = 4
BASELINE_CALLS = 16

# Seconds without a call after which a slow call time is forgotten: otherwise no call would ever start to measure it again.
CALL_TIME_RECOVERY_S = 2.5

# Growth of the best call time per second, so that a value that is never reached again is forgotten.
BEST_CALL_TIME_DRIFT_PER_S = 0.01

# Fraction of this instance's share that calls may use if all last until their timeouts; the rest covers timers that fire late.
SHARE_FILL_FRACTION = 0.9


class DependencyLimit:
    """Measures the call time and limits calls in progress; a limit below one call spreads calls over time.

    Attributes:
        share: Mean calls in progress that this instance may add to the dependency.
        call_limit: Calls that may be in progress.
        call_time_s: Call time over the last second, averaged with that of the last few calls.
    """

    def __init__(self, deployment: Deployment, table: RequestTable, throughput: ThroughputMeter, cores: int) -> None:
        get = deployment.get
        self._table = table
        self._throughput = throughput
        self._running = table.by_stage[Stage.RUNNING]
        self._awaiting = table.by_stage[Stage.AWAITING_CALL]
        self._calling = table.by_stage[Stage.CALLING]
        self._in_progress = [table.by_stage[stage] for stage in IN_PROGRESS_STAGES]
        self.share = get("calls_share", 0.0) if get("shared_dependency", False) else math.inf
        self._share_window_s = get("calls_window") or 1.0
        self._linger_s = get("call_linger", 0.0)
        self._lingering_until: list[float] = []
        self._calls_in_dependency = SlidingWindow(self._share_window_s / BUCKET_COUNT, BUCKET_COUNT + 1)
        self._time_in_calls = SlidingWindow(RECALCULATION_INTERVAL_S)
        self._calls_ended = SlidingWindow(RECALCULATION_INTERVAL_S)
        self.call_limit = float(cores)
        self.call_time_s = 0.0
        self._recent_call_time_s = self._baseline_call_time_s = 0.0
        self._best_call_time_s = math.inf
        self._call_count = 0
        self._last_call_at, self._last_call_time_s = table.now, 0.0

    def record_elapsed(self, now: float, elapsed_s: float) -> None:
        """Count the time that calls were in progress, and forget abandoned calls that the dependency has dropped."""
        calling, lingering = len(self._calling), self._lingering_until
        self._time_in_calls.add(now, elapsed_s * calling)
        self._calls_in_dependency.add(now, elapsed_s * (calling + len(lingering)))
        self._lingering_until = [until for until in lingering if until > now]

    def record_abandoned_call(self, now: float) -> None:
        """Count a call that this instance abandoned: the dependency may still execute it."""
        self._lingering_until.append(now + self._linger_s)

    def record_call_time(self, ending: int, elapsed_s: float) -> None:
        """Measure a call that ended; a call that was never executed lowers the limit at once."""
        now = self._table.now
        self._last_call_at, self._last_call_time_s = now, elapsed_s
        if ending in NOT_EXECUTED_ENDINGS:
            self._decrease()
            return
        self._call_count += 1
        self._calls_ended.add(now, 1.0)
        self._recent_call_time_s += (elapsed_s - self._recent_call_time_s) / min(self._call_count, RECENT_CALLS)
        self._baseline_call_time_s += (elapsed_s - self._baseline_call_time_s) / min(self._call_count, BASELINE_CALLS)

    def update(self, elapsed_s: float) -> None:
        """Measure the call time again and adjust the limit by it."""
        now = self._table.now
        if self._call_count >= RECENT_CALLS:
            drifted_s = self._best_call_time_s * (1.0 + BEST_CALL_TIME_DRIFT_PER_S * elapsed_s)
            self._best_call_time_s = min(drifted_s, self._baseline_call_time_s)
            if not self._calling:
                recovered = min(1.0, elapsed_s / CALL_TIME_RECOVERY_S)
                self._recent_call_time_s += (self._best_call_time_s - self._recent_call_time_s) * recovered
        time_in_calls = RECENT_CALLS * self._recent_call_time_s + self._time_in_calls.total(now)
        self.call_time_s = time_in_calls / (RECENT_CALLS + self._calls_ended.total(now))
        mean_calls = self._calls_in_dependency.total(now) / self._share_window_s
        if self.is_overloaded():
            self._decrease()
        else:
            self.call_limit = min(self.call_limit * CALL_LIMIT_INCREASE, CALL_LIMIT_HEADROOM * (1.0 + mean_calls))

    def _decrease(self) -> None:
        floor = min(1.0, max(MIN_CALL_LIMIT, CALL_LIMIT_FLOOR_FRACTION * self.share))
        self.call_limit = max(floor, self.call_limit * CALL_LIMIT_DECREASE)

    def is_overloaded(self) -> bool:
        """Return whether calls take far longer than the best measured call time."""
        return self.call_time_s > OVERLOADED_CALL_FACTOR * self._best_call_time_s

    def has_free_call(self) -> bool:
        """Return whether a call may start now."""
        is_pause_over = self.call_limit >= 1.0 or self._pause_s() <= 0.0
        return len(self._calling) < self.call_limit and is_pause_over

    def is_saturated(self) -> bool:
        """Return whether the requests in progress already use all calls, so that another run could not get its call."""
        run_time = self._throughput.pace * self._throughput.mean_work()
        max_requests = self.call_limit * (1.0 + run_time / self.call_time_s) if self.call_time_s else math.inf
        return self._count_must_call(self._in_progress) >= max(1.0, max_requests)

    def wait_s(self) -> float:
        """Return how long a call requested now would take, including the queue before it."""
        queue = self._count_must_call((self._running, self._awaiting))
        return self.call_time_s * (1.0 + queue / self.call_limit) + max(0.0, self._pause_s())

    def longest_call_s(self) -> float:
        """Return the longest timeout that keeps mean calls within this instance's share if all calls time out."""
        now = self._table.now
        ahead = sum(request.call_until - now + self._linger_s for request in self._calling.values())
        ahead += sum(until - now for until in self._lingering_until) + self._linger_s
        return SHARE_FILL_FRACTION * self.share * self._share_window_s - self._calls_in_dependency.total(now) - ahead

    def _pause_s(self) -> float:
        """Return the time until the next call may start where the limit is below one call."""
        return self._last_call_at + self._last_call_time_s * (1.0 / self.call_limit - 1.0) - self._table.now

    @staticmethod
    def _count_must_call(stages: Iterable[dict[Ref, Request]]) -> int:
        """Count the requests in some stages that cannot be answered without a call."""
        return sum(
            request.request_class.must_call and not request.is_answered for stage in stages for request in stage.values()
        )
