"""What single parts cost by size, in pure code: budgets, storm books, sketches, permits, decisions, the operator's answer.

Usage:
  parts [--quick] [--record] [--seed N] [--only PARTS]

Options:
  --quick       Fewer sizes and turns; what it finds is not recorded.
  --record      Writes benchmarks/recorded/parts.json, from which docs/CAPACITY.md is made.
  --seed N      Of names and draws [default: 1].
  --only PARTS  Some of budgets,few,storms,loudest,decisions,settings,voters,answers; the record keeps the others.

Memory is what the structures hold (tracemalloc), time the process's own CPU, the median of several turns. Aims: what is said to
be bounded is: the sketch of tenants, the storm books and an op's decision cost at their largest size at most twice what they
cost at the size before. Two sizes of one run are compared, so a busy machine moves both.
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
from rich.table import Table as Shown

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
from mulleinhatch.instance.maintenance import messages as upkeep_words
from mulleinhatch.instance.maintenance.core import Bounds, Known, Upkeep
from mulleinhatch.instance.maintenance.paxos_register import Ballot, Kept
from mulleinhatch.instance.maintenance.schedule import Request
from mulleinhatch.instance.maintenance.table import MOST_OUT, Permit, Table
from mulleinhatch.instance.retry_storms.bounds import StormBounds
from mulleinhatch.instance.retry_storms.duplicate_detection import likeness
from mulleinhatch.instance.retry_storms.retry_admission import Desk
from mulleinhatch.instance.runtime.gossip import TENANTS_KEPT, GossipService
from mulleinhatch.simulation.gossip_world import FleetWorld, Plan
from mulleinhatch.simulation.maintenance_world import Machines

HEADERS = 28  # bytes of UDP and IPv4 before each datagram
PEAK, TENANTS, MEMBERS, CALLERS, CLASSES = 990_000, 250_000, 3_600, 48_000, 44_000  # of the target
HEADROOM = 2.0  # of a tenant's total over its mean rate at the peak
LETTERS = 4  # that a member sends, and hears, a beat: two probes and their answers
BEATS = 10  # a second
TURNS, QUICK_TURNS = 7, 3
Points = list[tuple[float, float]]


def held(make: Callable[..., Any], *told: Any) -> float:
    """Bytes that stay allocated by what `make` gives."""
    tracemalloc.start()
    kept = make(*told)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return float(size)


def cpu(act: Callable[..., Any], times: int, turns: int, *told: Any) -> float:
    """Seconds of CPU of one `act`, the median of some turns of so many."""
    spent = []
    for _ in range(turns):
        begun = time.process_time()
        for _ in range(times):
            act(*told)
        spent.append((time.process_time() - begun) / times)
    return statistics.median(spent)


class Parts:
    def __init__(self, quick: bool, seed: int) -> None:
        self.quick, self.seed, self.turns = quick, seed, QUICK_TURNS if quick else TURNS
        self.costs: dict[str, dict[str, Any]] = {}
        self.events: dict[str, dict[str, float]] = {}
        self.bounded: dict[str, Points] = {}  # by cost: what must not grow beyond its bound

    def sizes(self, *all_sizes: int) -> tuple[int, ...]:
        """In a quick run without the largest."""
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
        self.costs[name] = cost(unit, size, points, form, checked)
        if bounded:
            self.bounded[name] = points

    # Budgets.

    def budgets(self) -> None:
        sizes = self.sizes(16, 100, 1_000, 10_000)
        last = None if self.quick else 40_000
        memory = [(count, held(all_parts, count)) for count in (*sizes, *([last] if last else []))]
        spent = [(count, BEATS * self._beat_of(count)) for count in (*sizes, *([last] if last else []))]
        for name, unit, points in (("control.budgets_memory", "bytes", memory), ("control.budgets_cpu", "cores", spent)):
            self.add(name, unit, "budgets", points[: len(sizes)], "linear", checked=points[-1] if last else None)
        bytes_a_second, datagrams = [], []
        for count in (1, 4, 8, 16):
            world = FleetWorld(
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
        self.even_parts()

    def _beat_of(self, count: int) -> float:
        """What a beat asks of each part: use, a plan, a spare for each letter sent, the pieces on each one heard."""
        parts = all_parts(count)
        now = 100.0

        def beat() -> None:
            for part in parts:
                part.usable(now)
                part.plan_requests(now, 0.5, [])
                for _ in range(LETTERS):
                    part.spare_units(now, 0.5)
                for _ in range(1 + LETTERS):
                    part.usable_pieces(now)

        return cpu(beat, max(1, 1_000 // count), self.turns)

    def few(self) -> None:
        """Fleet state among few members: where its bytes pass the bound of the target."""
        points = []
        for count in (2, 4, 8, 16) if self.quick else (2, 4, 8, 16, 32, 64):
            world = FleetWorld(Plan(count, until=20.0, budgets=(), seed=self.seed))
            before = Counter(world.play(5.0).counts)
            world.play(10.0 if self.quick else 20.0)
            sent, data = (world.counts[name] - before[name] for name in ("datagrams", "bytes"))
            points.append((count, 2.0 * (data + HEADERS * sent) / count / (world.now - 5.0)))
        # Two have one to probe a beat, and half of the letters.
        self.events["fleet state of two members"] = {"bytes a second, sent and received": rounded(points[0][1])}
        self.add("control.few_bytes", "bytes/s", "members", points[1:], "constant")

    def even_parts(self) -> None:
        """By a reckoned distribution of totals: rank and rate by Zipf's law of exponent 1 over the target's peak."""
        whole = sum(1.0 / rank for rank in range(1, TENANTS + 1))
        totals = sorted(max(1, int(HEADROOM * PEAK / whole / rank)) for rank in range(1, TENANTS + 1))
        self.events["even parts (totals are reckoned)"] = {
            "median tenant's total, runs a second": totals[TENANTS // 2],
            "largest": totals[-1],
            **{
                f"tenants under one run a second at {seats:,} seats": rounded(bisect_right(totals, seats - 1) / TENANTS, 6)
                for seats in (25, 100, 400, MEMBERS)
            },
        }

    # Storm books and sketches.

    def storms(self) -> None:
        # At whole generations of the books, where they hold the most that they ever do.
        usual, callers = StormBounds(), self.sizes(16_384, 32_768, 49_152)
        self.add(
            "request.storms_memory",
            "bytes",
            "callers",
            [(count, held(full_desk, usual, count)) for count in callers],
            "constant",
            bounded=True,
        )
        raised = self.sizes(1_000, 4_000, 16_000, CALLERS)
        self.add(
            "request.storms_memory_unbounded",
            "bytes",
            "callers",
            [(count, held(full_desk, usual._replace(callers_kept=count, repeats_kept=count), count)) for count in raised],
            "linear",
        )
        spent = []
        for count in callers:
            spent.append((count, 1e6 * cpu(tries_of(full_desk(usual, count), count, self.seed), 5_000, self.turns)))
        self.add("request.storms_cpu", "us a request", "callers", spent, "constant", bounded=True)

    def loudest(self) -> None:
        memory, spent, adds = [], [], 20_000 if self.quick else 200_000
        for count in self.sizes(1_000, 10_000, 100_000, TENANTS):
            names = Names(count, self.seed)
            memory.append((count, held(filled, names, adds)))
            spent.append(
                (
                    count,
                    1e6 * cpu(adding(filled(names, adds), names, adds), 20_000, self.turns)
                    - 1e6 * cpu(names.next, 20_000, self.turns),
                )
            )
        self.add("request.loudest_memory", "bytes", "tenants", memory, "constant", bounded=True)
        self.add("request.loudest_cpu", "us a request", "tenants", spent, "constant", bounded=True)

    # Decisions.

    def decisions(self) -> None:
        memory, spent = [], []
        for count in self.sizes(10, 1_000, 25_000, TENANTS):
            told = deployment(count, 10)
            memory.append((count, held(AdmissionController, told, 1, 0.0)))
            spent.append((count, 1e6 * cpu(cycle(AdmissionController(told, 1, 0.0), count, 10, self.seed), 500, self.turns)))
        self.add("request.decide_memory", "bytes", "tenants", memory, "linear")
        self.add("request.decide_cpu", "us a request", "tenants", spent, "constant", bounded=True)
        memory, spent = [], []
        for count in self.sizes(10, 1_000, 10_000, CLASSES):
            told = deployment(10, count)
            memory.append((count, held(AdmissionController, told, 1, 0.0)))
            spent.append((count, 1e6 * cpu(cycle(AdmissionController(told, 1, 0.0), 10, count, self.seed), 500, self.turns)))
        self.add("request.decide_classes_memory", "bytes", "classes", memory, "linear")
        self.add("request.decide_classes_cpu", "us a request", "classes", spent, "constant", bounded=True)

    def settings(self) -> None:
        """The file that carries configuration today, whole at each change."""
        for name, size, sizes, rows in (
            ("control.settings_bytes", "tenants", self.sizes(1_000, 25_000, 100_000, TENANTS), tenants_told),
            ("control.settings_classes_bytes", "classes", self.sizes(1_000, 10_000, 20_000, CLASSES), classes_told),
        ):
            self.add(name, "bytes", size, [(count, float(len(json.dumps(rows(count))))) for count in sizes], "linear")

    # Voters.

    def voters(self) -> None:
        messages, sent = [], []
        for count in (18, 24, 30) if self.quick else (24, 40, 60, 80, 120):
            world = Asking(count, self.seed)
            world.play(4.0)
            world.to_go = {node.name for node in world.nodes[3:]}
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
            spent.append((count, 1e6 * cpu(answered, max(2, 1_000 // count), turns, core, query)))
        self.add("voter.query_cpu", "us a word", "members", spent, "square")
        for name, letters in (("voter.table_bytes", 8), ("voter.table_bytes_longest", 40)):
            self.add(
                name, "bytes", "permits", [(out, float(table_bytes(out, letters))) for out in (1, 3, 6, 9, MOST_OUT)], "linear"
            )

    # The operator's tools.

    def answers(self) -> None:
        """Where all members name the same loudest tenants, and where each names others."""
        sizes = (25, 50, 100) if self.quick else (25, 100, 400, 1_000)
        for name, differ, form in (("", False, "linear"), ("_tenants_differ", True, "square")):
            size, spent = [], []
            for count in sizes:
                side = fleet_side(count, differ)
                size.append((count, float(len(side.status_json()))))
                spent.append(
                    (count, 1e3 * cpu(side.status_json, max(1, 400 // count), self.turns if count < 400 else QUICK_TURNS))
                )
            if not differ:
                self.add("tools.fleet_answer_bytes", "bytes", "members", size, "linear")
            self.add(f"tools.fleet_answer_cpu{name}", "ms an answer", "members", spent, form)


class Names:
    """Tenants by Zipf's law of exponent 1, drawn before: the draw must not be what is timed."""

    def __init__(self, count: int, seed: int) -> None:
        draw = random.Random(seed)
        drawn = draw.choices(range(count), [1.0 / rank for rank in range(1, count + 1)], k=100_000)
        self.names = [f"tenant {place}" for place in drawn]
        self.turn = 0

    def next(self) -> str:
        self.turn = (self.turn + 1) % len(self.names)
        return self.names[self.turn]


def filled(names: Names, adds: int) -> HeavyHitters:
    sketch = HeavyHitters(TENANTS_KEPT)
    for turn in range(adds):
        sketch.add(turn / 275.0, names.next())
    return sketch


def adding(sketch: HeavyHitters, names: Names, since: int) -> Callable[[], None]:
    clock = count_from(since)
    return lambda: sketch.add(next(clock) / 275.0, names.next())


SEATS = tuple(f"n{place}" for place in range(MEMBERS))


def all_parts(count: int) -> list[LeasedQuota]:
    return [LeasedQuota(BudgetBounds(f"b{place}", 2 * MEMBERS, SEATS, tenant=f"t{place}"), "n0", 0.0) for place in range(count)]


def one_try(desk: Desk, caller: int, number: int) -> None:
    """A first try that is nacked: likeness, books of callers and of tries, as the reducer keeps them."""
    like = likeness(caller, "read", "t1", "", b"body %d" % number, 0.5, 0.05, 1.0)
    repeat, looks = desk.tries.read(1.0, like, again=False)
    desk.read(1.0, caller, True, 0.0)
    desk.tries.closed(looks)
    desk.tries.nacked(1.0, looks)


def full_desk(bounds: StormBounds, callers: int) -> Desk:
    """One nacked op of each caller, and one run that may not run twice."""
    desk = Desk(bounds, longest_hold_off=10.0, seed=7)
    for caller in range(callers):
        one_try(desk, caller, caller)
        desk.runs.started(1.0, f"r{caller}", likeness(caller, "read", "t1", "", b"%d" % caller, 0.5, 0.05, 1.0), 5.0)
    return desk


def tries_of(desk: Desk, callers: int, seed: int) -> Callable[[], None]:
    draw = random.Random(seed)
    return lambda: one_try(desk, draw.randrange(callers), draw.randrange(10**9))


def deployment(tenants: int, classes: int) -> Deployment:
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


def cycle(hatch: AdmissionController, tenants: int, classes: int, seed: int) -> Callable[[], None]:
    """One request from its reading to its end, as a host drives it, at the target's rate of an instance."""
    draw, clock = random.Random(seed), count_from(0)

    def one() -> None:
        turn = next(clock)
        now = turn / 275.0
        hatch.record_arrival(
            now, turn + 1, draw.randrange(classes), 0.0, 1.0, draw.randrange(tenants), 0, turn % 100, 0.002, 1.0, False
        )
        started = [decision.ref for decision in decisions(hatch, now) if decision.verb is Verb.RUN]
        for ref in started:
            hatch.record_run_end(now + 0.002, ref, Ending.OK)
        for _ in decisions(hatch, now + 0.002):
            pass

    return one


def decisions(hatch: AdmissionController, now: float) -> Iterator[Any]:
    while decision := hatch.next_decision(now):
        yield decision


def tenants_told(count: int) -> list[dict[str, Any]]:
    return [{"name": f"tenant-{place:06}", "fraction": 0.001, "quota_per_s": 10.0} for place in range(count)]


def classes_told(count: int) -> list[dict[str, Any]]:
    return [
        {"name": f"route-{place:05}", "effect": "safe", "aim": 1000.0, "deadline": 2000.0, "worth": 1.0}
        for place in range(count)
    ]


class Asking(Machines):
    """All ask to go out and one at a time may: what words a voter hears and says, with headers."""

    def __init__(self, count: int, seed: int) -> None:
        self.heard: Counter[str] = Counter()
        super().__init__(count, most=1, works=1e6, seed=seed)

    def _word(self, data: bytes) -> None:
        if words.decode(data, "virtual").extension:
            self.heard["words"] += 1
            self.heard["bytes"] += HEADERS + len(data)

    def _send(self, node: Any, errands: list[tuple[str, bytes]]) -> None:
        if node.place == 1:
            for _, data in errands:
                self._word(data)
        super()._send(node, errands)

    def _heard(self, node: Any, data: bytes) -> None:
        if node.place == 1:
            self._word(data)
        super()._heard(node, data)


def asked_voter(count: int) -> tuple[Upkeep, bytes]:
    """A voter that knows so many members, all of which wait, and one more query of the last."""
    fleet = GossipNode(FleetBounds("f"), "v0", "10.0.0.1:1", 1, 1, 0.0)
    core = Upkeep(Bounds(("v0",), 3, 1, "z0"), fleet, 1, 0.0, Kept(writes=1), None)
    requests = [Request(f"n{place}", f"z{place % 9}", "release", 30.0, float(place)) for place in range(count)]
    letters = [
        GossipMessage(words.VERSION, "f", request.name, f"10.1.{place // 250}.{place % 250}:7300", 1, 0, "word")
        for place, request in enumerate(requests)
    ]
    for letter, request in zip(letters, requests):
        core.fleet.handle_message(1.0, letter)
        core.requests[request.name] = Known(request, 1.0)
    query = upkeep_words.encode(upkeep_words.Query(requests[-1]))
    return core, words.encode(msgspec.structs.replace(letters[-1], extension=query))


def answered(core: Upkeep, query: bytes) -> None:
    core.fleet.handle_datagram(1.0, query)
    if not core.said():
        raise ValueError("the voter gave no answer: nothing was measured")


def table_bytes(out: int, letters: int) -> int:
    """The largest word that carries the table: what a voter tells one that lost its disk."""
    table = Table(
        tuple(f"v{place}".ljust(letters, "x") for place in range(7)),
        MOST_OUT,
        MOST_OUT,
        8_000,
        0,
        tuple(
            Permit(f"n{place}".ljust(letters, "x"), "r1z1", 8_000 - place, "release".ljust(letters, "x"))
            for place in range(out)
        ),
    )
    ballot = Ballot(8_000, "n1.1700000000000.12")
    return len(upkeep_words._encoder.encode(upkeep_words.Told(Kept(ballot, ballot, table, 16_000), False)))


def fleet_side(count: int, differ: bool) -> GossipService:
    """An instance's side that has heard of so many members with a report each: no socket is bound, nothing is sent."""
    bounds = FleetBounds("f", budgets=(BudgetBounds("q", MEMBERS, SEATS, tenant="t"),))
    place = SimpleNamespace(fleet=bounds, name="n0", seed=1, spread=None, upkeep=None)
    side = GossipService(place, SimpleNamespace(tenants=[]), lambda *told: None, lambda: None)
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


PARTS = ("budgets", "few", "storms", "loudest", "decisions", "settings", "voters", "answers")


def measured(parts: Parts, names: list[str]) -> Parts:
    for name in names:
        begun = time.monotonic()
        getattr(parts, name)()
        print(f"{name}: {time.monotonic() - begun:.1f} s", file=sys.stderr)
    return parts


def record(parts: Parts, names: list[str], at: str, load: float) -> None:
    """Each run leaves a note of its commit and of how busy the machine was."""
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
    told = docopt(__doc__, argv)
    names = told["--only"].split(",") if told["--only"] else list(PARTS)
    if wrong := [name for name in names if name not in PARTS]:
        print(f"parts: there is no part {wrong[0]!r}", file=sys.stderr)
        return 1
    load, at = os.getloadavg()[0], commit()
    parts = measured(Parts(told["--quick"], int(told["--seed"])), names)
    shown = Shown("cost", "unit", "by", "points", "fit", "residual")
    for name, one in parts.costs.items():
        points = ", ".join(f"{size:g}: {value:g}" for size, value in one["points"])
        fit = f"{one['constant']:g}" + (f" + {one['slope']:g} x {one['form']}" if one["form"] != "constant" else "")
        shown.add_row(name, one["unit"], one["size"], points, fit, f"{one['residual']:.3f}")
    Console(width=200).print(shown)
    grown = {name: rounded(points[-1][1] / points[-2][1], 3) for name, points in parts.bounded.items()}
    holds = {name: ratio <= 2.0 for name, ratio in grown.items()}
    if told["--record"] and not told["--quick"]:
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
