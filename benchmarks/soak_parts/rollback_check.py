"""Check that no data plane returns to an older configuration than one whose effect a backend observed. Pure functions."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from benchmarks.soak_parts.records import BackendRun, ClientRequest, Disturbance, Observations, Version

ROLLBACK_SLACK_S = 0.25
SLOWED_FACTOR = 8  # multiplies the slack for a data plane that was frozen recently
SLOWED_S = 4.0  # seconds after a freeze during which a data plane counts as slowed
REJECTION_STATUSES = (401, 403, 404)
RESTARTS = ("kill", "terminate")


@dataclass(frozen=True)
class ObservedVersion:
    """The oldest version that allows a run, and when the run was observed."""

    at: float
    number: int


def _allows(version: Version, request: ClientRequest) -> bool:
    is_open = request.route in version.public_routes
    return request.route in version.routes and (is_open or request.key in version.key_owners)


def _oldest_allowing(versions: Iterable[Version], request: ClientRequest, at: float) -> int:
    return min((one.number for one in versions if one.sent_at <= at and _allows(one, request)), default=0)


class RollbackCheck:
    """Tracks the oldest version that each data plane can have.

    Args:
        observations: What the soak recorded.
    """

    def __init__(self, observations: Observations) -> None:
        self._observations = observations
        requests = {request.id: request for request in observations.requests}
        self._matched_runs = [(run, requests[run.id]) for run in observations.runs if run.id in requests]
        self._observed_versions: dict[str, list[ObservedVersion]] = {}
        for run, request in self._matched_runs:
            number = _oldest_allowing(observations.versions, request, run.at)
            self._observed_versions.setdefault(request.front, []).append(ObservedVersion(run.at, number))

    def violations(self) -> Iterable[str]:
        """Yield a line for each request whose outcome is only possible with a version older than the observed one."""
        for run, request in self._matched_runs:
            yield from self._runs_by_older_version(run, request)
        for request in self._observations.requests:
            if request.status in REJECTION_STATUSES and request.is_complete:
                yield from self._rejections_by_older_version(request)

    def _runs_by_older_version(self, run: BackendRun, request: ClientRequest) -> Iterable[str]:
        floor = self._min_version(request)
        versions = [one for one in self._observations.versions if one.number >= floor and one.sent_at <= run.at]
        if floor and not any(_allows(one, request) for one in versions):
            yield f"{request.id} by {request.front}, sent {request.sent_at:.2f} s: ran though version {floor} was in force"

    def _rejections_by_older_version(self, request: ClientRequest) -> Iterable[str]:
        floor = self._min_version(request)
        versions = [one for one in self._observations.versions if one.number >= floor and one.sent_at <= request.ended_at]
        if floor and all(_allows(one, request) for one in versions):
            yield f"{request.id} by {request.front}, sent {request.sent_at:.2f} s: {request.status} though {floor} was in force"

    def _min_version(self, request: ClientRequest) -> int:
        """Return the newest version shown by runs before a request in the same incarnation of its data plane, 0 if none."""
        disturbances = [one for one in self._observations.disturbances if one.process == request.front]
        latest = request.sent_at - self._slack_s(request, disturbances)
        restarted = max(
            (one.ended_at for one in disturbances if one.kind in RESTARTS and one.began_at <= request.ended_at), default=0.0
        )
        numbers = [one.number for one in self._observed_versions.get(request.front, ()) if restarted < one.at <= latest]
        return max(numbers, default=0)

    @staticmethod
    def _slack_s(request: ClientRequest, disturbances: list[Disturbance]) -> float:
        is_slowed = any(
            one.kind == "freeze" and one.began_at <= request.ended_at and one.ended_at >= request.sent_at - SLOWED_S
            for one in disturbances
        )
        return ROLLBACK_SLACK_S * (SLOWED_FACTOR if is_slowed else 1)
