"""Load on a fleet in virtual time: real reducers, gossip nodes and load balancers; each client knows a few instances.

One seed gives one history. Checked at each step: one answer for each request and connection, no non-retryable request runs
twice anywhere, and offers never exceed the free capacity. `mode` selects what the instances do: `alone` (no load balancing),
`advice`, `spread` (the mechanism under test), and for comparison `random` and `freshest` (hand-over to any peer, or to the
peer whose last report shows the most free capacity). `common_queue` gives an upper bound: one queue for all servers.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter, deque
from collections.abc import Callable
from typing import Any, NamedTuple

from mulleinhatch.admission.interface import Advice, Deployment, Effect, Ending
from mulleinhatch.instance.gossip.counters import FRESH_FOR_S
from mulleinhatch.instance.load_balancing.bounds import LoadBalancingBounds
from mulleinhatch.instance.load_balancing.core import InstanceLoad, LoadBalancer
from mulleinhatch.instance.load_balancing.offers import ReceivedOffer
from mulleinhatch.instance.request_state_machine.events import Action, Event
from mulleinhatch.instance.request_state_machine.reducer import Reducer
from mulleinhatch.simulation.gossip_world import LEAVE_GRACE_S, LINK_DELAY_S, GossipWorld, Node, Plan
from mulleinhatch.simulation.instance_world import InvariantBrokenError
from mulleinhatch.testing import fault_script as faults
from mulleinhatch.testing.fake_interpreter import Cores

DEFAULT_BOUNDS = LoadBalancingBounds()
MODES = ("alone", "advice", "spread", "random", "freshest")
KINDS = (("read", Effect.RETRYABLE, 1.0, 0.85), ("signoff", Effect.NON_RETRYABLE, 5.0, 0.15))
TARGET_LATENCY_S, REQUEST_TIMEOUT_S = 1.8, 4.5
RETRY_PAUSE_S = 0.05  # seconds before a client's next attempt
MAX_ATTEMPTS = 4
LOAD_CHANGE_DELAY_S = 0.005  # seconds from a load change to the notification of the balancer, so that changes are batched
IDLE_CHECK_INTERVAL_S = 0.05  # seconds between samples of the idle instances
CONNECT_TIMEOUT_S = 0.5  # seconds until a peer that does not answer counts as unreachable
SETTLED_AT_S = 4.0  # seconds until views and service rates are known; measurements begin then
FAILING_RUN_FRACTION = 0.1  # duration of a failing run, as a fraction of a full run


class Load(NamedTuple):
    """Clients and their requests; `load` is the requested work over the fleet's capacity.

    Histories store these fields by name, so the names stay.
    """

    load: float = 0.9
    cores: int = 2
    work: float = 0.3  # mean core seconds of a run; runs vary
    callers: int = 12
    listed: int = 5  # instances that a client knows
    mixed: bool = False  # lists are drawn at random; otherwise adjacent instances, so that busy clients know the same few
    one: float = 0.0  # fraction of all requests that one client sends
    uneven: float = 1.0  # 0: all clients send at the same rate; 1: the busiest at three times the rate of the idlest
    heeding: float = 0.8  # fraction of the requests whose clients respect hold-offs and levels
    list_delay: float = 1.0  # seconds until clients learn which instances stopped or started
    speeds: tuple[float, ...] = ()  # by place, repeated; if empty, all are 1
    marked: bool = True
    cold_speed: float = 1.0  # initial speed of a restarted instance
    cold_for: float = 0.0  # seconds until a restarted instance runs at full speed
    busy_callers: int = 0  # the clients know only this many instances; 0: all


class Request:
    """A client's request through all its attempts; slotted, as a history holds many thousands."""

    __slots__ = ("number", "kind", "born", "caller", "work", "tries", "is_finished", "rank", "failed_places")

    def __init__(self, number: int, kind: tuple, born: float, caller: int, work: float, rank: float) -> None:
        self.number, self.kind, self.born, self.caller, self.work, self.rank = number, kind, born, caller, work, rank
        self.tries, self.is_finished = 0, False
        self.failed_places: set[int] = set()


class Service(Node):
    """An instance with its reducer and its interpreter."""

    def __init__(self, world: LoadBalancingWorld, place: int) -> None:
        super().__init__(world, place)
        self.spread: LoadBalancer | None = None
        self.reducer: Reducer | None = None
        self.cores: Cores | None = None
        self.pending_requests: dict[int, Callable[..., None]] = {}  # response callback by connection id
        self.runs: dict[str, tuple[float, bool, float]] = {}  # by ref: work, whether the run fails, when it began
        self.end_timer_number = 0
        self.last_connection_id = self.last_notice_id = 0
        self.is_notification_scheduled = False
        self.level = 0.0  # the level in the last response to clients
        self.warming_up_since = -math.inf
        self.deferred_calls: list[tuple[Callable[..., None], tuple[Any, ...]]] = []  # while the process is stalled


class LoadBalancingWorld(GossipWorld):
    """A gossip world whose instances serve requests and hand them over to peers."""

    def __init__(self, plan: Plan, load: Load, mode: str = "spread", bounds: LoadBalancingBounds = DEFAULT_BOUNDS) -> None:
        assert mode in MODES
        self.load, self.mode, self.spread_bounds = (
            load,
            mode,
            bounds._replace(hand_over=mode not in ("alone", "advice"), advice=mode == "advice" or bounds.advice),
        )
        super().__init__(plan._replace(budgets=()))
        draw = self.client_random = random.Random(plan.seed + 77)
        self.nodes = [Service(self, place) for place in range(plan.instances)]
        self.events.clear()
        for node in self.nodes:
            self.at(draw.uniform(0.0, plan.heartbeat_s), self.start, node)
        for fault in self.faults:
            self.at(fault.at, self._apply_fault, fault)
        speeds = load.speeds or (1.0,)
        self.speeds = [speeds[place % len(speeds)] for place in range(plan.instances)]
        self.capacity = sum(self.speeds) * load.cores / load.work  # requests per second
        # Each client knows `listed` adjacent instances; those known to busy clients receive more requests.
        step = plan.instances / load.callers
        self.lists = [
            [int(caller * step + offset) % plan.instances for offset in range(min(load.listed, plan.instances))]
            for caller in range(load.callers)
        ]
        if load.busy_callers:
            self.lists = [
                [(caller + offset) % load.busy_callers for offset in range(min(load.listed, load.busy_callers))]
                for caller in range(load.callers)
            ]
        if load.mixed:
            self.lists = [draw.sample(range(plan.instances), min(load.listed, plan.instances)) for _ in range(load.callers)]
        weights = [1.0 + 2.0 * load.uneven * caller / max(1, load.callers - 1) for caller in range(load.callers)]
        if load.one:
            weights[0] = load.one / (1.0 - load.one) * sum(weights[1:])
        self.weights = weights
        self.known_up = [True] * plan.instances
        self.attempt_counts = [0] * load.callers
        self.hold_off: dict[tuple[int, int], float] = {}
        self.requests = 0
        self.requested_value = self.in_time = 0.0
        self.latencies: list[float] = []
        self.idle_needed = 0.0
        self.arrivals: Counter[tuple[int, int]] = Counter()
        self.run_counts: Counter[int] = Counter()
        self.non_retryable: set[int] = set()  # numbers of non-retryable requests
        self.handed = Counter[str]()
        # By place and incarnation: seconds from its start to each hand-over.
        self.handovers_while_warming_up: dict[tuple[int, int], list[float]] = {}
        self.rejected_at = -1.0
        self.busy: list[list[float]] = []  # for each half second, the fraction of each instance's cores in use
        self.redirect_fractions: list[list[float]] = []
        self.at(SETTLED_AT_S - 2.0, self._create_request)
        self.at(SETTLED_AT_S, self._check_idle)

    # Instances.

    def start(self, node: Node) -> None:
        """Start a new incarnation with its reducer, interpreter and load balancer."""
        if node.core:
            return
        super().start(node)
        now, load = node.clock(self.now), self.load
        node.spread = None
        if self.mode != "alone":
            bounds = self.spread_bounds._replace(at=f"10.0.0.1:{node.place}")
            node.spread = LoadBalancer(bounds, node.core, self.draw.getrandbits(40), now, is_warming_up=node.incarnations > 1)
            node.core.handover_address = bounds.at
            if self.mode in ("random", "freshest"):
                self._use_comparison_mode(node)
        deployment: Deployment = {
            "op_types": [
                {"effect": kind[1], "importance": kind[2], "target_latency": TARGET_LATENCY_S, "op_timeout": REQUEST_TIMEOUT_S}
                for kind in KINDS
            ],
            "cores": load.cores,
            "crowd_per_core": 8.0,
            "callers": load.callers,
            "hold_off_allowed": True,
            "max_hold_off": 3.0,
            "gauges": ["core_use"],
            "advice": Advice.FLOOR,
            "drain_grace": 2.0,
            "cold_for": load.cold_for,
            "cold_speed": load.cold_speed,
        }
        node.reducer = Reducer(deployment, [kind[0] for kind in KINDS], [], node.place + 1)
        node.cores, node.runs, node.pending_requests, node.deferred_calls = Cores(load.cores, lambda at: 1.0), {}, {}, []
        node.last_notice_id, node.level = 0, 0.0
        if node.spread:
            node.reducer.keeps_handover_data = self.spread_bounds.hand_over
            node.reducer.on_run_ended, node.reducer.on_client_request = node.spread.record_run, node.spread.record_arrival
        self._reduce(node, Event.LINK_OPENED)
        is_warming_up = node.incarnations > 1 and load.cold_for > 0.0
        node.warming_up_since = self.now if is_warming_up else -math.inf
        self._reduce(node, Event.INTERPRETER_READY, is_warming_up, 0.0 if is_warming_up else 100.0)
        self.at(self.now + load.list_delay, self._set_listed, node, node.incarnations, True)

    def _set_listed(self, node: Service, incarnation: int, up: bool) -> None:
        if not up and node.core and node.incarnations > incarnation:
            return
        self.known_up[node.place] = up

    def _use_comparison_mode(self, node: Service) -> None:
        """Replace offers by the peer selection of the modes `random` and `freshest`; the rest of the balancer stays."""
        spread = node.spread
        spread.offer_issuer.issue = lambda *arguments, **more: []

        def choices() -> list[tuple[float, str]]:
            now = node.clock(self.now)
            rows = [
                (row.value("room"), name)
                for name, row in node.core.fleet_counters.rows.items()
                if now - row.made_at <= FRESH_FOR_S and name in node.core.members.view
            ]
            return rows if self.mode == "random" else [row for row in rows if row[0] >= 1.0]

        def take(now: float) -> ReceivedOffer | None:
            rows = choices()
            if not rows:
                return None
            name = self.draw.choice(rows)[1] if self.mode == "random" else max(rows)[1]
            return ReceivedOffer(name, f"10.0.0.1:{name[1:]}", 0, now)

        spread.take_offer, spread.count_offers = take, lambda now: 4 if choices() else 0

    def _apply_fault(self, fault: faults.Fault) -> None:
        before = [(self.nodes[place], self.nodes[place].core) for place in fault.places]
        if fault.what == "leave":
            for node, core in before:
                if core:
                    self._reduce(node, Event.SHUTDOWN_REQUESTED, LEAVE_GRACE_S)
        super()._apply_fault(fault)
        for node, core in before:
            if fault.what == "kill" and core:
                self._on_process_end(node)
            elif fault.what == "go" and node.core:
                deferred_calls, node.deferred_calls = node.deferred_calls, []
                for act, arguments in deferred_calls:
                    act(*arguments)
            elif fault.what == "leave" and core:
                self.at(self.now + self.load.list_delay, self._set_listed, node, node.incarnations, False)

    def _stop(self, node: Node, incarnation: int) -> None:
        if node.incarnations == incarnation and node.core:
            super()._stop(node, incarnation)
            self._on_process_end(node)

    def _on_process_end(self, node: Service) -> None:
        waiting, node.pending_requests, node.runs = node.pending_requests, {}, {}
        self.at(self.now + self.load.list_delay, self._set_listed, node, node.incarnations, False)
        for respond in waiting.values():
            respond("broken", b"")

    def _send_heartbeat(self, node: Node, incarnation: int, again: bool = True) -> None:
        if node.core is None or node.incarnations != incarnation:
            return
        if node.spread and not node.stalled:
            now = node.clock(self.now)
            self._send(node, node.spread.heartbeat(now, self._instance_load(node)))
            self._check_offers(node, now)
            self._update_offers(node)
            conditions = (
                node.core.free_fraction(now),
                node.core.is_judged_unhealthy(),
                math.inf,
                node.spread.redirect_fraction,
            )
            if conditions != getattr(node, "last_conditions", None):
                node.last_conditions = conditions
                self._reduce(node, Event.PEER_LOAD_CHANGED, *conditions)
        super()._send_heartbeat(node, incarnation, again)

    def local(self, node: Node) -> Any:
        """Return the figures and opinions that the instance reports."""
        now, reducer = node.clock(self.now), node.reducer
        counts = reducer.counts
        figures = [
            counts["ops_read"] - counts["ops_from_peers"],
            0,
            counts["run_ok"],
            counts["decided_nack"],
            len(reducer.requests) - reducer.run_count - reducer.handed_over_count,
            reducer.run_count,
            round(reducer.controller.capacity()),
            int(reducer.healthy),
            counts["run_error"],
            reducer.advertised_capacity(now),
        ]
        opinions = []
        if node.spread:
            figures += node.spread.figures(now)
            opinions = node.spread.opinions(now)
        return super().local(node)._replace(figures=figures, opinions=opinions)

    def _check_offers(self, node: Service, now: float) -> None:
        issuer = node.spread.offer_issuer
        if issuer.counts["offers_given"] > getattr(node, "offers_seen", 0):
            node.offers_seen = issuer.counts["offers_given"]
            if sum(offer.until > now for offer in issuer.issued.values()) > max(0, node.spread.load.free_slots):
                raise InvariantBrokenError(
                    f"at {self.now:.3f} {node.name}: {len(issuer.issued)} offers for {node.spread.load.free_slots} free slots"
                )

    def _receive(self, node: Node, data: bytes) -> None:
        if node.spread:
            node.spread.load = node.spread.load._replace(free_slots=node.reducer.free_capacity(node.clock(self.now)))
        super()._receive(node, data)
        if node.spread:
            self._send(node, node.spread.take_messages())
            self._check_offers(node, node.clock(self.now))
            self._update_offers(node)

    def _update_offers(self, node: Service) -> None:
        if node.reducer.requests and self.spread_bounds.hand_over:
            self._reduce(node, Event.PEER_OFFERS_CHANGED, node.spread.count_offers(node.clock(self.now)))

    # Actions of the reducer.

    def _reduce(self, node: Service, event: Event, *arguments: Any) -> None:
        if node.core is None:
            return
        if node.stalled:
            node.deferred_calls.append((self._reduce, (node, event, *arguments)))
            return
        for action, *fields in node.reducer.reduce(node.clock(self.now), event, *arguments):
            self._execute(node, action, fields)
        if (
            node.spread
            and self.spread_bounds.hand_over
            and not node.is_notification_scheduled
            and event in (Event.REQUEST_RECEIVED, Event.RUN_ENDED)
        ):
            node.is_notification_scheduled = True
            self.at(self.now + LOAD_CHANGE_DELAY_S, self._notify_load_change, node, node.incarnations)

    def _notify_load_change(self, node: Service, incarnation: int) -> None:
        node.is_notification_scheduled = False
        if node.incarnations == incarnation and node.core and not node.stalled:
            self._send(node, node.spread.on_load_change(node.clock(self.now), self._instance_load(node)))
            self._check_offers(node, node.clock(self.now))
            self._update_offers(node)

    def _instance_load(self, node: Service) -> InstanceLoad:
        reducer, now = node.reducer, node.clock(self.now)
        return InstanceLoad(
            reducer.free_capacity(now), reducer.transferable_count(), int(reducer.controller.limit), reducer.stop_at is not None
        )

    def _execute(self, node: Service, action: Action, fields: list[Any]) -> None:
        if action is Action.START_RUN:
            self._start_run(node, fields[0], fields[2])
        elif action is Action.REQUEST_GAUGES:
            use = min(1.0, len(node.runs) / self.load.cores)
            self.at(self.now, self._for_incarnation, node, node.incarnations, Event.GAUGES_RECEIVED, fields[0], [use])
        elif action is Action.SET_TIMER:
            self.at(self.now + fields[0], self._for_incarnation, node, node.incarnations, Event.TIMER_EXPIRED, fields[1])
        elif action is Action.HAND_OVER:
            self._hand_over(node, *fields)
        elif action in (Action.SEND_RESULT, Action.SEND_REJECTION, Action.SEND_FAILURE, Action.SEND_INVALID):
            respond = node.pending_requests.pop(fields[0], None)
            if respond is None:
                raise InvariantBrokenError(
                    f"at {self.now:.3f} {node.name} sends a second or unexpected answer on connection {fields[0]}"
                )
            node.level = fields[-1] or 0.0
            self.at(
                self.now + self.draw.uniform(*LINK_DELAY_S),
                respond,
                action.value,
                fields[1] if action is Action.SEND_RESULT else fields[1:3] if action is Action.SEND_REJECTION else b"",
            )

    def _for_incarnation(self, node: Service, incarnation: int, event: Event, *arguments: Any) -> None:
        if node.incarnations == incarnation:
            self._reduce(node, event, *arguments)

    def _start_run(self, node: Service, ref: str, body: bytes) -> None:
        number, work = body.split()
        if ref in node.runs:
            raise InvariantBrokenError(f"at {self.now:.3f} {node.name} starts {ref} while it is running")
        self.run_counts[int(number)] += 1
        if self.run_counts[int(number)] > 1 and int(number) in self.non_retryable:
            raise InvariantBrokenError(f"at {self.now:.3f} a non-retryable request runs a second time, on {node.name}")
        slow = (
            max(1.0, faults.amount(self.faults, "slow", self.now, node.place))
            / self.speeds[node.place]
            / self.speed_fraction(self.now - node.warming_up_since)
        )
        fails = self.draw.random() < faults.amount(self.faults, "failing", self.now, node.place)
        node.runs[ref] = (float(work), fails, self.now)
        node.cores.start(self.now, ref, float(work) * slow * (FAILING_RUN_FRACTION if fails else 1.0))
        self._schedule_next_end(node)

    def speed_fraction(self, since: float) -> float:
        """Return the fraction of full speed that an instance reaches `since` seconds after a cold start."""
        load = self.load
        return 1.0 if since >= load.cold_for else load.cold_speed + (1.0 - load.cold_speed) * since / load.cold_for

    def ramp_excess(self, window: float) -> tuple[float, int]:
        """Measure by how much the hand-overs to warming-up instances exceeded their allowed rate.

        Returns:
            The largest excess of requests in any `window` seconds over N + 2 sqrt(N) + 2, where N is the allowed number at that
            speed; and the total number of requests handed over to such instances.
        """
        worst, count = -math.inf, 0
        for times in self.handovers_while_warming_up.values():
            count += len(times)
            for first, at in enumerate(times):
                came = sum(at <= other < at + window for other in times[first:])
                allowed = window * self.load.cores / self.load.work * self.speed_fraction(at + 0.5 * window)
                worst = max(worst, came - (allowed + 2.0 * math.sqrt(allowed) + 2.0))
        return worst, count

    def _schedule_next_end(self, node: Service) -> None:
        node.end_timer_number += 1
        left = node.cores.next_end(self.now)
        if left is not None:
            self.at(self.now + max(0.0, left), self._on_run_end, node, node.incarnations, node.end_timer_number)

    def _on_run_end(self, node: Service, incarnation: int, number: int) -> None:
        if node.incarnations != incarnation or node.core is None or node.end_timer_number != number:
            return
        for ref in node.cores.ended(self.now + 1e-9):
            _, fails, _ = node.runs.pop(ref, (0.0, False, 0.0))
            node.last_notice_id += 1
            self._reduce(node, Event.RUN_ENDED, node.last_notice_id, ref, Ending.ERROR if fails else Ending.OK, ref.encode())
        self._schedule_next_end(node)

    # Hand-over.

    def _hand_over(
        self,
        node: Service,
        ref: str,
        request_type: str,
        tenant: str,
        body: bytes,
        age: float,
        left: float,
        caller: int,
        work: float,
        kb: float,
        again: bool,
        rank: float,
        key: str,
    ) -> None:
        offer = node.spread.take_offer(node.clock(self.now))
        incarnation = node.incarnations
        if offer is None:
            self.at(self.now, self._for_incarnation, node, incarnation, Event.HANDOVER_ENDED, ref, Ending.UNREACHABLE, b"")
            return
        peer = self.nodes[int(offer.address.rpartition(":")[2])]
        self.handed["to " + ("offers" if offer.number else "guesses")] += 1
        ended = []

        def finish(ending: Ending, result: bytes = b"") -> None:
            if ended:
                return
            ended.append(ending)
            self.handed[ending.name.lower()] += 1
            if node.incarnations == incarnation and node.core:
                node.spread.record_handover(
                    node.clock(self.now),
                    offer,
                    ending in (Ending.ERROR, Ending.INTERRUPTED),
                    ending in (Ending.UNREACHABLE, Ending.INTERRUPTED),
                )
                self._reduce(node, Event.HANDOVER_ENDED, ref, ending, result)

        is_link_up = faults.passes(self.links, self.now, node.place, peer.place) and faults.passes(
            self.links, self.now, peer.place, node.place
        )
        if not is_link_up or peer.core is None:
            self.at(self.now + (LINK_DELAY_S[1] if is_link_up else CONNECT_TIMEOUT_S), finish, Ending.UNREACHABLE)
            return
        if left:
            self.at(self.now + max(0.01, left - 0.08), finish, Ending.INTERRUPTED)
        self.at(
            self.now + self.draw.uniform(*LINK_DELAY_S),
            self._receive_handover,
            node,
            peer,
            peer.incarnations,
            offer,
            finish,
            (
                ref,
                request_type,
                tenant,
                age,
                max(0.01, left - 0.08) if left else 0.0,
                caller,
                work,
                kb,
                again,
                key,
                body,
                rank,
                True,
            ),
        )

    def _receive_handover(
        self,
        node: Service,
        peer: Service,
        incarnation: int,
        offer: ReceivedOffer,
        finish: Callable[..., None],
        arguments: tuple,
    ) -> None:
        if peer.core is None or peer.incarnations != incarnation:
            finish(Ending.INTERRUPTED)
            return
        if self.now - peer.warming_up_since < self.load.cold_for:
            self.handovers_while_warming_up.setdefault((peer.place, peer.incarnations), []).append(
                self.now - peer.warming_up_since
            )
        if peer.spread:
            peer.spread.offer_issuer.redeem(peer.clock(self.now), offer.number)

        def respond(what: str, result: Any) -> None:
            passes = faults.passes(self.links, self.now, peer.place, node.place)
            if passes:
                finish(
                    {"ack": Ending.OK, "fail": Ending.ERROR, "broken": Ending.INTERRUPTED}.get(what, Ending.FULL),
                    result if what == "ack" else b"",
                )

        self._receive_request(peer, respond, arguments)

    def _receive_request(self, node: Service, respond: Callable[..., None], arguments: tuple) -> None:
        if self.now >= SETTLED_AT_S:
            self.arrivals[node.place, int(self.now)] += 1
        node.last_connection_id += 1
        node.pending_requests[node.last_connection_id] = respond
        self._reduce(node, Event.REQUEST_RECEIVED, node.last_connection_id, *arguments)

    # Clients.

    def _create_request(self) -> None:
        load, draw = self.load, self.client_random
        if self.now >= self.plan.until - TARGET_LATENCY_S - 0.5:
            return
        self.at(self.now + draw.expovariate(load.load * self.capacity), self._create_request)
        self.requests += 1
        kind = draw.choices(KINDS, [kind[3] for kind in KINDS])[0]
        caller = draw.choices(range(load.callers), self.weights)[0]
        request = Request(self.requests, kind, self.now, caller, load.work * draw.uniform(0.4, 1.6), draw.random())
        if kind[1] is not Effect.RETRYABLE:
            self.non_retryable.add(request.number)
        if self.now >= SETTLED_AT_S:
            self.requested_value += kind[2]
        self._send_attempt(request)

    def _send_attempt(self, request: Request) -> None:
        load = self.load
        wait = REQUEST_TIMEOUT_S - (self.now - request.born)
        if request.is_finished or request.tries >= MAX_ATTEMPTS or wait < 0.1:
            request.is_finished = True
            return
        request.tries += 1
        heeds = (request.number * 7919 % 1000) / 1000.0 < load.heeding
        listed = [place for place in self.lists[request.caller] if self.known_up[place]] or self.lists[request.caller]
        self.attempt_counts[request.caller] += 1
        start = self.attempt_counts[request.caller]
        ordered = [listed[(start + offset) % len(listed)] for offset in range(len(listed))]
        fresh = [place for place in ordered if place not in request.failed_places] or ordered
        chosen = fresh[0]
        if heeds:
            able = [place for place in fresh if self.hold_off.get((request.caller, place), 0.0) <= self.now]
            chosen = next((place for place in able if request.rank >= self.nodes[place].level), able[0] if able else chosen)
        node = self.nodes[chosen]
        if node.core is None:
            self._on_connection_error(request, chosen, refused=True)
            return
        ref = f"{self.draw.getrandbits(60):016x}"
        incarnation = node.incarnations

        def respond(what: str, result: Any) -> None:
            self._on_response(request, chosen, what, result, heeds)

        self.at(self.now + wait + 0.2, self._on_timeout, request)
        self.at(
            self.now + self.draw.uniform(*LINK_DELAY_S),
            self._deliver_request,
            node,
            incarnation,
            respond,
            (
                ref,
                request.kind[0],
                "",
                0.0,
                wait,
                request.caller,
                request.work,
                1.0,
                request.tries > 1 and load.marked,
                "",
                b"%d %.6f" % (request.number, request.work),
                request.rank,
            ),
        )

    def _deliver_request(self, node: Service, incarnation: int, respond: Callable[..., None], arguments: tuple) -> None:
        if node.core is None or node.incarnations != incarnation:
            respond("broken", b"")
        else:
            self._receive_request(node, respond, arguments)

    def _on_timeout(self, request: Request) -> None:
        request.is_finished = request.is_finished or self.now - request.born >= REQUEST_TIMEOUT_S

    def _on_response(self, request: Request, place: int, what: str, result: Any, heeds: bool) -> None:
        if what == "ack":
            if not request.is_finished and request.born >= SETTLED_AT_S:
                self.latencies.append(self.now - request.born)
                if self.now - request.born <= TARGET_LATENCY_S:
                    self.in_time += request.kind[2]
            request.is_finished = True
        elif what == "nack":
            self.rejected_at = self.now
            self.counts["nacked"] += 1
            request.failed_places.add(place)
            seconds, not_elsewhere = result
            if heeds and seconds:
                self.hold_off[request.caller, place] = self.now + seconds
            if not (heeds and not_elsewhere):
                self.at(self.now + RETRY_PAUSE_S, self._send_attempt, request)
        elif what == "broken":
            self._on_connection_error(request, place, refused=False)
        else:
            self.counts["failed"] += 1
            if request.kind[1] is Effect.RETRYABLE:
                self.at(self.now + RETRY_PAUSE_S, self._send_attempt, request)

    def _on_connection_error(self, request: Request, place: int, refused: bool) -> None:
        self.counts["refused" if refused else "broken"] += 1
        request.failed_places.add(place)
        if refused or request.kind[1] is Effect.RETRYABLE:
            self.at(self.now + RETRY_PAUSE_S, self._send_attempt, request)

    # Measurements.

    def _check_idle(self) -> None:
        self.at(self.now + IDLE_CHECK_INTERVAL_S, self._check_idle)
        up = [node for node in self.nodes if node.core and not node.stalled]
        pending = {
            node.place: len(node.reducer.requests) - node.reducer.run_count - node.reducer.handed_over_count for node in up
        }
        needing = sum(count > 0 for count in pending.values()) > 0 or self.now - self.rejected_at < IDLE_CHECK_INTERVAL_S
        if needing:
            idle = sum(
                not node.runs
                and not pending[node.place]
                and node.reducer.stop_at is None
                and faults.amount(self.faults, "failing", self.now, node.place) < 0.5
                for node in up
            )
            self.idle_needed += IDLE_CHECK_INTERVAL_S * idle
        if len(self.busy) < 2.0 * (self.now - SETTLED_AT_S):
            self.busy.append([min(1.0, len(node.runs) / self.load.cores) if node.core else -1.0 for node in self.nodes])
            self.redirect_fractions.append(
                [node.spread.redirect_fraction if node.spread else node.level for node in self.nodes]
            )

    def figures(self) -> dict[str, float]:
        """Return the measured figures of all requests since `SETTLED_AT_S`."""
        latencies = sorted(self.latencies) or [math.inf]
        seconds = sorted({second for _, second in self.arrivals})[:-1]
        mean = sum(self.arrivals[place, second] for place in range(self.plan.instances) for second in seconds) / max(
            1, len(seconds) * self.plan.instances
        )
        most = max((self.arrivals[place, second] for place in range(self.plan.instances) for second in seconds), default=0)
        return {
            "in_time": self.in_time / max(1.0, self.requested_value),
            "idle_needed": self.idle_needed,
            "most_over_mean": most / max(1e-9, mean),
            "p50": latencies[len(latencies) // 2],
            "p99": latencies[int(0.99 * (len(latencies) - 1))],
            "nacked": self.counts["nacked"],
            "handed": self.handed["to offers"] + self.handed["to guesses"],
            "refused by peers": self.handed["full"],
        }


def common_queue(plan: Plan, load: Load) -> dict[str, float]:
    """Return the figures of one queue for all servers, the upper bound for any fleet of instances.

    Requests are served by importance, then by arrival, and dropped when they can no longer finish within the target.
    """
    draw = random.Random(plan.seed + 77)
    speeds = load.speeds or (1.0,)
    slots = [speeds[place % len(speeds)] for place in range(plan.instances) for _ in range(load.cores)]
    capacity = sum(slots) / load.work
    now, requests = SETTLED_AT_S - 2.0, []
    while now < plan.until - TARGET_LATENCY_S - 0.5:
        kind = draw.choices(KINDS, [kind[3] for kind in KINDS])[0]
        requests.append((now, kind[2], load.work * draw.uniform(0.4, 1.6)))
        now += draw.expovariate(load.load * capacity)
    free = [(0.0, -speed) for speed in slots]
    heapq.heapify(free)
    requested_value = in_time = 0.0
    latencies, queue, arrivals = [], [], deque(requests)
    while arrivals or queue:
        free_at, speed = heapq.heappop(free)
        if not queue and arrivals:
            free_at = max(free_at, arrivals[0][0])
        while arrivals and arrivals[0][0] <= free_at:
            born, value, work = arrivals.popleft()
            requested_value += value if born >= SETTLED_AT_S else 0.0
            heapq.heappush(queue, (-value, born, work))
        if queue:
            value, born, work = heapq.heappop(queue)
            took = free_at + work / -speed - born
            if took <= TARGET_LATENCY_S:
                in_time += -value if born >= SETTLED_AT_S else 0.0
                latencies.append(took)
                free_at += work / -speed
        heapq.heappush(free, (free_at, speed))
    latencies.sort()
    return {
        "in_time": in_time / max(1.0, requested_value),
        "p50": latencies[len(latencies) // 2],
        "p99": latencies[int(0.99 * (len(latencies) - 1))],
    }
