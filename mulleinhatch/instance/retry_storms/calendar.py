"""When callers are told to come back: one slot after another, as many a second as can be served.

One time is kept, not a page a slot: slots are given out in order, so the next free one says all there is to know
(the virtual scheduling form of the generic cell rate algorithm, ITU-T I.371).
"""

from __future__ import annotations


class ReconnectCalendar:
    """
    >>> calendar = ReconnectCalendar(horizon=0.15)
    >>> calendar.rate = 20.0
    >>> [round(calendar.reserve_slot(0.0, 0.0, draw=0.0), 2) for _ in range(4)]
    [0.0, 0.05, 0.1, 0.15]
    >>> round(calendar.reserve_slot(0.0, 0.0, draw=0.5), 4), calendar.overbooked, round(calendar.reserve_slot(0.1, 0.02, 0.0), 2)
    (0.1125, 1, 0.1)
    """

    def __init__(self, horizon: float) -> None:
        self.horizon, self.rate, self.next_free = horizon, 0.0, 0.0
        self.booked = self.overbooked = 0

    def reserve_slot(self, now: float, min_delay: float, draw: float) -> float:
        """Seconds until the caller's slot, `min_delay` at the soonest; `draw` below 1 is its place between this
        slot and the next. Past the horizon callers heed nothing: there is no slot then, and it is spread over
        the further half."""
        slot = max(now, self.next_free)
        if self.rate <= 0.0 or slot > now + self.horizon + 1e-9:
            self.overbooked += 1
            return max(min_delay, (0.5 + 0.5 * draw) * self.horizon)
        self.booked += 1
        self.next_free = slot + 1.0 / self.rate
        return max(min_delay, min(self.horizon, slot + draw / self.rate - now))
