"""Simulated instances at scale: topology, start-up configuration, reported figures, and the faults they encounter.

A simulated instance runs the real protocol code (gossip; load balancing and maintenance as configured), which exchanges real
datagrams as bytes, without clients and interpreter. `scale_world.py` plays many of them in virtual time,
`scale_shards.py` in several processes.

Places are numbered so that each zone, region and rack is a range. Scripts are those of `testing/fault_script.py`, in
which a list of places may also name `zone3`, `region0`, `rack17`, with one more command:

    at 4 replace 3,9 for 2                # they stop; after 2 s others start there with new names and addresses
"""

from __future__ import annotations

import random
import re
from typing import NamedTuple

from mulleinhatch.instance.gossip.bounds import BudgetBounds, FleetBounds
from mulleinhatch.instance.gossip.core import LocalState
from mulleinhatch.testing import fault_script as faults

LINK_DELAYS_S = (
    (0.004, 0.006),
    (0.005, 0.008),
    (0.030, 0.045),
)  # seconds with both event loops: within a zone, within a region, between regions
LOOKAHEAD_S = min(low for low, _ in LINK_DELAYS_S)  # no datagram arrives sooner, so a process may run this far ahead
HEADER_BYTES = 28  # UDP and IP headers of a datagram
RACK = 40  # instances per rack
FIRST_PORT = 7300  # port of the first instance at a place; each replacement uses the next one
REQUESTS_PER_S = 275.0  # reported by each instance, so that reports have a realistic length
TENANT_COUNT = 250_000
FLAT_HEARTBEAT_S, LEVELS_HEARTBEAT_S = 0.1, 0.25
PLACE_RANGE_NAME = re.compile(r"\b(zone|region|rack)(\d+)\b")


class Plan(NamedTuple):
    """The parameters of a simulated fleet; times are seconds of virtual time."""

    members: int = 225
    regions: int = 3
    zones: int = 3  # of each region
    levels: bool = False  # zones, regions and groups are configured; otherwise one flat fleet
    group_size: int = 25  # with levels: approximate members of a group
    heartbeat_s: float = 0.0  # 0: the default of the topology
    script: str = ""
    seed: int = 1
    start_within: float = 0.1  # all instances start within this time
    introduced: bool = False  # without levels: each instance knows all others from the start, by messages that are not counted
    busy: bool = True  # report the figures of an instance that serves 275 requests per second; otherwise zeros
    spread: bool = False
    maintenance_voters: int = 0  # 0: no maintenance windows
    budgets: tuple[tuple[str, int, float], ...] = ()  # name, total, window
    demand: float = 1.0  # requested units relative to the even share
    watched: int = 1  # members of each zone whose sums are sampled every quarter of a second


class InvalidPlanError(ValueError):
    """The plan is inconsistent; the text says how."""


def knows_levels() -> bool:
    """Return whether this version of the gossip package has zones."""
    return "zone" in FleetBounds._fields


class Topology:
    """Topology, names and addresses, derived from the plan alone and so the same in each process.

    >>> topology = Topology(Plan(members=90))
    >>> topology.zone[35], topology.region[35], topology.places_of("zone3"), topology.translated("at 1 kill zone3,5")
    (3, 1, (30, 39), 'at 1 kill 30-39,5')
    >>> topology.address(35, 0), topology.place_named("r1/z3/n35x2")
    ('10.0.0.35:7300', 35)
    """

    def __init__(self, plan: Plan) -> None:
        zones = plan.regions * plan.zones
        if plan.members < 2 or zones < 1 or plan.members % zones and plan.levels:
            raise InvalidPlanError(f"{plan.members} members do not fit evenly into {zones} zones")
        if plan.group_size < 2:
            raise InvalidPlanError("a group needs at least two members")
        if plan.levels and not knows_levels():
            raise InvalidPlanError("levels are not supported: FleetBounds has no zone")
        self.plan = plan
        self.zone = [place * zones // plan.members for place in range(plan.members)]
        self.region = [zone // plan.zones for zone in self.zone]
        self.firsts = [self.zone.index(zone) if zone in self.zone else 0 for zone in range(zones)]
        self.groups = max(1, -(-(plan.members // zones) // plan.group_size)) if plan.levels else 1

    @staticmethod
    def name(place: int, generation: int) -> str:
        """Return the name of the `generation`-th instance at a place."""
        return f"n{place}x{generation}" if generation else f"n{place}"

    @staticmethod
    def address(place: int, generation: int) -> str:
        """Return the address of the `generation`-th instance at a place."""
        return f"10.{place >> 16}.{place >> 8 & 255}.{place & 255}:{FIRST_PORT + generation}"

    @staticmethod
    def place_named(name: str) -> int:
        """Return the place of an instance's name."""
        return int(name.rpartition("/")[2][1:].partition("x")[0])

    def places_of(self, kind: str) -> tuple[int, int]:
        """Return the first and last place of `zone3`, `region0` or `rack17`."""
        what, number = PLACE_RANGE_NAME.fullmatch(kind).groups()
        if what == "rack":
            return int(number) * RACK, min(int(number) * RACK + RACK, self.plan.members) - 1
        where = self.zone if what == "zone" else self.region
        if int(number) not in where:
            raise InvalidPlanError(f"{kind} does not exist")
        return where.index(int(number)), len(where) - 1 - where[::-1].index(int(number))

    def translated(self, script: str) -> str:
        """Replace zones, regions and racks in a script by ranges of places."""
        return PLACE_RANGE_NAME.sub(lambda found: "{}-{}".format(*self.places_of(found[0])), script)

    def faults(self, script: str) -> list[faults.Fault]:
        """Parse a script.

        Raises:
            FaultScriptError: A line is not a valid fault.
            InvalidPlanError: A zone, region or rack does not exist.
        """
        return faults.read(self.translated(script), self.plan.members)

    def link(self, sender: int, to: int) -> tuple[float, float]:
        """Return the shortest and the longest delay between two places, in seconds."""
        return LINK_DELAYS_S[0 if self.zone[sender] == self.zone[to] else 1 if self.region[sender] == self.region[to] else 2]

    def path(self, place: int) -> str:
        """Return the name of a place with its region and zone."""
        return f"r{self.region[place]}/z{self.zone[place]}/n{place}"

    def seats(self) -> tuple[str, ...]:
        """Return the names of all places, as budgets list them."""
        return tuple(self.path(place) if self.plan.levels else f"n{place}" for place in range(self.plan.members))

    def bounds(self) -> list[FleetBounds]:
        """Return the gossip settings, by zone."""
        plan = self.plan
        seats = self.seats() if plan.budgets else ()
        budgets = tuple(BudgetBounds(name, total, seats, window) for name, total, window in plan.budgets)
        common_bounds = FleetBounds(
            "hollow", heartbeat_s=plan.heartbeat_s or (LEVELS_HEARTBEAT_S if plan.levels else FLAT_HEARTBEAT_S), budgets=budgets
        )
        if not plan.levels:
            seeds = tuple(self.address(place, 0) for place in (0, 1, plan.members // 2))
            return [common_bounds._replace(seeds=seeds)] * len(self.firsts)
        bounds_by_zone = []
        for zone, first in enumerate(self.firsts):
            size = plan.members // len(self.firsts)
            seeds = tuple(self.address(first + place, 0) for place in sorted({0, 1, size // 2}))
            beyond = tuple(self.address(other + index, 0) for index in (0, 1) for other in self.firsts if other != first)
            bounds_by_zone.append(
                common_bounds._replace(
                    seeds=seeds, zone=f"z{zone}", region=f"r{zone // plan.zones}", groups=self.groups, beyond=beyond
                )
            )
        return bounds_by_zone

    def watched(self) -> list[int]:
        """Return the places whose sums are sampled; seeds (the first of a zone) are left out."""
        size = self.plan.members // len(self.firsts)
        return sorted({first + min(size - 1, size // 3 + index) for first in self.firsts for index in range(self.plan.watched)})


class ReportedFigures:
    """The figures that a simulated instance reports, like an instance that serves requests at `REQUESTS_PER_S`."""

    def __init__(self, plan: Plan, draw: random.Random) -> None:
        self.busy = plan.busy
        self.rate = REQUESTS_PER_S * draw.uniform(0.7, 1.3)
        self.heavy_hitters = (
            [
                (f"tenant-{draw.randrange(TENANT_COUNT)}", round(8.0 / (1 + index) * draw.uniform(0.7, 1.3), 2))
                for index in range(4)
            ]
            if plan.busy
            else []
        )

    def local(self, age: float, demands: tuple[float, ...]) -> LocalState:
        """Return the figures `age` seconds after the start."""
        if not self.busy:
            return LocalState(demands=demands)
        requests = self.rate * age
        figures = [
            int(requests),
            int(0.01 * requests),
            int(0.98 * requests),
            int(0.015 * requests),
            12,
            40,
            300,
            1,
            int(0.001 * requests),
            8,
            48,
            100,
            1000,
            100,
            850,
        ]
        return LocalState(figures, demands, self.heavy_hitters)


# Fault scripts.


def churn(
    draw: random.Random,
    members: int,
    per_day: float,
    start: float,
    length: float,
    replaced: float = 0.3,
    mean_down_s: float = 5.0,
) -> str:
    """Draw restarts and replacements at a daily rate, each place at most once; `mean_down_s` is the mean downtime."""
    count = round(per_day * length / 86_400.0)
    chosen = draw.sample(range(members), min(members, count))
    return "\n".join(
        f"at {start + draw.uniform(0.0, length):.3f} {'replace' if draw.random() < replaced else 'kill'} {place} "
        f"for {mean_down_s * draw.uniform(0.5, 1.5):.3f}"
        for place in chosen
    )


def restart_all(draw: random.Random, members: int, start: float, length: float, away: float = 1.0) -> str:
    """Return a script that restarts every place once within `length` seconds."""
    return "\n".join(f"at {start + draw.uniform(0.0, length):.3f} kill {place} for {away:g}" for place in range(members))


def listed(places: list[int]) -> str:
    """Format places as ranges.

    >>> listed([4, 1, 2, 3, 9])
    '1-4,9'
    """
    runs: list[list[int]] = []
    for place in sorted(places):
        if runs and place == runs[-1][1] + 1:
            runs[-1][1] = place
        else:
            runs.append([place, place])
    return ",".join(f"{first}-{last}" if last > first else f"{first}" for first, last in runs)


def draw_fault_script(draw: random.Random, topology: Topology, speakers: list[int], start: float, length: float) -> str:
    """Draw a fault script for a hierarchical fleet; all faults end by `start + length`.

    Group speakers die, stall or are cut off from their zone, links fail in one direction, regions are separated,
    datagrams are lost.

    Args:
        draw: Source of random numbers.
        topology: The topology.
        speakers: The current group speakers (`World.speakers`); if empty, random places.
        start: When faults may begin.
        length: Seconds until all faults have ended.
    """
    members, lines = topology.plan.members, []
    speakers = speakers or sorted(draw.sample(range(members), min(members, 9)))
    for _ in range(draw.randint(2, 5)):
        at = start + draw.uniform(0.0, 0.5 * length)
        last = draw.uniform(0.1, 0.5) * length
        kind = draw.choice(("die", "stall", "pair", "alone", "deaf", "cut", "zone", "lossy", "rack"))
        one = draw.choice(speakers)
        if kind == "die":
            lines.append(f"at {at:.2f} kill {one} for {last:.2f}")
        elif kind == "stall":
            lines.append(f"at {at:.2f} stall {listed(draw.sample(speakers, min(3, len(speakers))))} for {last:.2f}")
        elif kind == "pair":  # the speaker resumes after another took over, so both are speakers for a moment
            lines += [f"at {at + fraction * last:.2f} stall {one} for {0.4 * last:.2f}" for fraction in (0.0, 0.6)]
        elif kind == "alone":  # the speaker is connected to other zones but not to its own
            others = [place for place in range(members) if topology.zone[place] == topology.zone[one] and place != one]
            lines.append(f"at {at:.2f} cut {one} from {listed(others)} for {last:.2f}")
        elif kind in ("deaf", "cut"):
            first, second = draw.sample(range(max(2, topology.plan.regions)), 2)
            if topology.plan.regions > 1:
                preposition = "to" if kind == "deaf" else "from"
                lines.append(f"at {at:.2f} {kind} region{first} {preposition} region{second} for {last:.2f}")
        elif kind == "zone":
            lines.append(f"at {at:.2f} kill zone{draw.randrange(len(topology.firsts))} for {last:.2f}")
        elif kind == "rack":
            first = draw.randrange(members)
            lines.append(f"at {at:.2f} kill {listed(list(range(first, min(members, first + 5))))} for {last:.2f}")
        else:
            lines.append(f"at {at:.2f} lossy all {draw.uniform(0.02, 0.2):.2f} for {last:.2f}")
    return "\n".join(lines)
