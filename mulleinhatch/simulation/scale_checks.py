"""Figures of a sharded world as seen from outside: traffic, detection times, sums, and budgets that were exceeded."""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Iterable
from typing import Any, NamedTuple

from mulleinhatch.simulation.scale_instances import Plan, draw_fault_script
from mulleinhatch.simulation.scale_shards import World
from mulleinhatch.simulation.scale_world import Gone, SumSample

TRAFFIC_WINDOW_S = 10  # seconds over which the bound on bytes is averaged
SLOWEST_CLOCK_RATE = 0.98  # the slowest member's window is longer than one of the world's clock


class Traffic(NamedTuple):
    """Bytes a second, sent and received, including headers."""

    mean: float  # of all instances over the whole time
    worst: float  # the largest 10 s mean of one instance
    mean_worst: float  # the largest 10 s mean of the average instance
    second: float  # the largest second of one instance
    mean_second: float  # the largest second of the average instance
    sent: float  # mean bytes sent
    heard: float  # mean bytes received
    sent_count: float  # datagrams a second
    heard_count: float


def any_window(seconds: list[float], window: int = TRAFFIC_WINDOW_S) -> float:
    """Return the largest mean of any window; the mean of all seconds where there are fewer.

    >>> any_window([0, 10, 20, 0, 0], 2), any_window([1, 3], 10)
    (15.0, 2.0)
    """
    window = max(1, min(window, len(seconds)))
    total = most = float(sum(seconds[:window]))
    for place in range(window, len(seconds)):
        total += seconds[place] - seconds[place - window]
        most = max(most, total)
    return most / window


def traffic_of(traffic: dict[int, tuple[Any, Any, Any, Any]]) -> Traffic:
    """Summarise what `World.traffic` returned."""
    both = [[sent + heard for sent, heard in zip(series[0], series[1])] for series in traffic.values()]
    seconds, members = len(both[0]), len(both)
    mean = [sum(column) / members for column in zip(*both)]
    sums = [sum(sum(series[kind]) for series in traffic.values()) / members / seconds for kind in range(4)]
    return Traffic(
        sum(mean) / seconds,
        max(any_window(instance_seconds) for instance_seconds in both),
        any_window(mean),
        float(max(max(instance_seconds) for instance_seconds in both)),
        max(mean),
        *sums,
    )


def known_after(gone: Iterable[Gone], holders: dict[int, int], died: float, share: float) -> float | None:
    """Return the seconds from the death until a `share` of the holders has detected it, for the dead place detected last.

    Args:
        gone: The declarations that were observed.
        holders: By dead place, the number of others that had it in their view.
        died: When they died.
        share: The share of the holders that must know.

    Returns:
        Seconds, or None if that share never knew.
    """
    times: dict[int, dict[int, float]] = defaultdict(dict)
    for one in gone:
        if one.at >= died and not one.wrong and one.subject in holders:
            times[one.subject].setdefault(one.observer, one.at)
    slowest = 0.0
    for place, count in holders.items():
        needed, known = -(-count * share // 1), sorted(times[place].values())
        if len(known) < needed:
            return None
        if needed:
            slowest = max(slowest, known[int(needed) - 1] - died)
    return slowest


def in_sums(samples: Iterable[SumSample], places: set[int], since: float, until: float, least: float = 0.0) -> float | None:
    """Return the seconds from `since` until the sums of all these places stay right up to `until`.

    A sum is right if it counts no instance that does not run, and at least the `least` share of those that do. None if it never
    became right.
    """
    wrong_at: dict[int, float] = {}
    last: dict[int, float] = {}
    for sample in samples:
        if sample.place in places and since < sample.at < until:
            last[sample.place] = sample.at
            if sample.members > sample.living or sample.members < least * sample.living:
                wrong_at[sample.place] = sample.at
    if set(last) != places or any(wrong_at.get(place) == at for place, at in last.items()):
        return None
    # The sums are right from the next sample on.
    after = [min(sample.at for sample in samples if sample.place == place and sample.at > at) for place, at in wrong_at.items()]
    return max(after, default=since) - since


def most_used(times: list[float], window: float) -> int:
    """Return the most units used in any window; `times` must be in order."""
    first = most = 0
    for place, at in enumerate(times):
        while times[first] <= at - window * SLOWEST_CLOCK_RATE:
            first += 1
        most = max(most, place - first + 1)
    return most


def over_budgets(used: list[list[float]], budgets: Iterable[tuple[str, int, float]]) -> int:
    """Return the units beyond the total in any window, for the budget exceeded most."""
    return max(
        (max(0, most_used(times, window) - total) for times, (_, total, window) in zip(used, budgets) if window), default=0
    )


class History(NamedTuple):
    """The result of one random history."""

    script: str  # reproduces the history together with the seed
    one_again: float | None  # seconds from its end until views agree and sums are right, in steps of 0.5 s
    wrong: list[Gone]  # running members declared gone, including stalled and isolated ones
    over: int  # units beyond a budget's total in any window


def history(plan: Plan, seed: int, calm: float = 20.0, length: float = 20.0, within: float = 30.0) -> History:
    """Play one random history: start, draw faults at `calm`, and watch until the views agree again.

    >>> traffic = history(Plan(members=9), 3, calm=3.0, length=5.0)
    >>> traffic.one_again is not None, traffic.over, traffic.script == history(Plan(members=9), 3, calm=3.0, length=5.0).script
    (True, 0, True)
    """
    with World(plan._replace(seed=seed), processes=False) as world:
        world.play(calm)
        script = draw_fault_script(random.Random(seed), world.topology, world.speakers(), calm, length)
        world.script(script)
        world.play(calm + length)
        one = None
        while one is None and world.now < calm + length + within:
            world.play(world.now + 0.5)
            samples = [sample for sample in world.listed("samples") if sample.at > world.now - 0.5]
            if world.views_agree() and all(0.99 * sample.living <= sample.members <= sample.living for sample in samples):
                one = world.now - calm - length
        wrong = [gone for gone in world.listed("gone") if gone.wrong]
        return History(script, one, wrong, over_budgets(world.used(), plan.budgets))
