"""Retry storms: early rejection of retries and the reports to the admission controller."""

from __future__ import annotations

from collections.abc import Callable

from mulleinhatch.admission.interface import Decision
from mulleinhatch.instance.request_state_machine.events import Action
from mulleinhatch.instance.request_state_machine.state import ReducerState
from mulleinhatch.instance.retry_storms.duplicate_detection import finer
from mulleinhatch.instance.retry_storms.request_log import fingerprint


class RetryStormControl(ReducerState):
    """Rejects retries before they are read in full while a retry storm lasts."""

    def record_connection(self) -> None:
        """A caller's connection was accepted: counted alone, for hundreds come at once and nothing is decided by one."""
        self.storms.watch.count(connects=1)

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
        """Asked for a try before it is read in full: seconds that its nack tells to stay away, or None where it
        goes the ordinary way. Only a repeat is turned back, by the rate that the module named, and none of an op
        that may have run here or is under way. It counts as read, and is no op: it never comes to the module. `figures`
        gives its rank, cost and memory, which few need: to read them costs."""
        desk = self.storms
        if (
            request_id in self.requests
            or request_type not in self.request_types
            or key
            and self.keys.is_known((request_type, tenant, key))
        ):
            return None
        plain, is_non_retryable = b"", request_type in self.non_retryable_types
        if not is_retry or is_non_retryable:  # else its likeness tells nothing new, and costs
            plain = fingerprint(client_id, request_type, tenant, key, body)
            if (
                not desk.tries.known(now, plain, lambda: finer(plain, *figures()))
                if not is_retry
                else plain in desk.runs.by_plain
            ):
                return None
        if not desk.turned_back(now, client_id, is_punctual):
            return None
        if plain:
            desk.tries.turned_back(now, plain, lambda: finer(plain, *figures()), is_retry)
        desk.runs.asks_again(connection_id)
        desk.read(now, client_id, True, 0.0)
        desk.turned += 1
        desk.stubborn += is_too_early
        self.early_rejections += 1
        return desk.come_back(now, 0.0, is_too_early)

    def _update_storm_state(self, now: float) -> None:
        if self.storms.watch.due(now):
            if self.early_rejections:
                self.controller.record_early_rejections(now, self.early_rejections)
                self.early_rejections = 0
            if self.storms.judge(now, self.controller.capacity()):
                self.controller.set_retry_storm(now, *self.storms.told)

    def _do_limit_retries(self, now: float, decision: Decision) -> None:
        self.storms.limit(now, decision.level)
        self.actions.append((Action.SET_EARLY_REJECTION, self.storms.sheds))
