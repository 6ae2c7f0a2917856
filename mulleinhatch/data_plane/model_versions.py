"""Prefer backends whose weights of a model have the newest version that this data plane knows. Pure.

A newer version appears at one backend first and at the others later. To send everything there at once would crowd it, so the
preference grows with the age of the newest version:

| age of the newest version | backends with older weights |
| --- | --- |
| below `NOTICE_S` | used like the others |
| up to the deployment's bound | used where they are expected to respond `OLD_WEIGHTS_COST_S` sooner |
| above it | used only where no backend has the newest |

Versions of a model only rise. `Expect-Version` is not sent: a backend that has moved on to a newer version would reject what it
may as well run, and one with another id than expected rejects the request anyway (`Expect-Instance`).
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from mulleinhatch.data_plane.registry_snapshot import ModelKey, RegisteredBackend

NOTICE_S = 1.0  # what is left of the users' 1.5 s after an acknowledgement was distributed
OLD_WEIGHTS_COST_S = 0.5  # a fifth of a request's worth, against latency targets of a few seconds
DEFAULT_BOUND_S = 10.0  # where the deployment does not name its bound


@dataclass(frozen=True)
class NewestVersion:
    """The newest version of a model, and the loop time in seconds at which this data plane learned of it."""

    version: int
    known_since: float


class ModelVersions:
    """The newest version of each model of each service.

    Args:
        bound_s: How long after a newer version was acknowledged older weights may still be used (`bounds.version_ms`); 0 where
            the deployment does not say.
    """

    def __init__(self, bound_s: float = 0.0) -> None:
        self._bound_s = bound_s or DEFAULT_BOUND_S
        self._newest: dict[tuple[str, str], NewestVersion] = {}
        self._outdated: frozenset[tuple[str, str]] = frozenset()  # backend id and model

    def update(self, backends: Iterable[RegisteredBackend], now: float) -> None:
        """Learn the versions of a new registry snapshot."""
        reported = [
            (backend, model, version)
            for backend in backends
            for model, version in backend.versions.items()
            if version  # 0: the version is not known
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
        """Return whether a backend holds older weights of a model than another one that was ever registered."""
        return (backend.id, model) in self._outdated

    def extra_cost_s(self, backend: RegisteredBackend, model_key: ModelKey, now: float) -> float:
        """Return by how many seconds sooner a backend has to be expected to respond because of its older weights."""
        if not self._outdated or not self.is_outdated(backend, model_key.model):
            return 0.0
        age_s = now - self._newest[model_key.service, model_key.model].known_since
        return OLD_WEIGHTS_COST_S if age_s >= NOTICE_S else 0.0

    def without_outdated(
        self, backends: Sequence[RegisteredBackend], model_key: ModelKey, now: float
    ) -> Sequence[RegisteredBackend]:
        """Return the backends that a request may go to: all of them if none has the newest weights, or these are recent."""
        if not self._outdated or not model_key.model:
            return backends
        newest = self._newest.get((model_key.service, model_key.model))
        if newest is None or now - newest.known_since < self._bound_s:
            return backends
        return [backend for backend in backends if not self.is_outdated(backend, model_key.model)] or backends
