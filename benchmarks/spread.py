"""Even load over many instances that each see little: in virtual time, and by real processes on loopback.

Usage:
  spread [--quick] [--seed N] [--instances N] [--for SECONDS] [--faults FILE] [--only PART] [--plot FILE]

Options:
  --quick         24 instances, three cases in virtual time and one with processes, within 45 s.
  --seed N        Of loads and faults [default: 1].
  --instances N   Else 24 quick, 200 with processes and 60 in virtual time in full.
  --for SECONDS   How long is measured, after what it takes to settle.
  --faults FILE   Only this script, in virtual time and with processes: what must never happen is checked as ever.
  --only PART     estimates, virtual or processes.
  --plot FILE     Heat maps of who was busy when, alone and with hand-over, as PNG (matplotlib).

estimates  the pace drawn towards that of the like beside the own window, at 0.2 to 20 ops a second
virtual    today's text, advice, hand-over to anybody, to the freshest report, on offers; one common line as the limit
processes  today's text and hand-over on offers, one after the other; a window without a fault script is compared
Rules are checked at each step of the virtual runs (one answer, one run of what may not run twice, offers within room).
Of processes, a second run of a sign-off is an instance's fault but where its caller sent it again after a kill broke the
connection, to another life: such are counted beside (`testing/duplicate_runs.py`).
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

from mulleinhatch.instance.load_balancing.estimates import SCATTER, Window, drawn, usual
from mulleinhatch.simulation.gossip_world import Plan
from mulleinhatch.simulation.load_balancing_world import MODES, SETTLED, Load, LoadBalancingWorld, common_queue
from mulleinhatch.testing import duplicate_runs as second_runs
from mulleinhatch.testing.fleet_harness import FleetCase, FleetHarness, views_agree
from mulleinhatch.testing.instance_harness import keep_environment

COUNTED = ("in_time", "idle_needed", "most_over_mean", "p50", "p99", "nacked", "handed", "refused by peers")
Holds = dict[str, bool]


def cases(count: int, length: float) -> dict[str, tuple[str, float, Load]]:
    """By name: fault script, how long, load."""

    def some(first: int, share: float) -> str:
        return f"{first}-{first + max(1, round(share * count)) - 1}"

    holes = ",".join(str(place) for place in range(0, count, 8))
    half, callers = count // 2, max(4, count // 2)
    return {
        "a third by one caller": ("", length, Load(one=0.33, callers=8)),
        "callers of five, uneven": ("", length, Load(callers=callers // 2, uneven=3.0)),
        "1.1 of capacity": ("", length, Load(1.1, callers=callers)),
        "a third slower by 2.5": ("", length, Load(callers=callers, speeds=(1.0, 1.0, 0.4))),
        "black hole, one in eight": (f"at 6 failing {holes} 1.0 for {length}", length, Load(0.8, callers=callers)),
        "three in ten cold at once": (
            f"at 6 kill {some(0, 0.3)} for 1\nat 7 slow {some(0, 0.3)} by 3 for 4",
            length + 2.0,
            Load(0.6, callers=callers),
        ),
        "fleet state in halves": (
            f"at 6 cut 0-{half - 1} from {half}-{count - 1} for {length - 4}",
            length,
            Load(callers=callers),
        ),
        "three in ten replaced in 7 s": (
            "\n".join(f"at {6 + 7 * turn / max(1, 0.3 * count):.2f} kill {turn} for 1" for turn in range(round(0.3 * count))),
            length + 6.0,
            Load(0.6, callers=callers),
        ),
        "stalls": ("at 6 stall 3,9 for 2\nat 9 stall 12 for 2", length, Load(callers=callers)),
    }


def play(job: tuple[str, str, int, int, str, float, Load, bool]) -> tuple[str, str, dict[str, float], Any]:
    name, mode, count, seed, script, length, load, plotted = job
    plan = Plan(count, script, until=SETTLED + length + 2.5, seed=seed)
    if mode == "one line":
        return name, mode, common_queue(plan, load), None
    world = LoadBalancingWorld(plan, load, mode).play()
    return name, mode, world.figures(), world.busy if plotted else None


def virtual(count: int, seed: int, quick: bool, length: float, script: str | None, plot: str | None) -> tuple[dict, Holds]:
    chosen = cases(count, length)
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
        told = pool.map(play, jobs, chunksize=1)
    figures: dict[str, dict[str, dict[str, float]]] = {}
    for name, mode, sums, _ in told:
        figures.setdefault(name, {})[mode] = {key: round(value, 3) for key, value in sums.items()}
    if plot:
        draw([(f"{name}, {mode}", busy) for name, mode, _, busy in told if busy][:2], plot)
    holds: Holds = {}
    for name, modes in figures.items():
        spread, alone = modes["spread"], modes["alone"]
        if script is not None:
            continue
        if name == "1.1 of capacity":
            for key in ("in_time", "idle_needed", "most_over_mean", "p50", "p99", "nacked"):
                better = spread[key] >= alone[key] - 0.002 if key == "in_time" else spread[key] <= 1.02 * alone[key]
                holds[f"{name}: {key} no worse"] = better
            continue
        if chosen[name][0] == "":
            holds[f"{name}: in time 0.95 of one line"] = spread["in_time"] >= 0.95 * modes["one line"]["in_time"]
            holds[f"{name}: idle while needed a fifth"] = spread["idle_needed"] <= 0.2 * alone["idle_needed"]
        holds[f"{name}: in time as alone"] = spread["in_time"] >= alone["in_time"]
        if "cold" in name or "replaced" in name:
            holds[f"{name}: no more than 3 times the mean"] = spread["most_over_mean"] <= 3.0
        if name == "a third by one caller":
            holds["the freshest report herds"] = modes["freshest"]["refused by peers"] > 5 * max(1, spread["refused by peers"])
    return figures, holds


def draw(maps: list[tuple[str, list[list[float]]]], path: str) -> None:
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
            extent=(SETTLED, SETTLED + 0.5 * len(busy), len(busy[0]) - 0.5, -0.5),
        )
        axis.set_title(title)
        axis.set_ylabel("instance")
    axes[-1, 0].set_xlabel("seconds; dark is idle")
    figure.tight_layout()
    figure.savefig(path, dpi=100)


def estimates(count: int, seed: int, quick: bool) -> tuple[dict, Holds]:
    """Root of the mean square error of the pace, as a share of it: own window of 2.5 s, and drawn towards the like."""
    draw, figures, holds = random.Random(seed), {}, {}
    for rate in (0.2, 1.0, 5.0, 20.0):
        errors: Counter[str] = Counter()
        whole_count = 0
        for _ in range(4 if quick else 40):
            paces = [draw.choice((1.0, 1.0, 2.5)) * draw.uniform(0.9, 1.1) for _ in range(100)]
            seen = []
            for pace in paces:
                short, window, at = [], Window(10.0), 0.0
                while (at := at + draw.expovariate(rate)) < 30.0:
                    value = pace * draw.uniform(0.4, 1.6) * draw.uniform(0.5, 1.5)
                    window.add(at, value)
                    short += [value] if at > 27.5 else []
                seen.append((short, window.evidence(30.0)))
            mean, differ = usual([evidence for _, evidence in seen], SCATTER)
            for pace, (short, evidence) in zip(paces, seen):
                # Where the window is empty today's text knows nothing: it is taken for the usual pace.
                own = sum(short) / len(short) if short else 1.0
                value = drawn(30.0, evidence, SCATTER, mean, differ).value
                errors["own"] += ((own - pace) / pace) ** 2
                errors["drawn"] += ((value - pace) / pace) ** 2
                whole_count += 1
        figures[f"{rate:g} a second"] = {name: round((total / whole_count) ** 0.5, 3) for name, total in errors.items()}
        holds[f"{rate:g} a second: drawn is nearer"] = errors["drawn"] < errors["own"]
    return figures, holds


async def processes(count: int, seed: int, length: float, script: str | None, folder: Path) -> tuple[dict, Holds]:
    cores, work = (2, 200.0) if count <= 50 else (1, 400.0)
    rate = 0.9 * count * cores / work * 1000.0
    few = f"0-{max(4, count // 5 - 1)}"  # known to callers of three tenths of the load, as five are of 24
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
            tries=4,
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
            told = await harness.finish()
        cpu = sum(now[0] - then[0] for now, then in zip(after, before) if now and then)
        worth = {"read": 1.0, "signoff": 5.0}
        asked = sum(worth[kind] * sums[0] for stub in told["stubs"] for kind, sums in stub["by_kind"].items())
        in_time = sum(worth[kind] * sums[2] for stub in told["stubs"] for kind, sums in stub["by_kind"].items())
        second = second_runs.second_runs_of_fleet(told)
        for fault in second.faults:
            print(f"{name}: {fault}", file=sys.stderr)
        ops = sum(sum(stub["first"].values()) for stub in told["stubs"])
        figures[name] = {
            "in_time": round(in_time / asked, 3),
            "p50": max(stub["latency"]["50"] for stub in told["stubs"]),
            "p99": max(stub["latency"]["99"] for stub in told["stubs"]),
            "cpu_ms_an_op": round(1000.0 * cpu / ops, 2),
            "memory_mb": round(max(told[1] for told in after if told) / 1e6, 1),
            "nacked": sum(stub["counts"]["nacked"] for stub in told["stubs"]),
            "handed": sum(count["decided_hand"] for count in counts),
            "sign-offs twice": len(second.faults),
            "repeated after a kill": len(second.repeats),
            "wrong": sum(stub["counts"]["wrong"] for stub in told["stubs"]),
            "late": round(told["late"], 3),
            "errors inside": sum(count["errors_inside"] + count["spread_errors_inside"] for count in counts),
        }
    holds = {
        "no sign-off twice": not any(row["sign-offs twice"] for row in figures.values()),
        "no answer of a stranger": not figures["spread"]["wrong"],
        "no error inside": not figures["spread"]["errors inside"],
        "the machine was not too busy to tell": figures["spread"]["late"] <= 0.1,
    }
    if script is None:
        holds["in time well above today's"] = figures["spread"]["in_time"] >= figures["alone"]["in_time"]
    return figures, holds


def table(name: str, figures: dict[str, Any]) -> Table:
    shown = Table(name, *next(iter(figures.values())))
    for row, values in figures.items():
        shown.add_row(row, *(str(values.get(key, "-")) for key in next(iter(figures.values()))))
    return shown


def main(argv: list[str] | None = None) -> int:
    told = docopt(__doc__, argv)
    keep_environment()
    quick, seed, script = told["--quick"], int(told["--seed"]), None
    if told["--faults"]:
        script = Path(told["--faults"]).read_text()
    parts = (
        [told["--only"]]
        if told["--only"]
        else ["virtual", "processes"]
        if script is not None
        else ["estimates", "virtual", "processes"]
    )
    if unknown := set(parts) - {"estimates", "virtual", "processes"}:
        sys.exit(f"spread: no part {sorted(unknown)[0]!r}; there are: estimates, virtual, processes")
    result, missed, console = {}, {}, Console(width=150)
    for part in parts:
        count = int(told["--instances"] or (24 if quick else {"processes": 200}.get(part, 60)))
        length = float(told["--for"] or (8.0 if quick else 20.0))
        if part == "estimates":
            figures, holds = estimates(count, seed, quick)
            console.print(table("error of the pace", figures))
        elif part == "virtual":
            figures, holds = virtual(count, seed, quick, length, script, told["--plot"])
            for name, modes in figures.items():
                console.print(table(name, modes))
        else:
            with tempfile.TemporaryDirectory() as folder:
                figures, holds = asyncio.run(processes(count, seed, length, script, Path(folder)))
            console.print(table(f"{count} processes", figures))
        result[part] = figures
        if lacks := [aim for aim, held in holds.items() if not held]:
            missed[part] = lacks
    print(json.dumps({**result, "missed": missed, "holds": not missed}))
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
