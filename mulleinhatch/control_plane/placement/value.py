"""What a model's standing is worth, in worth of requests a second: one quantity for loads, copies and what gives way. Pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence

from mulleinhatch.control_plane.placement.demand import Wanted
from mulleinhatch.control_plane.placement.holdings import BackendView

RUNNING_A_COPY = 8.0  # requests under way that one copy should carry
ROUNDING = 0.7  # a further copy before the others are quite full
LEAST_RATE = 0.02  # requests a second that count as demand
HELD_VALUE = 2.0  # a second: what a held request counts beside requests that are expected
SPARE_PART = 0.5  # of a copy's share of the value where there are more than needed
LAST_COPY = 0.05  # a second: what the only copy of a model nobody asks for just now is worth


class ModelValue:
    """Values at one look at one service."""

    def __init__(self, backends: Sequence[BackendView], wanted: Mapping[str, Wanted]) -> None:
        self._wanted, self._backends = wanted, len(backends)
        self._copies = Counter(model for backend in backends for model in backend.staying())

    def copies(self, model: str) -> int:
        """Backends that hold a model and keep it, or will."""
        return self._copies[model]

    def gives_up(self, model: str) -> None:
        """A copy goes by an order of this look: the next one is worth more."""
        self._copies[model] -= 1

    def wanted(self, model: str) -> float:
        """What is asked for now, and what is held."""
        wanted = self._wanted.get(model)
        return wanted.worth + HELD_VALUE * wanted.held if wanted is not None else 0.0

    def needed(self, model: str) -> int:
        """Copies that should stand."""
        wanted = self._wanted.get(model)
        if wanted is None or (not wanted.held and wanted.rate < LEAST_RATE):
            return 0
        return max(1, min(self._backends, int(wanted.running / RUNNING_A_COPY + ROUNDING)))

    def missing(self, model: str) -> bool:
        """Whether a model should have one more copy, were there room."""
        return self.copies(model) < self.needed(model)

    def gain(self, model: str, reserved: bool = False) -> float:
        """What one more copy brings; `reserved` where one that is counted is this one."""
        return self.wanted(model) / (self.copies(model) - reserved + 1)

    def loss(self, model: str) -> float:
        """What is lost where one backend gives a model up."""
        copies, value = max(1, self.copies(model)), self.wanted(model)
        if copies == 1:
            return value + LAST_COPY
        return (SPARE_PART if copies > self.needed(model) + 1 else 1.0) * value / copies
