"""Results collected by the parts of the instance benchmark: figures, costs by size, events and checks."""

from __future__ import annotations

from typing import Any

from benchmarks.fits import fit_growth
from benchmarks.records import Fit
from mulleinhatch.testing.single_instance import SingleInstance, run_load

CALM_RATE, ZONE_LOST_RATE, REGION_LOST_RATE = 275, 309, 413  # requests per second
WARM_UP_S = 2.0  # at the calm rate, after which caches and pools no longer grow


class Measurements:
    """Figures by part, costs by size, events and checks.

    Attributes:
        late: Lateness of the load generator itself at p99 of each run, in ms.
        lost: Requests without a response.
        broken: Lost requests whose connection ended or was never established.
    """

    def __init__(self, quick: bool, seed: int) -> None:
        self.quick, self.seed = quick, seed
        self.figures: dict[str, Any] = {}
        self.costs: dict[str, Any] = {}
        self.events: dict[str, dict[str, float]] = {}
        self.holds: dict[str, bool] = {}
        self.notes: list[str] = []
        self.late: list[float] = []
        self.lost = self.broken = 0

    def drive(self, instance: SingleInstance, rate: float, run_for: float, **load_options: Any) -> dict[str, Any]:
        """Load an instance and return the load generator's report.

        Args:
            instance: The instance.
            rate: Requests per second.
            run_for: Duration in seconds.
            load_options: Further options of the load generator.
        """
        return self.add_report(run_load(instance, rate, run_for, seed=self.seed, **load_options))

    def add_report(self, report: dict[str, Any]) -> dict[str, Any]:
        """Count the losses and lateness of a report and return it."""
        self.late.append(report["late_ms"]["p99"])
        self.lost += report["lost"]
        self.broken += report["broken"]
        return report

    def cost(self, name: str, unit: str, size: str, points: list[tuple[float, float]]) -> None:
        """Fit and store a cost; the largest of five or more sizes checks the fit of the others."""
        points = [(float(at), float(f"{value:.5g}")) for at, value in points]
        fitted_points = points if len(points) < 5 else points[:-1]
        self.costs[f"instance.{name}"] = {
            "unit": unit,
            "size": size,
            "points": fitted_points,
            **fit_growth(fitted_points)._asdict(),
            "checked": None if fitted_points is points else points[-1],
        }

    def is_wait(self, name: str) -> bool:
        """Return whether a cost is wall-clock time, which other processes on the machine affect."""
        return self.costs[name]["unit"].split()[0] == "s" and "CPU" not in self.costs[name]["unit"]

    def check_error(self, name: str) -> float | None:
        """Return the relative error of a fit at the largest size, or None if that is not checked."""
        cost = self.costs[name]
        if not cost["checked"]:
            return None
        at, value = cost["checked"]
        return abs(Fit(cost["form"], cost["constant"], cost["slope"]).at(at) - value) / value
