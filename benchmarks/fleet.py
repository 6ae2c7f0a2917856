"""A fleet of real processes on loopback: who is there, budgets that move, what it costs. Faults by script.

Usage:
  fleet [--quick] [--seed N] [--instances N] [--for SECONDS] [--faults FILE] [--only PART]

Options:
  --quick         24 processes and two parts, within 45 s.
  --seed N        Of loads and losses [default: 1].
  --instances N   Processes; else 24 quick, 200 in full.
  --for SECONDS   How long a script of one's own is played [default: 20].
  --faults FILE   Only this script: what must never happen is checked as ever.
  --only PART     members, cut, budget, even, beside or cost.

members  a dead one known to 0.99 of the others in 3 s; nobody living declared gone at 20% loss with a twentieth stalled 2 s
cut      halves cut for 12 s (30 s in full): views one again in 3 s, nobody declared gone meanwhile
budget   demand 3:1 between halves, leases beside even parts in one run: 0.9 of a total used, and the total kept in any window
even     the same with the halves cut: the cut-off half uses its even part
beside   in virtual time, 12 members, the halves cut for 8 s: leases, even parts, and the total over all that are heard of
cost     CPU, memory and bytes of an instance without ops, beside the same processes with no fleet, and at 20 beside many
Each starts processes of its own. `late` is how late the stand-ins were: above 0.1 s the machine was too busy and the run tells
nothing. What was run is taken down by the interpreters, on one clock: a window is shortened by four times that lateness.
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

KNOWN, BACK, USED, EVEN = 3.0, 3.0, 0.9, 0.9
CPU, MEMORY_MB, GROWTH = 0.02, 6.0, 1.3
RUNNABLE = 48  # instances whose ops one machine can run beside their stand-ins
UNITS = 40  # of a total, for each instance a window
Holds = dict[str, bool]


def places(first: int, last: int) -> str:
    return f"{first}-{last}" if last > first else str(first)


async def gone_in(harness: FleetHarness, dead: str, within: float) -> float | None:
    """Seconds until 0.99 of the others say that it is gone."""
    begun = time.monotonic()
    while time.monotonic() - begun < within:
        views = [view for name, view in (await harness.views()).items() if name != dead]
        known = sum(any(row["name"] == dead and row["state"] == "gone" for row in view["members"]) for view in views)
        if views and known >= 0.99 * len(views):
            return time.monotonic() - begun
        await asyncio.sleep(0.05)
    return None


def declared(views: dict[str, dict[str, Any]], names: set[str]) -> int:
    """How often one of these is said to be gone."""
    return sum(row["state"] == "gone" and row["name"] in names for view in views.values() for row in view["members"])


async def together(harness: FleetHarness, names: set[str], within: float) -> float | None:
    return await harness.wait_for(lambda views: views_agree(views, names), within)


async def members(count: int, seed: int, quick: bool, folder: Path) -> tuple[dict[str, Any], Holds]:
    stalled = places(2, 1 + max(1, count // 20))
    length = 6.5 if quick else 20.0
    script = (
        f"at 0 lossy all 0.2 for {length}\n"
        + "\n".join(f"at {at:.1f} stall {stalled} for 2" for at in (1.0, 5.0, 9.0, 13.0) if at + 3.0 < length)
        + f"\nat {length + 1} kill 1"
    )
    async with FleetHarness(FleetCase(count, script, seed=seed, run_for=length), folder) as harness:
        names = {node.name for node in harness.nodes}
        joined = await together(harness, names, 30.0)
        await harness.go()
        false = 0
        while harness.now() < length:
            false = max(false, declared(await harness.views(), names))
            await asyncio.sleep(0.2)
        await harness.until(length + 1.0)
        known = await gone_in(harness, "n1", 8.0)
        views = await harness.views()
        told = await harness.finish()
        counters = await harness.nodes[0].counters()
    false = max(false, declared(views, names - {"n1"}))
    return (
        {
            "joined": joined,
            "known": known,
            "false": false,
            "late": told["late"],
            "suspected": counters.get("fleet_suspected"),
            "refuted": counters.get("fleet_refuted"),
        },
        {
            f"known in {KNOWN:g} s": known is not None and known <= KNOWN,
            "no living one declared gone": false == 0,
            "all joined": joined is not None,
        },
    )


async def cut(count: int, seed: int, quick: bool, folder: Path) -> tuple[dict[str, Any], Holds]:
    half, length = count // 2, 12.0 if quick else 30.0
    script = f"at 0.5 cut {places(0, half - 1)} from {places(half, count - 1)} for {length}"
    async with FleetHarness(FleetCase(count, script, seed=seed, run_for=length), folder) as harness:
        names = {node.name for node in harness.nodes}
        await together(harness, names, 30.0)
        await harness.go()
        await harness.until(0.5 + length - 0.5)
        views = await harness.views()
        frozen, false = sum(view["frozen"] for view in views.values()) / len(views), declared(views, names)
        await harness.until(0.5 + length)
        back = await together(harness, names, 10.0)
        told = await harness.finish()
    return (
        {"frozen": frozen, "false": false, "back": back, "late": told["late"]},
        {f"views one in {BACK:g} s": back is not None and back <= BACK, "nobody declared gone": false == 0},
    )


async def used(case: FleetCase, folder: Path, since: float, first: int) -> dict[str, Any]:
    """Runs in any window, and as a share of the total from `since` on; of the first half, of its even part."""
    async with FleetHarness(case, folder) as harness:
        names = {node.name for node in harness.nodes}
        await together(harness, names, 30.0)
        await harness.go()
        told = await harness.finish()
        zero = harness.start_at
    window = case.window - 4.0 * told["late"] - 0.02
    starts = [[at - zero for at, _ in host["starts"]] for host in told["ran"]]
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
        "late": told["late"],
    }


def demand(count: int, run_for: float, seed: int, script: str = "", leases: bool = True) -> FleetCase:
    """3:1 between halves, a little more in all than the total; without leases every part stays where it is."""
    half, total = count // 2, UNITS * count
    rates = (1.6 * UNITS * half, 0.53 * UNITS * (count - half))
    loads = []
    for (first, last), rate in zip(((0, half - 1), (half, count - 1)), rates):
        loads.append((places(first, last), rate))
    return FleetCase(count, script, run_for, total=total, loads=tuple(loads), seed=seed, lease=3.0 if leases else 3600.0)


async def budget(count: int, seed: int, quick: bool, folder: Path) -> tuple[dict[str, Any], Holds]:
    count = min(count, RUNNABLE)
    run_for, since = (22.0, 12.0) if quick else (40.0, 15.0)
    with_leases = await used(demand(count, run_for, seed), folder, since, count // 2)
    return (
        {**with_leases, "even split would be": (1.0 + 0.53) / 2},
        {f"{USED:g} of the total used": with_leases["used"] >= USED, "total kept": with_leases["most"] <= 1.0},
    )


async def even(count: int, seed: int, quick: bool, folder: Path) -> tuple[dict[str, Any], Holds]:
    count = min(count, RUNNABLE)
    half = count // 2
    script = f"at 6 cut {places(0, half - 1)} from {places(half, count - 1)} for 40"
    run_for, since = (26.0, 14.0) if quick else (40.0, 15.0)
    told = await used(demand(count, run_for, seed, script), folder, since, half)
    return told, {f"{EVEN:g} of its even part used, cut off": told["first half"] >= EVEN, "total kept": told["most"] <= 1.0}


async def usage(count: int, seed: int, seconds: float, fleet: bool, folder: Path) -> dict[str, float]:
    async with FleetHarness(FleetCase(count, seed=seed, fleet=fleet, total=UNITS * count if fleet else 0), folder) as harness:
        if fleet:
            await together(harness, {node.name for node in harness.nodes}, 30.0)
            await harness.go()
        await asyncio.sleep(2.0 if count < 50 else 10.0)  # until the joining has been told on to all
        before, begun = harness.usage(), time.monotonic()
        sent = [(await node.counters()).get("fleet_bytes_sent", 0) for node in harness.nodes[:4]]
        await asyncio.sleep(seconds)
        after, span = harness.usage(), time.monotonic() - begun
        bytes_sent = [(await node.counters()).get("fleet_bytes_sent", 0) - was for node, was in zip(harness.nodes[:4], sent)]
    cores = sorted((last[0] - first[0]) / span for first, last in zip(before, after) if first and last)
    memory = sorted(last[1] / 1e6 for last in after if last)
    return {"cpu": cores[len(cores) // 2], "mb": memory[len(memory) // 2], "bytes": sum(bytes_sent) / len(bytes_sent) / span}


async def cost(count: int, seed: int, quick: bool, folder: Path) -> tuple[dict[str, Any], Holds]:
    seconds, few = (6.0, 8) if quick else (15.0, 20)
    told = {
        name: await usage(many, seed, seconds, fleet, folder)
        for name, many, fleet in (("none", few, False), ("few", few, True), ("many", count, True))
    }
    cpu, mb = told["many"]["cpu"] - told["none"]["cpu"], told["many"]["mb"] - told["none"]["mb"]
    growth = max(
        told["many"]["bytes"] / told["few"]["bytes"],
        (told["many"]["cpu"] - told["none"]["cpu"]) / max(1e-4, told["few"]["cpu"] - told["none"]["cpu"]),
    )
    return (
        {
            "core": cpu,
            "mb": mb,
            "growth": growth,
            "bytes a second": told["many"]["bytes"],
            "at few": told["few"]["cpu"] - told["none"]["cpu"],
        },
        {
            f"under {CPU:g} of a core": cpu < CPU,
            f"under {MEMORY_MB:g} MB more": mb < MEMORY_MB,
            f"at {count} within {GROWTH:g} of {few}": growth <= GROWTH,
        },
    )


async def beside(count: int, seed: int, quick: bool, folder: Path) -> tuple[dict[str, Any], Holds]:
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


async def own_script(count: int, seed: int, text: str, seconds: float, folder: Path) -> tuple[dict[str, Any], Holds]:
    case = demand(count, seconds, seed, text)
    told = await used(case, folder, 0.0, count // 2)
    return told, {"total kept": told["most"] <= 1.0}


PARTS = {"members": members, "cut": cut, "budget": budget, "even": even, "beside": beside, "cost": cost}


def main(argv: list[str] | None = None) -> int:
    told = docopt(__doc__, argv)
    keep_environment()
    quick, seed = told["--quick"], int(told["--seed"])
    count = int(told["--instances"] or (24 if quick else 200))
    chosen = [told["--only"]] if told["--only"] else ["members", "budget", "beside"] if quick else list(PARTS)
    if unknown := set(chosen) - set(PARTS):
        sys.exit(f"fleet: no part {sorted(unknown)[0]!r}; there are: {', '.join(PARTS)}")
    table, result, missed = Table("", "figures", "missed"), {}, {}
    for name in ["faults"] if told["--faults"] else chosen:
        with tempfile.TemporaryDirectory() as folder:
            if told["--faults"]:
                text = Path(told["--faults"]).read_text()
                work = own_script(count, seed, text, float(told["--for"]), Path(folder))
            else:
                work = PARTS[name](count, seed, quick, Path(folder))
            figures, holds = asyncio.run(work)
        result[name] = {key: round(value, 4) if isinstance(value, float) else value for key, value in figures.items()}
        if lacks := [aim for aim, held in holds.items() if not held]:
            missed[name] = lacks
        table.add_row(name, "  ".join(f"{key} {value}" for key, value in result[name].items()), "; ".join(missed.get(name, [])))
    Console(width=160).print(table)
    print(json.dumps({"instances": count, **result, "missed": missed, "holds": not missed}))
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
