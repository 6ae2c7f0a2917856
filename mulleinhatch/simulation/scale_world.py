"""Many simulated instances in virtual time: one shard of a world, run by one process; `scale_shards.py` combines several.

One seed gives one history for any number of shards: each instance has its own random source, and simultaneous events are
ordered by (time, sender, sequence). Figures are measured from outside: the script, not the instances, tells which places run.
Bytes and datagrams are counted by instance and second, with 28 bytes of headers each; CPU is the thread's time in the
protocol code.
"""

from __future__ import annotations

import heapq
import math
import random
import sys
import time
import zlib
from array import array
from collections import Counter, deque
from collections.abc import Callable
from itertools import chain
from typing import Any, NamedTuple

from mulleinhatch.instance.gossip import messages
from mulleinhatch.instance.gossip.budgets import QuotaMeter
from mulleinhatch.instance.gossip.core import GossipNode
from mulleinhatch.instance.gossip.messages import ALIVE, GONE, SUSPECT
from mulleinhatch.instance.load_balancing.bounds import LoadBalancingBounds
from mulleinhatch.instance.load_balancing.core import InstanceLoad, LoadBalancer
from mulleinhatch.instance.maintenance.core import MaintenanceBounds, MaintenanceCoordinator
from mulleinhatch.simulation.instance_world import InvariantBrokenError
from mulleinhatch.simulation.scale_instances import HEADER_BYTES, LOOKAHEAD_S, Plan, ReportedFigures, Topology
from mulleinhatch.testing import fault_script as faults

LEAVE_GRACE_S = 2.0  # seconds from the announcement of a departure to the end of the process
SOCKET_QUEUE_SIZE = 200  # datagrams that the socket of a stalled process buffers
SAMPLE_INTERVAL_S = 0.25  # seconds between samples of the watched members' sums
MAX_RECORDED = 200_000  # recorded declarations of members as gone; further ones are only counted
HEARTBEAT, USE = -1, -2  # kinds of events that are not datagrams
Event = tuple[float, int, int, int, Any]  # time, sender (-1: the script), sequence, receiver, datagram or kind


class Gone(NamedTuple):
    """A declaration of a member as gone in the view of an observer."""

    at: float
    observer: int
    subject: int
    why: str
    wrong: bool  # this incarnation of the subject was running


class SumSample(NamedTuple):
    """A sample of one watched member's sum of the whole fleet."""

    at: float
    place: int
    members: int
    silent: int
    oldest: float
    living: int  # instances that are running


class SimulatedInstance:
    """One instance: its protocol state machines, clock, random source and counts; slotted, as a world holds thousands."""

    __slots__ = (
        "place",
        "core",
        "spread",
        "maintenance",
        "stalled",
        "waiting",
        "random_source",
        "rate",
        "offset",
        "sequence",
        "incarnations",
        "reported_figures",
        "meters",
        "born",
        "sent",
        "received",
        "sent_count",
        "received_count",
        "cpu",
        "calls",
        "digest",
    )

    def __init__(self, plan: Plan, place: int) -> None:
        draw = random.Random(plan.seed * 1_000_003 + place)
        self.place, self.random_source = place, draw
        self.rate, self.offset = draw.uniform(0.99, 1.01), draw.uniform(-3600.0, 3600.0)  # each clock drifts and has an offset
        self.core: GossipNode | None = None
        self.spread: LoadBalancer | None = None
        self.maintenance: MaintenanceCoordinator | None = None
        self.stalled = False
        self.waiting: deque[bytes] = deque(maxlen=SOCKET_QUEUE_SIZE)
        self.sequence = self.incarnations = self.cpu = self.calls = self.digest = 0
        self.reported_figures, self.meters, self.born = ReportedFigures(plan, draw), [], 0.0
        self.sent, self.received, self.sent_count, self.received_count = (array("I") for _ in range(4))


class Shard:
    """The instances at the shard's own places; the others are known only from the script."""

    def __init__(self, plan: Plan, owner: list[int] | None = None, index: int = 0) -> None:
        self.plan, self.topology, self.now, self.index = plan, Topology(plan), 0.0, index
        self.owner = owner or [0] * plan.members
        self.bounds = self.topology.bounds()
        self.nodes: list[SimulatedInstance | None] = [
            SimulatedInstance(plan, place) if shard == index else None for place, shard in enumerate(self.owner)
        ]
        self.events: list[Event] = []
        self.outgoing: dict[int, list[Event]] = {}
        self.script_sequence = 0
        members = plan.members
        # The state of all places as the script sets it; it is the same in each shard.
        self.up, self.incarnation = bytearray(members), [0] * members
        self.generation = [0] * members
        self.place_by_address = {self.topology.address(place, 0): place for place in range(members)}
        self.active: list[faults.Fault] = []
        self.cuts: list[tuple[bytearray, bytearray, bool]] = []
        self.amounts: dict[str, list[float]] = {}
        self.gone: list[Gone] = []
        self.counts: Counter[str] = Counter()
        self.samples: list[SumSample] = []
        self.used: list[array[float]] = [array("d") for _ in plan.budgets]
        draw = random.Random(plan.seed)
        self.starts = [draw.uniform(0.0, plan.start_within) for _ in range(members)]
        for place, start in enumerate(self.starts):
            self._at(start, ("start", (place,)))
        self.script(plan.script)
        self.watched = [place for place in self.topology.watched() if self.nodes[place]]
        self._at(SAMPLE_INTERVAL_S, ("sample_sums", ()))

    # Time.

    def _at(self, when: float, what: tuple[str, Any]) -> None:
        """Schedule a step of the script; it precedes the events of instances at the same time."""
        self.script_sequence += 1
        heapq.heappush(self.events, (when, -1, self.script_sequence, -1, what))

    def script(self, text: str) -> None:
        """Add faults from now on; reject those in the past."""
        for fault in self.topology.faults(text):
            if fault.at < self.now:
                raise faults.FaultScriptError(f"at {fault.at:g} is over: the time is {self.now:g}")
            self._at(fault.at, ("apply_fault", fault))

    def next(self) -> float:
        """Return the time of the next event."""
        return self.events[0][0] if self.events else math.inf

    def add_events(self, events: list[Event]) -> None:
        """Add events from other shards."""
        for event in events:
            heapq.heappush(self.events, event)

    def run(self, until: float) -> None:
        """Run all events before `until`."""
        events, nodes, pop = self.events, self.nodes, heapq.heappop
        while events and events[0][0] < until:
            self.now, sender, _, to, what = pop(events)
            if sender < 0:
                getattr(self, f"_{what[0]}")(what[1])
                continue
            node = nodes[to]
            if type(what) is bytes:
                if node.core is not None:
                    second = int(self.now)
                    node.received[second] += len(what) + HEADER_BYTES
                    node.received_count[second] += 1
                    if node.stalled:
                        node.waiting.append(what)
                    else:
                        self._receive(node, what)
            elif what[1] == node.incarnations and node.core is not None:
                if what[0] == HEARTBEAT:
                    self._send_heartbeat(node)
                else:
                    self._consume(node, what[2])
        self.now = until

    def prepare(self, until: float) -> None:
        """Extend the counts by second up to a time."""
        seconds = int(until) + 2
        for node in self.nodes:
            if node and len(node.sent) < seconds:
                more = bytes(4 * (seconds - len(node.sent)))
                for series in (node.sent, node.received, node.sent_count, node.received_count):
                    series.frombytes(more)

    # The script.

    def _start(self, places: tuple[int, ...]) -> None:
        for place in places:
            if self.up[place]:
                continue
            self.up[place] = 1
            self.incarnation[place] = self.incarnation_from(self.now)
            if node := self.nodes[place]:
                self._start_instance(node)

    @staticmethod
    def incarnation_from(start: float) -> int:
        """Return the incarnation number of an instance that starts then."""
        return int(1000.0 * (start + 7200.0))

    def _start_instance(self, node: SimulatedInstance) -> None:
        place, plan = node.place, self.plan
        node.incarnations += 1
        node.stalled = False
        node.waiting.clear()
        node.born = self.now
        now = self.now * node.rate + node.offset
        bounds = self.bounds[self.topology.zone[place]]
        generation = self.generation[place]
        node.core = GossipNode(
            bounds,
            self.topology.name(place, generation),
            self.topology.address(place, generation),
            self.incarnation[place],
            node.random_source.getrandbits(48),
            now,
        )
        node.spread = node.maintenance = None
        if plan.spread:
            at = node.core.members.address
            node.spread = LoadBalancer(
                LoadBalancingBounds(at=at),
                node.core,
                node.random_source.getrandbits(40),
                now,
                is_warming_up=node.incarnations > 1,
            )
            node.core.handover_address = at
        if plan.maintenance_voters:
            voters = tuple(self.topology.name(voter, 0) for voter in range(plan.maintenance_voters))
            node.maintenance = MaintenanceCoordinator(
                MaintenanceBounds(voters, 1, 1, "z"), node.core, node.incarnations * 10_000 + place, now
            )
        node.meters = [QuotaMeter(budget.window) for budget in bounds.budgets]
        if plan.introduced and node.incarnations == 1:
            self._introduce(node, now)
        self._schedule(node, 0.0, (HEARTBEAT, node.incarnations))
        for budget in range(len(plan.budgets)):
            self._schedule(node, node.random_source.uniform(0.0, 0.1), (USE, node.incarnations, budget))

    def _introduce(self, node: SimulatedInstance, now: float) -> None:
        """Deliver messages that name all other members, as a peer would; the instance does not forward the updates."""
        topology, names = self.topology, [place for place in range(self.plan.members) if place != node.place]
        for first in range(0, len(names), 12):
            some = names[first : first + 12]
            updates = [
                messages.MemberUpdate(
                    topology.name(place, 0), topology.address(place, 0), self.incarnation_from(self.starts[place]), 0, ALIVE
                )
                for place in some
            ]
            message = messages.GossipMessage(
                messages.VERSION,
                "hollow",
                updates[0].name,
                updates[0].address,
                updates[0].process_epoch,
                0,
                "word",
                member_updates=updates,
            )
            node.core.handle_datagram(now, messages.encode(message))
        node.core.members.updates.unsent.clear()
        node.core.members.changes.clear()

    def _apply_fault(self, fault: faults.Fault) -> None:
        what = fault.what
        if what == "kill":
            for place in fault.places:
                self.up[place] = 0
                if node := self.nodes[place]:
                    node.core = node.spread = node.maintenance = None
        elif what == "start":
            self._start(fault.places)
        elif what == "renew":
            for place in fault.places:
                self.place_by_address.pop(self.topology.address(place, self.generation[place]), None)
                self.generation[place] += 1
                self.place_by_address[self.topology.address(place, self.generation[place])] = place
            self._start(fault.places)
        elif what == "leave":
            for place in fault.places:
                if (node := self.nodes[place]) and node.core:
                    self._send(node, node.core.leave(self.now * node.rate + node.offset))
            self._at(self.now + LEAVE_GRACE_S, ("apply_fault", faults.Fault(self.now + LEAVE_GRACE_S, "kill", fault.places)))
        elif what in ("stall", "go"):
            for place in fault.places:
                if (node := self.nodes[place]) and node.core:
                    was, node.stalled = node.stalled, what == "stall"
                    if was and not node.stalled:  # otherwise it has restarted meanwhile
                        self._resume(node)
        elif what in faults.LINKS:
            self.active.append(fault)
            self._update_links(None)
            self._at(fault.until, ("update_links", fault))
        else:
            raise faults.FaultScriptError(f"{what} is not supported by simulated instances")

    def _resume(self, node: SimulatedInstance) -> None:
        """Resume after a stall: the timer is overdue and the socket buffer holds datagrams."""
        self._send_heartbeat(node, again=False)
        waiting = list(node.waiting)
        node.waiting.clear()
        for data in waiting:
            self._receive(node, data)

    def _update_links(self, over: faults.Fault | None) -> None:
        """Compute cut links and impairments as arrays by place, so that a lookup costs the same at any fleet size."""
        if over:
            self.active.remove(over)
        members = self.plan.members
        self.cuts, self.amounts = [], {}
        for fault in self.active:
            if fault.what in ("cut", "deaf"):
                here, there = bytearray(members), bytearray(members)
                for place in fault.places:
                    here[place] = 1
                for place in fault.others:
                    there[place] = 1
                self.cuts.append((here, there, fault.what == "cut"))
            else:
                amounts = self.amounts.setdefault(fault.what, [0.0] * members)
                for place in fault.places:
                    amounts[place] = max(amounts[place], fault.amount)

    def _sample_sums(self, _: Any) -> None:
        self._at(self.now + SAMPLE_INTERVAL_S, ("sample_sums", ()))
        living = sum(self.up)
        for place in self.watched:
            node = self.nodes[place]
            if node.core and not node.stalled:
                self.samples.append(SumSample(self.now, place, *self._fleet_sum(node), living))

    def _fleet_sum(self, node: SimulatedInstance) -> tuple[int, int, float]:
        """Return alive members, silent members and the oldest age in its sum of the fleet; without levels, in its own view."""
        now = self.now * node.rate + node.offset
        if self.plan.levels:
            total = node.core.totals(now)["fleet"]
            return total.members, total.silent, total.oldest
        known = node.core.fleet_counters.total(now, "capacity")
        return 1 + len(node.core.members.alive()), known.silent, known.oldest

    # Instances.

    def _schedule(self, node: SimulatedInstance, after: float, what: tuple) -> None:
        node.sequence += 1
        heapq.heappush(self.events, (self.now + after, node.place, node.sequence, node.place, what))

    def _send_heartbeat(self, node: SimulatedInstance, again: bool = True) -> None:
        if again:
            self._schedule(
                node, node.core.bounds.heartbeat_s * node.random_source.uniform(0.95, 1.1), (HEARTBEAT, node.incarnations)
            )
        if node.stalled:
            return
        now = self.now * node.rate + node.offset
        local = node.reported_figures.local(self.now - node.born, tuple(meter.demand(now) for meter in node.meters))
        started_at = time.thread_time_ns()
        datagrams = []
        if node.spread:
            datagrams += node.spread.heartbeat(now, InstanceLoad(8, 0, 48))
            local = local._replace(figures=local.figures[:11] + node.spread.figures(now), opinions=node.spread.opinions(now))
        if node.maintenance:
            datagrams += node.maintenance.tick(now, self.now + node.offset, True)
        datagrams += node.core.heartbeat(now, local)
        node.cpu += time.thread_time_ns() - started_at
        node.calls += 1
        self._send(node, datagrams)
        if node.core.members.changes:
            self._record_changes(node)

    def _receive(self, node: SimulatedInstance, data: bytes) -> None:
        started_at = time.thread_time_ns()
        datagrams = node.core.handle_datagram(self.now * node.rate + node.offset, data)
        if node.spread:
            datagrams += node.spread.take_messages()
        if node.maintenance:
            datagrams += node.maintenance.take_outgoing()
        node.cpu += time.thread_time_ns() - started_at
        node.calls += 1
        if datagrams:
            self._send(node, datagrams)
        if node.core.members.changes:
            self._record_changes(node)

    def _send(self, node: SimulatedInstance, datagrams: list[tuple[str, bytes]]) -> None:
        place, second, owner, random_source = node.place, int(self.now), self.owner, node.random_source.random
        for address, data in datagrams:
            if len(data) > messages.MAX_DATAGRAM_BYTES:
                raise InvariantBrokenError(f"at {self.now:.3f} a datagram of {len(data)} bytes")
            node.sent[second] += len(data) + HEADER_BYTES
            node.sent_count[second] += 1
            node.digest = zlib.crc32(data, node.digest)
            to = self.place_by_address.get(address)
            if to is None or self.cuts and self._is_cut(place, to):
                continue
            low, high = self.topology.link(place, to)
            times = 1
            if self.amounts:
                lossy, repeated, swapped, delayed = (self._amount(what, place, to) for what in faults.LINKS[2:])
                low, high = low + delayed, high + delayed + (0.3 if random_source() < swapped else 0.0)
                times = (1 + (random_source() < repeated)) * (random_source() >= lossy)
            for _ in range(times):
                node.sequence += 1
                event = (self.now + low + (high - low) * random_source(), place, node.sequence, to, data)
                if owner[to] == self.index:
                    heapq.heappush(self.events, event)
                else:
                    self.outgoing.setdefault(owner[to], []).append(event)

    def _is_cut(self, sender: int, to: int) -> bool:
        return any(here[to] and there[sender] or both and here[sender] and there[to] for here, there, both in self.cuts)

    def _amount(self, what: str, sender: int, to: int) -> float:
        amounts = self.amounts.get(what)
        return max(amounts[sender], amounts[to]) if amounts else 0.0

    def _record_changes(self, node: SimulatedInstance) -> None:
        changes, node.core.members.changes = node.core.members.changes, []
        for change in changes:
            self.counts[change.state] += 1
            if change.state != "gone":
                continue
            subject = self.topology.place_named(change.name)
            same = change.name.rpartition("/")[2] == self.topology.name(subject, self.generation[subject])
            known = node.core.members.view.get(change.name)
            wrong = bool(self.up[subject] and same and known and known.process_epoch == self.incarnation[subject])
            self.counts["wrong" if wrong else "right"] += 1
            if len(self.gone) < MAX_RECORDED:
                self.gone.append(Gone(self.now, node.place, subject, change.why, wrong))

    def _usable_share(self, node: SimulatedInstance, now: float, budget: int) -> int:
        return node.core.usable_quota(now, budget)

    def _consume(self, node: SimulatedInstance, budget: int) -> None:
        """Request units one at a time, at the rate of the instance's demand."""
        _, total, window = self.plan.budgets[budget]
        rate = max(0.01, total / self.plan.members / (window or 1.0) * self.plan.demand)
        self._schedule(node, node.random_source.expovariate(rate), (USE, node.incarnations, budget))
        if node.stalled:
            return
        now = self.now * node.rate + node.offset
        share = self._usable_share(node, now, budget)
        if share < 0:
            raise InvariantBrokenError(f"at {self.now:.3f} {node.core.name} holds a share of {share}")
        if node.meters[budget].take(now, share):
            self.used[budget].append(self.now)

    # Queries from outside.

    def traffic(self, first: int, last: int) -> dict[int, tuple[array, array, array, array]]:
        """Return by place the bytes sent and received and the datagrams sent and received, in the seconds from `first` to
        before `last`.
        """
        return {
            node.place: (
                node.sent[first:last],
                node.received[first:last],
                node.sent_count[first:last],
                node.received_count[first:last],
            )
            for node in self.nodes
            if node
        }

    def mark(self) -> None:
        """Reset the CPU counts."""
        for node in self.nodes:
            if node:
                node.cpu = node.calls = 0

    def cpu(self) -> dict[int, tuple[int, int]]:
        """Return by place the CPU nanoseconds in the protocol code and the calls to it since `mark`."""
        return {node.place: (node.cpu, node.calls) for node in self.nodes if node}

    def digest(self) -> dict[int, int]:
        """Return a checksum of all datagrams sent, by place."""
        return {node.place: node.digest for node in self.nodes if node}

    def views(self) -> tuple[Counter[tuple[int, int]], int, int, int]:
        """Return the number of instances by view (its hash and size, the owner included), and the numbers of instances whose
        view has a suspected member or one that does not run, that are frozen, and that run.
        """
        view_counts: Counter[tuple[int, int]] = Counter()
        inaccurate = frozen = running = 0
        present = {self.topology.name(place, self.generation[place]): place for place, up in enumerate(self.up) if up}
        for node in self.nodes:
            if node is None or node.core is None:
                continue
            running += 1
            view = node.core.members.view
            places = [present.get(name.rpartition("/")[2], -1) for name, member in view.items() if member.state <= SUSPECT]
            frozen += node.core.members.frozen
            inaccurate += -1 in places or any(member.state == SUSPECT for member in view.values())
            view_counts[hash(frozenset([node.place, *places])), 1 + len(places)] += 1
        return view_counts, inaccurate, frozen, running

    def count_views_of(self, places: list[int], excluded: frozenset[int]) -> dict[int, tuple[int, int]]:
        """Return by place how many views have it present and how many gone; stalled and `excluded` places do not count."""
        names = {place: self.topology.name(place, self.generation[place]) for place in places}
        counts = {place: [0, 0] for place in places}
        for node in self.nodes:
            if node is None or node.core is None or node.stalled or node.place in excluded:
                continue
            view = node.core.members.view
            prefix = next((name.rpartition("/")[0] + "/" for name in view if "/" in name), "")
            for place, name in names.items():
                if (member := view.get(prefix + name)) and place != node.place:
                    counts[place][member.state >= GONE] += 1
        return {place: (there, gone) for place, (there, gone) in counts.items()}

    def speakers(self) -> list[int]:
        """Return the places that are speakers of their groups now; none without levels."""
        found = []
        for node in self.nodes:
            if node and node.core and (speaks := getattr(getattr(node.core, "aggregation_tree", None), "is_speaker", None)):
                found += [node.place] * bool(speaks(self.now * node.rate + node.offset))
        return found

    def state(self, places: list[int]) -> list[dict[str, float]]:
        """Return the bytes of state by kind, for each of these instances that runs; each object counts once."""
        return [state_of(node) for place in places if (node := self.nodes[place]) and node.core]

    def attribute(self, name: str) -> Any:
        """Return an attribute of this shard, for queries from another process."""
        return getattr(self, name)


def _without_fleet(core: Any) -> dict[str, Any]:
    return {key: value for key, value in core.__dict__.items() if key != "fleet"}


KINDS_OF_STATE: tuple[tuple[str, Callable[[SimulatedInstance], Any]], ...] = (
    ("members", lambda node: node.core.members.view),
    (
        "membership",
        lambda node: [
            node.core.members.prober.pending,
            node.core.members.prober.forwarded,
            node.core.members.prober.order,
            node.core.members.prober.evidence,
            node.core.members.updates,
        ],
    ),
    ("reports", lambda node: node.core.fleet_counters.rows),
    ("verdicts", lambda node: node.core.outlier_detector.__dict__),
    ("budgets", lambda node: [quota.__dict__ for quota in node.core.quotas]),
    ("levels", lambda node: getattr(node.core, "aggregation_tree", None)),
    ("spread", lambda node: node.spread and _without_fleet(node.spread)),
    (
        "upkeep",
        lambda node: node.maintenance and _without_fleet(node.maintenance),
    ),
)


def state_of(node: SimulatedInstance) -> dict[str, float]:
    """Return the bytes of state of one instance, by kind."""
    # Settings and the instance itself do not count as state.
    seen = {
        id(node),
        id(node.core),
        id(node.core.members),
        id(node.core.bounds),
        id(node.core.fleet_counters),
        id(node.core.outlier_detector),
    }
    return {kind: float(deep_size(select(node), seen)) for kind, select in KINDS_OF_STATE}


def deep_size(thing: Any, seen: set[int]) -> int:
    """Return the bytes of an object and all objects it refers to, except those in `seen`, code and types.

    >>> deep_size(["abc"], set()) == sys.getsizeof(["abc"]) + sys.getsizeof("abc")
    True
    """
    size, stack = 0, [thing]
    while stack:
        one = stack.pop()
        if id(one) in seen or one is None or callable(one) or isinstance(one, type | bool):
            continue
        seen.add(id(one))
        size += sys.getsizeof(one)
        if isinstance(one, dict):
            stack += chain.from_iterable(one.items())
        elif isinstance(one, list | tuple | set | frozenset | deque):
            stack += one
        else:
            stack += [
                getattr(one, name)
                for kind in type(one).__mro__
                for name in getattr(kind, "__slots__", ())
                if isinstance(name, str) and hasattr(one, name) and name not in ("__weakref__", "__dict__")
            ]
            stack += [getattr(one, name) for name in getattr(type(one), "__struct_fields__", ())]
            stack.append(getattr(one, "__dict__", None))
    return size


__all__ = ["LOOKAHEAD_S", "Gone", "SimulatedInstance", "SumSample", "Shard", "deep_size", "state_of"]
