"""Run one day on one source variant with one seed, and store outcomes so that an interrupted comparison can be resumed."""

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
    """One run to make.

    Attributes:
        text: Digest of the sources.
        site: Name of the site.
        day: Name of the day.
        seed: Seed of the run.
        small: Whether the scaled-down form of the day is run.
    """

    text: str
    site: str
    day: str
    seed: int
    small: bool


@dataclass(frozen=True)
class Outcome:
    """The outcome of one run.

    Attributes:
        score: Position of the value between the day's two marks, 0 to 1; 0 if a rule was violated.
        value: Fraction of the achievable value.
        served: Fraction of requests that were served.
        refused: Fraction of requests that were rejected.
        parts: Value by part.
        prices: Deductions by kind.
        broken: Names of violated rules.
    """

    score: float
    value: float
    served: float
    refused: float
    parts: dict[str, float] = field(default_factory=dict)
    prices: dict[str, float] = field(default_factory=dict)
    broken: tuple[str, ...] = ()


class RunFailedError(RuntimeError):
    """The build failed or the bench wrote no report; the message contains the end of the output."""


@dataclass(frozen=True)
class Marks:
    """The values at which a day's score is 0 and 1."""

    zero: float
    one: float

    def score(self, value: float) -> float:
        """Return the score of a value.

        >>> Marks(0.5, 1.0).score(0.75)
        0.5
        """
        return min(1.0, max(0.0, (value - self.zero) / (self.one - self.zero)))


def read_marks(site: Path) -> dict[str, Marks]:
    """Return the marks of each standard day of a site file."""
    days = tomllib.loads(site.read_text())["day"]
    return {day["name"]: Marks(float(day["zero"]), float(day["one"])) for day in days}


def read_outcome(report: dict, marks: Marks) -> Outcome:
    """Return the outcome that a bench's report describes."""
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
    """Build a variant once, so that concurrent runs do not.

    Raises:
        RunFailedError: If the build fails.
    """
    run = subprocess.run([str(bench), "build"], cwd=root, capture_output=True, text=True)
    if run.returncode:
        raise RunFailedError(f"{root.name}: build failed: {(run.stdout + run.stderr)[-600:]}")


def run_day(bench: Path, root: Path, site: Path, task: Task, why: str) -> Outcome:
    """Run one day.

    Raises:
        RunFailedError: If the bench writes no report.
    """
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [str(bench), "run", str(site), task.day, "--seed", str(task.seed), "--no-cpu", "--jobs", "1"]
        command += ["--small"] if task.small else []
        command += ["--report", str(report), "--why", why]
        run = subprocess.run(command, cwd=root, capture_output=True, text=True)
        if not report.exists():
            raise RunFailedError(f"{task}: {(run.stdout + run.stderr)[-600:]}")
        return read_outcome(json.loads(report.read_text()), read_marks(site)[task.day])


class OutcomeLog:
    """Outcomes stored in a file of JSON lines; safe for several threads."""

    def __init__(self, file: Path) -> None:
        self._file, self._lock = file, threading.Lock()
        self._outcomes: dict[Task, Outcome] = {}
        if file.exists():
            for line in file.read_text().splitlines():
                entry = json.loads(line)
                self._outcomes[Task(**entry["task"])] = _stored_outcome(entry["outcome"])

    def get(self, task: Task) -> Outcome | None:
        """Return the stored outcome of a task, or None."""
        with self._lock:
            return self._outcomes.get(task)

    def add(self, task: Task, outcome: Outcome) -> None:
        """Store the outcome of a task and append it to the file."""
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
