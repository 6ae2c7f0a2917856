"""The events that the scale benchmark plays: deaths, packet loss, churn, partitions, restarts.

For each event a fleet joins, a fault script runs, and the time until views and sums are correct again is checked. Times are
virtual seconds.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import NamedTuple

from benchmarks.scale_calm import time_until_merged
from benchmarks.scale_options import (
    MAX_BURST_FACTOR,
    MAX_BYTES_PER_S,
    MAX_CORE_SHARE,
    MAX_IN_SUMS_S,
    MAX_JOINED_S,
    MAX_KNOWN_S,
    MAX_MERGED_S,
    TARGET_MEMBERS,
    Checks,
    Figures,
    Options,
)
from mulleinhatch.simulation.scale_checks import in_sums, known_after, traffic_of
from mulleinhatch.simulation.scale_instances import RACK, churn, listed, restart_all
from mulleinhatch.simulation.scale_shards import World

RESTARTS_PER_DAY = 8000.0  # restarts and replacements at the target size
BURST_RESTARTS = 333


class Event(NamedTuple):
    """A fault scenario.

    Attributes:
        script: Returns the fault script, given the world and the earliest time of a fault.
        duration: Time from the start of the event until the faults are over.
        dead: Returns the places of members that the script kills and keeps down.
        killed_after: Time from the start of the event until they are killed.
        down_for: Time for which they stay down.
        members: Size of the fleet; 0 uses the run's size for events.
        recovery_limit: Maximum time until views and sums are correct again.
        burst_limit: Maximum traffic in any second, as a multiple of the calm mean; 0 sets no limit.
    """

    script: Callable[[World, float], str]
    duration: float
    dead: Callable[[World], list[int]] | None = None
    killed_after: float = 0.0
    down_for: float = 12.0
    members: int = 0
    recovery_limit: float = MAX_MERGED_S
    burst_limit: float = 0.0


def play_event(options: Options, event: Event) -> tuple[Figures, Checks]:
    """Play one event: join, idle for 10 s, run the script, and observe until 10 s after the views have merged."""
    members = event.members or options.sizes.events
    with World(options.plan(members), options.shards(members)) as world:
        joined = time_until_merged(world.play(world.plan.start_within), MAX_JOINED_S + 30.0)
        world.play(float(int(world.now + options.sizes.settle) + 1))
        calm_from = world.now
        world.play(calm_from + 10.0)
        before = traffic_of(world.traffic(calm_from, world.now))
        missing_in_sums = max(
            (sample.living - sample.members for sample in world.listed("samples") if sample.at > calm_from), default=0
        )
        wrongly_gone = world.counts()["wrong"]
        begin = world.now
        world.ask("mark")
        dead = event.dead(world) if event.dead else []
        world.script(event.script(world, begin))
        world.play(begin + event.killed_after)
        holders = {place: there for place, (there, _) in world.count_views_of(dead, frozenset(dead)).items()}
        frozen = 0
        while world.now < begin + event.duration:
            world.play(min(begin + event.duration, world.now + max(1.0, event.duration / 8.0)))
            frozen = max(frozen, world.frozen())
        over = world.now
        merged_after_s = time_until_merged(world, 30.0, 0.25)
        world.play(float(int(world.now) + 11))
        after = traffic_of(world.traffic(begin, world.now))
        samples, gone, virtual = world.listed("samples"), world.listed("gone"), world.now
        wrongly_gone = world.counts()["wrong"] - wrongly_gone
        core = sum(nanoseconds for nanoseconds, _ in world.cpu().values()) / 1e9 / members / (virtual - begin)
        topology = world.topology
    figures: Figures = {
        "members": members,
        "joined": joined,
        "calm bytes": before.mean,
        "worst 10 s": after.worst,
        "mean 10 s": after.mean_worst,
        "worst second": after.second,
        "over calm": after.mean_second / max(1.0, before.mean),
        "core": core,
        "wrong": wrongly_gone,
        "frozen": frozen,
        "sums short in calm": missing_in_sums,
        "again": merged_after_s,
        "virtual": virtual,
    }
    holds: Checks = {
        "joined": joined is not None,
        f"{MAX_BYTES_PER_S:g} bytes/s in any 10 s": after.worst <= MAX_BYTES_PER_S,
        f"{MAX_CORE_SHARE:g} of a core": core < MAX_CORE_SHARE,
        "no living one declared gone": wrongly_gone == 0,
        f"one again in {event.recovery_limit:g} s": merged_after_s is not None and merged_after_s <= event.recovery_limit,
    }
    places = {sample.place for sample in samples}
    if dead:
        killed_at = begin + event.killed_after
        elsewhere = {place for place in places if topology.zone[place] not in {topology.zone[one] for one in dead}}
        figures["known"] = known_after(gone, holders, killed_at, 1.0 if options.levels else 0.99)
        figures["in sums"] = in_sums(samples, elsewhere, killed_at, min(killed_at + event.down_for, virtual))
        holds[f"known in {MAX_KNOWN_S:g} s"] = figures["known"] is not None and figures["known"] <= MAX_KNOWN_S
        holds[f"in sums in {MAX_IN_SUMS_S:g} s"] = figures["in sums"] is not None and figures["in sums"] <= MAX_IN_SUMS_S
    figures["sums again"] = in_sums(samples, places, over, virtual, 0.99)
    holds[f"sums right in {event.recovery_limit:g} s"] = (
        figures["sums again"] is not None and figures["sums again"] <= event.recovery_limit
    )
    if event.burst_limit:
        holds[f"no burst above {event.burst_limit:g} x calm"] = figures["over calm"] <= event.burst_limit
    return figures, holds


def random_source(options: Options) -> random.Random:
    """Return the random generator for fault scripts."""
    return random.Random(options.seed + 17)


def partition_regions(begin: float, duration: float, regions: int = 3) -> str:
    """Return a fault script that partitions all regions from each other."""
    return "\n".join(
        f"at {begin + 0.5:.2f} cut region{one} from region{other} for {duration:g}"
        for one in range(regions)
        for other in range(one + 1, regions)
    )


def unwatched_place(world: World) -> int:
    """Return a place that is neither a seed nor watched."""
    topology = world.topology
    return next(place for place in range(topology.firsts[1] - 1, 0, -1) if place not in topology.watched())


def play_death(options: Options) -> tuple[Figures, Checks]:
    """Kill one member."""
    return play_event(
        options,
        Event(
            lambda world, begin: f"at {begin + 0.5:.2f} kill {unwatched_place(world)} for 12",
            13.0,
            lambda world: [unwatched_place(world)],
            0.5,
        ),
    )


def play_packet_loss(options: Options) -> tuple[Figures, Checks]:
    """Lose 5% of datagrams, pause a twentieth of the members twice, then kill one."""

    def script(world: World, begin: float) -> str:
        rng, members = random_source(options), world.plan.members
        rest = [place for place in range(members) if place != unwatched_place(world)]
        stalls = [f"at {begin + at:.2f} stall {listed(rng.sample(rest, max(1, members // 20)))} for 2" for at in (1.0, 7.0)]
        kill = f"at {begin + 12.0:.2f} kill {unwatched_place(world)} for 12"
        return "\n".join([f"at {begin:.2f} lossy all 0.05 for 25", *stalls, kill])

    return play_event(options, Event(script, 25.0, lambda world: [unwatched_place(world)], 12.0))


def play_churn(options: Options, at_once: bool) -> tuple[Figures, Checks]:
    """Restart members at the daily rate, or an hour's restarts within a minute."""
    duration = options.sizes.burst_span
    rate = BURST_RESTARTS * 86_400.0 / 60.0 if at_once else RESTARTS_PER_DAY

    def script(world: World, begin: float) -> str:
        members = world.plan.members
        # In a small fleet and a short run the rate would give less than one restart; at least one is played.
        rated = max(rate * members / TARGET_MEMBERS, 86_400.0 / duration)
        return churn(random_source(options), members, rated, begin, duration)

    return play_event(options, Event(script, duration + 8.0))


def play_rack_loss(options: Options) -> tuple[Figures, Checks]:
    """Kill 40 of a zone's 400 members, or a tenth of a smaller zone: more would be the majority of a group."""

    def places(world: World) -> list[int]:
        size = max(2, RACK * world.plan.members // TARGET_MEMBERS)
        first = world.topology.firsts[1] + 2
        return [place for place in range(first, first + size) if place not in world.topology.watched()]

    return play_event(
        options, Event(lambda world, begin: f"at {begin + 0.5:.2f} kill {listed(places(world))} for 12", 13.0, places, 0.5)
    )


def play_zone_loss(options: Options) -> tuple[Figures, Checks]:
    """Kill a whole zone and bring it back."""

    def places(world: World) -> list[int]:
        first, last = world.topology.places_of("zone1")
        return list(range(first, last + 1))

    return play_event(options, Event(lambda world, begin: f"at {begin + 0.5:.2f} kill zone1 for 14", 15.0, places, 0.5))


def play_partition(options: Options) -> tuple[Figures, Checks]:
    """Partition the regions for minutes."""
    duration = options.sizes.partition
    return play_event(
        options, Event(lambda world, begin: partition_regions(begin, duration), duration + 0.5, burst_limit=MAX_BURST_FACTOR)
    )


def play_hour_of_partition(options: Options) -> tuple[Figures, Checks]:
    """Partition the regions for an hour, in a small fleet."""
    return play_event(
        options, Event(lambda world, begin: partition_regions(begin, 3600.0), 3600.5, members=90, burst_limit=MAX_BURST_FACTOR)
    )


def play_restart_of_all(options: Options) -> tuple[Figures, Checks]:
    """Restart all members within a minute."""
    duration = options.sizes.burst_span
    return play_event(
        options,
        Event(
            lambda world, begin: restart_all(random_source(options), world.plan.members, begin, duration),
            duration + 1.0,
            recovery_limit=MAX_JOINED_S,
        ),
    )


def play_start_of_all(options: Options) -> tuple[Figures, Checks]:
    """Start all members within a minute, and measure from the last start until views are merged and sums count 0.99."""
    members, duration = options.sizes.events, options.sizes.burst_span
    with World(options.plan(members, start_within=duration), options.shards(members)) as world:
        world.play(duration)
        joined = time_until_merged(world, MAX_JOINED_S + 30.0)
        world.play(world.now + 5.0)
        samples, virtual, wrong = world.listed("samples"), world.now, world.counts()["wrong"]
        traffic = traffic_of(world.traffic(0, int(world.now)))
    in_sums_after_s = in_sums(samples, {sample.place for sample in samples}, duration, virtual, 0.99)
    figures = {
        "members": members,
        "joined": joined,
        "in sums": in_sums_after_s,
        "worst 10 s": traffic.worst,
        "worst second": traffic.second,
        "wrong": wrong,
        "virtual": virtual,
    }
    return figures, {
        f"joined in {MAX_JOINED_S:g} s": joined is not None and joined <= MAX_JOINED_S,
        f"in sums in {MAX_JOINED_S:g} s": in_sums_after_s is not None and in_sums_after_s <= MAX_JOINED_S,
        f"{MAX_BYTES_PER_S:g} bytes/s in any 10 s": traffic.worst <= MAX_BYTES_PER_S,
        "no living one declared gone": wrong == 0,
    }


EVENTS: dict[str, Callable[[Options], tuple[Figures, Checks]]] = {
    "dead": play_death,
    "loss": play_packet_loss,
    "churn": lambda options: play_churn(options, False),
    "burst": lambda options: play_churn(options, True),
    "rack": play_rack_loss,
    "zone": play_zone_loss,
    "cut": play_partition,
    "hour": play_hour_of_partition,
    "restart": play_restart_of_all,
    "start": play_start_of_all,
}
NOT_QUICK = ("hour",)
