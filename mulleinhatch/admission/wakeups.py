"""The single timer that the controller requests from its host."""

from __future__ import annotations

import math

from mulleinhatch.admission.backpressure import Backpressure
from mulleinhatch.admission.expiry import Expiry
from mulleinhatch.admission.interface import Decision, Verb
from mulleinhatch.admission.request_table import RequestTable

# Shortest delay of a wake-up: a timer without delay would fire in an endless loop.
MIN_DELAY_S = 0.001


class Wakeups:
    """Requests a wake-up at the next sweep while there are requests or load is diverted.

    Attributes:
        token: Token of the newest timer; older timers that fire are ignored.
    """

    def __init__(self, table: RequestTable, expiry: Expiry, backpressure: Backpressure) -> None:
        self._table = table
        self._expiry = expiry
        self._backpressure = backpressure
        self._armed_for = math.inf
        self.token = 0

    def fired(self, token: int) -> None:
        """Record that a timer fired."""
        if token == self.token:
            self._armed_for = math.inf

    def arm(self) -> Decision | None:
        """Request a timer unless one is set for the same time or earlier."""
        if not (self._table.by_ref or self._backpressure.diverted_fraction > 0.0):
            return None
        wake_at = max(self._expiry.next_sweep_at, self._table.now + MIN_DELAY_S)
        if wake_at >= self._armed_for:
            return None
        self.token, self._armed_for = self.token + 1, wake_at
        return Decision(Verb.WAKE, self.token, self._armed_for - self._table.now)
