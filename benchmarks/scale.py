"""What an instance's control costs at the target's size: hollow instances in virtual time, slopes, the full size, events.

Usage:
  scale [options] [--flat | --levels]

Options:
  --quick         Smaller sizes and shorter times, within 5 minutes.
  --seed N        Of the whole history [default: 1].
  --faults FILE   Only this script (of `simulation/scale_instances.py`), at the size of --members; checks the invariants.
  --for SECONDS   How long such a script is played [default: 30].
  --members N     The full size; slopes are measured below it [default: 3600].
  --only PART     slopes, full, events, instance, or one event by name.
  --flat          One flat fleet: every member knows every other.
  --levels        Fleet state in levels; the default where the cores have it.
  --workers N     Processes at most; else 4, and 6 at the full size.
  --record FILE   What was measured, as JSON for docs/CAPACITY.md.

slopes    each cost (bytes and datagrams sent and received with UDP/IP headers, CPU, state by kind, memory) at four sizes,
          fitted as constant, line or logarithm, whichever is off least, and set out at the full size
full      the full size played as a whole, calm: the fits must meet it within 15%. Flat, more than MAX_MEMBERS are refused:
          then the fits are checked at that many, or at 200 with --quick
events    each: time until known to the members that hold the dead one and in the sums of the other zones, living ones declared
          gone, most bytes, time until views and sums are one again
  dead      one dies             loss      5% loss, a twentieth stalled 2 s twice, then one dies
  churn     8,000 a day          burst     an hour of that (333) in a minute
  rack      40 of 400 at once    zone      a ninth, gone and back
  cut       the regions from each other, for minutes      hour   the same for an hour, at 90 members (not with --quick)
  restart   everybody in a minute                         start  everybody started in a minute
instance  real processes, by `benchmarks/scale_instance.py`, where that is there

Virtual time: all but CPU seconds and memory is the same on any machine. CPU is thread time in the cores, so a busy machine's
shared caches and sibling threads show in it; `load` tells how busy it was. Sizes of events are scaled with the members.
"""

from __future__ import annotations

import importlib
import json
import os
import random
import sys
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, NamedTuple

from docopt import docopt
from rich.console import Console
from rich.table import Table

from benchmarks import fits, records
from mulleinhatch.instance.gossip.core import MAX_MEMBERS
from mulleinhatch.simulation.scale_checks import in_sums, known_after, traffic_of
from mulleinhatch.simulation.scale_instances import (
    RACK,
    Ground,
    InvalidPlanError,
    Plan,
    churn,
    knows_levels,
    listed,
    restart_all,
)
from mulleinhatch.simulation.scale_shards import World
from mulleinhatch.testing.fault_script import FaultScriptError

BYTES, CORE, STATE_MB = 3000.0, 0.02, 8.0
KNOWN, IN_SUMS, AGAIN, JOINED, BURST = 5.0, 7.0, 10.0, 30.0, 2.0
TARGET = 3600
A_DAY = 8000.0  # restarts and replacements, at the target
AN_HOUR = 333
ROLE = "instance.control"
Holds = dict[str, bool]
Figures = dict[str, Any]


class Sizes(NamedTuple):
    """How much is played; seconds are virtual."""

    slopes: tuple[int, ...]
    checked: int  # of the full part
    events: int
    settle: float  # after joining, until nothing of it is told on
    calm: float  # measured
    cut: float
    minute: float  # in which an hour's churn comes, or all restart
    start: float  # in which the full part's members start


def sizes(levels: bool, quick: bool, members: int) -> Sizes:
    if levels:
        steps = [225, 450, 900, 1350] if quick else [225, 450, 900, 1800]
        full, events = (min(members, 1800), 225) if quick else (members, members)
    else:
        steps = [25, 50, 100, 150] if quick else [25, 100, 200, 400]
        full, events = min(members, 200 if quick else MAX_MEMBERS), 27 if quick else 225
    small = [step for step in steps if step < full] or [full]
    # Flat, all know each other from the start: who started late would be declared gone by those who wait for it.
    start = 0.1 if not levels else 3.0 if quick else 60.0
    # News of a start in a minute is over some 25 s after all have joined.
    full_times = (25.0, 10.0, 180.0, 60.0) if levels else (5.0, 10.0, 60.0, 60.0)
    settle, calm, cut, minute = (4.0, 5.0, 20.0, 10.0) if quick else full_times
    return Sizes(tuple(small), full, min(members, events), settle, calm, cut, minute, start)


class Told(NamedTuple):
    """What the command line says."""

    quick: bool
    seed: int
    members: int
    levels: bool
    workers: int
    sizes: Sizes

    def plan(self, members: int, **more: Any) -> Plan:
        return Plan(members=members, levels=self.levels, seed=self.seed, **more)

    def shards(self, members: int) -> int:
        """A window of few members is over sooner than its processes are woken."""
        return max(1, min(self.most_workers(members), members // (300 if self.levels else 100)))

    def most_workers(self, members: int) -> int:
        return self.workers or (6 if members >= 1800 else 4)


def until_one(world: World, within: float, step: float = 0.5) -> float | None:
    """Seconds from now until views are one."""
    since = world.now
    while not world.one():
        if world.now - since >= within:
            return None
        world.play(world.now + step)
    return world.now - since


def calm(told: Told, members: int, start: float = 0.1) -> Figures:
    """All costs of a calm fleet of that size, in the mean of its instances."""
    sizes, begun = told.sizes, time.monotonic()
    # A flat fleet of hundreds would take most of the time to join; what it costs once joined is asked here.
    with World(told.plan(members, introduced=not told.levels, start_within=start), told.shards(members)) as world:
        joined = until_one(world.play(max(1.0, start)), JOINED + 30.0)
        # A flat fleet's reports take the longer to reach all the more there are; after 5 s at 1,000 half the rows are missing.
        world.play(float(int(world.now + sizes.settle + (0.0 if told.levels else members / 40.0)) + 1))
        since = world.now
        world.ask("mark")
        world.play(since + sizes.calm)
        traffic = traffic_of(world.traffic(since, world.now))
        cpu = [nanoseconds / 1e9 / sizes.calm for nanoseconds, _ in world.cpu().values()]
        sample = list(range(0, members, max(1, members // 12)))
        states = [state for answer in world.ask("state", sample) for state in answer]
        memory, wrong = world.memory(), world.counts()["wrong"]
    kinds = {f"state.{kind}": sum(state[kind] for state in states) / len(states) for kind in states[0]}
    return {
        "bytes": traffic.mean,
        "bytes_sent": traffic.sent,
        "bytes_received": traffic.heard,
        "datagrams_sent": traffic.sent_count,
        "datagrams_received": traffic.heard_count,
        "core": sum(cpu) / members,
        "state": sum(kinds.values()),
        **kinds,
        "memory": memory,
        "worst 10 s": traffic.worst,
        "worst second": traffic.second,
        "worst core": max(cpu),
        "joined": joined,
        "wrong": wrong,
        "speed": round(world.now / (time.monotonic() - begun), 3),
        "load": os.getloadavg()[0],
    }


COSTS = {
    "bytes": "bytes/s",
    "bytes_sent": "bytes/s",
    "bytes_received": "bytes/s",
    "datagrams_sent": "datagrams/s",
    "datagrams_received": "datagrams/s",
    "core": "cores",
    "state": "bytes",
    "memory": "bytes",
}


def unit(cost: str) -> str:
    return COSTS.get(cost, "bytes")


class Run:
    """What is measured in one call of the benchmark: parts add to it."""

    def __init__(self, told: Told) -> None:
        self.told, self.commit = told, records.commit()
        self.by_size: dict[int, Figures] = {}
        self.full: tuple[int, Figures] | None = None
        self.events: dict[str, Figures] = {}
        self.notes: list[str] = []
        self.missed: dict[str, list[str]] = {}

    def judge(self, part: str, holds: Holds) -> None:
        if lacks := [aim for aim, held in holds.items() if not held]:
            self.missed.setdefault(part, []).extend(lacks)

    # Slopes and the full size.

    def side_by_side(self, members: int, play: Callable[[Any], Any], jobs: list[Any]) -> list[Any]:
        """Worlds of up to that size, as many at a time as there may be processes."""
        at_a_time = max(1, self.told.most_workers(members) // self.told.shards(members))
        with ThreadPoolExecutor(at_a_time) as pool:
            return list(pool.map(play, jobs))

    def slopes(self) -> None:
        small = [size for size in self.told.sizes.slopes if self.told.shards(size) == 1]
        large = [size for size in self.told.sizes.slopes if size not in small]
        for sizes in [small, *([size] for size in large)]:
            figured = self.side_by_side(max(sizes, default=2), lambda size: calm(self.told, size), sizes)
            for size, figures in zip(sizes, figured):
                self.by_size[size] = self.measured(size, figures)

    def measured(self, members: int, figures: Figures) -> Figures:
        print(f"{members} members: {told_in_line(figures)}", file=sys.stderr, flush=True)
        self.notes.append(
            f"{members} members calm: {figures['speed']} virtual s a second by {self.told.shards(members)} "
            f"processes, load {figures['load']:.0f}"
        )
        self.judge(
            "slopes",
            {
                f"nobody living declared gone at {members}": figures["wrong"] == 0,
                f"{members} joined": figures["joined"] is not None,
            },
        )
        return figures

    def play_full(self) -> None:
        members, told = self.told.sizes.checked, self.told
        if not told.levels and told.members > MAX_MEMBERS:
            self.notes.append(f"refused: a flat fleet holds {MAX_MEMBERS} members, so {told.members} cannot be played")
            self.judge("full", {f"{told.members} members in one fleet": False})
        if members < told.members:
            self.notes.append(f"played as a whole: {members} of {told.members}")
        figures = self.measured(members, calm(told, members, told.sizes.start))
        self.full = members, figures
        self.judge(
            "full",
            {
                f"{BYTES:g} bytes/s, worst of {members} in any 10 s": figures["worst 10 s"] <= BYTES,
                f"{CORE:g} of a core": figures["core"] < CORE,
                f"{STATE_MB:g} MB": figures["memory"] < STATE_MB * 1e6,
                f"joined in {JOINED:g} s": figures["joined"] is not None and figures["joined"] <= JOINED,
            },
        )
        for name, cost in self.costs().items():
            if cost["checked"]:
                off = abs(self.fit_of(cost).at(members) / max(cost["checked"][1], 1e-9) - 1.0)
                if name.removeprefix(f"{ROLE}.") in ("bytes", "core", "state"):
                    aim = f"fit of {name} within {fits.CHECK:.0%} at {members} (off {off:.0%})"
                    self.judge("full", {aim: off <= fits.CHECK})

    @staticmethod
    def fit_of(cost: Figures) -> records.Fit:
        return records.Fit(cost["form"], cost["constant"], cost["slope"], cost["residual"])

    def costs(self) -> dict[str, Figures]:
        if not self.by_size:
            return {}
        first = next(iter(self.by_size.values()))
        names = [name for name in first if name in COSTS or name.startswith("state.")]
        told = {}
        for name in names:
            points = [(size, figures[name]) for size, figures in self.by_size.items() if figures[name] == figures[name]]
            if points and any(value for _, value in points):
                checked = (self.full[0], self.full[1][name]) if self.full and self.full[1][name] == self.full[1][name] else None
                told[f"{ROLE}.{name}"] = fits.cost(unit(name), points, checked)
        return told

    # Events.

    def play_events(self, names: list[str]) -> None:
        def play(name: str) -> tuple[Figures, Holds]:
            begun = time.monotonic()
            figures, holds = EVENTS[name](self.told)
            figures["speed"] = round(figures.pop("virtual") / (time.monotonic() - begun), 3)
            print(f"{name}: {told_in_line(figures)}", file=sys.stderr, flush=True)
            return figures, holds

        for name, (figures, holds) in zip(names, self.side_by_side(self.told.sizes.events, play, names)):
            self.events[name] = figures
            self.judge(name, holds)

    # What comes out.

    def record(self, command: str) -> Figures:
        return {
            "commit": self.commit,
            "benchmark": "scale",
            "command": command,
            "seed": self.told.seed,
            "mechanism": "levels" if self.told.levels else "flat",
            "costs": self.costs(),
            "events": self.events,
            "notes": self.notes,
        }

    def print(self, console: Console) -> None:
        if costs := self.costs():
            table = Table(
                "cost of an instance",
                "unit",
                *(str(size) for size in self.by_size),
                "fit",
                "off at most",
                f"at {self.told.members}",
                "played",
                title="slopes",
            )
            for name, cost in costs.items():
                best = self.fit_of(cost)
                form = {
                    "constant": f"{best.constant:.4g}",
                    "linear": f"{best.constant:.4g} + {best.slope:.4g} x members",
                    "log2": f"{best.constant:.4g} + {best.slope:.4g} x log2(members)",
                }[best.form]
                table.add_row(
                    name.removeprefix(f"{ROLE}."),
                    cost["unit"],
                    *(f"{value:.4g}" for _, value in cost["points"]),
                    form,
                    f"{best.residual:.1%}",
                    f"{best.at(self.told.members):.4g}",
                    f"{cost['checked'][1]:.4g} at {cost['checked'][0]}" if cost["checked"] else "",
                )
            console.print(table)
        table = Table("part", "figures", "missed", title="calm, events")
        if self.full:
            table.add_row("full", told_in_line(self.full[1]), "; ".join(self.missed.get("full", [])))
        for name, figures in self.events.items():
            table.add_row(name, told_in_line(figures), "; ".join(self.missed.get(name, [])))
        console.print(table)
        for note in self.notes:
            console.print(note)


def told_in_line(figures: Figures) -> str:
    return "  ".join(f"{key} {value:.4g}" if isinstance(value, float) else f"{key} {value}" for key, value in figures.items())


# Events.


class Event(NamedTuple):
    """`script` is told the moment at which it may begin, and may ask the world; `dead` are those that it kills and keeps down
    for `down` seconds; it is over `lasts` after its begin."""

    script: Callable[[World, float], str]
    lasts: float
    dead: Callable[[World], list[int]] | None = None
    died: float = 0.0  # after the begin
    down: float = 12.0
    members: int = 0  # 0: as many as the events' size
    again: float = AGAIN
    burst: float = 0.0  # most of the mean instance's bytes over its calm mean; 0: no aim


def played(told: Told, event: Event) -> tuple[Figures, Holds]:
    """Joins, is calm for 10 s, meets the script, and is watched until it is one again and 10 s longer."""
    members = event.members or told.sizes.events
    with World(told.plan(members), told.shards(members)) as world:
        joined = until_one(world.play(world.plan.start_within), JOINED + 30.0)
        world.play(float(int(world.now + told.sizes.settle) + 1))
        calm_from = world.now
        world.play(calm_from + 10.0)
        before = traffic_of(world.traffic(calm_from, world.now))
        short = max((look.living - look.members for look in world.listed("looks") if look.at > calm_from), default=0)
        wrong = world.counts()["wrong"]
        begin = world.now
        world.ask("mark")
        dead = event.dead(world) if event.dead else []
        world.script(event.script(world, begin))
        world.play(begin + event.died)
        holders = {place: there for place, (there, _) in world.holding(dead, frozenset(dead)).items()}
        frozen = 0
        while world.now < begin + event.lasts:
            world.play(min(begin + event.lasts, world.now + max(1.0, event.lasts / 8.0)))
            frozen = max(frozen, world.frozen())
        over = world.now
        again = until_one(world, 30.0, 0.25)
        world.play(float(int(world.now) + 11))
        after = traffic_of(world.traffic(begin, world.now))
        looks, gone, virtual = world.listed("looks"), world.listed("gone"), world.now
        wrong = world.counts()["wrong"] - wrong
        core = sum(nanoseconds for nanoseconds, _ in world.cpu().values()) / 1e9 / members / (virtual - begin)
        ground = world.ground
    figures: Figures = {
        "members": members,
        "joined": joined,
        "calm bytes": before.mean,
        "worst 10 s": after.worst,
        "mean 10 s": after.mean_worst,
        "worst second": after.second,
        "over calm": after.mean_second / max(1.0, before.mean),
        "core": core,
        "wrong": wrong,
        "frozen": frozen,
        "sums short in calm": short,
        "again": again,
        "virtual": virtual,
    }
    holds: Holds = {
        "joined": joined is not None,
        f"{BYTES:g} bytes/s in any 10 s": after.worst <= BYTES,
        f"{CORE:g} of a core": core < CORE,
        "no living one declared gone": wrong == 0,
        f"one again in {event.again:g} s": again is not None and again <= event.again,
    }
    places = {look.place for look in looks}
    if dead:
        died = begin + event.died
        elsewhere = {place for place in places if ground.zone[place] not in {ground.zone[one] for one in dead}}
        figures["known"] = known_after(gone, holders, died, 1.0 if told.levels else 0.99)
        figures["in sums"] = in_sums(looks, elsewhere, died, min(died + event.down, virtual))
        holds[f"known in {KNOWN:g} s"] = figures["known"] is not None and figures["known"] <= KNOWN
        holds[f"in sums in {IN_SUMS:g} s"] = figures["in sums"] is not None and figures["in sums"] <= IN_SUMS
    figures["sums again"] = in_sums(looks, places, over, virtual, 0.99)
    holds[f"sums right in {event.again:g} s"] = figures["sums again"] is not None and figures["sums again"] <= event.again
    if event.burst:
        holds[f"no burst above {event.burst:g} x calm"] = figures["over calm"] <= event.burst
    return figures, holds


def draw_of(told: Told) -> random.Random:
    return random.Random(told.seed + 17)


def regions_cut(begin: float, lasts: float, regions: int = 3) -> str:
    return "\n".join(
        f"at {begin + 0.5:.2f} cut region{one} from region{other} for {lasts:g}"
        for one in range(regions)
        for other in range(one + 1, regions)
    )


def middle(world: World) -> int:
    """A place that is no seed and is not watched."""
    ground = world.ground
    return next(place for place in range(ground.firsts[1] - 1, 0, -1) if place not in ground.watched())


def dead(told: Told) -> tuple[Figures, Holds]:
    return played(
        told,
        Event(
            lambda world, begin: f"at {begin + 0.5:.2f} kill {middle(world)} for 12", 13.0, lambda world: [middle(world)], 0.5
        ),
    )


def loss(told: Told) -> tuple[Figures, Holds]:
    def script(world: World, begin: float) -> str:
        draw, members = draw_of(told), world.plan.members
        rest = [place for place in range(members) if place != middle(world)]
        stalls = [f"at {begin + at:.2f} stall {listed(draw.sample(rest, max(1, members // 20)))} for 2" for at in (1.0, 7.0)]
        kill = f"at {begin + 12.0:.2f} kill {middle(world)} for 12"
        return "\n".join([f"at {begin:.2f} lossy all 0.05 for 25", *stalls, kill])

    return played(told, Event(script, 25.0, lambda world: [middle(world)], 12.0))


def churned(told: Told, at_once: bool) -> tuple[Figures, Holds]:
    lasts = told.sizes.minute
    rate = AN_HOUR * 86_400.0 / 60.0 if at_once else A_DAY

    def script(world: World, begin: float) -> str:
        members = world.plan.members
        # At a small size and a short time less than one would go; one goes then.
        rated = max(rate * members / TARGET, 86_400.0 / lasts)
        return churn(draw_of(told), members, rated, begin, lasts)

    return played(told, Event(script, lasts + 8.0))


def rack(told: Told) -> tuple[Figures, Holds]:
    """40 of a zone's 400, and so a tenth of a smaller zone: more would be most of a group."""

    def places(world: World) -> list[int]:
        size = max(2, RACK * world.plan.members // TARGET)
        first = world.ground.firsts[1] + 2
        return [place for place in range(first, first + size) if place not in world.ground.watched()]

    return played(
        told, Event(lambda world, begin: f"at {begin + 0.5:.2f} kill {listed(places(world))} for 12", 13.0, places, 0.5)
    )


def zone(told: Told) -> tuple[Figures, Holds]:
    def places(world: World) -> list[int]:
        first, last = world.ground.places_of("zone1")
        return list(range(first, last + 1))

    return played(told, Event(lambda world, begin: f"at {begin + 0.5:.2f} kill zone1 for 14", 15.0, places, 0.5))


def cut(told: Told) -> tuple[Figures, Holds]:
    lasts = told.sizes.cut
    return played(told, Event(lambda world, begin: regions_cut(begin, lasts), lasts + 0.5, burst=BURST))


def hour(told: Told) -> tuple[Figures, Holds]:
    return played(told, Event(lambda world, begin: regions_cut(begin, 3600.0), 3600.5, members=90, burst=BURST))


def restart(told: Told) -> tuple[Figures, Holds]:
    lasts = told.sizes.minute
    return played(
        told,
        Event(lambda world, begin: restart_all(draw_of(told), world.plan.members, begin, lasts), lasts + 1.0, again=JOINED),
    )


def start(told: Told) -> tuple[Figures, Holds]:
    """All started within the minute: from the last one on until views are one and sums count 0.99."""
    members, lasts = told.sizes.events, told.sizes.minute
    with World(told.plan(members, start_within=lasts), told.shards(members)) as world:
        world.play(lasts)
        joined = until_one(world, JOINED + 30.0)
        world.play(world.now + 5.0)
        looks, virtual, wrong = world.listed("looks"), world.now, world.counts()["wrong"]
        traffic = traffic_of(world.traffic(0, int(world.now)))
    sums = in_sums(looks, {look.place for look in looks}, lasts, virtual, 0.99)
    figures = {
        "members": members,
        "joined": joined,
        "in sums": sums,
        "worst 10 s": traffic.worst,
        "worst second": traffic.second,
        "wrong": wrong,
        "virtual": virtual,
    }
    return figures, {
        f"joined in {JOINED:g} s": joined is not None and joined <= JOINED,
        f"in sums in {JOINED:g} s": sums is not None and sums <= JOINED,
        f"{BYTES:g} bytes/s in any 10 s": traffic.worst <= BYTES,
        "no living one declared gone": wrong == 0,
    }


EVENTS: dict[str, Callable[[Told], tuple[Figures, Holds]]] = {
    "dead": dead,
    "loss": loss,
    "churn": lambda told: churned(told, False),
    "burst": lambda told: churned(told, True),
    "rack": rack,
    "zone": zone,
    "cut": cut,
    "hour": hour,
    "restart": restart,
    "start": start,
}
NOT_QUICK = ("hour",)
PARTS = ("slopes", "full", "events", "instance")


def own_script(run: Run, script: str, seconds: float) -> None:
    told = run.told
    with World(told.plan(told.members, script=script), told.shards(told.members)) as world:
        world.play(seconds)
        traffic, wrong = traffic_of(world.traffic(0, seconds)), world.counts()["wrong"]
        run.events["faults"] = {
            "members": told.members,
            "worst 10 s": traffic.worst,
            "worst second": traffic.second,
            "wrong": wrong,
            "one": world.one(),
        }
    run.judge("faults", {"no living one declared gone": wrong == 0})


def instance(run: Run) -> Figures:
    try:
        module = importlib.import_module("benchmarks.scale_instance")
    except ModuleNotFoundError as error:
        if error.name != "benchmarks.scale_instance":
            raise
        run.notes.append("instance: benchmarks/scale_instance.py is not there, not run")
        return {}
    figures, holds = module.measure(run.told.quick, run.told.seed)
    run.judge("instance", holds)
    return figures


def read(argv: list[str] | None) -> tuple[Told, dict[str, Any]]:
    """Errors: `SystemExit` with a line that names what is wrong."""
    options = docopt(__doc__, argv)
    try:
        members, seed, workers = int(options["--members"]), int(options["--seed"]), int(options["--workers"] or 0)
        seconds = float(options["--for"])
    except ValueError as error:
        sys.exit(f"scale: {error}: --members, --seed, --workers and --for are numbers")
    if members < 9 or not 0 <= workers <= 8 or seconds < 1.0:
        sys.exit("scale: 9 members, 1 to 8 workers and a second are the least and most")
    only = options["--only"]
    if only and only not in (*PARTS, *EVENTS):
        sys.exit(f"scale: no part {only!r}; there are: {', '.join((*PARTS, *EVENTS))}")
    levels = options["--levels"] or knows_levels() and not options["--flat"]
    if levels and not knows_levels():
        sys.exit("scale: these cores know no levels; --flat measures what there is")
    quick = options["--quick"]
    return Told(quick, seed, members, levels, workers, sizes(levels, quick, members)), options


def main(argv: list[str] | None = None) -> int:
    told, options = read(argv)
    run, only, extra = Run(told), options["--only"], {}
    if options["--faults"]:
        try:
            script = Path(options["--faults"]).read_text()
            Ground(told.plan(told.members)).faults(script)
        except (OSError, FaultScriptError, InvalidPlanError) as error:
            sys.exit(f"scale: {error}")
        own_script(run, script, float(options["--for"]))
    else:
        if only in (None, "slopes", "full"):
            run.slopes()
        if only in (None, "full"):
            run.play_full()
        chosen = [name for name in EVENTS if only in (None, "events", name)]
        if told.quick and only not in NOT_QUICK:
            run.notes += [f"{name}: not run with --quick" for name in chosen if name in NOT_QUICK]
            chosen = [name for name in chosen if name not in NOT_QUICK]
        run.play_events(chosen)
        if only in (None, "instance"):
            extra = instance(run)
    run.print(Console(width=200))
    command = "python -m benchmarks.scale " + " ".join(sys.argv[1:] if argv is None else argv)
    record = run.record(command)
    if options["--record"]:
        fits.written(Path(options["--record"]), record)
    print(
        json.dumps(
            {
                "members": told.members,
                "mechanism": record["mechanism"],
                "costs": record["costs"],
                "events": run.events,
                "instance": extra,
                "notes": run.notes,
                "missed": run.missed,
                "holds": not run.missed,
            }
        )
    )
    return 1 if run.missed else 0


if __name__ == "__main__":
    sys.exit(main())
