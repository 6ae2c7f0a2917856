"""Play one history of reducers, gossip, load balancing and maintenance together, and check invariants from outside."""

from __future__ import annotations

import math
from collections import Counter
from typing import NamedTuple

from mulleinhatch.instance.request_state_machine.events import Event
from mulleinhatch.simulation.fault_search.histories import FIRST_FAULT_S, History
from mulleinhatch.simulation.gossip_world import LEAVE_GRACE_S, Node, Plan
from mulleinhatch.simulation.instance_world import InvariantBrokenError
from mulleinhatch.simulation.load_balancing_world import REQUEST_TIMEOUT_S, TARGET_LATENCY_S, LoadBalancingWorld
from mulleinhatch.simulation.maintenance_world import MaintenanceMixin, request_maintenance_of_all
from mulleinhatch.testing import fault_script as faults

VIEWS_AGREE_WITHIN_S = 4.0  # seconds after the last fault within which the views agree
RECOVERY_WITHIN_S = 12.0  # seconds after the last fault; an instance that was unhealthy takes part again after 3 to 10 s
MIN_RECOVERED_FRACTION = 0.9  # of the service before the faults; a lower level after them is a sustained failure
MAINTENANCE_WITHIN_S = 60.0  # seconds after the last fault within which every requested window has begun
SAMPLE_INTERVAL_S = 0.25  # seconds between samples of the states
MAX_PENDING_REQUESTS = 400  # pending requests of one instance


class SearchOutcome(NamedTuple):
    """The first violation of a history, the states it reached, and its service figures."""

    what: str  # the violated invariant; empty if there is none
    states: frozenset[tuple]
    before: float  # fraction served in time before the faults
    worst: float  # the least fraction of any second
    after: float  # the fraction after the recovery
    recovered: float  # seconds from the last fault to the recovery
    handed: int
    maintenance_windows: int


class SearchWorld(MaintenanceMixin, LoadBalancingWorld):
    """A fleet with load, hand-over and maintenance, which samples the states it reaches."""

    def __init__(self, history: History) -> None:
        script = history.script
        self.end = max(FIRST_FAULT_S + 1.0, faults.end_of(faults.read(script, history.instances)))
        last = self.end + RECOVERY_WITHIN_S + 6.0 + (MAINTENANCE_WITHIN_S if history.is_maintenance_requested else 0.0)
        super().__init__(Plan(history.instances, script, until=last, seed=history.seed), history.load)
        self.ready(most=2, voters=3, disks=True, work_duration_s=1.0)
        self.history = history
        self.value_by_second: dict[int, list[float]] = {}  # requested value and value in time, by the second of arrival
        self.states: set[tuple] = set()
        if history.is_maintenance_requested:
            self.at(FIRST_FAULT_S, request_maintenance_of_all, self)
        self.at(FIRST_FAULT_S - 2.0, self._sample_states)

    def go_out_of_service(self, node: Node) -> None:
        """Leave in the order of the real program: notify the reducer, hand over or answer queued requests, then stop."""
        self._reduce(node, Event.SHUTDOWN_REQUESTED, LEAVE_GRACE_S)
        self._send(node, node.core.leave(node.clock(self.now)))
        self.at(self.now + LEAVE_GRACE_S, self._finish_leaving, node, node.incarnations)

    def _finish_leaving(self, node: Node, incarnation: int) -> None:
        if node.incarnations == incarnation and node.core:
            for ref, pending in node.reducer.requests.items():
                if pending.connection_id is not None and not node.stalled:
                    raise InvariantBrokenError(f"at {self.now:.2f} {node.name} stops and leaves {ref} unanswered")
            self._stop(node, incarnation)
            self.at(self.now + self.work_duration_s, self.start, node)

    def _on_response(self, request: object, place: int, what: str, result: object, heeds: bool) -> None:
        was_finished = request.is_finished
        super()._on_response(request, place, what, result, heeds)
        if what == "ack" and not was_finished and self.now - request.born <= TARGET_LATENCY_S:
            self.value_by_second.setdefault(int(request.born), [0.0, 0.0])[1] += request.kind[2]

    def _send_attempt(self, request: object) -> None:
        if request.tries == 0:
            self.value_by_second.setdefault(int(request.born), [0.0, 0.0])[0] += request.kind[2]
        super()._send_attempt(request)

    def _sample_states(self) -> None:
        self.at(self.now + SAMPLE_INTERVAL_S, self._sample_states)
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
            if len(node.reducer.requests) > MAX_PENDING_REQUESTS:
                raise InvariantBrokenError(f"at {self.now:.2f} {node.name} has {len(node.reducer.requests)} pending requests")
            late = (
                [
                    ref
                    for ref, pending in node.reducer.requests.items()
                    if pending.connection_id is not None and pending.deadline < node.clock(self.now) - 0.3
                ]
                if not node.stalled
                else []
            )
            if late and self.now > self.end + REQUEST_TIMEOUT_S:
                raise InvariantBrokenError(f"at {self.now:.2f} {node.name} holds {late[0]} past its deadline")

    def fraction_in_time(self, since: float, until: float) -> float:
        """Return the fraction of the requested value that was served in time between two seconds."""
        seconds = [self.value_by_second.get(second, (0.0, 0.0)) for second in range(int(since), int(until))]
        requested = sum(sums[0] for sums in seconds)
        return sum(sums[1] for sums in seconds) / requested if requested else 1.0


def play(history: History) -> SearchOutcome:
    """Play a history to its end, or to the first violation."""
    world = SearchWorld(history)
    what, recovered = "", math.inf
    try:
        world.play(world.end + VIEWS_AGREE_WITHIN_S)
        agreed = [world.play(world.end + VIEWS_AGREE_WITHIN_S + 0.25 * step).views_agree() for step in range(12)]
        is_maintained = bool(history.is_maintenance_requested)  # views do not agree for long while machines leave
        if not any(agreed) and not is_maintained:
            raise InvariantBrokenError(f"views do not agree {VIEWS_AGREE_WITHIN_S + 3.0:.0f} s after the last fault")
        world.play(world.end + RECOVERY_WITHIN_S + 6.0)
        recovered_from = world.end + RECOVERY_WITHIN_S
        before, after = (
            world.fraction_in_time(FIRST_FAULT_S - 4.0, FIRST_FAULT_S),
            world.fraction_in_time(recovered_from, recovered_from + 4.0),
        )
        dead = sum(node.core is None for node in world.nodes) / len(world.nodes)
        recovered = next(
            (
                float(second)
                for second in range(0, 30)
                if world.fraction_in_time(world.end + second, world.end + second + 2) >= MIN_RECOVERED_FRACTION * before
            ),
            math.inf,
        )
        if after < MIN_RECOVERED_FRACTION * before * (1.0 - 2.0 * dead) and not is_maintained:
            raise InvariantBrokenError(f"service is {after:.2f} after the recovery time, {before:.2f} before the faults")
        if is_maintained:
            survivors = {node.name for node in world.nodes if not _dies_for_good(history, node.place)}
            gone = len(world.nodes) - len(survivors)
            voters = set(world.permits.voters)
            if voters - survivors:
                survivors -= voters  # a voter died for good, so the others must stay in service as the majority
            while world.now < world.end + MAINTENANCE_WITHIN_S and not survivors <= world.maintenance_counts.keys():
                world.play(world.now + 1.0)
            if not survivors <= world.maintenance_counts.keys() and gone < world.most and history.load.load <= 0.6:
                raise InvariantBrokenError(f"{sorted(survivors - world.maintenance_counts.keys())} got no maintenance window")
    except InvariantBrokenError as error:
        what = str(error)
    worst = min(
        (sums[1] / sums[0] for second, sums in world.value_by_second.items() if sums[0] and second >= FIRST_FAULT_S - 2),
        default=1.0,
    )
    return SearchOutcome(
        what,
        frozenset(world.states),
        world.fraction_in_time(FIRST_FAULT_S - 4.0, FIRST_FAULT_S),
        worst,
        world.fraction_in_time(world.end + RECOVERY_WITHIN_S, world.end + RECOVERY_WITHIN_S + 4),
        recovered,
        world.handed["to offers"] + world.handed["to guesses"],
        sum(world.maintenance_counts.values()),
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
