"""Whether callers should send requests here at all."""

from __future__ import annotations

from mulleinhatch.admission.concurrency_limit import ConcurrencyLimit
from mulleinhatch.admission.drain import Drain
from mulleinhatch.admission.interface import Decision, Verb
from mulleinhatch.admission.request_table import RequestTable
from mulleinhatch.admission.throughput import ThroughputMeter
from mulleinhatch.admission.traffic import TrafficMeter
from mulleinhatch.sliding_window import SlidingWindow

# Mean run time over the shortest target latency, from which the instance is too slow.
SLOW_RUN_FACTOR = 1.2

# Fraction of the recent runs that fail, from which the instance is unhealthy: failing is quick and attracts callers.
FAILING_RUN_FRACTION = 0.5

# Seconds of bad health, doubled before each spell that follows; each spell is spread by a quarter either way.
MIN_UNHEALTHY_S = 4.0
MAX_UNHEALTHY_S = 32.0
SPELL_GROWTH = 2.0
MIN_SPELL_FACTOR, SPELL_FACTOR_RANGE = 0.75, 0.5

# Knuth's MMIX generator: a decision must follow from seed and history alone.
RANDOM_MULTIPLIER, RANDOM_INCREMENT, RANDOM_MODULUS = 6364136223846793005, 1442695040888963407, 2**64


class HealthMonitor:
    """Judges the instance slow, stuck or failing, whatever the cause except a warm-up, and tries again later each time.

    Attributes:
        unhealthy_until: End of the current spell, or of the last one.
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
        self._spell_s = MIN_UNHEALTHY_S
        self._is_reported_healthy = True
        self.is_outlier = False

    def record_run(self, now: float, is_error: bool) -> None:
        """Count a run that ended with a result or an error."""
        self._errors.add(now, float(is_error))
        self._runs.add(now, 1.0)

    def update(self) -> None:
        """Judge the instance again.

        A slow instance stays healthy while the fleet is full: its callers would find nothing better.
        """
        now = self._table.now
        run_time = self._throughput.pace * self._throughput.mean_work() * self._limit.speed()
        is_slow = run_time > SLOW_RUN_FACTOR * self._shortest_target_s and not self._traffic.is_fleet_full()
        is_failing = self._errors.total(now) > max(self._limit.cores, FAILING_RUN_FRACTION * self._runs.total(now))
        if is_slow or is_failing or self.is_outlier:
            if now >= self.unhealthy_until:
                self._spell_s = min(MAX_UNHEALTHY_S, SPELL_GROWTH * self._spell_s)
            self.unhealthy_until = now + self._spell_s * (MIN_SPELL_FACTOR + SPELL_FACTOR_RANGE * self._random_fraction())
        elif self._throughput.pace and now >= self.unhealthy_until:
            self._spell_s = MIN_UNHEALTHY_S

    def is_healthy(self) -> bool:
        """Return whether callers should send requests here: not while unhealthy, nor while draining."""
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
        """Draw a number below 1: instances that got unhealthy together must not ask for requests again together."""
        self._random_state = (self._random_state * RANDOM_MULTIPLIER + RANDOM_INCREMENT) % RANDOM_MODULUS
        return (self._random_state >> 33) / 2**31
