"""A timer wheel: alarms in slots of time, several wheels for the far ones (Varghese and Lauck, "Hashed and hierarchical timing
wheels", 1987). Adding, cancelling and firing cost the same however many wait; `python -m benchmarks.wheel` beside a heap.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Any

SLOTS_BITS, WHEELS = 8, 4
SLOTS, MASK = 1 << SLOTS_BITS, (1 << SLOTS_BITS) - 1


class Wheel:
    """Alarms by name; one that is set again moves. Times are seconds, kept to `tick`, never early.

    >>> wheel = Wheel(0.0, tick=0.01)
    >>> wheel.set("a", 0.5); wheel.set("b", 40.0); wheel.set("c", 0.2); wheel.cancel("c")
    True
    >>> wheel.due(0.49), wheel.due(0.51), wheel.due(39.9), wheel.due(60.0), len(wheel)
    ([], ['a'], [], ['b'], 0)
    """

    def __init__(self, now: float, tick: float = 0.01) -> None:
        self.tick, self.start, self.at = tick, now, 0
        self.wheels: list[list[dict[Hashable, int]]] = [[{} for _ in range(SLOTS)] for _ in range(WHEELS)]
        self.places: dict[Hashable, dict[Hashable, int]] = {}
        self.counts = [0] * WHEELS  # alarms in each wheel: empty ones need no turning
        self.levels: dict[Hashable, int] = {}

    def set(self, name: Hashable, at: float) -> None:
        self.cancel(name)
        self._put(name, max(self.at + 1, -int(-(at - self.start) / self.tick // 1)))

    def _put(self, name: Hashable, ticks: int) -> None:
        ahead = min(ticks - self.at, (1 << SLOTS_BITS * WHEELS) - 1)
        level = 0
        while ahead >> SLOTS_BITS * (level + 1):
            level += 1
        slot = self.wheels[level][min(ticks, self.at + ahead) >> SLOTS_BITS * level & MASK]
        slot[name], self.places[name], self.levels[name] = ticks, slot, level
        self.counts[level] += 1

    def cancel(self, name: Hashable) -> bool:
        slot = self.places.pop(name, None)
        if slot is None:
            return False
        del slot[name]
        self.counts[self.levels.pop(name)] -= 1
        return True

    def due(self, now: float) -> list[Any]:
        """Names whose time has come, in order of time, those of one tick in the order they were set."""
        until, names = int((now - self.start) / self.tick + 1e-9), []
        while self.at < until:
            if not self.places:
                self.at = until
                break
            self._skip(until)
            self.at += 1
            self._turn()
            slot = self.wheels[0][self.at & MASK]
            for name in [name for name, ticks in slot.items() if ticks <= self.at]:
                self.cancel(name)
                names.append(name)
        return names

    def _skip(self, until: int) -> None:
        """Over ticks in which no wheel but a far one has anything: up to the next turn of that one."""
        level = next(level for level, count in enumerate(self.counts) if count)
        if level:
            span = 1 << SLOTS_BITS * level
            self.at = max(self.at, min(until, (self.at // span + 1) * span) - 1)

    def _turn(self) -> None:
        """Where a nearer wheel has gone round, the next slot of the farther one is dealt out again."""
        for level in range(1, WHEELS):
            if self.at & (1 << SLOTS_BITS * level) - 1:
                return
            slot = self.wheels[level][self.at >> SLOTS_BITS * level & MASK]
            for name, ticks in list(slot.items()):
                self.cancel(name)
                self._put(name, ticks)

    def __len__(self) -> int:
        return len(self.places)
