"""The health of each backend as observed by this data plane's requests: load, latency, failures, missing models. Pure.

A backend that failed or reported overload is not used during a cooldown. If another backend answers at its address, it is not
used any more until it is registered again.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from mulleinhatch.data_plane.registry_snapshot import ModelKey, RegisteredBackend

FIRST_COOLDOWN_S, MAX_COOLDOWN_S = 0.5, 4.0  # After a failure; doubled for each further consecutive one.
OVERLOAD_COOLDOWN_S = 0.05  # After a backend reported overload.
LATENCY_SMOOTHING = 0.3  # Weight of a new measurement in the moving average.
LATENCY_HALVING_TIME_S = 2.0  # Half-life of a measured latency; the decay makes idle backends attractive again.
MODEL_ABSENT_S = 0.5  # How long a backend that reported lacking a model is not used for that model.
MODEL_BUSY_S = 0.25  # How long a backend that loads or unloads a model is not used for that model.
# A backend with fewer requests of this data plane than this fraction of its slots is probably loading a model, not overloaded.
BUSY_SLOT_FRACTION = 0.5


@dataclass
class BackendHealth:
    """The health of one backend. Times are loop times in seconds."""

    running: int = 0  # This data plane's requests at the backend.
    failures: int = 0  # Consecutive failures.
    cooldown_until: float = 0.0
    is_misplaced: bool = False  # Another backend answers at its address.
    latency_s: float = 0.0  # Moving average of the time to the first byte of a response's body.
    latency_at: float = 0.0  # When the latency was last measured.


class BackendHealthTracker:
    """The health of all backends."""

    def __init__(self) -> None:
        self._health: dict[str, BackendHealth] = {}
        self._model_absent_until: dict[tuple[str, ModelKey], float] = {}  # By backend id and model.

    def of(self, backend_id: str) -> BackendHealth:
        """Return the health of one backend; created with defaults if it is new."""
        health = self._health.get(backend_id)
        if health is None:
            health = self._health[backend_id] = BackendHealth()
        return health

    def is_usable(self, backend: RegisteredBackend, now: float) -> bool:
        """Return whether requests may be sent to the backend now."""
        health = self.of(backend.id)
        return not (backend.draining or backend.silent or health.is_misplaced or health.cooldown_until > now)

    def serving(self, backends: Iterable[RegisteredBackend], model_key: ModelKey, now: float) -> list[RegisteredBackend]:
        """Return the usable backends that hold a model and have not recently reported that they lack it."""
        # Runs several times per request over all backends of its service, so it makes few calls and hashes no key while
        # no model is marked absent.
        absent_until = self._model_absent_until
        return [
            backend
            for backend in backends
            if backend.has_model(model_key)
            and self.is_usable(backend, now)
            and (not absent_until or absent_until.get((backend.id, model_key), 0.0) <= now)
        ]

    def expected_latency_s(self, backend_id: str, now: float) -> float:
        """Return the average time to the first byte, decayed by the age of the last measurement."""
        health = self.of(backend_id)
        return health.latency_s * 0.5 ** ((now - health.latency_at) / LATENCY_HALVING_TIME_S)

    # Outcomes of requests.

    def record_started(self, backend_id: str) -> None:
        """Count a request that is sent to a backend."""
        self.of(backend_id).running += 1

    def record_finished(self, backend_id: str) -> None:
        """Count a request that is no longer at a backend."""
        self.of(backend_id).running -= 1

    def record_latency(self, backend_id: str, latency_s: float, now: float) -> None:
        """Add a measured time to the first byte of a response's body."""
        health = self.of(backend_id)
        average_s = self.expected_latency_s(backend_id, now)
        health.latency_s = average_s * (1.0 - LATENCY_SMOOTHING) + latency_s * LATENCY_SMOOTHING
        health.latency_at = now

    def record_success(self, backend_id: str) -> None:
        """End the cooldown of a backend that responded."""
        health = self.of(backend_id)
        health.failures, health.cooldown_until = 0, 0.0

    def record_failure(self, backend_id: str, now: float) -> None:
        """Start a cooldown for a backend that could not be reached or failed to complete a response."""
        health = self.of(backend_id)
        health.cooldown_until = now + min(MAX_COOLDOWN_S, FIRST_COOLDOWN_S * 2**health.failures)
        health.failures += 1

    def record_overload(self, backend: RegisteredBackend, model_key: ModelKey, now: float) -> None:
        """Handle a 503 without execution: the backend is loading or unloading this model, or is overloaded."""
        if model_key.model and self.of(backend.id).running < backend.slots * BUSY_SLOT_FRACTION:
            self._model_absent_until[(backend.id, model_key)] = now + MODEL_BUSY_S
        else:
            health = self.of(backend.id)
            health.cooldown_until = max(health.cooldown_until, now + OVERLOAD_COOLDOWN_S)

    def record_misdirected(self, backend: RegisteredBackend, answered_by: str, model_key: ModelKey, now: float) -> None:
        """Handle a 421: another backend uses the address, or this one does not hold the model.

        Args:
            backend: Backend that the request was meant for.
            answered_by: `Instance-Id` of the response, empty if missing.
            model_key: Requested model.
            now: Loop time.
        """
        if answered_by and answered_by != backend.id:
            self.record_misplaced(backend.id)
        elif model_key.model:
            self._model_absent_until[(backend.id, model_key)] = now + MODEL_ABSENT_S
        else:
            self.record_failure(backend.id, now)

    def record_misplaced(self, backend_id: str) -> None:
        """Stop using a backend at whose address another one answers."""
        self.of(backend_id).is_misplaced = True

    # Cleanup.

    def keep_only(self, backend_ids: Iterable[str]) -> None:
        """Drop backends that are no longer registered and have no request of this data plane."""
        registered = set(backend_ids)
        for backend_id, health in list(self._health.items()):
            if backend_id not in registered and not health.running:
                del self._health[backend_id]

    def prune(self, now: float) -> None:
        """Drop expired marks of absent models."""
        self._model_absent_until = {key: until for key, until in self._model_absent_until.items() if until > now}
