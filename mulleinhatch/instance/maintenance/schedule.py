"""Who goes when: a pure function of requests, who is out, zones and time, the same at whoever computes it.

The order: emergencies; then the ill before the well; then who would miss its latest time; then by turns over the zones, whoever
was out longest ago first. Each place carries its reasons. What is not allowed at all (too early, postponed, the only copy of
something) stands behind, with why.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Sequence
from typing import NamedTuple

DEADLINE_MARGIN = 2.0  # times its own length: with less left than that before its latest time it goes before others


class Request(NamedTuple):
    """Times are Unix seconds; `last_out` is the asker's own word, 0 for never."""

    name: str
    zone: str
    kind: str  # kernel, disk, release, ill, memory: for people, and for freezing a kind
    seconds: float  # how long it will be out
    asked: float
    wished: float = 0.0  # not before
    latest: float = 0.0  # at the latest; 0: any time
    urgency: int = 0  # 2: an emergency
    last_out: float = 0.0
    ill: bool = False
    only_copy: bool = False  # of something that is needed: moved first


class QueuePosition(NamedTuple):
    request: Request
    is_allowed: bool
    reasons: tuple[str, ...]


def order(requests: Sequence[Request], out: Collection[str], zones_out: dict[str, int], now: float) -> list[QueuePosition]:
    """
    >>> asked = [Request(name, zone, "kernel", 60.0, 5.0, last_out=last) for name, zone, last in (
    ...     ("a", "x", 3.0), ("b", "x", 1.0), ("c", "y", 2.0))]
    >>> [(place.request.name, place.reasons) for place in order(asked, (), {}, 10.0)][:2]
    [('b', ('zone x has 0 before it', 'out longest ago')), ('c', ('zone y has 0 before it', 'out longest ago'))]
    >>> [place.request.name for place in order(asked, (), {"x": 1}, 10.0)]
    ['c', 'b', 'a']
    """
    latest: dict[str, Request] = {}
    for request in requests:
        if request.name not in out and (request.name not in latest or request.asked > latest[request.name].asked):
            latest[request.name] = request
    able, behind = [], []
    for request in latest.values():
        why = _blocking_reason(request, now)
        (behind if why else able).append((request, why))
    before = Counter(zones_out)
    places: list[QueuePosition] = []
    waiting = {request.name: request for request, _ in able}
    while waiting:
        chosen = min(
            waiting.values(),
            key=lambda request: (
                _priority_class(request, now),
                before[request.zone],
                request.last_out,
                request.asked,
                request.name,
            ),
        )
        del waiting[chosen.name]
        places.append(QueuePosition(chosen, True, _reasons(chosen, now, before[chosen.zone])))
        before[chosen.zone] += 1
    behind.sort(key=lambda told: (told[0].wished, told[0].name))
    return places + [QueuePosition(request, False, (why,)) for request, why in behind]


def _blocking_reason(request: Request, now: float) -> str:
    if request.only_copy:
        return "holds the only copy of something that is needed"
    if request.urgency < 2 and request.wished and now < request.wished:
        return f"not before {request.wished:.0f}"
    return ""


def _priority_class(request: Request, now: float) -> int:
    if request.urgency >= 2:
        return 0
    if request.ill:
        return 1
    return 2 if _is_deadline_near(request, now) else 3 if request.urgency else 4


def _is_deadline_near(request: Request, now: float) -> bool:
    return request.latest > 0.0 and request.latest - now < (1.0 + DEADLINE_MARGIN) * request.seconds


def _reasons(request: Request, now: float, before: int) -> tuple[str, ...]:
    what = ("an emergency", "ill", f"has to be back by {request.latest:.0f}", "urgent", "")[_priority_class(request, now)]
    turn = f"zone {request.zone} has {before} before it"
    return (*((what,) if what else ()), turn, "out longest ago")


def has_spare_capacity(capacity_least: float, demand_most: float, own: float, margin: float) -> bool:
    """Whether the rest can bear the load without one more: by the poor ends of what is known.

    >>> has_spare_capacity(100.0, 70.0, 10.0, 0.2), has_spare_capacity(100.0, 80.0, 10.0, 0.2)
    (True, False)
    """
    return capacity_least - own >= demand_most * (1.0 + margin)


def schedule(
    places: Sequence[QueuePosition], out: dict[str, tuple[str, float]], most: int, zone_most: int, now: float
) -> dict[str, float]:
    """When each would go if nothing goes wrong: by name, Unix seconds. `out`: zone and when it will be back, by name.

    >>> asked = [Request(name, "x", "kernel", 60.0, 0.0) for name in "abc"]
    >>> schedule(order(asked, (), {}, 0.0), {}, 3, 1, 0.0)
    {'a': 0.0, 'b': 60.0, 'c': 120.0}
    """
    running = [(back, zone) for zone, back in out.values()]
    told: dict[str, float] = {}
    waiting = [place.request for place in places if place.is_allowed]
    moment = now
    while waiting and most > 0 and zone_most > 0:
        running = [(back, zone) for back, zone in running if back > moment]
        zones = Counter(zone for _, zone in running)
        goes = next((request for request in waiting if zones[request.zone] < zone_most), None) if len(running) < most else None
        if goes is None:
            moment = min(back for back, _ in running)
            continue
        waiting.remove(goes)
        told[goes.name] = moment
        running.append((moment + max(0.001, goes.seconds), goes.zone))
    return told
