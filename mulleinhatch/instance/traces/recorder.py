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

BATCH_RECORDS = 4096  # records that are handed on together
VERB_CODES = {verb: code for code, verb in enumerate(Verb)}  # new verbs go to the end: files hold these numbers
VERB_BY_CODE = dict(enumerate(Verb))


def _micro(seconds: float) -> float:
    return round(seconds * 1e6) / 1e6


class Recorder:
    """`on_batch` gets each full batch, with the number of the newest op before it; `flush` hands on what there is."""

    def __init__(
        self,
        controller: AdmissionController,
        now: float,
        is_cold_start: bool,
        since: float,
        on_batch: Callable[[list[tuple], int], None],
    ) -> None:
        self.controller, self.on_batch = controller, on_batch
        self.batch: list[tuple] = []
        self.numbers: dict[Ref, int] = {}
        self.newest = self.newest_before = 0
        self.raw_time, self.rounded_time = math.nan, 0.0
        self._add(kinds.START, round(now, 6), int(is_cold_start), since)

    def _add(self, kind: kinds.Kind, now: float, *values: object) -> None:
        self.batch.append((kind, now, values))  # a `Record` but in name: that costs more than all else here

    def _time(self, now: float) -> float:
        """To the microsecond; one happening asks for the same time again and again."""
        if now != self.raw_time:
            self.raw_time, self.rounded_time = now, round(now * 1e6) / 1e6
        return self.rounded_time

    def flush(self) -> None:
        """Also the moment to forget the numbers of ops that the module forgot."""
        if self.batch:
            self.on_batch(self.batch, self.newest_before)
            self.batch, self.newest_before = [], self.newest
            controller = self.controller
            self.numbers = {
                ref: number for ref, number in self.numbers.items() if ref in controller.ops or ref in controller.keys
            }

    # What the reducer tells the module.

    def op_read(
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
        memory_kb: float,
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
            memory_kb,
            int(further_try),
        )
        self.controller.op_read(now, ref, op_type, age, wait, tenant, repeat_of, caller, work, memory_kb, further_try)

    def run_ended(self, now: float, ref: Ref, ending: int) -> None:
        now = self._time(now)
        self._add(kinds.RUN_ENDED, now, self.numbers.get(ref, 0), int(ending))
        self.controller.run_ended(now, ref, ending)

    def call_wanted(self, now: float, ref: Ref) -> None:
        now = self._time(now)
        self._add(kinds.CALL_WANTED, now, self.numbers.get(ref, 0))
        self.controller.call_wanted(now, ref)

    def call_ended(self, now: float, ref: Ref, ending: int) -> None:
        now = self._time(now)
        self._add(kinds.CALL_ENDED, now, self.numbers.get(ref, 0), int(ending))
        self.controller.call_ended(now, ref, ending)

    def op_abandoned(self, now: float, ref: Ref) -> None:
        now = self._time(now)
        self._add(kinds.ABANDONED, now, self.numbers.get(ref, 0))
        self.controller.op_abandoned(now, ref)

    def leave_notice(self, now: float, grace: float) -> None:
        now, grace = self._time(now), round(grace, 6)
        self._add(kinds.LEAVE, now, grace)
        self.controller.leave_notice(now, grace)

    def woken(self, now: float, token: int, readings: Sequence[float]) -> None:
        now = self._time(now)
        self._add(kinds.WOKEN, now, token, tuple(readings))
        self.controller.woken(now, token, readings)

    def storm_told(self, now: float, on: bool, first_tries: float) -> None:
        now = self._time(now)
        self._add(kinds.STORM, now, int(on), first_tries)
        self.controller.storm_told(now, on, first_tries)

    def turned_back(self, now: float, count: int) -> None:
        now = self._time(now)
        self._add(kinds.TURNED_BACK, now, count)
        self.controller.turned_back(now, count)

    def part_told(self, now: float, tenant: int, window: float, pieces: Sequence[tuple[float, float]]) -> None:
        now = self._time(now)
        self._add(kinds.PART, now, tenant, window, tuple(figure for piece in pieces for figure in piece))
        self.controller.part_told(now, tenant, window, pieces)

    def calls_told(self, now: float, share: float) -> None:
        now = self._time(now)
        self._add(kinds.CALLS, now, share)
        self.controller.calls_told(now, share)

    def others_told(self, now: float, room: float, ill: bool, hear_most: float, shut: float) -> None:
        now = self._time(now)
        self._add(kinds.OTHERS, now, room, int(ill), hear_most, shut)
        self.controller.others_told(now, room, ill, hear_most, shut)

    def offers_told(self, now: float, count: int) -> None:
        now = self._time(now)
        self._add(kinds.OFFERS, now, count)
        self.controller.offers_told(now, count)

    def came_handed(self, now: float, ref: Ref) -> None:
        now = self._time(now)
        self._add(kinds.HANDED, now, self.numbers.get(ref, 0))
        self.controller.came_handed(now, ref)

    def hand_ended(self, now: float, ref: Ref, ending: int) -> None:
        now = self._time(now)
        self._add(kinds.HAND_ENDED, now, self.numbers.get(ref, 0), int(ending))
        self.controller.hand_ended(now, ref, ending)

    @property
    def limit(self) -> int:
        return self.controller.limit

    def capacity(self) -> float:
        return self.controller.capacity()

    # What it decides.

    def next_decision(self, now: float) -> Decision | None:
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
        """For people: no part of what the module heard."""
        self._add(kinds.NOTE, self._time(now), what, detail)
