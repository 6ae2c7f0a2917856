"""Which models are asked for here, and how much: decayed rates and what is held, told to the holder of orders. Pure."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from mulleinhatch.data_plane.admission import Group
from mulleinhatch.data_plane.snapshot import ModelName
from mulleinhatch.messages.cluster import ModelDemand

DECAY_S = 8.0
LEAST_RATE = 0.01  # requests a second below which a model is not told of
LOUDEST = 32  # models told of at a time


@dataclass
class _Rate:
    """Requests and worth a second, decayed."""

    requests: float = 0.0
    worth: float = 0.0
    at: float = 0.0

    def add(self, now: float, worth: float) -> None:
        self.decay(now)
        self.requests += 1.0 / DECAY_S
        self.worth += worth / DECAY_S

    def decay(self, now: float) -> None:
        left = math.exp((self.at - now) / DECAY_S)
        self.requests, self.worth, self.at = self.requests * left, self.worth * left, now


class DemandBook:
    """Demand at one instance."""

    def __init__(self) -> None:
        self._rates: dict[ModelName, _Rate] = {}

    def asked(self, name: ModelName, worth: float, now: float) -> None:
        """A request for a model arrived, whatever becomes of it."""
        rate = self._rates.get(name)
        if rate is None:
            rate = self._rates[name] = _Rate(at=now)
        rate.add(now, worth)

    def urgent(self, names: Iterable[ModelName], groups: Mapping[ModelName, Group], now: float) -> list[ModelDemand]:
        """What is to be told at once of models that stand nowhere."""
        told = []
        for name in names:
            rate = self._rates.get(name)
            if rate is not None:
                rate.decay(now)
                told.append(_demand(name, rate, groups.get(name), now))
        return told

    def report(self, groups: Iterable[Group], now: float) -> list[ModelDemand]:
        """What is to be told: the loudest models, those with held requests first."""
        held = {group.name: group for group in groups if group.name.model}
        told = []
        for name, rate in list(self._rates.items()):
            rate.decay(now)
            group = held.get(name)
            if rate.requests < LEAST_RATE and (group is None or not group.held):
                del self._rates[name]
                continue
            told.append(_demand(name, rate, group, now))
        told.sort(key=lambda one: (-one.pending_requests, -one.rate))
        return told[:LOUDEST]


def _demand(name: ModelName, rate: _Rate, group: Group | None, now: float) -> ModelDemand:
    held = group.held if group is not None else []
    return ModelDemand(
        service=name.service,
        model=name.model,
        adapter=name.adapter,
        pending_requests=len(held),
        rate=rate.requests,
        value_rate=rate.worth,
        running=group.running if group is not None else 0,
        oldest_wait_ms=int(1000 * max((now - one.arrived for one in held), default=0.0)),
        least_remaining_ms=int(1000 * max(0.0, min((one.due - now for one in held), default=0.0))),
        priority=min((one.priority for one in held), default=9),
    )
