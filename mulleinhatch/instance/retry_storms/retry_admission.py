"""All that is known of a storm at one instance, and the one word on each try that comes while it lasts."""

from __future__ import annotations

import math
from collections import Counter

from mulleinhatch.instance.retry_storms.bounds import StormBounds
from mulleinhatch.instance.retry_storms.budget import RetryBudget
from mulleinhatch.instance.retry_storms.calendar import ReconnectCalendar
from mulleinhatch.instance.retry_storms.duplicate_detection import DuplicateDetector, ExecutedRequests
from mulleinhatch.instance.retry_storms.request_log import HeavyCallers
from mulleinhatch.instance.retry_storms.storm_detector import Stage, StormDetector

HALVING_INTERVAL_S = 2.0  # seconds after which what a caller did counts half
PUNCTUAL_TOLERANCE_S = 0.02  # seconds too soon that still count as when told: clocks and rounding


class RetryAdmission:
    """The host counts in what comes (`record_request`), asks `should_reject` before a retry is heard, `retry_after` for what a
    nack is to say, and tells the module `first_rate` and `is_active` whenever `update` says that they changed.

    >>> retry_admission = RetryAdmission(StormBounds(), longest_hold_off=5.0, seed=7)
    >>> for tenth in range(20):
    ...     for _ in range(100):
    ...         retry_admission.record_request(0.1 * tenth, 3, repeat=True, age=0.0)
    ...     _ = retry_admission.update(0.1 * tenth, capacity=80.0)
    >>> retry_admission.is_active
    True
    >>> retry_admission.set_rate(2.0, 4.0); [retry_admission.should_reject(3.0, 3, punctual=False) for _ in range(3)]
    [False, False, True]
    """

    def __init__(self, bounds: StormBounds, longest_hold_off: float, seed: int) -> None:
        self.bounds = bounds
        self.detector = StormDetector(bounds)
        self.callers = HeavyCallers(bounds.callers_kept)  # by their repeats
        self.calendar = ReconnectCalendar(min(bounds.horizon, longest_hold_off))
        self.budget = RetryBudget(bounds.heeding_part)
        self.duplicates, self.executed = DuplicateDetector(bounds.repeats_kept), ExecutedRequests(bounds.repeats_kept)
        self.counts: Counter[str] = Counter()
        self.random_state = seed % 2**64
        self.dominant_caller: int | None = None
        self.halved_at = 0.0
        self.promised_until = 0.0  # the last come-back that was told to a caller who may heed it
        self.rejected_retries = self.rejected_early_retries = (
            0  # tries turned back, and those of them that came before their time
        )
        self.last_reported: tuple[bool, float] = (False, 0.0)

    @property
    def is_active(self) -> bool:
        """From the first signs to the end of the recovery: callers that heed keep a storm from ever being one, and
        their come-backs still crowd out first tries, as long as any was told to come."""
        return self.detector.stage is not Stage.CALM or self.detector.updated_at < self.promised_until

    @property
    def is_limiting(self) -> bool:
        """Whether a try may be turned back before it is read in full."""
        return self.budget.rate < math.inf

    def record_request(self, now: float, caller: int, repeat: bool, age: float) -> None:
        self.detector.count(1, repeat, 0, age)
        if repeat:
            self.counts["repeats_read"] += 1
            self.callers.add(caller)

    def update(self, now: float, capacity: float) -> bool:
        """On a beat; whether the module must hear of it."""
        if not self.detector.is_due(now):
            return False
        self.detector.update(now, capacity)
        if now - self.halved_at >= HALVING_INTERVAL_S:
            self.callers.halve()
            self.halved_at = now
        self.dominant_caller = self._find_dominant_caller()
        last_reported = (self.is_active, self.detector.first_rate)
        changed = (
            last_reported[0] is not self.last_reported[0]
            or last_reported[0]
            and abs(last_reported[1] - self.last_reported[1]) > 0.05 * self.last_reported[1]
        )
        if changed:
            self.last_reported = last_reported
        return changed

    def _find_dominant_caller(self) -> int | None:
        """A caller with most of all repeats, where there are enough callers for that to mean something."""
        (first, count), *others = self.callers.most_frequent(3) or [(None, 0)]
        alone = count >= self.bounds.loud_share * max(1, self.callers.total)
        return first if alone and len(others) >= 2 else None

    def set_rate(self, now: float, rate: float) -> None:
        """The module's word: retries a second to be heard; infinite when no storm is on."""
        self.budget.set_rate(now, rate)
        self.calendar.rate = rate if rate < math.inf else 0.0

    def should_reject(self, now: float, caller: int, punctual: bool) -> bool:
        """Whether this retry is one too many. Of a loud caller's storm the others hear nothing."""
        if self.budget.rate == math.inf or self.dominant_caller is not None and caller != self.dominant_caller:
            return False
        return not self.budget.should_accept(now, punctual)

    def retry_after(self, now: float, least: float, rejected_early_retries: bool) -> float:
        """What a nack says: seconds to stay away. Out of a storm it is what the module said; in one a slot, but
        none for those that did not heed the last: they would take those of the others."""
        if self.calendar.rate <= 0.0:
            return least
        if rejected_early_retries:
            return max(least, (0.5 + 0.5 * self._draw()) * self.calendar.horizon)
        seconds = self.calendar.reserve_slot(now, least, self._draw())
        self.promised_until = max(self.promised_until, now + seconds)
        return seconds

    def _draw(self) -> float:
        self.random_state = (self.random_state * 6364136223846793005 + 1442695040888963407) % 2**64
        return (self.random_state >> 33) / 2**31

    def counters(self) -> dict[str, int]:
        detector = self.detector
        return {
            **self.counts,
            **self.duplicates.counts,
            "likenesses_kept": len(self.duplicates.outstanding) + len(self.duplicates.served),
            "runs_in_doubt": len(self.executed),
            "turned_back": self.rejected_retries,
            "turned_back_stubborn": self.rejected_early_retries,
            "storm_stage": list(Stage).index(detector.stage),
            "storms": detector.entered[Stage.STORM],
            "storm_first_tries_a_second": round(detector.first_rate),
            "storm_repeats_a_second": round(detector.repeat_rate),
            "storm_connects_a_second": round(detector.connect_rate),
            "storm_callers_known": len(self.callers),
            "storm_slots": self.calendar.booked,
            "storm_slots_over": self.calendar.overbooked,
        }
