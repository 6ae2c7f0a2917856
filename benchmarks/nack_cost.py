"""Compare the CPU cost of rejecting a request read in full and rejecting it early, in one run on loopback.

Usage:
  nack_cost [--quick] [--seed N]

Options:
  --quick   Shorter runs.
  --seed N  Seed of the load [default: 1].

The interpreter is frozen, so no request is served. The cost is the CPU time of the instance's process between two samples,
divided by the rejections between them. For early rejections, the requests that were still read in full are subtracted at their
cost in the first run. Objective: an early rejection costs at most a third of one read in full. (A quarter would be
desirable; docs/design/storms.md explains what prevents it.)
"""

from __future__ import annotations

import json
import sys

from docopt import docopt
from rich.console import Console
from rich.table import Table

from mulleinhatch.testing.instance_harness import Case, keep_environment, run_case

DAMPING_OFF = "storms enabled=#false"
OBJECTIVE = 1 / 3


def cost(operator: str, seconds: float, seed: int, full: float = 0.0) -> tuple[float, float]:
    """Measure rejections of a frozen instance.

    Args:
        operator: Text of the operator's file.
        seconds: Duration between the two samples.
        seed: Seed of the load.
        full: Microseconds of CPU per request read in full, to count early rejections only; 0 counts all rejections.

    Returns:
        Microseconds of CPU per rejection, and rejections per second.
    """
    first, last = 4.0, 4.0 + seconds
    report = run_case(
        Case(
            f"at 1 freeze 0 for {last}\nat {first} look 0\nat {last} look 0",
            run_for=last + 1.0,
            rate=60.0,
            operator=operator,
            seed=seed,
        )
    )
    (cpu, at, before), (cpu_after, at_after, after) = report["looks"]
    rejections = after["answers_429"] - before["answers_429"]
    if full:
        read_in_full = after["ops_read"] - before["ops_read"]
        cpu, rejections = cpu + 1e-6 * full * read_in_full, after["turned_back"] - before["turned_back"]
    return 1e6 * (cpu_after - cpu) / max(1, rejections), rejections / (at_after - at)


def main(argv: list[str] | None = None) -> int:
    """Run the benchmark and print its figures; return 1 if an objective was missed."""
    options = docopt(__doc__, argv)
    keep_environment()
    seconds, seed = (4.0, 10.0)[not options["--quick"]], int(options["--seed"])
    full = cost(DAMPING_OFF, seconds, seed)
    early = cost("", seconds, seed, full[0])
    table = Table("", "us of CPU per rejection", "rejections per second")
    table.add_row("read in full", f"{full[0]:.0f}", f"{full[1]:.0f}")
    table.add_row("early", f"{early[0]:.0f}", f"{early[1]:.0f}")
    Console().print(table)
    ratio = early[0] / full[0]
    print(
        json.dumps(
            {
                "full_us": round(full[0], 1),
                "door_us": round(early[0], 1),
                "ratio": round(ratio, 3),
                "aim": OBJECTIVE,
                "wished": 0.25,
                "holds": ratio <= OBJECTIVE,
            }
        )
    )
    return 0 if ratio <= OBJECTIVE else 1


if __name__ == "__main__":
    sys.exit(main())
