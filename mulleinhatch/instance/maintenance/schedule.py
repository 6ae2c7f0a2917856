"""The order of maintenance: a pure function of requests, permits in use, zones and time, with the same result on every voter.

Emergencies come first, then unhealthy instances, then those that would miss their deadline, then the zones in turn, with the
instance that was out longest ago first. Each position states its reasons. Requests that are blocked (too early, postponed, the
only copy of data) follow at the end with the reason.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Sequence
from typing import NamedTuple

DEADLINE_MARGIN = 2.0  # a deadline is near if the time left is less than the duration plus this many durations


class MaintenanceRequest(NamedTuple):
    """An instance's request to be out of service; times are Unix seconds.

    Sent as a MessagePack array: the order of the fields is part of the message format.

    Attributes:
        name: Instance.
        zone: Its failure domain.
        kind: Kind of work (kernel, disk, release, ill, memory), shown to operators.
        duration_s: Expected duration in seconds.
        requested_at: Time of the request.
        earliest_start: Earliest start; 0 for any time.
        deadline: Time by which the instance must be back; 0 for none.
        urgency: 2 for an emergency, 1 for urgent, 0 otherwise.
        last_out: End of its last maintenance as the instance reports it; 0 for never.
        is_unhealthy: Whether the instance is unhealthy.
        only_copy: Whether it holds the only copy of needed data, which must be moved first.
    """

    name: str
    zone: str
    kind: str
    duration_s: float
    requested_at: float
    earliest_start: float = 0.0
    deadline: float = 0.0
    urgency: int = 0
    last_out: float = 0.0
    is_unhealthy: bool = False
    only_copy: bool = False


class QueuePosition(NamedTuple):
    """A request in the order, whether it is allowed to start, and the reasons for its position."""

    request: MaintenanceRequest
    is_allowed: bool
    reasons: tuple[str, ...]


def order(
    requests: Sequence[MaintenanceRequest], out: Collection[str], zones_out: dict[str, int], now: float
) -> list[QueuePosition]:
    """Sort the requests; blocked ones come last.

    Args:
        requests: Requests; if one instance has several, only its latest is used.
        out: Instances that hold a permit; their requests are omitted.
        zones_out: Number of permits in use, by zone.
        now: Unix time in seconds.

    >>> asked = [MaintenanceRequest(name, zone, "kernel", 60.0, 5.0, last_out=last) for name, zone, last in (
    ...     ("a", "x", 3.0), ("b", "x", 1.0), ("c", "y", 2.0))]
    >>> [(position.request.name, position.reasons) for position in order(asked, (), {}, 10.0)][:2]
    [('b', ('zone x has 0 before it', 'out longest ago')), ('c', ('zone y has 0 before it', 'out longest ago'))]
    >>> [position.request.name for position in order(asked, (), {"x": 1}, 10.0)]
    ['c', 'b', 'a']
    """
    latest: dict[str, MaintenanceRequest] = {}
    for request in requests:
        if request.name not in out and (request.name not in latest or request.requested_at > latest[request.name].requested_at):
            latest[request.name] = request
    allowed, blocked = [], []
    for request in latest.values():
        why = _blocking_reason(request, now)
        (blocked if why else allowed).append((request, why))
    before = Counter(zones_out)
    positions: list[QueuePosition] = []
    waiting = {request.name: request for request, _ in allowed}
    while waiting:
        chosen = min(
            waiting.values(),
            key=lambda request: (
                _priority_class(request, now),
                before[request.zone],
                request.last_out,
                request.requested_at,
                request.name,
            ),
        )
        del waiting[chosen.name]
        positions.append(QueuePosition(chosen, True, _reasons(chosen, now, before[chosen.zone])))
        before[chosen.zone] += 1
    blocked.sort(key=lambda entry: (entry[0].earliest_start, entry[0].name))
    return positions + [QueuePosition(request, False, (why,)) for request, why in blocked]


def _blocking_reason(request: MaintenanceRequest, now: float) -> str:
    """Return why the request must not start now, or an empty string."""
    if request.only_copy:
        return "holds the only copy of something that is needed"
    if request.urgency < 2 and request.earliest_start and now < request.earliest_start:
        return f"not before {request.earliest_start:.0f}"
    return ""


def _priority_class(request: MaintenanceRequest, now: float) -> int:
    """Return 0 for an emergency, 1 unhealthy, 2 deadline near, 3 urgent, 4 otherwise."""
    if request.urgency >= 2:
        return 0
    if request.is_unhealthy:
        return 1
    return 2 if _is_deadline_near(request, now) else 3 if request.urgency else 4


def _is_deadline_near(request: MaintenanceRequest, now: float) -> bool:
    return request.deadline > 0.0 and request.deadline - now < (1.0 + DEADLINE_MARGIN) * request.duration_s


def _reasons(request: MaintenanceRequest, now: float, before: int) -> tuple[str, ...]:
    what = ("an emergency", "ill", f"has to be back by {request.deadline:.0f}", "urgent", "")[_priority_class(request, now)]
    turn = f"zone {request.zone} has {before} before it"
    return (*((what,) if what else ()), turn, "out longest ago")


def has_spare_capacity(capacity_least: float, demand_most: float, own: float, margin: float) -> bool:
    """Return whether the other instances can carry the load if one more leaves service.

    Args:
        capacity_least: Lower bound of their capacity in requests per second.
        demand_most: Upper bound of the demand.
        own: Capacity of the instance that wants to leave.
        margin: Fraction of the demand to keep free.

    >>> has_spare_capacity(100.0, 70.0, 10.0, 0.2), has_spare_capacity(100.0, 80.0, 10.0, 0.2)
    (True, False)
    """
    return capacity_least - own >= demand_most * (1.0 + margin)


def schedule(
    positions: Sequence[QueuePosition], out: dict[str, tuple[str, float]], most: int, zone_most: int, now: float
) -> dict[str, float]:
    """Estimate when each request would start if nothing fails.

    Args:
        positions: The order.
        out: Zone and expected return time by instance that is out.
        most: Maximum number of instances out at a time.
        zone_most: The same for one zone.
        now: Unix time in seconds.

    Returns:
        Start times in Unix seconds, by instance.

    >>> asked = [MaintenanceRequest(name, "x", "kernel", 60.0, 0.0) for name in "abc"]
    >>> schedule(order(asked, (), {}, 0.0), {}, 3, 1, 0.0)
    {'a': 0.0, 'b': 60.0, 'c': 120.0}
    """
    running = [(back, zone) for zone, back in out.values()]
    start_times: dict[str, float] = {}
    waiting = [position.request for position in positions if position.is_allowed]
    start_time = now
    while waiting and most > 0 and zone_most > 0:
        running = [(back, zone) for back, zone in running if back > start_time]
        zones = Counter(zone for _, zone in running)
        next_request = (
            next((request for request in waiting if zones[request.zone] < zone_most), None) if len(running) < most else None
        )
        if next_request is None:
            start_time = min(back for back, _ in running)
            continue
        waiting.remove(next_request)
        start_times[next_request.name] = start_time
        running.append((start_time + max(0.001, next_request.duration_s), next_request.zone))
    return start_times
