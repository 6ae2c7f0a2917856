"""A hierarchical timer wheel: timers are kept in slots of time, and distant ones in coarser wheels.

The cost of setting, cancelling and expiry does not depend on the number of timers; `python -m benchmarks.wheel` compares it
with a heap.

Source: G. Varghese, A. Lauck, "Hashed and hierarchical timing wheels" (1987).
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Any

SLOT_BITS, WHEELS = 8, 4
SLOTS, MASK = 1 << SLOT_BITS, (1 << SLOT_BITS) - 1


class TimerWheel:
    """Timers by name; setting one again moves it. Times are seconds, rounded up to `tick`: a timer never expires early.

    Args:
        now: Current time.
        tick: Resolution in seconds.

    >>> wheel = TimerWheel(0.0, tick=0.01)
    >>> wheel.set("a", 0.5); wheel.set("b", 40.0); wheel.set("c", 0.2); wheel.cancel("c")
    True
    >>> wheel.pop_due(0.49), wheel.pop_due(0.51), wheel.pop_due(39.9), wheel.pop_due(60.0), len(wheel)
    ([], ['a'], [], ['b'], 0)
    """

    def __init__(self, now: float, tick: float = 0.01) -> None:
        self.tick, self.start, self.current_tick = tick, now, 0
        self.wheels: list[list[dict[Hashable, int]]] = [[{} for _ in range(SLOTS)] for _ in range(WHEELS)]
        self.slots_by_name: dict[Hashable, dict[Hashable, int]] = {}
        self.counts = [0] * WHEELS  # timers in each wheel; empty wheels need no cascade
        self.levels_by_name: dict[Hashable, int] = {}

    def set(self, name: Hashable, at: float) -> None:
        """Set or move a timer."""
        self.cancel(name)
        self._insert(name, max(self.current_tick + 1, -int(-(at - self.start) / self.tick // 1)))

    def _insert(self, name: Hashable, ticks: int) -> None:
        ahead = min(ticks - self.current_tick, (1 << SLOT_BITS * WHEELS) - 1)
        level = 0
        while ahead >> SLOT_BITS * (level + 1):
            level += 1
        slot = self.wheels[level][min(ticks, self.current_tick + ahead) >> SLOT_BITS * level & MASK]
        slot[name], self.slots_by_name[name], self.levels_by_name[name] = ticks, slot, level
        self.counts[level] += 1

    def cancel(self, name: Hashable) -> bool:
        """Cancel a timer; return whether it was set."""
        slot = self.slots_by_name.pop(name, None)
        if slot is None:
            return False
        del slot[name]
        self.counts[self.levels_by_name.pop(name)] -= 1
        return True

    def pop_due(self, now: float) -> list[Any]:
        """Remove and return the expired timers in order of time, those of one tick in the order in which they were set."""
        until, names = int((now - self.start) / self.tick + 1e-9), []
        while self.current_tick < until:
            if not self.slots_by_name:
                self.current_tick = until
                break
            self._skip_empty_ticks(until)
            self.current_tick += 1
            self._cascade()
            slot = self.wheels[0][self.current_tick & MASK]
            for name in [name for name, ticks in slot.items() if ticks <= self.current_tick]:
                self.cancel(name)
                names.append(name)
        return names

    def _skip_empty_ticks(self, until: int) -> None:
        """Skip empty ticks: up to the next step of the finest wheel that has timers."""
        level = next(level for level, count in enumerate(self.counts) if count)
        if level:
            span = 1 << SLOT_BITS * level
            self.current_tick = max(self.current_tick, min(until, (self.current_tick // span + 1) * span) - 1)

    def _cascade(self) -> None:
        """Move the next slot of a coarser wheel into the finer ones when these have completed a turn."""
        for level in range(1, WHEELS):
            if self.current_tick & (1 << SLOT_BITS * level) - 1:
                return
            slot = self.wheels[level][self.current_tick >> SLOT_BITS * level & MASK]
            for name, ticks in list(slot.items()):
                self.cancel(name)
                self._insert(name, ticks)

    def __len__(self) -> int:
        return len(self.slots_by_name)
