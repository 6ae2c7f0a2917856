"""Choose the form of a cost over a size (constant, line or logarithm) and write costs as records."""

from __future__ import annotations

import json
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from benchmarks.records import Fit, fitted

MAX_CONSTANT_RESIDUAL = 0.03  # relative residual up to which a constant is accepted without trying other forms
MAX_CHECK_ERROR = 0.15  # allowed relative error of a fit at a size that was not used for it
MIN_RESIDUAL_GAIN = 0.02  # reduction of the residual that justifies a slope
FORMS = ("constant", "linear", "log2")


def fit(points: list[tuple[float, float]]) -> Fit:
    """Return the constant if it is good enough, else the better of line and logarithm.

    >>> fit([(25, 7.5), (100, 15.0), (400, 45.0), (1000, 105.0)])
    Fit(form='linear', constant=5.0, slope=0.1, residual=0.0)
    >>> fit([(2, 5.0), (8, 9.0), (32, 13.0)]).form, fit([(25, 1.0), (100, 1.01), (400, 0.99)]).form
    ('log2', 'constant')
    """
    if not points or any(size < 1 for size, _ in points):
        raise ValueError("a fit needs points with sizes of at least 1")
    found = {form: fitted(points, form) for form in FORMS}
    best = found["constant"]
    if best.residual > MAX_CONSTANT_RESIDUAL and len(points) > 2:
        best = min(found["linear"], found["log2"], key=lambda candidate: candidate.residual)
    return Fit(best.form, *(round(value, 9) for value in best[1:]))


def fit_growth(points: Sequence[Sequence[float]]) -> Fit:
    """Return a growing fit if it reduces the residual of the constant by over `MIN_RESIDUAL_GAIN`, else the constant.

    >>> fit_growth([[10, 105.0], [100, 150.0], [1000, 600.0], [10_000, 5100.0]])
    Fit(form='linear', constant=100.0, slope=0.5, residual=0.0)
    >>> fit_growth([[1, 3.0], [2, 5.0], [4, 7.0], [8, 9.0]]).form, fit_growth([[1, 3.0], [2, 3.01], [4, 3.0], [8, 2.99]]).form
    ('log2', 'constant')
    """
    if len(points) < 2:
        raise ValueError(f"a fit needs two points or more, not {len(points)}")
    constant, *growing = (fitted([(size, value) for size, value in points], form) for form in FORMS)
    best = min(growing, key=lambda candidate: candidate.residual)
    best = best if best.residual < constant.residual - MIN_RESIDUAL_GAIN else constant
    return Fit(best.form, rounded(best.constant), rounded(best.slope), round(best.residual, 4))


def cost(unit: str, points: list[tuple[int, float]], checked: tuple[int, float] | None = None) -> dict[str, Any]:
    """Return a cost by the number of members in the form of a record."""
    best = fit([(float(size), value) for size, value in points])
    return {
        "unit": unit,
        "size": "members",
        "points": [[size, rounded(value)] for size, value in points],
        "form": best.form,
        "constant": rounded(best.constant),
        "slope": rounded(best.slope),
        "residual": round(best.residual, 4),
        "checked": [checked[0], rounded(checked[1])] if checked else None,
    }


def rounded(value: float) -> float:
    """Round to six significant digits."""
    return float(f"{value:.6g}")


def write_record(file: Path, record: dict[str, Any]) -> None:
    """Write a record to a file as JSON."""
    file.parent.mkdir(parents=True, exist_ok=True)
    file.write_text(json.dumps(record, indent=1) + "\n")
