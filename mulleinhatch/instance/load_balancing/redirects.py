"""Computes the fraction of requests that an instance asks its clients to send elsewhere.

Each instance compares its load with that of the fleet. A more loaded instance redirects the excess in bounded steps at random
times, so that hundreds of instances do not step at once; the fraction decreases in bounded steps, too. No instance acts on a
single report: the fleet's load requires reports of half of the members. A newly started instance redirects half of its
requests at first, and less as its pace approaches that of similar instances.
"""

from __future__ import annotations

from typing import NamedTuple

from mulleinhatch.random_source import RandomSource

MIN_LOAD = 0.5  # nothing is redirected at or below this load
DEAD_BAND = 0.05  # relative difference to the fleet's load that is ignored; random variation alone is larger
MAX_FRACTION = 0.8  # an instance that redirected everything would never notice that it has capacity again
MIN_FRACTION = 0.01  # a decreasing fraction below this is set to 0
GAIN = 0.5  # part of the distance to the balanced fraction that a step covers
STARTUP_FRACTION = 0.5  # fraction redirected by a newly started instance
WARM_PACE = 1.3  # an instance is warmed up once its pace is at most this multiple of that of similar instances


class LoadObservation(NamedTuple):
    """Inputs of a step. A load is the requested work relative to the capacity."""

    own: float
    fleet: float  # negative if unknown
    pace: float = 0.0  # this instance's pace relative to that of similar instances; 0 if unknown


class RedirectController:
    """The redirected fraction of one instance.

    Args:
        step: largest change at a time.
        step_every: mean time in seconds between changes.
        seed: seed of the random times.
        now: seconds of the caller's clock.
        is_warming_up: whether the instance was just started.

    >>> controller = RedirectController(step=0.05, step_every=0.5, seed=1, now=0.0, is_warming_up=False)
    >>> fractions = [0.0]
    >>> for turn in range(400):     # twice as loaded as the others, with clients that comply
    ...     fractions.append(controller.update(0.1 * turn, LoadObservation(1.6 * (1.0 - fractions[-1]), 0.8)))
    >>> max(later - earlier for earlier, later in zip(fractions, fractions[1:])) <= 0.05 + 1e-9, 0.42 < fractions[-1] < 0.56
    (True, True)
    >>> [controller.update(40.0 + turn, LoadObservation(1.6, -1.0)) for turn in range(60)][-1]     # no reports arrive
    0.0
    """

    def __init__(self, step: float, step_every: float, seed: int, now: float, is_warming_up: bool) -> None:
        self.step, self.step_every, self._draw = step, step_every, RandomSource(seed).fraction
        self.fraction = STARTUP_FRACTION if is_warming_up else 0.0
        self.is_warming_up = is_warming_up
        self.due_at = now + step_every * self._draw()

    def update(self, now: float, observation: LoadObservation) -> float:
        """Return the fraction to redirect, after a step if one is due."""
        if now < self.due_at:
            return self.fraction
        self.due_at = now + self.step_every * (0.5 + self._draw())
        if self.is_warming_up and (observation.fleet < 0.0 or 0.0 < observation.pace <= WARM_PACE):
            self.is_warming_up = False
        change = GAIN * (self._balanced_fraction(observation) - self.fraction)
        self.fraction = min(MAX_FRACTION, max(0.0, self.fraction + min(self.step, max(-self.step, change))))
        if self.fraction < MIN_FRACTION and change <= 0.0:
            self.fraction = 0.0
        return self.fraction

    def _balanced_fraction(self, observation: LoadObservation) -> float:
        """Return the fraction at which this instance would be as loaded as the fleet.

        This instance's load already excludes redirected requests, so the compliance of clients need not be known.
        """
        if observation.fleet < 0.0:
            return 0.0
        if self.is_warming_up:
            if not observation.pace:
                return STARTUP_FRACTION
            return min(STARTUP_FRACTION, max(0.0, 1.0 - 1.0 / observation.pace))
        if observation.own <= MIN_LOAD:
            return 0.0
        if abs(observation.own - observation.fleet) <= DEAD_BAND * observation.fleet:
            return self.fraction
        return max(0.0, 1.0 - (1.0 - self.fraction) * observation.fleet / observation.own)
