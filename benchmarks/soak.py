"""Run a seeded soak test of real processes with clients, configuration changes, key revocations and faults.

Usage: python -m benchmarks.soak [--seed=1] [--seeds=1] [--seconds=14] [--data-planes=3] [--control-planes=3] [--quick]
[--logs=DIR]

Control-plane nodes and data planes are processes on loopback; clients, backends and the operator are tasks of this program.
Faults occur one after another and overlapping: SIGTERM and SIGKILL with a restart, SIGSTOP, SIGHUP, and backends that crash,
leave and return, several at once, while the operator changes routes, timeouts, limits and keys. The checks use only what
clients and backends observed. Each seed prints a table and a JSON line with "holds" and the seed; the exit status is 1 if a
check fails. With `--logs`, the violations and logs of each failing seed are saved in that directory.
"""

from __future__ import annotations

import asyncio
import json
import shutil
import sys
import tempfile
from dataclasses import asdict, replace
from pathlib import Path

import fire

from benchmarks.soak_parts.bounds import SoakBounds
from benchmarks.soak_parts.checks import SoakChecker, figures, served_shares
from benchmarks.soak_parts.quota_check import fullest_windows
from benchmarks.soak_parts.records import Observations
from benchmarks.soak_parts.report import print_violations
from benchmarks.soak_parts.scene import SoakRun, SoakSize

QUICK_SECONDS = 6.0
BOUNDS = SoakBounds()


def run_seed(seed: int, size: SoakSize, folder: Path) -> tuple[dict, Observations]:
    """Run the soak of one seed; return its violations by check, its figures and its seed, and the observations."""
    soak_run = SoakRun(folder, seed, size, BOUNDS)
    observations = asyncio.run(soak_run.run())
    utilizations = {
        f"fullest window, {name}": round(one.fill, 3) for name, one in fullest_windows(observations, BOUNDS).items()
    }
    measured = {
        **figures(observations),
        **served_shares(observations, BOUNDS),
        **utilizations,
        "ended by force": soak_run.forced_kills,
    }
    return {
        "seed": seed,
        "violations": SoakChecker(observations, BOUNDS).violations(),
        "figures": measured,
    }, observations


def print_result(result: dict) -> None:
    """Print the table of one seed, its first violations, and the JSON line."""
    print_violations(f"seed {result['seed']}", result["violations"])
    holds = {name: not lines for name, lines in result["violations"].items()}
    print(json.dumps({"benchmark": "soak", "seed": result["seed"], "figures": result["figures"], "holds": holds}), flush=True)


def save_failure(result: dict, observations: Observations, folder: Path, logs: Path) -> None:
    """Save the violations, the records and the logs of a seed that failed."""
    seed_folder = logs / f"seed-{result['seed']}"
    seed_folder.mkdir(parents=True, exist_ok=True)
    (seed_folder / "result.json").write_text(json.dumps(result, indent=1))
    (seed_folder / "records.json").write_text(json.dumps(asdict(observations), indent=1, default=repr))
    for path in folder.glob("*.log"):
        shutil.copy(path, seed_folder)


def soak(
    seed: int = 1,
    seeds: int = 1,
    seconds: float | None = None,
    data_planes: int = 3,
    control_planes: int = 3,
    quick: bool = False,
    logs: str = "",
) -> None:
    """Run the soaks of consecutive seeds and exit with status 1 if a check fails.

    Args:
        seed: The first seed.
        seeds: Number of consecutive seeds.
        seconds: Duration of the fault phase; startup and the recovery phase are added to it.
        data_planes: Number of data planes.
        control_planes: Number of control-plane nodes.
        quick: At most two data planes, and a shorter fault phase unless `seconds` is given.
        logs: Directory for the violations and logs of failing seeds.
    """
    size = SoakSize(data_planes=data_planes, control_planes=control_planes)
    if quick:
        size = replace(size, seconds=QUICK_SECONDS, data_planes=min(2, data_planes))
    if seconds is not None:
        size = replace(size, seconds=float(seconds))
    failed = []
    for number in range(seed, seed + seeds):
        with tempfile.TemporaryDirectory(prefix="mulleinhatch-soak-") as folder:
            result, observations = run_seed(number, size, Path(folder))
            print_result(result)
            if any(result["violations"].values()):
                failed.append(number)
                if logs:
                    save_failure(result, observations, Path(folder), Path(logs))
    if seeds > 1:
        print(json.dumps({"benchmark": "soak", "seeds": seeds, "first": seed, "failed": failed, "holds": not failed}))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(soak)
