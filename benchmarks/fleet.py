"""Gossip between real processes on loopback: membership, leased quotas and cost, with scripted faults.

Usage:
  fleet [--quick] [--seed N] [--instances N] [--for SECONDS] [--faults FILE] [--only PART]

Options:
  --quick         24 processes and three parts; takes less than 45 s.
  --seed N        Seed of loads and losses [default: 1].
  --instances N   Number of processes; 24 with --quick, else 200.
  --for SECONDS   How long the script of --faults runs [default: 20].
  --faults FILE   Run only this script, with the checks that always hold.
  --only PART     members, cut, budget, even, beside or cost.

members  0.99 of the others know of a dead member within 3 s; at 20% loss, with a twentieth of the members paused for 2 s,
         no living member is declared gone
cut      a partition into halves for 12 s with --quick, else 30 s: one view again within 3 s, no member declared gone meanwhile
budget   demand 3:1 between halves, with leases: 0.9 of a budget's total used, and never more than the total in any window
even     the same with a partition into halves: the isolated half uses 0.9 of its even share
beside   in virtual time, 12 members, a partition into halves for 8 s: leases, even shares, and the total heard by gossip
cost     CPU, memory and bytes of an idle instance, compared with the same processes without gossip, and with few members
Each part starts its own processes. `late` is the lateness of the simulated clients: above 0.1 s the machine was too busy for a
valid result. The interpreters record their runs on one clock; a window is shortened by four times that lateness.
"""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

from docopt import docopt
from rich.console import Console
from rich.table import Table

from mulleinhatch.simulation.gossip_world import GossipWorld, Plan
from mulleinhatch.testing.fleet_harness import FleetCase, FleetHarness, most_in_window, views_agree
from mulleinhatch.testing.instance_harness import keep_environment

MAX_KNOWN_S, MAX_MERGED_S, MIN_USED, MIN_EVEN_USED = 3.0, 3.0, 0.9, 0.9
MAX_CPU_CORES, MAX_MEMORY_MB, MAX_GROWTH = 0.02, 6.0, 1.3
MAX_BUSY_INSTANCES = 48  # instances under load that one machine can run together with their simulated clients
UNITS_PER_INSTANCE = 40  # units of a budget's total, per instance and window
Checks = dict[str, bool]


def node_range(first: int, last: int) -> str:
    """Return a range of nodes as fault scripts write it."""
    return f"{first}-{last}" if last > first else str(first)


async def time_until_declared_gone(harness: FleetHarness, dead: str, within: float) -> float | None:
    """Return the seconds until 0.99 of the others list a member as gone, or None after `within` seconds."""
    begun = time.monotonic()
    while time.monotonic() - begun < within:
        views = [view for name, view in (await harness.views()).items() if name != dead]
        knowing = sum(any(row["name"] == dead and row["state"] == "gone" for row in view["members"]) for view in views)
        if views and knowing >= 0.99 * len(views):
            return time.monotonic() - begun
        await asyncio.sleep(0.05)
    return None


def count_declared_gone(views: dict[str, dict[str, Any]], names: set[str]) -> int:
    """Return how often one of these members is listed as gone."""
    return sum(row["state"] == "gone" and row["name"] in names for view in views.values() for row in view["members"])


async def wait_for_complete_views(harness: FleetHarness, names: set[str], within: float) -> float | None:
    """Return the seconds until each node lists all members as alive, or None after `within` seconds."""
    return await harness.wait_for(lambda views: views_agree(views, names), within)


async def run_members(count: int, seed: int, quick: bool, folder: Path) -> tuple[dict[str, Any], Checks]:
    """Measure failure detection with loss and pauses."""
    stalled = node_range(2, 1 + max(1, count // 20))
    length = 6.5 if quick else 20.0
    script = (
        f"at 0 lossy all 0.2 for {length}\n"
        + "\n".join(f"at {at:.1f} stall {stalled} for 2" for at in (1.0, 5.0, 9.0, 13.0) if at + 3.0 < length)
        + f"\nat {length + 1} kill 1"
    )
    async with FleetHarness(FleetCase(count, script, seed=seed, run_for=length), folder) as harness:
        names = {node.name for node in harness.nodes}
        joined = await wait_for_complete_views(harness, names, 30.0)
        await harness.go()
        wrongly_gone = 0
        while harness.now() < length:
            wrongly_gone = max(wrongly_gone, count_declared_gone(await harness.views(), names))
            await asyncio.sleep(0.2)
        await harness.until(length + 1.0)
        known_after_s = await time_until_declared_gone(harness, "n1", 8.0)
        views = await harness.views()
        results = await harness.finish()
        counters = await harness.nodes[0].counters()
    wrongly_gone = max(wrongly_gone, count_declared_gone(views, names - {"n1"}))
    return (
        {
            "joined": joined,
            "known": known_after_s,
            "false": wrongly_gone,
            "late": results["late"],
            "suspected": counters.get("fleet_suspected"),
            "refuted": counters.get("fleet_refuted"),
        },
        {
            f"known in {MAX_KNOWN_S:g} s": known_after_s is not None and known_after_s <= MAX_KNOWN_S,
            "no living one declared gone": wrongly_gone == 0,
            "all joined": joined is not None,
        },
    )


async def run_partition(count: int, seed: int, quick: bool, folder: Path) -> tuple[dict[str, Any], Checks]:
    """Measure how views freeze in a fleet partitioned into halves, and merge afterwards."""
    half, length = count // 2, 12.0 if quick else 30.0
    script = f"at 0.5 cut {node_range(0, half - 1)} from {node_range(half, count - 1)} for {length}"
    async with FleetHarness(FleetCase(count, script, seed=seed, run_for=length), folder) as harness:
        names = {node.name for node in harness.nodes}
        await wait_for_complete_views(harness, names, 30.0)
        await harness.go()
        await harness.until(0.5 + length - 0.5)
        views = await harness.views()
        frozen, wrongly_gone = sum(view["frozen"] for view in views.values()) / len(views), count_declared_gone(views, names)
        await harness.until(0.5 + length)
        merged_after_s = await wait_for_complete_views(harness, names, 10.0)
        results = await harness.finish()
    return (
        {"frozen": frozen, "false": wrongly_gone, "back": merged_after_s, "late": results["late"]},
        {
            f"views one in {MAX_MERGED_S:g} s": merged_after_s is not None and merged_after_s <= MAX_MERGED_S,
            "nobody declared gone": wrongly_gone == 0,
        },
    )


async def measure_use(case: FleetCase, folder: Path, since: float, first: int) -> dict[str, Any]:
    """Return the most runs in any window and the runs after `since`, as fractions of the total, and those of the first half."""
    async with FleetHarness(case, folder) as harness:
        names = {node.name for node in harness.nodes}
        await wait_for_complete_views(harness, names, 30.0)
        await harness.go()
        results = await harness.finish()
        zero = harness.start_at
    window = case.window - 4.0 * results["late"] - 0.02
    starts = [[at - zero for at, _ in host["starts"]] for host in results["ran"]]
    span = case.run_for - since
    counted = [sum(since <= at < case.run_for for at in own) for own in starts]
    by_second = [
        round(sum(second <= at < second + 1 for own in starts for at in own) / case.total * case.window, 2)
        for second in range(int(case.run_for))
    ]
    return {
        "by second": by_second,
        "most": most_in_window([at for own in starts for at in own], window) / case.total,
        "used": sum(counted) / (case.total * span),
        "first half": sum(counted[:first]) / (0.5 * case.total * span),
        "late": results["late"],
    }


def uneven_demand(count: int, run_for: float, seed: int, script: str = "", leases: bool = True) -> FleetCase:
    """Return a case with demand 3:1 between halves, slightly above the total; without leases no quota is transferred."""
    half, total = count // 2, UNITS_PER_INSTANCE * count
    rates = (1.6 * UNITS_PER_INSTANCE * half, 0.53 * UNITS_PER_INSTANCE * (count - half))
    loads = []
    for (first, last), rate in zip(((0, half - 1), (half, count - 1)), rates):
        loads.append((node_range(first, last), rate))
    return FleetCase(count, script, run_for, total=total, loads=tuple(loads), seed=seed, lease=3.0 if leases else 3600.0)


async def run_budget(count: int, seed: int, quick: bool, folder: Path) -> tuple[dict[str, Any], Checks]:
    """Measure how much of a total is used with leases."""
    count = min(count, MAX_BUSY_INSTANCES)
    run_for, since = (22.0, 12.0) if quick else (40.0, 15.0)
    with_leases = await measure_use(uneven_demand(count, run_for, seed), folder, since, count // 2)
    return (
        {**with_leases, "even split would be": (1.0 + 0.53) / 2},
        {f"{MIN_USED:g} of the total used": with_leases["used"] >= MIN_USED, "total kept": with_leases["most"] <= 1.0},
    )


async def run_even_shares(count: int, seed: int, quick: bool, folder: Path) -> tuple[dict[str, Any], Checks]:
    """Measure how much of its even share an isolated half uses."""
    count = min(count, MAX_BUSY_INSTANCES)
    half = count // 2
    script = f"at 6 cut {node_range(0, half - 1)} from {node_range(half, count - 1)} for 40"
    run_for, since = (26.0, 14.0) if quick else (40.0, 15.0)
    results = await measure_use(uneven_demand(count, run_for, seed, script), folder, since, half)
    return results, {
        f"{MIN_EVEN_USED:g} of its even part used, cut off": results["first half"] >= MIN_EVEN_USED,
        "total kept": results["most"] <= 1.0,
    }


async def measure_usage(count: int, seed: int, seconds: float, fleet: bool, folder: Path) -> dict[str, float]:
    """Return the median CPU and memory of idle processes, and the bytes per second that one sends."""
    async with FleetHarness(
        FleetCase(count, seed=seed, fleet=fleet, total=UNITS_PER_INSTANCE * count if fleet else 0), folder
    ) as harness:
        if fleet:
            await wait_for_complete_views(harness, {node.name for node in harness.nodes}, 30.0)
            await harness.go()
        await asyncio.sleep(2.0 if count < 50 else 10.0)  # until all members know each other
        before, begun = harness.usage(), time.monotonic()
        sent = [(await node.counters()).get("fleet_bytes_sent", 0) for node in harness.nodes[:4]]
        await asyncio.sleep(seconds)
        after, span = harness.usage(), time.monotonic() - begun
        bytes_sent = [(await node.counters()).get("fleet_bytes_sent", 0) - was for node, was in zip(harness.nodes[:4], sent)]
    cores = sorted((last[0] - first[0]) / span for first, last in zip(before, after) if first and last)
    memory = sorted(last[1] / 1e6 for last in after if last)
    return {"cpu": cores[len(cores) // 2], "mb": memory[len(memory) // 2], "bytes": sum(bytes_sent) / len(bytes_sent) / span}


async def run_cost(count: int, seed: int, quick: bool, folder: Path) -> tuple[dict[str, Any], Checks]:
    """Compare the cost of gossip with few and many members, and without."""
    seconds, few = (6.0, 8) if quick else (15.0, 20)
    usages = {
        name: await measure_usage(many, seed, seconds, fleet, folder)
        for name, many, fleet in (("none", few, False), ("few", few, True), ("many", count, True))
    }
    cpu, memory_mb = usages["many"]["cpu"] - usages["none"]["cpu"], usages["many"]["mb"] - usages["none"]["mb"]
    growth = max(
        usages["many"]["bytes"] / usages["few"]["bytes"],
        (usages["many"]["cpu"] - usages["none"]["cpu"]) / max(1e-4, usages["few"]["cpu"] - usages["none"]["cpu"]),
    )
    return (
        {
            "core": cpu,
            "mb": memory_mb,
            "growth": growth,
            "bytes a second": usages["many"]["bytes"],
            "at few": usages["few"]["cpu"] - usages["none"]["cpu"],
        },
        {
            f"under {MAX_CPU_CORES:g} of a core": cpu < MAX_CPU_CORES,
            f"under {MAX_MEMORY_MB:g} MB more": memory_mb < MAX_MEMORY_MB,
            f"at {count} within {MAX_GROWTH:g} of {few}": growth <= MAX_GROWTH,
        },
    )


async def run_comparison(count: int, seed: int, quick: bool, folder: Path) -> tuple[dict[str, Any], Checks]:
    """Compare leases with even shares, and with a limit on the total of all members heard by gossip."""
    figures: dict[str, Any] = {}
    for name, how in (("leases", {}), ("even", {"leases": False}), ("gossip", {"leases": False, "gossip": True})):
        world = GossipWorld(
            Plan(
                12,
                "at 24 cut 0-5 from 6-11 for 8",
                seed=seed,
                budgets=(("quota", 1200, 1.0),),
                demand=lambda place, now: 1.6 if place < 6 else 0.53,
                **how,
            )
        ).play(14.0)
        before = Counter(world.took)
        world.play(24.0)
        calm = (sum(world.took.values()) - sum(before.values())) / 12_000.0
        world.play(34.0)
        figures[name] = {"used": round(calm, 3), "most": round(world.most_used[0] / 1200, 3)}
    return figures, {
        "leases use more than even parts": figures["leases"]["used"] > figures["even"]["used"] + 0.1,
        "total kept": figures["leases"]["most"] <= 1.0,
        "gossip overruns": figures["gossip"]["most"] > 1.0,
    }


async def run_script(count: int, seed: int, text: str, seconds: float, folder: Path) -> tuple[dict[str, Any], Checks]:
    """Run a fault script and check that the total is never exceeded."""
    case = uneven_demand(count, seconds, seed, text)
    results = await measure_use(case, folder, 0.0, count // 2)
    return results, {"total kept": results["most"] <= 1.0}


PARTS = {
    "members": run_members,
    "cut": run_partition,
    "budget": run_budget,
    "even": run_even_shares,
    "beside": run_comparison,
    "cost": run_cost,
}


def main(argv: list[str] | None = None) -> int:
    """Run the chosen parts and print their figures; return 1 if a check failed."""
    options = docopt(__doc__, argv)
    keep_environment()
    quick, seed = options["--quick"], int(options["--seed"])
    count = int(options["--instances"] or (24 if quick else 200))
    chosen = [options["--only"]] if options["--only"] else ["members", "budget", "beside"] if quick else list(PARTS)
    if unknown := set(chosen) - set(PARTS):
        sys.exit(f"fleet: no part {sorted(unknown)[0]!r}; there are: {', '.join(PARTS)}")
    table, result, missed = Table("", "figures", "missed"), {}, {}
    for name in ["faults"] if options["--faults"] else chosen:
        with tempfile.TemporaryDirectory() as folder:
            if options["--faults"]:
                text = Path(options["--faults"]).read_text()
                work = run_script(count, seed, text, float(options["--for"]), Path(folder))
            else:
                work = PARTS[name](count, seed, quick, Path(folder))
            figures, checks = asyncio.run(work)
        result[name] = {key: round(value, 4) if isinstance(value, float) else value for key, value in figures.items()}
        if failed := [check for check, passed in checks.items() if not passed]:
            missed[name] = failed
        table.add_row(name, "  ".join(f"{key} {value}" for key, value in result[name].items()), "; ".join(missed.get(name, [])))
    Console(width=160).print(table)
    print(json.dumps({"instances": count, **result, "missed": missed, "holds": not missed}))
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
