"""Check the quotas of a soak: the units of each tenant that reached backends in every sliding window. Pure functions."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from benchmarks.soak_parts.bounds import SoakBounds
from benchmarks.soak_parts.history import History
from benchmarks.soak_parts.records import Observations

PUBLIC_ROUTE = "open"


@dataclass(frozen=True)
class Arrival:
    """Units of one run at a backend."""

    at: float
    units: float


@dataclass(frozen=True)
class LimitPeriod:
    """A limit and when it may be in force; the highest limit that may be in force in a window applies to it.

    Attributes:
        allowed: Units that this limit allows in one window; infinite without a limit.
        begins_at: When it was sent.
        ends_at: When a later limit is in force at every data plane.
    """

    allowed: float
    begins_at: float
    ends_at: float


@dataclass(frozen=True)
class FullestWindow:
    """The window with the highest use of its allowed units."""

    begin: float
    units: float
    allowed: float

    @property
    def fill(self) -> float:
        """Return the fraction of the allowed units that was used."""
        return self.units / self.allowed


def arrivals_by_tenant(observations: Observations) -> dict[str, list[Arrival]]:
    """Return the runs of each tenant in order of time; the tenant is the owner of the key that the client sent.

    On a public route, where no key is needed, a run counts only if it reached the backend with the tenant's name.
    """
    history = History(observations, SoakBounds())
    requests = {request.id: request for request in observations.requests}
    by_tenant: dict[str, list[Arrival]] = {}
    for run in sorted(observations.runs, key=lambda one: one.at):
        request = requests.get(run.id)
        name = history.owner(request.key) if request is not None else ""
        if name and (request.route != PUBLIC_ROUTE or run.values(b"tenant") == [name.encode()]):
            by_tenant.setdefault(name, []).append(Arrival(run.at, request.tokens))
    return by_tenant


def limit_periods(observations: Observations, bounds: SoakBounds, tenant: str) -> list[LimitPeriod]:
    """Return the limits of a tenant and the periods in which each may have been in force."""
    history = History(observations, bounds)
    end = max((run.at for run in observations.runs), default=0.0) + 1.0
    periods, ends_at = [], math.inf
    for version in reversed(observations.versions):
        rate, burst = version.limits.get(tenant, (0, 0))
        allowed = bounds.allowed_units(rate, burst) if rate else (math.inf if tenant in version.limits else 0.0)
        periods.append(LimitPeriod(allowed, version.sent_at, ends_at))
        if version.acknowledged_at < math.inf:
            ends_at = min(ends_at, history.binding_from(version, end))
    return periods[::-1]


def fullest_window(arrivals: list[Arrival], periods: list[LimitPeriod], window_s: float) -> FullestWindow | None:
    """Return the fullest of the windows that begin at an arrival, or None without a limit.

    A lower limit applies to windows that begin after every data plane must have applied it.

    >>> fullest_window([Arrival(0.0, 5), Arrival(9.0, 5), Arrival(9.5, 6)], [LimitPeriod(10, 0.0, math.inf)], 8.0)
    FullestWindow(begin=9.0, units=11.0, allowed=10)
    """
    fullest, last, units = None, 0, 0.0
    for first, arrival in enumerate(arrivals):
        while last < len(arrivals) and arrivals[last].at < arrival.at + window_s:
            units += arrivals[last].units
            last += 1
        allowed = [one.allowed for one in periods if one.begins_at <= arrival.at + window_s and one.ends_at > arrival.at]
        window = FullestWindow(arrival.at, units, max(allowed, default=math.inf))
        if 0 < window.allowed < math.inf and (fullest is None or window.fill > fullest.fill):
            fullest = window
        units -= arrivals[first].units
    return fullest


def fullest_windows(observations: Observations, bounds: SoakBounds) -> Mapping[str, FullestWindow]:
    """Return the fullest window of each tenant that has a limit."""
    windows = {
        name: fullest_window(arrivals, limit_periods(observations, bounds, name), bounds.quota_window_s)
        for name, arrivals in arrivals_by_tenant(observations).items()
    }
    return {name: window for name, window in windows.items() if window is not None}


def check_quotas(observations: Observations, bounds: SoakBounds) -> list[str]:
    """Return a line for each tenant that exceeded the allowed units of a window."""
    return [
        f"{name}: {window.units:.0f} units in the window from {window.begin:.2f} s, {window.allowed:.0f} allowed"
        for name, window in fullest_windows(observations, bounds).items()
        if window.fill > 1.0
    ]
