"""`mulleinhatch search`: search for failures of a fleet in virtual time, or replay one history."""

from __future__ import annotations

import itertools
import json
import sys
import time
from pathlib import Path
from typing import Any


def run(arguments: dict[str, Any]) -> int:
    """Run a campaign and write its findings, or replay histories."""
    try:
        from mulleinhatch.simulation.fault_search import campaign, play
    except ImportError as error:
        print(f"mulleinhatch: {error.name} is not installed: pip install 'mulleinhatch[lab]'", file=sys.stderr)
        return 1
    try:
        if arguments["replay"]:
            return replay(arguments, campaign, play)
        done = campaign.campaign(
            itertools.count(int(arguments["--seed"] or 1)), float(arguments["--seconds"]), report_line=print
        )
        print(f"{done.histories} histories in {done.seconds:.0f} s, {done.states} states, {len(done.findings)} findings")
        if arguments["--out"]:
            path = Path(arguments["--out"])
            before = path.with_suffix(".json")
            known = json.loads(before.read_text()) if before.exists() else None
            campaign.report(done, path, known)
            print(f"{path}")
        for number, finding in enumerate(done.findings):
            kept = Path(f"finding-{int(time.time())}-{number}.txt")
            kept.write_text(campaign.format_history(finding.short))
            print(f"{kept}: {finding.what}")
    except (OSError, ValueError, KeyError) as error:
        print(f"mulleinhatch: {error}", file=sys.stderr)
        return 1
    return 1 if done.findings else 0


def replay(arguments: dict[str, Any], campaign: Any, play: Any) -> int:
    """Replay histories from files."""
    failed = 0
    for name in arguments["FILE"]:
        found = play.play(campaign.parse_history(Path(name).read_text()))
        failed += bool(found.what)
        print(
            f"{name}: {found.what or 'all held'}; in time {found.before:.2f} before, {found.worst:.2f} in the worst second, "
            f"{found.after:.2f} after"
        )
    return 1 if failed else 0
