"""Combines storm detection, retry budget, retry times and duplicate detection for one instance."""

from __future__ import annotations

import math
from collections import Counter

from mulleinhatch.instance.retry_storms.bounds import StormBounds
from mulleinhatch.instance.retry_storms.budget import RetryBudget
from mulleinhatch.instance.retry_storms.calendar import ReconnectCalendar
from mulleinhatch.instance.retry_storms.duplicate_detection import DuplicateDetector, ExecutedRequests
from mulleinhatch.instance.retry_storms.request_log import HeavyCallers
from mulleinhatch.instance.retry_storms.storm_detector import Stage, StormDetector

HALVING_INTERVAL_S = 2.0  # between halvings of the callers' counts
PUNCTUAL_TOLERANCE_S = 0.02  # a retry this much too early still counts as punctual, because of clocks and rounding


class RetryAdmission:
    """Decides for each retry during a storm whether it is rejected early, and when rejected callers should retry.

    The owner reports requests (`record_request`), calls `should_reject` before it reads a retry and `retry_after` for the delay
    in a rejection, and sends `last_reported` to the admission controller when `update` returns True.

    Args:
        bounds: Configured limits.
        longest_hold_off: Longest delay in seconds that callers accept.
        seed: Seed of the random delays.

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
        self.callers = HeavyCallers(bounds.callers_kept)  # callers by their number of retries
        self.calendar = ReconnectCalendar(min(bounds.horizon, longest_hold_off))
        self.budget = RetryBudget(bounds.heeding_part)
        self.duplicates, self.executed = DuplicateDetector(bounds.repeats_kept), ExecutedRequests(bounds.repeats_kept)
        self.counts: Counter[str] = Counter()
        self.random_state = seed % 2**64
        self.dominant_caller: int | None = None
        self.halved_at = 0.0
        self.last_retry_at = 0.0  # latest retry time given to a caller
        self.rejected_retries = 0
        self.rejected_early_retries = 0  # rejected retries that arrived before their retry time
        self.last_reported: tuple[bool, float] = (False, 0.0)

    @property
    def is_active(self) -> bool:
        """Whether retries are limited or delayed, from the stage `RISING` to the end of the recovery.

        Callers that wait for the requested delay can prevent the stage `STORM`, but their retries still compete with first
        attempts while retry times are outstanding.
        """
        return self.detector.stage is not Stage.CALM or self.detector.updated_at < self.last_retry_at

    @property
    def is_limiting(self) -> bool:
        """Whether a retry may be rejected before it is read in full."""
        return self.budget.rate < math.inf

    def record_request(self, now: float, caller: int, repeat: bool, age: float) -> None:
        """Count a request that was read; `age` is its age in seconds."""
        self.detector.count(1, repeat, 0, age)
        if repeat:
            self.counts["repeats_read"] += 1
            self.callers.add(caller)

    def update(self, now: float, capacity: float) -> bool:
        """Update the detector if it is due; return whether the admission controller must be notified."""
        if not self.detector.is_due(now):
            return False
        self.detector.update(now, capacity)
        if now - self.halved_at >= HALVING_INTERVAL_S:
            self.callers.halve()
            self.halved_at = now
        self.dominant_caller = self._find_dominant_caller()
        report = (self.is_active, self.detector.first_rate)
        changed = (
            report[0] is not self.last_reported[0]
            or report[0]
            and abs(report[1] - self.last_reported[1]) > 0.05 * self.last_reported[1]
        )
        if changed:
            self.last_reported = report
        return changed

    def _find_dominant_caller(self) -> int | None:
        """Return the caller that sends most of the retries, if there are enough callers for a comparison."""
        (first, count), *others = self.callers.most_frequent(3) or [(None, 0)]
        is_dominant = count >= self.bounds.loud_share * max(1, self.callers.total)
        return first if is_dominant and len(others) >= 2 else None

    def set_rate(self, now: float, rate: float) -> None:
        """Set the accepted retries per second, as decided by the admission controller; infinite without a storm."""
        self.budget.set_rate(now, rate)
        self.calendar.rate = rate if rate < math.inf else 0.0

    def should_reject(self, now: float, caller: int, punctual: bool) -> bool:
        """Return whether to reject this retry; if one caller is dominant, only its retries are limited."""
        if self.budget.rate == math.inf or self.dominant_caller is not None and caller != self.dominant_caller:
            return False
        return not self.budget.should_accept(now, punctual)

    def retry_after(self, now: float, least: float, ignored_last_delay: bool) -> float:
        """Return the seconds after which a rejected caller should retry, at least `least`.

        During a storm it is the time of a slot. Callers that ignored the last delay get none, to leave the slots to others.
        """
        if self.calendar.rate <= 0.0:
            return least
        if ignored_last_delay:
            return max(least, (0.5 + 0.5 * self._draw()) * self.calendar.horizon)
        seconds = self.calendar.reserve_slot(now, least, self._draw())
        self.last_retry_at = max(self.last_retry_at, now + seconds)
        return seconds

    def _draw(self) -> float:
        self.random_state = (self.random_state * 6364136223846793005 + 1442695040888963407) % 2**64
        return (self.random_state >> 33) / 2**31

    def counters(self) -> dict[str, int]:
        """Return the counters by their public names."""
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
