"""Measure the costs of single components by size: budgets, retry admission, sketches, permits, decisions, status answers.

Usage:
  parts [--quick] [--record] [--seed N] [--only PARTS]

Options:
  --quick       Fewer sizes and repetitions; the result is not recorded.
  --record      Write benchmarks/recorded/parts.json, from which docs/CAPACITY.md is generated.
  --seed N      Seed of names and draws [default: 1].
  --only PARTS  Some of budgets,few,storms,loudest,decisions,settings,voters,answers; the record keeps the others.

Memory is what the structures retain (tracemalloc); time is CPU time of the process, the median of several repetitions.
Objective: bounded costs (sketch of tenants, retry admission, decision about a request) at their largest size are at most twice
the cost at the next smaller size. Two sizes of one run are compared, so that a busy machine affects both.
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

from benchmarks.records import RECORDED, commit, cost, rounded, write_record
from mulleinhatch.admission import AdmissionController
from mulleinhatch.admission.interface import Deployment, Effect, Ending, Verb
from mulleinhatch.instance.gossip import messages as wire_messages
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
from mulleinhatch.instance.runtime.gossip import MAX_COUNTED_TENANTS, GossipService
from mulleinhatch.simulation.gossip_world import GossipWorld, Plan
from mulleinhatch.simulation.maintenance_world import MaintenanceWorld

HEADERS = 28  # bytes of the UDP and IPv4 headers of a datagram
PEAK, TENANTS, MEMBERS, CALLERS, CLASSES = 990_000, 250_000, 3_600, 48_000, 44_000  # at the capacity target
HEADROOM = 2.0  # a tenant's total as a multiple of its mean rate at the peak
MESSAGES_PER_HEARTBEAT = 4  # messages that a member sends and as many that it receives: two probes and two replies
HEARTBEATS_PER_S = 10
REPETITIONS, QUICK_REPETITIONS = 7, 3
Points = list[tuple[float, float]]


def retained_bytes(make: Callable[..., Any], *arguments: Any) -> float:
    """Return the bytes that are retained by the result of `make`."""
    tracemalloc.start()
    retained = make(*arguments)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del retained
    return float(size)


def cpu_s(function: Callable[..., Any], times: int, repetitions: int, *arguments: Any) -> float:
    """Return the CPU seconds per call of `function`: the median of `repetitions` runs of `times` calls."""
    samples = []
    for _ in range(repetitions):
        started_at = time.process_time()
        for _ in range(times):
            function(*arguments)
        samples.append((time.process_time() - started_at) / times)
    return statistics.median(samples)


class PartCosts:
    """Measures the components and collects their costs by size.

    Attributes:
        costs: Costs by name, in the form of a record.
        events: Figures that do not depend on a size.
        bounded: Points of the costs that must not grow beyond their bound.
    """

    def __init__(self, quick: bool, seed: int) -> None:
        self.quick, self.seed, self.repetitions = quick, seed, QUICK_REPETITIONS if quick else REPETITIONS
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
            size: What the sizes count.
            points: Pairs of size and value.
            form: Form of the fit.
            bounded: Whether the cost must not grow beyond its bound.
            checked: A run at another size, which is not used for the fit.
        """
        self.costs[name] = cost(unit, size, points, form, checked)
        if bounded:
            self.bounded[name] = points

    # Budgets.

    def measure_budgets(self) -> None:
        """Measure memory, CPU and traffic of budgets."""
        sizes = self.sizes(16, 100, 1_000, 10_000)
        last = None if self.quick else 40_000
        memory = [(count, retained_bytes(budget_states, count)) for count in (*sizes, *([last] if last else []))]
        cpu_points = [(count, HEARTBEATS_PER_S * self._heartbeat_cpu_s(count)) for count in (*sizes, *([last] if last else []))]
        for name, unit, points in (("control.budgets_memory", "bytes", memory), ("control.budgets_cpu", "cores", cpu_points)):
            self.add(name, unit, "budgets", points[: len(sizes)], "linear", checked=points[-1] if last else None)
        bytes_per_s, datagrams = [], []
        for count in (1, 4, 8, 16):
            world = GossipWorld(
                Plan(25, until=15.0, budgets=tuple((f"b{index}", 100, 1.0) for index in range(count)), seed=self.seed)
            )
            before = Counter(world.play(5.0).counts)
            world.play(6.0 if self.quick else 15.0)
            per = 25 * (world.now - 5.0)
            sent = (world.counts["datagrams"] - before["datagrams"]) / per
            datagrams.append((count, 2.0 * sent))
            bytes_per_s.append((count, 2.0 * ((world.counts["bytes"] - before["bytes"]) / per + HEADERS * sent)))
        self.add("control.budgets_bytes", "bytes/s", "budgets", bytes_per_s, "constant")
        self.add("control.budgets_datagrams", "datagrams/s", "budgets", datagrams, "constant")
        self._record_even_shares()

    def _heartbeat_cpu_s(self, count: int) -> float:
        """Return the CPU seconds of one heartbeat for all budgets."""
        quotas = budget_states(count)
        now = 100.0

        def heartbeat() -> None:
            for quota in quotas:
                quota.usable(now)
                quota.plan_requests(now, 0.5, [])
                for _ in range(MESSAGES_PER_HEARTBEAT):
                    quota.spare_units(now, 0.5)
                for _ in range(1 + MESSAGES_PER_HEARTBEAT):
                    quota.usable_pieces(now)

        return cpu_s(heartbeat, max(1, 1_000 // count), self.repetitions)

    def measure_small_fleets(self) -> None:
        """Measure the traffic of fleet state in small fleets, where it exceeds the bound of the target."""
        points = []
        for count in (2, 4, 8, 16) if self.quick else (2, 4, 8, 16, 32, 64):
            world = GossipWorld(Plan(count, until=20.0, budgets=(), seed=self.seed))
            before = Counter(world.play(5.0).counts)
            world.play(10.0 if self.quick else 20.0)
            sent, data_bytes = (world.counts[name] - before[name] for name in ("datagrams", "bytes"))
            points.append((count, 2.0 * (data_bytes + HEADERS * sent) / count / (world.now - 5.0)))
        # With two members there is only one to probe per heartbeat, so half of the messages.
        self.events["fleet state of two members"] = {"bytes a second, sent and received": rounded(points[0][1])}
        self.add("control.few_bytes", "bytes/s", "members", points[1:], "constant")

    def _record_even_shares(self) -> None:
        """Record the even shares of computed totals: rates follow Zipf's law with exponent 1 and sum to the target's peak."""
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

    # Retry admission and sketches.

    def measure_retry_admission(self) -> None:
        """Measure memory and CPU of retry admission by the number of callers."""
        # Measured with full generations of the logs, when they are largest.
        default_bounds, callers = StormBounds(), self.sizes(16_384, 32_768, 49_152)
        self.add(
            "request.storms_memory",
            "bytes",
            "callers",
            [(count, retained_bytes(filled_retry_admission, default_bounds, count)) for count in callers],
            "constant",
            bounded=True,
        )
        caller_counts = self.sizes(1_000, 4_000, 16_000, CALLERS)
        self.add(
            "request.storms_memory_unbounded",
            "bytes",
            "callers",
            [
                (
                    count,
                    retained_bytes(
                        filled_retry_admission, default_bounds._replace(callers_kept=count, repeats_kept=count), count
                    ),
                )
                for count in caller_counts
            ],
            "linear",
        )
        cpu_points = []
        for count in callers:
            cpu_points.append(
                (
                    count,
                    1e6
                    * cpu_s(
                        first_attempt_of_random_caller(filled_retry_admission(default_bounds, count), count, self.seed),
                        5_000,
                        self.repetitions,
                    ),
                )
            )
        self.add("request.storms_cpu", "us a request", "callers", cpu_points, "constant", bounded=True)

    def measure_heavy_hitters(self) -> None:
        """Measure memory and CPU of the sketch of the most active tenants."""
        memory, cpu_points, adds = [], [], 20_000 if self.quick else 200_000
        for count in self.sizes(1_000, 10_000, 100_000, TENANTS):
            names = TenantNames(count, self.seed)
            memory.append((count, retained_bytes(filled_sketch, names, adds)))
            cpu_points.append(
                (
                    count,
                    1e6 * cpu_s(sketch_adder(filled_sketch(names, adds), names, adds), 20_000, self.repetitions)
                    - 1e6 * cpu_s(names.next, 20_000, self.repetitions),
                )
            )
        self.add("request.loudest_memory", "bytes", "tenants", memory, "constant", bounded=True)
        self.add("request.loudest_cpu", "us a request", "tenants", cpu_points, "constant", bounded=True)

    # Decisions.

    def measure_decisions(self) -> None:
        """Measure memory and CPU of admission decisions by the numbers of tenants and classes."""
        memory, cpu_points = [], []
        for count in self.sizes(10, 1_000, 25_000, TENANTS):
            settings = deployment(count, 10)
            memory.append((count, retained_bytes(AdmissionController, settings, 1, 0.0)))
            cpu_points.append(
                (
                    count,
                    1e6
                    * cpu_s(request_cycle(AdmissionController(settings, 1, 0.0), count, 10, self.seed), 500, self.repetitions),
                )
            )
        self.add("request.decide_memory", "bytes", "tenants", memory, "linear")
        self.add("request.decide_cpu", "us a request", "tenants", cpu_points, "constant", bounded=True)
        memory, cpu_points = [], []
        for count in self.sizes(10, 1_000, 10_000, CLASSES):
            settings = deployment(10, count)
            memory.append((count, retained_bytes(AdmissionController, settings, 1, 0.0)))
            cpu_points.append(
                (
                    count,
                    1e6
                    * cpu_s(request_cycle(AdmissionController(settings, 1, 0.0), 10, count, self.seed), 500, self.repetitions),
                )
            )
        self.add("request.decide_classes_memory", "bytes", "classes", memory, "linear")
        self.add("request.decide_classes_cpu", "us a request", "classes", cpu_points, "constant", bounded=True)

    def measure_settings(self) -> None:
        """Measure the size of the configuration file, which is sent completely at each change."""
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
            world.voter_traffic.clear()
            world.play(12.0)
            messages.append((count, world.voter_traffic["words"] / 4.0))
            sent.append((count, world.voter_traffic["bytes"] / 4.0))
        for name, unit, points in (("voter.messages", "words/s", messages), ("voter.bytes", "bytes/s", sent)):
            fitted = points if self.quick else points[:-1]
            self.add(name, unit, "members", fitted, "linear", checked=None if self.quick else points[-1])
        cpu_points = []
        for count in self.sizes(30, 100, 300, 990):
            core, query = voter_with_waiting_members(count)
            repetitions = self.repetitions if count < 500 else QUICK_REPETITIONS
            cpu_points.append((count, 1e6 * cpu_s(answer_query, max(2, 1_000 // count), repetitions, core, query)))
        self.add("voter.query_cpu", "us a word", "members", cpu_points, "square")
        for name, name_length in (("voter.table_bytes", 8), ("voter.table_bytes_longest", 40)):
            self.add(
                name,
                "bytes",
                "permits",
                [(permit_count, float(table_bytes(permit_count, name_length))) for permit_count in (1, 3, 6, 9, MAX_PERMITS)],
                "linear",
            )

    # The operator's tools.

    def measure_operator_answers(self) -> None:
        """Measure status answers when all members report the same top tenants and when each reports different ones."""
        sizes = (25, 50, 100) if self.quick else (25, 100, 400, 1_000)
        for name, has_distinct_tenants, form in (("", False, "linear"), ("_tenants_differ", True, "square")):
            size, cpu_points = [], []
            for count in sizes:
                service = gossip_service_with_reports(count, has_distinct_tenants)
                size.append((count, float(len(service.status_json()))))
                cpu_points.append(
                    (
                        count,
                        1e3
                        * cpu_s(
                            service.status_json, max(1, 400 // count), self.repetitions if count < 400 else QUICK_REPETITIONS
                        ),
                    )
                )
            if not has_distinct_tenants:
                self.add("tools.fleet_answer_bytes", "bytes", "members", size, "linear")
            self.add(f"tools.fleet_answer_cpu{name}", "ms an answer", "members", cpu_points, form)


class TenantNames:
    """Tenant names drawn by Zipf's law with exponent 1, in advance, so that the draw is not measured."""

    def __init__(self, count: int, seed: int) -> None:
        random_source = random.Random(seed)
        drawn = random_source.choices(range(count), [1.0 / rank for rank in range(1, count + 1)], k=100_000)
        self.names = [f"tenant {index}" for index in drawn]
        self.position = 0

    def next(self) -> str:
        """Return the next name."""
        self.position = (self.position + 1) % len(self.names)
        return self.names[self.position]


def filled_sketch(names: TenantNames, adds: int) -> HeavyHitters:
    """Return a sketch after a number of additions."""
    sketch = HeavyHitters(MAX_COUNTED_TENANTS)
    for number in range(adds):
        sketch.add(number / 275.0, names.next())
    return sketch


def sketch_adder(sketch: HeavyHitters, names: TenantNames, since: int) -> Callable[[], None]:
    """Return a function that adds the next name to a sketch."""
    clock = count_from(since)
    return lambda: sketch.add(next(clock) / 275.0, names.next())


SEATS = tuple(f"n{index}" for index in range(MEMBERS))


def budget_states(count: int) -> list[LeasedQuota]:
    """Return the state of `count` budgets."""
    return [LeasedQuota(BudgetBounds(f"b{index}", 2 * MEMBERS, SEATS, tenant=f"t{index}"), "n0", 0.0) for index in range(count)]


def record_first_attempt(retry_admission: RetryAdmission, caller: int, number: int) -> None:
    """Process a first attempt that is rejected, as an instance does."""
    fingerprints = request_fingerprint(caller, "read", "t1", "", b"body %d" % number, 0.5, 0.05, 1.0)
    repeat, keys = retry_admission.duplicates.classify(1.0, fingerprints, is_marked_retry=False)
    retry_admission.record_request(1.0, caller, True, 0.0)
    retry_admission.duplicates.record_closed(keys)
    retry_admission.duplicates.record_rejected(1.0, keys)


def filled_retry_admission(bounds: StormBounds, callers: int) -> RetryAdmission:
    """Return retry admission with one rejected request and one running, non-repeatable request of each caller."""
    retry_admission = RetryAdmission(bounds, longest_hold_off=10.0, seed=7)
    for caller in range(callers):
        record_first_attempt(retry_admission, caller, caller)
        retry_admission.executed.add(
            1.0, f"r{caller}", request_fingerprint(caller, "read", "t1", "", b"%d" % caller, 0.5, 0.05, 1.0), 5.0
        )
    return retry_admission


def first_attempt_of_random_caller(retry_admission: RetryAdmission, callers: int, seed: int) -> Callable[[], None]:
    """Return a function that processes the first attempt of a random caller."""
    random_source = random.Random(seed)
    return lambda: record_first_attempt(retry_admission, random_source.randrange(callers), random_source.randrange(10**9))


def deployment(tenants: int, classes: int) -> Deployment:
    """Return a deployment with the given numbers of tenants and classes."""
    return {
        "op_types": [
            {"effect": Effect.RETRYABLE, "importance": float(index % 10), "target_latency": 1.0, "op_timeout": 2.0}
            for index in range(classes)
        ],
        "tenants": [{"fraction": 1.0, "quota_per_s": 100.0} for _ in range(tenants)],
        "cores": 4,
        "crowd_per_core": 8.0,
        "callers": 100,
        "instances": MEMBERS,
    }


def request_cycle(controller: AdmissionController, tenants: int, classes: int, seed: int) -> Callable[[], None]:
    """Return a function that processes one request from arrival to end, at the target rate of an instance."""
    random_source, clock = random.Random(seed), count_from(0)

    def process_request() -> None:
        number = next(clock)
        now = number / 275.0
        controller.record_arrival(
            now,
            number + 1,
            random_source.randrange(classes),
            0.0,
            1.0,
            random_source.randrange(tenants),
            0,
            number % 100,
            0.002,
            1.0,
            False,
        )
        started = [decision.ref for decision in decisions(controller, now) if decision.verb is Verb.RUN]
        for ref in started:
            controller.record_run_end(now + 0.002, ref, Ending.OK)
        for _ in decisions(controller, now + 0.002):
            pass

    return process_request


def decisions(controller: AdmissionController, now: float) -> Iterator[Any]:
    """Yield all decisions that are due."""
    while decision := controller.next_decision(now):
        yield decision


def tenant_settings(count: int) -> list[dict[str, Any]]:
    """Return the settings of `count` tenants."""
    return [{"name": f"tenant-{index:06}", "fraction": 0.001, "quota_per_s": 10.0} for index in range(count)]


def class_settings(count: int) -> list[dict[str, Any]]:
    """Return the settings of `count` classes."""
    return [
        {"name": f"route-{index:05}", "effect": "safe", "aim": 1000.0, "deadline": 2000.0, "worth": 1.0}
        for index in range(count)
    ]


class WaitingMachines(MaintenanceWorld):
    """Machines that wait for the only permit; counts the messages of one voter and their bytes with headers."""

    def __init__(self, count: int, seed: int) -> None:
        self.voter_traffic: Counter[str] = Counter()
        super().__init__(count, most=1, work_duration_s=1e6, seed=seed)

    def _count_message(self, data: bytes) -> None:
        if wire_messages.decode(data, "virtual").extension:
            self.voter_traffic["words"] += 1
            self.voter_traffic["bytes"] += HEADERS + len(data)

    def _send(self, node: Any, effects: list[tuple[str, bytes]]) -> None:
        if node.place == 1:
            for _, data in effects:
                self._count_message(data)
        super()._send(node, effects)

    def _receive(self, node: Any, data: bytes) -> None:
        if node.place == 1:
            self._count_message(data)
        super()._receive(node, data)


def voter_with_waiting_members(count: int) -> tuple[MaintenanceCoordinator, bytes]:
    """Return a voter that knows `count` waiting members, and another query of the last one."""
    fleet = GossipNode(FleetBounds("f"), "v0", "10.0.0.1:1", 1, 1, 0.0)
    core = MaintenanceCoordinator(MaintenanceBounds(("v0",), 3, 1, "z0"), fleet, 1, 0.0, VoterState(writes=1), None)
    requests = [MaintenanceRequest(f"n{index}", f"z{index % 9}", "release", 30.0, float(index)) for index in range(count)]
    gossip_messages = [
        GossipMessage(wire_messages.VERSION, "f", request.name, f"10.1.{index // 250}.{index % 250}:7300", 1, 0, "word")
        for index, request in enumerate(requests)
    ]
    for message, request in zip(gossip_messages, requests):
        core.fleet.handle_message(1.0, message)
        core.requests[request.name] = ReceivedRequest(request, 1.0)
    query = maintenance_messages.encode(maintenance_messages.PositionQuery(requests[-1]))
    return core, wire_messages.encode(msgspec.structs.replace(gossip_messages[-1], extension=query))


def answer_query(core: MaintenanceCoordinator, query: bytes) -> None:
    """Let a voter answer a query.

    Raises:
        ValueError: If it does not answer, so that nothing would be measured.
    """
    core.fleet.handle_datagram(1.0, query)
    if not core.take_outgoing():
        raise ValueError("the voter gave no answer")


def table_bytes(permit_count: int, name_length: int) -> int:
    """Return the size of the largest message with the permit table: the reply to a voter that lost its disk."""
    table = PermitTable(
        tuple(f"v{index}".ljust(name_length, "x") for index in range(7)),
        MAX_PERMITS,
        MAX_PERMITS,
        8_000,
        0,
        tuple(
            Permit(f"n{index}".ljust(name_length, "x"), "r1z1", 8_000 - index, "release".ljust(name_length, "x"))
            for index in range(permit_count)
        ),
    )
    proposal = ProposalNumber(8_000, "n1.1700000000000.12")
    return len(
        maintenance_messages._encoder.encode(
            maintenance_messages.VoterStateReply(VoterState(proposal, proposal, table, 16_000), False)
        )
    )


def gossip_service_with_reports(count: int, has_distinct_tenants: bool) -> GossipService:
    """Return an instance's gossip service with reports of `count` members; it has no socket and sends nothing."""
    bounds = FleetBounds("f", budgets=(BudgetBounds("q", MEMBERS, SEATS, tenant="t"),))
    settings = SimpleNamespace(fleet=bounds, name="n0", seed=1, spread=None, upkeep=None)
    service = GossipService(settings, SimpleNamespace(tenants=[]), lambda *arguments: None, lambda: None)
    service.socket.close()
    now = time.monotonic()
    service.core = core = GossipNode(bounds, "n0", "10.0.0.1:7300", 1_700_000_000_000, 1, now)
    for number in range(1, count):
        name, address = f"n{number}", f"10.1.{number // 250}.{number % 250}:7300"
        report = Report(
            name,
            1_700_000_000_000,
            1,
            0.0,
            [1_000] * len(FIGURES),
            [1],
            [(f"tenant {(4 * number * has_distinct_tenants + one) % TENANTS}", 5.0) for one in range(4)],
        )
        core.handle_message(
            now,
            GossipMessage(
                wire_messages.VERSION,
                "f",
                name,
                address,
                1_700_000_000_000,
                0,
                "word",
                member_updates=[MemberUpdate(name, address, 1_700_000_000_000, 0, wire_messages.ALIVE)],
                reports=[report],
            ),
        )
    core.heartbeat(now, LocalState())
    return service


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


def measure_parts(parts: PartCosts, names: list[str]) -> PartCosts:
    """Measure components by name."""
    for name in names:
        started_at = time.monotonic()
        PARTS[name](parts)
        print(f"{name}: {time.monotonic() - started_at:.1f} s", file=sys.stderr)
    return parts


def record(parts: PartCosts, names: list[str], at: str, load: float) -> None:
    """Write the record, with a note of the commit and the load of the machine."""
    load_note = (
        f"{at}, {','.join(names)}: load average {load:.1f} at start, {os.getloadavg()[0]:.1f} at the end, "
        f"on {os.cpu_count()} cores."
    )
    path, old_record = RECORDED / "parts.json", {}
    if len(names) < len(PARTS) and path.exists():
        old_record = json.loads(path.read_text())
    old_load_notes = [note for note in old_record.get("notes", []) if " load average " in note]
    write_record(
        "parts",
        {
            "commit": old_record.get("commit", at),
            "benchmark": "parts",
            "command": f"python -m benchmarks.parts --record --seed {parts.seed}",
            "seed": parts.seed,
            "mechanism": "parts",
            "costs": {**old_record.get("costs", {}), **parts.costs},
            "events": {**old_record.get("events", {}), **parts.events},
            "notes": [*NOTES, *old_load_notes, load_note],
        },
    )


def main(argv: list[str] | None = None) -> int:
    """Measure the selected components and print their costs; return 1 if a bounded cost grew."""
    options = docopt(__doc__, argv)
    names = options["--only"].split(",") if options["--only"] else list(PARTS)
    if unknown := [name for name in names if name not in PARTS]:
        print(f"parts: unknown part {unknown[0]!r}", file=sys.stderr)
        return 1
    load, at = os.getloadavg()[0], commit()
    parts = measure_parts(PartCosts(options["--quick"], int(options["--seed"])), names)
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
    "Memory by tracemalloc; CPU of one process, medians of 7 repetitions (3 at the largest sizes of voters and answers).",
    "control.budgets_cpu: only the state of budgets with 3,600 seats; a gossip message has at most 16 budgets.",
    "control.budgets_bytes: 25 members in virtual time, sent and received, with UDP and IPv4 headers.",
    "control.few_bytes: the same among 4 to 64 members, without budgets.",
    "voter.messages, voter.bytes: one of three voters in virtual time, received and sent; one permit, all others wait.",
    "request.storms_memory: with full generations of the logs, when they are largest.",
    "request.storms_memory_unbounded: callers-kept and repeats-kept raised to the number of callers.",
    "tools.fleet_answer_cpu: all members report the same four top tenants; _tenants_differ: each reports four others.",
]


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
