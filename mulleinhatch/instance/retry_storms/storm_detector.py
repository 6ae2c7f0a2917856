"""Whether it storms: calm, rising, storm, recovering, judged beat by beat from counts alone.

A storm is repeats beyond what can be served. A burst of first tries repeats nothing; a deploy reconnects, and repeats
what a few seconds of it cost; a slow dependency is asked for the same ops a few times more; one loud caller is told
from a storm by its part of the repeats. `docs/design/storms.md` has the table of states.
"""

from __future__ import annotations

import math
from enum import Enum

from mulleinhatch.instance.retry_storms.bounds import StormBounds
from mulleinhatch.sliding_window import SlidingWindow

BEAT = 0.25  # seconds between judgements
SEEN, SEEN_BUCKETS = 0.25, 4  # the second that is looked at
CALM_SHARE = 0.25  # of what is read that repeats, below which it is no longer rising
CALM_FOR = 1.0  # seconds of that
EASED_FOR = 1.0  # seconds under one repeat for each op that can be served, until it is recovering
USUAL = 0.02  # a beat, how fast the usual rate of first tries follows
LATE_READ = 0.5  # mean age in seconds from which reading can't keep up: an outage of its own


class Stage(Enum):
    CALM = "calm"
    RISING = "rising"
    STORM = "storm"
    RECOVERING = "recovering"

    __hash__ = object.__hash__


class Watch:
    """
    >>> watch = Watch(StormBounds())
    >>> for beat in range(8):
    ...     watch.count(reads=250, repeats=240); watch.judge(0.25 * (beat + 1), capacity=80.0)
    >>> watch.stage, watch.first_rate
    (<Stage.STORM: 'storm'>, 40.0)
    >>> for beat in range(8, 60):
    ...     watch.judge(0.25 * (beat + 1), capacity=80.0)
    >>> watch.stage
    <Stage.CALM: 'calm'>
    """

    def __init__(self, bounds: StormBounds) -> None:
        self.bounds, self.stage = bounds, Stage.CALM
        self.new_reads = self.new_repeats = self.new_connects = 0
        self.new_age = 0.0
        self.reads, self.repeats, self.connects, self.ages = (SlidingWindow(SEEN, SEEN_BUCKETS) for _ in range(4))
        self.usual = self.first_rate = self.repeat_rate = self.connect_rate = 0.0
        self.judged_at = -math.inf
        self.eased = self.likely = 0.0  # seconds: looking calmer, like a storm
        self.outage_at: float | None = None
        self.entered: dict[Stage, int] = dict.fromkeys(Stage, 0)

    def count(self, reads: int = 0, repeats: int = 0, connects: int = 0, age: float = 0.0) -> None:
        """What came since the last beat; `age` is the sum of the ages at reading, in seconds."""
        self.new_reads += reads
        self.new_repeats += repeats
        self.new_connects += connects
        self.new_age += age

    def outage(self, now: float) -> None:
        """Something here was gone a moment ago: our own start, a gap in the link, runs that stopped ending."""
        self.outage_at = now

    def due(self, now: float) -> bool:
        return now - self.judged_at >= BEAT

    def judge(self, now: float, capacity: float) -> None:
        """One beat; `capacity` is the ops a second that can be served, 0 where that is not known."""
        span = BEAT if self.judged_at == -math.inf else now - self.judged_at
        self.judged_at = now
        for ring, amount in (
            (self.reads, self.new_reads),
            (self.repeats, self.new_repeats),
            (self.connects, self.new_connects),
            (self.ages, self.new_age),
        ):
            ring.add(now, amount)
        self.new_reads = self.new_repeats = self.new_connects = 0
        self.new_age = 0.0
        window = SEEN * SEEN_BUCKETS
        reads, repeats = self.reads.total(now), self.repeats.total(now)
        self.first_rate, self.repeat_rate = (reads - repeats) / window, repeats / window
        self.connect_rate = self.connects.total(now) / window
        if reads and self.ages.total(now) / reads > LATE_READ:
            self.outage(now)
        if self.stage is Stage.CALM and reads:
            self.usual += USUAL * (self.first_rate - self.usual)
        served = max(1.0, capacity or self.usual or self.first_rate)
        self._step(now, span, repeats / reads if reads else 0.0, self.repeat_rate / served)

    def _step(self, now: float, span: float, share: float, multiple: float) -> None:
        """The one place where the stage changes: by the share of repeats and by their multiple of what can be
        served. Each way back asks for less than the way there, and for longer: it must not flap."""
        bounds = self.bounds
        stormy = share >= bounds.storm_share and multiple >= bounds.storm_multiple
        self.likely = self.likely + min(span, 2.0 * BEAT) if stormy else 0.0  # a stall of ours is no storm
        if self.stage is Stage.CALM:
            if share >= bounds.rising_share and multiple >= 0.5 * bounds.storm_multiple:
                self._enter(Stage.RISING)
        elif self.stage is Stage.RISING:
            recent = self.outage_at is not None and now - self.outage_at <= bounds.outage_memory
            if stormy and (recent or self.likely >= bounds.confirm):
                self._enter(Stage.STORM)
            elif self._calmer(span, share < CALM_SHARE or multiple < 0.25 * bounds.storm_multiple, CALM_FOR):
                self._enter(Stage.CALM)
        elif self.stage is Stage.STORM:
            if self._calmer(span, multiple < 0.5 * bounds.storm_multiple, EASED_FOR):
                self._enter(Stage.RECOVERING)
        elif stormy:
            self._enter(Stage.STORM)
        elif self._calmer(span, multiple < bounds.calm_multiple, bounds.settle):
            self._enter(Stage.CALM)

    def _calmer(self, span: float, looks_so: bool, long_enough: float) -> bool:
        self.eased = self.eased + span if looks_so else 0.0
        return self.eased >= long_enough

    def _enter(self, stage: Stage) -> None:
        self.stage, self.eased = stage, 0.0
        self.entered[stage] += 1
