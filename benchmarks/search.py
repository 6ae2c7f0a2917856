"""The search for failures of a whole fleet: how fast, how much it sees, and whether it finds what is planted.

Usage:
  search [--quick] [--seed N] [--seconds N]

Options:
  --quick      Histories for 15 s and three planted defects.
  --seed N     The first history's [default: 1].
  --seconds N  How long the campaign without a defect lasts; else 15 quick, 300 in full.

Aims: each planted defect is found within 60 s; without one nothing is found.
"""

from __future__ import annotations

import itertools
import json
import sys

from docopt import docopt
from rich.console import Console
from rich.table import Table

from mulleinhatch.simulation.fault_search import campaign, defects

WITHIN = 60.0
QUICK = ("the bound is not looked at", "an op at a peer is never given up", "one voter is a majority")


def main(argv: list[str] | None = None) -> int:
    told = docopt(__doc__, argv)
    quick, seed = told["--quick"], int(told["--seed"])
    plain = campaign.campaign(itertools.count(seed), float(told["--seconds"] or (15 if quick else 300)))
    table, found = Table("planted", "seconds", "histories", "what was seen"), {}
    for name in QUICK if quick else defects.DEFECTS:
        done = campaign.campaign(itertools.count(seed), WITHIN, name, stop_at_first=True)
        found[name] = round(done.seconds, 1) if done.findings else None
        table.add_row(name, str(found[name]), str(done.histories), done.findings[0].what if done.findings else "nothing")
    console = Console(width=150)
    console.print(table)
    a_minute = 60.0 * plain.histories / plain.seconds
    console.print(f"{plain.histories} histories, {a_minute:.0f} a minute, {plain.states} states, growth {plain.growth}")
    for finding in plain.findings:
        console.print(f"seed {finding.history.seed}: {finding.what}\n{campaign.format_history(finding.short)}")
    missed = [f"found: {name}" for name, seconds in found.items() if seconds is None]
    missed += [f"nothing without a defect: {finding.what}" for finding in plain.findings]
    print(
        json.dumps(
            {
                "histories": plain.histories,
                "a minute": round(a_minute),
                "states": plain.states,
                "growth": plain.growth,
                "found": found,
                "worst": plain.worst,
                "missed": missed,
                "holds": not missed,
            }
        )
    )
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
