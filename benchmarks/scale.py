"""Measure the cost of gossip per instance up to the target size, with simulated members in virtual time.

Usage:
  scale [options] [--flat | --levels]

Options:
  --quick         Smaller sizes and shorter durations; takes less than 5 minutes.
  --seed N        Seed of the whole run [default: 1].
  --faults FILE   Run only this fault script (see `simulation/scale_instances.py`) and check the invariants.
  --for SECONDS   How long the script of --faults runs [default: 30].
  --members N     The full size; costs are fitted over smaller sizes [default: 3600].
  --only PART     slopes, full, events, instance, or one event by name.
  --flat          One flat fleet: every member knows every other.
  --levels        Aggregate fleet state in levels; the default where the code supports it.
  --workers N     Maximum number of processes; without it 4, or 6 at 1,800 members or more.
  --record FILE   Write the results as JSON for docs/CAPACITY.md.

slopes    each cost (bytes and datagrams sent and received with UDP/IP headers, CPU, state by kind, memory) at four sizes,
          fitted by the constant, linear or logarithmic function with the smallest error and extrapolated to the full size
full      a calm fleet of the full size: the fits must predict its costs within 15%. A flat fleet of more than MAX_MEMBERS is
          refused; then the fits are checked at MAX_MEMBERS, or at 200 with --quick
events    for each event: time until the members that track a dead one know of its death, time until the sums of the other zones
          exclude it, living members declared gone, peak traffic, time until views and sums are merged again
  dead      one member dies         loss   5% packet loss, a twentieth of the members paused for 2 s twice, then one dies
  churn     8,000 restarts a day    burst  an hour's share of them (333) in a minute
  rack      40 of 400 at once       zone   a ninth of the fleet lost and restored
  cut       a partition between the regions, for minutes  hour   the same for an hour, at 90 members (not with --quick)
  restart   all members within a minute                   start  the whole fleet started within a minute
instance  real processes, measured by `benchmarks/scale_instance.py` if that module exists

In virtual time, all figures but CPU seconds and memory are the same on any machine. CPU is thread time of the protocol code, so
shared caches and sibling threads of a busy machine affect it; `load` shows how busy it was. Sizes of events scale with the
number of members.
"""

from __future__ import annotations

import importlib
import json
import sys
from pathlib import Path
from typing import Any

from docopt import docopt
from rich.console import Console

from benchmarks import fits
from benchmarks.scale_events import EVENTS, NOT_QUICK
from benchmarks.scale_options import Figures, Options, sizes
from benchmarks.scale_run import ScaleRun
from mulleinhatch.simulation.scale_checks import traffic_of
from mulleinhatch.simulation.scale_instances import InvalidPlanError, Topology, knows_levels
from mulleinhatch.simulation.scale_shards import World
from mulleinhatch.testing.fault_script import FaultScriptError

PARTS = ("slopes", "full", "events", "instance")


def play_script(run: ScaleRun, script: str, seconds: float) -> None:
    """Run one fault script at the full size and check that no living member is declared gone."""
    options = run.options
    with World(options.plan(options.members, script=script), options.shards(options.members)) as world:
        world.play(seconds)
        traffic, wrong = traffic_of(world.traffic(0, seconds)), world.counts()["wrong"]
        run.events["faults"] = {
            "members": options.members,
            "worst 10 s": traffic.worst,
            "worst second": traffic.second,
            "wrong": wrong,
            "one": world.views_agree(),
        }
    run.record_failures("faults", {"no living one declared gone": wrong == 0})


def measure_instance(run: ScaleRun) -> Figures:
    """Run the benchmark of one real instance and return its figures."""
    try:
        module = importlib.import_module("benchmarks.scale_instance")
    except ModuleNotFoundError as error:
        if error.name != "benchmarks.scale_instance":
            raise
        run.notes.append("instance: benchmarks/scale_instance.py does not exist, not run")
        return {}
    figures, holds = module.measure(run.options.quick, run.options.seed)
    run.record_failures("instance", holds)
    return figures


def read_options(argv: list[str] | None) -> tuple[Options, dict[str, Any]]:
    """Parse the command line.

    Raises:
        SystemExit: With a message that names the invalid argument.
    """
    arguments = docopt(__doc__, argv)
    try:
        members, seed, workers = int(arguments["--members"]), int(arguments["--seed"]), int(arguments["--workers"] or 0)
        seconds = float(arguments["--for"])
    except ValueError as error:
        sys.exit(f"scale: {error}: --members, --seed, --workers and --for are numbers")
    if members < 9 or not 0 <= workers <= 8 or seconds < 1.0:
        sys.exit("scale: --members must be at least 9, --workers 1 to 8, --for at least 1 second")
    only = arguments["--only"]
    if only and only not in (*PARTS, *EVENTS):
        sys.exit(f"scale: no part {only!r}; there are: {', '.join((*PARTS, *EVENTS))}")
    levels = arguments["--levels"] or knows_levels() and not arguments["--flat"]
    if levels and not knows_levels():
        sys.exit("scale: this version does not support levels; use --flat")
    quick = arguments["--quick"]
    return Options(quick, seed, members, levels, workers, sizes(levels, quick, members)), arguments


def main(argv: list[str] | None = None) -> int:
    """Run the chosen parts and print their figures; return 1 if a check failed."""
    options, arguments = read_options(argv)
    run, only, extra = ScaleRun(options), arguments["--only"], {}
    if arguments["--faults"]:
        try:
            script = Path(arguments["--faults"]).read_text()
            Topology(options.plan(options.members)).faults(script)
        except (OSError, FaultScriptError, InvalidPlanError) as error:
            sys.exit(f"scale: {error}")
        play_script(run, script, float(arguments["--for"]))
    else:
        if only in (None, "slopes", "full"):
            run.slopes()
        if only in (None, "full"):
            run.play_full()
        chosen = [name for name in EVENTS if only in (None, "events", name)]
        if options.quick and only not in NOT_QUICK:
            run.notes += [f"{name}: not run with --quick" for name in chosen if name in NOT_QUICK]
            chosen = [name for name in chosen if name not in NOT_QUICK]
        run.play_events(chosen)
        if only in (None, "instance"):
            extra = measure_instance(run)
    run.print(Console(width=200))
    command = "python -m benchmarks.scale " + " ".join(sys.argv[1:] if argv is None else argv)
    record = run.record(command)
    if arguments["--record"]:
        fits.write_record(Path(arguments["--record"]), record)
    print(
        json.dumps(
            {
                "members": options.members,
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
