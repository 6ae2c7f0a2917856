"""Health of the instance: whether clients should send requests to it."""

from __future__ import annotations

from mulleinhatch.admission.concurrency_limit import ConcurrencyLimit
from mulleinhatch.admission.drain import Drain
from mulleinhatch.admission.interface import Decision, Verb
from mulleinhatch.admission.request_table import RequestTable
from mulleinhatch.admission.throughput import ThroughputMeter
from mulleinhatch.admission.traffic import TrafficMeter
from mulleinhatch.sliding_window import SlidingWindow

# Ratio of the mean run time to the shortest target latency above which the instance counts as slow.
SLOW_RUN_FACTOR = 1.2

# Fraction of failed recent runs above which the instance is unhealthy: fast failures look like low load and attract clients.
FAILING_RUN_FRACTION = 0.5

# Seconds of an unhealthy period, doubled for each consecutive period; each period has a jitter of plus or minus a quarter.
MIN_UNHEALTHY_S = 4.0
MAX_UNHEALTHY_S = 32.0
UNHEALTHY_PERIOD_GROWTH = 2.0
MIN_JITTER_FACTOR, JITTER_FACTOR_RANGE = 0.75, 0.5

# Knuth's MMIX generator: decisions must be reproducible from the seed and the event history.
RANDOM_MULTIPLIER, RANDOM_INCREMENT, RANDOM_MODULUS = 6364136223846793005, 1442695040888963407, 2**64


class HealthMonitor:
    """Detects that the instance is slow, stuck or failing, except during a warm-up; consecutive unhealthy periods grow.

    Attributes:
        unhealthy_until: End of the current unhealthy period, or of the last one.
        is_outlier: Whether the fleet judges this instance unhealthy.
    """

    def __init__(
        self,
        table: RequestTable,
        limit: ConcurrencyLimit,
        throughput: ThroughputMeter,
        traffic: TrafficMeter,
        drain: Drain,
        shortest_target_s: float,
        seed: int,
    ) -> None:
        self._table = table
        self._limit = limit
        self._throughput = throughput
        self._traffic = traffic
        self._drain = drain
        self._shortest_target_s = shortest_target_s
        self._random_state = seed % RANDOM_MODULUS
        self._runs = SlidingWindow()
        self._errors = SlidingWindow()
        self.unhealthy_until = table.now
        self._unhealthy_period_s = MIN_UNHEALTHY_S
        self._is_reported_healthy = True
        self.is_outlier = False

    def record_run(self, now: float, is_error: bool) -> None:
        """Count a run that ended with a result or an error."""
        self._errors.add(now, float(is_error))
        self._runs.add(now, 1.0)

    def update(self) -> None:
        """Evaluate the health again.

        A slow instance stays healthy while the fleet is full: clients would find no better instance.
        """
        now = self._table.now
        run_time = self._throughput.pace * self._throughput.mean_work() * self._limit.speed()
        is_slow = run_time > SLOW_RUN_FACTOR * self._shortest_target_s and not self._traffic.is_fleet_full()
        is_failing = self._errors.total(now) > max(self._limit.cores, FAILING_RUN_FRACTION * self._runs.total(now))
        if is_slow or is_failing or self.is_outlier:
            if now >= self.unhealthy_until:
                self._unhealthy_period_s = min(MAX_UNHEALTHY_S, UNHEALTHY_PERIOD_GROWTH * self._unhealthy_period_s)
            self.unhealthy_until = now + self._unhealthy_period_s * (
                MIN_JITTER_FACTOR + JITTER_FACTOR_RANGE * self._random_fraction()
            )
        elif self._throughput.pace and now >= self.unhealthy_until:
            self._unhealthy_period_s = MIN_UNHEALTHY_S

    def is_healthy(self) -> bool:
        """Return whether clients should send requests here: neither unhealthy nor draining."""
        now = self._table.now
        return now < self._drain.started_at and now >= self.unhealthy_until

    def next_report(self) -> Decision | None:
        """Report the health if it changed."""
        is_healthy = self.is_healthy()
        if is_healthy is self._is_reported_healthy:
            return None
        self._is_reported_healthy = is_healthy
        return Decision(Verb.HEALTH, flag=is_healthy)

    def _random_fraction(self) -> float:
        """Draw a number below 1: instances that became unhealthy together must not become healthy again together."""
        self._random_state = (self._random_state * RANDOM_MULTIPLIER + RANDOM_INCREMENT) % RANDOM_MODULUS
        return (self._random_state >> 33) / 2**31
