"""Detects retry storms from counters, in the stages calm, rising, storm and recovering.

In a storm, more retries arrive than can be served. A burst of first attempts has no retries; a deploy causes reconnects and
retries for a few seconds; a slow dependency causes some retries of the same requests; a single noisy caller is recognised by
its share of the retries. `docs/design/storms.md` has the table of stages.
"""

from __future__ import annotations

import math
from enum import Enum

from mulleinhatch.instance.retry_storms.bounds import StormBounds
from mulleinhatch.sliding_window import SlidingWindow

UPDATE_INTERVAL_S = 0.25
WINDOW_BUCKET_S, WINDOW_BUCKETS = 0.25, 4  # buckets of the sliding window, which covers the last second
CALM_SHARE = 0.25  # share of retries below which a storm is no longer rising
CALM_S = 1.0  # time below CALM_SHARE until the stage is calm
RECOVERING_AFTER_S = 1.0  # time below half of the storm multiple until the stage is recovering
USUAL_RATE_WEIGHT = 0.02  # weight of an update in the moving average of first attempts
OVERLOAD_AGE_S = 0.5  # a larger mean age of requests when read means overload, which counts as an outage


class Stage(Enum):
    """Stage of a storm."""

    CALM = "calm"
    RISING = "rising"
    STORM = "storm"
    RECOVERING = "recovering"

    __hash__ = object.__hash__


class StormDetector:
    """Classifies the current traffic; `update` is called every `UPDATE_INTERVAL_S` seconds.

    >>> detector = StormDetector(StormBounds())
    >>> for step in range(8):
    ...     detector.count(reads=250, repeats=240); detector.update(0.25 * (step + 1), capacity=80.0)
    >>> detector.stage, detector.first_rate
    (<Stage.STORM: 'storm'>, 40.0)
    >>> for step in range(8, 60):
    ...     detector.update(0.25 * (step + 1), capacity=80.0)
    >>> detector.stage
    <Stage.CALM: 'calm'>
    """

    def __init__(self, bounds: StormBounds) -> None:
        self.bounds, self.stage = bounds, Stage.CALM
        self.new_reads = self.new_repeats = self.new_connects = 0
        self.new_age = 0.0
        self.reads, self.repeats, self.connects, self.ages = (SlidingWindow(WINDOW_BUCKET_S, WINDOW_BUCKETS) for _ in range(4))
        self.usual_rate = self.first_rate = self.repeat_rate = self.connect_rate = 0.0
        self.updated_at = -math.inf
        self.calmer_s = self.storm_like_s = 0.0  # time for which the criteria of a calmer stage, or of a storm, held
        self.outage_at: float | None = None
        self.entered: dict[Stage, int] = dict.fromkeys(Stage, 0)

    def count(self, reads: int = 0, repeats: int = 0, connects: int = 0, age: float = 0.0) -> None:
        """Count arrivals since the last update; `age` is the sum of the requests' ages in seconds when read."""
        self.new_reads += reads
        self.new_repeats += repeats
        self.new_connects += connects
        self.new_age += age

    def record_outage(self, now: float) -> None:
        """Record an outage of this instance: a start, a lost link, or runs that stopped completing."""
        self.outage_at = now

    def is_due(self, now: float) -> bool:
        """Return whether the next update is due."""
        return now - self.updated_at >= UPDATE_INTERVAL_S

    def update(self, now: float, capacity: float) -> None:
        """Update the rates and the stage.

        Args:
            now: Monotonic seconds.
            capacity: Requests per second that can be served; 0 if unknown.
        """
        span = UPDATE_INTERVAL_S if self.updated_at == -math.inf else now - self.updated_at
        self.updated_at = now
        for window, amount in (
            (self.reads, self.new_reads),
            (self.repeats, self.new_repeats),
            (self.connects, self.new_connects),
            (self.ages, self.new_age),
        ):
            window.add(now, amount)
        self.new_reads = self.new_repeats = self.new_connects = 0
        self.new_age = 0.0
        window = WINDOW_BUCKET_S * WINDOW_BUCKETS
        reads, repeats = self.reads.total(now), self.repeats.total(now)
        self.first_rate, self.repeat_rate = (reads - repeats) / window, repeats / window
        self.connect_rate = self.connects.total(now) / window
        if reads and self.ages.total(now) / reads > OVERLOAD_AGE_S:
            self.record_outage(now)
        if self.stage is Stage.CALM and reads:
            self.usual_rate += USUAL_RATE_WEIGHT * (self.first_rate - self.usual_rate)
        served = max(1.0, capacity or self.usual_rate or self.first_rate)
        self._advance_stage(now, span, repeats / reads if reads else 0.0, self.repeat_rate / served)

    def _advance_stage(self, now: float, span: float, share: float, multiple: float) -> None:
        """Change the stage by the share of retries and by their multiple of the rate that can be served.

        Leaving a stage has a lower threshold than entering it and requires a longer time, which prevents flapping.
        """
        bounds = self.bounds
        is_storm_like = share >= bounds.storm_share and multiple >= bounds.storm_multiple
        self.storm_like_s = (
            self.storm_like_s + min(span, 2.0 * UPDATE_INTERVAL_S) if is_storm_like else 0.0
        )  # a stall of this process must not count as a storm
        if self.stage is Stage.CALM:
            if share >= bounds.rising_share and multiple >= 0.5 * bounds.storm_multiple:
                self._enter(Stage.RISING)
        elif self.stage is Stage.RISING:
            recent = self.outage_at is not None and now - self.outage_at <= bounds.outage_memory
            if is_storm_like and (recent or self.storm_like_s >= bounds.confirm):
                self._enter(Stage.STORM)
            elif self._has_been_calmer(span, share < CALM_SHARE or multiple < 0.25 * bounds.storm_multiple, CALM_S):
                self._enter(Stage.CALM)
        elif self.stage is Stage.STORM:
            if self._has_been_calmer(span, multiple < 0.5 * bounds.storm_multiple, RECOVERING_AFTER_S):
                self._enter(Stage.RECOVERING)
        elif is_storm_like:
            self._enter(Stage.STORM)
        elif self._has_been_calmer(span, multiple < bounds.calm_multiple, bounds.settle):
            self._enter(Stage.CALM)

    def _has_been_calmer(self, span: float, is_calmer: bool, required_s: float) -> bool:
        self.calmer_s = self.calmer_s + span if is_calmer else 0.0
        return self.calmer_s >= required_s

    def _enter(self, stage: Stage) -> None:
        self.stage, self.calmer_s = stage, 0.0
        self.entered[stage] += 1
