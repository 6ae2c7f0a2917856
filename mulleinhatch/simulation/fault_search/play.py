"""Play one history: reducers, gossip, load-balancing and maintenance cores together, with invariants checked from outside."""

from __future__ import annotations

import math
from collections import Counter
from typing import NamedTuple

from mulleinhatch.instance.request_state_machine.events import Event
from mulleinhatch.simulation.fault_search.histories import FIRST, History
from mulleinhatch.simulation.gossip_world import LEAVE_GRACE_S, Node, Plan
from mulleinhatch.simulation.instance_world import InvariantBrokenError
from mulleinhatch.simulation.load_balancing_world import REQUEST_TIMEOUT_S, TARGET_LATENCY_S, LoadBalancingWorld
from mulleinhatch.simulation.maintenance_world import MaintenanceMixin, request_maintenance_of_all
from mulleinhatch.testing import fault_script as faults

AGREE_WITHIN = 4.0  # seconds after the last fault until views are one
RECOVERS_WITHIN = 12.0  # seconds after it until service is back: who was ill asks for trade again after 3 to 10 s
BACK = 0.9  # of the service before the faults: under it, with no cause left, it is down by itself
MAINTENANCE_WITHIN_S = 60.0  # seconds after the last fault until all that were asked have been out
LOOK = 0.25  # seconds between looks at states
MAX_OWED = 400  # requests that one instance may owe answers at a time


class SearchOutcome(NamedTuple):
    """The first violation of a history, the states it reached, and its service figures."""

    what: str  # empty: all held
    states: frozenset[tuple]
    before: float  # share in time before the faults
    worst: float  # of any second
    after: float  # once recovered
    recovered: float  # seconds after the last fault
    handed: int
    maintenance_windows: int


class SearchWorld(MaintenanceMixin, LoadBalancingWorld):
    """A fleet with load, hand-over and maintenance, which samples the states it reaches."""

    def __init__(self, history: History) -> None:
        script = history.script
        self.end = max(FIRST + 1.0, faults.end_of(faults.read(script, history.instances)))
        last = self.end + RECOVERS_WITHIN + 6.0 + (MAINTENANCE_WITHIN_S if history.is_maintenance_requested else 0.0)
        super().__init__(Plan(history.instances, script, until=last, seed=history.seed), history.load)
        self.ready(most=2, voters=3, disks=True, works=1.0)
        self.history = history
        self.by_second: dict[int, list[float]] = {}  # asked, in time, by the second in which a request was born
        self.states: set[tuple] = set()
        if history.is_maintenance_requested:
            self.at(FIRST, request_maintenance_of_all, self)
        self.at(FIRST - 2.0, self._see)

    def go_out_of_service(self, node: Node) -> None:
        """Leave in the program's order: notify the reducer, hand over or answer queued requests, then stop."""
        self._reduce(node, Event.SHUTDOWN_REQUESTED, LEAVE_GRACE_S)
        self._send(node, node.core.leave(node.clock(self.now)))
        self.at(self.now + LEAVE_GRACE_S, self._works_on, node, node.incarnations)

    def _works_on(self, node: Node, incarnation: int) -> None:
        if node.incarnations == incarnation and node.core:
            for ref, owed in node.reducer.requests.items():
                if owed.connection_id is not None and not node.stalled:
                    raise InvariantBrokenError(f"at {self.now:.2f} {node.name} ends and owes {ref} an answer")
            self._stop(node, incarnation)
            self.at(self.now + self.works, self.start, node)

    def _on_response(self, request: object, place: int, what: str, result: object, heeds: bool) -> None:
        was_finished = request.is_finished
        super()._on_response(request, place, what, result, heeds)
        if what == "ack" and not was_finished and self.now - request.born <= TARGET_LATENCY_S:
            self.by_second.setdefault(int(request.born), [0.0, 0.0])[1] += request.kind[2]

    def _send_attempt(self, request: object) -> None:
        if request.tries == 0:
            self.by_second.setdefault(int(request.born), [0.0, 0.0])[0] += request.kind[2]
        super()._send_attempt(request)

    def _see(self) -> None:
        self.at(self.now + LOOK, self._see)
        for node in self.nodes:
            if node.core is None:
                continue
            members = Counter(member.state for member in node.core.members.view.values())
            self.states.add(
                (
                    node.stalled,
                    node.core.members.frozen,
                    min(2, members[1]),
                    min(2, members[2]),
                    min(1, members[3]),
                    node.spread.suspension_reason(),
                    self.cores[node.name].state.value,
                    node.reducer.healthy,
                    bool(node.reducer.handed_over_count),
                    node.reducer.stop_at is not None,
                    bool(node.core.ejected),
                )
            )
            if len(node.reducer.requests) > MAX_OWED:
                raise InvariantBrokenError(f"at {self.now:.2f} {node.name} owes {len(node.reducer.requests)} ops")
            late = (
                [
                    ref
                    for ref, owed in node.reducer.requests.items()
                    if owed.connection_id is not None and owed.deadline < node.clock(self.now) - 0.3
                ]
                if not node.stalled
                else []
            )
            if late and self.now > self.end + REQUEST_TIMEOUT_S:
                raise InvariantBrokenError(f"at {self.now:.2f} {node.name} owes {late[0]} past its time")

    def share(self, since: float, until: float) -> float:
        """Return the share of requested value that was served in time between two seconds."""
        seconds = [self.by_second.get(second, (0.0, 0.0)) for second in range(int(since), int(until))]
        asked = sum(sums[0] for sums in seconds)
        return sum(sums[1] for sums in seconds) / asked if asked else 1.0


def play(history: History) -> SearchOutcome:
    """Play a history to its end, or to the first violation."""
    world = SearchWorld(history)
    what, recovered = "", math.inf
    try:
        world.play(world.end + AGREE_WITHIN)
        agreed = [world.play(world.end + AGREE_WITHIN + 0.25 * look).views_agree() for look in range(12)]
        going = bool(history.is_maintenance_requested)  # while some go and come back views are never one for long
        if not any(agreed) and not going:
            raise InvariantBrokenError(f"views are not one {AGREE_WITHIN + 3.0:.0f} s after the last fault")
        world.play(world.end + RECOVERS_WITHIN + 6.0)
        quiet = world.end + RECOVERS_WITHIN
        before, after = world.share(FIRST - 4.0, FIRST), world.share(quiet, quiet + 4.0)
        dead = sum(node.core is None for node in world.nodes) / len(world.nodes)
        recovered = next(
            (
                float(second)
                for second in range(0, 30)
                if world.share(world.end + second, world.end + second + 2) >= BACK * before
            ),
            math.inf,
        )
        if after < BACK * before * (1.0 - 2.0 * dead) and not going:
            raise InvariantBrokenError(f"service is {after:.2f} long after the last fault, {before:.2f} before")
        if going:
            survivors = {node.name for node in world.nodes if not _dies_for_good(history, node.place)}
            gone = len(world.nodes) - len(survivors)
            voters = set(world.permits.voters)
            if voters - survivors:
                survivors -= voters  # with one dead for good the others stay: a majority of the voters must
            while world.now < world.end + MAINTENANCE_WITHIN_S and not survivors <= world.been.keys():
                world.play(world.now + 1.0)
            if not survivors <= world.been.keys() and gone < world.most and history.load.load <= 0.6:
                raise InvariantBrokenError(f"{sorted(survivors - world.been.keys())} were asked and never went out")
    except InvariantBrokenError as error:
        what = str(error)
    worst = min((sums[1] / sums[0] for second, sums in world.by_second.items() if sums[0] and second >= FIRST - 2), default=1.0)
    return SearchOutcome(
        what,
        frozenset(world.states),
        world.share(FIRST - 4.0, FIRST),
        worst,
        world.share(world.end + RECOVERS_WITHIN, world.end + RECOVERS_WITHIN + 4),
        recovered,
        world.handed["to offers"] + world.handed["to guesses"],
        sum(world.been.values()),
    )


def _dies_for_good(history: History, place: int) -> bool:
    last: dict[int, str] = {}
    for fault in faults.read(history.script, history.instances):
        for one in fault.places:
            if fault.what in ("kill", "start", "leave"):
                last[one] = fault.what
    return last.get(place) in ("kill", "leave")


def violation_kind(what: str) -> str:
    """Return the violation's text without figures and names, which shrinking must preserve."""
    return " ".join(word for word in what.split() if word.isalpha())
