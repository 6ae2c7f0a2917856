"""All that is known of a storm at one instance, and the one word on each try that comes while it lasts."""

from __future__ import annotations

import math
from collections import Counter

from mulleinhatch.instance.retry_storms.bounds import StormBounds
from mulleinhatch.instance.retry_storms.budget import RetryBudget
from mulleinhatch.instance.retry_storms.calendar import Calendar
from mulleinhatch.instance.retry_storms.duplicate_detection import Runs, Tries
from mulleinhatch.instance.retry_storms.request_log import HeavyCallers
from mulleinhatch.instance.retry_storms.storm_detector import Stage, Watch

FADE_EVERY = 2.0  # seconds after which what a caller did counts half
PUNCTUAL = 0.02  # seconds too soon that still count as when told: clocks and rounding


class Desk:
    """The host counts in what comes (`read`), asks `turned_back` before a retry is heard, `come_back` for what a
    nack is to say, and tells the module `first_rate` and `on` whenever `judge` says that they changed.

    >>> desk = Desk(StormBounds(), longest_hold_off=5.0, seed=7)
    >>> for tenth in range(20):
    ...     for _ in range(100):
    ...         desk.read(0.1 * tenth, 3, repeat=True, age=0.0)
    ...     _ = desk.judge(0.1 * tenth, capacity=80.0)
    >>> desk.on
    True
    >>> desk.limit(2.0, 4.0); [desk.turned_back(3.0, 3, punctual=False) for _ in range(3)]
    [False, False, True]
    """

    def __init__(self, bounds: StormBounds, longest_hold_off: float, seed: int) -> None:
        self.bounds = bounds
        self.watch = Watch(bounds)
        self.callers = HeavyCallers(bounds.callers_kept)  # by their repeats
        self.calendar = Calendar(min(bounds.horizon, longest_hold_off))
        self.budget = RetryBudget(bounds.heeding_part)
        self.tries, self.runs = Tries(bounds.repeats_kept), Runs(bounds.repeats_kept)
        self.counts: Counter[str] = Counter()
        self.chance = seed % 2**64
        self.loud: int | None = None
        self.faded_at = 0.0
        self.promised_until = 0.0  # the last come-back that was told to a caller who may heed it
        self.turned = self.stubborn = 0  # tries turned back, and those of them that came before their time
        self.told: tuple[bool, float] = (False, 0.0)

    @property
    def on(self) -> bool:
        """From the first signs to the end of the recovery: callers that heed keep a storm from ever being one, and
        their come-backs still crowd out first tries, as long as any was told to come."""
        return self.watch.stage is not Stage.CALM or self.watch.judged_at < self.promised_until

    @property
    def sheds(self) -> bool:
        """Whether a try may be turned back before it is read in full."""
        return self.budget.rate < math.inf

    def read(self, now: float, caller: int, repeat: bool, age: float) -> None:
        self.watch.count(1, repeat, 0, age)
        if repeat:
            self.counts["repeats_read"] += 1
            self.callers.add(caller)

    def judge(self, now: float, capacity: float) -> bool:
        """On a beat; whether the module must hear of it."""
        if not self.watch.due(now):
            return False
        self.watch.judge(now, capacity)
        if now - self.faded_at >= FADE_EVERY:
            self.callers.fade()
            self.faded_at = now
        self.loud = self._loud()
        told = (self.on, self.watch.first_rate)
        changed = told[0] is not self.told[0] or told[0] and abs(told[1] - self.told[1]) > 0.05 * self.told[1]
        if changed:
            self.told = told
        return changed

    def _loud(self) -> int | None:
        """A caller with most of all repeats, where there are enough callers for that to mean something."""
        (first, count), *others = self.callers.most(3) or [(None, 0)]
        alone = count >= self.bounds.loud_share * max(1, self.callers.total)
        return first if alone and len(others) >= 2 else None

    def limit(self, now: float, rate: float) -> None:
        """The module's word: retries a second to be heard; infinite when no storm is on."""
        self.budget.limit(now, rate)
        self.calendar.rate = rate if rate < math.inf else 0.0

    def turned_back(self, now: float, caller: int, punctual: bool) -> bool:
        """Whether this retry is one too many. Of a loud caller's storm the others hear nothing."""
        if self.budget.rate == math.inf or self.loud is not None and caller != self.loud:
            return False
        return not self.budget.hears(now, punctual)

    def come_back(self, now: float, least: float, stubborn: bool) -> float:
        """What a nack says: seconds to stay away. Out of a storm it is what the module said; in one a slot, but
        none for those that did not heed the last: they would take those of the others."""
        if self.calendar.rate <= 0.0:
            return least
        if stubborn:
            return max(least, (0.5 + 0.5 * self._draw()) * self.calendar.horizon)
        seconds = self.calendar.book(now, least, self._draw())
        self.promised_until = max(self.promised_until, now + seconds)
        return seconds

    def _draw(self) -> float:
        self.chance = (self.chance * 6364136223846793005 + 1442695040888963407) % 2**64
        return (self.chance >> 33) / 2**31

    def counted(self) -> dict[str, int]:
        watch = self.watch
        return {
            **self.counts,
            **self.tries.counts,
            "likenesses_kept": len(self.tries.outstanding) + len(self.tries.done),
            "runs_in_doubt": len(self.runs),
            "turned_back": self.turned,
            "turned_back_stubborn": self.stubborn,
            "storm_stage": list(Stage).index(watch.stage),
            "storms": watch.entered[Stage.STORM],
            "storm_first_tries_a_second": round(watch.first_rate),
            "storm_repeats_a_second": round(watch.repeat_rate),
            "storm_connects_a_second": round(watch.connect_rate),
            "storm_callers_known": len(self.callers),
            "storm_slots": self.calendar.booked,
            "storm_slots_over": self.calendar.overbooked,
        }
