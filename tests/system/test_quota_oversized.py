"""A request that costs more than the quota rule allows in a whole window."""

from __future__ import annotations

import unittest

from mulleinhatch.messages.cluster import QuotaNeed, QuotaRequest
from mulleinhatch.quotas.limits import QuotaBounds
from mulleinhatch.quotas.owner import OwnerView, QuotaOwner
from mulleinhatch.tenants.tenant import QuotaLimit, Tenant

BOUNDS = QuotaBounds(window_s=8.0, overage=0.1, slack=2000.0)
LIMITS = (QuotaLimit(100.0, 100.0), QuotaLimit(1500.0, 1500.0), QuotaLimit(150000.0, 150000.0))
ADDRESS = "127.0.0.1:1"
IDLE_S = 1e6  # longer than any bucket takes to fill


def granted_after_idling(limit: QuotaLimit, tokens: int) -> int:
    """Return 1 if an owner grants a request after its bucket was unused for `IDLE_S`, else 0."""
    owner = QuotaOwner(BOUNDS, takeover_s=1.0)
    owner.update(OwnerView(1, ADDRESS, (ADDRESS,)), {"t": Tenant("t", limit)}, 1, 0.0)
    request = QuotaRequest(node="d", zone="z", configuration_version=1, needs=[QuotaNeed(tenant="t", request_tokens=[tokens])])
    owner.answer(request, 1.0)
    return owner.answer(request, IDLE_S)[0].granted_requests


class OversizedRequests(unittest.TestCase):
    def test_a_request_that_exceeds_a_windows_allowance_is_never_granted(self):
        """Guards against one request that exceeds the quota: after any idle time, a window holds no more than allowed."""
        for limit in LIMITS:
            for factor in (1.001, 2, 1000):
                with self.subTest(limit=limit, factor=factor):
                    tokens = int(BOUNDS.allowed(limit) * factor) + 1
                    self.assertEqual(granted_after_idling(limit, tokens), 0)

    def test_a_request_of_ordinary_size_is_granted(self):
        for limit in LIMITS:
            with self.subTest(limit=limit):
                self.assertEqual(granted_after_idling(limit, 400), 1)


if __name__ == "__main__":
    unittest.main()
