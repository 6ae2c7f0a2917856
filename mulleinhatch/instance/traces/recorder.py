"""Between the reducer and the module: passes everything on, and keeps what was told and decided as records.

It has the face that the reducer uses of a `AdmissionController`. Times and what is measured on the way in are rounded to a
microsecond before the module hears them, so that a file holds exactly what it heard.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

from mulleinhatch.admission import AdmissionController
from mulleinhatch.admission.interface import Decision, Ref, Verb
from mulleinhatch.instance.traces import kinds

BATCH = 4096  # records that are handed on together
VERBS = {verb: place for place, verb in enumerate(Verb)}  # new verbs go to the end: files hold these numbers
BY_PLACE = dict(enumerate(Verb))


def _micro(seconds: float) -> float:
    return round(seconds * 1e6) / 1e6


class Recorder:
    """`hand_on` gets each full batch, with the number of the newest op before it; `flush` hands on what there is."""

    def __init__(
        self, hatch: AdmissionController, now: float, cold: bool, since: float, hand_on: Callable[[list[tuple], int], None]
    ) -> None:
        self.hatch, self.hand_on = hatch, hand_on
        self.batch: list[tuple] = []
        self.numbers: dict[Ref, int] = {}
        self.newest = self.newest_before = 0
        self.heard, self.rounded = math.nan, 0.0
        self._add(kinds.START, round(now, 6), int(cold), since)

    def _add(self, kind: kinds.Kind, now: float, *values: object) -> None:
        self.batch.append((kind, now, values))  # a `Record` but in name: that costs more than all else here

    def _time(self, now: float) -> float:
        """To the microsecond; one happening asks for the same time again and again."""
        if now != self.heard:
            self.heard, self.rounded = now, round(now * 1e6) / 1e6
        return self.rounded

    def flush(self) -> None:
        """Also the moment to forget the numbers of ops that the module forgot."""
        if self.batch:
            self.hand_on(self.batch, self.newest_before)
            self.batch, self.newest_before = [], self.newest
            hatch = self.hatch
            self.numbers = {ref: number for ref, number in self.numbers.items() if hatch.remembers(ref)}

    # What the reducer tells the module.

    def record_arrival(
        self,
        now: float,
        ref: Ref,
        op_type: int,
        age: float,
        wait: float,
        tenant: int,
        repeat_of: Ref,
        caller: int,
        work: float,
        held_kb: float,
        further_try: bool,
    ) -> None:
        now, age, wait, work = self._time(now), _micro(age), _micro(wait), _micro(work)
        self.newest = self.numbers[ref] = self.newest + 1
        self._add(
            kinds.READ,
            now,
            self.newest,
            str(ref),
            op_type,
            age,
            wait,
            tenant,
            self.numbers.get(repeat_of, 0),
            caller,
            work,
            held_kb,
            int(further_try),
        )
        self.hatch.record_arrival(now, ref, op_type, age, wait, tenant, repeat_of, caller, work, held_kb, further_try)

    def record_run_end(self, now: float, ref: Ref, ending: int) -> None:
        now = self._time(now)
        self._add(kinds.RUN_ENDED, now, self.numbers.get(ref, 0), int(ending))
        self.hatch.record_run_end(now, ref, ending)

    def record_call_request(self, now: float, ref: Ref) -> None:
        now = self._time(now)
        self._add(kinds.CALL_WANTED, now, self.numbers.get(ref, 0))
        self.hatch.record_call_request(now, ref)

    def record_call_end(self, now: float, ref: Ref, ending: int) -> None:
        now = self._time(now)
        self._add(kinds.CALL_ENDED, now, self.numbers.get(ref, 0), int(ending))
        self.hatch.record_call_end(now, ref, ending)

    def record_abandonment(self, now: float, ref: Ref) -> None:
        now = self._time(now)
        self._add(kinds.ABANDONED, now, self.numbers.get(ref, 0))
        self.hatch.record_abandonment(now, ref)

    def begin_drain(self, now: float, grace: float) -> None:
        now, grace = self._time(now), round(grace, 6)
        self._add(kinds.LEAVE, now, grace)
        self.hatch.begin_drain(now, grace)

    def handle_wakeup(self, now: float, token: int, readings: Sequence[float]) -> None:
        now = self._time(now)
        self._add(kinds.WOKEN, now, token, tuple(readings))
        self.hatch.handle_wakeup(now, token, readings)

    def set_retry_storm(self, now: float, on: bool, first_tries: float) -> None:
        now = self._time(now)
        self._add(kinds.STORM, now, int(on), first_tries)
        self.hatch.set_retry_storm(now, on, first_tries)

    def record_early_rejections(self, now: float, count: int) -> None:
        now = self._time(now)
        self._add(kinds.TURNED_BACK, now, count)
        self.hatch.record_early_rejections(now, count)

    def set_tenant_budget(self, now: float, tenant: int, window: float, pieces: Sequence[tuple[float, float]]) -> None:
        now = self._time(now)
        self._add(kinds.PART, now, tenant, window, tuple(figure for piece in pieces for figure in piece))
        self.hatch.set_tenant_budget(now, tenant, window, pieces)

    def set_dependency_share(self, now: float, share: float) -> None:
        now = self._time(now)
        self._add(kinds.CALLS, now, share)
        self.hatch.set_dependency_share(now, share)

    def update_peer_load(self, now: float, room: float, ill: bool, hear_most: float, shut: float) -> None:
        now = self._time(now)
        self._add(kinds.OTHERS, now, room, int(ill), hear_most, shut)
        self.hatch.update_peer_load(now, room, ill, hear_most, shut)

    def set_peer_offers(self, now: float, count: int) -> None:
        now = self._time(now)
        self._add(kinds.OFFERS, now, count)
        self.hatch.set_peer_offers(now, count)

    def mark_received_from_peer(self, now: float, ref: Ref) -> None:
        now = self._time(now)
        self._add(kinds.HANDED, now, self.numbers.get(ref, 0))
        self.hatch.mark_received_from_peer(now, ref)

    def record_handover_end(self, now: float, ref: Ref, ending: int) -> None:
        now = self._time(now)
        self._add(kinds.HAND_ENDED, now, self.numbers.get(ref, 0), int(ending))
        self.hatch.record_handover_end(now, ref, ending)

    @property
    def limit(self) -> int:
        return self.hatch.limit

    def capacity(self) -> float:
        return self.hatch.capacity()

    # What it decides.

    def next_decision(self, now: float) -> Decision | None:
        now = self._time(now)
        decision = self.hatch.next_decision(now)
        if decision is None:
            self._add(kinds.PULLED, now)
            if len(self.batch) >= BATCH:
                self.flush()
            return None
        wake = decision.verb is Verb.WAKE
        self._add(
            kinds.DECIDED_FOR,
            now,
            VERBS[decision.verb],
            0 if wake else self.numbers.get(decision.ref, 0),
            decision.seconds,
            int(decision.flag),
            float(decision.ref) if wake else decision.level,
            decision.cause,
        )
        return decision

    def note(self, now: float, what: str, detail: str = "") -> None:
        """For people: no part of what the module heard."""
        self._add(kinds.NOTE, self._time(now), what, detail)
