"""`mulleinhatch search`: search for failures of a fleet in virtual time, or replay histories."""

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
        result = campaign.campaign(
            itertools.count(int(arguments["--seed"] or 1)), float(arguments["--seconds"]), report_line=print
        )
        print(
            f"{result.histories} histories in {result.seconds:.0f} s, {result.states} states, {len(result.findings)} findings"
        )
        if arguments["--out"]:
            path = Path(arguments["--out"])
            before = path.with_suffix(".json")
            known = json.loads(before.read_text()) if before.exists() else None
            campaign.report(result, path, known)
            print(f"{path}")
        for number, finding in enumerate(result.findings):
            finding_path = Path(f"finding-{int(time.time())}-{number}.txt")
            finding_path.write_text(campaign.format_history(finding.short))
            print(f"{finding_path}: {finding.what}")
    except (OSError, ValueError, KeyError) as error:
        print(f"mulleinhatch: {error}", file=sys.stderr)
        return 1
    return 1 if result.findings else 0


def replay(arguments: dict[str, Any], campaign: Any, play: Any) -> int:
    """Replay histories from files."""
    failed = 0
    for name in arguments["FILE"]:
        outcome = play.play(campaign.parse_history(Path(name).read_text()))
        failed += bool(outcome.what)
        print(
            f"{name}: {outcome.what or 'all checks passed'}; served in time: "
            f"{outcome.before:.2f} before, {outcome.worst:.2f} in the worst second, {outcome.after:.2f} after"
        )
    return 1 if failed else 0
