"""Prefers backends that hold the newest known version of a model's weights. Pure.

A newer version appears at one backend first and at the others later. Sending all requests there immediately would overload it,
so the preference grows with the age of the newest version:

| age of the newest version | backends with older weights |
| --- | --- |
| below `ROLLOUT_GRACE_S` | used like the others |
| up to the deployment's bound | used if they are expected to respond `OLD_WEIGHTS_COST_S` sooner |
| above it | used only if no backend has the newest version |

Versions of a model only increase. `Expect-Version` is not sent: a backend that has switched to a newer version would reject a
request that it may serve, and a backend with a different id rejects the request anyway (`Expect-Instance`).
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from mulleinhatch.data_plane.registry_snapshot import ModelKey, RegisteredBackend

ROLLOUT_GRACE_S = 1.0  # Remainder of the users' limit of 1.5 s once an acknowledged version has reached the data planes.
OLD_WEIGHTS_COST_S = 0.5  # A fifth of the value of a request, for latency targets of a few seconds.
DEFAULT_BOUND_S = 10.0  # If the deployment does not specify a bound.


@dataclass(frozen=True)
class NewestVersion:
    """The newest version of a model, and the loop time in seconds at which this data plane first saw it."""

    version: int
    known_since: float


class ModelVersions:
    """The newest version of each model of each service.

    Args:
        bound_s: How long older weights may still be used after a newer version was acknowledged (`bounds.version_ms`); 0 if the
            deployment does not specify it.
    """

    def __init__(self, bound_s: float = 0.0) -> None:
        self._bound_s = bound_s or DEFAULT_BOUND_S
        self._newest: dict[tuple[str, str], NewestVersion] = {}
        self._outdated: frozenset[tuple[str, str]] = frozenset()  # Backend ids and models.

    def update(self, backends: Iterable[RegisteredBackend], now: float) -> None:
        """Update the known versions from a new registry snapshot."""
        reported = [
            (backend, model, version)
            for backend in backends
            for model, version in backend.versions.items()
            if version  # 0 means unknown.
        ]
        for backend, model, version in reported:
            newest = self._newest.get((backend.service, model))
            if newest is None or version > newest.version:
                self._newest[backend.service, model] = NewestVersion(version, now)
        self._outdated = frozenset(
            (backend.id, model)
            for backend, model, version in reported
            if version < self._newest[backend.service, model].version
        )

    def is_outdated(self, backend: RegisteredBackend, model: str) -> bool:
        """Return whether a backend holds older weights of a model than any backend registered so far."""
        return (backend.id, model) in self._outdated

    def extra_cost_s(self, backend: RegisteredBackend, model_key: ModelKey, now: float) -> float:
        """Return the latency penalty in seconds of a backend with older weights."""
        if not self._outdated or not self.is_outdated(backend, model_key.model):
            return 0.0
        age_s = now - self._newest[model_key.service, model_key.model].known_since
        return OLD_WEIGHTS_COST_S if age_s >= ROLLOUT_GRACE_S else 0.0

    def without_outdated(
        self, backends: Sequence[RegisteredBackend], model_key: ModelKey, now: float
    ) -> Sequence[RegisteredBackend]:
        """Return the backends with the newest weights; all if none has them or the newest version is recent."""
        if not self._outdated or not model_key.model:
            return backends
        newest = self._newest.get((model_key.service, model_key.model))
        if newest is None or now - newest.known_since < self._bound_s:
            return backends
        return [backend for backend in backends if not self.is_outdated(backend, model_key.model)] or backends
