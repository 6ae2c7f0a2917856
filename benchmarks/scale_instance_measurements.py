"""What the parts of the instance benchmark collect: figures, costs by size, events and checks."""

from __future__ import annotations

from typing import Any

from benchmarks.fits import worthwhile
from benchmarks.records import Fit
from mulleinhatch.testing.single_instance import Lone, driven

CALM_RATE, ZONE_LOST_RATE, REGION_LOST_RATE = 275, 309, 413  # requests a second
WARM_UP_S = 2.0  # seconds at the calm rate, after which caches and pools are what they will be


class Measurements:
    """What the parts found: figures, costs by size, events, aims."""

    def __init__(self, quick: bool, seed: int) -> None:
        self.quick, self.seed = quick, seed
        self.figures: dict[str, Any] = {}
        self.costs: dict[str, Any] = {}
        self.events: dict[str, dict[str, float]] = {}
        self.holds: dict[str, bool] = {}
        self.notes: list[str] = []
        self.late: list[float] = []  # p99 of the driver's own lateness, ms
        self.lost = self.broken = 0  # requests without an answer; of these with a connection that ended or never stood

    def drive(self, instance: Lone, rate: float, run_for: float, **load_options: Any) -> dict[str, Any]:
        return self.add_report(driven(instance, rate, run_for, seed=self.seed, **load_options))

    def add_report(self, report: dict[str, Any]) -> dict[str, Any]:
        self.late.append(report["late_ms"]["p99"])
        self.lost += report["lost"]
        self.broken += report["broken"]
        return report

    def cost(self, name: str, unit: str, size: str, points: list[tuple[float, float]]) -> None:
        """The largest of five sizes or more checks the fit of the others."""
        points = [(float(at), float(f"{value:.5g}")) for at, value in points]
        fitted_points = points if len(points) < 5 else points[:-1]
        self.costs[f"instance.{name}"] = {
            "unit": unit,
            "size": size,
            "points": fitted_points,
            **worthwhile(fitted_points)._asdict(),
            "checked": None if fitted_points is points else points[-1],
        }

    def is_wait(self, name: str) -> bool:
        """Whether it is time on the clock, in which others on the machine have their part; CPU and memory are the process's."""
        return self.costs[name]["unit"].split()[0] == "s" and "CPU" not in self.costs[name]["unit"]

    def check_error(self, name: str) -> float | None:
        """By what part the fit misses the value at the largest size."""
        cost = self.costs[name]
        if not cost["checked"]:
            return None
        at, value = cost["checked"]
        return abs(Fit(cost["form"], cost["constant"], cost["slope"]).at(at) - value) / value
