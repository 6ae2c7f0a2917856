"""How many loads from the weight store may still begin: a sliding window and a steady pace. Pure."""

from __future__ import annotations

from collections import deque


class LoadRateLimiter:
    """
    >>> ceiling = LoadRateLimiter(5.0); ceiling.configure(2.0)
    >>> for _ in range(9): ceiling.note(0.0)
    >>> ceiling.room(0.1), ceiling.room(5.1)
    (1, 10)
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

    def room(self, now: float) -> int:
        recent = [begun for begun in self._begun if begun > now - self._window_s]
        self._begun = deque(recent)
        return self._most - len(recent)

    def note(self, now: float) -> None:
        """A load from the store began, by whose order ever."""
        self._begun.append(now)
