"""The account cap of the admission queue: other tenants are still served while one floods the queue.

A queue is simulated in steps of 10 ms: requests arrive at fixed rates, run for a fixed time, and expire at their timeout.
"""

from __future__ import annotations

import itertools
import unittest
from dataclasses import dataclass

from mulleinhatch.data_plane.admission_queue import AdmissionQueue, PendingRequest
from mulleinhatch.data_plane.registry_snapshot import ModelKey

KEY = ModelKey("s", "m")
STEP_S, SIMULATED_S = 0.01, 20.0
SERVICE_S, CLIENT_TIMEOUT_S = 0.25, 5.0
SMALL_RATE_PER_S = 1.0
FLOOD = 3.0  # Multiple of the backends' capacity.
# Latency targets in seconds by class. In the second case, the lowest class ages so slowly that its clients time out first.
CLASSES = ([(0, 2.0), (1, 2.0)], [(0, 2.0), (1, 0.8), (2, 8.0)])
# Acceptance criterion: a tenant whose served fraction is below a quarter of that of all tenants together is starved.
MIN_FRACTION_OF_OVERALL = 0.25


@dataclass
class Source:
    """Requests of one tenant at a fixed rate.

    Attributes:
        account: Name of the tenant, used as the account in the queue.
        priority: Class of its requests.
        rate_per_s: Requests per second.
        sent: Number of requests so far.
        served: Number of completed requests.
    """

    account: str
    priority: int
    rate_per_s: float
    sent: int = 0
    served: int = 0

    @property
    def served_fraction(self) -> float:
        return self.served / self.sent


def simulate(slots: int, classes: list[tuple[int, float]], sources: list[Source]) -> None:
    """Simulate a queue whose backends have `slots`, and count the sent and served requests in the sources."""
    queue = AdmissionQueue(lambda key: slots, lambda key: 0.0)
    queue.configure(classes)
    target_s = dict(classes)
    running: list[tuple[PendingRequest, float]] = []
    for step in range(int(SIMULATED_S / STEP_S)):
        now = step * STEP_S
        for source in sources:
            while source.sent < source.rate_per_s * now:
                source.sent += 1
                target = target_s[source.priority]
                queue.enqueue(
                    PendingRequest(source, KEY, source.priority, target, source.account, now, now + CLIENT_TIMEOUT_S), now
                )
        finished = [one for one in running if one[1] <= now]
        running = [one for one in running if one[1] > now]
        for pending, _ in finished:
            pending.handle.served += 1
            queue.finish(pending, now, is_completed=True, was_overloaded=False)
        queue.remove_expired(now)
        running += [(pending, now + SERVICE_S) for pending in queue.start_next(now)]


class AccountCap(unittest.TestCase):
    def test_a_flood_of_one_tenant_does_not_starve_a_tenant_of_a_lower_class(self):
        """Guards against starvation: a cap applied only among requests of one class left a tenant of a lower class no slots."""
        for slots, classes in itertools.product((2, 8), CLASSES):
            for priority, _ in classes[1:]:
                flood = Source("big", 0, FLOOD * slots / SERVICE_S)
                small = Source("small", priority, SMALL_RATE_PER_S)
                simulate(slots, classes, [flood, small])
                all_served = (flood.served + small.served) / (flood.sent + small.sent)
                with self.subTest(slots=slots, classes=classes, priority=priority):
                    self.assertGreater(small.served_fraction, MIN_FRACTION_OF_OVERALL * all_served)
                    self.assertGreater(all_served, 0.8 / FLOOD)  # The backends are busy.

    def test_a_single_tenant_uses_all_slots(self):
        """Guards against a cap that leaves slots unused while only one account has waiting requests."""
        tenant = Source("big", 0, FLOOD * 4 / SERVICE_S)
        simulate(4, CLASSES[0], [tenant])
        self.assertGreater(tenant.served_fraction, 0.9 / FLOOD)


if __name__ == "__main__":
    unittest.main()
