"""Backpressure: the fraction of load that clients should divert, and the delay before a rejected client retries."""

from __future__ import annotations

from mulleinhatch.admission.concurrency_limit import ConcurrencyLimit
from mulleinhatch.admission.drain import Drain
from mulleinhatch.admission.health import HealthMonitor
from mulleinhatch.admission.interface import Advice, Decision, Deployment, Verb
from mulleinhatch.admission.request import Request
from mulleinhatch.admission.request_table import RequestTable
from mulleinhatch.admission.throughput import ThroughputMeter

# Wait of a new request, as a fraction of the shortest target latency, above which load is diverted.
TOLERATED_WAIT_FRACTION = 0.18

# Change of the diverted fraction per second, for a wait of one target latency above that threshold. Clients react with a
# delay; a higher gain made all instances divert and attract load in step.
BACKPRESSURE_GAIN_PER_S = 0.3

# Smallest change of the diverted fraction that is reported.
REPORTED_STEP = 0.02

# Weight of one request in the moving average of the unread wait, and seconds in which that average decays without requests.
UNREAD_WEIGHT = 0.1
UNREAD_DECAY_S = 2.0

# Initial diverted fraction of an instance that warms up, as a fraction of the speed that it lacks.
WARM_UP_DIVERSION = 0.5

# Shortest retry delay given to a rejected client.
MIN_HOLD_OFF_S = 0.05

# Concurrent requests per core allowed to all clients together, where the host reports an allowance.
ALLOWED_PER_CORE = 4


class Backpressure:
    """Adjusts the diverted fraction by the time that a new request would wait, unread and queued.

    Attributes:
        diverted_fraction: Fraction of the load that should go elsewhere, by this instance's own measurement.
        peer_diversion: The same, by the fleet's measurement.
    """

    def __init__(
        self,
        deployment: Deployment,
        table: RequestTable,
        limit: ConcurrencyLimit,
        throughput: ThroughputMeter,
        health: HealthMonitor,
        drain: Drain,
        shortest_target_s: float,
    ) -> None:
        get = deployment.get
        self._table = table
        self._throughput = throughput
        self._health = health
        self._drain = drain
        self._shortest_target_s = shortest_target_s
        self._advice = get("advice")
        self._allowance = ALLOWED_PER_CORE * limit.cores
        self._callers = max(1, get("callers", 1))
        self._max_hold_off_s = get("max_hold_off", 0.0) if get("hold_off_allowed", False) else 0.0
        self._unread_wait_s = 0.0
        self.diverted_fraction = WARM_UP_DIVERSION * (1.0 - limit.initial_speed)
        self.peer_diversion = 0.0
        self._reported = 0.0

    def record_unread_wait(self, request: Request, wait_s: float) -> None:
        """Add the time that a request waited before it was read, capped at its timeout because the sender reports it."""
        self._unread_wait_s += UNREAD_WEIGHT * (min(wait_s, request.request_class.timeout_s) - self._unread_wait_s)

    def update(self, elapsed_s: float) -> None:
        """Adjust the diverted fraction by the current wait."""
        self._unread_wait_s *= max(0.0, 1.0 - elapsed_s / UNREAD_DECAY_S)
        wait = (self._unread_wait_s + self._throughput.queued_wait_s()) / self._shortest_target_s
        change = BACKPRESSURE_GAIN_PER_S * elapsed_s * (wait - TOLERATED_WAIT_FRACTION)
        self.diverted_fraction = min(1.0, max(0.0, self.diverted_fraction + change))

    def hold_off_s(self) -> float:
        """Return the seconds after which a rejected client should retry."""
        if self._table.now >= self._drain.started_at:
            return self._max_hold_off_s
        wait = self._unread_wait_s + self._throughput.queued_wait_s() - TOLERATED_WAIT_FRACTION * self._shortest_target_s
        return min(self._max_hold_off_s, max(MIN_HOLD_OFF_S, wait))

    def next_report(self) -> Decision | None:
        """Report the backpressure level, in the form that the host expects, if it changed."""
        if self._advice is None:
            return None
        # A client that receives a floor of 1 tries no other instance either, so a draining instance does not report it: its
        # rejections send clients to other instances.
        is_floor_open = self._advice is Advice.FLOOR and self._table.now >= self._health.unhealthy_until
        is_open = is_floor_open or self._health.is_healthy()
        diverted = max(self.diverted_fraction, self.peer_diversion) if is_open else 1.0
        if abs(diverted - self._reported) < REPORTED_STEP:
            return None
        self._reported = diverted
        return Decision(Verb.ADVISE, level=self._level(diverted))

    def _level(self, diverted: float) -> float:
        if self._advice is Advice.FLOOR:
            return diverted
        accepted = 1.0 - diverted
        return accepted if self._advice is Advice.WEIGHT else accepted * self._allowance / self._callers
