"""Settings of the gossip protocol, with the values that hold where the operator's file sets none."""

from __future__ import annotations

from typing import NamedTuple


class BudgetBounds(NamedTuple):
    """One total for all instances together, in units per window.

    Each name in `seats` owns an even share of the total; a name without a seat can only borrow.
    """

    name: str
    total: int  # units that all instances together may use in any window
    seats: tuple[str, ...]  # names that own an even share each
    window: float = 1.0  # seconds; 0 for units that are occupied and freed instead of used up
    lease: float = 5.0  # seconds that borrowed units last without a renewal
    drift: float = 0.03  # largest difference between two clocks' rates as a fraction: 1% each way, plus a margin
    tenant: str = ""  # tenant whose runs are limited: per window, or concurrent runs where the window is 0
    retries: bool = False  # limits retries during a retry storm; without tenant or retries: calls to the shared dependency


class FleetBounds(NamedTuple):
    """Settings of one member. Times are in seconds; the messages per heartbeat do not depend on the number of members."""

    fleet: str  # name of the fleet: datagrams of others are dropped
    listen: tuple[str, int] = ("127.0.0.1", 0)
    advertise: str = ""  # host:port under which peers reach this member; empty: the address that it listens on
    seeds: tuple[str, ...] = ()  # host:port of members to join through
    heartbeat_s: float = 0.1
    status: str = ""  # host:port that the command line asks
    probes_per_heartbeat: int = 2
    indirect_probe_after_s: float = 0.3  # without an acknowledgement, other members are asked to probe
    indirect_probers: int = 3  # how many other members are asked
    probe_timeout_s: float = 0.65  # then the member is suspected
    suspicion_timeout_s: float = 1.95  # then a suspected member is declared gone
    late_after_s: float = 0.4  # a heartbeat delayed by more than this was paused itself, so its open probes prove nothing
    forget_after_s: float = 600.0  # how long a member that is gone is still contacted now and then
    budgets: tuple[BudgetBounds, ...] = ()
    report_interval_s: float = 0.3  # between reports of this member's own figures
    fresh_for_s: float = 2.0  # older reports count as missing
    request_interval_s: float = 0.7  # between lease requests to the same member
    # Position in the aggregation tree (`docs/design/levels.md`). Without a zone all members form one group.
    zone: str = ""
    region: str = ""
    groups: int = 1  # groups of the zone; a hash of the name assigns a member to one
    beyond: tuple[str, ...] = ()  # host:port of members of other zones and regions; `seeds` belong to the own zone


# Defaults with an aggregation tree: traffic stays below 3 KB/s, and a group knows of a dead member within 5 s.
GROUPED_TIMING = {
    "heartbeat_s": 0.25,
    "report_interval_s": 4.0,
    "fresh_for_s": 30.0,
    "request_interval_s": 2.0,
    "suspicion_timeout_s": 2.3,
    "forget_after_s": 7200.0,
}


def with_grouped_timing(bounds: FleetBounds) -> FleetBounds:
    """Return the settings with the defaults for an aggregation tree; values that an operator set are kept."""
    defaults = FleetBounds._field_defaults
    return bounds._replace(**{key: value for key, value in GROUPED_TIMING.items() if getattr(bounds, key) == defaults[key]})
