"""Run days on the bench and read its report."""

from __future__ import annotations

import json
import subprocess
import tempfile
from collections.abc import Mapping
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from benchmarks.days.toml_text import day_text


@dataclass(frozen=True)
class DayResult:
    """The outcome of one day.

    Attributes:
        rules: Numbers of violations by rule.
        fault: Failure that the bench reports; empty if there is none.
        short: Missed requirements other than the rules.
        value: Fraction of the achievable value.
        served: Fraction of requests that were served.
        processor_s: Processor time in seconds.
    """

    site: str
    day: str
    rules: dict[str, int]
    fault: str
    short: str
    value: float
    served: float
    processor_s: float

    @property
    def broken(self) -> bool:
        """Whether a rule was violated or the bench reports a failure."""
        return bool(self.rules or self.fault)

    def line(self) -> str:
        """Return the outcome as a line of the results file."""
        fields = asdict(self)
        fields["worth"] = fields.pop("value")  # the key of results files of older versions
        return json.dumps(fields, sort_keys=True)


class DayFailedError(RuntimeError):
    """The bench wrote no report; the message contains the end of its output."""


def run_day(bench: Path, site: Path, day: Mapping[str, Any], why: str) -> DayResult:
    """Run one day at full scale.

    Raises:
        DayFailedError: If the bench writes no report.
    """
    with tempfile.TemporaryDirectory() as folder:
        file, report = Path(folder) / f"{day['name']}.toml", Path(folder) / "report.json"
        file.write_text(day_text(day))
        command = [str(bench), "run", str(site), str(file), "--report", str(report), "--why", why]
        run = subprocess.run(command, capture_output=True, text=True)
        if not report.exists():
            raise DayFailedError(f"{day['name']}: {(run.stdout + run.stderr)[-600:]}")
        outcome = json.loads(report.read_text())
    return DayResult(
        site.stem,
        day["name"],
        {rule: int(count) if isinstance(count, (int, float)) else 1 for rule, count in (outcome.get("breaks") or {}).items()},
        str(outcome.get("fault") or ""),
        "; ".join(str(part) for part in outcome.get("short") or ()),
        round(float(outcome.get("G") or 0.0), 3),
        round(float(outcome.get("served") or 0.0), 3),
        round(float(outcome.get("cpu_s") or 0.0), 1),
    )
