"""A fleet in virtual time: the real gossip cores of up to hundreds of instances, their datagrams as bytes, faults by script.

One seed gives one history. Invariants are checked from outside at each step: the units of a budget used in any window stay
within its total, no share is negative, and a minority partition declares nobody gone.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Callable
from typing import NamedTuple

from mulleinhatch.instance.gossip.bounds import BudgetBounds, FleetBounds
from mulleinhatch.instance.gossip.budgets import QuotaMeter
from mulleinhatch.instance.gossip.core import GossipNode, LocalState
from mulleinhatch.instance.gossip.counters import FRESH_FOR_S
from mulleinhatch.instance.gossip.messages import ALIVE, GONE, SUSPECT
from mulleinhatch.simulation.instance_world import InvariantBrokenError
from mulleinhatch.simulation.virtual_time import EventQueue
from mulleinhatch.testing import fault_script as faults

LINK_DELAY_S = (0.0003, 0.002)  # range of seconds that a datagram takes
LEAVE_GRACE_S = 2.0  # seconds from the announcement of a departure to the end of the process
PARTITION_DETECTION_S = 2.0  # seconds after a fault until each partition has detected that it is one
SOCKET_QUEUE_SIZE = 200  # datagrams that the socket of a stalled process buffers


class Plan(NamedTuple):
    """The parameters of a simulated fleet. Times are in seconds; `demand` is relative to the even share of the budget."""

    instances: int = 8
    script: str = ""
    until: float = 15.0
    heartbeat_s: float = 0.1
    budgets: tuple[tuple[str, int, float], ...] = (("quota", 400, 1.0),)  # name, total, window
    demand: Callable[[int, float], float] = lambda place, now: 1.0
    clocks: tuple[float, ...] = ()  # clock rates by place, repeated; if empty, drawn within 1%
    leases: bool = True  # False: even shares that no instance lends
    gossip: bool = False  # for comparison: the total divided by the instances heard from, without leases
    seed: int = 1


class Node:
    """One instance: its core, clock and meters, and the datagrams queued in its socket while it is stalled."""

    def __init__(self, world: GossipWorld, place: int) -> None:
        self.place, self.name, self.address = place, f"n{place}", f"10.0.0.1:{place}"
        rates = world.plan.clocks
        self.rate = rates[place % len(rates)] if rates else world.draw.uniform(0.99, 1.01)
        self.offset = world.draw.uniform(-3600.0, 3600.0)  # no clock shows the true time
        self.incarnations = 0
        self.core: GossipNode | None = None
        self.stalled = False
        self.waiting: deque[bytes] = deque(maxlen=SOCKET_QUEUE_SIZE)
        self.meters: list[QuotaMeter] = []

    def clock(self, now: float) -> float:
        """Return the node's local time for a time of the world."""
        return now * self.rate + self.offset


class GossipWorld(EventQueue):
    """The event queue, links, faults and invariant checks of one simulated fleet."""

    def __init__(self, plan: Plan) -> None:
        super().__init__()
        self.plan, self.draw = plan, random.Random(plan.seed)
        self.faults = faults.read(plan.script, plan.instances)
        names = tuple(f"n{place}" for place in range(plan.instances))
        self.budgets = tuple(BudgetBounds(name, total, names, window) for name, total, window in plan.budgets)
        self.bounds = FleetBounds(
            "virtual",
            seeds=("10.0.0.1:0", "10.0.0.1:1", f"10.0.0.1:{plan.instances // 2}"),
            heartbeat_s=plan.heartbeat_s,
            budgets=self.budgets,
        )
        self.used: list[deque[float]] = [deque() for _ in self.budgets]
        self.most_used = [0] * len(self.budgets)
        self.took: Counter[int] = Counter()  # by place: units used
        self.wanted: Counter[int] = Counter()
        self.counts: Counter[str] = Counter()
        self.declared: list[tuple[float, int, str]] = []  # time, observer, subject
        self.false_declarations: list[tuple[float, int, str]] = []  # of running subjects that a majority could reach
        self.nodes = [Node(self, place) for place in range(plan.instances)]
        self.links = [fault for fault in self.faults if fault.what in ("cut", "deaf")]
        for node in self.nodes:
            self.at(self.draw.uniform(0.0, plan.heartbeat_s), self.start, node)
        for fault in self.faults:
            self.at(fault.at, self._apply_fault, fault)

    def play(self, until: float | None = None) -> GossipWorld:
        """Run all events up to `until` (the plan's end by default)."""
        until = self.plan.until if until is None else until
        for _ in self.run_until(until):
            pass
        self.now = until
        return self

    # Processes.

    def start(self, node: Node) -> None:
        """Start a new incarnation of the node; do nothing if it runs."""
        if node.core:
            return
        node.incarnations += 1
        node.stalled = False
        node.waiting.clear()
        local = node.clock(self.now)
        # An incarnation's number comes from a clock that may have been set back since the last one.
        incarnation = int(1000.0 * (self.now + 7200.0 + (node.offset if node.incarnations > 1 else 0.0)))
        node.core = GossipNode(self.bounds, node.name, node.address, incarnation, self.draw.getrandbits(48), local)
        if not self.plan.leases:
            for quota in node.core.quotas:
                quota.plan_requests = lambda *arguments: []
        node.meters = [QuotaMeter(budget.window) for budget in self.budgets]
        self.at(self.now, self._send_heartbeat, node, node.incarnations)
        for place in range(len(self.budgets)):
            self.at(self.now + self.draw.uniform(0.0, 0.1), self._consume, node, node.incarnations, place)

    def _apply_fault(self, fault: faults.Fault) -> None:
        for place in fault.places:
            node = self.nodes[place]
            if fault.what == "kill":
                node.core = None
            elif fault.what == "start":
                self.start(node)
            elif fault.what == "leave" and node.core:
                self._send(node, node.core.leave(node.clock(self.now)))
                self.at(self.now + LEAVE_GRACE_S, self._stop, node, node.incarnations)
            elif fault.what == "stall":
                node.stalled = True
            elif fault.what == "go" and node.core:
                node.stalled = False
                self._send_heartbeat(node, node.incarnations, again=False)  # the timer is overdue, the socket buffer full
                waiting = list(node.waiting)
                node.waiting.clear()
                for data in waiting:
                    self._receive(node, data)

    def _stop(self, node: Node, incarnation: int) -> None:
        if node.incarnations == incarnation:
            node.core = None

    # Heartbeats, datagrams, budgets.

    def _send_heartbeat(self, node: Node, incarnation: int, again: bool = True) -> None:
        if node.core is None or node.incarnations != incarnation:
            return
        if again:
            self.at(self.now + self.plan.heartbeat_s * self.draw.uniform(0.95, 1.1), self._send_heartbeat, node, incarnation)
        if node.stalled:
            return
        gone = node.core.members.counts["declared_gone"]
        self._send(node, node.core.heartbeat(node.clock(self.now), self.local(node)))
        if node.core.members.counts["declared_gone"] > gone:
            self._record_declarations(node)

    def local(self, node: Node) -> LocalState:
        """Return the local figures that the node reports."""
        window = self.budgets[0].window if self.budgets else 1.0
        return LocalState(demands=tuple(meter.demand(node.clock(self.now)) if window else 0.0 for meter in node.meters))

    def _send(self, node: Node, datagrams: list[tuple[str, bytes]]) -> None:
        for address, data in datagrams:
            to = int(address.rpartition(":")[2])
            self.counts["datagrams"] += 1
            self.counts["bytes"] += len(data)
            if len(data) > 1200:
                raise InvariantBrokenError(f"at {self.now:.3f} a datagram of {len(data)} bytes")
            if not faults.passes(self.links, self.now, node.place, to):
                continue
            lossy, repeated, swapped, delayed = (
                max(faults.amount(self.faults, what, self.now, place) for place in (node.place, to))
                for what in ("lossy", "repeated", "swapped", "delayed")
            )
            for _ in range(1 + (self.draw.random() < repeated)):
                if self.draw.random() >= lossy:
                    delay_s = (
                        self.draw.uniform(*LINK_DELAY_S)
                        + delayed
                        + (self.draw.uniform(0.0, 0.3) if self.draw.random() < swapped else 0.0)
                    )
                    self.at(self.now + delay_s, self._deliver, self.nodes[to], data)

    def _deliver(self, node: Node, data: bytes) -> None:
        if node.core is None:
            return
        if node.stalled:
            node.waiting.append(data)
        else:
            self._receive(node, data)

    def _receive(self, node: Node, data: bytes) -> None:
        self._send(node, node.core.handle_datagram(node.clock(self.now), data))

    def _consume(self, node: Node, incarnation: int, budget: int) -> None:
        """Request units one at a time, at the rate of the node's demand."""
        if node.core is None or node.incarnations != incarnation:
            return
        bounds = self.budgets[budget]
        even = bounds.total / self.plan.instances / bounds.window
        rate = max(0.01, even * self.plan.demand(node.place, self.now))
        self.at(self.now + self.draw.expovariate(rate), self._consume, node, incarnation, budget)
        if node.stalled:
            return
        self.wanted[node.place] += 1
        share = node.core.usable_quota(node.clock(self.now), budget)
        if self.plan.gossip:
            heard = sum(node.clock(self.now) - row.made_at <= FRESH_FOR_S for row in node.core.fleet_counters.rows.values())
            share = bounds.total // (1 + heard)
        if share < 0:
            raise InvariantBrokenError(f"at {self.now:.3f} {node.name} holds a share of {share}")
        if node.meters[budget].take(node.clock(self.now), share):
            self.took[node.place] += 1
            used = self.used[budget]
            used.append(self.now)
            # Meters run on the members' own clocks: the slowest member's window is 1% longer than one of the world's clock.
            while used[0] <= self.now - bounds.window * 0.98:
                used.popleft()
            self.most_used[budget] = max(self.most_used[budget], len(used))
            if len(used) > bounds.total and not self.plan.gossip:
                raise InvariantBrokenError(
                    f"at {self.now:.3f} {len(used)} of {bounds.total} of {bounds.name} used in one window"
                )

    # Invariants of the membership.

    def _count_reachable(self, node: Node) -> int:
        """Count the nodes that this one can exchange datagrams with in both directions."""
        return sum(
            other is not node
            and other.core is not None
            and not other.stalled
            and faults.passes(self.links, self.now, node.place, other.place)
            and faults.passes(self.links, self.now, other.place, node.place)
            for other in self.nodes
        )

    def _count_heard(self, node: Node) -> int:
        """Count the nodes that this one can receive from, whether or not they receive from it: its own partition check."""
        return sum(
            other is not node
            and other.core is not None
            and not other.stalled
            and faults.passes(self.links, self.now, other.place, node.place)
            for other in self.nodes
        )

    def _record_declarations(self, node: Node) -> None:
        for change in node.core.members.changes:
            if change.state == "gone" and change.why == "silent":
                other = next(other for other in self.nodes if other.name == change.name)
                self.declared.append((self.now, node.place, change.name))
                is_running = other.core is not None and not other.stalled
                if is_running and 2 * self._count_heard(node) < self._count_running() - 1 and self._is_settled():
                    raise InvariantBrokenError(f"at {self.now:.3f} {node.name}, cut off from most, declared {other.name} gone")
                if is_running and 2 * self._count_reachable(other) >= self._count_running() - 1 and self._is_settled():
                    self.false_declarations.append((self.now, node.place, change.name))
        node.core.members.changes.clear()

    def _is_settled(self) -> bool:
        """Return whether no fault began or ended within the last `PARTITION_DETECTION_S` seconds."""
        boundaries = [time for fault in self.faults for time in (fault.at, fault.until)]
        return all(not 0.0 <= self.now - time < PARTITION_DETECTION_S for time in boundaries)

    def _count_running(self) -> int:
        return sum(node.core is not None for node in self.nodes)

    def views_agree(self) -> bool:
        """Return whether every running node sees exactly the running nodes as alive."""
        living = {node.name for node in self.nodes if node.core}
        for node in self.nodes:
            if node.core:
                view = node.core.members.view.values()
                there = {member.name for member in view if member.state == ALIVE}
                if there | {node.name} != living or any(member.state == SUSPECT for member in view):
                    return False
        return True

    def known_gone(self, name: str) -> float:
        """Return the share of the other nodes that see this one as gone."""
        others = [
            node.core.members.view.get(name) for node in self.nodes if node.core and not node.stalled and node.name != name
        ]
        return sum(member is not None and member.state >= GONE for member in others) / max(1, len(others))


def draw_fault_script(draw: random.Random, instances: int, start: float, length: float) -> str:
    """Draw a script of a few overlapping faults that have all ended by `start + length`."""
    lines = []
    for _ in range(draw.randint(1, 4)):
        at = start + draw.uniform(0.0, 0.5 * length)
        last = draw.uniform(0.1, 0.5) * length
        some = sorted(draw.sample(range(instances), draw.randint(1, max(1, instances // 2))))
        rest = [place for place in range(instances) if place not in some]
        one, other = (",".join(map(str, places)) for places in (some, rest))
        kind = draw.choice(("cut", "deaf", "lossy", "repeated", "swapped", "delayed", "stall", "kill", "chain", "flap"))
        if kind == "cut":
            lines.append(f"at {at:.2f} cut {one} from {other} for {last:.2f}")
        elif kind == "deaf":
            lines.append(f"at {at:.2f} deaf {one} to {other} for {last:.2f}")
        elif kind == "chain":  # the first and the last third are connected only through the middle one
            third = max(1, instances // 3)
            lines.append(f"at {at:.2f} cut 0-{third - 1} from {instances - third}-{instances - 1} for {last:.2f}")
        elif kind == "flap":
            lines += [f"at {at + turn * last / 4:.2f} cut {one} from {other} for {last / 8:.2f}" for turn in range(4)]
        elif kind in ("stall", "kill"):
            lines.append(f"at {at:.2f} {kind} {one} for {last:.2f}")
        else:
            amount = draw.uniform(0.1, 0.4)
            lines.append(f"at {at:.2f} {kind} all {amount:.2f} for {last:.2f}")
    return "\n".join(lines)
