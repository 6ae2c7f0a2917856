"""How many loads from the weight store may still begin: a sliding window and a steady pace. Pure."""
from __future__ import annotations

from collections import deque


class LoadCeiling:
    """
    >>> ceiling = LoadCeiling(5.0); ceiling.configure(2.0)
    >>> [ceiling.take(0.0) for _ in range(11)].count(True), ceiling.take(5.1)
    (10, True)
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._per_s = 1.0
        self._begun: deque[float] = deque()

    def configure(self, loads_per_s: float) -> None:
        self._per_s = loads_per_s

    @property
    def _most(self) -> int:
        return max(1, int(self._per_s * self._window_s))

    def assume_full(self, now: float) -> None:
        """Another holder may have begun as many as were allowed, up to `now`."""
        self._begun = deque([now] * self._most)

    def room(self, now: float) -> int:
        while self._begun and self._begun[0] <= now - self._window_s:
            self._begun.popleft()
        return self._most - len(self._begun)

    def take(self, now: float) -> bool:
        """Counts a load that begins, if one may."""
        if self.room(now) <= 0:
            return False
        self._begun.append(now)
        return True
