"""Rolling maintenance of all machines by permits, under load and faults, compared with a fixed list and with no maintenance.

Usage:
  upkeep [--quick] [--seed N] [--instances N] [--for SECONDS] [--faults FILE]

Options:
  --quick         12 processes, one per zone out at a time.
  --seed N        Seed of loads and losses [default: 1].
  --instances N   Number of processes; 12 with --quick, else 60 with three per zone out at a time.
  --for SECONDS   Maximum duration of the roll [default: 240].
  --faults FILE   Run this script instead of the default faults; the limits are checked as well.

An independent watcher counts processes that are not running, without relying on the program: never more than the limits.
Objectives: without faults all are done within 1.5 times the shortest possible time, and service is no worse than by the list.
"""

from __future__ import annotations

import asyncio
import json
import math
import sys
import tempfile
from pathlib import Path
from typing import Any

from docopt import docopt
from rich.console import Console
from rich.table import Table

from mulleinhatch.testing.fleet_harness import FleetCase, FleetHarness, views_agree
from mulleinhatch.testing.instance_harness import keep_environment
from mulleinhatch.testing.maintenance_windows import MaintenanceWindows

WORK_S, STOP_S = 1.0, 1.0  # seconds of maintenance, and from the permit to the stop
START_S = 4.3  # seconds from the start of a process until it is healthy and its permit is returned
ZONES = "xyz"


def create_case(count: int, seed: int, script: str, length: float, zone_most: int) -> FleetCase:
    """Return a fleet in three zones with five voters, of which `zone_most` machines per zone may be out."""
    zones = "\n".join(
        f"  {zone} " + " ".join(f'"n{place}"' for place in range(number, count, len(ZONES)))
        for number, zone in enumerate(ZONES)
    )
    lines = (
        f' voters "n0" "n1" "n2" "n3" "n4"\n most {min(12, zone_most * len(ZONES))}\n zone-most {zone_most}\n'
        f' folder "{{folder}}"\n control "{{control}}"\n zones {{{{\n{zones}\n }}}}'
    )
    return FleetCase(
        count,
        script,
        run_for=length,
        seed=seed,
        maintenance=lines,
        cores=2,
        work_ms=20.0,
        max_attempts=6,
        heeding=0.8,
        directory=True,
        loads=(("all", min(6.0 * count, 150.0)),),
    )


async def run_roll(fleet_case: FleetCase, folder: Path, how: str, zone_most: int, within: float) -> dict[str, Any]:
    """Run one roll and return the most machines out at a time, the duration and the service meanwhile.

    Args:
        fleet_case: The fleet, its load and faults.
        folder: New folder for the fleet's files.
        how: `permits`, `by list` or `none`.
        zone_most: Maximum number of machines of a zone out at a time.
        within: Maximum duration in seconds.
    """
    folder.mkdir()
    zones = {place: ZONES[place % len(ZONES)] for place in range(fleet_case.instances)}
    async with FleetHarness(fleet_case, folder) as harness:
        names = {node.name for node in harness.nodes}
        await harness.wait_for(lambda views: views_agree(views, names), 30.0)
        await asyncio.sleep(5.0)
        await harness.go()
        await harness.until(1.0)
        windows = MaintenanceWindows(harness, WORK_S, zones)
        windows.start()
        begun, done = harness.now(), None
        if how == "permits":
            await asyncio.gather(
                *(
                    node.request_maintenance(do="ask", kind="kernel", seconds=WORK_S + STOP_S + START_S)
                    for node in harness.nodes
                )
            )
            done = await windows.all_done(set(zones), within)
        elif how == "by list":
            by_list = asyncio.ensure_future(windows.roll_by_list(list(zones), zone_most * len(ZONES), START_S))
            done = await windows.all_done(set(zones), within)
            by_list.cancel()
        await harness.until(max(harness.now(), fleet_case.run_for))
        await windows.stop()
        report = await harness.finish()
    clients = report["stubs"]
    asked, in_time = (sum(sum(client[what].values()) for client in clients) for what in ("first", "in_time"))
    return {
        "most out": windows.most,
        "most of a zone": max(windows.zone_most.values(), default=0),
        "done": len(windows.done),
        "seconds": round(done - begun, 1) if done else None,
        "in time": round(in_time / max(1, asked), 4),
        "late": round(max(report["late"], windows.late), 3),
    }


def shortest_roll(count: int, zone_most: int) -> float:
    """Return the duration in seconds of a roll that always has as many machines out as allowed."""
    rounds = math.ceil(math.ceil(count / len(ZONES)) / zone_most)
    return rounds * (STOP_S + WORK_S + START_S)


def main(argv: list[str] | None = None) -> int:
    """Run the rolls and print their figures; return 1 if an objective was missed."""
    options = docopt(__doc__, argv)
    keep_environment()
    quick, seed = options["--quick"], int(options["--seed"])
    count = int(options["--instances"] or (12 if quick else 60))
    zone_most, within = (1 if count <= 15 else 3), float(options["--for"])
    expected = shortest_roll(count, zone_most)
    default_faults = (
        f"at 4 cut 0-{count // 3} from {count // 3 + 1}-{count - 1} for 8\nat 14 lossy all 0.2 for 10\n"
        f"at 26 stall 1,{count - 1} for 3"
    )
    script = Path(options["--faults"]).read_text() if options["--faults"] else default_faults
    runs = {"permits": ("", "permits")}
    if not quick:
        runs |= {"permits, faults": (script, "permits"), "by list": ("", "by list"), "no roll": ("", "none")}
    elif options["--faults"]:
        runs = {"permits, faults": (script, "permits")}
    figures: dict[str, dict[str, Any]] = {}
    with tempfile.TemporaryDirectory() as folder:
        for name, (text, how) in runs.items():
            length = 1.3 * expected + 3.0
            fleet_case = create_case(count, seed, text, length, zone_most)
            figures[name] = asyncio.run(run_roll(fleet_case, Path(folder) / name.replace(" ", "-"), how, zone_most, within))
    holds = {}
    for name, sums in figures.items():
        if name.startswith("permits"):
            holds[f"{name}: never over the bound"] = (
                sums["most out"] <= zone_most * len(ZONES) and sums["most of a zone"] <= zone_most
            )
            holds[f"{name}: all done"] = sums["done"] == count
    if "permits" in figures and figures["permits"]["seconds"]:
        holds["within 1.5 times the least"] = figures["permits"]["seconds"] <= 1.5 * expected
    if "by list" in figures:
        holds["service as by the list"] = figures["permits"]["in time"] >= figures["by list"]["in time"] - 0.005
    shown = Table(f"{count} processes, {zone_most} per zone, at least {expected:.0f} s", *next(iter(figures.values())))
    for name, sums in figures.items():
        shown.add_row(name, *map(str, sums.values()))
    Console(width=150).print(shown)
    missed = [objective for objective, is_met in holds.items() if not is_met]
    print(json.dumps({"instances": count, "least": expected, **figures, "missed": missed, "holds": not missed}))
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
