"""Load balancing between many instances, each with few samples of its own: in virtual time, and as processes on loopback.

Usage:
  spread [--quick] [--seed N] [--instances N] [--for SECONDS] [--faults FILE] [--only PART] [--plot FILE]

Options:
  --quick         24 instances, three cases in virtual time and one with processes; takes less than 45 s.
  --seed N        Seed of loads and faults [default: 1].
  --instances N   24 with --quick, else 200 processes and 60 in virtual time.
  --for SECONDS   Duration of the measurement after warm-up; 8 with --quick, else 20.
  --faults FILE   Run only this script, in virtual time and with processes, without comparing the modes.
  --only PART     estimates, virtual or processes.
  --plot FILE     Heat maps of busy instances over time, without and with handover, as PNG (matplotlib).

estimates  error of the estimated pace, shrunk towards the mean of similar instances ("drawn") and from the instance's own
           window alone ("own"), at 0.2 to 20 requests per second
virtual    no load balancing, advice, handover to random peers, to the peer with the freshest report, and on offers, compared
           with a single queue in front of all instances as the optimum
processes  no load balancing, then handover on offers; compared unless a fault script is given
In virtual time the invariants are checked at each step: one answer per request, one run of what must not run twice, no more
offers than free slots. With processes, a second run of a sign-off is an instance's fault unless its client sent it again, to a
new process, after a kill broke the connection: such runs are counted separately (`testing/duplicate_runs.py`).
"""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import random
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any

from docopt import docopt
from rich.console import Console
from rich.table import Table

from mulleinhatch.instance.load_balancing.estimates import SCATTER, DecayingWindow, estimate_population, shrink_towards_mean
from mulleinhatch.simulation.gossip_world import Plan
from mulleinhatch.simulation.load_balancing_world import MODES, SETTLED_AT_S, Load, LoadBalancingWorld, common_queue
from mulleinhatch.testing import duplicate_runs as second_runs
from mulleinhatch.testing.fleet_harness import FleetCase, FleetHarness, views_agree
from mulleinhatch.testing.instance_harness import keep_environment

COUNTED = ("in_time", "idle_needed", "most_over_mean", "p50", "p99", "nacked", "handed", "refused by peers")
Checks = dict[str, bool]


def create_cases(count: int, length: float) -> dict[str, tuple[str, float, Load]]:
    """Return fault script, duration and load by the name of the case."""

    def node_range(first: int, fraction: float) -> str:
        return f"{first}-{first + max(1, round(fraction * count)) - 1}"

    failing_nodes = ",".join(str(place) for place in range(0, count, 8))
    half, callers = count // 2, max(4, count // 2)
    return {
        "a third by one caller": ("", length, Load(one=0.33, callers=8)),
        "callers of five, uneven": ("", length, Load(callers=callers // 2, uneven=3.0)),
        "1.1 of capacity": ("", length, Load(1.1, callers=callers)),
        "a third slower by 2.5": ("", length, Load(callers=callers, speeds=(1.0, 1.0, 0.4))),
        "black hole, one in eight": (f"at 6 failing {failing_nodes} 1.0 for {length}", length, Load(0.8, callers=callers)),
        "three in ten cold at once": (
            f"at 6 kill {node_range(0, 0.3)} for 1\nat 7 slow {node_range(0, 0.3)} by 3 for 4",
            length + 2.0,
            Load(0.6, callers=callers),
        ),
        "fleet state in halves": (
            f"at 6 cut 0-{half - 1} from {half}-{count - 1} for {length - 4}",
            length,
            Load(callers=callers),
        ),
        "three in ten replaced in 7 s": (
            "\n".join(
                f"at {6 + 7 * index / max(1, 0.3 * count):.2f} kill {index} for 1" for index in range(round(0.3 * count))
            ),
            length + 6.0,
            Load(0.6, callers=callers),
        ),
        "stalls": ("at 6 stall 3,9 for 2\nat 9 stall 12 for 2", length, Load(callers=callers)),
    }


def play(job: tuple[str, str, int, int, str, float, Load, bool]) -> tuple[str, str, dict[str, float], Any]:
    """Play one case in one mode; takes one argument, as a process pool requires."""
    name, mode, count, seed, script, length, load, plotted = job
    plan = Plan(count, script, until=SETTLED_AT_S + length + 2.5, seed=seed)
    if mode == "one line":
        return name, mode, common_queue(plan, load), None
    world = LoadBalancingWorld(plan, load, mode).play()
    return name, mode, world.figures(), world.busy if plotted else None


def run_virtual(count: int, seed: int, quick: bool, length: float, script: str | None, plot: str | None) -> tuple[dict, Checks]:
    """Play the cases in all modes and check the improvements that load balancing must give."""
    chosen = create_cases(count, length)
    if script is not None:
        chosen = {"own script": (script, length, Load(callers=max(4, count // 2)))}
    elif quick:
        chosen = {name: chosen[name] for name in list(chosen)[:3]}
    jobs = [
        (name, mode, count, seed, text, last, load, plot is not None and mode in ("alone", "spread"))
        for name, (text, last, load) in chosen.items()
        for mode in (*MODES, "one line")
    ]
    with multiprocessing.Pool() as pool:
        played = pool.map(play, jobs, chunksize=1)
    figures: dict[str, dict[str, dict[str, float]]] = {}
    for name, mode, sums, _ in played:
        figures.setdefault(name, {})[mode] = {key: round(value, 3) for key, value in sums.items()}
    if plot:
        draw([(f"{name}, {mode}", busy) for name, mode, _, busy in played if busy][:2], plot)
    checks: Checks = {}
    for name, modes in figures.items():
        spread, alone = modes["spread"], modes["alone"]
        if script is not None:
            continue
        if name == "1.1 of capacity":
            for key in ("in_time", "idle_needed", "most_over_mean", "p50", "p99", "nacked"):
                better = spread[key] >= alone[key] - 0.002 if key == "in_time" else spread[key] <= 1.02 * alone[key]
                checks[f"{name}: {key} no worse"] = better
            continue
        if chosen[name][0] == "":
            checks[f"{name}: in time 0.95 of one line"] = spread["in_time"] >= 0.95 * modes["one line"]["in_time"]
            checks[f"{name}: idle while needed a fifth"] = spread["idle_needed"] <= 0.2 * alone["idle_needed"]
        checks[f"{name}: in time as alone"] = spread["in_time"] >= alone["in_time"]
        if "cold" in name or "replaced" in name:
            checks[f"{name}: no more than 3 times the mean"] = spread["most_over_mean"] <= 3.0
        if name == "a third by one caller":
            checks["the freshest report herds"] = modes["freshest"]["refused by peers"] > 5 * max(1, spread["refused by peers"])
    return figures, checks


def draw(maps: list[tuple[str, list[list[float]]]], path: str) -> None:
    """Draw heat maps of busy instances."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(len(maps), 1, figsize=(10, 3.2 * len(maps)), squeeze=False)
    for axis, (title, busy) in zip(axes[:, 0], maps):
        axis.imshow(
            [list(row) for row in zip(*busy)],
            aspect="auto",
            vmin=0.0,
            vmax=1.0,
            cmap="viridis",
            interpolation="nearest",
            extent=(SETTLED_AT_S, SETTLED_AT_S + 0.5 * len(busy), len(busy[0]) - 0.5, -0.5),
        )
        axis.set_title(title)
        axis.set_ylabel("instance")
    axes[-1, 0].set_xlabel("seconds; dark is idle")
    figure.tight_layout()
    figure.savefig(path, dpi=100)


def run_estimates(count: int, seed: int, quick: bool) -> tuple[dict, Checks]:
    """Return the root mean square relative error of the pace, from an own window of 2.5 s and from the shrunk estimate."""
    draw, figures, checks = random.Random(seed), {}, {}
    for rate in (0.2, 1.0, 5.0, 20.0):
        errors: Counter[str] = Counter()
        samples = 0
        for _ in range(4 if quick else 40):
            paces = [draw.choice((1.0, 1.0, 2.5)) * draw.uniform(0.9, 1.1) for _ in range(100)]
            measured = []
            for pace in paces:
                short, window, at = [], DecayingWindow(10.0), 0.0
                while (at := at + draw.expovariate(rate)) < 30.0:
                    value = pace * draw.uniform(0.4, 1.6) * draw.uniform(0.5, 1.5)
                    window.add(at, value)
                    short += [value] if at > 27.5 else []
                measured.append((short, window.evidence(30.0)))
            mean, deviation = estimate_population([evidence for _, evidence in measured], SCATTER)
            for pace, (short, evidence) in zip(paces, measured):
                # Without runs in its window, an instance assumes the usual pace.
                own = sum(short) / len(short) if short else 1.0
                value = shrink_towards_mean(30.0, evidence, SCATTER, mean, deviation).value
                errors["own"] += ((own - pace) / pace) ** 2
                errors["drawn"] += ((value - pace) / pace) ** 2
                samples += 1
        figures[f"{rate:g} a second"] = {name: round((total / samples) ** 0.5, 3) for name, total in errors.items()}
        checks[f"{rate:g} a second: drawn is nearer"] = errors["drawn"] < errors["own"]
    return figures, checks


async def run_processes(count: int, seed: int, length: float, script: str | None, folder: Path) -> tuple[dict, Checks]:
    """Run real processes without and with load balancing."""
    cores, work = (2, 200.0) if count <= 50 else (1, 400.0)
    rate = 0.9 * count * cores / work * 1000.0
    few = f"0-{max(4, count // 5 - 1)}"  # three tenths of the load come from clients that know only these (5 of 24)
    figures: dict[str, Any] = {}
    for name, spread in (("alone", ""), ("spread", "-")):
        case = FleetCase(
            count,
            script or "",
            run_for=length,
            cores=cores,
            work_ms=work,
            seed=seed,
            signoffs=0.15,
            max_attempts=4,
            heeding=0.8,
            loads=((few, 0.3 * rate), ("all", 0.7 * rate)),
            spread=spread,
        )
        (folder / name).mkdir()
        async with FleetHarness(case, folder / name) as harness:
            names = {node.name for node in harness.nodes}
            await harness.wait_for(lambda views, names=names: views_agree(views, names), 30.0)
            await harness.go()
            await harness.until(1.0)
            before = harness.usage()
            await harness.until(length)
            after = harness.usage()
            counts = [Counter(await node.counters()) for node in harness.nodes[:: max(1, count // 48)]]
            results = await harness.finish()
        cpu = sum(now[0] - then[0] for now, then in zip(after, before) if now and then)
        value_of = {"read": 1.0, "signoff": 5.0}
        asked = sum(value_of[kind] * sums[0] for client in results["stubs"] for kind, sums in client["by_kind"].items())
        in_time = sum(value_of[kind] * sums[2] for client in results["stubs"] for kind, sums in client["by_kind"].items())
        second_runs_found = second_runs.second_runs_of_fleet(results)
        for fault in second_runs_found.faults:
            print(f"{name}: {fault}", file=sys.stderr)
        requests = sum(sum(client["first"].values()) for client in results["stubs"])
        figures[name] = {
            "in_time": round(in_time / asked, 3),
            "p50": max(client["latency"]["50"] for client in results["stubs"]),
            "p99": max(client["latency"]["99"] for client in results["stubs"]),
            "cpu_ms_an_op": round(1000.0 * cpu / requests, 2),
            "memory_mb": round(max(usage[1] for usage in after if usage) / 1e6, 1),
            "nacked": sum(client["counts"]["nacked"] for client in results["stubs"]),
            "handed": sum(count["decided_hand"] for count in counts),
            "sign-offs twice": len(second_runs_found.faults),
            "repeated after a kill": len(second_runs_found.repeats),
            "wrong": sum(client["counts"]["wrong"] for client in results["stubs"]),
            "late": round(results["late"], 3),
            "errors inside": sum(count["errors_inside"] + count["spread_errors_inside"] for count in counts),
        }
    checks = {
        "no sign-off twice": not any(row["sign-offs twice"] for row in figures.values()),
        "no answer of a stranger": not figures["spread"]["wrong"],
        "no error inside": not figures["spread"]["errors inside"],
        "the machine was not too busy to tell": figures["spread"]["late"] <= 0.1,
    }
    if script is None:
        checks["in time well above today's"] = figures["spread"]["in_time"] >= figures["alone"]["in_time"]
    return figures, checks


def table(name: str, figures: dict[str, Any]) -> Table:
    """Return a table with one row per entry."""
    shown = Table(name, *next(iter(figures.values())))
    for row, values in figures.items():
        shown.add_row(row, *(str(values.get(key, "-")) for key in next(iter(figures.values()))))
    return shown


def main(argv: list[str] | None = None) -> int:
    """Run the chosen parts and print their figures; return 1 if a check failed."""
    options = docopt(__doc__, argv)
    keep_environment()
    quick, seed, script = options["--quick"], int(options["--seed"]), None
    if options["--faults"]:
        script = Path(options["--faults"]).read_text()
    parts = (
        [options["--only"]]
        if options["--only"]
        else ["virtual", "processes"]
        if script is not None
        else ["estimates", "virtual", "processes"]
    )
    if unknown := set(parts) - {"estimates", "virtual", "processes"}:
        sys.exit(f"spread: no part {sorted(unknown)[0]!r}; there are: estimates, virtual, processes")
    result, missed, console = {}, {}, Console(width=150)
    for part in parts:
        count = int(options["--instances"] or (24 if quick else {"processes": 200}.get(part, 60)))
        length = float(options["--for"] or (8.0 if quick else 20.0))
        if part == "estimates":
            figures, checks = run_estimates(count, seed, quick)
            console.print(table("error of the pace", figures))
        elif part == "virtual":
            figures, checks = run_virtual(count, seed, quick, length, script, options["--plot"])
            for name, modes in figures.items():
                console.print(table(name, modes))
        else:
            with tempfile.TemporaryDirectory() as folder:
                figures, checks = asyncio.run(run_processes(count, seed, length, script, Path(folder)))
            console.print(table(f"{count} processes", figures))
        result[part] = figures
        if failed := [check for check, passed in checks.items() if not passed]:
            missed[part] = failed
    print(json.dumps({**result, "missed": missed, "holds": not missed}))
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
