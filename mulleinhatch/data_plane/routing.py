"""Which backend a started request goes to, and what this instance knows of each backend from its own calls. Pure.

Among the backends that hold the model the one with the prompt's shared parts is preferred while it is not expected to
answer much later
than the others; else the one that is expected to answer first. A backend that could not be reached, or answered as
another, is left out for a while.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from mulleinhatch.data_plane.snapshot import KnownBackend, ModelName
from mulleinhatch.membership.rendezvous import rendezvous_weight

FIRST_REST_S, LONGEST_REST_S = 0.5, 4.0  # how long a backend that failed is left out, doubled each time
LATENCY_PART = 0.3  # of a new measurement in the decayed one
LATENCY_HALF_S = 2.0  # in which an old measurement loses half of its weight
USUAL_S = 0.1  # what one more request of ours at a backend costs those after it
NEW_CONNECTION_S = 0.03  # what a new connection counts, with what it costs the backend
OTHER_ZONE_S = 0.01  # what another zone counts, with what its bytes cost
AFFINITY_S = 0.2  # by how much more a preferred backend may be expected to take than the best
FULL_REST_S = 0.05  # how long a backend that said it was full is left out


@dataclass
class BackendState:
    """What this instance knows of one backend."""

    running: int = 0  # requests of ours that it has
    failures: int = 0  # in a row
    rests_until: float = 0.0
    misplaced: bool = False  # another backend answers at its address
    latency_s: float = 0.0  # to the first bytes of an answer, decayed
    latency_at: float = 0.0  # when it was last measured


class BackendStates:
    def __init__(self) -> None:
        self._states: dict[str, BackendState] = {}

    def of(self, backend_id: str) -> BackendState:
        state = self._states.get(backend_id)
        if state is None:
            state = self._states[backend_id] = BackendState()
        return state

    def keep_only(self, ids: Iterable[str]) -> None:
        """Forgets backends that are no longer listed and have nothing of ours."""
        listed = set(ids)
        for backend_id, state in list(self._states.items()):
            if backend_id not in listed and not state.running:
                del self._states[backend_id]

    def began(self, backend_id: str) -> None:
        self.of(backend_id).running += 1

    def ended(self, backend_id: str) -> None:
        self.of(backend_id).running -= 1

    def measured(self, backend_id: str, seconds: float, now: float) -> None:
        """The time to the first bytes of an answer."""
        state = self.of(backend_id)
        state.latency_s = self.latency(backend_id, now) * (1.0 - LATENCY_PART) + seconds * LATENCY_PART
        state.latency_at = now

    def latency(self, backend_id: str, now: float) -> float:
        """What is expected, from the latest measurements; what is old counts less."""
        state = self.of(backend_id)
        return state.latency_s * 0.5 ** ((now - state.latency_at) / LATENCY_HALF_S)

    def succeeded(self, backend_id: str) -> None:
        state = self.of(backend_id)
        state.failures, state.rests_until = 0, 0.0

    def failed(self, backend_id: str, now: float) -> None:
        """It could not be reached or broke off."""
        state = self.of(backend_id)
        state.rests_until = now + min(LONGEST_REST_S, FIRST_REST_S * 2**state.failures)
        state.failures += 1

    def was_full(self, backend_id: str, now: float) -> None:
        self.of(backend_id).rests_until = max(self.of(backend_id).rests_until, now + FULL_REST_S)

    def is_misplaced(self, backend_id: str) -> None:
        self.of(backend_id).misplaced = True

    def usable(self, backend: KnownBackend, now: float) -> bool:
        state = self.of(backend.id)
        return not (backend.draining or backend.silent or state.misplaced or state.rests_until > now)


def choose(
    candidates: Sequence[KnownBackend],
    states: BackendStates,
    prefix: str,
    zone: str,
    name: ModelName,
    idle: set[str] | None = None,
    now: float = 0.0,
) -> KnownBackend | None:
    """The backend for a request; `prefix` is the id of the prompt's last shared part, `idle` the backends with a free
    connection."""
    if not candidates:
        return None

    def expected(backend: KnownBackend) -> float:
        connecting = NEW_CONNECTION_S if idle is not None and backend.id not in idle else 0.0
        away = OTHER_ZONE_S if backend.zone != zone else 0.0
        return states.latency(backend.id, now) + USUAL_S * states.of(backend.id).running + connecting + away

    if prefix and len(candidates) > 1:
        key = f"{name.model}/{name.adapter}/{prefix}"
        home = max(candidates, key=lambda backend: rendezvous_weight(key, backend.id))
        if expected(home) <= min(expected(backend) for backend in candidates) + AFFINITY_S:
            return home

    def cost(backend: KnownBackend) -> tuple[float, bool, bool, float]:
        load = expected(backend) if name.model else states.of(backend.id).running / backend.slots
        return load, idle is not None and backend.id not in idle, backend.zone != zone, random.random()

    return min(candidates, key=cost)
