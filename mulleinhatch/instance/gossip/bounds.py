"""The bounds that an operator sets for the fleet, with what holds where none is set."""

from __future__ import annotations

from typing import NamedTuple


class BudgetBounds(NamedTuple):
    """One total for the whole fleet, in units a window; `seats` names share it evenly, a name without a seat borrows."""

    name: str
    total: int  # units that all instances together may use in any window
    seats: tuple[str, ...]  # the names that own an even part each
    window: float = 1.0  # seconds; 0 for what is held, not used up
    lease: float = 5.0  # seconds that a borrowed part lasts without a word of its giver
    drift: float = 0.03  # by which clocks may run apart, as a share: 1% each, with room
    tenant: str = ""  # whose runs it bounds, in a window, or in hand where that is 0
    retries: bool = False  # heard in a storm; neither: calls in hand at the shared dependency


class FleetBounds(NamedTuple):
    """Times are seconds; what is sent a beat does not depend on the fleet's size."""

    fleet: str  # its name: datagrams of others are dropped
    listen: tuple[str, int] = ("127.0.0.1", 0)
    advertise: str = ""  # host:port that the others are told; else what is listened on
    seeds: tuple[str, ...] = ()  # host:port of some members, to join by
    beat: float = 0.1
    status: str = ""  # host:port where the command line asks
    probes: int = 2  # members asked a beat
    probe_wait: float = 0.3  # until others are asked to ask for us
    helpers: int = 3  # as many
    probe_fails: float = 0.65  # until it is suspected
    suspect_for: float = 1.95  # until a suspected one is gone
    late: float = 0.4  # a beat that comes so late is our own trouble
    forget: float = 600.0  # how long one that is gone is still asked now and then
    budgets: tuple[BudgetBounds, ...] = ()
    report_every: float = 0.3  # between reports of our own figures
    fresh: float = 2.0  # an older report is of a silent member
    ask_every: float = 0.7  # between asks for a part of the same giver
    # In levels (`docs/design/levels.md`): where this member stands. Without a zone all are one group.
    zone: str = ""
    region: str = ""
    groups: int = 1  # of the zone; a member's is a hash of its name
    beyond: tuple[str, ...] = ()  # host:port of some members of other zones and regions; `seeds` are the zone's own


# What the times are in levels: within 3 KB a second, and a dead member known to its group within 5 s.
IN_LEVELS = {"beat": 0.25, "report_every": 4.0, "fresh": 30.0, "ask_every": 2.0, "suspect_for": 2.3, "forget": 7200.0}


def levelled(bounds: FleetBounds) -> FleetBounds:
    """The times that hold in levels in place of the usual ones; what an operator set stays."""
    usual = FleetBounds._field_defaults
    return bounds._replace(**{key: value for key, value in IN_LEVELS.items() if getattr(bounds, key) == usual[key]})
