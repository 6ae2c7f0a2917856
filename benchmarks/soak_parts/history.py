"""Reconstruct which versions may have been in force and which machines were in contact during a soak. Pure functions."""

from __future__ import annotations

import math
from collections.abc import Iterable

from benchmarks.soak_parts.bounds import SoakBounds
from benchmarks.soak_parts.records import ClientRequest, Disturbance, Interval, Observations, Version

CONTROL_PLANE_START_S = 2.0  # seconds after its start until a control-plane node counts as running


def overlaps(intervals: Iterable[Interval], begin: float, end: float) -> bool:
    """Return whether one of the intervals overlaps [begin, end].

    >>> overlaps([(1.0, 2.0)], 2.0, 3.0), overlaps([(1.0, 2.0)], 2.1, 3.0)
    (True, False)
    """
    return any(first <= end and last >= begin for first, last in intervals)


class History:
    """Answers questions about the configuration and the contact of machines.

    Args:
        observations: What the soak recorded.
        bounds: Bounds of the deployment.
    """

    def __init__(self, observations: Observations, bounds: SoakBounds) -> None:
        self._observations, self._bounds = observations, bounds
        self._by_process: dict[str, list[Disturbance]] = {}
        for disturbance in observations.disturbances:
            self._by_process.setdefault(disturbance.process, []).append(disturbance)
        self._control_plane_faults = [
            (disturbance.began_at, disturbance.ended_at)
            for disturbance in observations.disturbances
            if disturbance.process in observations.cores
        ]

    def is_undisturbed(self, process: str, begin: float, end: float) -> bool:
        """Return whether nothing but SIGHUP happened to a process in [begin, end]."""
        return not overlaps(self._intervals(process), begin, end)

    def met_unplanned_fault(self, process: str, begin: float, end: float) -> bool:
        """Return whether a process was killed or frozen in [begin, end]."""
        return overlaps(
            [(one.began_at, one.ended_at) for one in self._by_process.get(process, ()) if not one.is_planned], begin, end
        )

    def are_control_planes_undisturbed(self, begin: float, end: float) -> bool:
        """Return whether no fault met a control-plane node in [begin, end]."""
        return not overlaps(self._control_plane_faults, begin, end)

    def has_control_plane_majority(self, begin: float, end: float) -> bool:
        """Return whether more than half of the control-plane nodes ran throughout [begin, end]."""
        running = sum(
            not overlaps([(first, last + CONTROL_PLANE_START_S) for first, last in self._intervals(name)], begin, end)
            for name in self._observations.cores
        )
        return 2 * running > len(self._observations.cores)

    def _intervals(self, process: str) -> list[Interval]:
        return [(one.began_at, one.ended_at) for one in self._by_process.get(process, ()) if one.kind != "hang_up"]

    def apply_time_s(self, request: ClientRequest, until: float) -> float:
        """Return how long before a request a version must have been acknowledged for its data plane to have applied it.

        It is infinite if the data plane may have been out of contact.

        Args:
            request: The request.
            until: Time at which it ran or was answered.
        """
        begin = request.sent_at - self._bounds.contact_s
        if not self.is_undisturbed(request.front, begin, until):
            return math.inf
        if self.are_control_planes_undisturbed(begin, until):
            return self._bounds.apply_s
        outer_s = self._bounds.apply_s + self._bounds.outer_s
        return outer_s if self.has_control_plane_majority(request.sent_at - outer_s, until) else math.inf

    def possible_versions(self, request: ClientRequest, until: float) -> list[Version]:
        """Return the versions that the data plane of a request may have applied to it up to `until`."""
        latest_binding = request.sent_at - self.apply_time_s(request, until)
        acknowledged = [one.number for one in self._observations.versions if one.acknowledged_at <= latest_binding]
        base = max(acknowledged, default=0)
        return [one for one in self._observations.versions if one.number >= base and one.sent_at <= until]

    def was_ever_configured(self, key: str, until: float) -> bool:
        """Return whether a version that was sent by `until` contains a key."""
        return any(key in version.key_owners for version in self._observations.versions if version.sent_at <= until)

    def owner(self, key: str) -> str:
        """Return the tenant of a key, empty if unknown; no key changes its tenant in a soak."""
        return next((one.key_owners[key] for one in self._observations.versions if key in one.key_owners), "")

    def binding_from(self, version: Version, end: float) -> float:
        """Return the time from which every data plane must apply a version, infinite if not before `end`.

        That is the first time at which each of them was in contact for the whole apply time after the acknowledgement.
        """
        step_s, time_s = 0.1, version.acknowledged_at + self._bounds.apply_s
        while time_s < end:
            begin = time_s - max(self._bounds.contact_s, self._bounds.apply_s)
            are_data_planes_undisturbed = all(self.is_undisturbed(front, begin, time_s) for front in self._observations.fronts)
            if are_data_planes_undisturbed and self.are_control_planes_undisturbed(begin, time_s):
                return time_s
            time_s += step_s
        return math.inf
