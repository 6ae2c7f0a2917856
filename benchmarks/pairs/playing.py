"""Plays one day of one text with one seed, and keeps what came of it, so that a comparison that was broken off resumes."""

from __future__ import annotations

import json
import subprocess
import tempfile
import threading
import tomllib
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any


@dataclass(frozen=True)
class Task:
    """One play: which text (by digest), site, day and seed, as a small twin or in full size."""

    text: str
    site: str
    day: str
    seed: int
    small: bool


@dataclass(frozen=True)
class Outcome:
    """What came of one play. `score` is the day's place between its two marks, 0 to 1; worths are shares of what is owed."""

    score: float
    value: float
    served: float
    refused: float
    parts: dict[str, float] = field(default_factory=dict)
    prices: dict[str, float] = field(default_factory=dict)
    broken: tuple[str, ...] = ()


class PlayFailedError(RuntimeError):
    """The bench gave no report; the message holds the end of what it printed."""


@dataclass(frozen=True)
class Marks:
    """The worths between which a day's score lies."""

    zero: float
    one: float

    def score(self, value: float) -> float:
        """
        >>> Marks(0.5, 1.0).score(0.75)
        0.5
        """
        return min(1.0, max(0.0, (value - self.zero) / (self.one - self.zero)))


def read_marks(site: Path) -> dict[str, Marks]:
    """The marks of each standard day of a site file."""
    days = tomllib.loads(site.read_text())["day"]
    return {day["name"]: Marks(float(day["zero"]), float(day["one"])) for day in days}


def read_outcome(report: dict, marks: Marks) -> Outcome:
    """An outcome from the bench's report."""
    value = float(report.get("G") or 0.0)
    broken = sorted(report.get("breaks") or {})
    if report.get("fault"):
        broken.append(f"fault: {report['fault']}")
    return Outcome(
        0.0 if broken else marks.score(value),
        value,
        float(report.get("served") or 0.0),
        float(report.get("refused") or 0.0),
        {name: float(value) for name, _, value in report.get("parts") or ()},
        {name: float(price) for name, _, price in report.get("prices") or ()},
        tuple(broken),
    )


def build(bench: Path, root: Path) -> None:
    """Builds a text once, so that plays at the same time do not."""
    run = subprocess.run([str(bench), "build"], cwd=root, capture_output=True, text=True)
    if run.returncode:
        raise PlayFailedError(f"{root.name}: not built: {(run.stdout + run.stderr)[-600:]}")


def play(bench: Path, root: Path, site: Path, task: Task, why: str) -> Outcome:
    """Plays one day; PlayFailed where the bench gives no report."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [str(bench), "run", str(site), task.day, "--seed", str(task.seed), "--no-cpu", "--jobs", "1"]
        command += ["--small"] if task.small else []
        command += ["--report", str(report), "--why", why]
        run = subprocess.run(command, cwd=root, capture_output=True, text=True)
        if not report.exists():
            raise PlayFailedError(f"{task}: {(run.stdout + run.stderr)[-600:]}")
        return read_outcome(json.loads(report.read_text()), read_marks(site)[task.day])


class OutcomeLog:
    """Outcomes kept in a file of JSON lines; safe for several threads."""

    def __init__(self, file: Path) -> None:
        self._file, self._lock = file, threading.Lock()
        self._outcomes: dict[Task, Outcome] = {}
        if file.exists():
            for line in file.read_text().splitlines():
                entry = json.loads(line)
                self._outcomes[Task(**entry["task"])] = _stored_outcome(entry["outcome"])

    def get(self, task: Task) -> Outcome | None:
        with self._lock:
            return self._outcomes.get(task)

    def add(self, task: Task, outcome: Outcome) -> None:
        with self._lock:
            self._outcomes[task] = outcome
            with self._file.open("a") as file:
                file.write(json.dumps({"task": asdict(task), "outcome": _stored_fields(outcome)}, sort_keys=True) + "\n")


def _stored_fields(outcome: Outcome) -> dict[str, Any]:
    """Return an outcome as the log stores it: the value has the key `worth`, as in logs of older versions."""
    fields = asdict(outcome)
    fields["worth"] = fields.pop("value")
    return fields


def _stored_outcome(fields: dict[str, Any]) -> Outcome:
    """Return the outcome of an entry of the log."""
    remaining = {name: value for name, value in fields.items() if name not in ("worth", "broken")}
    return Outcome(**remaining, value=fields["worth"], broken=tuple(fields["broken"]))
