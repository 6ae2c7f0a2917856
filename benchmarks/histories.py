"""Simulate histories of the control plane up to a given number and record them, so that a campaign can be resumed.

Usage:
  histories [--machines N] [--tolerated N] [--zones N] [--zones-tolerated N] [--count N] [--first N] [--workers N]
            [--record FILE]
  histories --quick

Options:
  --machines N         Number of control-plane nodes [default: 3].
  --tolerated N        Machines that may fail at the same time [default: 1].
  --zones N            Zones of the machines [default: 1].
  --zones-tolerated N  Zones that may fail at the same time [default: 0].
  --count N            Total number of histories [default: 3000].
  --first N            First seed [default: 100000].
  --workers N          Number of processes; without it half of the processors.
  --record FILE        File with a line for each history; recorded histories are not run again
                       [default: found/histories.jsonl].
  --quick              Twelve histories of three machines, not recorded.

A record is valid only for the sources that it was made with: each line has a digest of the package. The last line printed is
JSON with "holds"; the exit status is 1 if a history violates an invariant. A history is determined by its seed;
`mulleinhatch.simulation.control_plane.play(SEED, MACHINES, TOLERATED, zones=..., zones_tolerated=...)` runs it again.
"""

from __future__ import annotations

import hashlib
import json
import os
import sys
import time
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import asdict, dataclass
from multiprocessing import get_context
from pathlib import Path

from docopt import docopt
from rich.progress import track

import mulleinhatch
from mulleinhatch.simulation.control_plane import play

QUICK_COUNT = 12


@dataclass(frozen=True)
class Setting:
    """The parameters that all histories of a campaign share."""

    text: str  # digest of the package's sources
    machines: int
    tolerated: int
    zones: int
    zones_tolerated: int


@dataclass(frozen=True)
class PlayedHistory:
    """The outcome of one history.

    Attributes:
        setting: Its parameters.
        seed: Its seed.
        violations: The violated invariants.
        acknowledged: Number of acknowledged changes.
        processor_s: Processor time in seconds.
    """

    setting: Setting
    seed: int
    violations: list[str]
    acknowledged: int
    processor_s: float


def source_digest() -> str:
    """Return a digest of the package's sources."""
    digest = hashlib.sha256()
    for path in sorted(Path(mulleinhatch.__file__).parent.rglob("*.py")):
        digest.update(path.read_bytes())
    return digest.hexdigest()[:16]


def play_one(setting: Setting, seed: int) -> PlayedHistory:
    """Run one history."""
    started_at = time.process_time()
    history = play(seed, setting.machines, setting.tolerated, zones=setting.zones, zones_tolerated=setting.zones_tolerated)
    processor_s = round(time.process_time() - started_at, 3)
    return PlayedHistory(setting, seed, history.violations, history.acknowledged, processor_s)


def read_record(path: Path, setting: Setting) -> dict[int, PlayedHistory]:
    """Return the recorded histories of a setting by seed; malformed lines, as after an interrupted write, are skipped."""
    played = {}
    for line in path.read_text().splitlines() if path.exists() else ():
        try:
            value = json.loads(line)
            history = PlayedHistory(**{**value, "setting": Setting(**value["setting"])})
        except (ValueError, TypeError, KeyError):
            continue
        if history.setting == setting:
            played[history.seed] = history
    return played


def play_all(setting: Setting, seeds: Iterable[int], workers: int) -> Iterator[PlayedHistory]:
    """Run histories in several processes and yield each when it completes."""
    with ProcessPoolExecutor(workers, get_context("spawn")) as pool:
        for done in as_completed([pool.submit(play_one, setting, seed) for seed in seeds]):
            yield done.result()


def campaign(setting: Setting, seeds: range, workers: int, path: Path | None) -> list[PlayedHistory]:
    """Return the histories of all seeds; those that are not recorded yet are run and recorded."""
    played = read_record(path, setting) if path else {}
    missing = [seed for seed in seeds if seed not in played]
    if path:
        path.parent.mkdir(parents=True, exist_ok=True)
    for history in track(play_all(setting, missing, workers), "histories", total=len(missing), disable=not missing):
        played[history.seed] = history
        if path:
            with path.open("a") as record:
                record.write(json.dumps(asdict(history)) + "\n")
        if history.violations:
            print(f"seed {history.seed}: {history.violations[0]}", flush=True)
    return [played[seed] for seed in seeds]


def main() -> int:
    """Run the campaign that the options describe; return 1 if an invariant was violated."""
    options = docopt(__doc__)
    quick = bool(options["--quick"])
    numbers = {name: int(options[name]) for name in ("--machines", "--tolerated", "--zones", "--zones-tolerated")}
    setting = Setting(source_digest(), *numbers.values())
    first, count = int(options["--first"]), QUICK_COUNT if quick else int(options["--count"])
    workers = int(options["--workers"] or max(1, (os.cpu_count() or 2) // 2))
    path = None if quick else Path(options["--record"])
    histories = campaign(setting, range(first, first + count), workers, path)
    violating_seeds = [history.seed for history in histories if history.violations]
    seconds = sum(history.processor_s for history in histories)
    print(f"{len(histories)} histories of {setting.machines} machines, {len(violating_seeds)} violate an invariant")
    report = {
        "benchmark": "histories",
        "setting": asdict(setting),
        "histories": len(histories),
        "acknowledged": sum(history.acknowledged for history in histories),
        "processor_s_each": round(seconds / len(histories), 3),
        "broken_seeds": violating_seeds,
        "holds": {"no invariant is violated": not violating_seeds},
    }
    print(json.dumps(report))
    return 1 if violating_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
