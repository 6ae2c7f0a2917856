"""Which stub a started request goes to, and what this instance knows of each stub from its own calls. Pure.

Among the stubs that hold the model the one with the prompt's shared parts is preferred while it is not much busier than the
others; else the least busy one. A stub that could not be reached, or answered as another, is left out for a while.
"""
from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from mulleinhatch.data_plane.snapshot import KnownStub, ModelName
from mulleinhatch.membership.rendezvous import weight

FIRST_REST_S, LONGEST_REST_S = 0.5, 4.0     # how long a stub that failed is left out, doubled each time
AFFINITY_ROOM = 1.5     # of the mean load that a preferred stub may carry
AFFINITY_FREE = 2       # requests more than that that are always allowed
FULL_REST_S = 0.05      # how long a stub that said it was full is left out


@dataclass
class StubState:
    """What this instance knows of one stub."""

    running: int = 0            # requests of ours that it has
    failures: int = 0           # in a row
    rests_until: float = 0.0
    misplaced: bool = False     # another stub answers at its address


class StubStates:
    def __init__(self) -> None:
        self._states: dict[str, StubState] = {}

    def of(self, stub_id: str) -> StubState:
        state = self._states.get(stub_id)
        if state is None:
            state = self._states[stub_id] = StubState()
        return state

    def keep_only(self, ids: Iterable[str]) -> None:
        """Forgets stubs that are no longer listed and have nothing of ours."""
        listed = set(ids)
        for stub_id, state in list(self._states.items()):
            if stub_id not in listed and not state.running:
                del self._states[stub_id]

    def began(self, stub_id: str) -> None:
        self.of(stub_id).running += 1

    def ended(self, stub_id: str) -> None:
        self.of(stub_id).running -= 1

    def succeeded(self, stub_id: str) -> None:
        state = self.of(stub_id)
        state.failures, state.rests_until = 0, 0.0

    def failed(self, stub_id: str, now: float) -> None:
        """It could not be reached or broke off."""
        state = self.of(stub_id)
        state.rests_until = now + min(LONGEST_REST_S, FIRST_REST_S * 2 ** state.failures)
        state.failures += 1

    def was_full(self, stub_id: str, now: float) -> None:
        self.of(stub_id).rests_until = max(self.of(stub_id).rests_until, now + FULL_REST_S)

    def is_misplaced(self, stub_id: str) -> None:
        self.of(stub_id).misplaced = True

    def usable(self, stub: KnownStub, now: float) -> bool:
        state = self.of(stub.id)
        return not (stub.draining or stub.silent or state.misplaced or state.rests_until > now)


def choose(candidates: Sequence[KnownStub], states: StubStates, prefix: str, zone: str, name: ModelName,
           idle: set[str] | None = None) -> KnownStub | None:
    """The stub for a request; `prefix` is the id of the prompt's first shared part, `idle` the stubs with a free connection."""
    if not candidates:
        return None
    if prefix and len(candidates) > 1:
        key = f"{name.model}/{name.adapter}/{prefix}"
        home = max(candidates, key=lambda stub: weight(key, stub.id))
        mean = sum(states.of(stub.id).running for stub in candidates) / len(candidates)
        if states.of(home.id).running <= AFFINITY_ROOM * mean + AFFINITY_FREE:
            return home

    def cost(stub: KnownStub) -> tuple[float, bool, bool, float]:
        return (states.of(stub.id).running / stub.slots, idle is not None and stub.id not in idle, stub.zone != zone,
                random.random())

    return min(candidates, key=cost)
