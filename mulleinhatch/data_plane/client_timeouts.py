"""Client timeouts: determines the deadline of a request and whether it is probably a retry. Pure."""

from __future__ import annotations

from mulleinhatch.configuration.route import Route
from mulleinhatch.networking.http_streaming import Head

FIRST_ATTEMPT_TIMEOUT_FRACTION = 0.85  # A request with a smaller fraction of its route's usual timeout left is a retry.
EARLY_FRACTION = 0.25  # Clients count a rejection within this fraction of the latency target as early.
EARLY_ANSWER_FRACTION = 0.15  # A rejection sent within this fraction of the latency target arrives early.
# A client abandons a stream after the longest of these times without an event.
STREAM_ABANDON_MIN_S = 2.0
STREAM_ABANDON_TARGETS = 4.0  # Multiple of the route's latency target.
STREAM_ABANDON_GAPS = 8.0  # Multiple of the route's usual gap between events.


class ClientTimeouts:
    """Tracks the timeouts that the clients of each route send."""

    def __init__(self) -> None:
        self._longest_s: dict[str, float] = {}  # The longest timeout that a client sent, by route.

    def deadline(self, route: Route, head: Head, now: float) -> float:
        """Return the loop time at which the timeout of the client or the route expires, and record the client's timeout."""
        header = head.field_values.get(b"request-deadline", b"")
        timeout_s = float(header) / 1000.0 if header.isdigit() else route.timeout_s
        self._longest_s[route.name] = max(self._longest_s.get(route.name, 0.0), timeout_s)
        return now + min(timeout_s, route.timeout_s)

    def is_probable_retry(self, route: Route, remaining_s: float) -> bool:
        """Return whether a request had less time left at its arrival than others of its route.

        A client that retries a rejected request keeps the original deadline, so the retry has less time left.
        """
        usual_timeout_s = min(route.timeout_s, self._longest_s.get(route.name, 0.0))
        return remaining_s < FIRST_ATTEMPT_TIMEOUT_FRACTION * usual_timeout_s


def stream_abandoned_after_s(route: Route) -> float:
    """Return the seconds without an event after which the client of a stream disconnects."""
    return max(STREAM_ABANDON_MIN_S, STREAM_ABANDON_TARGETS * route.target_latency_s, STREAM_ABANDON_GAPS * route.target_gap_s)
