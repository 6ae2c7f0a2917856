"""Measure the costs of a calm fleet in virtual time."""

from __future__ import annotations

import os
import time

from benchmarks.scale_options import MAX_JOINED_S, Figures, Options
from mulleinhatch.simulation.scale_checks import traffic_of
from mulleinhatch.simulation.scale_shards import World

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
    """Return the unit of a cost."""
    return COSTS.get(cost, "bytes")


def time_until_merged(world: World, within: float, step: float = 0.5) -> float | None:
    """Play until all members have the same view.

    Returns:
        Virtual seconds that it took, or None after `within` seconds.
    """
    since = world.now
    while not world.views_agree():
        if world.now - since >= within:
            return None
        world.play(world.now + step)
    return world.now - since


def measure_calm(options: Options, members: int, start: float = 0.1) -> Figures:
    """Measure a calm fleet and return all costs as means over its instances.

    Args:
        options: Options of the run.
        members: Size of the fleet.
        start: Virtual seconds within which the members start.
    """
    sizes, started_at = options.sizes, time.monotonic()
    # A flat fleet starts with complete member lists: hundreds of members would spend most of the run on joining.
    with World(options.plan(members, introduced=not options.levels, start_within=start), options.shards(members)) as world:
        joined = time_until_merged(world.play(max(1.0, start)), MAX_JOINED_S + 30.0)
        # The larger a flat fleet, the longer reports take to reach all members: at 1,000, half are missing after 5 s.
        world.play(float(int(world.now + sizes.settle + (0.0 if options.levels else members / 40.0)) + 1))
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
        "speed": round(world.now / (time.monotonic() - started_at), 3),
        "load": os.getloadavg()[0],
    }


def figures_text(figures: Figures) -> str:
    """Format figures as one line."""
    return "  ".join(f"{key} {value:.4g}" if isinstance(value, float) else f"{key} {value}" for key, value in figures.items())
