"""Measure how long an acknowledged configuration takes until it is in force at every data plane, in real processes.

Usage: python -m benchmarks.in_force [--seed=1] [--seeds=1] [--seconds=30] [--data-planes=4] [--control-planes=3]
[--kinds=kill,power] [--replaces-all] [--longest-sync-s=0.4] [--stall-probability=0.1]
[--defect=NAME] [--processors=2] [--busy=4] [--tree=DIR] [--settings=silent] [--logs=DIR]

Control-plane nodes are killed, fall silent, are frozen, replaced at another address with an empty disk, or are all lost at
once right after an acknowledgement, and data planes are away meanwhile. The operator changes the configuration, and each data
plane is asked for the routes that the latest changes added, removed and moved. Each seed prints its violations and a JSON
line; the exit status is 1 if there is a violation, or if fewer than `MIN_JUDGED` answers were judged under the short bound.
"""

from __future__ import annotations

import asyncio
import json
import shutil
import sys
import tempfile
from dataclasses import asdict
from pathlib import Path

import fire

from benchmarks.in_force_parts.defects import PlantedDefect
from benchmarks.in_force_parts.fleet import SettingsUpdate
from benchmarks.in_force_parts.judge import Judge
from benchmarks.in_force_parts.run import ALL_KINDS, Run, RunSize
from benchmarks.soak_parts.bounds import SoakBounds
from benchmarks.soak_parts.fleet import ROOT

BOUNDS = SoakBounds(contact_s=3.0, acknowledge_s=4.0, apply_s=2.0, outer_s=5.0, recovery_s=12.0)
MIN_JUDGED = 200
MAX_PRINTED = 6


def percentile(values: list[float], share: float) -> float:
    """Return the value below which a share of sorted values lies, 0 without values.

    >>> percentile([1.0, 2.0, 3.0, 4.0], 0.5)
    3.0
    """
    return values[min(len(values) - 1, int(share * len(values)))] if values else 0.0


def run_seed(seed: int, size: RunSize, folder: Path) -> tuple[dict, list[str], Run]:
    """Run one seed; return its figures, its violations and the run."""
    one = Run(folder, seed, size, BOUNDS)
    records = asyncio.run(one.run())
    judge = Judge(records, BOUNDS, size.control_planes)
    violations = judge.report()
    lags = judge.lags_s()
    kinds: dict[str, int] = {}
    for outage in records.outages:
        kinds[outage.kind] = kinds.get(outage.kind, 0) + 1
    figures = {
        "versions": len(records.versions),
        "answers": len(records.answers),
        **dict(sorted(judge.judged.items())),
        **{f"outages, {kind}": count for kind, count in sorted(kinds.items())},
        "lags": len(lags),
        "lag p50, s": round(percentile(lags, 0.5), 3),
        "lag p99, s": round(percentile(lags, 0.99), 3),
        "lag maximum, s": round(percentile(lags, 1.0), 3),
    }
    if judge.judged["judged, short bound"] < MIN_JUDGED:
        violations.append(f"only {judge.judged['judged, short bound']} answers were judged under the short bound")
    return figures, violations, one


def in_force(
    seed: int = 1,
    seeds: int = 1,
    seconds: float = 30.0,
    data_planes: int = 4,
    control_planes: int = 3,
    kinds: str | tuple[str, ...] = ALL_KINDS,
    replaces_all: bool = False,
    longest_sync_s: float = 0.0,
    stall_probability: float = 0.1,
    processors: int = 0,
    busy: int = 0,
    defect: str = PlantedDefect.NONE.name,
    tree: str = "",
    settings: str = "",
    logs: str = "",
) -> None:
    """Run consecutive seeds and exit with status 1 if one has a violation.

    Args:
        seed: The first seed.
        seeds: Number of consecutive seeds.
        seconds: Duration of the fault phase.
        data_planes: Number of data planes.
        control_planes: Number of control-plane nodes at a time.
        kinds: Kinds of outages that are drawn.
        replaces_all: Whether all first control-plane nodes are replaced, and silent, before the faults.
        longest_sync_s: By how much a sync of a control-plane node's disk may take longer.
        stall_probability: Probability that a sync takes up to that much longer, rather than up to a tenth of it.
        processors: Number of processors that the fleet may use, 0 for all.
        busy: Number of busy processes that share them.
        defect: Name of a planted defect.
        tree: Source tree whose programs are run, this one if empty.
        settings: How settings files follow replacements: signal, silent or never; drawn each time if empty.
        logs: Directory for the records and logs of failing seeds.
    """
    kinds = tuple(kinds.split(",")) if isinstance(kinds, str) else tuple(kinds)
    size = RunSize(
        float(seconds),
        data_planes,
        control_planes,
        kinds,
        replaces_all,
        float(longest_sync_s),
        float(stall_probability),
        processors,
        busy,
        PlantedDefect[defect],
        tree=Path(tree) if tree else ROOT,
        settings_update=SettingsUpdate[settings.upper()] if settings else None,
    )
    failed = []
    for number in range(seed, seed + seeds):
        with tempfile.TemporaryDirectory(prefix="mulleinhatch-in-force-") as folder:
            figures, violations, one = run_seed(number, size, Path(folder))
            for line in violations[:MAX_PRINTED]:
                print(f"seed {number}: {line}")
            if len(violations) > MAX_PRINTED:
                print(f"seed {number}: and {len(violations) - MAX_PRINTED} more")
            holds = not violations
            print(json.dumps({"benchmark": "in_force", "seed": number, "figures": figures, "holds": holds}), flush=True)
            if violations:
                failed.append(number)
                if logs:
                    save_failure(number, violations, one, Path(folder), Path(logs))
    if seeds > 1:
        print(json.dumps({"benchmark": "in_force", "seeds": seeds, "first": seed, "failed": failed, "holds": not failed}))
    sys.exit(1 if failed else 0)


def save_failure(seed: int, violations: list[str], one: Run, folder: Path, logs: Path) -> None:
    """Save the violations, the records and the logs of a seed that failed."""
    seed_folder = logs / f"seed-{seed}"
    seed_folder.mkdir(parents=True, exist_ok=True)
    (seed_folder / "violations.txt").write_text("\n".join(violations) + "\n")
    (seed_folder / "records.json").write_text(json.dumps(asdict(one.records), default=repr))
    for path in folder.glob("*.log"):
        shutil.copy(path, seed_folder)


if __name__ == "__main__":
    fire.Fire(in_force)
