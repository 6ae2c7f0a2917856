"""Measure the fault search over a simulated fleet: speed, coverage, and whether it detects injected defects.

Usage:
  search [--quick] [--seed N] [--seconds N]

Options:
  --quick      Histories for 15 s and three injected defects.
  --seed N     Seed of the first history [default: 1].
  --seconds N  Duration of the campaign without a defect; the default is 15 s with --quick, else 300 s.

Objectives: each injected defect is detected within 60 s; without a defect nothing is reported.
"""

from __future__ import annotations

import itertools
import json
import sys

from docopt import docopt
from rich.console import Console
from rich.table import Table

from mulleinhatch.simulation.fault_search import campaign, defects

MAX_DETECTION_S = 60.0
QUICK_DEFECTS = ("the bound is not looked at", "an op at a peer is never given up", "one voter is a majority")


def main(argv: list[str] | None = None) -> int:
    """Run the campaigns and print their figures; return 1 if an objective is missed."""
    options = docopt(__doc__, argv)
    quick, seed = options["--quick"], int(options["--seed"])
    without_defect = campaign.campaign(itertools.count(seed), float(options["--seconds"] or (15 if quick else 300)))
    table, found = Table("injected defect", "seconds", "histories", "violation"), {}
    for name in QUICK_DEFECTS if quick else defects.DEFECTS:
        with_defect = campaign.campaign(itertools.count(seed), MAX_DETECTION_S, name, stop_at_first=True)
        found[name] = round(with_defect.seconds, 1) if with_defect.findings else None
        table.add_row(
            name,
            str(found[name]),
            str(with_defect.histories),
            with_defect.findings[0].what if with_defect.findings else "nothing",
        )
    console = Console(width=150)
    console.print(table)
    per_minute = 60.0 * without_defect.histories / without_defect.seconds
    console.print(
        f"{without_defect.histories} histories, {per_minute:.0f} per minute, {without_defect.states} states, "
        f"growth {without_defect.growth}"
    )
    for finding in without_defect.findings:
        console.print(f"seed {finding.history.seed}: {finding.what}\n{campaign.format_history(finding.short)}")
    missed = [f"found: {name}" for name, seconds in found.items() if seconds is None]
    missed += [f"nothing without a defect: {finding.what}" for finding in without_defect.findings]
    print(
        json.dumps(
            {
                "histories": without_defect.histories,
                "a minute": round(per_minute),
                "states": without_defect.states,
                "growth": without_defect.growth,
                "found": found,
                "worst": without_defect.worst,
                "missed": missed,
                "holds": not missed,
            }
        )
    )
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
