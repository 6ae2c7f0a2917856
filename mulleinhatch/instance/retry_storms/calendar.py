"""Retry times for rejected callers: consecutive slots, as many per second as can be served.

Slots are assigned in order, so the time of the next free slot is the complete state.

Source: ITU-T I.371, generic cell rate algorithm in its virtual scheduling form.
"""

from __future__ import annotations


class ReconnectCalendar:
    """Assigns retry slots at `rate` slots per second.

    Args:
        horizon: Longest delay in seconds; callers ignore longer ones.

    >>> calendar = ReconnectCalendar(horizon=0.15)
    >>> calendar.rate = 20.0
    >>> [round(calendar.reserve_slot(0.0, 0.0, draw=0.0), 2) for _ in range(4)]
    [0.0, 0.05, 0.1, 0.15]
    >>> round(calendar.reserve_slot(0.0, 0.0, draw=0.5), 4), calendar.overbooked
    (0.1125, 1)
    >>> round(calendar.reserve_slot(0.1, 0.02, 0.0), 2)
    0.1
    """

    def __init__(self, horizon: float) -> None:
        self.horizon, self.rate, self.next_free = horizon, 0.0, 0.0
        self.booked = self.overbooked = 0

    def reserve_slot(self, now: float, min_delay: float, draw: float) -> float:
        """Reserve the next slot and return the delay until then in seconds.

        There are no slots past the horizon: the delay is then random in the second half of the horizon, and counted as
        overbooked.

        Args:
            now: Monotonic seconds.
            min_delay: Shortest delay in seconds.
            draw: Random number in [0, 1): the position between this slot and the next.
        """
        slot = max(now, self.next_free)
        if self.rate <= 0.0 or slot > now + self.horizon + 1e-9:
            self.overbooked += 1
            return max(min_delay, (0.5 + 0.5 * draw) * self.horizon)
        self.booked += 1
        self.next_free = slot + 1.0 / self.rate
        return max(min_delay, min(self.horizon, slot + draw / self.rate - now))
