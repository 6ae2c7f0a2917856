"""Records the inputs and decisions of an admission controller.

The recorder is placed between the request state machine and the controller and has the controller's methods. Times and measured
values are rounded to microseconds before the controller gets them, so that a file holds its exact inputs.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

from mulleinhatch.admission import AdmissionController
from mulleinhatch.admission.interface import Decision, Ref, Verb
from mulleinhatch.instance.traces import kinds

BATCH_RECORDS = 4096  # size at which a batch is flushed
VERB_CODES = {verb: code for code, verb in enumerate(Verb)}  # codes in the files: new verbs are appended
VERB_BY_CODE = dict(enumerate(Verb))


def _micro(seconds: float) -> float:
    return round(seconds * 1e6) / 1e6


class Recorder:
    """Forwards each call to an admission controller and records it.

    Args:
        controller: The admission controller.
        now: Time of the start in seconds.
        is_fresh_start: Whether the process just started.
        since: Seconds since the start.
        on_batch: Called with each batch of records and the highest request number before it.
    """

    def __init__(
        self,
        controller: AdmissionController,
        now: float,
        is_fresh_start: bool,
        since: float,
        on_batch: Callable[[list[tuple], int], None],
    ) -> None:
        self.controller, self.on_batch = controller, on_batch
        self.batch: list[tuple] = []
        self.numbers: dict[Ref, int] = {}
        self.newest = self.newest_before = 0
        self.raw_time, self.rounded_time = math.nan, 0.0
        self._add(kinds.START, round(now, 6), int(is_fresh_start), since)

    def _add(self, kind: kinds.Kind, now: float, *values: object) -> None:
        self.batch.append(
            (kind, now, values)
        )  # a plain tuple in the layout of `Record`: creating a NamedTuple would dominate the cost

    def _time(self, now: float) -> float:
        """Round to microseconds; cached, as one event passes the same time repeatedly."""
        if now != self.raw_time:
            self.raw_time, self.rounded_time = now, round(now * 1e6) / 1e6
        return self.rounded_time

    def flush(self) -> None:
        """Pass on the pending records, and remove the numbers of requests that the controller no longer tracks."""
        if self.batch:
            self.on_batch(self.batch, self.newest_before)
            self.batch, self.newest_before = [], self.newest
            controller = self.controller
            self.numbers = {ref: number for ref, number in self.numbers.items() if controller.remembers(ref)}

    # Inputs from the request state machine.

    def record_arrival(
        self,
        now: float,
        ref: Ref,
        type_number: int,
        age_s: float,
        wait_s: float,
        tenant: int,
        repeat_of: Ref,
        caller: int,
        work: float,
        memory_kb: float,
        is_retry: bool,
    ) -> None:
        """Record the input and forward it to `AdmissionController.record_arrival`."""
        now, age_s, wait_s, work = self._time(now), _micro(age_s), _micro(wait_s), _micro(work)
        self.newest = self.numbers[ref] = self.newest + 1
        self._add(
            kinds.READ,
            now,
            self.newest,
            str(ref),
            type_number,
            age_s,
            wait_s,
            tenant,
            self.numbers.get(repeat_of, 0),
            caller,
            work,
            memory_kb,
            int(is_retry),
        )
        self.controller.record_arrival(
            now, ref, type_number, age_s, wait_s, tenant, repeat_of, caller, work, memory_kb, is_retry
        )

    def record_run_end(self, now: float, ref: Ref, ending: int) -> None:
        """Record the input and forward it to `AdmissionController.record_run_end`."""
        now = self._time(now)
        self._add(kinds.RUN_ENDED, now, self.numbers.get(ref, 0), int(ending))
        self.controller.record_run_end(now, ref, ending)

    def record_call_request(self, now: float, ref: Ref) -> None:
        """Record the input and forward it to `AdmissionController.record_call_request`."""
        now = self._time(now)
        self._add(kinds.CALL_WANTED, now, self.numbers.get(ref, 0))
        self.controller.record_call_request(now, ref)

    def record_call_end(self, now: float, ref: Ref, ending: int) -> None:
        """Record the input and forward it to `AdmissionController.record_call_end`."""
        now = self._time(now)
        self._add(kinds.CALL_ENDED, now, self.numbers.get(ref, 0), int(ending))
        self.controller.record_call_end(now, ref, ending)

    def record_abandonment(self, now: float, ref: Ref) -> None:
        """Record the input and forward it to `AdmissionController.record_abandonment`."""
        now = self._time(now)
        self._add(kinds.ABANDONED, now, self.numbers.get(ref, 0))
        self.controller.record_abandonment(now, ref)

    def begin_drain(self, now: float, grace: float) -> None:
        """Record the input and forward it to `AdmissionController.begin_drain`."""
        now, grace = self._time(now), round(grace, 6)
        self._add(kinds.LEAVE, now, grace)
        self.controller.begin_drain(now, grace)

    def handle_wakeup(self, now: float, token: int, readings: Sequence[float]) -> None:
        """Record the input and forward it to `AdmissionController.handle_wakeup`."""
        now = self._time(now)
        self._add(kinds.WOKEN, now, token, tuple(readings))
        self.controller.handle_wakeup(now, token, readings)

    def set_retry_storm(self, now: float, is_active: bool, first_tries_per_s: float) -> None:
        """Record the input and forward it to `AdmissionController.set_retry_storm`."""
        now = self._time(now)
        self._add(kinds.STORM, now, int(is_active), first_tries_per_s)
        self.controller.set_retry_storm(now, is_active, first_tries_per_s)

    def record_early_rejections(self, now: float, count: int) -> None:
        """Record the input and forward it to `AdmissionController.record_early_rejections`."""
        now = self._time(now)
        self._add(kinds.TURNED_BACK, now, count)
        self.controller.record_early_rejections(now, count)

    def set_tenant_budget(self, now: float, tenant: int, window_s: float, pieces: Sequence[tuple[float, float]]) -> None:
        """Record the input and forward it to `AdmissionController.set_tenant_budget`."""
        now = self._time(now)
        self._add(kinds.PART, now, tenant, window_s, tuple(figure for piece in pieces for figure in piece))
        self.controller.set_tenant_budget(now, tenant, window_s, pieces)

    def set_dependency_share(self, now: float, share: float) -> None:
        """Record the input and forward it to `AdmissionController.set_dependency_share`."""
        now = self._time(now)
        self._add(kinds.CALLS, now, share)
        self.controller.set_dependency_share(now, share)

    def update_peer_load(
        self, now: float, free_fraction: float, is_outlier: bool, retry_allowance: float, diverted: float
    ) -> None:
        """Record the input and forward it to `AdmissionController.update_peer_load`."""
        now = self._time(now)
        self._add(kinds.OTHERS, now, free_fraction, int(is_outlier), retry_allowance, diverted)
        self.controller.update_peer_load(now, free_fraction, is_outlier, retry_allowance, diverted)

    def set_peer_offers(self, now: float, count: int) -> None:
        """Record the input and forward it to `AdmissionController.set_peer_offers`."""
        now = self._time(now)
        self._add(kinds.OFFERS, now, count)
        self.controller.set_peer_offers(now, count)

    def mark_received_from_peer(self, now: float, ref: Ref) -> None:
        """Record the input and forward it to `AdmissionController.mark_received_from_peer`."""
        now = self._time(now)
        self._add(kinds.HANDED, now, self.numbers.get(ref, 0))
        self.controller.mark_received_from_peer(now, ref)

    def record_handover_end(self, now: float, ref: Ref, ending: int) -> None:
        """Record the input and forward it to `AdmissionController.record_handover_end`."""
        now = self._time(now)
        self._add(kinds.HAND_ENDED, now, self.numbers.get(ref, 0), int(ending))
        self.controller.record_handover_end(now, ref, ending)

    @property
    def limit(self) -> int:
        """The controller's concurrency limit."""
        return self.controller.limit

    def capacity(self) -> float:
        """Return the controller's measured capacity in requests per second."""
        return self.controller.capacity()

    # Decisions.

    def next_decision(self, now: float) -> Decision | None:
        """Return the controller's next decision, or None if there is none; both are recorded."""
        now = self._time(now)
        decision = self.controller.next_decision(now)
        if decision is None:
            self._add(kinds.PULLED, now)
            if len(self.batch) >= BATCH_RECORDS:
                self.flush()
            return None
        wake = decision.verb is Verb.WAKE
        self._add(
            kinds.DECIDED_FOR,
            now,
            VERB_CODES[decision.verb],
            0 if wake else self.numbers.get(decision.ref, 0),
            decision.seconds,
            int(decision.flag),
            float(decision.ref) if wake else decision.level,
            decision.cause,
        )
        return decision

    def note(self, now: float, what: str, detail: str = "") -> None:
        """Record a note for operators; it is no input of the controller."""
        self._add(kinds.NOTE, self._time(now), what, detail)
