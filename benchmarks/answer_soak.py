"""Run a seeded soak of real processes whose backends load, reject, repeat answers and break off; judge what ran from outside.

Usage: python -m benchmarks.answer_soak [--seed=1] [--seeds=1] [--seconds=10] [--data-planes=3] [--control-planes=3]
[--backends=3] [--clients=16] [--logs=DIR] [--tree=DIR]

Control-plane nodes and data planes are processes on loopback; backends, clients and the operator are tasks of this program.
Clients keep their connections until the data plane ends them and repeat a request only after a promise that it did not run.
Faults and configuration changes come in series and overlap. Each seed prints a table and a JSON line with "holds"; the exit
status is 1 if a check fails. With `--logs`, the violations and logs of each failing seed are kept there. `--tree` runs the
programs of another source tree.
"""

from __future__ import annotations

import asyncio
import json
import shutil
import sys
import tempfile
from pathlib import Path

import fire

from benchmarks.answer_soak_parts.checks import AnswerChecker, figures
from benchmarks.answer_soak_parts.scene import AnswerSoak, AnswerSoakSize
from benchmarks.soak_parts.fleet import ROOT
from benchmarks.soak_parts.report import print_violations


def run_seed(seed: int, size: AnswerSoakSize, folder: Path, tree: Path = ROOT) -> dict:
    """Run the soak of one seed; return its violations by check, its figures and its seed."""
    records = asyncio.run(AnswerSoak(folder, seed, size, tree).run())
    return {"seed": seed, "violations": AnswerChecker(records).violations(), "figures": figures(records)}


def print_result(result: dict) -> None:
    """Print the table of one seed, its first violations, and the JSON line."""
    print_violations(f"seed {result['seed']}", result["violations"])
    found = {name: len(lines) for name, lines in result["violations"].items() if lines}
    line = {"benchmark": "answer_soak", "seed": result["seed"], "figures": result["figures"]}
    print(json.dumps({**line, "violations": found, "holds": not found}), flush=True)


def soak(
    seed: int = 1,
    seeds: int = 1,
    seconds: float = 10.0,
    data_planes: int = 3,
    control_planes: int = 3,
    backends: int = 3,
    clients: int = 16,
    logs: str = "",
    tree: str = "",
) -> None:
    """Run the soaks of consecutive seeds and exit with status 1 if a check fails.

    Args:
        seed: The first seed.
        seeds: Number of consecutive seeds.
        seconds: Duration of the fault phase of each.
        data_planes: Number of data planes.
        control_planes: Number of control-plane nodes.
        backends: Number of backends with models; there are two more without models.
        clients: Number of clients.
        logs: Directory for the violations and logs of failing seeds.
        tree: Source tree whose programs are run, this one if empty.
    """
    size = AnswerSoakSize(float(seconds), data_planes, control_planes, backends, clients=clients)
    failed = []
    for number in range(seed, seed + seeds):
        with tempfile.TemporaryDirectory(prefix="mulleinhatch-answers-") as folder:
            result = run_seed(number, size, Path(folder), Path(tree) if tree else ROOT)
            print_result(result)
            if any(result["violations"].values()):
                failed.append(number)
                if logs:
                    kept = Path(logs) / f"seed-{number}"
                    kept.mkdir(parents=True, exist_ok=True)
                    (kept / "result.json").write_text(json.dumps(result, indent=1))
                    for path in Path(folder).glob("*.log"):
                        shutil.copy(path, kept)
    if seeds > 1:
        print(json.dumps({"benchmark": "answer_soak", "seeds": seeds, "first": seed, "failed": failed, "holds": not failed}))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(soak)
