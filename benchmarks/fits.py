"""Costs by size: a fit of constant, line or logarithm, its residual, and the record that the capacity page is made of."""
from __future__ import annotations

import json
import math
import subprocess
from pathlib import Path
from typing import Any, NamedTuple

FLAT = 0.03             # a constant that is off by no more than this is the whole truth
CHECK = 0.15            # by which a fit may be off at a size that it was not made from
FORMS = {"constant": lambda size: 0.0, "linear": float, "log2": math.log2}


class Fit(NamedTuple):
    form: str
    constant: float
    slope: float
    residual: float     # the largest relative error at the points

    def at(self, size: float) -> float:
        return self.constant + self.slope * FORMS[self.form](size)


def fitted(points: list[tuple[float, float]], form: str) -> Fit:
    """Least squares of relative errors: a small size counts as much as a large one."""
    shape = FORMS[form]
    weights = [1.0 / max(abs(value), 1e-12) ** 2 for _, value in points]
    whole = sum(weights)
    mean_x = sum(weight * shape(size) for weight, (size, _) in zip(weights, points)) / whole
    mean_y = sum(weight * value for weight, (_, value) in zip(weights, points)) / whole
    spread = sum(weight * (shape(size) - mean_x) ** 2 for weight, (size, _) in zip(weights, points))
    slope = sum(weight * (shape(size) - mean_x) * (value - mean_y)
                for weight, (size, value) in zip(weights, points)) / spread if spread else 0.0
    fit = Fit(form, mean_y - slope * mean_x, slope, 0.0)
    return fit._replace(residual=max(abs(fit.at(size) - value) / max(abs(value), 1e-12) for size, value in points))


def fit(points: list[tuple[float, float]]) -> Fit:
    """
    >>> fit([(25, 7.5), (100, 15.0), (400, 45.0), (1000, 105.0)])
    Fit(form='linear', constant=5.0, slope=0.1, residual=0.0)
    >>> fit([(2, 5.0), (8, 9.0), (32, 13.0)]).form, fit([(25, 1.0), (100, 1.01), (400, 0.99)]).form
    ('log2', 'constant')
    """
    if not points or any(size < 1 for size, _ in points):
        raise ValueError("a fit needs points of sizes from 1 on")
    found = {form: fitted(points, form) for form in FORMS}
    best = found["constant"]
    if best.residual > FLAT and len(points) > 2:
        best = min(found["linear"], found["log2"], key=lambda one: one.residual)
    return Fit(best.form, *(round(value, 9) for value in best[1:]))


def commit() -> str:
    told = subprocess.run(["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True,
                          cwd=Path(__file__).parent, check=False)
    return told.stdout.strip() or "unknown"


def cost(unit: str, points: list[tuple[int, float]], checked: tuple[int, float] | None = None) -> dict[str, Any]:
    best = fit([(float(size), value) for size, value in points])
    return {"unit": unit, "size": "members", "points": [[size, rounded(value)] for size, value in points], "form": best.form,
            "constant": rounded(best.constant), "slope": rounded(best.slope), "residual": round(best.residual, 4),
            "checked": [checked[0], rounded(checked[1])] if checked else None}


def rounded(value: float) -> float:
    """To six figures that count."""
    return float(f"{value:.6g}")


def written(file: Path, record: dict[str, Any]) -> None:
    file.parent.mkdir(parents=True, exist_ok=True)
    file.write_text(json.dumps(record, indent=1) + "\n")
