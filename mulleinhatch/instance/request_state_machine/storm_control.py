"""Retry storms: early rejection of retries, and reports to the admission controller."""

from __future__ import annotations

from collections.abc import Callable

from mulleinhatch.admission.interface import Decision
from mulleinhatch.instance.request_state_machine.events import Action
from mulleinhatch.instance.request_state_machine.state import ReducerState
from mulleinhatch.instance.retry_storms.duplicate_detection import detailed_fingerprint
from mulleinhatch.instance.retry_storms.request_log import fingerprint


class RetryStormControl(ReducerState):
    """Rejects retries before they are read in full while a retry storm lasts."""

    def record_connection(self) -> None:
        """Count an accepted connection. Not an event: hundreds arrive at once, and none of them causes a decision."""
        self.storms.detector.count(connects=1)

    def reject_early(
        self,
        now: float,
        request_id: str,
        request_type: str,
        tenant: str,
        client_id: int,
        is_retry: bool,
        key: str,
        body: bytes,
        is_punctual: bool,
        is_too_early: bool,
        connection_id: int = -1,
        figures: Callable[[], tuple[float, float, float]] = lambda: (0.0, 0.0, 0.0),
    ) -> float | None:
        """Decide about a request before it is read in full.

        Only a retry is rejected, at the rate that the admission controller set, and none of a request that is open or may
        have executed here. The rejection counts as read but never reaches the admission controller.

        Args:
            is_punctual: Whether the client retried at the time given by its last rejection.
            is_too_early: Whether it retried before that time.
            figures: Returns rank, cost and memory. Called lazily, because few requests need them and parsing costs time.

        Returns:
            The seconds after which the client may retry, or None if the request is processed normally.
        """
        retry_admission = self.storms
        if (
            request_id in self.requests
            or request_type not in self.request_types
            or key
            and self.keys.is_known((request_type, tenant, key))
        ):
            return None
        coarse, is_non_retryable = b"", request_type in self.non_retryable_types
        if not is_retry or is_non_retryable:  # otherwise the fingerprint is not needed, and computing it costs time
            coarse = fingerprint(client_id, request_type, tenant, key, body)
            if (
                not retry_admission.duplicates.is_known_repeat(now, coarse, lambda: detailed_fingerprint(coarse, *figures()))
                if not is_retry
                else coarse in retry_admission.executed.by_coarse
            ):
                return None
        if not retry_admission.should_reject(now, client_id, is_punctual):
            return None
        if coarse:
            retry_admission.duplicates.record_rejected_unread(
                now, coarse, lambda: detailed_fingerprint(coarse, *figures()), is_retry
            )
        retry_admission.executed.confirm_response_read(connection_id)
        retry_admission.record_request(now, client_id, True, 0.0)
        retry_admission.rejected_retries += 1
        retry_admission.rejected_early_retries += is_too_early
        self.early_rejections += 1
        return retry_admission.retry_after(now, 0.0, is_too_early)

    def _update_storm_state(self, now: float) -> None:
        """Report early rejections and changes of the storm state to the admission controller."""
        if self.storms.detector.is_due(now):
            if self.early_rejections:
                self.controller.record_early_rejections(now, self.early_rejections)
                self.early_rejections = 0
            if self.storms.update(now, self.controller.capacity()):
                self.controller.set_retry_storm(now, *self.storms.last_reported)

    def _do_limit_retries(self, now: float, decision: Decision) -> None:
        """Set the rate limit of retries that are read."""
        self.storms.set_rate(now, decision.level)
        self.actions.append((Action.SET_EARLY_REJECTION, self.storms.is_limiting))
