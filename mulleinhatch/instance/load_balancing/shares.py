"""How much of what comes to an instance is wished elsewhere, so that what all say together moves the right amount.

Each compares how full it is with how full the fleet is. Who is fuller wishes away what is above, in bounded steps at times
of its own, so that no two hundred step at once; the step back is as bounded. Nobody moves on one report: the fleet's figure
needs half of the members. One that returns begins with its door half shut and opens it as far as its pace is that of its like.
"""

from __future__ import annotations

from typing import NamedTuple

from mulleinhatch.random_source import Chance

LEAST_LOAD = 0.5  # under it nothing is wished elsewhere
DEAD_BAND = 0.05  # of the fleet's load: chance alone is more than that
MOST = 0.8  # wished elsewhere at most: who sent all away would never learn that it has room
GAIN = 0.5  # of the way to what would be even, a step
RETURNING = 0.5  # of what comes, wished elsewhere by one that just returned
AS_USUAL = 1.3  # of its like's pace: from there on it is warm


class Seen(NamedTuple):
    """What is known when a step is due: loads are work asked for over what can be served."""

    own: float
    fleet: float  # below 0 where it is not known
    pace: float = 0.0  # our own over that of our like; 0 where it is not known


class Share:
    """
    >>> share = Share(step=0.05, every=0.5, seed=1, now=0.0, returns=False)
    >>> wishes = [0.0]
    >>> for beat in range(400):     # twice as full as the others, and its callers heed what it says
    ...     wishes.append(share.beat(0.1 * beat, Seen(1.6 * (1.0 - wishes[-1]), 0.8)))
    >>> max(later - before for before, later in zip(wishes, wishes[1:])) <= 0.05 + 1e-9, 0.42 < wishes[-1] < 0.56
    (True, True)
    >>> [share.beat(40.0 + beat, Seen(1.6, -1.0)) for beat in range(60)][-1]     # nobody is heard: nothing is wished
    0.0
    """

    def __init__(self, step: float, every: float, seed: int, now: float, returns: bool) -> None:
        self.step, self.every, self._draw = step, every, Chance(seed).part
        self.wish = RETURNING if returns else 0.0
        self.warming = returns
        self.due = now + every * self._draw()

    def beat(self, now: float, seen: Seen) -> float:
        if now < self.due:
            return self.wish
        self.due = now + self.every * (0.5 + self._draw())
        if self.warming and (seen.fleet < 0.0 or 0.0 < seen.pace <= AS_USUAL):
            self.warming = False
        change = GAIN * (self._even(seen) - self.wish)
        self.wish = min(MOST, max(0.0, self.wish + min(self.step, max(-self.step, change))))
        if self.wish < 0.01 and change <= 0.0:
            self.wish = 0.0
        return self.wish

    def _even(self, seen: Seen) -> float:
        """The share that would leave us as full as the fleet is. What is asked of us already lacks what we sent away, as far as
        callers heed it: so how many do need not be known."""
        if seen.fleet < 0.0:
            return 0.0
        if self.warming:
            return min(RETURNING, max(0.0, 1.0 - 1.0 / seen.pace)) if seen.pace else RETURNING
        if seen.own <= LEAST_LOAD:
            return 0.0
        if abs(seen.own - seen.fleet) <= DEAD_BAND * seen.fleet:
            return self.wish
        return max(0.0, 1.0 - (1.0 - self.wish) * seen.fleet / seen.own)
