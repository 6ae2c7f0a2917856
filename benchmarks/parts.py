"""Measure single parts by size, in pure code: budgets, retry admission, sketches, permits, decisions, the operator's view.

Usage:
  parts [--quick] [--record] [--seed N] [--only PARTS]

Options:
  --quick       Fewer sizes and turns; the result is not recorded.
  --record      Write benchmarks/recorded/parts.json, from which docs/CAPACITY.md is generated.
  --seed N      Seed of names and draws [default: 1].
  --only PARTS  Some of budgets,few,storms,loudest,decisions,settings,voters,answers; the record keeps the others.

Memory is what the structures retain (tracemalloc); time is the process's own CPU, the median of several turns. Aim: bounded
costs (the sketch of tenants, retry admission, the decision about a request) at their largest size are at most twice the cost at
the size before. Two sizes of one run are compared, so that a busy machine affects both.
"""

from __future__ import annotations

import json
import os
import random
import statistics
import sys
import time
import tracemalloc
from bisect import bisect_right
from collections import Counter
from collections.abc import Callable, Iterator
from itertools import count as count_from
from types import SimpleNamespace
from typing import Any

import msgspec
from docopt import docopt
from rich.console import Console
from rich.table import Table as ConsoleTable

from benchmarks.records import RECORDED, commit, cost, keep, rounded
from mulleinhatch.admission import AdmissionController
from mulleinhatch.admission.interface import Deployment, Effect, Ending, Verb
from mulleinhatch.instance.gossip import messages as words
from mulleinhatch.instance.gossip.bounds import BudgetBounds, FleetBounds
from mulleinhatch.instance.gossip.budgets import LeasedQuota
from mulleinhatch.instance.gossip.core import GossipNode, LocalState
from mulleinhatch.instance.gossip.counters import FIGURES
from mulleinhatch.instance.gossip.heavy_hitters import HeavyHitters
from mulleinhatch.instance.gossip.messages import GossipMessage, MemberUpdate, Report
from mulleinhatch.instance.maintenance import messages as maintenance_messages
from mulleinhatch.instance.maintenance.core import MaintenanceBounds, MaintenanceCoordinator
from mulleinhatch.instance.maintenance.paxos_register import ProposalNumber, VoterState
from mulleinhatch.instance.maintenance.schedule import MaintenanceRequest
from mulleinhatch.instance.maintenance.table import MAX_PERMITS, Permit, PermitTable
from mulleinhatch.instance.maintenance.voter_role import ReceivedRequest
from mulleinhatch.instance.retry_storms.bounds import StormBounds
from mulleinhatch.instance.retry_storms.duplicate_detection import request_fingerprint
from mulleinhatch.instance.retry_storms.retry_admission import RetryAdmission
from mulleinhatch.instance.runtime.gossip import TENANTS_KEPT, GossipService
from mulleinhatch.simulation.gossip_world import GossipWorld, Plan
from mulleinhatch.simulation.maintenance_world import MaintenanceWorld

HEADERS = 28  # bytes of UDP and IPv4 before each datagram
PEAK, TENANTS, MEMBERS, CALLERS, CLASSES = 990_000, 250_000, 3_600, 48_000, 44_000  # of the target
HEADROOM = 2.0  # of a tenant's total over its mean rate at the peak
MESSAGES_PER_HEARTBEAT = 4  # that a member sends, and receives: two probes and their answers
HEARTBEATS_A_S = 10
TURNS, QUICK_TURNS = 7, 3
Points = list[tuple[float, float]]


def retained_bytes(make: Callable[..., Any], *arguments: Any) -> float:
    """Return the bytes that stay allocated by the result of `make`."""
    tracemalloc.start()
    retained = make(*arguments)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del retained
    return float(size)


def cpu_s(act: Callable[..., Any], times: int, turns: int, *arguments: Any) -> float:
    """Return the CPU seconds of one call of `act`: the median of some turns of so many calls."""
    spent = []
    for _ in range(turns):
        started_at = time.process_time()
        for _ in range(times):
            act(*arguments)
        spent.append((time.process_time() - started_at) / times)
    return statistics.median(spent)


class PartCosts:
    """Measures the parts and collects their costs by size.

    Attributes:
        costs: Costs by name, as a record stores them.
        events: Figures that have no size.
        bounded: Points of the costs that must not grow beyond their bound.
    """

    def __init__(self, quick: bool, seed: int) -> None:
        self.quick, self.seed, self.turns = quick, seed, QUICK_TURNS if quick else TURNS
        self.costs: dict[str, dict[str, Any]] = {}
        self.events: dict[str, dict[str, float]] = {}
        self.bounded: dict[str, Points] = {}

    def sizes(self, *all_sizes: int) -> tuple[int, ...]:
        """Return the sizes to measure; a quick run leaves out the largest."""
        return all_sizes[:3] if self.quick else all_sizes

    def add(
        self,
        name: str,
        unit: str,
        size: str,
        points: Points,
        form: str,
        bounded: bool = False,
        checked: tuple[float, float] | None = None,
    ) -> None:
        """Fit and store a cost.

        Args:
            name: Name of the cost in the record.
            unit: Unit of the values.
            size: What the points are over.
            points: Pairs of size and value.
            form: Form of the fit.
            bounded: Whether the cost must not grow beyond its bound.
            checked: A run at another size, which the fit is not made from.
        """
        self.costs[name] = cost(unit, size, points, form, checked)
        if bounded:
            self.bounded[name] = points

    # Budgets.

    def measure_budgets(self) -> None:
        """Measure memory, CPU and traffic of budgets."""
        sizes = self.sizes(16, 100, 1_000, 10_000)
        last = None if self.quick else 40_000
        memory = [(count, retained_bytes(all_parts, count)) for count in (*sizes, *([last] if last else []))]
        spent = [(count, HEARTBEATS_A_S * self._heartbeat_cpu_s(count)) for count in (*sizes, *([last] if last else []))]
        for name, unit, points in (("control.budgets_memory", "bytes", memory), ("control.budgets_cpu", "cores", spent)):
            self.add(name, unit, "budgets", points[: len(sizes)], "linear", checked=points[-1] if last else None)
        bytes_a_second, datagrams = [], []
        for count in (1, 4, 8, 16):
            world = GossipWorld(
                Plan(25, until=15.0, budgets=tuple((f"b{place}", 100, 1.0) for place in range(count)), seed=self.seed)
            )
            before = Counter(world.play(5.0).counts)
            world.play(6.0 if self.quick else 15.0)
            per = 25 * (world.now - 5.0)
            sent = (world.counts["datagrams"] - before["datagrams"]) / per
            datagrams.append((count, 2.0 * sent))
            bytes_a_second.append((count, 2.0 * ((world.counts["bytes"] - before["bytes"]) / per + HEADERS * sent)))
        self.add("control.budgets_bytes", "bytes/s", "budgets", bytes_a_second, "constant")
        self.add("control.budgets_datagrams", "datagrams/s", "budgets", datagrams, "constant")
        self._note_even_shares()

    def _heartbeat_cpu_s(self, count: int) -> float:
        """Return the CPU seconds that a heartbeat takes for all budgets."""
        parts = all_parts(count)
        now = 100.0

        def heartbeat() -> None:
            for part in parts:
                part.usable(now)
                part.plan_requests(now, 0.5, [])
                for _ in range(MESSAGES_PER_HEARTBEAT):
                    part.spare_units(now, 0.5)
                for _ in range(1 + MESSAGES_PER_HEARTBEAT):
                    part.usable_pieces(now)

        return cpu_s(heartbeat, max(1, 1_000 // count), self.turns)

    def measure_small_fleets(self) -> None:
        """Measure the traffic of fleet state among few members, where it exceeds the bound of the target."""
        points = []
        for count in (2, 4, 8, 16) if self.quick else (2, 4, 8, 16, 32, 64):
            world = GossipWorld(Plan(count, until=20.0, budgets=(), seed=self.seed))
            before = Counter(world.play(5.0).counts)
            world.play(10.0 if self.quick else 20.0)
            sent, data_bytes = (world.counts[name] - before[name] for name in ("datagrams", "bytes"))
            points.append((count, 2.0 * (data_bytes + HEADERS * sent) / count / (world.now - 5.0)))
        # With two members there is one to probe in a heartbeat, so half of the messages.
        self.events["fleet state of two members"] = {"bytes a second, sent and received": rounded(points[0][1])}
        self.add("control.few_bytes", "bytes/s", "members", points[1:], "constant")

    def _note_even_shares(self) -> None:
        """Note the even shares of computed totals: rank and rate follow Zipf's law of exponent 1 over the target's peak."""
        harmonic_sum = sum(1.0 / rank for rank in range(1, TENANTS + 1))
        totals = sorted(max(1, int(HEADROOM * PEAK / harmonic_sum / rank)) for rank in range(1, TENANTS + 1))
        self.events["even parts (totals are reckoned)"] = {
            "median tenant's total, runs a second": totals[TENANTS // 2],
            "largest": totals[-1],
            **{
                f"tenants under one run a second at {seats:,} seats": rounded(bisect_right(totals, seats - 1) / TENANTS, 6)
                for seats in (25, 100, 400, MEMBERS)
            },
        }

    # Storm books and sketches.

    def measure_retry_admission(self) -> None:
        """Measure memory and CPU of retry admission by the number of callers."""
        # At full generations of the logs, where they hold the most.
        usual, callers = StormBounds(), self.sizes(16_384, 32_768, 49_152)
        self.add(
            "request.storms_memory",
            "bytes",
            "callers",
            [(count, retained_bytes(filled_retry_admission, usual, count)) for count in callers],
            "constant",
            bounded=True,
        )
        raised = self.sizes(1_000, 4_000, 16_000, CALLERS)
        self.add(
            "request.storms_memory_unbounded",
            "bytes",
            "callers",
            [
                (count, retained_bytes(filled_retry_admission, usual._replace(callers_kept=count, repeats_kept=count), count))
                for count in raised
            ],
            "linear",
        )
        spent = []
        for count in callers:
            spent.append(
                (count, 1e6 * cpu_s(first_tries(filled_retry_admission(usual, count), count, self.seed), 5_000, self.turns))
            )
        self.add("request.storms_cpu", "us a request", "callers", spent, "constant", bounded=True)

    def measure_heavy_hitters(self) -> None:
        """Measure memory and CPU of the sketch of the most active tenants."""
        memory, spent, adds = [], [], 20_000 if self.quick else 200_000
        for count in self.sizes(1_000, 10_000, 100_000, TENANTS):
            names = Names(count, self.seed)
            memory.append((count, retained_bytes(filled, names, adds)))
            spent.append(
                (
                    count,
                    1e6 * cpu_s(adding(filled(names, adds), names, adds), 20_000, self.turns)
                    - 1e6 * cpu_s(names.next, 20_000, self.turns),
                )
            )
        self.add("request.loudest_memory", "bytes", "tenants", memory, "constant", bounded=True)
        self.add("request.loudest_cpu", "us a request", "tenants", spent, "constant", bounded=True)

    # Decisions.

    def measure_decisions(self) -> None:
        """Measure memory and CPU of admission decisions by the numbers of tenants and classes."""
        memory, spent = [], []
        for count in self.sizes(10, 1_000, 25_000, TENANTS):
            settings = deployment(count, 10)
            memory.append((count, retained_bytes(AdmissionController, settings, 1, 0.0)))
            spent.append(
                (count, 1e6 * cpu_s(cycle(AdmissionController(settings, 1, 0.0), count, 10, self.seed), 500, self.turns))
            )
        self.add("request.decide_memory", "bytes", "tenants", memory, "linear")
        self.add("request.decide_cpu", "us a request", "tenants", spent, "constant", bounded=True)
        memory, spent = [], []
        for count in self.sizes(10, 1_000, 10_000, CLASSES):
            settings = deployment(10, count)
            memory.append((count, retained_bytes(AdmissionController, settings, 1, 0.0)))
            spent.append(
                (count, 1e6 * cpu_s(cycle(AdmissionController(settings, 1, 0.0), 10, count, self.seed), 500, self.turns))
            )
        self.add("request.decide_classes_memory", "bytes", "classes", memory, "linear")
        self.add("request.decide_classes_cpu", "us a request", "classes", spent, "constant", bounded=True)

    def measure_settings(self) -> None:
        """Measure the size of the configuration file, which is sent as a whole at each change."""
        for name, size, sizes, rows in (
            ("control.settings_bytes", "tenants", self.sizes(1_000, 25_000, 100_000, TENANTS), tenant_settings),
            ("control.settings_classes_bytes", "classes", self.sizes(1_000, 10_000, 20_000, CLASSES), class_settings),
        ):
            self.add(name, "bytes", size, [(count, float(len(json.dumps(rows(count))))) for count in sizes], "linear")

    # Voters.

    def measure_voters(self) -> None:
        """Measure traffic and CPU of a voter that grants maintenance permits."""
        messages, sent = [], []
        for count in (18, 24, 30) if self.quick else (24, 40, 60, 80, 120):
            world = WaitingMachines(count, self.seed)
            world.play(4.0)
            world.maintenance_candidates = {node.name for node in world.nodes[3:]}
            world.play(8.0)
            world.heard.clear()
            world.play(12.0)
            messages.append((count, world.heard["words"] / 4.0))
            sent.append((count, world.heard["bytes"] / 4.0))
        for name, unit, points in (("voter.messages", "words/s", messages), ("voter.bytes", "bytes/s", sent)):
            fitted = points if self.quick else points[:-1]
            self.add(name, unit, "members", fitted, "linear", checked=None if self.quick else points[-1])
        spent = []
        for count in self.sizes(30, 100, 300, 990):
            core, query = asked_voter(count)
            turns = self.turns if count < 500 else QUICK_TURNS
            spent.append((count, 1e6 * cpu_s(answered, max(2, 1_000 // count), turns, core, query)))
        self.add("voter.query_cpu", "us a word", "members", spent, "square")
        for name, name_length in (("voter.table_bytes", 8), ("voter.table_bytes_longest", 40)):
            self.add(
                name,
                "bytes",
                "permits",
                [(out, float(table_bytes(out, name_length))) for out in (1, 3, 6, 9, MAX_PERMITS)],
                "linear",
            )

    # The operator's tools.

    def measure_operator_answers(self) -> None:
        """Measure the operator's view, where all members report the same top tenants and where each reports others."""
        sizes = (25, 50, 100) if self.quick else (25, 100, 400, 1_000)
        for name, differ, form in (("", False, "linear"), ("_tenants_differ", True, "square")):
            size, spent = [], []
            for count in sizes:
                side = fleet_side(count, differ)
                size.append((count, float(len(side.status_json()))))
                spent.append(
                    (count, 1e3 * cpu_s(side.status_json, max(1, 400 // count), self.turns if count < 400 else QUICK_TURNS))
                )
            if not differ:
                self.add("tools.fleet_answer_bytes", "bytes", "members", size, "linear")
            self.add(f"tools.fleet_answer_cpu{name}", "ms an answer", "members", spent, form)


class Names:
    """Tenant names by Zipf's law of exponent 1, drawn in advance so that the draw is not measured."""

    def __init__(self, count: int, seed: int) -> None:
        draw = random.Random(seed)
        drawn = draw.choices(range(count), [1.0 / rank for rank in range(1, count + 1)], k=100_000)
        self.names = [f"tenant {place}" for place in drawn]
        self.turn = 0

    def next(self) -> str:
        """Return the next name."""
        self.turn = (self.turn + 1) % len(self.names)
        return self.names[self.turn]


def filled(names: Names, adds: int) -> HeavyHitters:
    """Return a sketch after a number of additions."""
    sketch = HeavyHitters(TENANTS_KEPT)
    for turn in range(adds):
        sketch.add(turn / 275.0, names.next())
    return sketch


def adding(sketch: HeavyHitters, names: Names, since: int) -> Callable[[], None]:
    """Return a function that adds the next name to a sketch."""
    clock = count_from(since)
    return lambda: sketch.add(next(clock) / 275.0, names.next())


SEATS = tuple(f"n{place}" for place in range(MEMBERS))


def all_parts(count: int) -> list[LeasedQuota]:
    """Return the state of so many budgets."""
    return [LeasedQuota(BudgetBounds(f"b{place}", 2 * MEMBERS, SEATS, tenant=f"t{place}"), "n0", 0.0) for place in range(count)]


def record_first_try(retry_admission: RetryAdmission, caller: int, number: int) -> None:
    """Process a first attempt that is rejected, as an instance does."""
    like = request_fingerprint(caller, "read", "t1", "", b"body %d" % number, 0.5, 0.05, 1.0)
    repeat, looks = retry_admission.duplicates.classify(1.0, like, is_marked_retry=False)
    retry_admission.record_request(1.0, caller, True, 0.0)
    retry_admission.duplicates.record_closed(looks)
    retry_admission.duplicates.record_rejected(1.0, looks)


def filled_retry_admission(bounds: StormBounds, callers: int) -> RetryAdmission:
    """Return retry admission with a rejected request of each caller and a running request of each that must not run twice."""
    retry_admission = RetryAdmission(bounds, longest_hold_off=10.0, seed=7)
    for caller in range(callers):
        record_first_try(retry_admission, caller, caller)
        retry_admission.executed.add(
            1.0, f"r{caller}", request_fingerprint(caller, "read", "t1", "", b"%d" % caller, 0.5, 0.05, 1.0), 5.0
        )
    return retry_admission


def first_tries(retry_admission: RetryAdmission, callers: int, seed: int) -> Callable[[], None]:
    """Return a function that processes the first attempt of a random caller."""
    draw = random.Random(seed)
    return lambda: record_first_try(retry_admission, draw.randrange(callers), draw.randrange(10**9))


def deployment(tenants: int, classes: int) -> Deployment:
    """Return a deployment with so many tenants and classes."""
    return {
        "op_types": [
            {"effect": Effect.RETRYABLE, "importance": float(place % 10), "target_latency": 1.0, "op_timeout": 2.0}
            for place in range(classes)
        ],
        "tenants": [{"fraction": 1.0, "quota_per_s": 100.0} for _ in range(tenants)],
        "cores": 4,
        "crowd_per_core": 8.0,
        "callers": 100,
        "instances": MEMBERS,
    }


def cycle(controller: AdmissionController, tenants: int, classes: int, seed: int) -> Callable[[], None]:
    """Return a function that takes one request from arrival to end, at the target's rate of an instance."""
    draw, clock = random.Random(seed), count_from(0)

    def one() -> None:
        turn = next(clock)
        now = turn / 275.0
        controller.record_arrival(
            now, turn + 1, draw.randrange(classes), 0.0, 1.0, draw.randrange(tenants), 0, turn % 100, 0.002, 1.0, False
        )
        started = [decision.ref for decision in decisions(controller, now) if decision.verb is Verb.RUN]
        for ref in started:
            controller.record_run_end(now + 0.002, ref, Ending.OK)
        for _ in decisions(controller, now + 0.002):
            pass

    return one


def decisions(controller: AdmissionController, now: float) -> Iterator[Any]:
    """Yield all decisions that are due."""
    while decision := controller.next_decision(now):
        yield decision


def tenant_settings(count: int) -> list[dict[str, Any]]:
    """Return the settings of so many tenants."""
    return [{"name": f"tenant-{place:06}", "fraction": 0.001, "quota_per_s": 10.0} for place in range(count)]


def class_settings(count: int) -> list[dict[str, Any]]:
    """Return the settings of so many classes."""
    return [
        {"name": f"route-{place:05}", "effect": "safe", "aim": 1000.0, "deadline": 2000.0, "worth": 1.0}
        for place in range(count)
    ]


class WaitingMachines(MaintenanceWorld):
    """Machines that all wait for a permit, one at a time; counts the messages of one voter and their bytes with headers."""

    def __init__(self, count: int, seed: int) -> None:
        self.heard: Counter[str] = Counter()
        super().__init__(count, most=1, work_duration_s=1e6, seed=seed)

    def _word(self, data: bytes) -> None:
        if words.decode(data, "virtual").extension:
            self.heard["words"] += 1
            self.heard["bytes"] += HEADERS + len(data)

    def _send(self, node: Any, effects: list[tuple[str, bytes]]) -> None:
        if node.place == 1:
            for _, data in effects:
                self._word(data)
        super()._send(node, effects)

    def _receive(self, node: Any, data: bytes) -> None:
        if node.place == 1:
            self._word(data)
        super()._receive(node, data)


def asked_voter(count: int) -> tuple[MaintenanceCoordinator, bytes]:
    """Return a voter that knows so many waiting members, and another query of the last one."""
    fleet = GossipNode(FleetBounds("f"), "v0", "10.0.0.1:1", 1, 1, 0.0)
    core = MaintenanceCoordinator(MaintenanceBounds(("v0",), 3, 1, "z0"), fleet, 1, 0.0, VoterState(writes=1), None)
    requests = [MaintenanceRequest(f"n{place}", f"z{place % 9}", "release", 30.0, float(place)) for place in range(count)]
    gossip_messages = [
        GossipMessage(words.VERSION, "f", request.name, f"10.1.{place // 250}.{place % 250}:7300", 1, 0, "word")
        for place, request in enumerate(requests)
    ]
    for message, request in zip(gossip_messages, requests):
        core.fleet.handle_message(1.0, message)
        core.requests[request.name] = ReceivedRequest(request, 1.0)
    query = maintenance_messages.encode(maintenance_messages.PositionQuery(requests[-1]))
    return core, words.encode(msgspec.structs.replace(gossip_messages[-1], extension=query))


def answered(core: MaintenanceCoordinator, query: bytes) -> None:
    """Let a voter answer a query.

    Raises:
        ValueError: If there is no answer, so that nothing was measured.
    """
    core.fleet.handle_datagram(1.0, query)
    if not core.take_outgoing():
        raise ValueError("the voter gave no answer: nothing was measured")


def table_bytes(out: int, name_length: int) -> int:
    """Return the size of the largest message that carries the permit table: the reply to a voter that lost its disk."""
    table = PermitTable(
        tuple(f"v{place}".ljust(name_length, "x") for place in range(7)),
        MAX_PERMITS,
        MAX_PERMITS,
        8_000,
        0,
        tuple(
            Permit(f"n{place}".ljust(name_length, "x"), "r1z1", 8_000 - place, "release".ljust(name_length, "x"))
            for place in range(out)
        ),
    )
    proposal = ProposalNumber(8_000, "n1.1700000000000.12")
    return len(
        maintenance_messages._encoder.encode(
            maintenance_messages.VoterStateReply(VoterState(proposal, proposal, table, 16_000), False)
        )
    )


def fleet_side(count: int, differ: bool) -> GossipService:
    """Return an instance's gossip with a report of so many members; it has no socket and sends nothing."""
    bounds = FleetBounds("f", budgets=(BudgetBounds("q", MEMBERS, SEATS, tenant="t"),))
    place = SimpleNamespace(fleet=bounds, name="n0", seed=1, spread=None, upkeep=None)
    side = GossipService(place, SimpleNamespace(tenants=[]), lambda *arguments: None, lambda: None)
    side.socket.close()
    now = time.monotonic()
    side.core = core = GossipNode(bounds, "n0", "10.0.0.1:7300", 1_700_000_000_000, 1, now)
    for number in range(1, count):
        name, address = f"n{number}", f"10.1.{number // 250}.{number % 250}:7300"
        report = Report(
            name,
            1_700_000_000_000,
            1,
            0.0,
            [1_000] * len(FIGURES),
            [1],
            [(f"tenant {(4 * number * differ + one) % TENANTS}", 5.0) for one in range(4)],
        )
        core.handle_message(
            now,
            GossipMessage(
                words.VERSION,
                "f",
                name,
                address,
                1_700_000_000_000,
                0,
                "word",
                member_updates=[MemberUpdate(name, address, 1_700_000_000_000, 0, words.ALIVE)],
                reports=[report],
            ),
        )
    core.heartbeat(now, LocalState())
    return side


PARTS: dict[str, Callable[[PartCosts], None]] = {
    "budgets": PartCosts.measure_budgets,
    "few": PartCosts.measure_small_fleets,
    "storms": PartCosts.measure_retry_admission,
    "loudest": PartCosts.measure_heavy_hitters,
    "decisions": PartCosts.measure_decisions,
    "settings": PartCosts.measure_settings,
    "voters": PartCosts.measure_voters,
    "answers": PartCosts.measure_operator_answers,
}


def measured(parts: PartCosts, names: list[str]) -> PartCosts:
    """Measure parts by name."""
    for name in names:
        started_at = time.monotonic()
        PARTS[name](parts)
        print(f"{name}: {time.monotonic() - started_at:.1f} s", file=sys.stderr)
    return parts


def record(parts: PartCosts, names: list[str], at: str, load: float) -> None:
    """Write the record, with a note of the commit and of how busy the machine was."""
    busy = (
        f"{at}, {','.join(names)}: load average {load:.1f} at start, {os.getloadavg()[0]:.1f} at the end, "
        f"on {os.cpu_count()} cores."
    )
    path, old = RECORDED / "parts.json", {}
    if len(names) < len(PARTS) and path.exists():
        old = json.loads(path.read_text())
    busy_before = [note for note in old.get("notes", []) if " load average " in note]
    keep(
        "parts",
        {
            "commit": old.get("commit", at),
            "benchmark": "parts",
            "command": f"python -m benchmarks.parts --record --seed {parts.seed}",
            "seed": parts.seed,
            "mechanism": "parts",
            "costs": {**old.get("costs", {}), **parts.costs},
            "events": {**old.get("events", {}), **parts.events},
            "notes": [*NOTES, *busy_before, busy],
        },
    )


def main(argv: list[str] | None = None) -> int:
    """Measure the chosen parts and print their costs; return 1 if a bounded cost grew."""
    options = docopt(__doc__, argv)
    names = options["--only"].split(",") if options["--only"] else list(PARTS)
    if wrong := [name for name in names if name not in PARTS]:
        print(f"parts: there is no part {wrong[0]!r}", file=sys.stderr)
        return 1
    load, at = os.getloadavg()[0], commit()
    parts = measured(PartCosts(options["--quick"], int(options["--seed"])), names)
    table = ConsoleTable("cost", "unit", "by", "points", "fit", "residual")
    for name, cost_record in parts.costs.items():
        points = ", ".join(f"{size:g}: {value:g}" for size, value in cost_record["points"])
        fit = f"{cost_record['constant']:g}" + (
            f" + {cost_record['slope']:g} x {cost_record['form']}" if cost_record["form"] != "constant" else ""
        )
        table.add_row(name, cost_record["unit"], cost_record["size"], points, fit, f"{cost_record['residual']:.3f}")
    Console(width=200).print(table)
    grown = {name: rounded(points[-1][1] / points[-2][1], 3) for name, points in parts.bounded.items()}
    holds = {name: ratio <= 2.0 for name, ratio in grown.items()}
    if options["--record"] and not options["--quick"]:
        record(parts, names, at, load)
    print(json.dumps({"benchmark": "parts", "grown": grown, "events": parts.events, "holds": holds}))
    return 0 if all(holds.values()) else 1


NOTES = [
    "Memory by tracemalloc; CPU of one process, medians of 7 turns (3 at the largest sizes of voters and answers).",
    "control.budgets_cpu drives Part alone with 3,600 seats: a letter carries 16 budgets at most.",
    "control.budgets_bytes: 25 members in virtual time, sent and received, UDP and IPv4 headers in.",
    "control.few_bytes: the same among 4 to 64 members, without budgets.",
    "voter.messages, voter.bytes: in virtual time, of one of three voters, heard and said; one permit, all others wait.",
    "request.storms_memory: at whole generations of the books, where they hold the most.",
    "request.storms_memory_unbounded: callers-kept and repeats-kept raised to the number of callers.",
    "tools.fleet_answer_cpu: all members name the same four loudest tenants; _tenants_differ: each names four others.",
]


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
