"""Settings of the gossip protocol and their defaults."""

from __future__ import annotations

from typing import NamedTuple


class BudgetBounds(NamedTuple):
    """One fleet-wide total in units per window.

    Each name in `seats` owns an equal share of the total; a name without a seat can only borrow.
    """

    name: str
    total: int  # units that all instances together may use in any window
    seats: tuple[str, ...]  # names that each own an equal share
    window: float = 1.0  # seconds; 0 for units that are occupied and released instead of consumed
    lease: float = 5.0  # seconds for which borrowed units last without a renewal
    drift: float = 0.03  # maximum relative difference between two clock rates: 1% in each direction, plus a margin
    tenant: str = ""  # tenant whose runs are limited: per window, or concurrent runs where the window is 0
    retries: bool = False  # limits retries during a retry storm; without tenant or retries: calls to the shared dependency


class FleetBounds(NamedTuple):
    """Settings of one member. Times are in seconds; the messages per heartbeat do not depend on the number of members."""

    fleet: str  # name of the fleet; datagrams of other fleets are dropped
    listen: tuple[str, int] = ("127.0.0.1", 0)
    advertise: str = ""  # host:port at which peers reach this member; empty: its listen address
    seeds: tuple[str, ...] = ()  # host:port of members to join through
    heartbeat_s: float = 0.1
    status: str = ""  # host:port of the status endpoint that the command line queries
    probes_per_heartbeat: int = 2
    indirect_probe_after_s: float = 0.3  # time without an acknowledgement after which other members are asked to probe
    indirect_probers: int = 3  # number of members asked for an indirect probe
    probe_timeout_s: float = 0.65  # after which the member is suspected
    suspicion_timeout_s: float = 1.95  # after which a suspected member is declared gone
    late_after_s: float = 0.4  # a heartbeat later than this means that this process was paused: its open probes prove nothing
    forget_after_s: float = 600.0  # for which a member declared gone is still contacted occasionally
    budgets: tuple[BudgetBounds, ...] = ()
    report_interval_s: float = 0.3  # between this member's reports
    fresh_for_s: float = 2.0  # older reports count as missing
    request_interval_s: float = 0.7  # between lease requests to the same member
    # Location in the aggregation tree (`docs/design/levels.md`). Without a zone, all members form one group.
    zone: str = ""
    region: str = ""
    groups: int = 1  # number of groups in the zone; a hash of its name assigns each member to one
    beyond: tuple[str, ...] = ()  # host:port of members of other zones and regions; `seeds` are in this member's zone


# Defaults with an aggregation tree: traffic stays below 3 KB/s, and a group detects a dead member within 5 s.
GROUPED_TIMING = {
    "heartbeat_s": 0.25,
    "report_interval_s": 4.0,
    "fresh_for_s": 30.0,
    "request_interval_s": 2.0,
    "suspicion_timeout_s": 2.3,
    "forget_after_s": 7200.0,
}


def with_grouped_timing(bounds: FleetBounds) -> FleetBounds:
    """Return the settings with the defaults for an aggregation tree; values set by the operator are kept."""
    defaults = FleetBounds._field_defaults
    return bounds._replace(**{key: value for key, value in GROUPED_TIMING.items() if getattr(bounds, key) == defaults[key]})
