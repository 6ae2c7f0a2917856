"""A cost by size: constant, constant + slope x size or constant + slope x log2(size), by least relative squares."""
from __future__ import annotations

import math
from collections.abc import Callable, Sequence

FORMS: dict[str, Callable[[float], float]] = {"linear": float, "log2": lambda size: math.log2(max(1.0, size))}
WORTH = 0.02        # of residual that a slope must take away, or the form is constant


def residual(points: Sequence[Sequence[float]], told: Callable[[float], float]) -> float:
    """The largest relative error at the points."""
    return max(abs(told(size) - value) / max(abs(value), 1e-12) for size, value in points)


def predicted(form: str, constant: float, slope: float, size: float) -> float:
    return constant + (slope * FORMS[form](size) if form in FORMS else 0.0)


def fit(points: Sequence[Sequence[float]]) -> dict[str, float | str]:
    """Form, constant, slope and residual. Errors count relative to each value, as the sizes span orders of magnitude.

    >>> fit([[10, 105.0], [100, 150.0], [1000, 600.0], [10_000, 5100.0]])
    {'form': 'linear', 'constant': 100.0, 'slope': 0.5, 'residual': 0.0}
    >>> fit([[1, 3.0], [2, 5.0], [4, 7.0], [8, 9.0]])["form"]
    'log2'
    >>> fit([[1, 3.0], [2, 3.01], [4, 3.0], [8, 2.99]])["form"]
    'constant'
    """
    if len(points) < 2:
        raise ValueError(f"a fit of {len(points)} points")
    weights = [1.0 / max(abs(value), 1e-12) ** 2 for _, value in points]
    total = sum(weights)
    level = sum(w * value for w, (_, value) in zip(weights, points)) / total
    best = {"form": "constant", "constant": level, "slope": 0.0, "residual": residual(points, lambda _: level) - WORTH}
    for form, spread in FORMS.items():
        sizes = [spread(size) for size, _ in points]
        mean = sum(w * x for w, x in zip(weights, sizes)) / total
        wide = sum(w * (x - mean) ** 2 for w, x in zip(weights, sizes))
        if not wide:
            continue
        slope = sum(w * (x - mean) * (value - level) for w, x, (_, value) in zip(weights, sizes, points)) / wide
        constant = level - slope * mean
        left = residual(points, lambda size, form=form, c=constant, s=slope: predicted(form, c, s, size))
        if left < best["residual"]:
            best = {"form": form, "constant": constant, "slope": slope, "residual": left}
    if best["form"] == "constant":
        best["residual"] += WORTH
    best["residual"] = round(best["residual"], 4)
    return {name: value if isinstance(value, str) else float(f"{value:.6g}") for name, value in best.items()}
